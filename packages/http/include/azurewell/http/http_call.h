#pragma once

#include "azurewell/http/upstream_connections.h"

#include <cstdint>
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
    /// Called once; empty if no complete answer within its bound arrived before the deadline.
    using Handler = std::function<void(std::optional<CallAnswer>)>;

    /// Whether a response with this head can be the answer to a call, which names no request.
    using Matcher = bool (*)(const ResponseHead &head);

    /// The connections are shared with the requests of callers: their late answers come on them.
    HttpCalls(UpstreamConnections &shared, Matcher answerMatcher)
        : connections(shared)
        , isAnswerToCall(answerMatcher)
    {
    }

    /// Sends \a request. The handler is called at the first cancelOverdue() after \a deadline at
    /// the latest. An answer with a body of more than \a maxBodyBytes ends the call. A new
    /// connection must open within \a connectTimeout.
    void start(const Endpoint &to, const std::string &request, Instant deadline,
               std::size_t maxBodyBytes, Handler handler, Instant now,
               Span connectTimeout = defaultConnectTimeout);

    /// Fails calls whose deadline has passed and closes their connections, so that an unresponsive
    /// connection is not reused.
    void cancelOverdue(Instant now);

    /// Calls that ended as a part of their answer exceeded its bound.
    std::uint64_t oversizedAnswers() const
    {
        return this->oversized;
    }

private:
    struct Call
    {
        UpstreamConnections::Exchange exchange = 0;
        Instant deadline;
        std::size_t maxBodyBytes = 0;
        CallAnswer answer;
        Handler handler;
    };

    void addBody(std::list<Call>::iterator call, const std::string &body);
    void finish(std::list<Call>::iterator call, bool isWhole);

    UpstreamConnections &connections;
    Matcher isAnswerToCall;
    std::list<Call> calls;
    std::uint64_t oversized = 0;
};

} // namespace azurewell
