#include "azurewell/fleet/coordinator_views.h"

#include <gtest/gtest.h>

#include <array>

using namespace azurewell;

namespace {

const HostId h0{ "h0" };
const HostId h1{ "h1" };
const HostId h2{ "h2" };
const Incarnation life{ 1 };

struct Fixture
{
    Instant now{ 1'000'000 };
    CoordinatorViews views;

    void promise(const HostId &host, const std::vector<HostId> &view, std::uint32_t epoch,
                 Incarnation of = life)
    {
        recordPromise(this->views, host, of, viewNumber(view), epoch, this->now + promiseDuration,
                      this->now);
    }
};

} // namespace

// Two hosts disagree about the host list, and a third host is in both views. Both hosts take
// themselves for the coordinator of the same engine; if both evicted, one would unload adapters
// that the other one's requests use.
TEST(CoordinatorViews, OfTwoViewsThatShareAHostOnlyOneIsPromised)
{
    Fixture shared;
    ASSERT_TRUE(adoptView(shared.views, { h0, h2 }, shared.now));
    shared.views.promisedUntil = shared.now + promiseDuration; // promised to h0
    EXPECT_FALSE(adoptView(shared.views, { h1, h2 }, shared.now + promiseDuration - Span{ 1 }));

    Fixture other;
    adoptView(other.views, { h1, h2 }, other.now);
    other.promise(h2, { h0, h2 }, 1);
    const std::array<HostId, 1> required{ h2 };
    EXPECT_FALSE(isPromisedByAll(other.views, required, other.now));
}

// A process is suspended for longer than the promises that it received. When it resumes it still
// believes that it is the coordinator, and its eviction order would reach an engine that another
// host coordinates by then.
TEST(CoordinatorViews, APromiseExpiresWithoutHeartbeats)
{
    Fixture fixture;
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0, h1 }, 1);
    const std::array<HostId, 1> required{ h1 };
    EXPECT_TRUE(isPromisedByAll(fixture.views, required, fixture.now + fromSeconds(1)));
    EXPECT_FALSE(isPromisedByAll(fixture.views, required, fixture.now + fromSeconds(10)));
}

// A host adopted another view between two common ones and granted slots by it. A coordinator
// that did not notice would evict adapters that those slots use.
TEST(CoordinatorViews, AnInterveningViewRestartsTheWait)
{
    Fixture fixture;
    const std::array<HostId, 1> required{ h1 };
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0, h1 }, 1);
    // first time: former coordinators are unknown
    EXPECT_FALSE(recordAllPromises(fixture.views, required));
    adoptView(fixture.views, { h0, h1, h2 }, fixture.now);
    fixture.promise(h1, { h0, h1, h2 }, 2);
    EXPECT_TRUE(recordAllPromises(fixture.views, required));
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0, h1 }, 4);
    EXPECT_FALSE(recordAllPromises(fixture.views, required));
}

// A message of a host's previous incarnation arrives after the host was replaced. Its promise must
// be ignored.
TEST(CoordinatorViews, AnOlderIncarnationPromisesNothing)
{
    Fixture fixture;
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0 }, 1, Incarnation{ 2 });
    fixture.promise(h1, { h0, h1 }, 1, Incarnation{ 1 });
    const std::array<HostId, 1> required{ h1 };
    EXPECT_FALSE(isPromisedByAll(fixture.views, required, fixture.now));
}
