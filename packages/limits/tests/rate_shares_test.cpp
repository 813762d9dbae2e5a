#include "azurewell/limits/rate_shares.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const CustomerId customer{ "c" };
constexpr double rate = 1000;
constexpr double burst = 6000;

std::uint64_t weightOf(const CustomerId &, const SeatId &seat)
{
    return seat.number.value + 1;
}

SeatId seatOf(const char *zone, std::uint32_t number = 0)
{
    return SeatId{ ZoneId{ zone }, SeatNumber{ number } };
}

/// Hosts that exchange messages without delay, except those that are partitioned.
struct TestFleet
{
    std::vector<RateShares> hosts;
    ShareSettings settings;
    Instant now{ 1'000'000 };
    std::set<HostId> silent; ///< Hosts that neither send nor receive.
    std::uint64_t serial = 0;

    TestFleet()
    {
        this->settings.layout.minShareTokens = 100;
    }
    std::size_t begin(const SeatId &seat)
    {
        const std::size_t index = this->hosts.size();
        const HostIncarnation self{ HostId{ std::to_string(index) },
                                    Incarnation{ ++this->serial } };
        this->hosts.push_back(makeRateShares(seat, self, &weightOf, this->settings));
        detectPause(this->hosts.back(), this->now);
        return index;
    }
    void ticket(std::size_t host, std::uint64_t number, const ZoneSeats &zones)
    {
        setTerms(this->hosts[host], TicketNumber{ number }, zones,
                 { ShareTerms{ customer, rate, burst } }, this->now);
    }
    void send(std::size_t from, const std::vector<ShareOutgoing> &messages)
    {
        for (const ShareOutgoing &message : messages) {
            const std::size_t to = std::stoul(message.to.value);
            if (this->silent.contains(message.to) || this->isSilent(from))
                continue;
            std::vector<ShareOutgoing> answers;
            onShareMessage(this->hosts[to], this->hosts[from].self, message.body, this->now,
                           answers);
            this->send(to, answers);
        }
    }
    bool isSilent(std::size_t host) const
    {
        return this->silent.contains(this->hosts[host].self.host);
    }
    void poll()
    {
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            if (this->isSilent(host))
                continue;
            for (const RateShares &other : this->hosts) {
                if (!this->silent.contains(other.self.host) && other.self != this->hosts[host].self)
                    recordContact(this->hosts[host], other.seat, other.self, this->now);
            }
            std::vector<ShareOutgoing> out;
            pollShares(this->hosts[host], this->now, out);
            this->send(host, out);
        }
    }
    void pass(double seconds)
    {
        const Instant until = this->now + fromSeconds(seconds);
        while (this->now < until) {
            this->now = this->now + fromSeconds(0.05);
            this->poll();
        }
    }
    /// Reserves as much as \a host can get, in requests of 100 tokens.
    std::int64_t reserveAll(std::size_t host)
    {
        std::int64_t reserved = 0;
        for (int tries = 0; tries < 200; ++tries) {
            std::vector<ShareOutgoing> out;
            requestTokens(this->hosts[host], customer, Tokens{ 100 }, this->now, out);
            this->send(host, out);
            const RequestId id{ std::to_string(host) + "-" + std::to_string(++this->serial) };
            reserved += reserve(this->hosts[host], id, customer, Tokens{ 100 }, this->now) ? 100
                                                                                           : 0;
        }
        std::vector<ShareOutgoing> out;
        requestTokens(this->hosts[host], customer, Tokens{}, this->now, out);
        return reserved;
    }
};

const ZoneSeats threeZones{ { ZoneId{ "a" }, 1 }, { ZoneId{ "b" }, 1 }, { ZoneId{ "c" }, 1 } };

TestFleet threeHosts(ShareSettings settings = {})
{
    TestFleet fleet;
    settings.layout.minShareTokens = 100;
    fleet.settings = settings;
    for (const char *zone : { "a", "b", "c" })
        fleet.ticket(fleet.begin(seatOf(zone)), 1, threeZones);
    fleet.pass(10);
    return fleet;
}

double levelOf(const RateShares &host, Instant now)
{
    TokenBucket bucket = host.customers.at(customer).ownedShare.bucket;
    refill(bucket, now);
    return bucket.level;
}

double sumOfShares(const TestFleet &fleet)
{
    double sum = 0;
    for (const RateShares &host : fleet.hosts)
        sum += host.customers.at(customer).ownedShare.bucket.burst;
    return sum;
}

} // namespace

TEST(ShareLayout, FractionsSumToOneAndStayAboveMinimum)
{
    ZoneSeats zones;
    for (std::uint32_t zone = 0; zone < 9; ++zone)
        zones[ZoneId{ "z" + std::to_string(zone) }] = 43 + zone % 2;
    for (const double whole : { 1000.0, 16000.0, 96000.0, 4e6 }) {
        const std::vector<SeatShare> owners = ownersOf(zones, customer, whole, {}, &weightOf);
        double sum = 0;
        for (const SeatShare &share : owners)
            sum += share.fraction;
        EXPECT_NEAR(sum, 1.0, 1e-12);
        EXPECT_LE(owners.size(), 9U);
        const double smallest = owners.front().fraction * whole;
        EXPECT_TRUE(owners.size() == 9 || smallest >= LayoutSettings{}.minShareTokens);
    }
}

// Guards against wrongful refusal when the balancer sends all of a customer's traffic to one host:
// with its own share alone that host would refuse two thirds of the burst.
TEST(RateShares, HotHostBorrowsFromOthers)
{
    TestFleet fleet = threeHosts();
    const double reach = burst / 3 * (1 + 2 * fleet.settings.maxFractionPerBorrower);
    EXPECT_NEAR(static_cast<double>(fleet.reserveAll(0)), reach, 100);
    // The others still hold what one borrower can't take, and the sum stays within the burst.
    const std::int64_t rest = fleet.reserveAll(1) + fleet.reserveAll(2);
    EXPECT_LE(static_cast<double>(rest), burst - reach + 100);
}

// Guards against lending the same tokens twice when a lender is replaced during a burst. What it
// lent is still being generated elsewhere; a successor must not refill over it.
TEST(RateShares, ReplacedLenderReservesFormerLoans)
{
    for (const bool forgets : { false, true }) {
        ShareSettings settings;
        settings.faults.forgetsFormerLoans = forgets;
        TestFleet fleet = threeHosts(settings);
        std::int64_t lent = fleet.reserveAll(1) - static_cast<std::int64_t>(burst / 3);
        EXPECT_GT(lent, 0);
        for (int replacement = 0; replacement < 2; ++replacement) {
            const std::size_t former = replacement == 0 ? 0 : fleet.hosts.size() - 1;
            fleet.silent.insert(fleet.hosts[former].self.host);
            fleet.ticket(fleet.begin(seatOf("a")), 1, threeZones);
            fleet.pass(20);
        }
        // Half of what was lent belongs to the host ordinal in zone a.
        const double together = levelOf(fleet.hosts.back(), fleet.now)
                + static_cast<double>(lent) / 2;
        EXPECT_EQ(together > burst / 3 + 100, forgets);
    }
}

// Guards against two hosts that earn on one ordinal: a process is paused for so long that a
// successor takes its ordinal, and then resumes.
TEST(RateShares, PausedHostAdmitsNothingUntilConfirmed)
{
    TestFleet fleet = threeHosts();
    fleet.silent.insert(fleet.hosts[0].self.host);
    fleet.ticket(fleet.begin(seatOf("a")), 1, threeZones);
    fleet.pass(5);
    fleet.silent.clear();
    EXPECT_GT(levelOf(fleet.hosts[0], fleet.now), 1.0);
    detectPause(fleet.hosts[0], fleet.now);
    EXPECT_FALSE(reserve(fleet.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 }, fleet.now));
    fleet.pass(1);
    EXPECT_TRUE(fleet.hosts[0].isSuperseded);
    EXPECT_FALSE(reserve(fleet.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 }, fleet.now));
}

// Guards against a paused host that never serves again: without a successor it must resume as soon
// as another host has confirmed its ordinal.
TEST(RateShares, PausedHostResumesOnceConfirmed)
{
    TestFleet fleet = threeHosts();
    fleet.silent.insert(fleet.hosts[0].self.host);
    fleet.pass(5);
    fleet.silent.clear();
    detectPause(fleet.hosts[0], fleet.now);
    EXPECT_FALSE(fleet.hosts[0].isTrusted);
    fleet.pass(1);
    EXPECT_TRUE(reserve(fleet.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 }, fleet.now));
}

// Guards against shares that add up to more than the whole while a ticket is being distributed. A
// ticket adds two ordinals to zone c and hosts receive it one after the other: shares may shrink at
// once but grow only when every host has applied it.
TEST(RateShares, SharesGrowOnlyWhenEveryHostHasTheTicket)
{
    for (const bool atOnce : { false, true }) {
        ShareSettings settings;
        settings.faults.growsSharesAtOnce = atOnce;
        TestFleet fleet = threeHosts(settings);
        ZoneSeats more = threeZones;
        more[ZoneId{ "c" }] = 3;
        for (const std::uint32_t number : { 1U, 2U }) {
            const std::size_t fresh = fleet.begin(seatOf("c", number));
            fleet.ticket(fresh, 1, threeZones);
            fleet.ticket(fresh, 2, more);
        }
        fleet.ticket(1, 2, more);
        fleet.pass(3);
        EXPECT_EQ(sumOfShares(fleet) > burst + 1, atOnce);
        fleet.ticket(0, 2, more);
        fleet.ticket(2, 2, more);
        fleet.pass(3);
        EXPECT_NEAR(sumOfShares(fleet), burst, 1);
    }
}

// Guards against shares that change with the visible host list: one host is unreachable for 30 s,
// and shares depend on tickets only.
TEST(RateShares, SharesDoNotDependOnReachableHosts)
{
    TestFleet fleet = threeHosts();
    fleet.silent.insert(fleet.hosts[2].self.host);
    fleet.pass(30);
    EXPECT_NEAR(sumOfShares(fleet), burst, 1e-6);
}

// Guards against losing the tokens of a late grant: a grant that arrives after its request timed
// out is dropped, and the lender recovers the tokens with the next report.
TEST(RateShares, LateGrantIsReturnedToLender)
{
    TestFleet fleet = threeHosts();
    std::vector<ShareOutgoing> asks;
    requestTokens(fleet.hosts[0], customer, Tokens{ 2500 }, fleet.now, asks);
    ASSERT_FALSE(asks.empty());
    const std::size_t lender = std::stoul(asks[0].to.value);
    std::vector<ShareOutgoing> grants;
    onShareMessage(fleet.hosts[lender], fleet.hosts[0].self, asks[0].body, fleet.now, grants);
    const TokenBucket &bucket = fleet.hosts[lender].customers.at(customer).ownedShare.bucket;
    EXPECT_GT(bucket.reserved, 0);
    std::vector<ShareOutgoing> none;
    requestTokens(fleet.hosts[0], customer, Tokens{}, fleet.now, none);
    fleet.pass(1);
    EXPECT_EQ(onShareMessage(fleet.hosts[0], fleet.hosts[lender].self, grants[0].body, fleet.now,
                             none),
              std::nullopt);
    EXPECT_EQ(bucket.reserved, 0);
    EXPECT_EQ(fleet.hosts[0].counters.lateGrants, 1U);
}

// Guards against the use of lent tokens after their lease, when the lender may have written them
// off.
TEST(RateShares, LentTokensCannotBeReservedAfterTheLease)
{
    TestFleet fleet = threeHosts();
    std::vector<ShareOutgoing> out;
    requestTokens(fleet.hosts[0], customer, Tokens{ 2900 }, fleet.now, out);
    fleet.send(0, out);
    fleet.silent.insert(fleet.hosts[0].self.host);
    fleet.now = fleet.now + fleet.settings.lease;
    fleet.hosts[0].lastEventAt = fleet.now; // this one was not paused
    EXPECT_FALSE(reserve(fleet.hosts[0], RequestId{ "r" }, customer, Tokens{ 2900 }, fleet.now));
}

// Guards against two hosts on one ordinal when a paused host can't reach any other. It admits
// nothing, since a successor may exist, unless the operator has enabled resumesUnconfirmed.
TEST(RateShares, IsolatedPausedHostResumesOnlyIfConfigured)
{
    for (const bool resumes : { false, true }) {
        ShareSettings settings;
        settings.resumesUnconfirmed = resumes;
        TestFleet fleet = threeHosts(settings);
        fleet.now = fleet.now + fromSeconds(60);
        detectPause(fleet.hosts[0], fleet.now);
        for (int tick = 0; tick < 200; ++tick) {
            std::vector<ShareOutgoing> lost;
            fleet.now = fleet.now + fromSeconds(0.1);
            pollShares(fleet.hosts[0], fleet.now, lost);
        }
        const bool isAdmitted = reserve(fleet.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 },
                                        fleet.now);
        EXPECT_EQ(isAdmitted, resumes);
    }
}
