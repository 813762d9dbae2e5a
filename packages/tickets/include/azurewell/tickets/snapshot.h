#pragma once

#include "azurewell/tickets/state_in_force.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// A snapshot is the whole state in force after one ticket, as a row of segments. A host that
/// starts reads it instead of every ticket since the first: 22,000 a day would take it ever longer.
/// A segment is JSON in the form of a ticket, each record with the number of its own ticket.

/// Records in one segment. 1,000 adapters are about 110 KB: far under the platform's megabyte, and
/// read in a few milliseconds, during which a host does nothing else.
inline constexpr std::size_t recordsPerSegment = 1000;

/// How many segments the state makes; at least one.
std::uint32_t segmentCount(const StateInForce &state);

/// Segment \a number (from 0) of the state.
std::string writeSegment(const StateInForce &state, std::uint32_t number);

/// One segment, read.
struct SnapshotSegment
{
    TicketNumber ticket;
    std::uint32_t number = 0;
    std::uint32_t count = 0;
    Ticket records; ///< Each with the number of its own ticket.
    std::vector<TicketSummary> history;
};

/// Reads a segment. Errors: TicketInvalid with what is wrong.
Result<SnapshotSegment> parseSegment(std::string_view text);

/// What the platform holds under `tickets/snapshot`: which snapshot its segments make.
struct SnapshotIndex
{
    TicketNumber ticket;
    std::uint32_t segments = 0;
};

std::string writeSnapshotIndex(const StateInForce &state);

/// Errors: TicketInvalid.
Result<SnapshotIndex> parseSnapshotIndex(std::string_view text);

/// A snapshot on its way. Nothing of it is in force before the last segment is here.
struct SnapshotAssembly
{
    TicketNumber ticket;
    std::uint32_t count = 0;
    std::uint32_t next = 0; ///< The segment that is awaited.
    StateInForce state;
};

/// Adds \a segment if it is the one awaited; one of another snapshot begins anew where it is the
/// first, and is ignored otherwise. True once the snapshot is whole.
bool addSegment(SnapshotAssembly &assembly, const SnapshotSegment &segment);

} // namespace azurewell
