// Cost of one transition in the flat table and in QScxmlStateMachine, for the same chart.

#include "azurewell/charts/known_charts.h"

#include <benchmark/benchmark.h>

#ifdef AZUREWELL_HAS_SCXML
#include <QtCore/QCoreApplication>
#include <QtScxml/QScxmlStateMachine>

#include <memory>
#endif

using namespace azurewell;

namespace {

void flatTable(benchmark::State &state)
{
    const KnownCharts charts = loadKnownCharts(AZUREWELL_CHARTS_DIR).value();
    AdapterState adapter = AdapterState::Absent;
    for (auto _ : state) {
        adapter = advance(charts.adapter, adapter, AdapterEvent::LoadOrdered);
        adapter = advance(charts.adapter, adapter, AdapterEvent::LoadFailed);
        adapter = advance(charts.adapter, adapter, AdapterEvent::BackoffOver);
        benchmark::DoNotOptimize(adapter);
    }
    state.SetItemsProcessed(state.iterations() * 3);
}
BENCHMARK(flatTable);

void loadOfAllCharts(benchmark::State &state)
{
    for (auto _ : state) {
        Result<KnownCharts> charts = loadKnownCharts(AZUREWELL_CHARTS_DIR);
        benchmark::DoNotOptimize(charts);
    }
}
BENCHMARK(loadOfAllCharts);

#ifdef AZUREWELL_HAS_SCXML
void scxmlMachine(benchmark::State &state)
{
    const std::unique_ptr<QScxmlStateMachine> machine(QScxmlStateMachine::fromFile(
            QString::fromLatin1(AZUREWELL_CHARTS_DIR "/adapter.scxml")));
    machine->start();
    QCoreApplication::processEvents();
    for (auto _ : state) {
        for (const char *event : { "load.ordered", "load.failed", "backoff.over" }) {
            machine->submitEvent(QString::fromLatin1(event));
            QCoreApplication::processEvents();
        }
    }
    state.SetItemsProcessed(state.iterations() * 3);
}
BENCHMARK(scxmlMachine);
#endif

} // namespace

int main(int argc, char **argv)
{
#ifdef AZUREWELL_HAS_SCXML
    QCoreApplication application(argc, argv);
#endif
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
