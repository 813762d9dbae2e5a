#include "azurewell/tickets/adapter_table.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

using namespace azurewell;

namespace {

Adapter adapterOf(std::uint64_t number, std::uint64_t ticket)
{
    return Adapter{ AdapterRef{ "adapter-" + std::to_string(number) + "@1" },
                    CustomerId{ "c" + std::to_string(number % 7) },
                    "base-" + std::to_string(ticket % 3), TicketNumber{ ticket } };
}

} // namespace

// Guards against wrong look-ups after the table has compacted its names, grown its index or freed
// slots: random additions, replacements and removals are compared with a std::map after each step.
TEST(AdapterTable, MatchesAMapUnderRandomChanges)
{
    std::mt19937_64 random(1);
    AdapterTable table;
    std::map<AdapterRef, Adapter> expected;
    for (std::uint64_t step = 1; step <= 30000; ++step) {
        const Adapter adapter = adapterOf(random() % 2000, step);
        if (random() % 2 == 0) {
            table.set(adapter);
            expected[adapter.ref] = adapter;
        } else {
            table.erase(adapter.ref);
            expected.erase(adapter.ref);
        }
        ASSERT_EQ(table.size(), expected.size());
        const AdapterRef probe = adapterOf(random() % 2000, 1).ref;
        const std::optional<AdapterView> found = table.find(probe);
        const auto wanted = expected.find(probe);
        ASSERT_EQ(found.has_value(), wanted != expected.end());
        if (found) {
            ASSERT_EQ(found->ref, probe.value);
            ASSERT_EQ(*found->customer, wanted->second.customer);
            ASSERT_EQ(*found->baseModel, wanted->second.baseModel);
            ASSERT_EQ(found->ticket, wanted->second.ticket);
        }
    }
    for (std::size_t row = 0; row < table.size(); ++row)
        ASSERT_TRUE(expected.contains(AdapterRef{ std::string(table.at(row).ref) }));
}
