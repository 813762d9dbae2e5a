#include "azurewell/http/upstream_connections.h"

#include <algorithm>

namespace azurewell {

namespace {

/// Where the upstream states no limit. Half of the shortest seen (5 s).
constexpr Span idleWithoutWord = std::chrono::milliseconds(2500);

/// Of the limit that the upstream states, in parts of a hundred: the last part is left for requests
/// that cross the upstream's close on the way.
constexpr int usedPercent = 60;

} // namespace

UpstreamConnections::Entry &UpstreamConnections::open(const Endpoint &to, Instant openBy)
{
    const std::uint64_t id = this->nextId++;
    Entry &entry = this->connections[id];
    entry.to = to;
    entry.connection = std::make_unique<UpstreamConnection>(
            to, openBy, [this, id] { this->becameIdle(id); }, [this, id] { this->remove(id); });
    entry.exchange = id;
    return entry;
}

UpstreamConnections::Exchange UpstreamConnections::start(const Endpoint &to,
                                                         const std::string &request,
                                                         bool isHeadOnly, ExchangeHandlers handlers,
                                                         Instant now, Span openWithin)
{
    this->latest = now;
    this->closed.clear();
    std::uint64_t id = 0;
    std::list<std::uint64_t> &waiting = this->idle[to];
    while (!waiting.empty() && id == 0) {
        const std::uint64_t candidate = waiting.front();
        waiting.pop_front();
        const Entry &entry = this->connections.at(candidate);
        if (entry.connection->isOpen() && now < entry.idleUntil)
            id = candidate;
        else
            this->remove(candidate);
    }
    if (id == 0)
        id = this->open(to, now + openWithin).exchange;
    const Exchange exchange = this->nextId++;
    this->connections.at(id).exchange = exchange;
    this->exchanges[exchange] = id;
    this->connections.at(id).connection->begin(request, isHeadOnly, std::move(handlers));
    return exchange;
}

void UpstreamConnections::cancel(Exchange exchange)
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end())
        this->connections.at(found->second).connection->abandon();
}

void UpstreamConnections::pauseReading(Exchange exchange, bool paused)
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end())
        this->connections.at(found->second).connection->pauseReading(paused);
}

void UpstreamConnections::becameIdle(std::uint64_t id)
{
    Entry &entry = this->connections.at(id);
    this->exchanges.erase(entry.exchange);
    const Span stated = entry.connection->idleLimit();
    const Span limit = stated > Span{} ? stated * usedPercent / 100 : idleWithoutWord;
    entry.idleUntil = this->latest + limit;
    this->idle[entry.to].push_front(id);
}

void UpstreamConnections::remove(std::uint64_t id)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    this->exchanges.erase(found->second.exchange);
    const auto waiting = this->idle.find(found->second.to);
    if (waiting != this->idle.end()) {
        waiting->second.remove(id);
        if (waiting->second.empty())
            this->idle.erase(waiting);
    }
    this->closed.push_back(std::move(found->second.connection));
    this->connections.erase(found);
}

void UpstreamConnections::closeLate(Instant now)
{
    this->latest = now;
    this->closed.clear();
    std::vector<std::uint64_t> late;
    for (const auto &[to, ids] : this->idle) {
        std::copy_if(ids.begin(), ids.end(), std::back_inserter(late),
                     [&](std::uint64_t id) { return now >= this->connections.at(id).idleUntil; });
    }
    for (const std::uint64_t id : late)
        this->remove(id);
    std::vector<std::uint64_t> unopened;
    for (const auto &[id, entry] : this->connections) {
        if (entry.connection->isOpeningLate(now))
            unopened.push_back(id);
    }
    for (const std::uint64_t id : unopened) {
        const auto found = this->connections.find(id);
        if (found != this->connections.end())
            found->second.connection->giveUpOpening();
    }
}

void UpstreamConnections::forget(const Endpoint &to)
{
    const auto waiting = this->idle.find(to);
    if (waiting == this->idle.end())
        return;
    const std::list<std::uint64_t> ids = waiting->second;
    for (const std::uint64_t id : ids)
        this->remove(id);
}

} // namespace azurewell
