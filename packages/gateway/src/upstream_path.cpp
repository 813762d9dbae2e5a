#include "azurewell/gateway/upstream_path.h"

#include <utility>

namespace azurewell::gateway {

namespace {

/// The path is silent if requests to several upstreams, or to a single one, get no answer for this
/// long. Upstreams mostly send the head of an answer within half a second.
constexpr Span silenceOfSeveral = std::chrono::milliseconds(600);
constexpr Span silenceOfOne = std::chrono::milliseconds(1200);

/// A single upstream that crashed must not cause probes with each request that it fails.
constexpr Span suspicionPause = std::chrono::milliseconds(500);

/// The first sample is small, as mostly just one upstream is down; the one that decides is large,
/// as several may be.
constexpr std::size_t firstSample = 4;
constexpr std::size_t decidingSample = 16;

/// A suspected path is lost after this many consecutive rounds in which no connection opens. A lost
/// path is open again after this many consecutive rounds in which at least one does.
constexpr std::uint32_t roundsToLose = 2;
constexpr std::uint32_t roundsToRestore = 2;

/// Interval between rounds while the path is lost.
constexpr Span lostRoundInterval = std::chrono::milliseconds(250);

void setState(UpstreamPath &path, PathState state, Instant now)
{
    path.state = state;
    path.roundsAgainst = 0;
    path.nextRoundAt = now;
    path.awaited.clear();
    recordAnswered(path);
    if (state == PathState::Open)
        path.suspicionAllowedAt = now + suspicionPause;
}

PathChange endRoundOfSuspected(UpstreamPath &path, Instant now)
{
    if (path.openedInRound > 0) {
        setState(path, PathState::Open, now);
        return PathChange::None;
    }
    if (++path.roundsAgainst < roundsToLose)
        return PathChange::None;
    setState(path, PathState::Lost, now);
    return PathChange::Lost;
}

PathChange endRoundOfLost(UpstreamPath &path, Instant now)
{
    path.nextRoundAt = now + lostRoundInterval;
    path.roundsAgainst = path.openedInRound > 0 ? path.roundsAgainst + 1 : 0;
    if (path.roundsAgainst < roundsToRestore)
        return PathChange::None;
    setState(path, PathState::Open, now);
    return PathChange::Restored;
}

} // namespace

void recordSent(UpstreamPath &path, const UpstreamId &upstream, Instant now)
{
    if (path.unanswered.empty())
        path.unansweredSince = now;
    path.unanswered.insert(upstream);
}

void recordAnswered(UpstreamPath &path)
{
    path.unanswered.clear();
}

bool isSilent(const UpstreamPath &path, Instant now)
{
    if (path.unanswered.empty())
        return false;
    const Span limit = path.unanswered.size() > 1 ? silenceOfSeveral : silenceOfOne;
    return now - path.unansweredSince >= limit;
}

void suspect(UpstreamPath &path, Instant now)
{
    if (path.state == PathState::Open && now >= path.suspicionAllowedAt)
        setState(path, PathState::Suspected, now);
}

bool isRoundDue(const UpstreamPath &path, Instant now)
{
    return path.state != PathState::Open && path.awaited.empty() && now >= path.nextRoundAt;
}

std::size_t nextRoundSize(const UpstreamPath &path)
{
    const bool isDeciding = path.state == PathState::Suspected && path.roundsAgainst > 0;
    return isDeciding ? decidingSample : firstSample;
}

void beginRound(UpstreamPath &path, std::set<UpstreamId> upstreams)
{
    ++path.round;
    path.openedInRound = 0;
    path.awaited = std::move(upstreams);
    if (path.awaited.empty())
        path.state = PathState::Open;
}

PathChange recordProbe(UpstreamPath &path, std::uint64_t round, const UpstreamId &upstream,
                       bool isOpen, Instant now)
{
    if (round != path.round || path.awaited.erase(upstream) == 0)
        return PathChange::None;
    path.openedInRound += isOpen ? 1 : 0;
    const bool isDecided = path.awaited.empty()
            || (path.state == PathState::Suspected && path.openedInRound > 0);
    if (!isDecided)
        return PathChange::None;
    return path.state == PathState::Lost ? endRoundOfLost(path, now)
                                         : endRoundOfSuspected(path, now);
}

} // namespace azurewell::gateway
