#include "azurewell/routing/upstream_speed.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

namespace azurewell {
namespace {

class UpstreamSpeedTest : public testing::Test
{
protected:
    void wait(std::int64_t millis)
    {
        this->now = this->now + std::chrono::milliseconds(millis);
    }

    /// Records own times of an upstream that takes \a ratio times the usual time.
    void learn(double ratio, int samples)
    {
        std::lognormal_distribution<double> noise(0, 0.3);
        for (int sample = 0; sample < samples; ++sample) {
            this->wait(500);
            recordOwnRatio(this->speed, ratio * noise(this->random), this->now);
        }
    }

    Instant now{ 1'000'000'000 };
    UpstreamSpeed speed;
    std::mt19937_64 random{ 7 };
};

// Guards against another choice where nothing is known.
TEST_F(UpstreamSpeedTest, IsExactlyUsualWithoutFigures)
{
    EXPECT_EQ(expectedFactor(this->speed, this->now), 1);
    EXPECT_EQ(expectedTokensPerSecond(this->speed, 22'000, this->now), 22'000);
    EXPECT_EQ(recentSlowdown(this->speed, this->now), 0);
}

// Guards against a preference among equal upstreams that follows from noise alone.
TEST_F(UpstreamSpeedTest, IsExactlyUsualForAnUpstreamOfTheUsualSpeed)
{
    int differing = 0;
    for (int sample = 0; sample < 2000; ++sample) {
        this->learn(1, 1);
        differing += expectedFactor(this->speed, this->now) == 1 ? 0 : 1;
    }
    EXPECT_LT(differing, 40);
}

TEST_F(UpstreamSpeedTest, LearnsThatAnUpstreamIsSlowerOrFaster)
{
    for (const double ratio : { 1 / 0.7, 1 / 1.7, 2.5 }) {
        this->speed = {};
        this->learn(ratio, 40);
        EXPECT_NEAR(expectedFactor(this->speed, this->now), ratio, 0.15 * ratio);
    }
}

// Guards against figures of the past that hold forever.
TEST_F(UpstreamSpeedTest, ForgetsOwnSamples)
{
    this->learn(2.5, 40);
    this->wait(120'000);
    EXPECT_EQ(expectedFactor(this->speed, this->now), 1);
}

// Guards against an upstream that is avoided for long after a slow period of 0.6 s.
TEST_F(UpstreamSpeedTest, TrustsAStatedSlowdownForAShortTime)
{
    for (int sample = 0; sample < 100; ++sample) {
        this->wait(100);
        recordSlowdown(this->speed, sample % 7 == 0 ? 2.5 : 1, this->now);
    }
    const double mean = meanOf(this->speed.slowdowns);
    recordSlowdown(this->speed, 2.5, this->now);
    EXPECT_DOUBLE_EQ(expectedFactor(this->speed, this->now), 2.5);
    this->wait(200);
    EXPECT_GT(expectedFactor(this->speed, this->now), 1.7);
    this->wait(2800);
    EXPECT_NEAR(expectedFactor(this->speed, this->now), mean, 0.05);
    EXPECT_EQ(recentSlowdown(this->speed, this->now), 0);
}

// Guards against values that would send all requests to an upstream, or none ever again.
TEST_F(UpstreamSpeedTest, IgnoresImplausibleSlowdowns)
{
    constexpr double nan = std::numeric_limits<double>::quiet_NaN();
    constexpr double infinity = std::numeric_limits<double>::infinity();
    for (const double value : { 0.0, -1.0, 101.0, 1e300, nan, infinity, -infinity })
        EXPECT_FALSE(recordSlowdown(this->speed, value, this->now));
    EXPECT_EQ(expectedFactor(this->speed, this->now), 1);
    EXPECT_TRUE(recordSlowdown(this->speed, 1e-9, this->now));
    EXPECT_GE(expectedFactor(this->speed, this->now), minSlowdown);
}

// Guards against a rate that outlives the coordinator that stated it.
TEST_F(UpstreamSpeedTest, ReturnsToOwnSamplesWithoutACoordinator)
{
    this->learn(2, 40);
    recordCoordinator(this->speed, 30'000, 500, this->now);
    EXPECT_DOUBLE_EQ(expectedTokensPerSecond(this->speed, 22'000, this->now), 30'000);
    for (int second = 0; second < 60; ++second) {
        this->wait(500);
        this->learn(2, 1);
    }
    EXPECT_NEAR(expectedTokensPerSecond(this->speed, 22'000, this->now), 11'000, 2'500);
}

// Guards against a coordinator's mean rate that hides a slow period.
TEST_F(UpstreamSpeedTest, AppliesAStatedSlowdownToTheCoordinatorsRate)
{
    for (int sample = 0; sample < 20; ++sample)
        recordSlowdown(this->speed, 1, this->now);
    recordCoordinator(this->speed, 30'000, 0, this->now);
    recordSlowdown(this->speed, 2.5, this->now);
    EXPECT_LT(expectedTokensPerSecond(this->speed, 22'000, this->now), 14'000);
}

} // namespace
} // namespace azurewell
