#include "azurewell/limits/share_holder.h"

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

/// Holders of seats that hear each other at once unless a link is cut.
struct Holders
{
    std::vector<ShareHolder> hosts;
    ShareSettings settings;
    Instant now{ 1'000'000 };
    std::set<HostId> silent; ///< Neither send nor receive.
    std::uint64_t lives = 0;

    Holders()
    {
        this->settings.layout.smallestPart = 100;
    }
    std::size_t begin(const SeatId &seat)
    {
        const std::size_t index = this->hosts.size();
        const HostLife life{ HostId{ std::to_string(index) }, Incarnation{ ++this->lives } };
        this->hosts.push_back(makeShareHolder(seat, life, &weightOf, this->settings));
        noteTime(this->hosts.back(), this->now);
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
    void tend()
    {
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            if (this->isSilent(host))
                continue;
            for (const ShareHolder &other : this->hosts) {
                if (!this->silent.contains(other.self.host) && other.self != this->hosts[host].self)
                    noteSeat(this->hosts[host], other.seat, other.self, this->now);
            }
            std::vector<ShareOutgoing> out;
            tendShares(this->hosts[host], this->now, out);
            this->send(host, out);
        }
    }
    void pass(double seconds)
    {
        const Instant until = this->now + fromSeconds(seconds);
        while (this->now < until) {
            this->now = this->now + fromSeconds(0.05);
            this->tend();
        }
    }
    /// Reserves as much as \a host can get, a request of 100 tokens at a time.
    std::int64_t reserveAll(std::size_t host)
    {
        std::int64_t reserved = 0;
        for (int tries = 0; tries < 200; ++tries) {
            std::vector<ShareOutgoing> out;
            seekTokens(this->hosts[host], customer, Tokens{ 100 }, this->now, out);
            this->send(host, out);
            const RequestId id{ std::to_string(host) + "-" + std::to_string(++this->lives) };
            reserved += reserve(this->hosts[host], id, customer, Tokens{ 100 }, this->now) ? 100
                                                                                           : 0;
        }
        std::vector<ShareOutgoing> out;
        seekTokens(this->hosts[host], customer, Tokens{}, this->now, out);
        return reserved;
    }
};

const ZoneSeats threeZones{ { ZoneId{ "a" }, 1 }, { ZoneId{ "b" }, 1 }, { ZoneId{ "c" }, 1 } };

Holders threeHosts(ShareSettings settings = {})
{
    Holders holders;
    settings.layout.smallestPart = 100;
    holders.settings = settings;
    for (const char *zone : { "a", "b", "c" })
        holders.ticket(holders.begin(seatOf(zone)), 1, threeZones);
    holders.pass(10);
    return holders;
}

double levelOf(const ShareHolder &host, Instant now)
{
    TokenBucket bucket = host.customers.at(customer).part.bucket;
    refill(bucket, now);
    return bucket.level;
}

double partsTogether(const Holders &holders)
{
    double sum = 0;
    for (const ShareHolder &host : holders.hosts)
        sum += host.customers.at(customer).part.bucket.burst;
    return sum;
}

} // namespace

TEST(ShareLayout, FractionsSumToOneAndStayAboveARequest)
{
    ZoneSeats zones;
    for (std::uint32_t zone = 0; zone < 9; ++zone)
        zones[ZoneId{ "z" + std::to_string(zone) }] = 43 + zone % 2;
    for (const double whole : { 1000.0, 16000.0, 96000.0, 4e6 }) {
        const std::vector<SeatPart> owners = ownersOf(zones, customer, whole, {}, &weightOf);
        double sum = 0;
        for (const SeatPart &part : owners)
            sum += part.fraction;
        EXPECT_NEAR(sum, 1.0, 1e-12);
        EXPECT_LE(owners.size(), 9U);
        const double smallest = owners.front().fraction * whole;
        EXPECT_TRUE(owners.size() == 9 || smallest >= LayoutSettings{}.smallestPart);
    }
}

// The balancer sends all of a customer's traffic to one host. With a fixed part alone that host
// would refuse two thirds of a burst that the customer is entitled to.
TEST(ShareHolder, AHotHostBorrowsFromTheOthers)
{
    Holders holders = threeHosts();
    const double most = burst / 3 * (1 + 2 * holders.settings.mostPerBorrower);
    EXPECT_NEAR(static_cast<double>(holders.reserveAll(0)), most, 100);
    // The others still hold what one borrower can't take, and no more than the burst is out.
    const std::int64_t rest = holders.reserveAll(1) + holders.reserveAll(2);
    EXPECT_LE(static_cast<double>(rest), burst - most + 100);
}

// A host is replaced in the middle of a burst, twice. What it lent is still being made elsewhere; a
// successor that refilled over it would hand the customer the same room again.
TEST(ShareHolder, AReplacedLenderCountsWhatItsPredecessorsLent)
{
    for (const bool forgets : { false, true }) {
        ShareSettings settings;
        settings.faults.forgetsFormerLoans = forgets;
        Holders holders = threeHosts(settings);
        std::int64_t lent = holders.reserveAll(1) - static_cast<std::int64_t>(burst / 3);
        EXPECT_GT(lent, 0);
        for (int life = 0; life < 2; ++life) {
            const std::size_t former = life == 0 ? 0 : holders.hosts.size() - 1;
            holders.silent.insert(holders.hosts[former].self.host);
            holders.ticket(holders.begin(seatOf("a")), 1, threeZones);
            holders.pass(20);
        }
        // Half of what was lent is of seat a.
        const double together = levelOf(holders.hosts.back(), holders.now)
                + static_cast<double>(lent) / 2;
        EXPECT_EQ(together > burst / 3 + 100, forgets);
    }
}

// A process is stopped for longer than its seat may be taken over, its successor starts, and the
// old one goes on where it was. Two hosts would earn on one seat.
TEST(ShareHolder, AHostThatWakesLateAdmitsNothingUntilItsSeatIsConfirmed)
{
    Holders holders = threeHosts();
    holders.silent.insert(holders.hosts[0].self.host);
    holders.ticket(holders.begin(seatOf("a")), 1, threeZones);
    holders.pass(5);
    holders.silent.clear();
    EXPECT_GT(levelOf(holders.hosts[0], holders.now), 1.0);
    noteTime(holders.hosts[0], holders.now);
    EXPECT_FALSE(reserve(holders.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 }, holders.now));
    holders.pass(1);
    EXPECT_TRUE(holders.hosts[0].isSuperseded);
    EXPECT_FALSE(reserve(holders.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 }, holders.now));
}

// The same pause without a successor: the host serves again as soon as another one has answered.
TEST(ShareHolder, AHostThatWakesLateGoesOnOnceAnotherConfirmsIt)
{
    Holders holders = threeHosts();
    holders.silent.insert(holders.hosts[0].self.host);
    holders.pass(5);
    holders.silent.clear();
    noteTime(holders.hosts[0], holders.now);
    EXPECT_FALSE(holders.hosts[0].isTrusted);
    holders.pass(1);
    EXPECT_TRUE(reserve(holders.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 }, holders.now));
}

// A ticket gives zone c two seats more. Hosts learn of it one after the other, and one is cut off:
// parts may shrink at once but grow only when every seat has shrunk.
TEST(ShareHolder, PartsGrowOnlyWhenEverySeatHasTheTicket)
{
    for (const bool atOnce : { false, true }) {
        ShareSettings settings;
        settings.faults.movesPartsAtOnce = atOnce;
        Holders holders = threeHosts(settings);
        ZoneSeats more = threeZones;
        more[ZoneId{ "c" }] = 3;
        for (const std::uint32_t number : { 1U, 2U }) {
            const std::size_t fresh = holders.begin(seatOf("c", number));
            holders.ticket(fresh, 1, threeZones);
            holders.ticket(fresh, 2, more);
        }
        holders.ticket(1, 2, more);
        holders.pass(3);
        EXPECT_EQ(partsTogether(holders) > burst + 1, atOnce);
        holders.ticket(0, 2, more);
        holders.ticket(2, 2, more);
        holders.pass(3);
        EXPECT_NEAR(partsTogether(holders), burst, 1);
    }
}

// Two hosts see different host lists for half a minute. Their parts come from the tickets, so that
// they don't change.
TEST(ShareHolder, PartsDoNotDependOnTheHostsSeen)
{
    Holders holders = threeHosts();
    holders.silent.insert(holders.hosts[2].self.host);
    holders.pass(30);
    EXPECT_NEAR(partsTogether(holders), burst, 1e-6);
}

// A grant that comes after its ask was given up is dropped, and its lender gets the tokens back
// with the next report.
TEST(ShareHolder, TokensOfALateGrantGoBack)
{
    Holders holders = threeHosts();
    std::vector<ShareOutgoing> asks;
    seekTokens(holders.hosts[0], customer, Tokens{ 2500 }, holders.now, asks);
    ASSERT_FALSE(asks.empty());
    const std::size_t lender = std::stoul(asks[0].to.value);
    std::vector<ShareOutgoing> grants;
    onShareMessage(holders.hosts[lender], holders.hosts[0].self, asks[0].body, holders.now, grants);
    const TokenBucket &bucket = holders.hosts[lender].customers.at(customer).part.bucket;
    EXPECT_GT(bucket.reserved, 0);
    std::vector<ShareOutgoing> none;
    seekTokens(holders.hosts[0], customer, Tokens{}, holders.now, none);
    holders.pass(1);
    EXPECT_EQ(onShareMessage(holders.hosts[0], holders.hosts[lender].self, grants[0].body,
                             holders.now, none),
              std::nullopt);
    EXPECT_EQ(bucket.reserved, 0);
    EXPECT_EQ(holders.hosts[0].counters.lateGrants, 1U);
}

// Lent tokens that were not reserved in time must not be used: the lender may count them as gone.
TEST(ShareHolder, LentTokensCannotBeReservedAfterTheLease)
{
    Holders holders = threeHosts();
    std::vector<ShareOutgoing> out;
    seekTokens(holders.hosts[0], customer, Tokens{ 2900 }, holders.now, out);
    holders.send(0, out);
    holders.silent.insert(holders.hosts[0].self.host);
    holders.now = holders.now + holders.settings.lease;
    holders.hosts[0].lastEvent = holders.now; // this one was not paused
    EXPECT_FALSE(
            reserve(holders.hosts[0], RequestId{ "r" }, customer, Tokens{ 2900 }, holders.now));
}

// A host that was paused reaches no other one. Unless the operator chose otherwise it serves
// nothing, since a successor may earn on its seat.
TEST(ShareHolder, AnIsolatedHostThatWasPausedServesOnlyByTheOperatorsChoice)
{
    for (const bool resumes : { false, true }) {
        ShareSettings settings;
        settings.resumesUnconfirmed = resumes;
        Holders holders = threeHosts(settings);
        holders.now = holders.now + fromSeconds(60);
        noteTime(holders.hosts[0], holders.now);
        for (int tick = 0; tick < 200; ++tick) {
            std::vector<ShareOutgoing> lost;
            holders.now = holders.now + fromSeconds(0.1);
            tendShares(holders.hosts[0], holders.now, lost);
        }
        const bool isAdmitted = reserve(holders.hosts[0], RequestId{ "r" }, customer, Tokens{ 1 },
                                        holders.now);
        EXPECT_EQ(isAdmitted, resumes);
    }
}
