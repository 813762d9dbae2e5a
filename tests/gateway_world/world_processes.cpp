#include "world.h"

namespace azurewell::gateway {

namespace {

/// Shortest time without the processor of a host that is starved.
constexpr Span minLag = std::chrono::milliseconds(10);

/// Messages that a host reads before it handles other events, and the time that this takes.
constexpr std::size_t messagesInARow = 64;
constexpr Span readTime = std::chrono::milliseconds(1);

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

void World::readBuffered(std::size_t index)
{
    if (!this->hosts[index].isUp || this->now < this->hosts[index].pausedUntil)
        return;
    for (std::size_t read = 0; read < messagesInARow && !this->hosts[index].buffered.empty();
         ++read) {
        const std::shared_ptr<const Gossip> message = this->hosts[index].buffered.front();
        this->hosts[index].buffered.pop_front();
        Actions actions;
        handle(this->hosts[index].state, *message, this->now, actions);
        this->applyActions(index, actions);
    }
    if (!this->hosts[index].buffered.empty())
        this->schedule(this->now + readTime, [this, index] { this->readBuffered(index); });
}

} // namespace azurewell::gateway
