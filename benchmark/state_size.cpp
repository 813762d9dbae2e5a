// Memory of the configuration in force and the time to apply a ticket to it, at several sizes.
#include "azurewell/tickets/state_in_force.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <unordered_map>

using namespace azurewell;

namespace {

constexpr std::uint64_t customers = 500;

Ticket ticketWithAdapters(std::uint64_t count)
{
    Ticket ticket;
    ticket.number = TicketNumber{ 1 };
    for (std::uint64_t number = 0; number < customers; ++number) {
        Customer customer;
        customer.id = CustomerId{ "transportes-" + std::to_string(number) };
        ticket.customers.push_back(customer);
    }
    for (std::uint64_t number = 0; number < count; ++number)
        ticket.adapters.push_back(
                Adapter{ AdapterRef{ "consorcio-pesado-" + std::to_string(number) + "@3" },
                         CustomerId{ "transportes-" + std::to_string(number % customers) },
                         "drafting-8b", TicketNumber{ 1 } });
    return ticket;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void adapterTableBytes(benchmark::State &run)
{
    const Ticket ticket = ticketWithAdapters(static_cast<std::uint64_t>(run.range(0)));
    for (auto _ : run) {
        const double before = heapBytes();
        AdapterTable table;
        for (const Adapter &adapter : ticket.adapters)
            table.set(adapter);
        run.counters["MB"] = (heapBytes() - before) / 1e6;
        run.counters["bytes_each"] = (heapBytes() - before) / static_cast<double>(run.range(0));
    }
}
BENCHMARK(adapterTableBytes)->Arg(3000)->Arg(30000)->Arg(190000)->Iterations(1);

/// The same adapters in a std::unordered_map, for comparison with AdapterTable.
void mapBytes(benchmark::State &run)
{
    const Ticket ticket = ticketWithAdapters(static_cast<std::uint64_t>(run.range(0)));
    for (auto _ : run) {
        const double before = heapBytes();
        std::unordered_map<AdapterRef, Adapter> map;
        for (const Adapter &adapter : ticket.adapters)
            map[adapter.ref] = adapter;
        run.counters["MB"] = (heapBytes() - before) / 1e6;
        run.counters["bytes_each"] = (heapBytes() - before) / static_cast<double>(run.range(0));
    }
}
BENCHMARK(mapBytes)->Arg(3000)->Arg(30000)->Arg(190000)->Iterations(1);

void keyBytes(benchmark::State &run)
{
    for (auto _ : run) {
        const double before = heapBytes();
        std::unordered_map<KeyHash, Key> keys;
        for (std::int64_t number = 0; number < run.range(0); ++number) {
            std::string hash = std::to_string(number);
            hash.insert(0, 64 - hash.size(), '0');
            keys[KeyHash{ hash }] = Key{ KeyHash{ hash }, CustomerId{ "transportes-17" },
                                         KeyState::Issued, TicketNumber{ 1 } };
        }
        run.counters["bytes_each"] = (heapBytes() - before) / static_cast<double>(run.range(0));
    }
}
BENCHMARK(keyBytes)->Arg(1000)->Arg(5000)->Arg(20000)->Iterations(1);

/// One ticket that sets an adapter version and retires another.
void applyOneTicket(benchmark::State &run)
{
    StateInForce state;
    applyTicket(state, ticketWithAdapters(static_cast<std::uint64_t>(run.range(0)))).value();
    std::uint64_t number = 1;
    for (auto _ : run) {
        Ticket ticket;
        ticket.number = TicketNumber{ ++number };
        const std::string name = "consorcio-pesado-" + std::to_string(number);
        ticket.adapters.push_back(Adapter{ AdapterRef{ name + "@4" }, CustomerId{ "transportes-1" },
                                           "drafting-8b", ticket.number });
        ticket.removedAdapters.push_back(AdapterRef{ name + "@3" });
        benchmark::DoNotOptimize(applyTicket(state, ticket));
    }
}
BENCHMARK(applyOneTicket)->Arg(3000)->Arg(30000)->Arg(190000)->Iterations(20000);

void findAdapter(benchmark::State &run)
{
    StateInForce state;
    applyTicket(state, ticketWithAdapters(static_cast<std::uint64_t>(run.range(0)))).value();
    std::uint64_t number = 0;
    for (auto _ : run) {
        number = (number + 7919) % static_cast<std::uint64_t>(run.range(0));
        const AdapterRef ref{ "consorcio-pesado-" + std::to_string(number) + "@3" };
        benchmark::DoNotOptimize(state.adapters.find(ref));
    }
}
BENCHMARK(findAdapter)->Arg(3000)->Arg(30000)->Arg(190000);

} // namespace

BENCHMARK_MAIN();
