#include "azurewell/gateway/prompt_pacing.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// What an engine reads beside its batch, of what it reads with nothing else to do: a step still
/// comes every 20 ms.
constexpr double partBesideBatch = 0.63;

/// Tokens that may be on their way at once, as seconds of reading: with them the steps of an event
/// take 350 ms, and callers expect one every 400 ms.
constexpr double mostAtOnce = 0.27;

/// A prompt waits no longer than this: with an objective of a second for the first event there is
/// time to read it and what is before it.
constexpr Span longestTurn = std::chrono::milliseconds(350);

/// A wait from which on another copy is worth its load.
constexpr Span waitForCopy = std::chrono::milliseconds(60);

} // namespace

PromptTurn takeTurn(PromptPacer &pacer, const ModelName &adapter, double tokens,
                    double readPerSecond, Instant now)
{
    const double drained = readPerSecond * partBesideBatch;
    const double read = drained * toSeconds(now - pacer.at);
    pacer.backlog = std::max(0.0, pacer.backlog - read);
    pacer.at = now;
    const double allowedBefore = std::max(0.0, mostAtOnce * readPerSecond - tokens);
    const double tooMuch = std::max(0.0, pacer.backlog - allowedBefore);
    pacer.backlog += tokens;
    add(pacer.demand[adapter], tokens, demandLife, now);

    PromptTurn turn;
    turn.wait = std::min<Span>(longestTurn, fromSeconds(tooMuch / drained));
    const double perSecond = pacer.demand[adapter].value / toSeconds(demandLife);
    turn.isCopyWanted = turn.wait >= waitForCopy && perSecond > partOfOneCopy * readPerSecond;
    return turn;
}

void giveBackTurn(PromptPacer &pacer, double tokens)
{
    pacer.backlog = std::max(0.0, pacer.backlog - tokens);
}

void tidy(PromptPacer &pacer, Instant now)
{
    std::erase_if(pacer.demand,
                  [now](const auto &entry) { return valueAt(entry.second, demandLife, now) < 1; });
}

} // namespace azurewell::gateway
