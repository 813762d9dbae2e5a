#pragma once

#include "store_return_host.h"
#include "store_return_writers.h"

namespace azurewell::gateway::store_return {

/// Judges what is in force at the hosts.
class Judge
{
public:
    Judge(const StoreReturnPlan &given, StoreWriters &observed)
        : plan(given)
        , writers(observed)
    {
    }

    void check(ReturnHost &host, std::size_t index, Instant now)
    {
        this->now = now;
        this->host = &host;
        this->index = index;
        const Span beforeJudged = std::max(contactTime, this->plan.inForceWithin);
        this->isInTouch = now >= host.startedAt + beforeJudged;
        this->checkOperations();
        for (const auto &[key, server] : this->writers.servers)
            this->checkServer(key, server);
        if (this->isInTouch && now >= this->lastReturn() + heldUntil && this->isAfterLast()) {
            for (const auto &[key, held] : host.state.published.held)
                this->report("held on", key);
        }
    }

    /// Whether the host agrees with the store's content.
    void checkAgreement(ReturnHost &judged, std::size_t judgedIndex, Instant at)
    {
        this->now = at;
        this->host = &judged;
        this->index = judgedIndex;
        const std::map<std::string, PublishedItem> &stored = this->writers.store.items;
        for (const auto &[key, item] : judged.state.published.items) {
            if (!item.isDeleted && !stored.contains(key))
                this->report("disagrees, not in store", key);
        }
        for (const auto &[key, item] : stored) {
            const auto known = judged.state.published.items.find(key);
            const bool isKnown = known != judged.state.published.items.end()
                    && !known->second.isDeleted && this->isSame(known->second, item);
            if (!isKnown)
                this->report("disagrees with store", key);
        }
        for (const auto &[key, server] : judged.servers) {
            const auto entry = stored.find(key);
            const bool isUsable = entry != stored.end()
                    && !readEntry(entry->second.value).isLeaving;
            if (server.isUsable() != isUsable)
                this->report("disagrees in force", key);
        }
    }

    /// Records what half of the hosts of each zone know at the return of the store.
    static void recordKnown(StoreWriters &writers, const std::vector<ReturnHost> &hosts)
    {
        const auto isWide = [&](const auto &knows) {
            std::vector<std::size_t> running(writers.plan.zones);
            std::vector<std::size_t> knowing(writers.plan.zones);
            for (std::size_t index = 0; index < hosts.size(); ++index) {
                const std::size_t zone = index % writers.plan.zones;
                running[zone] += hosts[index].isRunning ? 1 : 0;
                knowing[zone] += hosts[index].isRunning && knows(hosts[index]) ? 1 : 0;
            }
            for (std::size_t zone = 0; zone < running.size(); ++zone) {
                if (knowing[zone] == 0 || 2 * knowing[zone] < running[zone])
                    return false;
            }
            return true;
        };
        for (auto &[key, list] : writers.operationsByKey()) {
            for (std::size_t position = 0; position < list.size(); ++position) {
                const auto knows = [&, &key = key](const ReturnHost &one) {
                    const auto floor = one.floors.find(key);
                    return floor != one.floors.end() && floor->second >= position;
                };
                Fact &fact = list[position]->fact;
                fact.isWidelyKnown = fact.isWidelyKnown || isWide(knows);
            }
        }
        for (auto &[key, starts] : writers.facts) {
            for (auto &[start, fact] : starts) {
                const auto knowsListed = [&key = key, start = start](const ReturnHost &one) {
                    const auto known = one.listedStarts.find(key);
                    return known != one.listedStarts.end() && known->second >= start;
                };
                const auto knowsLeft = [&key = key, start = start](const ReturnHost &one) {
                    const auto known = one.leftStarts.find(key);
                    return known != one.leftStarts.end() && known->second >= start;
                };
                fact.listed.isWidelyKnown = fact.listed.isWidelyKnown || isWide(knowsListed);
                const bool isLeftWidely = isWide(knowsLeft);
                fact.leaving.isWidelyKnown = fact.leaving.isWidelyKnown || isLeftWidely;
                fact.gone.isWidelyKnown = fact.gone.isWidelyKnown || isLeftWidely;
            }
        }
    }

    StoreReturnResult result;

private:
    static bool isSame(const PublishedItem &known, const PublishedItem &stored)
    {
        if (!known.key.starts_with(serverPrefix))
            return known.value == stored.value;
        const ServerEntry a = readEntry(known.value);
        const ServerEntry b = readEntry(stored.value);
        return a.start == b.start && a.isLeaving == b.isLeaving;
    }

    bool isAfterLast() const
    {
        return this->now >= this->plan.returns.back().backAt;
    }

    Instant lastReturn() const
    {
        Instant last = StoreReturnPlan::begins;
        for (const StoreReturn &one : this->plan.returns) {
            if (one.backAt <= this->now)
                last = one.backAt;
        }
        return last;
    }

    /// The end of the time in which the store was there last.
    Instant stableUntil() const
    {
        for (const StoreReturn &one : this->plan.returns) {
            if (this->now >= one.awayAt && this->now < one.backAt)
                return one.awayAt;
        }
        return this->now;
    }

    bool isDue(const Fact &fact) const
    {
        if (!this->isInTouch || !fact.isAcknowledged()
            || (!fact.isWidelyKnown && fact.writtenAt == farAway))
            return false;
        const Instant from = std::max(fact.isWidelyKnown ? fact.firstAt : fact.writtenAt,
                                      this->lastReturn());
        return from + this->plan.inForceWithin <= this->stableUntil();
    }

    /// A removal that the store acknowledges before it is stable again looks like an entry that is
    /// not written again yet.
    bool isRemovalDue(const Fact &gone) const
    {
        const Instant stable = this->lastReturn() + contactTime;
        return this->isDue(gone)
                && (gone.firstAt < this->lastReturn() || gone.firstAt >= stable
                    || this->now >= stable + this->plan.inForceWithin);
    }

    bool isInForce(const Operation &operation) const
    {
        if (operation.key == configurationKey)
            return this->host->version == readVersion(operation.value);
        return this->host->evacuated.contains(operation.key) != operation.isDeleted;
    }

    void checkOperations()
    {
        if (this->now != this->listedAt) {
            this->listedAt = this->now;
            this->byKey = this->writers.operationsByKey();
        }
        for (const auto &[key, list] : this->byKey)
            this->checkKey(key, list);
    }

    void checkKey(const std::string &key, const std::vector<Operation *> &list)
    {
        std::size_t due = 0;
        bool isAnyDue = false;
        for (std::size_t position = 0; position < list.size(); ++position) {
            if (this->isDue(list[position]->fact)) {
                due = position;
                isAnyDue = true;
            }
        }
        const bool isNothingKnown = key == configurationKey && this->host->version == 0;
        if (isNothingKnown) {
            if (isAnyDue)
                this->report("late", key);
            return;
        }
        std::size_t &floor = this->host->floors[key];
        std::size_t position = floor;
        while (position < list.size() && !this->isInForce(*list[position]))
            ++position;
        if (position == list.size()) {
            this->report(key == configurationKey ? "configuration went back"
                                                 : "evacuation went back",
                         key);
            return;
        }
        floor = position;
        position = std::max(position, due);
        while (position < list.size() && !this->isInForce(*list[position]))
            ++position;
        if (position == list.size())
            this->report("late", key + " " + list[due]->value);
    }

    void checkServer(const std::string &key, const Server &server)
    {
        const auto found = this->host->servers.find(key);
        const AppliedServer applied = found == this->host->servers.end() ? AppliedServer{}
                                                                         : found->second;
        const std::map<std::int64_t, StartFacts> &starts = this->writers.facts.at(key);
        std::int64_t &left = this->host->leftStarts[key];
        std::int64_t &listedStart = this->host->listedStarts[key];
        const std::int64_t start = applied.entry.start;
        if (applied.isUsable()) {
            if (start <= left)
                this->report("ended server used again", key);
            for (const auto &[ended, fact] : starts) {
                const bool isEnded = this->isDue(fact.leaving) || this->isRemovalDue(fact.gone);
                if (ended >= start && isEnded)
                    this->report("ended server used late", key);
                if (ended > start && this->isDue(fact.listed))
                    this->report("earlier start used late", key);
            }
            listedStart = std::max(listedStart, start);
        } else if (start != 0 && starts.contains(start)) {
            const StartFacts &fact = starts.at(start);
            if (applied.isListed ? fact.leaving.isAcknowledged() : fact.gone.isAcknowledged())
                left = std::max(left, start);
        }
        const bool isExpected = server.isAlive && !server.entry.isLeaving
                && this->now < server.endsAt;
        if (!isExpected || (applied.isUsable() && start == server.entry.start))
            return;
        if (listedStart == server.entry.start)
            this->report("live server dropped", key);
        else if (this->isDue(starts.at(server.entry.start).listed))
            this->report("live server not used", key);
    }

    void report(const std::string &kind, const std::string &key)
    {
        const std::string place = "h" + std::to_string(this->index) + "."
                + std::to_string(this->host->incarnation);
        if (!this->reported.insert(kind + place + key).second)
            return;
        ++this->result.violations[kind];
        constexpr std::size_t maxDetails = 12;
        if (this->result.details.size() >= maxDetails)
            return;
        std::ostringstream text;
        text << toSeconds(this->now - StoreReturnPlan::begins) << " s " << place << ' ' << kind
             << ' ' << key;
        const PublishedState &published = this->host->state.published;
        const auto item = published.items.find(key.substr(0, key.find(' ')));
        if (item != published.items.end())
            text << " known " << item->second.position.era << '/' << item->second.position.revision
                 << (item->second.isDeleted ? " deleted" : " '" + item->second.value + "'");
        text << " position " << published.position.era << '/' << published.position.revision
             << " held " << published.held.size() << " listed era " << published.firstListing.era;
        this->result.details.push_back(text.str());
    }

    const StoreReturnPlan &plan;
    StoreWriters &writers;
    Instant now;
    Instant listedAt;
    std::map<std::string, std::vector<Operation *>> byKey;
    ReturnHost *host = nullptr;
    std::size_t index = 0;
    bool isInTouch = false;
    std::set<std::string> reported;
};

} // namespace azurewell::gateway::store_return
