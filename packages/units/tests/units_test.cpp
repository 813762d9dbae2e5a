#include "azurewell/units/ids.h"
#include "azurewell/units/result.h"
#include "azurewell/units/time.h"

#include <gtest/gtest.h>

#include <set>
#include <type_traits>

using namespace azurewell;

TEST(Units, IdsOfDifferentKindsDoNotMix)
{
    static_assert(!std::is_convertible_v<HostId, ZoneId>);
    static_assert(!std::is_constructible_v<CustomerId, HostId>);
    EXPECT_EQ(HostId{ "a" }, HostId{ "a" });
}

TEST(Units, EveryResultCodeHasItsOwnNumberAndName)
{
    std::set<std::string_view> names;
    for (const ResultCodeInfo &info : resultCodeTable()) {
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
        EXPECT_EQ(infoOf(info.code).name, info.name);
        EXPECT_FALSE(info.message.empty());
    }
}

TEST(Units, DeadlinesAreInstants)
{
    const Instant start{ 1'000'000 };
    EXPECT_EQ(start + fromSeconds(0.5), Instant{ 1'500'000 });
    EXPECT_DOUBLE_EQ(toSeconds((start + fromSeconds(2)) - start), 2.0);
}

TEST(Units, ResultCarriesValueOrError)
{
    const Result<int> good = 3;
    const Result<int> bad = Error{ ResultCode::TicketInvalid, "line 3" };
    ASSERT_TRUE(good);
    EXPECT_EQ(good.value(), 3);
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().code, ResultCode::TicketInvalid);
}
