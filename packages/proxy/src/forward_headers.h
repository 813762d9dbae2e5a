#pragma once

#include "azurewell/gateway/forwarding.h"
#include "azurewell/http/message.h"
#include "azurewell/units/result.h"

#include <optional>
#include <vector>

namespace azurewell {

/// Removes the headers that hosts add for each other. Neither callers nor upstreams may set them.
std::vector<HttpHeader> withoutInternalHeaders(std::vector<HttpHeader> headers);

HttpHeader forwardedHeaderOf(const gateway::ForwardedRequest &request);

/// Errors: MessageInvalid, also if there is no such header.
Result<gateway::ForwardedRequest> readForwarded(const std::vector<HttpHeader> &headers);

HttpHeader refusalHeaderOf(const gateway::ForwardRefusal &refusal);

/// Empty if the answer is no refusal of the host that the request was forwarded to.
std::optional<gateway::ForwardRefusal> readForwardRefusal(const std::vector<HttpHeader> &headers);

/// Names the upstream that gave an answer.
HttpHeader upstreamHeaderOf(const UpstreamId &upstream);

/// States the framing in which the upstream sent an answer.
HttpHeader framingHeaderOf(BodyFraming framing);

/// Close if it is stated, else \a otherwise.
BodyFraming readFramingHeader(const std::vector<HttpHeader> &headers, BodyFraming otherwise);

/// Empty if none is named.
UpstreamId readUpstreamHeader(const std::vector<HttpHeader> &headers);

} // namespace azurewell
