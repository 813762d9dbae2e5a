#include "azurewell/limits/rate_shares.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace azurewell;

namespace {

std::uint64_t weightOf(const CustomerId &customer, const SeatId &seat)
{
    // The host under test owns a share of every customer's rate.
    if (seat.zone.value == "zone-0" && seat.number.value == 0)
        return UINT64_MAX;
    return std::hash<std::string>{}(customer.value + seat.zone.value)
            ^ (seat.number.value * 0x9e3779b97f4a7c15ULL);
}

CustomerId customerOf(std::int64_t index)
{
    return CustomerId{ "customer-" + std::to_string(index) };
}

/// Returns the rate shares of one host among \a seats hosts, for \a customers. The hosts are in
/// nine zones, or in three if there are fewer than 60.
RateShares makeShares(std::int64_t customers, std::uint32_t seats)
{
    const std::uint32_t zoneCount = seats < 60 ? 3 : 9;
    ZoneSeats zones;
    for (std::uint32_t zone = 0; zone < zoneCount; ++zone)
        zones[ZoneId{ "zone-" + std::to_string(zone) }] = seats / zoneCount;
    RateShares shares = makeRateShares(SeatId{ ZoneId{ "zone-0" }, SeatNumber{ 0 } },
                                       HostIncarnation{ HostId{ "h" }, Incarnation{ 1 } },
                                       &weightOf, ShareSettings{});
    shares.settings.faults.forgetsFormerLoans = true; // no peers answer queries here
    std::vector<ShareTerms> terms;
    for (std::int64_t index = 0; index < customers; ++index)
        terms.push_back(ShareTerms{ customerOf(index), 1e9, 4e9 });
    setTerms(shares, TicketNumber{ 1 }, zones, terms, Instant{ 1'000'000 });
    return shares;
}

/// Admission work of one request: reserve, four settlements, release.
void admission(benchmark::State &state)
{
    const std::int64_t customers = state.range(0);
    RateShares shares = makeShares(customers, static_cast<std::uint32_t>(state.range(1)));
    Instant now{ 10'000'000 };
    std::int64_t index = 0;
    std::uint64_t refused = 0;
    for (auto _ : state) {
        now = now + Span{ 100 };
        const RequestId request{ std::to_string(index) };
        // The step is coprime to the number of customers, so all of them are visited.
        const CustomerId customer = customerOf((index += 7919) % customers);
        const bool isAdmitted = reserve(shares, request, customer, Tokens{ 512 }, now);
        refused += isAdmitted ? 0 : 1;
        for (int settlement = 0; settlement < 4; ++settlement)
            settle(shares, request, Tokens{ 64 }, now);
        release(shares, request, now);
    }
    state.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(admission)->ArgsProduct({ { 5, 50, 500, 5000 }, { 6, 60, 390 } });

/// Bytes of state for each customer without requests at this host.
void stateBytes(benchmark::State &state)
{
    const std::int64_t customers = state.range(0);
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        const RateShares shares = makeShares(customers, static_cast<std::uint32_t>(state.range(1)));
        bytes = mallinfo2().uordblks - before;
        benchmark::DoNotOptimize(shares.customers.size());
    }
    state.counters["bytes_per_customer"] = static_cast<double>(bytes)
            / static_cast<double>(customers);
}
BENCHMARK(stateBytes)->ArgsProduct({ { 500, 5000 }, { 6, 60, 390 } })->Iterations(3);

} // namespace

BENCHMARK_MAIN();
