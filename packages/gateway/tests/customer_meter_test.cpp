#include "azurewell/gateway/customer_meter.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

constexpr Span quarter = std::chrono::milliseconds(250);

/// Maximum use in a window as a multiple of rate and burst, although the limits tolerate a quarter
/// more.
constexpr double maxUseFactor = 1.05;

class CustomerMeterTest : public testing::Test
{
protected:
    CustomerMeterTest()
    {
        this->customer.countsTokens = true;
        this->customer.rate.perSecond = 1000;
        this->customer.burst.count = 1000;
        this->limits.overshoot = 0.25;
        this->members.self.value = "h0";
    }

    Member receiveFrom(const std::string &name, bool isLeaving = false)
    {
        Member member{ HostId{ name }, ZoneId{ "z" }, { name, 1 }, Incarnation{ 1 },
                       this->now,      this->now,     isLeaving,   false };
        recordMember(this->members, member);
        return member;
    }

    /// Admits requests of \a size until one is refused; returns the tokens admitted.
    double admitAll(CustomerMeter &meter, double size)
    {
        double sum = 0;
        while (!admit(meter, this->customer, size, this->limits, this->start, this->members,
                      this->now))
            sum += size;
        return sum;
    }

    Instant now{ 1'000'000'000 };
    Customer customer;
    MeterLimits limits;
    MeterStart start{ true, this->now };
    Members members;
};

TEST_F(CustomerMeterTest, AdmitsAtMostRateAndBurstPerWindow)
{
    CustomerMeter meter;
    const double capacity = (1000 * 8 + 1000) * maxUseFactor;
    const double first = this->admitAll(meter, 50);
    EXPECT_GT(first, capacity * 0.93);
    EXPECT_LE(first, capacity);
    this->now = this->now + std::chrono::seconds(4);
    EXPECT_EQ(this->admitAll(meter, 50), 0);
    this->now = this->now + std::chrono::milliseconds(4400);
    EXPECT_GT(this->admitAll(meter, 50), capacity * 0.9);
}

TEST_F(CustomerMeterTest, CountsAdmissionsOfOtherHosts)
{
    // Guards against two hosts each admitting the whole limit when the balancer spreads a
    // customer's connections over both.
    CustomerMeter meter;
    this->receiveFrom("h1");
    recordAdmittedElsewhere(meter, HostId{ "h1" }, Incarnation{ 1 }, 6000, 6000, this->limits,
                            this->now);
    recordAdmittedElsewhere(meter, HostId{ "h1" }, Incarnation{ 1 }, 7000, 7000, this->limits,
                            this->now);
    const double here = this->admitAll(meter, 50);
    EXPECT_LE(here + 7000, 9000 * maxUseFactor);
    EXPECT_GT(here + 7000, 9000 * maxUseFactor * 0.93);
}

TEST_F(CustomerMeterTest, ReservesShareOfUnreachableHost)
{
    // Guards against exceeding the limit in a network partition, in which the unreachable host may
    // serve the same customer with half of the limit.
    CustomerMeter meter;
    this->receiveFrom("h1");
    this->now = this->now + std::chrono::seconds(3);
    EXPECT_LE(this->admitAll(meter, 50), 9000 * maxUseFactor / 2);
}

// Guards against exceeding the limit when messages are lost in one direction: the other host counts
// this one as unreachable and hears of nothing that it admits.
TEST_F(CustomerMeterTest, ReservesShareOfHostThatDoesNotHearThisOne)
{
    CustomerMeter meter;
    Member other = this->receiveFrom("h1");
    other.heardByAt = this->now;
    this->now = this->now + std::chrono::seconds(3);
    other.lastMessageAt = this->now;
    recordMember(this->members, other);
    EXPECT_LE(this->admitAll(meter, 50), 9000 * maxUseFactor / 2);
}

TEST_F(CustomerMeterTest, UsesShareOfHostThatAnnouncedLeaving)
{
    CustomerMeter meter;
    this->receiveFrom("h1", true);
    this->now = this->now + std::chrono::milliseconds(500);
    EXPECT_GT(this->admitAll(meter, 50), 9000 * maxUseFactor * 0.9);
}

TEST_F(CustomerMeterTest, DoesNotGrantTheWholeWindowAgainAfterRestart)
{
    // Guards against exceeding the limit after all hosts lose power right after a customer has used
    // its whole limit. A new process knows nothing of that, but the window still contains it.
    CustomerMeter meter;
    this->start = { false, this->now };
    double since = this->admitAll(meter, 50);
    EXPECT_LE(since, 9000 * maxUseFactor * 0.16);
    for (int step = 0; step < 28; ++step) {
        this->now = this->now + quarter;
        since += this->admitAll(meter, 50);
        const double before = std::max(0.0, 8 - 1.5 - 0.25 * (step + 1)) / 8;
        EXPECT_LE(since + before * 9000 * maxUseFactor, 9000 * 1.25 * 1.02);
    }
    EXPECT_GT(since, 9000 * maxUseFactor * 0.8);
}

TEST_F(CustomerMeterTest, IgnoresUpdatesOfEarlierIncarnation)
{
    CustomerMeter meter;
    this->receiveFrom("h1");
    recordAdmittedElsewhere(meter, HostId{ "h1" }, Incarnation{ 2 }, 100, 100, this->limits,
                            this->now);
    recordAdmittedElsewhere(meter, HostId{ "h1" }, Incarnation{ 1 }, 9000, 9000, this->limits,
                            this->now);
    EXPECT_DOUBLE_EQ(meter.others.at(HostId{ "h1" }).window.sum, 100);
}

TEST_F(CustomerMeterTest, ZeroRateMeansNoLimit)
{
    this->customer.rate.perSecond = 0;
    CustomerMeter meter;
    EXPECT_FALSE(
            admit(meter, this->customer, 1e9, this->limits, this->start, this->members, this->now));
}

} // namespace
} // namespace azurewell::gateway
