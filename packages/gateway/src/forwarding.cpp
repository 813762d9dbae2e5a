#include "azurewell/gateway/forwarding.h"

#include "azurewell/routing/rendezvous.h"
#include "thrift_codec.h"

#include <forward_types.h>

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace azurewell::gateway {

namespace {

namespace wire = azurewell::wire::forward;

/// Longest header value that is decoded.
constexpr std::size_t maxEncodedBytes = 4096;

Span spanOf(std::int64_t micros)
{
    return Span{ std::max<std::int64_t>(micros, 0) };
}

ResultCode codeOf(std::int32_t number)
{
    const std::span<const ResultCodeInfo> table = resultCodeTable();
    const auto isSame = [number](const ResultCodeInfo &info) {
        return static_cast<std::int32_t>(info.code) == number;
    };
    const auto found = std::find_if(table.begin(), table.end(), isSame);
    return found == table.end() ? ResultCode::InternalError : found->code;
}

template <typename Message>
Result<Message> decodeBounded(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > maxEncodedBytes)
        return Error{ ResultCode::MessageInvalid, "the header is empty or too large" };
    return decodeCompact<Message>(bytes);
}

} // namespace

std::string encodeForwardedRequest(const ForwardedRequest &request)
{
    wire::ForwardedRequest out;
    out.sender = request.sender.value;
    out.customer = request.customer.value;
    out.serviceId = request.service.value;
    out.allowed = request.allowed.count();
    out.possibleRuns = static_cast<std::int32_t>(request.possibleRuns);
    if (request.begunBy)
        out.__set_begunBy(request.begunBy->value);
    return encodeCompact(out);
}

Result<ForwardedRequest> decodeForwardedRequest(std::string_view bytes)
{
    const Result<wire::ForwardedRequest> in = decodeBounded<wire::ForwardedRequest>(bytes);
    if (!in)
        return in.error();
    ForwardedRequest request;
    request.sender.value = in.value().sender;
    request.customer.value = in.value().customer;
    request.service.value = in.value().serviceId;
    request.allowed = spanOf(in.value().allowed);
    request.possibleRuns = static_cast<std::uint32_t>(std::max(in.value().possibleRuns, 0));
    if (in.value().__isset.begunBy)
        request.begunBy = SoftwareVersion{ in.value().begunBy };
    return request;
}

std::string encodeForwardRefusal(const ForwardRefusal &refusal)
{
    wire::ForwardRefusal out;
    out.code = static_cast<std::int32_t>(refusal.code);
    out.notRun = refusal.isNotRun;
    out.retryAfter = refusal.retryAfter.count();
    return encodeCompact(out);
}

Result<ForwardRefusal> decodeForwardRefusal(std::string_view bytes)
{
    const Result<wire::ForwardRefusal> in = decodeBounded<wire::ForwardRefusal>(bytes);
    if (!in)
        return in.error();
    return ForwardRefusal{ codeOf(in.value().code), in.value().notRun,
                           spanOf(in.value().retryAfter) };
}

bool isRefusalOfHost(ResultCode code)
{
    return code == ResultCode::UpstreamsUnreachable || code == ResultCode::HostStarting
            || code == ResultCode::HostDraining;
}

const Member *choosePeer(const Members &members, const ServiceId &service,
                         const std::set<HostId> &excluded, std::uint64_t salt, Instant now)
{
    const Member *best = nullptr;
    /// Whether it has time for its callers, whether it is in this host's zone, and its weight.
    std::tuple<bool, bool, std::uint64_t> highest;
    for (const auto &[id, member] : members.others) {
        if (member.isLeaving || !isMemberReachable(members, member, now) || excluded.contains(id)
            || member.unreachableServices.contains(service))
            continue;
        const std::tuple rank{ !member.isOverloaded, member.zone == members.zone,
                               rendezvousMix(salt, member.idHash) };
        if (best && rank <= highest)
            continue;
        best = &member;
        highest = rank;
    }
    return best;
}

bool isMemberIp(const Members &members, std::string_view ip)
{
    return std::any_of(members.others.begin(), members.others.end(),
                       [ip](const auto &entry) { return entry.second.address.ip == ip; });
}

} // namespace azurewell::gateway
