#include "azurewell/fleet/keeper_views.h"

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
    KeeperViews views;

    void promise(const HostId &host, const std::vector<HostId> &view, std::uint32_t epoch,
                 Incarnation of = life)
    {
        notePromise(this->views, host, of, viewNumber(view), epoch, this->now + promiseLength,
                    this->now);
    }
};

} // namespace

// Two hosts disagree about the host list for half a minute, and a third one knows both. Each takes
// itself for the keeper of the same engine; if both evicted, one would unload what the other
// serves.
TEST(KeeperViews, OfTwoViewsThatShareAHostOnlyOneIsPromised)
{
    Fixture shared;
    ASSERT_TRUE(adoptView(shared.views, { h0, h2 }, shared.now));
    shared.views.promisedUntil = shared.now + promiseLength; // promised to h0
    EXPECT_FALSE(adoptView(shared.views, { h1, h2 }, shared.now + promiseLength - Span{ 1 }));

    Fixture other;
    adoptView(other.views, { h1, h2 }, other.now);
    other.promise(h2, { h0, h2 }, 1);
    const std::array<HostId, 1> required{ h2 };
    EXPECT_FALSE(isPromisedByAll(other.views, required, other.now));
}

// A host is stopped for longer than the others' promises to it. When it goes on it believes that it
// is still the keeper, and its order would reach an engine that another host keeps by now.
TEST(KeeperViews, APromiseRunsOutBySilence)
{
    Fixture fixture;
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0, h1 }, 1);
    const std::array<HostId, 1> required{ h1 };
    EXPECT_TRUE(isPromisedByAll(fixture.views, required, fixture.now + fromSeconds(1)));
    EXPECT_FALSE(isPromisedByAll(fixture.views, required, fixture.now + fromSeconds(10)));
}

// A host had a view of its own between two common ones, and granted slots by it. A keeper that did
// not notice would evict under them at once.
TEST(KeeperViews, AHostThatSkippedAViewRestartsTheWait)
{
    Fixture fixture;
    const std::array<HostId, 1> required{ h1 };
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0, h1 }, 1);
    EXPECT_FALSE(noteComplete(fixture.views, required)); // the first: a former keeper is not known
    adoptView(fixture.views, { h0, h1, h2 }, fixture.now);
    fixture.promise(h1, { h0, h1, h2 }, 2);
    EXPECT_TRUE(noteComplete(fixture.views, required));
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0, h1 }, 4);
    EXPECT_FALSE(noteComplete(fixture.views, required));
}

// A message of a host's former life arrives after the host was replaced.
TEST(KeeperViews, AFormerLifePromisesNothing)
{
    Fixture fixture;
    adoptView(fixture.views, { h0, h1 }, fixture.now);
    fixture.promise(h1, { h0 }, 1, Incarnation{ 2 });
    fixture.promise(h1, { h0, h1 }, 1, Incarnation{ 1 });
    const std::array<HostId, 1> required{ h1 };
    EXPECT_FALSE(isPromisedByAll(fixture.views, required, fixture.now));
}
