#include "azurewell/calls/call_ledger.h"

#include <gtest/gtest.h>

#include <string>

using namespace azurewell;

namespace {

const CustomerId customer{ "consorcio" };

struct Fixture
{
    CallLedger ledger;
    Instant now{ 1 };

    Fixture()
    {
        this->ledger.host = HostId{ "h.1" };
        this->ledger.incarnation = Incarnation{ 7 };
        this->ledger.secret = 99;
    }
    PermitVerdict ask(const CallNumber &number, const std::string &request,
                      const CustomerId &by = customer)
    {
        const PermitAsk asked{ number, by, RequestId{ request }, fromSeconds(30) };
        return decidePermit(this->ledger, asked, this->now).verdict;
    }
    void report(const CallNumber &number, const std::string &request, CallOutcome outcome)
    {
        recordOutcome(this->ledger,
                      OutcomeReport{ number, customer, RequestId{ request }, outcome,
                                     HeldAnswer{ 201, "text/plain", "filed" } },
                      this->now);
    }
};

} // namespace

TEST(CallNumber, RoundTripsWithDotsInTheHostName)
{
    const CallNumberParts parts{ HostId{ "entry.1" }, Incarnation{ 12 }, 345, 0x00ab12cd };
    const std::optional<CallNumberParts> back = parseCallNumber(formatCallNumber(parts));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->host, parts.host);
    EXPECT_EQ(back->incarnation, parts.incarnation);
    EXPECT_EQ(back->sequence, parts.sequence);
    EXPECT_EQ(back->check, parts.check);
    for (const char *bad : { "", ".", "h.1.2", "h.1.2.3", "h.1.x.00000000", ".1.2.00000000",
                             "h.1.-2.00000000", "h.99999999999999999999.2.00000000" })
        EXPECT_FALSE(parseCallNumber(CallNumber{ bad })) << bad;
}

TEST(CallLedger, OnlyOnePermitPerNumber)
{
    Fixture fixture;
    const CallNumber number = issueCallNumber(fixture.ledger, customer);
    EXPECT_EQ(fixture.ask(number, "a"), PermitVerdict::Granted);
    EXPECT_EQ(fixture.ask(number, "a"), PermitVerdict::Granted) << "the reply was lost";
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::InProgress);
    fixture.report(number, "b", CallOutcome::NotRun);
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::InProgress) << "only the holder reports";
    fixture.report(number, "a", CallOutcome::Done);
    fixture.report(number, "a", CallOutcome::NotRun);
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::Done);
}

// A host gets the permit, finds no back end and returns the permit, and the caller's next attempt
// runs. A delayed duplicate of the first permit request must not be granted again.
TEST(CallLedger, AReturnedPermitIsGrantedAgain)
{
    Fixture fixture;
    const CallNumber number = issueCallNumber(fixture.ledger, customer);
    EXPECT_EQ(fixture.ask(number, "a"), PermitVerdict::Granted);
    fixture.report(number, "a", CallOutcome::NotRun);
    EXPECT_EQ(fixture.ask(number, "a"), PermitVerdict::Withdrawn);
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::Granted);
    fixture.report(number, "a", CallOutcome::NotRun);
    EXPECT_EQ(fixture.ask(number, "c"), PermitVerdict::InProgress);
}

// The host that holds the permit is replaced and never reports. Whether the call ran is unknown, so
// it must not be permitted again.
TEST(CallLedger, NoReportMeansUnknownAndNeverNotRun)
{
    Fixture fixture;
    const CallNumber number = issueCallNumber(fixture.ledger, customer);
    EXPECT_EQ(fixture.ask(number, "a"), PermitVerdict::Granted);
    fixture.now = fixture.now + fromSeconds(40);
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::Unknown);
    EXPECT_FALSE(isCertainlyUnused(fixture.ledger, number, customer));
    fixture.ledger.fault = CallFault::RegrantsUnknown;
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::Granted)
            << "the effect of the injected fault";
}

// A caller mistypes a number, uses another customer's, or repeats one that an earlier incarnation
// of the host issued. Only the last call can have run.
TEST(CallLedger, InvalidAndForeignNumbersAreDistinguished)
{
    Fixture fixture;
    const CallNumber number = issueCallNumber(fixture.ledger, customer);
    const CustomerId other{ "gruas" };
    issueCallNumber(fixture.ledger, other);
    EXPECT_EQ(fixture.ask(number, "x", other), PermitVerdict::Invalid);
    EXPECT_EQ(fixture.ask(CallNumber{ "h.1.7.2.00000000" }, "x"), PermitVerdict::Invalid);
    EXPECT_EQ(fixture.ask(CallNumber{ "h.1.6.1.00000000" }, "x"), PermitVerdict::Unknown);
    EXPECT_TRUE(fixture.ledger.customers.at(other).records.empty());
}

// A customer makes far more calls than the ledger holds, then repeats its oldest, whose record was
// evicted. That call must not run again, and another customer's records must not be evicted.
TEST(CallLedger, EvictedCallsAreReportedAsExpired)
{
    for (const CallFault fault : { CallFault::None, CallFault::KeepsWatermark }) {
        Fixture fixture;
        fixture.ledger.fault = fault;
        const CustomerId quiet{ "gruas" };
        const CallNumber ofQuiet = issueCallNumber(fixture.ledger, quiet);
        EXPECT_EQ(fixture.ask(ofQuiet, "q", quiet), PermitVerdict::Granted);
        const CallNumber unused = issueCallNumber(fixture.ledger, customer);
        const CallNumber first = issueCallNumber(fixture.ledger, customer);
        EXPECT_EQ(fixture.ask(first, "r"), PermitVerdict::Granted);
        for (std::size_t call = 0; call < maxCallRecords; ++call)
            fixture.ask(issueCallNumber(fixture.ledger, customer), "r" + std::to_string(call));
        EXPECT_EQ(fixture.ledger.records, maxCallRecords);
        const bool isSafe = fixture.ask(first, "again") == PermitVerdict::Expired
                && fixture.ask(unused, "late") == PermitVerdict::Expired;
        EXPECT_EQ(isSafe, fault == CallFault::None);
        EXPECT_EQ(fixture.ask(ofQuiet, "q2", quiet), PermitVerdict::InProgress);
        EXPECT_FALSE(isCertainlyUnused(fixture.ledger, first, customer) && isSafe);
    }
}

TEST(CallLedger, SettledCallsExpireAndStoredAnswersStayWithinTheLimit)
{
    Fixture fixture;
    const CallNumber number = issueCallNumber(fixture.ledger, customer);
    fixture.ask(number, "a");
    fixture.report(number, "a", CallOutcome::Done);
    fixture.now = fixture.now + callRetention - fromSeconds(1);
    evictExpiredCalls(fixture.ledger, fixture.now);
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::Done);
    fixture.now = fixture.now + fromSeconds(1);
    evictExpiredCalls(fixture.ledger, fixture.now);
    EXPECT_EQ(fixture.ask(number, "b"), PermitVerdict::Expired);
    EXPECT_EQ(fixture.ledger.records, 0U);
    EXPECT_EQ(fixture.ledger.answerBytes, 0U);
    const std::string large(maxHeldAnswerBytes, 'x');
    for (int call = 0; call < 1000; ++call) {
        const CallNumber next = issueCallNumber(fixture.ledger, customer);
        const std::string request = std::to_string(call);
        fixture.ask(next, request);
        recordOutcome(fixture.ledger,
                      OutcomeReport{ next, customer, RequestId{ request }, CallOutcome::Done,
                                     HeldAnswer{ 200, "t", large } },
                      fixture.now);
        ASSERT_LE(fixture.ledger.answerBytes, maxTotalAnswerBytes);
    }
}
