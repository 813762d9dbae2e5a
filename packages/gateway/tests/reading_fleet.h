#pragma once

#include "azurewell/gateway/gateway.h"
#include "fake_store.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace azurewell::gateway {

/// Hosts of several zones that read one store and send each other updates, on a simulated clock.
/// One in fifty of their messages is lost.
class ReadingFleet
{
public:
    static constexpr Instant begins{ 100'000'000 };

    struct Size
    {
        std::size_t zones;
        std::size_t hostsPerZone;
    };

    ReadingFleet(const Size &size, const FakeStore &fakeStore, Span inForceWithin,
                 std::uint64_t seed)
        : store(fakeStore)
        , random(seed)
    {
        this->hosts.resize(size.zones * size.hostsPerZone);
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            Identity self;
            self.id.value = "h" + std::to_string(index);
            self.zone.value = "z" + std::to_string(index % size.zones);
            self.address = { std::to_string(index), 1 };
            self.seeds = { { "0", 1 }, { "1", 1 }, { "2", 1 } };
            self.propagationTimeout = inForceWithin;
            self.randomSeed = seed;
            GatewayState &state = this->hosts[index].state;
            gateway::start(state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
            Configuration configuration;
            configuration.version = 1;
            setConfiguration(state, configuration);
        }
    }

    /// Returns how long after its confirmation all hosts know \a revision, or \a timeout if they do
    /// not by then.
    Span timeUntilAllKnow(std::uint64_t revision, Span timeout)
    {
        const Instant confirmed = this->store.changes.at(revision - 1);
        while (this->now - confirmed < timeout) {
            this->step();
            const bool isKnown = std::all_of(
                    this->hosts.begin(), this->hosts.end(),
                    [&](const Host &host) { return knows(host.state.published, revision); });
            if (isKnown)
                break;
        }
        return this->now - confirmed;
    }

    std::uint64_t calls() const
    {
        std::uint64_t sum = 0;
        for (const Host &host : this->hosts)
            sum += host.state.platformReader.calls;
        return sum;
    }

    void runUntil(Instant end)
    {
        while (this->now < end)
            this->step();
    }

    /// Restarts the host with a new incarnation.
    void restart(std::size_t index)
    {
        const Identity self = this->hosts[index].state.self;
        this->hosts[index] = {};
        GatewayState &state = this->hosts[index].state;
        gateway::start(state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        state.self.incarnation.value = self.incarnation.value + 1;
        Configuration configuration;
        configuration.version = 1;
        setConfiguration(state, configuration);
    }

private:
    static bool knows(const PublishedState &published, std::uint64_t revision)
    {
        const auto found = published.items.find("k");
        return found != published.items.end() && found->second.position.revision >= revision;
    }

    struct Host
    {
        GatewayState state;
        Instant answerAt;
        Instant giveUpAt;
        std::uint64_t requestedAfter = 0;
        bool isRejected = false;
    };

    void step()
    {
        this->now = this->now + tickInterval;
        const std::vector<SendGossip> arrived = std::exchange(this->inFlight, {});
        for (const SendGossip &sent : arrived)
            this->deliver(sent);
        for (Host &host : this->hosts) {
            this->readStore(host, static_cast<std::size_t>(&host - this->hosts.data()));
            Actions actions;
            tick(host.state, this->now, actions);
            this->send(actions);
        }
    }

    void deliver(const SendGossip &sent)
    {
        constexpr std::uint64_t oneIn = 50;
        if (this->random() % oneIn == 0)
            return;
        Actions actions;
        handle(this->hosts[std::stoul(sent.to.ip)].state, *sent.message, this->now, actions);
        this->send(actions);
    }

    void send(const Actions &actions)
    {
        this->inFlight.insert(this->inFlight.end(), actions.gossip.begin(), actions.gossip.end());
    }

    void readStore(Host &host, std::size_t index)
    {
        GatewayState &state = host.state;
        if (readsPlatform(state, this->now)) {
            const std::optional<ReadCall> call = beginRead(state.platformReader, true, this->now);
            if (call) {
                host.requestedAfter = state.published.position.revision;
                host.answerAt = this->store.answerAt(this->now, call->wait, host.requestedAfter);
                host.giveUpAt = call->callDeadline;
                host.isRejected = this->store.rejects(index, this->now);
            }
        }
        if (!state.platformReader.isCallActive)
            return;
        if (host.isRejected) {
            recordReadFailure(state.platformReader, ReadFailure::Rejected, this->now);
            recordPlatformFailure(state, this->now);
        } else if (this->now >= host.answerAt) {
            this->takeAnswer(host);
        } else if (this->now >= host.giveUpAt) {
            recordReadFailure(state.platformReader, ReadFailure::NoAnswer, this->now);
            recordPlatformFailure(state, this->now);
        }
    }

    void takeAnswer(Host &host)
    {
        GatewayState &state = host.state;
        const std::uint64_t revision = this->store.revisionAt(host.answerAt - FakeStore::oneWay);
        const bool isNew = revision > host.requestedAfter;
        recordReadAnswer(state.platformReader, isNew, this->random, this->now);
        recordPlatformAnswer(state, isNew, this->now);
        if (!this->store.hasHistoryAfter(host.requestedAfter, this->now)) {
            const std::string value(this->store.valueBytes, 'v');
            applyListing(state.published, { { "k", { 0, revision }, false, value } },
                         { 0, revision }, this->now);
            return;
        }
        PublishedChanges changes{ { 0, host.requestedAfter }, { 0, revision }, {} };
        for (std::uint64_t next = host.requestedAfter + 1; next <= revision; ++next)
            changes.items.push_back(
                    { "k", { 0, next }, false, std::string(this->store.valueBytes, 'v') });
        applyEvents(state.published, changes, this->now);
    }

    const FakeStore &store;
    std::vector<Host> hosts;
    std::vector<SendGossip> inFlight;
    std::mt19937_64 random;
    Instant now = begins;
};

} // namespace azurewell::gateway
