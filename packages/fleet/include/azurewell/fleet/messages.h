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

/// What a keeper tells every host about one engine it keeps.
struct EngineSummary
{
    UpstreamId engine;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::vector<AdapterRef> loaded;
    std::uint32_t openSlots = 0;    ///< Adapter slots that a load could use now.
    std::vector<AdapterRef> wanted; ///< Being loaded, or waited for.
    bool isPartial = false; ///< `loaded` is left out: it has not changed, or the receiver is far.
};

/// The age of news that never came; also that of a neighbour whose version does not tell.
inline constexpr Span noNews{ std::numeric_limits<std::int64_t>::max() };

/// "I am alive", sent to every other host once a heartbeat interval.
struct Heartbeat
{
    TicketNumber ticket;    ///< The newest ticket in force at the sender.
    bool isLeaving = false; ///< The sender drains: ask it for nothing new.
    std::vector<EngineSummary> engines;
    ZoneId zone;
    SeatNumber seat;
    std::string address;          ///< Where the sender's peer port listens.
    FencingNumber highestFencing; ///< The highest fencing number the sender has seen.
    std::uint64_t serial = 0;     ///< Rises with each heartbeat, ask and renewal of the sender.
    std::uint64_t echo = 0;       ///< The newest `serial` that the sender has from the receiver.
    std::uint64_t view = 0; ///< The hosts by which the sender lets engines be kept, promised until
                            ///< promiseLength after the receiver sent `echo`; 0 promises nothing.
    std::uint32_t viewEpoch = 0; ///< Counts the views of the sender's life.
    Span nextWithin{};           ///< The sender's next heartbeat to the receiver is due within.
    Span newsAge = noNews; ///< Since the newest word of the configuration service that it knows of.
};

/// Asks an engine's keeper for a slot.
struct SlotAsk
{
    RequestId request;
    UpstreamId engine;
    AdapterRef adapter;
    CustomerId customer;
    Tokens cost;
    double weight = 1.0;
    Span untilDeadline{};
    std::uint64_t serial = 0; ///< Rises with each ask and renewal of the sender.
    std::uint32_t round = 0;  ///< Which seeking of a slot for this request it is.
};

/// The slot is the asker's for a lease. The keeper counts it from the grant. The asker counts it
/// from when it sent the newest ask or renewal that the keeper had received by then (`basis`),
/// which was earlier, so the asker's lease always ends first, however late the grant arrives.
struct SlotGrant
{
    RequestId request;
    UpstreamId engine;
    Span leaseLength{};
    std::uint64_t basis = 0; ///< The `serial` the lease is counted from.
    std::uint32_t round = 0; ///< Of the ask; a grant of an earlier one must not be used.
};

/// SlotLost as `code` means: this host does not keep the engine (any more), ask again.
struct SlotRefusal
{
    RequestId request;
    UpstreamId engine;
    ResultCode code = ResultCode::NoUpstream;
    std::uint32_t round = 0;
};

/// One request of a SlotRenewal.
struct RunningSlot
{
    RequestId request;
    AdapterRef adapter;
    bool isRunning = false; ///< False while it still waits for a slot.
    std::uint32_t round = 0;
};

/// These requests still wait or run. Slots and pins of running ones last for another lease; a
/// keeper that has just taken over learns of them from this message.
struct SlotRenewal
{
    UpstreamId engine;
    std::vector<RunningSlot> slots;
    std::uint64_t serial = 0;
};

/// The keeper has renewed what `basis` listed.
struct SlotRenewed
{
    UpstreamId engine;
    std::uint64_t basis = 0;
    Span leaseLength{};
    std::vector<RequestId> lost; ///< Listed but not renewed: their adapter is not theirs any more.
};

struct SlotRelease
{
    RequestId request;
    UpstreamId engine;
    Tokens used;             ///< Prompt and generated tokens; corrects the fair queue's charge.
    std::uint32_t round = 0; ///< A late release of an earlier round must not free a later slot.
    /// The attempt was cut short and may still run at the engine for a moment.
    bool isCancelled = false;
};

/// Asks for the tickets after a number.
struct TicketAsk
{
    TicketNumber after;
};

/// One ticket's text, relayed from host to host.
struct TicketPush
{
    TicketNumber number;
    std::string text;
};

/// The issuing instance's answer to a PermitAsk.
struct PermitReply
{
    CallNumber number;
    RequestId request;
    PermitAnswer answer;
};

/// The issuing instance has noted the OutcomeReport of this request.
struct OutcomeAck
{
    RequestId request;
};

/// Asks for one segment of a snapshot: of the sender's newest where it asks for the first, else of
/// the snapshot that the first one named.
struct SnapshotAsk
{
    TicketNumber ticket;
    std::uint32_t segment = 0;
};

/// One segment of the whole state in force at the sender.
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

/// A message with its sender. A body of a kind that this version does not know is std::monostate.
struct PeerMessage
{
    HostId sender;
    Incarnation incarnation;
    PeerBody body;
};

} // namespace azurewell
