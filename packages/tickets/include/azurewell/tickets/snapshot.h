#pragma once

#include "azurewell/tickets/state_in_force.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// A snapshot is the whole state in force after one ticket, in a sequence of segments. A host that
/// starts reads it instead of all tickets, whose number grows by 22,000 a day. A segment is JSON in
/// the format of a ticket, in which each record has the number of its own ticket.

/// Records in one segment. 1,000 adapters are about 110 KB: far below the platform's limit of one
/// megabyte, and parsed in a few milliseconds, during which a host does nothing else.
inline constexpr std::size_t recordsPerSegment = 1000;

/// The number of segments of \a state; at least one.
std::uint32_t segmentCount(const StateInForce &state);

/// Writes segment \a number (from 0) of \a state as JSON.
std::string writeSegment(const StateInForce &state, std::uint32_t number);

/// A parsed segment.
struct SnapshotSegment
{
    TicketNumber ticket;
    std::uint32_t number = 0;
    std::uint32_t count = 0;
    Ticket records; ///< Each with the number of its own ticket.
    std::vector<TicketSummary> history;
};

/// Parses a segment. Errors: TicketInvalid with the reason.
Result<SnapshotSegment> parseSegment(std::string_view text);

/// The value under `tickets/snapshot` at the platform: the ticket and segment count of its
/// snapshot.
struct SnapshotIndex
{
    TicketNumber ticket;
    std::uint32_t segments = 0;
};

std::string writeSnapshotIndex(const StateInForce &state);

/// Parses a snapshot index. Errors: TicketInvalid with the reason.
Result<SnapshotIndex> parseSnapshotIndex(std::string_view text);

/// A partly received snapshot. It is not in force before its last segment has been added.
struct SnapshotAssembly
{
    TicketNumber ticket;
    std::uint32_t count = 0;
    std::uint32_t next = 0; ///< Number of the next segment.
    StateInForce state;
};

/// Adds \a segment if it is the next one of the snapshot, and ignores it otherwise. A first segment
/// always starts a new snapshot. Returns true once the snapshot is complete.
bool addSegment(SnapshotAssembly &assembly, const SnapshotSegment &segment);

} // namespace azurewell
