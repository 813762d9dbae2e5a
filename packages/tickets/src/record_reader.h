#pragma once

#include "azurewell/tickets/json_reader.h"
#include "azurewell/tickets/ticket.h"

namespace azurewell {

inline constexpr double maxTicketNumber = 9e15; // integers up to this are exact in a double
inline constexpr double maxSegments = 100'000;

/// Where records are read from. In a snapshot each record has the number of its own ticket; in a
/// ticket that is an error.
struct RecordSource
{
    TicketNumber ticket;
    bool isSnapshot = false;
};

/// Reads the records in the `set` object of a ticket or segment into \a ticket.
void readSets(JsonReader &sets, const RecordSource &source, Ticket &ticket);

} // namespace azurewell
