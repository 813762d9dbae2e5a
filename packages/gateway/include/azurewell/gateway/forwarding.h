#pragma once

#include "azurewell/gateway/members.h"
#include "azurewell/units/result.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace azurewell::gateway {

/// What a host tells another one about a request that it forwards. The sender has checked the key
/// and counted the request against the customer's rate.
struct ForwardedRequest
{
    HostId sender;
    CustomerId customer; ///< Empty on a public route.
    ServiceId service;
    Span allowed{};                 ///< Time until the caller's deadline.
    std::uint32_t possibleRuns = 0; ///< Attempts after which the request may have run.
    /// Of the software that began the stream which the request takes up again; empty: not known.
    std::optional<SoftwareVersion> begunBy{};
};

/// The refusal of a forwarded request.
struct ForwardRefusal
{
    ResultCode code = ResultCode::InternalError;
    bool isNotRun = true; ///< The request has not run and never will.
    Span retryAfter{};    ///< When the caller should retry; 0: not stated.
};

std::string encodeForwardedRequest(const ForwardedRequest &request);

/// Errors: MessageInvalid.
Result<ForwardedRequest> decodeForwardedRequest(std::string_view bytes);

std::string encodeForwardRefusal(const ForwardRefusal &refusal);

/// An unknown code becomes InternalError. Errors: MessageInvalid.
Result<ForwardRefusal> decodeForwardRefusal(std::string_view bytes);

/// Whether a refusal with \a code concerns only the host that gave it, so that another host may
/// serve the request.
bool isRefusalOfHost(ResultCode code);

/// A reachable host with a path to the upstreams of \a service, if possible one that turns no
/// callers away, and in this host's zone; null if none is known. \a salt spreads requests over the
/// hosts.
const Member *choosePeer(const Members &members, const ServiceId &service,
                         const std::set<HostId> &excluded, std::uint64_t salt, Instant now);

/// Whether a known member has the address \a ip.
bool isMemberIp(const Members &members, std::string_view ip);

} // namespace azurewell::gateway
