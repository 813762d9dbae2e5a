#include "azurewell/limits/share_holder.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace azurewell;

namespace {

std::uint64_t weightOf(const CustomerId &customer, const SeatId &seat)
{
    // The holder under test owns a part of every customer.
    if (seat.zone.value == "zone-0" && seat.number.value == 0)
        return UINT64_MAX;
    return std::hash<std::string>{}(customer.value + seat.zone.value)
            ^ (seat.number.value * 0x9e3779b97f4a7c15ULL);
}

CustomerId customerOf(std::int64_t index)
{
    return CustomerId{ "customer-" + std::to_string(index) };
}

/// A holder among \a seats seats in nine zones (three where there are few), serving \a customers.
ShareHolder holderOf(std::int64_t customers, std::uint32_t seats)
{
    const std::uint32_t zoneCount = seats < 60 ? 3 : 9;
    ZoneSeats zones;
    for (std::uint32_t zone = 0; zone < zoneCount; ++zone)
        zones[ZoneId{ "zone-" + std::to_string(zone) }] = seats / zoneCount;
    ShareHolder holder = makeShareHolder(SeatId{ ZoneId{ "zone-0" }, SeatNumber{ 0 } },
                                         HostLife{ HostId{ "h" }, Incarnation{ 1 } }, &weightOf,
                                         ShareSettings{});
    holder.settings.faults.forgetsFormerLoans = true; // there are no peers to ask
    std::vector<ShareTerms> terms;
    for (std::int64_t index = 0; index < customers; ++index)
        terms.push_back(ShareTerms{ customerOf(index), 1e9, 4e9 });
    setTerms(holder, TicketNumber{ 1 }, zones, terms, Instant{ 1'000'000 });
    return holder;
}

/// What one request pays: reserve, four settlements, release.
void admission(benchmark::State &state)
{
    const std::int64_t customers = state.range(0);
    ShareHolder holder = holderOf(customers, static_cast<std::uint32_t>(state.range(1)));
    Instant now{ 10'000'000 };
    std::int64_t index = 0;
    std::uint64_t refused = 0;
    for (auto _ : state) {
        now = now + Span{ 100 };
        const RequestId request{ std::to_string(index) };
        // Steps that are coprime to the number of customers visit all of them.
        const CustomerId customer = customerOf((index += 7919) % customers);
        const bool isAdmitted = reserve(holder, request, customer, Tokens{ 512 }, now);
        refused += isAdmitted ? 0 : 1;
        for (int part = 0; part < 4; ++part)
            settle(holder, request, Tokens{ 64 }, now);
        release(holder, request, now);
    }
    state.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(admission)->ArgsProduct({ { 5, 50, 500, 5000 }, { 6, 60, 390 } });

/// Bytes of state for each customer that sends nothing here.
void stateBytes(benchmark::State &state)
{
    const std::int64_t customers = state.range(0);
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        const ShareHolder holder = holderOf(customers, static_cast<std::uint32_t>(state.range(1)));
        bytes = mallinfo2().uordblks - before;
        benchmark::DoNotOptimize(holder.customers.size());
    }
    state.counters["bytes_per_customer"] = static_cast<double>(bytes)
            / static_cast<double>(customers);
}
BENCHMARK(stateBytes)->ArgsProduct({ { 500, 5000 }, { 6, 60, 390 } })->Iterations(3);

} // namespace

BENCHMARK_MAIN();
