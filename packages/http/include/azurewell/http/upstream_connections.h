#pragma once

#include "azurewell/http/upstream_connection.h"

#include <list>
#include <map>
#include <memory>

namespace azurewell {

/// Connections within a region open in a few ms. One that takes longer than this leads to nobody,
/// or its first packet was lost, which is sent again only after a second.
inline constexpr Span openingPatience = std::chrono::milliseconds(400);

/// The connections of this host to all upstreams. A connection that has become idle is used again.
class UpstreamConnections
{
public:
    /// The handle of an exchange under way.
    using Exchange = std::uint64_t;

    /// Sends \a request to \a to on an idle connection or a new one, which has to open within
    /// \a openWithin. Handlers are never called from within start().
    Exchange start(const Endpoint &to, const std::string &request, bool isHeadOnly,
                   ExchangeHandlers handlers, Instant now, Span openWithin = openingPatience);

    /// Ends an exchange with its connection, so that the upstream notices that nobody waits.
    void cancel(Exchange exchange);

    void pauseReading(Exchange exchange, bool paused);

    /// Closes connections that have been idle for so long that the upstream may close them just as
    /// the next request is sent: that request's outcome would be unknown. Gives up those that do
    /// not open: an upstream that is switched off answers nothing, and the request can go
    /// elsewhere.
    void closeLate(Instant now);

    /// Closes the idle connections to \a to. What runs on the others goes on.
    void forget(const Endpoint &to);

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

    Entry &open(const Endpoint &to, Instant openBy);
    void becameIdle(std::uint64_t id);
    void remove(std::uint64_t id);

    std::map<std::uint64_t, Entry> connections;
    std::map<Endpoint, std::list<std::uint64_t>> idle; ///< Most recently used first.
    std::map<Exchange, std::uint64_t> exchanges;
    std::list<std::unique_ptr<UpstreamConnection>> closed; ///< Destroyed outside their own calls.
    std::uint64_t nextId = 1;
    Instant latest; ///< Of the calls that brought the time.
};

} // namespace azurewell
