#include "azurewell/fleet/codec.h"

#include "codec_calls.h"
#include "codec_shares.h"
#include "codec_snapshots.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace azurewell {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template <typename Id>
std::vector<std::string> namesOf(const std::vector<Id> &ids)
{
    std::vector<std::string> names;
    names.reserve(ids.size());
    for (const Id &id : ids)
        names.push_back(id.value);
    return names;
}

template <typename Id>
std::vector<Id> idsOf(const std::vector<std::string> &names)
{
    return std::vector<Id>(names.begin(), names.end());
}

wire::EngineSummary toWire(const EngineSummary &summary)
{
    wire::EngineSummary out;
    out.__set_engine(summary.engine.value);
    out.__set_queued(static_cast<std::int32_t>(summary.queued));
    out.__set_running(static_cast<std::int32_t>(summary.running));
    out.__set_loaded(namesOf(summary.loaded));
    out.__set_openSlots(static_cast<std::int32_t>(summary.openSlots));
    out.__set_wanted(namesOf(summary.wanted));
    out.__set_partial(summary.isPartial);
    return out;
}

wire::RunningSlot toWire(const RunningSlot &slot)
{
    wire::RunningSlot out;
    out.__set_request(slot.request.value);
    out.__set_adapter(slot.adapter.value);
    out.__set_running(slot.isRunning);
    out.__set_round(static_cast<std::int32_t>(slot.round));
    return out;
}

struct ToWire
{
    wire::Body &out;

    void operator()(const std::monostate &) const
    {
    }
    void operator()(const Heartbeat &in) const
    {
        wire::Heartbeat beat;
        beat.__set_ticket(static_cast<std::int64_t>(in.ticket.value));
        beat.__set_leaving(in.isLeaving);
        std::vector<wire::EngineSummary> engines;
        for (const EngineSummary &summary : in.engines)
            engines.push_back(toWire(summary));
        beat.__set_engines(engines);
        beat.__set_zone(in.zone.value);
        beat.__set_seat(static_cast<std::int32_t>(in.seat.value));
        beat.__set_address(in.address);
        beat.__set_highestFencing(static_cast<std::int64_t>(in.highestFencing.value));
        beat.__set_serial(static_cast<std::int64_t>(in.serial));
        beat.__set_echo(static_cast<std::int64_t>(in.echo));
        beat.__set_view(static_cast<std::int64_t>(in.view));
        beat.__set_viewEpoch(static_cast<std::int32_t>(in.viewEpoch));
        beat.__set_nextWithin(in.nextHeartbeatTimeout.count());
        beat.__set_newsAge(in.updateAge.count());
        this->out.__set_heartbeat(beat);
    }
    void operator()(const SlotAsk &in) const
    {
        wire::SlotAsk ask;
        ask.__set_request(in.request.value);
        ask.__set_engine(in.engine.value);
        ask.__set_adapter(in.adapter.value);
        ask.__set_customer(in.customer.value);
        ask.__set_cost(in.cost.count);
        ask.__set_weight(in.weight);
        ask.__set_untilDeadline(in.untilDeadline.count());
        ask.__set_serial(static_cast<std::int64_t>(in.serial));
        ask.__set_round(static_cast<std::int32_t>(in.round));
        this->out.__set_slotAsk(ask);
    }
    void operator()(const SlotGrant &in) const
    {
        wire::SlotGrant grant;
        grant.__set_request(in.request.value);
        grant.__set_engine(in.engine.value);
        grant.__set_leaseLength(in.leaseLength.count());
        grant.__set_basis(static_cast<std::int64_t>(in.basis));
        grant.__set_round(static_cast<std::int32_t>(in.round));
        this->out.__set_slotGrant(grant);
    }
    void operator()(const SlotRefusal &in) const
    {
        wire::SlotRefusal refusal;
        refusal.__set_request(in.request.value);
        refusal.__set_engine(in.engine.value);
        refusal.__set_code(static_cast<std::int32_t>(in.code));
        refusal.__set_round(static_cast<std::int32_t>(in.round));
        this->out.__set_slotRefusal(refusal);
    }
    void operator()(const SlotRenewal &in) const
    {
        wire::SlotRenewal renewal;
        renewal.__set_engine(in.engine.value);
        std::vector<wire::RunningSlot> slots;
        for (const RunningSlot &slot : in.slots)
            slots.push_back(toWire(slot));
        renewal.__set_slots(slots);
        renewal.__set_serial(static_cast<std::int64_t>(in.serial));
        this->out.__set_slotRenewal(renewal);
    }
    void operator()(const SlotRenewed &in) const
    {
        wire::SlotRenewed renewed;
        renewed.__set_engine(in.engine.value);
        renewed.__set_basis(static_cast<std::int64_t>(in.basis));
        renewed.__set_leaseLength(in.leaseLength.count());
        renewed.__set_lost(namesOf(in.lost));
        this->out.__set_slotRenewed(renewed);
    }
    void operator()(const SlotRelease &in) const
    {
        wire::SlotRelease release;
        release.__set_request(in.request.value);
        release.__set_engine(in.engine.value);
        release.__set_used(in.used.count);
        release.__set_round(static_cast<std::int32_t>(in.round));
        release.__set_cancelled(in.isCancelled);
        this->out.__set_slotRelease(release);
    }
    void operator()(const TicketAsk &in) const
    {
        wire::TicketAsk ask;
        ask.__set_after(static_cast<std::int64_t>(in.after.value));
        this->out.__set_ticketAsk(ask);
    }
    void operator()(const TicketPush &in) const
    {
        wire::TicketPush push;
        push.__set_number(static_cast<std::int64_t>(in.number.value));
        push.__set_text(in.text);
        this->out.__set_ticketPush(push);
    }
    void operator()(const ShareAsk &in) const
    {
        this->out.__set_shareAsk(azurewell::toWire(in));
    }
    void operator()(const ShareGrant &in) const
    {
        this->out.__set_shareGrant(azurewell::toWire(in));
    }
    void operator()(const ShareQuery &in) const
    {
        this->out.__set_shareQuery(azurewell::toWire(in));
    }
    void operator()(const ShareStatement &in) const
    {
        this->out.__set_shareStatement(azurewell::toWire(in));
    }
    void operator()(const SnapshotAsk &in) const
    {
        writeBody(this->out, in);
    }
    void operator()(const SnapshotPart &in) const
    {
        writeBody(this->out, in);
    }
    void operator()(const PermitAsk &in) const
    {
        writeBody(this->out, in);
    }
    void operator()(const PermitReply &in) const
    {
        writeBody(this->out, in);
    }
    void operator()(const OutcomeReport &in) const
    {
        writeBody(this->out, in);
    }
    void operator()(const OutcomeAck &in) const
    {
        writeBody(this->out, in);
    }
};

Heartbeat fromWire(const wire::Heartbeat &in)
{
    Heartbeat beat;
    beat.ticket = TicketNumber{ static_cast<std::uint64_t>(in.ticket) };
    beat.isLeaving = in.leaving;
    for (const wire::EngineSummary &summary : in.engines) {
        beat.engines.push_back(EngineSummary{
                UpstreamId{ summary.engine }, static_cast<std::uint32_t>(summary.queued),
                static_cast<std::uint32_t>(summary.running), idsOf<AdapterRef>(summary.loaded),
                static_cast<std::uint32_t>(summary.openSlots), idsOf<AdapterRef>(summary.wanted),
                summary.partial });
    }
    beat.zone = ZoneId{ in.zone };
    beat.seat = SeatNumber{ static_cast<std::uint32_t>(in.seat) };
    beat.address = in.address;
    beat.highestFencing = FencingNumber{ static_cast<std::uint64_t>(in.highestFencing) };
    beat.serial = static_cast<std::uint64_t>(in.serial);
    beat.echo = static_cast<std::uint64_t>(in.echo);
    beat.view = static_cast<std::uint64_t>(in.view);
    beat.viewEpoch = static_cast<std::uint32_t>(in.viewEpoch);
    beat.nextHeartbeatTimeout = Span{ in.nextWithin };
    if (in.__isset.newsAge && in.newsAge >= 0)
        beat.updateAge = Span{ in.newsAge };
    return beat;
}

SlotAsk fromWire(const wire::SlotAsk &in)
{
    return SlotAsk{ RequestId{ in.request },
                    UpstreamId{ in.engine },
                    AdapterRef{ in.adapter },
                    CustomerId{ in.customer },
                    Tokens{ in.cost },
                    in.weight,
                    Span{ in.untilDeadline },
                    static_cast<std::uint64_t>(in.serial),
                    static_cast<std::uint32_t>(in.round) };
}

SlotRenewal fromWire(const wire::SlotRenewal &in)
{
    SlotRenewal renewal;
    renewal.engine = UpstreamId{ in.engine };
    renewal.serial = static_cast<std::uint64_t>(in.serial);
    for (const wire::RunningSlot &slot : in.slots)
        renewal.slots.push_back(RunningSlot{ RequestId{ slot.request }, AdapterRef{ slot.adapter },
                                             slot.running,
                                             static_cast<std::uint32_t>(slot.round) });
    return renewal;
}

/// The result code with this number. A peer of another version may send an unknown one, which is
/// mapped to NoUpstream.
ResultCode codeOf(std::int32_t number)
{
    for (const ResultCodeInfo &info : resultCodeTable()) {
        if (static_cast<std::int32_t>(info.code) == number)
            return info.code;
    }
    return ResultCode::NoUpstream;
}

PeerBody fromWire(const wire::Body &in)
{
    if (in.__isset.heartbeat)
        return fromWire(in.heartbeat);
    if (in.__isset.slotAsk)
        return fromWire(in.slotAsk);
    if (in.__isset.slotGrant) {
        const wire::SlotGrant &grant = in.slotGrant;
        return SlotGrant{ RequestId{ grant.request }, UpstreamId{ grant.engine },
                          Span{ grant.leaseLength }, static_cast<std::uint64_t>(grant.basis),
                          static_cast<std::uint32_t>(grant.round) };
    }
    if (in.__isset.slotRefusal) {
        const wire::SlotRefusal &refusal = in.slotRefusal;
        return SlotRefusal{ RequestId{ refusal.request }, UpstreamId{ refusal.engine },
                            codeOf(refusal.code), static_cast<std::uint32_t>(refusal.round) };
    }
    if (in.__isset.slotRenewal)
        return fromWire(in.slotRenewal);
    if (in.__isset.slotRenewed) {
        const wire::SlotRenewed &renewed = in.slotRenewed;
        return SlotRenewed{ UpstreamId{ renewed.engine }, static_cast<std::uint64_t>(renewed.basis),
                            Span{ renewed.leaseLength }, idsOf<RequestId>(renewed.lost) };
    }
    if (in.__isset.slotRelease) {
        const wire::SlotRelease &release = in.slotRelease;
        return SlotRelease{ RequestId{ release.request }, UpstreamId{ release.engine },
                            Tokens{ release.used }, static_cast<std::uint32_t>(release.round),
                            release.cancelled };
    }
    if (in.__isset.ticketAsk)
        return TicketAsk{ TicketNumber{ static_cast<std::uint64_t>(in.ticketAsk.after) } };
    if (in.__isset.ticketPush)
        return TicketPush{ TicketNumber{ static_cast<std::uint64_t>(in.ticketPush.number) },
                           in.ticketPush.text };
    if (const std::optional<ShareBody> share = shareBodyOf(in))
        return std::visit([](const auto &body) { return PeerBody(body); }, *share);
    PeerBody body = readCallBody(in);
    return std::holds_alternative<std::monostate>(body) ? readSnapshotBody(in) : body;
}

} // namespace

std::string encodeFrame(const PeerMessage &message)
{
    wire::Envelope envelope;
    envelope.__set_sender(message.sender.value);
    envelope.__set_incarnation(static_cast<std::int64_t>(message.incarnation.value));
    wire::Body body;
    std::visit(ToWire{ body }, message.body);
    envelope.__set_body(body);

    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    envelope.write(&protocol);
    const std::string payload = buffer->getBufferAsString();

    const std::uint32_t length = static_cast<std::uint32_t>(payload.size());
    std::string frame;
    frame.reserve(frameHeaderBytes + payload.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>((length >> shift) & 0xff));
    frame += payload;
    return frame;
}

Result<PeerMessage> decodePayload(std::string_view payload)
{
    // Thrift reports malformed input by exceptions; they are converted to errors here. Well-formed
    // messages don't throw.
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        buffer->write(reinterpret_cast<const std::uint8_t *>(payload.data()),
                      static_cast<std::uint32_t>(payload.size()));
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<std::int32_t>(payload.size()),
                                                  static_cast<std::int32_t>(payload.size()));
        wire::Envelope envelope;
        envelope.read(&protocol);
        return PeerMessage{ HostId{ envelope.sender },
                            Incarnation{ static_cast<std::uint64_t>(envelope.incarnation) },
                            fromWire(envelope.body) };
    } catch (const std::exception &error) {
        return Error{ ResultCode::MessageInvalid, error.what() };
    }
}

Result<std::uint32_t> frameLength(std::string_view head)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < frameHeaderBytes; ++index)
        length = (length << 8) | static_cast<unsigned char>(head[index]);
    if (length > maxFrameBytes)
        return Error{ ResultCode::MessageInvalid,
                      "frame too long: " + std::to_string(length) + " bytes" };
    return length;
}

} // namespace azurewell
