#pragma once

#include "azurewell/host/host.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace azurewell::faults {

/// A fault that the harness commits on purpose, one for each promise, to show that the check of
/// that promise can fail.
enum class Sabotage : std::uint8_t {
    None,
    IgnorePins,       ///< Keepers forget what is pinned.
    SwapAdapter,      ///< The shell sends another adapter's name.
    IgnoreOwner,      ///< The shell runs a request although its refusal was ordered.
    KeepWithdrawnKey, ///< Withdrawn keys stay in the hosts' tables.
    FreeTokens,       ///< Buckets are filled up at each tick.
    CrossAnswers,     ///< Two streams on one host exchange their tokens.
    LieNotRun,        ///< Refusals say "not run" whatever the core said.
    SendTwice,        ///< Service calls are sent twice.
    UseLeaving,       ///< Hosts take every upstream for live.
    LeaveAtOnce,      ///< A planned stop ends the process without waiting.
    OlderTicket,      ///< A host falls back to its first state now and then.
};

inline constexpr int sabotageCount = 12;

/// What the harness knows of one caller's request; the hosts do not see it.
struct CallerView
{
    HostId host;
    Incarnation life;
    RequestArrived asked;
    CustomerId owner;           ///< Of the key; empty where the key was never issued.
    std::int64_t tokens = 0;    ///< Passed on to the caller.
    std::uint32_t attempt = 0;  ///< The newest that was dispatched.
    bool isAttemptOpen = false; ///< The traffic thread holds a connection for it.
    int runs = 0;               ///< Times that an upstream began to run it.
    bool isEnded = false;
    bool hasLeft = false; ///< Closed its connection.
    bool isNotRunClaimed = false;
};

/// The ten promises, each checked at the moment it can be broken. The first failure is kept.
struct Checks
{
    struct Ledger
    {
        double rate = 0;
        double burst = 0;
        double level = 0; ///< Tokens received and not covered by the rate yet.
        Instant at;
    };

    std::map<RequestId, CallerView> callers;
    std::map<CustomerId, Ledger> ledgers;
    std::optional<std::string> failure;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::map<ResultCode, std::uint64_t> refusals;
    std::uint64_t runs = 0;

    void fail(const std::string &what);
    /// \a amount reached the customer; the level never passes the burst if and only if every window
    /// stays within rate x time + burst.
    void receive(const CustomerId &customer, std::int64_t amount, Instant now);
    void noteRun(const RequestId &request, const UpstreamId &where);
    void noteRefusal(const Refuse &refusal);
    /// A token of a stream: its request, adapter and place in the answer as the engine wrote them.
    void noteToken(const RequestId &caller, const RequestId &writtenFor, const AdapterRef &adapter,
                   std::int64_t place, Instant now);
    void noteUnload(const UpstreamId &engine, const AdapterRef &adapter, bool isServing);
};

} // namespace azurewell::faults
