#include "faults.h"

#include <QtCore/QTimer>

#include <csignal>
#include <functional>

namespace azurewell::soak {

namespace {

constexpr qsizetype logTailBytes = 600;
constexpr int concurrentFaults = 2;
constexpr int minFaultMs = 500;
constexpr int maxFaultMs = 3000;

/// A fault that is injected by \a on and ended by \a off.
struct ToggledFault
{
    const char *name;
    std::function<void(World &, standins::Engine &)> on;
    std::function<void(World &, standins::Engine &)> off;
};

const std::vector<ToggledFault> &toggledFaults()
{
    using standins::Engine;
    const auto noAction = [](World &, Engine &) {
    };
    static const std::vector<ToggledFault> all{
        { "engine_closes", [](World &, Engine &engine) { engine.faults.closeAfterTokens = 5; },
          [](World &, Engine &engine) {
              engine.faults.closeAfterTokens = -1;
          } },
        { "engine_silent", [](World &, Engine &engine) { engine.faults.stallAfterTokens = 3; },
          [](World &, Engine &engine) {
              engine.faults.stallAfterTokens = -1;
          } },
        { "engine_refuses", [](World &, Engine &engine) { engine.faults.refuses = true; },
          [](World &, Engine &engine) {
              engine.faults.refuses = false;
          } },
        { "answers_crossed",
          [](World &, Engine &engine) { engine.faults.mismatchesRequestIds = true; },
          [](World &, Engine &engine) {
              engine.faults.mismatchesRequestIds = false;
          } },
        { "loads_fail", [](World &, Engine &engine) { engine.faults.failLoads = 5; },
          [](World &, Engine &engine) {
              engine.faults.failLoads = 0;
          } },
        { "connections_silent", [](World &, Engine &engine) { engine.stallStreams(); }, noAction },
        { "restart_cold", [](World &, Engine &engine) { engine.restartCold(); }, noAction },
        { "store_slow", [](World &world, Engine &) { world.store->slowDown(10); },
          [](World &world, Engine &) {
              world.store->slowDown(1);
          } },
        { "service_closes",
          [](World &world, Engine &) { world.service.closesWithoutResponse = true; },
          [](World &world, Engine &) {
              world.service.closesWithoutResponse = false;
          } },
        { "service_half", [](World &world, Engine &) { world.service.closesMidResponse = true; },
          [](World &world, Engine &) {
              world.service.closesMidResponse = false;
          } },
        { "platform_down", [](World &world, Engine &) { world.platform.isDown = true; },
          [](World &world, Engine &) {
              world.platform.isDown = false;
          } },
    };
    return all;
}

} // namespace

Faults::Faults(World &of, std::uint64_t seed)
    : world(of)
    , random(seed)
{
}

void Faults::start()
{
    for (int index = 0; index < concurrentFaults; ++index)
        this->startFault();
}

void Faults::stop()
{
    this->isStopped = true;
}

void Faults::startFault()
{
    if (this->isStopped)
        return;
    ++this->activeCount;
    const std::size_t kind = this->random() % (toggledFaults().size() + 2);
    const int millis = static_cast<int>(minFaultMs + this->random() % (maxFaultMs - minFaultMs));
    const std::size_t index = this->random() % this->world.hosts.size();
    if (kind >= toggledFaults().size()) {
        const bool isPause = kind == toggledFaults().size();
        if (!this->isHostDown && isPause)
            this->pauseHost(index, millis);
        else if (!this->isHostDown)
            this->replaceHost(index);
    } else {
        ++this->startedByName[toggledFaults()[kind].name];
        toggledFaults()[kind].on(this->world, *this->world.engines[index]);
    }
    QTimer::singleShot(millis, this, [this, kind, index] {
        if (kind < toggledFaults().size())
            toggledFaults()[kind].off(this->world, *this->world.engines[index]);
        --this->activeCount;
        this->startFault();
    });
}

void Faults::pauseHost(std::size_t index, int millis)
{
    ++this->startedByName["host_paused"];
    this->isHostDown = true;
    this->world.hosts[index]->signal(SIGSTOP);
    QTimer::singleShot(millis, this, [this, index] {
        this->world.hosts[index]->signal(SIGCONT);
        this->isHostDown = false;
    });
}

void Faults::replaceHost(std::size_t index)
{
    ++this->startedByName["host_replaced"];
    this->isHostDown = true;
    ++this->activeCount;
    tests::HostProcess &host = *this->world.hosts[index];
    host.signal(SIGTERM);
    QTimer::singleShot(0, this, [this, &host] {
        const int code = host.exitCode();
        const bool isRestarted = code == 0 && host.start();
        if (!isRestarted)
            this->hostFailures.push_back(host.config.id + " exited with code "
                                         + std::to_string(code) + ": "
                                         + host.log().right(logTailBytes).toStdString());
        this->isHostDown = false;
        --this->activeCount;
    });
}

} // namespace azurewell::soak
