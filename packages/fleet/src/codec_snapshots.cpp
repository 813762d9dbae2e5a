#include "codec_snapshots.h"

namespace azurewell {

void writeBody(wire::Body &out, const SnapshotAsk &in)
{
    wire::SnapshotAsk ask;
    ask.__set_ticket(static_cast<std::int64_t>(in.ticket.value));
    ask.__set_segment(static_cast<std::int32_t>(in.segment));
    out.__set_snapshotAsk(ask);
}

void writeBody(wire::Body &out, const SnapshotPart &in)
{
    wire::SnapshotPart part;
    part.__set_ticket(static_cast<std::int64_t>(in.ticket.value));
    part.__set_segment(static_cast<std::int32_t>(in.segment));
    part.__set_text(in.text);
    out.__set_snapshotPart(part);
}

PeerBody readSnapshotBody(const wire::Body &in)
{
    if (in.__isset.snapshotAsk)
        return SnapshotAsk{ TicketNumber{ static_cast<std::uint64_t>(in.snapshotAsk.ticket) },
                            static_cast<std::uint32_t>(in.snapshotAsk.segment) };
    if (in.__isset.snapshotPart)
        return SnapshotPart{ TicketNumber{ static_cast<std::uint64_t>(in.snapshotPart.ticket) },
                             static_cast<std::uint32_t>(in.snapshotPart.segment),
                             in.snapshotPart.text };
    return std::monostate{};
}

} // namespace azurewell
