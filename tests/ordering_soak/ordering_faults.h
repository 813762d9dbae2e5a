#pragma once

#include "engines.h"
#include "host_fleet.h"
#include "relay.h"

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace azurewell::soak {

/// What may happen to hosts in a run.
struct FaultSettings
{
    std::uint64_t seed = 1;
    std::vector<std::string> only; ///< Names of the faults to inject; empty: all.
};

/// Disturbs hosts from outside: kinds, times and lengths follow from the seed, and faults overlap.
/// Mostly a host is chosen that orders at the time, so whom a fault hits differs between runs.
class OrderingFaults : public OrderSources
{
public:
    OrderingFaults(FaultSettings faultSettings, HostFleet &hostFleet, Relay &hostRelay,
                   const OrderJudge &orderJudge, std::vector<std::string> engineIds);

    void start();
    /// Begins no further faults; those under way end.
    void stop();

    bool isJustThawed(const std::string &host, Instant now) const override;
    Span orderDelay(const std::string &host) override;

    std::map<std::string, std::uint64_t> begun; ///< Faults by name.

private:
    using Fault = void (OrderingFaults::*)(std::size_t);

    void beginNext();
    void starve(std::size_t index);
    void starveSeveral(std::size_t index);
    void pause(std::size_t index);
    void killAndRestart(std::size_t index);
    void mute(std::size_t index);
    void muteSeveral(std::size_t index);
    void deafen(std::size_t index);
    void delayOrders(std::size_t index);
    void runSlice(std::size_t index, std::uint64_t life, Instant until);
    bool mayDisturb(std::size_t index) const;
    std::size_t drawHost();
    Span draw(Span least, Span most);
    void later(Span delay, std::function<void()> action);

    FaultSettings settings;
    HostFleet &fleet;
    Relay &relay;
    const OrderJudge &judge;
    std::vector<std::string> engines;
    std::mt19937_64 plan;   ///< Kinds and times of faults; what happens in a run does not move it.
    std::mt19937_64 random; ///< Lengths and slices.
    std::map<std::string, Instant> delayedUntil;
    QObject context;
    bool isStopped = false;
};

} // namespace azurewell::soak
