#pragma once

#include "azurewell/http/upstream_connection.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace azurewell {

/// Connections within a region open in a few ms. One that takes longer than this has no listening
/// peer, or its SYN was lost, which TCP resends only after 1 s.
inline constexpr Span defaultConnectTimeout = std::chrono::milliseconds(400);

/// Which connection an exchange may use.
enum class ConnectionChoice : std::uint8_t {
    Any,
    /// A new one. A request that is sent to an address again takes it: a late second answer to the
    /// earlier sending bears the same id, and may come on the connection of that sending.
    New,
};

/// The pool of connections from this host to all upstreams. Idle connections are reused.
class UpstreamConnections
{
public:
    /// Handle of an exchange in progress.
    using Exchange = std::uint64_t;

    /// Sends \a request to \a to on an idle connection, if \a choice allows it, or on a new one
    /// that must open within \a connectTimeout. Handlers are never called from within start().
    Exchange start(const Endpoint &to, const std::string &request, bool isHeadOnly,
                   ExchangeHandlers handlers, Instant now,
                   Span connectTimeout = defaultConnectTimeout,
                   ConnectionChoice choice = ConnectionChoice::Any);

    /// Ends an exchange and closes its connection, so that the upstream can stop processing the
    /// request.
    void cancel(Exchange exchange);

    void pauseReading(Exchange exchange, bool paused);

    /// Reads what is left of \a exchange, although paused, if its connection has been reset.
    void readOnIfReset(Exchange exchange);

    /// Closes connections that have been idle for so long that the upstream might close them while
    /// the next request is being sent, which would leave that request's outcome unknown. Also
    /// closes those that did not open in time (an upstream that is switched off does not even
    /// refuse a connection), so that their requests can go to another upstream.
    void closeExpired(Instant now);

    /// Closes the idle connections to \a to. Exchanges in progress continue.
    void closeIdle(const Endpoint &to);

    std::size_t count() const
    {
        return this->connections.size();
    }

private:
    struct Entry
    {
        Endpoint to;
        std::unique_ptr<UpstreamConnection> connection;
        Instant idleUntil;
        Exchange exchange = 0;
    };

    Entry &open(const Endpoint &to, Instant connectDeadline);
    std::optional<std::uint64_t> takeIdle(const Endpoint &to, Instant now);
    void eraseIdle(const Endpoint &to, std::uint64_t id);
    void markIdle(std::uint64_t id);
    void remove(std::uint64_t id);

    std::map<std::uint64_t, Entry> connections;
    std::map<Endpoint, std::list<std::uint64_t>> idle; ///< Most recently used first.
    std::map<Exchange, std::uint64_t> exchanges;
    /// Destroyed at the next call, as a connection closes from within its own member functions.
    std::list<std::unique_ptr<UpstreamConnection>> closedConnections;
    std::uint64_t nextId = 1;
    Instant lastKnownTime; ///< The time passed to the most recent call.
};

} // namespace azurewell
