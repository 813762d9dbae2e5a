#pragma once

#include "azurewell/gateway/gossip.h"
#include "azurewell/gateway/permit_pacer.h"
#include "azurewell/gateway/upstreams.h"
#include "azurewell/scheduling/read_window.h"
#include "azurewell/scheduling/urgency_queue.h"

#include <array>
#include <map>

namespace azurewell::gateway {

/// Decay time (to 1/e) of the demand for an adapter: demand shifts within seconds.
inline constexpr Span demandDecayTime = std::chrono::milliseconds(2000);

/// Share of an engine's prefill rate that one copy of an adapter should use: the engine has other
/// adapters as well.
inline constexpr double shareOfOneCopy = 0.4;

/// Paces the prompts that all hosts send to one engine. See docs/design/engine-admission.md.
///
/// Load pattern: requests arrive in bursts, and many hosts, each of which sees a small part of
/// them, send their prompts to one engine at the same time. The engine reads 22 prompt tokens per
/// millisecond between the steps of its batch, and its streams pause meanwhile: 2,500 of the 11,000
/// streams of a calm day with 86 hosts did for longer than callers accept. No host can see this
/// alone, as each sends a prompt to that engine only every 16 s. Above the engine's rate, prompts
/// that are all admitted late are all in vain.
///
/// Therefore the coordinator of an engine also admits its prompts: within a window of unread
/// tokens, the others by priority and customer, and none that the engine can't read in time.
struct PromptPacer
{
    ReadWindow window;
    UrgencyQueue queue;
    std::map<PermitHolder, AdmissionRequest> queued; ///< The requests of the prompts in `queue`.
    std::vector<PermitHolder> dropped;      ///< Dropped from the full queue, but not answered yet.
    Span maxPause{};                        ///< Shortest one that was recently stated; 0: none.
    Instant maxPauseAt;                     ///< When it was stated.
    std::map<ModelName, DecayedSum> demand; ///< Requested tokens by adapter.
};

/// Counts of prompts by decision and priority, since the start of the process.
struct PacingCounters
{
    using ByPriority = std::array<std::uint64_t, leastUrgent.level + 1>;

    ByPriority admittedAtOnce{};
    ByPriority queued{};
    ByPriority admittedFromQueue{};
    ByPriority unservable{};
    std::uint64_t reserved = 0; ///< Admitted for a later time, as the host does not know queues.
    std::uint64_t expired = 0;  ///< Admitted prompts whose reports were lost.
};

/// Answer to a host that requested admission of a prompt.
struct PromptAdmission
{
    Span wait{}; ///< Of a queued or unservable prompt: the estimate.
    /// The demand for this adapter exceeds what one engine should read: another engine should load
    /// it.
    bool isCopyWanted = false;
    bool isPermit = false; ///< The prompt counts against the rate limit of the engine.
    bool isQueued = false; ///< A further answer follows.
    bool isUnservable = false;
};

/// The further answer to a prompt that was queued.
struct QueuedAnswer
{
    PermitHolder holder;
    AdmissionRequest request;
    PromptAdmission admission;
};

/// The prompt tokens that the engine reads per second, where those of its service read
/// \a serviceRate.
double readRate(const PromptPacer &pacer, double serviceRate);

/// The priority by which a prompt is queued. One whose objective is past waits behind those that
/// can be in time: a late answer is worth more to its caller than none, but less than one in time.
Priority queuePriority(const AdmissionRequest &request);

/// Admits, queues or rejects the prompt of \a request by \a requester.
PromptAdmission admitPrompt(PromptPacer &pacer, const AdmissionRequest &request,
                            const HostId &requester, double serviceRate, PacingCounters &counters,
                            Instant now);

/// Admits queued prompts while there is room, rejects those that are too late, and removes admitted
/// prompts whose reports were lost.
std::vector<QueuedAnswer> admitQueued(PromptPacer &pacer, double serviceRate,
                                      PacingCounters &counters, Instant now);

/// Cancels the unused admission of \a holder, or removes its prompt from the queue.
void releaseAdmission(PromptPacer &pacer, const PermitHolder &holder);

/// Handles the report of \a requester about an admitted prompt.
void handleRead(PromptPacer &pacer, const HostId &requester, const PromptRead &read,
                double serviceRate, Instant now);

/// Whether nothing is unread or queued.
bool isIdle(const PromptPacer &pacer);

/// Removes adapters without demand.
void tidy(PromptPacer &pacer, Instant now);

} // namespace azurewell::gateway
