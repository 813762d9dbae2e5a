#include "azurewell/tickets/state_in_force.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const std::string firstTicket = R"({
  // the first customer
  "ticket": 1, "by": "ana", "why": "first customer",
  "set": {
    "zones": [ { "id": "centro", "seats": 2 } ],
    "customers": [ { "id": "grua", "rate": 1000, "burst": 4000, "services": ["filings"] } ],
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "grua", "state": "issued" } ],
    "adapters": [ { "adapter": "routes@3", "customer": "grua", "base": "m" } ],
    "services": [ { "id": "filings", "idempotent": false } ]
  } })";

const KeyHash key{ std::string(64, 'a') };

StateInForce stateAfterFirst()
{
    StateInForce state;
    EXPECT_TRUE(applyTicket(state, parseTicket(firstTicket).value()));
    return state;
}

} // namespace

TEST(Tickets, TicketPutsItsRecordsInForce)
{
    const StateInForce state = stateAfterFirst();
    const Result<const Customer *> customer = customerOf(state, key);
    ASSERT_TRUE(customer);
    EXPECT_EQ(customer.value()->burst, Tokens{ 4000 });
    EXPECT_EQ(customer.value()->ticket, TicketNumber{ 1 });
    EXPECT_TRUE(adapterFor(state, CustomerId{ "grua" }, AdapterRef{ "routes@3" }));
    EXPECT_FALSE(adapterFor(state, CustomerId{ "other" }, AdapterRef{ "routes@3" }));
}

// Guards against a ticket number in force that decreases or skips one: an operator publishes ticket
// 3 before ticket 2, or the platform serves an old value again.
TEST(Tickets, NumbersNeitherSkipNorDecrease)
{
    StateInForce state = stateAfterFirst();
    Ticket ticket = parseTicket(firstTicket).value();
    EXPECT_EQ(applyTicket(state, ticket).error().code, ResultCode::TicketOutOfOrder);
    ticket.number = TicketNumber{ 3 };
    EXPECT_EQ(applyTicket(state, ticket).error().code, ResultCode::TicketOutOfOrder);
    EXPECT_EQ(state.ticket, TicketNumber{ 1 });
}

// Guards against applying half of an invalid ticket: it refers to an unknown customer, and none of
// its records may come into force.
TEST(Tickets, InvalidTicketChangesNothing)
{
    StateInForce state = stateAfterFirst();
    const std::string bad = R"({ "ticket": 2, "by": "b", "why": "w", "set": {
        "customers": [ { "id": "new", "rate": 1, "burst": 1 } ],
        "adapters": [ { "adapter": "x@1", "customer": "nobody", "base": "m" } ] } })";
    EXPECT_EQ(applyTicket(state, parseTicket(bad).value()).error().code, ResultCode::TicketInvalid);
    EXPECT_FALSE(state.customers.contains(CustomerId{ "new" }));
}

TEST(Tickets, ErrorsNameLineOrKey)
{
    const Result<Ticket> broken = parseTicket("{\n \"ticket\": 1,\n oops }");
    ASSERT_FALSE(broken);
    EXPECT_NE(broken.error().detail.find("line 3"), std::string::npos);
    const Result<Ticket> misspelt = parseTicket(
            R"({ "ticket": 1, "by": "b", "why": "w", "set": { "custmers": [] } })");
    ASSERT_FALSE(misspelt);
    EXPECT_EQ(misspelt.error().detail, "set.custmers: is not a known key");
}
