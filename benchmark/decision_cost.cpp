// Cost of each decision on the path of a request, and how it grows with the number of customers,
// adapters and engines. docs/DECISIONS.md has the figures.
#include "azurewell/placement/load_plan.h"
#include "azurewell/routing/upstream_table.h"
#include "azurewell/scheduling/shedding.h"
#include "azurewell/scheduling/urgency_queue.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace azurewell;

namespace {

constexpr std::uint32_t batchSlots = 16;
constexpr std::size_t adapterSlots = 8;
constexpr std::size_t zones = 9;
const std::string baseModel = "base";

std::size_t bytesInUse()
{
    return mallinfo2().uordblks;
}

AdapterRef adapterOf(std::size_t number)
{
    return AdapterRef{ "adapter-" + std::to_string(number) + "@1" };
}

UpstreamId engineOf(std::size_t number)
{
    return UpstreamId{ "engine-" + std::to_string(number) };
}

/// Returns a table of \a engines whose adapter slots are filled in turn from \a adapters.
UpstreamTable tableOf(std::size_t engines, std::size_t adapters)
{
    std::unordered_map<UpstreamId, Upstream> inForce;
    for (std::size_t number = 0; number < engines; ++number) {
        Upstream &upstream = inForce[engineOf(number)];
        upstream.id = engineOf(number);
        upstream.zone = ZoneId{ std::to_string(number % zones) };
        upstream.baseModel = baseModel;
        upstream.batchSlots = batchSlots;
        upstream.adapterSlots = adapterSlots;
    }
    UpstreamTable table;
    setUpstreams(table, inForce, ZoneId{ "0" });
    for (std::size_t number = 0; number < engines; ++number) {
        EngineReport report;
        report.running = static_cast<std::uint32_t>(number % batchSlots);
        report.openSlots = 2;
        for (std::size_t slot = 0; slot < adapterSlots; ++slot)
            report.loaded.push_back(adapterOf((number * adapterSlots + slot) % adapters));
        recordReport(table, engineOf(number), std::move(report), Instant{ 0 });
    }
    return table;
}

/// Chooses an engine and updates its counters, with a sixth of the adapters loaded.
void route(benchmark::State &state)
{
    const std::size_t engines = static_cast<std::size_t>(state.range(0));
    const std::size_t adapters = static_cast<std::size_t>(state.range(1));
    const std::size_t before = bytesInUse();
    UpstreamTable table = tableOf(engines, adapters);
    state.counters["bytes/engine"] = static_cast<double>(bytesInUse() - before)
            / static_cast<double>(engines);
    std::vector<AdapterRef> requestedAdapters;
    for (std::size_t number = 0; number < 1024; ++number)
        requestedAdapters.push_back(adapterOf(number * 7919 % adapters));
    std::uint64_t request = 0;
    for (auto _ : state) {
        const AdapterRef &adapter = requestedAdapters[request % requestedAdapters.size()];
        const RouteRequest ask{ baseModel, adapter, ++request, {} };
        const std::optional<UpstreamId> chosen = chooseUpstream(table, ask, Instant{ 0 });
        recordSent(table, *chosen, adapter, Instant{ 0 });
        recordEnded(table, *chosen);
        if (request % 64 == 0) { // a report of the engine clears the expected loads
            state.PauseTiming();
            for (UpstreamEntry &entry : table.entries)
                entry.expected.clear();
            state.ResumeTiming();
        }
    }
}
BENCHMARK(route)
        ->ArgNames({ "engines", "adapters" })
        ->Args({ 9, 3000 })
        ->Args({ 18, 3000 })
        ->Args({ 390, 19000 })
        ->Args({ 3900, 3000 })
        ->Args({ 3900, 190000 });

/// Applies a coordinator's report. Each host of the largest fleet receives 7,800 a second.
void takeReport(benchmark::State &state)
{
    const std::size_t engines = static_cast<std::size_t>(state.range(0));
    UpstreamTable table = tableOf(engines, 190'000);
    std::vector<EngineReport> reports;
    for (const UpstreamEntry &entry : table.entries)
        reports.push_back(entry.report);
    std::size_t next = 0;
    for (auto _ : state) {
        const std::size_t number = ++next % engines;
        recordReport(table, table.entries[number].id, reports[number], Instant{ 0 });
    }
}
BENCHMARK(takeReport)->ArgName("engines")->Arg(18)->Arg(3900);

WaitingRequest requestOf(std::size_t number, std::size_t customers)
{
    WaitingRequest request;
    request.request = RequestId{ "host-1-" + std::to_string(number) };
    request.requester = HostId{ "host" };
    request.customer = CustomerId{ "customer-" + std::to_string(number % customers) };
    request.adapter = adapterOf(number % 24);
    request.cost = Tokens{ 1000 };
    request.deadline = Instant{ 90'000'000 };
    request.latestStart = request.deadline;
    return request;
}

/// An engine with a third of the waiting adapters loaded.
EngineAdapters loadedEngine()
{
    EngineAdapters adapters;
    adapters.slots = adapterSlots;
    for (std::size_t number = 0; number < adapterSlots; ++number) {
        adapters.adapters[adapterOf(number)].state = AdapterState::Loaded;
        adapters.adapters[adapterOf(number)].pins = 1;
    }
    return adapters;
}

/// Passes one request through a full queue: wait estimate, enqueue, dequeue.
void queueThrough(benchmark::State &state)
{
    const std::size_t customers = static_cast<std::size_t>(state.range(0));
    const std::size_t waiting = static_cast<std::size_t>(state.range(1));
    const EngineAdapters adapters = loadedEngine();
    const ServiceRate rate{ 0.02, 20 };
    const std::size_t before = bytesInUse();
    FairQueue queue;
    std::size_t number = 0;
    for (; number < waiting; ++number)
        enqueue(queue, requestOf(number, customers));
    state.counters["bytes/request"] = static_cast<double>(bytesInUse() - before)
            / static_cast<double>(waiting);
    const auto mayRun = [&adapters](const AdapterRef &adapter) {
        return isLoaded(adapters, adapter);
    };
    // New requests are for loaded adapters, so each enqueue is matched by a dequeue and the length
    // of the queue stays constant.
    std::vector<AdapterRef> loaded;
    for (std::size_t slot = 0; slot < adapterSlots; ++slot)
        loaded.push_back(adapterOf(slot));
    for (auto _ : state) {
        WaitingRequest request = requestOf(number++, customers);
        request.adapter = loaded[number % adapterSlots];
        benchmark::DoNotOptimize(
                expectedWait(queue, rate, request.customer, request.weight, batchSlots, 0));
        enqueue(queue, std::move(request));
        benchmark::DoNotOptimize(takeNext(queue, mayRun));
    }
}
BENCHMARK(queueThrough)
        ->ArgNames({ "customers", "waiting" })
        ->Args({ 5, 64 })
        ->Args({ 5, 1024 })
        ->Args({ 50, 1024 })
        ->Args({ 500, 1024 });

/// Passes one prompt through a full urgency queue of 10 levels; its customers are known to a level
/// each, or to all.
void urgencyQueueThrough(benchmark::State &state)
{
    const std::size_t customers = static_cast<std::size_t>(state.range(0));
    const bool isOneLevelEach = state.range(1) != 0;
    constexpr std::size_t levels = leastUrgent.level + 1;
    const std::size_t before = bytesInUse();
    UrgencyQueue queue;
    std::size_t number = 0;
    std::int64_t micros = 0;
    const auto offerNext = [&] {
        const std::size_t level = (isOneLevelEach ? number : number / customers) % levels;
        WaitingRequest request = requestOf(number++, customers);
        request.latestStart = Instant{ 900'000'000'000 };
        // An engine at twice its capacity is asked every 20 ms.
        const Instant now{ micros += 20'000 };
        const EngineCapacity engine{ TokenRate{ 25'000 }, 0.9 };
        return offer(queue, Priority{ static_cast<std::uint8_t>(level) }, std::move(request),
                     engine, now);
    };
    while (queue.size < maxWaitingPrompts / 2 && number < 100 * customers)
        benchmark::DoNotOptimize(offerNext());
    state.counters["bytes"] = static_cast<double>(bytesInUse() - before);
    state.counters["waiting"] = static_cast<double>(queue.size);
    for (auto _ : state) {
        if (offerNext().verdict == OfferVerdict::Queued)
            benchmark::DoNotOptimize(takeNext(queue));
    }
    state.counters["waiting after"] = static_cast<double>(queue.size);
}
BENCHMARK(urgencyQueueThrough)
        ->ArgNames({ "customers", "one level each" })
        ->Args({ 16, 0 })
        ->Args({ 1000, 1 })
        ->Args({ 1000, 0 });

/// Enqueues and takes one prompt with \a customers waiting at 10 levels.
void urgencyQueueEnqueueTake(benchmark::State &state)
{
    const std::size_t customers = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t levels = leastUrgent.level + 1;
    UrgencyQueue queue;
    std::size_t number = 0;
    const auto enqueueNext = [&] {
        const Priority priority{ static_cast<std::uint8_t>(number % levels) };
        WaitingRequest request = requestOf(number++, customers);
        enqueue(queue, priority, std::move(request));
    };
    while (queue.size < maxWaitingPrompts)
        enqueueNext();
    for (auto _ : state) {
        benchmark::DoNotOptimize(peekNext(queue));
        benchmark::DoNotOptimize(takeNext(queue));
        enqueueNext();
    }
}
BENCHMARK(urgencyQueueEnqueueTake)->ArgName("customers")->Arg(16)->Arg(1000);

/// Plans the next load or eviction, as a coordinator does after each change at an engine.
void planLoads(benchmark::State &state)
{
    const std::size_t customers = static_cast<std::size_t>(state.range(0));
    EngineAdapters adapters = loadedEngine();
    adapters.adapters[adapterOf(0)].pins = 0; // one slot can be freed
    FairQueue queue;
    for (std::size_t number = 0; number < 64; ++number) {
        WaitingRequest request = requestOf(number, customers);
        request.adapter = adapterOf(100 + number % 24);
        enqueue(queue, std::move(request));
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(nextOrder(adapters, queue, Instant{ 0 }));
}
BENCHMARK(planLoads)->ArgName("customers")->Arg(5)->Arg(50);

} // namespace

BENCHMARK_MAIN();
