#include "faults.h"

#include <QtCore/QTimer>

#include <csignal>
#include <functional>

namespace azurewell::soak {

namespace {

constexpr qsizetype logBytes = 600;
constexpr int faultsAtOnce = 2;
constexpr int shortestMillis = 500;
constexpr int longestMillis = 3000;

/// A fault that is switched on and off.
struct Switch
{
    const char *name;
    std::function<void(World &, standins::Engine &)> on;
    std::function<void(World &, standins::Engine &)> off;
};

const std::vector<Switch> &switches()
{
    using standins::Engine;
    const auto nothing = [](World &, Engine &) {
    };
    static const std::vector<Switch> all{
        { "engine_closes", [](World &, Engine &engine) { engine.faults.closeAfterTokens = 5; },
          [](World &, Engine &engine) {
              engine.faults.closeAfterTokens = -1;
          } },
        { "engine_silent", [](World &, Engine &engine) { engine.faults.silentAfterTokens = 3; },
          [](World &, Engine &engine) {
              engine.faults.silentAfterTokens = -1;
          } },
        { "engine_refuses", [](World &, Engine &engine) { engine.faults.refuses = true; },
          [](World &, Engine &engine) {
              engine.faults.refuses = false;
          } },
        { "answers_crossed", [](World &, Engine &engine) { engine.faults.crossesAnswers = true; },
          [](World &, Engine &engine) {
              engine.faults.crossesAnswers = false;
          } },
        { "loads_fail", [](World &, Engine &engine) { engine.faults.failLoads = 5; },
          [](World &, Engine &engine) {
              engine.faults.failLoads = 0;
          } },
        { "connections_silent", [](World &, Engine &engine) { engine.silenceConnections(); },
          nothing },
        { "restart_cold", [](World &, Engine &engine) { engine.restartCold(); }, nothing },
        { "store_slow", [](World &world, Engine &) { world.store->slowDown(10); },
          [](World &world, Engine &) {
              world.store->slowDown(1);
          } },
        { "service_closes",
          [](World &world, Engine &) { world.service.closesWithoutAnswer = true; },
          [](World &world, Engine &) {
              world.service.closesWithoutAnswer = false;
          } },
        { "service_half",
          [](World &world, Engine &) { world.service.closesAfterHalfAnswer = true; },
          [](World &world, Engine &) {
              world.service.closesAfterHalfAnswer = false;
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
    for (int index = 0; index < faultsAtOnce; ++index)
        this->beginOne();
}

void Faults::stop()
{
    this->isStopped = true;
}

void Faults::beginOne()
{
    if (this->isStopped)
        return;
    ++this->open;
    const std::size_t kind = this->random() % (switches().size() + 2);
    const int millis = static_cast<int>(shortestMillis
                                        + this->random() % (longestMillis - shortestMillis));
    const std::size_t index = this->random() % this->world.hosts.size();
    if (kind >= switches().size()) {
        const bool isPause = kind == switches().size();
        if (!this->isHostAway && isPause)
            this->pauseHost(index, millis);
        else if (!this->isHostAway)
            this->replaceHost(index);
    } else {
        ++this->begun[switches()[kind].name];
        switches()[kind].on(this->world, *this->world.engines[index]);
    }
    QTimer::singleShot(millis, this, [this, kind, index] {
        if (kind < switches().size())
            switches()[kind].off(this->world, *this->world.engines[index]);
        --this->open;
        this->beginOne();
    });
}

void Faults::pauseHost(std::size_t index, int millis)
{
    ++this->begun["host_paused"];
    this->isHostAway = true;
    this->world.hosts[index]->signal(SIGSTOP);
    QTimer::singleShot(millis, this, [this, index] {
        this->world.hosts[index]->signal(SIGCONT);
        this->isHostAway = false;
    });
}

void Faults::replaceHost(std::size_t index)
{
    ++this->begun["host_replaced"];
    this->isHostAway = true;
    ++this->open;
    tests::HostProcess &host = *this->world.hosts[index];
    host.signal(SIGTERM);
    QTimer::singleShot(0, this, [this, &host] {
        const int code = host.exitCode();
        const bool isBack = code == 0 && host.start();
        if (!isBack)
            this->hostFailures.push_back(host.place.id + " left with " + std::to_string(code) + ": "
                                         + host.log().right(logBytes).toStdString());
        this->isHostAway = false;
        --this->open;
    });
}

} // namespace azurewell::soak
