#pragma once

#include "store_return_fleet.h"
#include "store_return_store.h"

#include <set>

namespace azurewell::gateway::store_return {

/// When the store acknowledged something, and whether it still has it.
struct Fact
{
    Instant firstAt = farAway;
    Instant writtenAt = farAway; ///< In its present history; far away: not in it.
    bool isWidelyKnown = false;  ///< Half of the hosts of each zone knew it at the last return.

    bool isAcknowledged() const
    {
        return this->firstAt != farAway;
    }

    void acknowledge(Instant now)
    {
        this->firstAt = std::min(this->firstAt, now);
        this->writtenAt = std::min(this->writtenAt, now);
    }

    void loseAfter(Instant copiedAt)
    {
        if (this->writtenAt > copiedAt)
            this->writtenAt = farAway;
    }
};

/// A write of the operator.
struct Operation
{
    std::string key;
    std::string value;
    bool isDeleted = false;
    Instant dueAt;
    Fact fact;
    std::uint64_t order = 0; ///< Of its first acknowledgement.
    bool isRepeated = false; ///< An evacuation that was written again counts as another one.
};

struct Server
{
    ServerEntry entry;
    bool isAlive = true;
    Instant writesAt = farAway;
    Instant endsAt = farAway;
    Instant expiresAt = farAway;
};

struct StartFacts
{
    Fact listed;
    Fact leaving;
    Fact gone;
};

/// The operator and the servers, which write to the store.
class StoreWriters
{
public:
    explicit StoreWriters(const StoreReturnPlan &given)
        : plan(given)
        , random(given.seed * 7919 + 1)
    {
        const Instant now = StoreReturnPlan::begins;
        for (std::size_t zone = 0; zone < this->plan.zones; ++zone) {
            Operation operation;
            operation.key = std::string(evacuationPrefix) + "z" + std::to_string(zone);
            operation.isDeleted = true;
            operation.fact.acknowledge(now);
            this->operations.push_back(operation);
        }
        this->addConfiguration(now);
        this->writePending(now);
        for (std::size_t index = 0; index < firstServers; ++index)
            this->addServer(now);
        this->writeServers(now);
        this->nextOperationAt = now + std::chrono::seconds(2);
        this->nextServerEventAt = now + std::chrono::seconds(2);
        this->endsAt = this->plan.returns.back().backAt + changesAfterReturn;
    }

    void step(Instant now)
    {
        this->isAway = false;
        for (const StoreReturn &one : this->plan.returns)
            this->isAway = this->isAway || (now >= one.awayAt && now < one.backAt);
        if (this->isAway)
            return;
        this->makeOperations(now);
        this->makeServerEvents(now);
        this->writePending(now);
        this->writeServers(now);
    }

    /// After the store came back: the writers notice what is lost.
    void takeReturn(const StoreReturn &one)
    {
        const Instant copiedAt = one.awayAt - one.copyAge;
        this->store.returnFrom(copiedAt);
        for (Operation &operation : this->operations)
            operation.fact.loseAfter(copiedAt);
        for (auto &[key, starts] : this->facts) {
            for (auto &[start, fact] : starts) {
                fact.listed.loseAfter(copiedAt);
                fact.leaving.loseAfter(copiedAt);
                fact.gone.loseAfter(copiedAt);
            }
        }
        this->planRewriting(one);
    }

    /// The acknowledged operations of each key in the order of their acknowledgement.
    std::map<std::string, std::vector<Operation *>> operationsByKey()
    {
        std::map<std::string, std::vector<Operation *>> byKey;
        for (Operation &operation : this->operations) {
            if (operation.fact.isAcknowledged())
                byKey[operation.key].push_back(&operation);
        }
        for (auto &[key, list] : byKey)
            std::sort(list.begin(), list.end(),
                      [](const Operation *a, const Operation *b) { return a->order < b->order; });
        return byKey;
    }

    const StoreReturnPlan &plan;
    ReturningStore store;
    bool isAway = false;
    std::vector<Operation> operations;
    std::map<std::string, Server> servers; ///< By key.
    std::map<std::string, std::map<std::int64_t, StartFacts>> facts;

private:
    void planRewriting(const StoreReturn &one)
    {
        std::vector<Operation *> lost;
        std::vector<Instant> times;
        for (Operation &operation : this->operations) {
            if (operation.isRepeated || operation.fact.writtenAt != farAway)
                continue;
            lost.push_back(&operation);
            times.push_back(one.backAt + randomSpan(this->random, Span{}, rewriteTime));
        }
        std::sort(times.begin(), times.end());
        for (std::size_t index = 0; index < lost.size(); ++index)
            lost[index]->dueAt = times[index];
        for (auto &[key, server] : this->servers) {
            const auto stored = this->store.items.find(key);
            const bool isStored = stored != this->store.items.end();
            if (!server.isAlive) {
                const Span expiry = randomSpan(this->random, std::chrono::seconds(1),
                                               std::chrono::milliseconds(4300));
                server.expiresAt = isStored ? one.backAt + expiry : farAway;
                continue;
            }
            if (isStored && one.hasExpiredLeases && chance(this->random, 20))
                this->store.write(key, {}, true, one.backAt);
            else if (isStored && stored->second.value == textOf(server.entry))
                continue;
            server.writesAt = one.backAt + randomSpan(this->random, Span{}, rewriteTime);
        }
    }

    void addConfiguration(Instant now)
    {
        this->version += 1 + this->random() % 3;
        const std::string value = std::to_string(this->version) + " routes "
                + std::to_string(this->random() % 1000);
        this->operations.push_back({ std::string(configurationKey), value, false, now, {} });
    }

    void addEvacuation(Instant now)
    {
        const std::size_t zone = this->random() % this->plan.zones;
        const std::string key = std::string(evacuationPrefix) + "z" + std::to_string(zone);
        const auto last = std::find_if(this->operations.rbegin(), this->operations.rend(),
                                       [&](const Operation &operation) {
                                           return operation.key == key && !operation.isRepeated;
                                       });
        this->operations.push_back({ key, last->isDeleted ? "{}" : "", !last->isDeleted, now, {} });
    }

    bool isDense(Instant now) const
    {
        if (this->plan.denseInterval == Span{})
            return false;
        return std::any_of(this->plan.returns.begin(), this->plan.returns.end(),
                           [now](const StoreReturn &one) {
                               return now >= one.awayAt - std::chrono::seconds(1)
                                       && now < one.backAt + rewriteTime;
                           });
    }

    void makeOperations(Instant now)
    {
        if (now < this->nextOperationAt || now >= this->endsAt)
            return;
        if (chance(this->random, 70))
            this->addConfiguration(now);
        else
            this->addEvacuation(now);
        this->nextOperationAt = now
                + (this->isDense(now)
                           ? this->plan.denseInterval
                           : randomSpan(this->random, 200 * millisecond, 1500 * millisecond));
    }

    void writePending(Instant now)
    {
        std::vector<Operation> repeated;
        for (Operation &operation : this->operations) {
            if (operation.isRepeated || operation.fact.writtenAt != farAway)
                continue;
            if (now < operation.dueAt)
                break;
            const bool isAgain = operation.fact.isAcknowledged();
            this->store.write(operation.key, operation.value, operation.isDeleted, now);
            operation.fact.acknowledge(now);
            if (!isAgain)
                operation.order = ++this->acknowledged;
            if (!isAgain || operation.key == configurationKey)
                continue;
            repeated.push_back(operation);
            repeated.back().isRepeated = true;
            repeated.back().fact = {};
            repeated.back().fact.acknowledge(now);
            repeated.back().order = ++this->acknowledged;
        }
        this->operations.insert(this->operations.end(), repeated.begin(), repeated.end());
    }

    void addServer(Instant now)
    {
        Server server;
        server.entry = { 1, false, 1 };
        server.writesAt = now;
        this->servers[std::string(serverPrefix) + std::to_string(this->nextServer++)] = server;
    }

    void makeServerEvents(Instant now)
    {
        if (now < this->nextServerEventAt || now >= this->endsAt)
            return;
        this->nextServerEventAt = now
                + randomSpan(this->random, 50 * millisecond, 700 * millisecond);
        auto found = this->servers.begin();
        std::advance(found, static_cast<std::ptrdiff_t>(this->random() % this->servers.size()));
        Server &server = found->second;
        const bool isWriting = server.writesAt != farAway;
        const std::uint64_t kind = this->random() % 5;
        if (kind == 0 || !server.isAlive || isWriting || server.entry.isLeaving) {
            this->addServer(now);
        } else if (kind == 1) {
            server.entry.isLeaving = true;
            server.endsAt = now
                    + randomSpan(this->random, std::chrono::seconds(1), std::chrono::seconds(3));
        } else if (kind == 2) {
            server.endsAt = now;
        } else if (kind == 3) {
            ++server.entry.start;
            server.entry.serial = 0;
        }
        if (kind != 0 && server.isAlive && !isWriting && kind != 2) {
            ++server.entry.serial;
            server.writesAt = now;
        }
    }

    void writeServers(Instant now)
    {
        for (auto &[key, server] : this->servers) {
            if (server.isAlive && now >= server.endsAt) {
                server.isAlive = false;
                server.writesAt = farAway;
                server.expiresAt = now
                        + randomSpan(this->random, 500 * millisecond, 1500 * millisecond);
            }
            StartFacts &fact = this->facts[key][server.entry.start];
            if (now >= server.writesAt) {
                server.writesAt = farAway;
                this->store.write(key, textOf(server.entry), false, now);
                (server.entry.isLeaving ? fact.leaving : fact.listed).acknowledge(now);
            }
            if (now >= server.expiresAt) {
                server.expiresAt = farAway;
                if (!this->store.items.contains(key))
                    continue;
                this->store.write(key, {}, true, now);
                fact.gone.acknowledge(now);
            }
        }
    }

    Random random;
    std::uint64_t version = 0;
    std::uint64_t acknowledged = 0;
    std::size_t nextServer = 0;
    Instant nextOperationAt;
    Instant nextServerEventAt;
    Instant endsAt;
};

} // namespace azurewell::gateway::store_return
