#include "azurewell/http/upstream_connections.h"

#include <algorithm>

namespace azurewell {

namespace {

/// Used if the upstream states no keep-alive timeout. Half of the shortest observed (5 s).
constexpr Span defaultIdleTimeout = std::chrono::milliseconds(2500);

/// Percentage of the stated keep-alive timeout that is used. The rest is a margin, so that no
/// request is sent while the upstream closes the connection.
constexpr int keepAliveUsedPercent = 60;

} // namespace

UpstreamConnections::Entry &UpstreamConnections::open(const Endpoint &to, Instant connectDeadline)
{
    const std::uint64_t id = this->nextId++;
    Entry &entry = this->connections[id];
    entry.to = to;
    entry.connection = std::make_unique<UpstreamConnection>(
            to, connectDeadline, [this, id] { this->markIdle(id); },
            [this, id] { this->remove(id); });
    entry.exchange = id;
    return entry;
}

UpstreamConnections::Exchange UpstreamConnections::start(const Endpoint &to,
                                                         const std::string &request,
                                                         bool isHeadOnly, ExchangeHandlers handlers,
                                                         Instant now, Span connectTimeout,
                                                         ConnectionChoice choice)
{
    this->lastKnownTime = now;
    this->closedConnections.clear();
    const bool mayReuse = choice == ConnectionChoice::Any;
    std::optional<std::uint64_t> idleId = mayReuse ? this->takeIdle(to, now) : std::nullopt;
    const std::uint64_t id = idleId ? *idleId : this->open(to, now + connectTimeout).exchange;
    const Exchange exchange = this->nextId++;
    this->connections.at(id).exchange = exchange;
    this->exchanges[exchange] = id;
    this->connections.at(id).connection->startExchange(request, isHeadOnly, std::move(handlers));
    return exchange;
}

/// The connection to \a to that was used last and can be used again. Closes those that can't.
std::optional<std::uint64_t> UpstreamConnections::takeIdle(const Endpoint &to, Instant now)
{
    while (true) {
        const auto ids = this->idle.find(to);
        if (ids == this->idle.end())
            return std::nullopt;
        const std::uint64_t id = ids->second.front();
        const Entry &entry = this->connections.at(id);
        if (entry.connection->isOpen() && now < entry.idleUntil) {
            this->eraseIdle(to, id);
            return id;
        }
        this->remove(id);
    }
}

/// Removes \a id from the idle connections to \a to, of which there is no empty list.
void UpstreamConnections::eraseIdle(const Endpoint &to, std::uint64_t id)
{
    const auto ids = this->idle.find(to);
    if (ids == this->idle.end())
        return;
    ids->second.remove(id);
    if (ids->second.empty())
        this->idle.erase(ids);
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

void UpstreamConnections::readOnIfReset(Exchange exchange)
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end())
        this->connections.at(found->second).connection->readOnIfReset();
}

void UpstreamConnections::markIdle(std::uint64_t id)
{
    Entry &entry = this->connections.at(id);
    this->exchanges.erase(entry.exchange);
    const Span stated = entry.connection->keepAliveTimeout();
    const Span limit = stated > Span{} ? stated * keepAliveUsedPercent / 100 : defaultIdleTimeout;
    entry.idleUntil = this->lastKnownTime + limit;
    this->idle[entry.to].push_front(id);
}

void UpstreamConnections::remove(std::uint64_t id)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    this->exchanges.erase(found->second.exchange);
    this->eraseIdle(found->second.to, id);
    this->closedConnections.push_back(std::move(found->second.connection));
    this->connections.erase(found);
}

void UpstreamConnections::closeExpired(Instant now)
{
    this->lastKnownTime = now;
    this->closedConnections.clear();
    std::vector<std::uint64_t> expired;
    for (const auto &[to, ids] : this->idle) {
        std::copy_if(ids.begin(), ids.end(), std::back_inserter(expired),
                     [&](std::uint64_t id) { return now >= this->connections.at(id).idleUntil; });
    }
    for (const std::uint64_t id : expired)
        this->remove(id);
    std::vector<std::uint64_t> overdue;
    for (const auto &[id, entry] : this->connections) {
        if (entry.connection->isConnectOverdue(now))
            overdue.push_back(id);
    }
    for (const std::uint64_t id : overdue) {
        const auto found = this->connections.find(id);
        if (found != this->connections.end())
            found->second.connection->failConnect();
    }
}

void UpstreamConnections::closeIdle(const Endpoint &to)
{
    const auto idleIds = this->idle.find(to);
    if (idleIds == this->idle.end())
        return;
    const std::list<std::uint64_t> ids = idleIds->second;
    for (const std::uint64_t id : ids)
        this->remove(id);
}

} // namespace azurewell
