#pragma once

#include "azurewell/http/upstream_connections.h"

#include <functional>
#include <list>
#include <optional>
#include <string>

namespace azurewell {

/// A whole answer to a small call.
struct CallAnswer
{
    ResponseHead head;
    std::string body;
};

/// Small calls whose answers are read whole: reports, orders, the platform.
class HttpCalls
{
public:
    /// Called once; empty where no whole answer came in time.
    using Handler = std::function<void(std::optional<CallAnswer>)>;

    explicit HttpCalls(UpstreamConnections &shared)
        : connections(shared)
    {
    }

    /// Sends \a request. The handler is called by \a deadline at the latest. A new connection has
    /// to open within \a openWithin.
    void start(const Endpoint &to, const std::string &request, Instant deadline, Handler handler,
               Instant now, Span openWithin = openingPatience);

    /// Ends calls whose deadline has passed, with their connections: one that went silent for good
    /// is never used again.
    void endOverdue(Instant now);

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
