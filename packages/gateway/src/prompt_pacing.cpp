#include "azurewell/gateway/prompt_pacing.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Prefill rate of an engine with a running batch, as a share of its rate without one: a step of
/// the batch still takes place every 20 ms.
constexpr double prefillShareBesideBatch = 0.63;

/// Maximum backlog, in seconds of prefill: with it the steps of an event take 350 ms, and callers
/// expect an event every 400 ms.
constexpr double maxBacklogSeconds = 0.27;

/// Maximum wait of a prompt: with an objective of a second for the first event, there is time left
/// to read it and the prompts ahead of it.
constexpr Span maxAdmissionWait = std::chrono::milliseconds(350);

/// Wait from which on another copy is worth its load.
constexpr Span copyWaitThreshold = std::chrono::milliseconds(60);

} // namespace

PromptAdmission admitPrompt(PromptPacer &pacer, const ModelName &adapter, double tokens,
                            double prefillTokensPerSecond, Instant now)
{
    const double drainRate = prefillTokensPerSecond * prefillShareBesideBatch;
    const double tokensRead = drainRate * toSeconds(now - pacer.at);
    pacer.backlog = std::max(0.0, pacer.backlog - tokensRead);
    pacer.at = now;
    const double maxBacklogBefore = std::max(0.0,
                                             maxBacklogSeconds * prefillTokensPerSecond - tokens);
    const double excess = std::max(0.0, pacer.backlog - maxBacklogBefore);
    pacer.backlog += tokens;
    add(pacer.demand[adapter], tokens, demandDecayTime, now);

    PromptAdmission turn;
    turn.wait = std::min<Span>(maxAdmissionWait, fromSeconds(excess / drainRate));
    const double perSecond = pacer.demand[adapter].value / toSeconds(demandDecayTime);
    turn.isCopyWanted = turn.wait >= copyWaitThreshold
            && perSecond > shareOfOneCopy * prefillTokensPerSecond;
    return turn;
}

void releaseAdmission(PromptPacer &pacer, double tokens)
{
    pacer.backlog = std::max(0.0, pacer.backlog - tokens);
}

void tidy(PromptPacer &pacer, Instant now)
{
    std::erase_if(pacer.demand, [now](const auto &entry) {
        return valueAt(entry.second, demandDecayTime, now) < 1;
    });
}

} // namespace azurewell::gateway
