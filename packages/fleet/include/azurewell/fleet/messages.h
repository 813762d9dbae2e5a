#pragma once

#include "azurewell/calls/call_ledger.h"
#include "azurewell/limits/share_messages.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/result_code.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace azurewell {

/// State of one engine, sent by its coordinator to every host.
struct EngineSummary
{
    UpstreamId engine;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::vector<AdapterRef> loaded;
    std::uint32_t openSlots = 0;    ///< Adapter slots that are free for a load now.
    std::vector<AdapterRef> wanted; ///< Adapters that are loading or that requests wait for.
    /// `loaded` is omitted: it has not changed, or the receiver is in a distant zone.
    bool isPartial = false;
};

/// Stands for "no update received yet"; also assumed for a peer whose version does not send the
/// age.
inline constexpr Span noUpdateReceived{ std::numeric_limits<std::int64_t>::max() };

/// Sent to every other host once per heartbeat interval.
struct Heartbeat
{
    TicketNumber ticket;    ///< Newest ticket in force at the sender.
    bool isLeaving = false; ///< The sender is draining and accepts no new work.
    std::vector<EngineSummary> engines;
    ZoneId zone;
    SeatNumber seat;
    std::string address;          ///< IP address and port of the sender's peer listener.
    FencingNumber highestFencing; ///< Highest fencing number that the sender has seen.
    /// Increases with each heartbeat, slot request and renewal of the sender.
    std::uint64_t serial = 0;
    std::uint64_t echo = 0; ///< Newest `serial` that the sender has received from the receiver.
    /// Number of the view that the sender promises until promiseDuration after the receiver sent
    /// `echo`; 0 promises nothing.
    std::uint64_t view = 0;
    std::uint32_t viewEpoch = 0; ///< Number of views adopted in the sender's incarnation.
    /// Maximum time until the sender's next heartbeat to the receiver.
    Span nextHeartbeatTimeout{};
    /// Time since the newest response of the configuration service that the sender knows of.
    Span updateAge = noUpdateReceived;
};

/// Requests a slot from an engine's coordinator.
struct SlotAsk
{
    RequestId request;
    UpstreamId engine;
    AdapterRef adapter;
    CustomerId customer;
    Tokens cost;
    double weight = 1.0;
    Span untilDeadline{};
    std::uint64_t serial = 0; ///< Increases with each slot request and renewal of the sender.
    std::uint32_t round = 0;  ///< Number of the attempt to obtain a slot for this request.
};

/// Grants a slot for one lease. The coordinator counts the lease from the grant. The requester
/// counts it from when it sent the newest request or renewal that the coordinator had received by
/// then (`basis`). That was earlier, so the requester's lease always ends first, however late the
/// grant arrives.
struct SlotGrant
{
    RequestId request;
    UpstreamId engine;
    Span leaseLength{};
    /// The `serial` of the message from whose sending the lease is counted.
    std::uint64_t basis = 0;
    /// Round of the slot request; a grant of an earlier round must not be used.
    std::uint32_t round = 0;
};

/// Rejects a slot request. The code SlotLost means that the sender does not coordinate the engine
/// and that the request should be sent again.
struct SlotRefusal
{
    RequestId request;
    UpstreamId engine;
    ResultCode code = ResultCode::NoUpstream;
    std::uint32_t round = 0;
};

/// One request listed in a SlotRenewal.
struct RunningSlot
{
    RequestId request;
    AdapterRef adapter;
    bool isRunning = false; ///< False while the request still waits for a slot.
    std::uint32_t round = 0;
};

/// Lists requests that still wait or run. Extends the slots and adapter pins of the running ones by
/// another lease; a new coordinator learns of them from this message.
struct SlotRenewal
{
    UpstreamId engine;
    std::vector<RunningSlot> slots;
    std::uint64_t serial = 0;
};

/// Confirms the renewal whose serial is `basis`.
struct SlotRenewed
{
    UpstreamId engine;
    std::uint64_t basis = 0;
    Span leaseLength{};
    std::vector<RequestId> lost; ///< Requests that were not renewed: their adapter may be unloaded.
};

struct SlotRelease
{
    RequestId request;
    UpstreamId engine;
    Tokens used; ///< Prompt and generated tokens; corrects the charge in the fair queue.
    std::uint32_t round = 0; ///< A delayed release of an earlier round must not free a later slot.
    /// The attempt was cancelled and may still run at the engine for a moment.
    bool isCancelled = false;
};

/// Requests the tickets after a number.
struct TicketAsk
{
    TicketNumber after;
};

/// One ticket's text, relayed between hosts.
struct TicketPush
{
    TicketNumber number;
    std::string text;
};

/// The issuer's answer to a PermitAsk.
struct PermitReply
{
    CallNumber number;
    RequestId request;
    PermitAnswer answer;
};

/// Acknowledges the OutcomeReport of this request.
struct OutcomeAck
{
    RequestId request;
};

/// Requests one segment of a snapshot. Segment 0 is that of the receiver's newest snapshot; later
/// segments belong to the snapshot that `ticket` names.
struct SnapshotAsk
{
    TicketNumber ticket;
    std::uint32_t segment = 0;
};

/// One segment of a snapshot of the configuration in force at the sender.
struct SnapshotPart
{
    TicketNumber ticket;
    std::uint32_t segment = 0;
    std::string text;
};

using PeerBody = std::variant<std::monostate, Heartbeat, SlotAsk, SlotGrant, SlotRefusal,
                              SlotRenewal, SlotRelease, TicketAsk, TicketPush, SlotRenewed,
                              PermitAsk, PermitReply, OutcomeReport, OutcomeAck, SnapshotAsk,
                              SnapshotPart, ShareAsk, ShareGrant, ShareQuery, ShareStatement>;

/// A message with its sender. A body of an unknown kind is std::monostate.
struct PeerMessage
{
    HostId sender;
    Incarnation incarnation;
    PeerBody body;
};

} // namespace azurewell
