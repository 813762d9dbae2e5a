#include "world.h"

namespace azurewell::gateway {

namespace {

/// Shortest time without the processor of a host that is starved.
constexpr Span minLag = std::chrono::milliseconds(10);

} // namespace

void World::muteHost(std::size_t index, bool isMuted)
{
    this->hosts[index].isUnheard = isMuted;
}

void World::starveHost(std::size_t index, Span maxLag)
{
    this->hosts[index].maxLag = maxLag;
    this->drawLag(index);
}

void World::drawLag(std::size_t index)
{
    FakeHost &host = this->hosts[index];
    if (host.maxLag > Span{})
        host.busyUntil = this->now + minLag + this->randomDelay(host.maxLag - minLag);
}

void World::whenScheduled(std::size_t index, std::uint64_t incarnation,
                          std::function<void()> callback)
{
    if (!this->isIncarnationRunning(index, incarnation))
        return;
    const Instant wake = this->hosts[index].busyUntil;
    if (this->now >= wake) {
        callback();
        return;
    }
    this->schedule(wake, [this, index, incarnation, callback = std::move(callback)] {
        if (this->isIncarnationRunning(index, incarnation))
            callback();
    });
}

} // namespace azurewell::gateway
