#pragma once

#include "azurewell/host/host.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace azurewell::faults {

/// A bug that the harness injects on purpose, one for each invariant, to show that the check of
/// that invariant can fail.
enum class InjectedBug : std::uint8_t {
    None,
    IgnorePins,          ///< Coordinators ignore the pins of adapters.
    SwapAdapter,         ///< The shell sends the name of another adapter.
    IgnoreCustomer,      ///< The shell runs requests that were refused with AdapterUnknown.
    KeepWithdrawnKey,    ///< Hosts keep accepting withdrawn keys.
    RefillBuckets,       ///< Token buckets are refilled at each tick.
    CrossAnswers,        ///< Two streams at one engine swap their tokens.
    AlwaysClaimNotRun,   ///< All refusals are reported as "not run".
    SendTwice,           ///< Service calls are sent twice.
    UseLeavingUpstreams, ///< Hosts treat every upstream as live.
    ExitWithoutDraining, ///< A planned stop exits without waiting for requests.
    RevertToFirstTicket, ///< A host randomly reverts to its first configuration.
};

inline constexpr int injectedBugCount = 12;

/// The state of a caller's request in the harness; not visible to the hosts.
struct CallerRecord
{
    HostId host;
    Incarnation incarnation; ///< Of the host process.
    RequestArrived request;
    CustomerId owner;           ///< Of the key; empty if the key was never issued.
    std::int64_t tokens = 0;    ///< Sent to the caller so far.
    std::uint32_t attempt = 0;  ///< Number of the last dispatched attempt.
    bool isAttemptOpen = false; ///< The traffic thread holds a connection for it.
    int runs = 0;               ///< Times that an upstream started to run it.
    bool isEnded = false;
    bool isCompletedAtCancel = false; ///< Has all tokens of an attempt that was cancelled.
    bool hasDisconnected = false;     ///< Closed its connection.
    bool isReportedNotRun = false;    ///< Refused with run state "not run".

    bool hasLastToken() const
    {
        return this->request.kind == RequestKind::Completion
                && this->tokens >= this->request.maxGenerated.count;
    }
};

/// Checks of the ten invariants, each at the events that can violate it. Keeps the first failure.
struct Checks
{
    struct TokenLedger
    {
        double rate = 0;
        double burst = 0;
        double level = 0; ///< Tokens received in excess of the rate, as in a leaky bucket.
        Instant at;
    };

    std::map<RequestId, CallerRecord> callers;
    std::map<CustomerId, TokenLedger> ledgers;
    std::optional<std::string> failure;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::map<ResultCode, std::uint64_t> refusals;
    std::uint64_t runs = 0;

    void fail(const std::string &what);
    /// Counts \a amount tokens sent to the customer. The level never exceeds the burst if and only
    /// if every window stays within rate x time + burst.
    void countTokens(const CustomerId &customer, std::int64_t amount, Instant now);
    void recordRun(const RequestId &request, const UpstreamId &where);
    void recordRefusal(const Refuse &refusal);
    /// Checks a token of a stream by the request, adapter and position that the engine wrote.
    void recordToken(const RequestId &caller, const RequestId &writtenFor,
                     const AdapterRef &adapter, std::int64_t position, Instant now);
    void recordUnload(const UpstreamId &engine, const AdapterRef &adapter, bool isServing);
};

} // namespace azurewell::faults
