#pragma once

#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurewell::soak {

/// An order that an engine carried out.
struct CarriedOutOrder
{
    Instant at;
    std::string engine;
    std::string owner;
    std::string what; ///< The operation and the adapter, for messages.
    std::uint64_t fencing = 0;
    std::uint64_t expectedOrders = 0; ///< The order count that the order names.
    std::uint64_t ordersBefore = 0;   ///< The engine's order count when the order arrived.
    int status = 0;
    bool isHeldAlready = false;  ///< Nothing had to be done, and the order count was not checked.
    bool isBeyondPlaces = false; ///< All places for adapters were taken.
};

enum class ViolationKind : std::uint8_t { LowerNumber, SameNumber, EarlyTurn, BeyondPlaces };

struct Violation
{
    ViolationKind kind = ViolationKind::LowerNumber;
    CarriedOutOrder before;
    CarriedOutOrder order;
};

std::string describe(const Violation &violation, Instant start);

/// Checks that one host at a time orders at an engine, over the orders of all engines.
class OrderJudge
{
public:
    /// Two hosts that order within this time of each other act at the same time.
    static constexpr Span lease = std::chrono::milliseconds(3000);

    void record(const CarriedOutOrder &order);
    /// The engine has started again; numbers and counts begin anew.
    void restart(const std::string &engine);
    std::string lastOwner(const std::string &engine) const;

    std::vector<Violation> violations;
    std::uint64_t orders = 0;
    std::uint64_t turns = 0; ///< Orders of another host than the one before.

private:
    struct Life
    {
        std::map<std::uint64_t, CarriedOutOrder> byNumber;
        CarriedOutOrder last;
    };

    std::map<std::string, Life> lives;
};

} // namespace azurewell::soak
