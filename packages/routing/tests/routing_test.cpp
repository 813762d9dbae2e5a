#include "azurewell/routing/choose_engine.h"
#include "azurewell/routing/rendezvous.h"
#include "azurewell/routing/retry_budget.h"

#include <gtest/gtest.h>

#include <vector>

using namespace azurewell;

namespace {

UpstreamView viewOf(const char *id, double load, bool hasAdapter, bool isOwnZone = true)
{
    UpstreamView view;
    view.id = UpstreamId{ id };
    view.state = UpstreamState::Live;
    view.load = load;
    view.hasAdapter = hasAdapter;
    view.isOwnZone = isOwnZone;
    return view;
}

} // namespace

TEST(Routing, ALoadedAdapterIsPreferredUntilItsEngineIsOverloaded)
{
    std::vector<UpstreamView> views{ viewOf("warm", 0.9, true), viewOf("cold", 0.0, false) };
    EXPECT_EQ(chooseEngine(views), UpstreamId{ "warm" });
    views[0].load = 3.0;
    EXPECT_EQ(chooseEngine(views), UpstreamId{ "cold" });
}

// The platform marks an engine as leaving. New work sent there would be cut off when it goes.
TEST(Routing, ALeavingUpstreamGetsNoNewWork)
{
    std::vector<UpstreamView> views{ viewOf("a", 0.0, true) };
    views[0].isLeaving = true;
    EXPECT_FALSE(chooseEngine(views));
    EXPECT_FALSE(chooseBackEnd(views));
}

TEST(Routing, OnlyKeysOfALostNodeMove)
{
    const std::vector<std::string> nodes{ "h0", "h1", "h2", "h3" };
    int moved = 0;
    for (int key = 0; key < 1000; ++key) {
        const std::string name = "engine" + std::to_string(key);
        std::string before;
        std::string after;
        for (const std::string &node : nodes) {
            if (before.empty() || rendezvousWeight(name, node) > rendezvousWeight(name, before))
                before = node;
            if (node != "h3"
                && (after.empty() || rendezvousWeight(name, node) > rendezvousWeight(name, after)))
                after = node;
        }
        moved += before != after ? 1 : 0;
        EXPECT_TRUE(before == after || before == "h3");
    }
    EXPECT_NEAR(moved, 250, 60);
}

// Every upstream answers 503 for a while. A caller sees a refusal after at most a few tries, and
// the upstreams see less than a tenth more traffic than without retries.
TEST(Routing, RetriesStayUnderATenthOfFirstTries)
{
    RetryBudget budget;
    int retries = 0;
    for (int request = 0; request < 10'000; ++request) {
        countFirstTry(budget);
        while (takeRetry(budget))
            ++retries;
    }
    EXPECT_LT(retries, 1000);
    EXPECT_GT(retries, 700);
}
