#pragma once

#include "azurewell/http/upstream_connections.h"

#include <functional>
#include <list>
#include <optional>
#include <string>

namespace azurewell {

/// The complete answer to a call.
struct CallAnswer
{
    ResponseHead head;
    std::string body;
};

/// HTTP calls with small, fully buffered answers: engine reports, engine orders, the platform's
/// store.
class HttpCalls
{
public:
    /// Called once; empty if no complete answer arrived before the deadline.
    using Handler = std::function<void(std::optional<CallAnswer>)>;

    explicit HttpCalls(UpstreamConnections &shared)
        : connections(shared)
    {
    }

    /// Sends \a request. The handler is called at the first cancelOverdue() after \a deadline at
    /// the latest. A new connection must open within \a connectTimeout.
    void start(const Endpoint &to, const std::string &request, Instant deadline, Handler handler,
               Instant now, Span connectTimeout = defaultConnectTimeout);

    /// Fails calls whose deadline has passed and closes their connections, so that an unresponsive
    /// connection is not reused.
    void cancelOverdue(Instant now);

private:
    struct Call
    {
        UpstreamConnections::Exchange exchange = 0;
        Instant deadline;
        CallAnswer answer;
        Handler handler;
    };

    void finish(std::list<Call>::iterator call, bool isWhole);

    UpstreamConnections &connections;
    std::list<Call> calls;
};

} // namespace azurewell
