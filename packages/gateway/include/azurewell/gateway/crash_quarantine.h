#pragma once

#include "azurewell/gateway/upstreams.h"
#include "azurewell/units/deadline_queue.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace azurewell::gateway {

/// One process lifetime of an upstream. `start` changes with each start of the process.
struct UpstreamIncarnation
{
    UpstreamId upstream;
    std::int64_t start = 0;

    auto operator<=>(const UpstreamIncarnation &) const = default;
};

UpstreamIncarnation incarnationOf(const Upstream &upstream);

enum class SuspectKind : std::uint8_t {
    Request,    ///< All sends of one request.
    PromptPart, ///< All requests whose prompts have one part.
};

/// An upstream closed the connection of a request before answering, so the request, or a part of
/// its prompt, may have crashed it.
struct CrashSuspicion
{
    RequestDigest digest;
    UpstreamIncarnation incarnation;
    Instant at;
    SuspectKind kind = SuspectKind::Request;
    bool isCleared = false; ///< A complete answer has shown that the suspicion was wrong.
    /// The incarnation was running at `at`, so that all suspicions of it shortly before are wrong.
    /// The digest is 0.
    bool isRefuted = false;
};

/// A suspicion still to be sent to the other hosts. It is sent several times because messages may
/// be lost.
struct PendingSuspicion
{
    CrashSuspicion suspicion;
    Instant nextSendAt;
    int sendsLeft = 0;
};

/// A check whether an upstream that has cut off a request of this host is still running.
struct CrashCheck
{
    Instant lostAt; ///< When a connection was last lost.
    Instant dueAt = never;
    Instant sentAt; ///< When the latest check was sent; 0: none was.
    bool isPending = false;
    bool isRefuted = false; ///< The upstream was running after the latest loss.
};

/// Tracks requests and parts of prompts that may crash the upstreams that run them, and quarantines
/// those that do.
///
/// Failure: a request crashes the engine that runs it. Its caller, or other callers with the same
/// request, send it again, each host dispatches it to the next engine, and the engines of a service
/// crash one after the other, each with everything that it runs.
///
/// All requests that an engine cuts off when it crashes become suspects, nearly all of them
/// wrongly. All suspicions of a request are cleared when the request is answered completely. A lost
/// connection alone proves nothing: upstreams that live on break off single answers. A process that
/// ended has closed all its connections, accepts none for a while, and has another start
/// afterwards. So a suspicion is refuted when the same incarnation answers something that was sent
/// later, or goes on with an answer on an older connection. As there may be no such request, the
/// host that lost the connection opens another one shortly after, and tells the other hosts if a
/// suspicion of its own is refuted. Until then it counts: to wait would let a fourth upstream run
/// the request.
///
/// A suspect keeps the set of incarnations, never a count, so that receiving the same suspicion
/// twice changes nothing and the suspicions of two partitions of a fleet add up.
///
/// The same failure with requests that differ in all but one part of their prompts: that part is
/// what the crashed incarnations have in common and no complete answer has cleared. Most parts are
/// shared by many requests, and a complete answer to any of them clears a part; the hosts send each
/// other what they have cleared. The crashes that a quarantined part explains count against no
/// other part.
struct CrashQuarantine
{
    struct Suspect
    {
        SuspectKind kind = SuspectKind::Request;
        /// Incarnations that may have crashed while running the request, and when.
        std::map<UpstreamIncarnation, Instant> incarnations;
        /// Incarnations of which a complete answer has cleared it. Of prompt parts only.
        std::set<UpstreamIncarnation> cleared;
        Instant clearedAt;
        bool wasAnswered = false; ///< A request with the part was answered shortly before.
        bool isQuarantined = false;
    };
    std::unordered_map<RequestDigest, Suspect> suspects;
    DeadlineQueue<RequestDigest> suspectedUntil; ///< Suspects that may still be dispatched.
    DeadlineQueue<RequestDigest> quarantinedUntil;
    /// Time of the latest suspicion of each incarnation.
    std::map<UpstreamIncarnation, Instant> suspectedIncarnations;
    /// Incarnations that crashed while running requests with quarantined parts, and these parts.
    std::map<UpstreamIncarnation, std::set<RequestDigest>> explained;
    DeadlineQueue<RequestDigest> answeredParts; ///< Until when a complete answer speaks for a part.
    std::vector<PendingSuspicion> pending;
    /// Of the incarnations that cut off requests of this host.
    std::map<UpstreamIncarnation, CrashCheck> checks;
    /// When an incarnation was last known to be running after a suspicion.
    std::map<UpstreamIncarnation, Instant> runningAt;
    std::uint64_t suspicionsRecorded = 0; ///< Suspicions recorded since the process started.
    std::uint64_t suspicionsRefuted
            = 0; ///< Of these, the ones refuted because the incarnation kept running.
};

/// A request is quarantined once this many incarnations of upstreams may have crashed while running
/// it. One or two can crash by chance under a request that its caller retries.
inline constexpr std::size_t quarantineThreshold = 3;

/// Crashes at least this far apart count separately against a part: those of upstreams that fail
/// together have a common cause. A crash of one upstream is noticed by all hosts within this time.
inline constexpr Span commonCauseSpan = std::chrono::milliseconds(200);

/// As quarantineThreshold, for a part with complete answers, before the crashes or after one of
/// them. Engines that crash for another reason, one after the other, interrupt many such parts.
inline constexpr std::size_t answeredPartThreshold = 5;

/// Records \a suspicions, which were received together. Returns what becomes quarantined.
std::vector<RequestDigest> recordSuspicions(CrashQuarantine &quarantine,
                                            const std::vector<CrashSuspicion> &suspicions,
                                            Instant now);

/// Queues \a suspicion, which this host has recorded itself, for sending to the other hosts.
void queueSuspicion(CrashQuarantine &quarantine, const CrashSuspicion &suspicion, Instant now);

/// Returns suspicions that are due to be sent at \a now, as many as one message may have.
std::vector<CrashSuspicion> takePending(CrashQuarantine &quarantine, Instant now);

/// Whether the request is quarantined, that is, dispatched to no upstream.
bool isQuarantined(const CrashQuarantine &quarantine, const RequestDigest &digest);

/// Whether the request may have crashed an upstream.
bool isSuspected(const CrashQuarantine &quarantine, const RequestDigest &digest);

/// When one request with a quarantined part may be sent to learn whether it still crashes
/// upstreams. The interval doubles with each crash.
Instant nextTrialAt(const CrashQuarantine &quarantine, const RequestDigest &part);

/// Returns the time left until the request leaves quarantine; 0: it is not quarantined.
Span remainingQuarantine(const CrashQuarantine &quarantine, const RequestDigest &digest,
                         Instant now);

/// Refutes suspicions of an upstream that answered a call sent at \a sentAt and stated its
/// incarnation.
void recordReported(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                    Instant sentAt);

/// Refutes suspicions of an upstream that answered a request sent at \a sentAt without stating its
/// incarnation.
void recordAnswered(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                    Instant sentAt);

/// Refutes suspicions of an upstream that sends at \a now a part of the answer to a request that it
/// received at \a sentAt: it has not ended in between.
void recordStillAnswering(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                          Instant sentAt, Instant now);

/// Schedules a check of an upstream that cut off a request of this host at \a now.
void scheduleCheck(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                   Instant now);

/// Returns the incarnations whose check is due at \a now, unless they may have restarted since.
std::vector<UpstreamIncarnation> takeDueChecks(CrashQuarantine &quarantine, Instant now);

/// Records the end of the pending check of \a upstream. If a connection opened, the upstream was
/// running when the check was sent.
void recordCheckEnded(CrashQuarantine &quarantine, const UpstreamId &upstream, bool isOpen);

/// Clears all suspicions of a request whose answer is known to be complete.
void clearSuspicions(CrashQuarantine &quarantine, const RequestDigest &digest);

/// Records that a request with \a part was answered completely, which clears all suspicions of the
/// part. Returns them for the other hosts.
std::vector<CrashSuspicion> recordPartAnswered(CrashQuarantine &quarantine,
                                               const RequestDigest &part, Instant now);

/// The number of quarantined suspects of \a kind.
std::size_t countQuarantined(const CrashQuarantine &quarantine, SuspectKind kind);

/// Removes expired suspects and quarantines. Call at each tick.
void removeExpiredSuspicions(CrashQuarantine &quarantine, Instant now);

/// Returns the suspicions that a newly joined host needs: those of requests that are quarantined or
/// one crash away from it.
std::vector<CrashSuspicion> severeSuspicions(const CrashQuarantine &quarantine);

} // namespace azurewell::gateway
