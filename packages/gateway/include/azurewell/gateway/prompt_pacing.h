#pragma once

#include "azurewell/gateway/upstreams.h"

#include <map>

namespace azurewell::gateway {

/// Decay time (to 1/e) of the demand for an adapter: demand shifts within seconds.
inline constexpr Span demandDecayTime = std::chrono::milliseconds(2000);

/// Share of an engine's prefill rate that one copy of an adapter should use: the engine has other
/// adapters as well.
inline constexpr double shareOfOneCopy = 0.4;

/// Paces the prompts that all hosts send to one engine.
///
/// Load pattern: requests arrive in bursts, and many hosts, each of which sees a small part of
/// them, send their prompts to one engine at the same time. The engine reads 22 prompt tokens per
/// millisecond between the steps of its batch, and an event of a stream takes four steps. With
/// 8,000 tokens to read between two events, callers wait for 400 ms, which they count as a pause;
/// 2,500 of the 11,000 streams of a calm day with 86 hosts had one. No host can see this alone, as
/// each sends a prompt to that engine only every 16 s.
///
/// Therefore the coordinator of an engine also admits its prompts. It tracks the admitted prompts
/// as a backlog that the engine drains.
struct PromptPacer
{
    double backlog = 0; ///< Estimate of admitted tokens that are not read yet.
    Instant at;
    std::map<ModelName, DecayedSum> demand; ///< Requested tokens by adapter.
};

/// Answer to a host that requested admission of a prompt.
struct PromptAdmission
{
    Span wait{};
    /// The demand for this adapter exceeds what one engine should read: another engine should load
    /// it.
    bool isCopyWanted = false;
    bool isPermit = false; ///< The prompt counts against the rate limit of the engine.
};

/// Admits a prompt of \a tokens for \a adapter at an engine that reads \a prefillTokensPerSecond.
/// The tokens count towards the backlog from now on.
PromptAdmission admitPrompt(PromptPacer &pacer, const ModelName &adapter, double tokens,
                            double prefillTokensPerSecond, Instant now);

/// Cancels an unused admission of \a tokens.
void releaseAdmission(PromptPacer &pacer, double tokens);

/// Removes adapters without demand.
void tidy(PromptPacer &pacer, Instant now);

} // namespace azurewell::gateway
