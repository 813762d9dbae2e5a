#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace azurewell::gateway {

/// Whether this host can open connections to the upstreams of a service.
enum class PathState : std::uint8_t {
    Open,
    Suspected, ///< Connections failed or were silent; probes decide.
    Lost,      ///< No upstream of the service can be reached from here.
};

/// The path from this host to the upstreams of one service.
///
/// Failure: a host loses its path to all upstreams of a service while other hosts keep theirs. It
/// takes each upstream for down, tries one after the other while the caller waits, and refuses
/// requests that other hosts could serve. One upstream that cannot be reached says nothing; only
/// when none of a sample can be reached, the path is lost.
struct UpstreamPath
{
    PathState state = PathState::Open;
    std::uint64_t round = 0;         ///< Number of the current or last round of probes.
    std::set<UpstreamId> awaited;    ///< Upstreams whose probes of the round have not ended.
    std::size_t openedInRound = 0;   ///< Probes of the round whose connection opened.
    std::uint32_t roundsAgainst = 0; ///< Consecutive rounds that speak for a change of `state`.
    Instant nextRoundAt;             ///< When the next round begins unless the path is open.
    Instant suspicionAllowedAt;      ///< A path that was just found open is not suspected again.
    Instant unansweredSince;         ///< Send time of the first request without an answer since.
    std::set<UpstreamId> unanswered; ///< Upstreams that were sent requests since then.
};

/// Change of a path by the end of a probe.
enum class PathChange : std::uint8_t { None, Lost, Restored };

/// A connection that does not open within this time counts as failed. Connections within a region
/// open in a few ms.
inline constexpr Span probeTimeout = std::chrono::milliseconds(200);

/// Records a request that was sent to \a upstream.
void recordSent(UpstreamPath &path, const UpstreamId &upstream, Instant now);

/// Records any answer of an upstream of the service.
void recordAnswered(UpstreamPath &path);

/// Whether requests have been without any answer for so long that the path may be lost.
bool isSilent(const UpstreamPath &path, Instant now);

/// Suspects an open path after a failed connection or a silence. The next round is then due.
void suspect(UpstreamPath &path, Instant now);

/// Whether a round of probes has to begin.
bool isRoundDue(const UpstreamPath &path, Instant now);

/// Number of upstreams to probe in the next round.
std::size_t nextRoundSize(const UpstreamPath &path);

/// Begins a round with probes of \a upstreams. Without any, the path counts as open.
void beginRound(UpstreamPath &path, std::set<UpstreamId> upstreams);

/// Records the end of a probe of \a round; that of an earlier round is ignored.
PathChange recordProbe(UpstreamPath &path, std::uint64_t round, const UpstreamId &upstream,
                       bool isOpen, Instant now);

} // namespace azurewell::gateway
