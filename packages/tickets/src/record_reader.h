#pragma once

#include "azurewell/tickets/json_reader.h"
#include "azurewell/tickets/ticket.h"

namespace azurewell {

inline constexpr double mostTicketNumber = 9e15; // integers up to here are exact in a double
inline constexpr double mostSegments = 100'000;

/// Where records are read from. In a snapshot each carries the number of its own ticket; in a
/// ticket none may.
struct RecordSource
{
    TicketNumber ticket;
    bool isSnapshot = false;
};

/// Reads the records of a ticket's or segment's `set` into \a ticket.
void readSets(JsonReader &sets, const RecordSource &source, Ticket &ticket);

} // namespace azurewell
