#pragma once

#include "azurewell/gateway/events.h"
#include "azurewell/gateway/gateway.h"
#include "azurewell/http/message.h"
#include "azurewell/units/result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// Facts decoded from the head of an upstream's answer.
struct ReplyFacts
{
    bool isNotRun = false;      ///< The upstream did not run the request.
    bool isMisdirected = false; ///< Not run: no such model there, or another instance.
    bool isFault = false;       ///< The upstream reports an error of its own.
    bool isAttested = false;    ///< The upstream produced this answer itself: it is signed.
    std::optional<gateway::StatedLoad> load;
    std::uint32_t ignoredLoadValues = 0; ///< Stated values that are malformed or not plausible.
};

/// The wire protocol towards callers and upstreams, as a table of functions over plain structs. A
/// platform adapter fills the table; no other part of the program knows header names or paths.
struct WireFormat
{
    /// Decodes a caller's request, without its number. Errors: MalformedRequest, KeyInWrongPlace.
    Result<gateway::RequestArrived> (*readRequest)(const RequestHead &line);

    /// The headers of the request that is sent to the upstream.
    std::vector<HttpHeader> (*upstreamHeaders)(const RequestHead &line,
                                               const gateway::Dispatch &dispatch);

    /// The headers of the request that is forwarded to another host, without the caller's key.
    std::vector<HttpHeader> (*forwardHeaders)(const RequestHead &line);

    /// Whether an answer belongs to the request with \a callerId.
    bool (*isAnswerTo)(const ResponseHead &head, const std::string &callerId);

    /// Whether an answer can belong to a call of this host, such as a report or an order.
    bool (*isAnswerToCall)(const ResponseHead &head);

    /// Decodes the answer to the request with \a callerId.
    ReplyFacts (*readReply)(const ResponseHead &head, const std::string &callerId);

    /// What \a upstream states in any answer; nothing if another one has given the answer.
    gateway::UpstreamStatements (*readStatements)(const ResponseHead &head,
                                                  const UpstreamId &upstream);

    /// A complete request for the report of an engine's state.
    std::string (*reportRequest)(const gateway::QueryReport &ask);
    /// Decodes a report; empty if it is from another engine or cannot be decoded.
    std::optional<gateway::EngineState> (*readReport)(const gateway::QueryReport &ask,
                                                      const ResponseHead &head,
                                                      std::string_view body);

    /// A complete request that sends an order with \a self as its owner.
    std::string (*orderRequest)(const gateway::OrderEngine &order, const HostId &self);
    gateway::OrderOutcome (*readOrderAnswer)(const ResponseHead &head);
};

} // namespace azurewell
