#pragma once

#include "store_return_fleet.h"
#include "store_return_store.h"

#include <set>

namespace azurewell::gateway::store_return {

/// A call to the store.
struct StoreCall
{
    bool isWatch = false;
    std::uint64_t after = 0;
    std::string afterKey;
    Instant answerBy; ///< When the store answers at the latest.
    Instant deadline;
    std::uint64_t era = 0; ///< That the host knew.
    bool isLost = false;
};

struct StoreAnswer
{
    bool isGone = false;
    bool hasMore = false;
    std::uint64_t era = 0;
    std::uint64_t at = 0;
    std::vector<PublishedItem> items;
};

struct AppliedServer
{
    ServerEntry entry;
    bool isListed = false;

    bool isUsable() const
    {
        return this->isListed && !this->entry.isLeaving;
    }
};

/// A host: the gateway, a reader that follows the store, and what is in force.
class ReturnHost
{
public:
    GatewayState state;
    bool isRunning = false;
    std::uint64_t incarnation = 0;
    Instant startedAt;
    std::optional<StoreCall> call;

    std::uint64_t version = 0;
    std::set<std::string> evacuated; ///< Keys.
    std::map<std::string, AppliedServer> servers;

    std::map<std::string, std::size_t> floors;        ///< Oldest operation that may be in force.
    std::map<std::string, std::int64_t> leftStarts;   ///< Starts whose end was in force.
    std::map<std::string, std::int64_t> listedStarts; ///< Starts that were in force.

    bool needsWatch() const
    {
        return this->revision != 0;
    }

    StoreCall nextCall(const ReadCall &read, Instant now) const
    {
        return { this->needsWatch(), this->revision, this->lastKey, now + read.wait,
                 read.callDeadline,  this->era,      false };
    }

    void takeAnswer(const StoreAnswer &answer, const StoreCall &asked, Random &random, Instant now)
    {
        const bool isCallOutdated = answer.era == this->era && asked.era != this->era;
        if (isCallOutdated) {
            recordReadAnswer(this->state.platformReader, false, random, now);
            return;
        }
        if (!this->checkEra(answer.era, random, now))
            return;
        if (answer.isGone) {
            recordReadAnswer(this->state.platformReader, false, random, now);
            this->revision = 0;
        } else if (asked.isWatch) {
            this->takeEvents(answer, random, now);
        } else {
            this->takePage(answer, random, now);
        }
    }

    void fail(ReadFailure failure, Instant now)
    {
        recordReadFailure(this->state.platformReader, failure, now);
        recordPlatformFailure(this->state, now);
    }

    /// Applies items received from other hosts.
    void applyFromPeers()
    {
        const std::vector<PublishedItem> items = std::exchange(this->state.undecoded, {});
        if (items.empty())
            return;
        this->apply(items);
        const StorePosition known = this->state.published.position;
        if (known.era > this->era)
            this->beginEra(known.era);
        else if (known.era == this->era && this->revision != 0)
            this->revision = std::max(this->revision, known.revision);
    }

private:
    void beginEra(std::uint64_t next)
    {
        this->era = next;
        this->revision = 0;
        this->listingRevision = 0;
        this->lastKey.clear();
        this->listed.clear();
    }

    bool checkEra(std::uint64_t stated, Random &random, Instant now)
    {
        if (stated == this->era)
            return true;
        if (stated < this->era) {
            this->fail(ReadFailure::OlderEra, now);
            return false;
        }
        const bool isFirstPage = this->revision == 0 && this->lastKey.empty();
        this->beginEra(stated);
        if (isFirstPage)
            return true;
        recordReadAnswer(this->state.platformReader, false, random, now);
        return false;
    }

    void takePage(const StoreAnswer &page, Random &random, Instant now)
    {
        recordReadAnswer(this->state.platformReader, false, random, now);
        this->listed.insert(this->listed.end(), page.items.begin(), page.items.end());
        if (this->listingRevision == 0)
            this->listingRevision = page.at;
        if (page.hasMore) {
            this->lastKey = this->listed.back().key;
            return;
        }
        this->revision = std::exchange(this->listingRevision, 0);
        this->lastKey.clear();
        const std::vector<PublishedItem> items = std::exchange(this->listed, {});
        recordPlatformAnswer(this->state, true, now);
        this->apply(applyListing(this->state.published, items, { this->era, this->revision }, now));
        if (this->state.published.position.era == this->era)
            this->revision = this->state.published.position.revision;
    }

    void takeEvents(const StoreAnswer &answer, Random &random, Instant now)
    {
        this->revision = std::max(this->revision, answer.at);
        recordReadAnswer(this->state.platformReader, !answer.items.empty(), random, now);
        PublishedChanges changes{ {}, { this->era, this->revision }, answer.items };
        this->applyFromPeers();
        removeUnchanged(changes.items,
                        [this](const PublishedItem &item) { return this->isRelevant(item); });
        recordPlatformAnswer(this->state, !changes.items.empty(), now);
        this->apply(applyEvents(this->state.published, changes, now));
    }

    bool isRelevant(const PublishedItem &item) const
    {
        if (item.isDeleted || !item.key.starts_with(serverPrefix))
            return true;
        const PublishedState &published = this->state.published;
        const auto before = published.items.find(item.key);
        const auto known = this->servers.find(item.key);
        if (before == published.items.end() || before->second.isDeleted
            || before->second.position.era != item.position.era || published.held.contains(item.key)
            || known == this->servers.end())
            return true;
        const ServerEntry next = readEntry(item.value);
        return next.start != known->second.entry.start
                || next.isLeaving != known->second.entry.isLeaving;
    }

    void apply(const std::vector<PublishedItem> &items)
    {
        for (const PublishedItem &item : items) {
            if (item.key == configurationKey)
                this->applyConfiguration(item);
            else if (item.key.starts_with(serverPrefix))
                this->applyServer(item);
            else if (item.isDeleted)
                this->evacuated.erase(item.key);
            else
                this->evacuated.insert(item.key);
        }
    }

    void applyConfiguration(const PublishedItem &item)
    {
        this->version = item.isDeleted ? 0 : readVersion(item.value);
        Configuration configuration;
        configuration.version = this->version;
        setConfiguration(this->state, configuration);
    }

    /// As listUpstream() does.
    void applyServer(const PublishedItem &item)
    {
        AppliedServer &server = this->servers[item.key];
        if (item.isDeleted) {
            server.isListed = false;
            return;
        }
        const ServerEntry next = readEntry(item.value);
        const ServerEntry &known = server.entry;
        const bool isOutdated = next.start != known.start
                ? next.start < known.start
                : next.serial < known.serial || (known.isLeaving && !next.isLeaving);
        if (!isOutdated)
            server = { next, true };
    }

    std::vector<PublishedItem> listed;
    std::uint64_t listingRevision = 0;
    std::string lastKey;
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
};

} // namespace azurewell::gateway::store_return
