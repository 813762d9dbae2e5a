#include "azurewell/gateway/crash_quarantine.h"

#include <algorithm>
#include <array>
#include <utility>

namespace azurewell::gateway {

namespace {

/// A suspect expires this long after its latest suspicion.
constexpr Span suspicionLifetime = std::chrono::minutes(2);

/// A quarantined request is dispatched again after this: the fault in the upstreams may have been
/// fixed.
constexpr Span quarantineDuration = std::chrono::minutes(10);

constexpr std::size_t maxSuspects = 4096;
constexpr std::size_t maxQuarantined = 1024;

/// A crashed upstream takes at least this long to restart: one that answers sooner has not crashed.
constexpr Span minRestartTime = std::chrono::seconds(1);

/// From the loss of a connection to the check of its upstream. A process that ends closes what it
/// listens on within this time.
constexpr Span checkDelay = std::chrono::milliseconds(100);

/// An upstream that breaks off many answers is not checked more often than this.
constexpr Span checkInterval = std::chrono::milliseconds(500);
constexpr Span checkLifetime = std::chrono::seconds(5);

/// What another host tells about an upstream may be older than it seems by this.
constexpr Span maxMessageDelay = std::chrono::milliseconds(50);

/// A suspicion is sent again after these intervals, in case a message was lost. The first is short:
/// a host that does not know of a third crash dispatches the request to a fourth upstream. The last
/// is longer than most losses of several messages in a row.
constexpr std::array<Span, 2> resendIntervals{ std::chrono::milliseconds(60),
                                               std::chrono::milliseconds(740) };
constexpr int sendsPerSuspicion = 1 + static_cast<int>(resendIntervals.size());

/// Suspicions sent to a newly joined host.
constexpr std::size_t maxSuspicionsForNewHost = 200;

constexpr std::size_t maxSuspicionsPerMessage = 200;

/// How long a complete answer speaks for the parts of its prompt.
constexpr Span answeredPartLifetime = std::chrono::seconds(30);
constexpr std::size_t maxAnsweredParts = 8192;

/// From the latest crash of a quarantined part to the first trial.
constexpr Span firstTrialDelay = std::chrono::seconds(20);

Instant latestSuspicionAt(const CrashQuarantine::Suspect &suspect)
{
    Instant latest;
    for (const auto &[incarnation, at] : suspect.incarnations)
        latest = std::max(latest, at);
    return latest;
}

void stopExplaining(CrashQuarantine &quarantine, const RequestDigest &digest)
{
    for (auto &[incarnation, parts] : quarantine.explained)
        parts.erase(digest);
    std::erase_if(quarantine.explained, [](const auto &entry) { return entry.second.empty(); });
}

void forget(CrashQuarantine &quarantine, const RequestDigest &digest)
{
    stopExplaining(quarantine, digest);
    quarantine.suspects.erase(digest);
    quarantine.suspectedUntil.erase(digest);
    quarantine.quarantinedUntil.erase(digest);
}

/// Sets the expiry of \a suspect from its current suspicions.
void setExpiry(CrashQuarantine &quarantine, const RequestDigest &digest,
               const CrashQuarantine::Suspect &suspect)
{
    const Instant latest = std::max(latestSuspicionAt(suspect), suspect.clearedAt);
    quarantine.suspectedUntil.erase(digest);
    quarantine.quarantinedUntil.erase(digest);
    if (suspect.isQuarantined)
        quarantine.quarantinedUntil.set(digest, latest + quarantineDuration);
    else
        quarantine.suspectedUntil.set(digest, latest + suspicionLifetime);
}

/// Enforces the size limits. Suspects are evicted for other suspects, a quarantined request only
/// for another quarantined one.
void enforceLimits(CrashQuarantine &quarantine)
{
    while (quarantine.suspectedUntil.size() > maxSuspects)
        forget(quarantine, *quarantine.suspectedUntil.takeDue(never));
    while (quarantine.quarantinedUntil.size() > maxQuarantined)
        forget(quarantine, *quarantine.quarantinedUntil.takeDue(never));
}

/// The times of the crashes that speak against a part.
std::vector<Instant> crashTimesOf(const CrashQuarantine &quarantine, const RequestDigest &part,
                                  const CrashQuarantine::Suspect &suspect)
{
    std::vector<Instant> times;
    for (const auto &[incarnation, at] : suspect.incarnations) {
        const auto found = quarantine.explained.find(incarnation);
        if (found == quarantine.explained.end() || found->second.contains(part))
            times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// How many separate crashes speak against \a suspect.
std::size_t evidenceOf(const CrashQuarantine &quarantine, const RequestDigest &digest,
                       const CrashQuarantine::Suspect &suspect)
{
    if (suspect.kind == SuspectKind::Request)
        return suspect.incarnations.size();
    std::size_t crashes = 0;
    Instant countedAt;
    for (const Instant &at : crashTimesOf(quarantine, digest, suspect)) {
        if (crashes > 0 && at < countedAt + commonCauseSpan)
            continue;
        ++crashes;
        countedAt = at;
    }
    return crashes;
}

std::size_t thresholdOf(const CrashQuarantine::Suspect &suspect)
{
    const bool hasAnswers = suspect.wasAnswered || !suspect.cleared.empty();
    return hasAnswers ? answeredPartThreshold : quarantineThreshold;
}

void explainCrashes(CrashQuarantine &quarantine, const RequestDigest &part,
                    const CrashQuarantine::Suspect &suspect)
{
    for (const auto &[incarnation, at] : suspect.incarnations)
        quarantine.explained[incarnation].insert(part);
}

/// Brings the state of \a suspect in line with its suspicions. Returns true if it becomes
/// quarantined.
bool update(CrashQuarantine &quarantine, const RequestDigest &digest,
            CrashQuarantine::Suspect &suspect)
{
    const bool isGuilty = evidenceOf(quarantine, digest, suspect) >= thresholdOf(suspect);
    const bool wasQuarantined = std::exchange(suspect.isQuarantined, isGuilty);
    if (wasQuarantined && !isGuilty)
        stopExplaining(quarantine, digest);
    if (isGuilty && suspect.kind == SuspectKind::PromptPart)
        explainCrashes(quarantine, digest, suspect);
    setExpiry(quarantine, digest, suspect);
    return isGuilty && !wasQuarantined;
}

/// Whether \a suspect is a part with the same crashes as one of \a others.
bool hasSameCrashes(const CrashQuarantine &quarantine, const CrashQuarantine::Suspect &suspect,
                    const std::vector<RequestDigest> &others)
{
    return suspect.kind == SuspectKind::PromptPart
            && std::any_of(others.begin(), others.end(), [&](const RequestDigest &other) {
                   const CrashQuarantine::Suspect &guilty = quarantine.suspects.at(other);
                   return guilty.kind == SuspectKind::PromptPart
                           && guilty.incarnations == suspect.incarnations;
               });
}

/// Updates \a changed, those with the most crashes first: they explain the crashes
/// of others. Parts with the same crashes cannot be told apart and are quarantined together.
std::vector<RequestDigest> updateAll(CrashQuarantine &quarantine,
                                     const std::vector<RequestDigest> &changed)
{
    std::vector<std::pair<std::size_t, RequestDigest>> order;
    for (const RequestDigest &digest : changed) {
        const CrashQuarantine::Suspect &suspect = quarantine.suspects.at(digest);
        order.emplace_back(evidenceOf(quarantine, digest, suspect), digest);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<RequestDigest> quarantined;
    for (const auto &[evidence, digest] : order) {
        CrashQuarantine::Suspect &suspect = quarantine.suspects.at(digest);
        if (hasSameCrashes(quarantine, suspect, quarantined))
            explainCrashes(quarantine, digest, suspect);
        if (update(quarantine, digest, suspect))
            quarantined.push_back(digest);
    }
    return quarantined;
}

/// Updates the requests in \a changed, some of whose suspicions were refuted.
void updateRefuted(CrashQuarantine &quarantine, const std::vector<RequestDigest> &changed)
{
    for (const RequestDigest &digest : changed) {
        CrashQuarantine::Suspect &suspect = quarantine.suspects.at(digest);
        if (suspect.incarnations.empty() && suspect.cleared.empty())
            forget(quarantine, digest);
        else
            update(quarantine, digest, suspect);
    }
}

/// Queues the news that \a incarnation was running at \a at, if it cut off a request of this host
/// between \a from and then: the other hosts suspect it.
void queueRefutation(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                     Instant from, Instant at)
{
    const auto check = quarantine.checks.find(incarnation);
    if (check == quarantine.checks.end() || check->second.isRefuted || check->second.lostAt < from
        || check->second.lostAt >= at)
        return;
    check->second.isRefuted = true;
    check->second.dueAt = never;
    Instant &running = quarantine.runningAt[incarnation];
    running = std::max(running, at);
    const CrashSuspicion refuted{ {}, incarnation, at, SuspectKind::Request, false, true };
    quarantine.pending.push_back({ refuted, Instant{}, sendsPerSuspicion });
}

/// Drops the suspicions of \a incarnation recorded at or after \a from and before \a until.
void refute(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation, Instant from,
            Instant until)
{
    queueRefutation(quarantine, incarnation, from, until);
    const auto suspected = quarantine.suspectedIncarnations.find(incarnation);
    if (suspected == quarantine.suspectedIncarnations.end())
        return;
    std::vector<RequestDigest> changed;
    for (auto &[digest, suspect] : quarantine.suspects) {
        const auto found = suspect.incarnations.find(incarnation);
        if (found == suspect.incarnations.end() || found->second < from || found->second >= until)
            continue;
        suspect.incarnations.erase(found);
        ++quarantine.suspicionsRefuted;
        changed.push_back(digest);
    }
    updateRefuted(quarantine, changed);
    if (suspected->second >= from && suspected->second < until)
        quarantine.suspectedIncarnations.erase(suspected);
}

} // namespace

UpstreamIncarnation incarnationOf(const Upstream &upstream)
{
    return { upstream.listed.id, startOf(upstream) };
}

namespace {

void recordCleared(CrashQuarantine::Suspect &suspect, const UpstreamIncarnation &incarnation,
                   Instant now)
{
    suspect.incarnations.erase(incarnation);
    suspect.cleared.insert(incarnation);
    suspect.clearedAt = std::max(suspect.clearedAt, now);
}

/// Records that another host knows \a incarnation to have been running at \a at.
void recordRunning(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation, Instant at)
{
    Instant &running = quarantine.runningAt[incarnation];
    running = std::max(running, at + maxMessageDelay);
    refute(quarantine, incarnation, at - minRestartTime, at + maxMessageDelay);
}

/// Whether the incarnation is known to have been running shortly after \a suspicion.
bool wasRunningAfter(const CrashQuarantine &quarantine, const CrashSuspicion &suspicion)
{
    const auto found = quarantine.runningAt.find(suspicion.incarnation);
    return found != quarantine.runningAt.end() && suspicion.at < found->second
            && suspicion.at >= found->second - minRestartTime;
}

/// Records \a suspicion. Returns whether it changes anything.
bool record(CrashQuarantine &quarantine, const CrashSuspicion &suspicion, Instant now)
{
    if (now >= suspicion.at + quarantineDuration)
        return false;
    if (suspicion.isRefuted) {
        recordRunning(quarantine, suspicion.incarnation, suspicion.at);
        return false;
    }
    if (!suspicion.isCleared && wasRunningAfter(quarantine, suspicion))
        return false;
    const auto [found, isNew] = quarantine.suspects.try_emplace(suspicion.digest);
    CrashQuarantine::Suspect &suspect = found->second;
    suspect.kind = suspicion.kind;
    if (isNew)
        suspect.wasAnswered = quarantine.answeredParts.contains(suspicion.digest);
    if (suspect.cleared.contains(suspicion.incarnation))
        return false;
    if (suspicion.isCleared) {
        recordCleared(suspect, suspicion.incarnation, now);
        return true;
    }
    if (!suspect.incarnations.emplace(suspicion.incarnation, suspicion.at).second)
        return false;
    ++quarantine.suspicionsRecorded;
    Instant &latest = quarantine.suspectedIncarnations[suspicion.incarnation];
    latest = std::max(latest, suspicion.at);
    return true;
}

} // namespace

std::vector<RequestDigest> recordSuspicions(CrashQuarantine &quarantine,
                                            const std::vector<CrashSuspicion> &suspicions,
                                            Instant now)
{
    std::vector<RequestDigest> changed;
    for (const CrashSuspicion &suspicion : suspicions) {
        if (record(quarantine, suspicion, now))
            changed.push_back(suspicion.digest);
    }
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    // A refutation that came with a suspicion has dropped it again.
    std::erase_if(changed, [&](const RequestDigest &digest) {
        return !quarantine.suspects.contains(digest);
    });
    std::vector<RequestDigest> quarantined = updateAll(quarantine, changed);
    enforceLimits(quarantine);
    std::erase_if(quarantined, [&](const RequestDigest &digest) {
        return !quarantine.suspects.contains(digest);
    });
    return quarantined;
}

void queueSuspicion(CrashQuarantine &quarantine, const CrashSuspicion &suspicion, Instant now)
{
    quarantine.pending.push_back({ suspicion, now, sendsPerSuspicion });
}

namespace {

bool isStillValid(const CrashQuarantine &quarantine, const CrashSuspicion &suspicion)
{
    if (suspicion.isRefuted)
        return true;
    const auto suspect = quarantine.suspects.find(suspicion.digest);
    if (suspect == quarantine.suspects.end())
        return false;
    return suspicion.isCleared ? suspect->second.cleared.contains(suspicion.incarnation)
                               : suspect->second.incarnations.contains(suspicion.incarnation);
}

} // namespace

std::vector<CrashSuspicion> takePending(CrashQuarantine &quarantine, Instant now)
{
    std::vector<CrashSuspicion> due;
    for (PendingSuspicion &pending : quarantine.pending) {
        if (now < pending.nextSendAt || due.size() >= maxSuspicionsPerMessage)
            continue;
        const bool isValid = isStillValid(quarantine, pending.suspicion);
        pending.sendsLeft = isValid ? pending.sendsLeft - 1 : 0;
        if (pending.sendsLeft > 0) {
            const std::size_t left = static_cast<std::size_t>(pending.sendsLeft);
            pending.nextSendAt = now + resendIntervals.at(resendIntervals.size() - left);
        }
        if (isValid)
            due.push_back(pending.suspicion);
    }
    std::erase_if(quarantine.pending,
                  [](const PendingSuspicion &pending) { return pending.sendsLeft <= 0; });
    return due;
}

bool isQuarantined(const CrashQuarantine &quarantine, const RequestDigest &digest)
{
    const auto found = quarantine.suspects.find(digest);
    return found != quarantine.suspects.end() && found->second.isQuarantined;
}

bool isSuspected(const CrashQuarantine &quarantine, const RequestDigest &digest)
{
    return quarantine.suspects.contains(digest);
}

Instant nextTrialAt(const CrashQuarantine &quarantine, const RequestDigest &part)
{
    const CrashQuarantine::Suspect &suspect = quarantine.suspects.at(part);
    const std::size_t more = suspect.incarnations.size()
            - std::min(suspect.incarnations.size(), quarantineThreshold);
    Span delay = firstTrialDelay;
    for (std::size_t doubled = 0; doubled < more && delay < quarantineDuration; ++doubled)
        delay = delay * 2;
    return latestSuspicionAt(suspect) + std::min(delay, quarantineDuration);
}

Span remainingQuarantine(const CrashQuarantine &quarantine, const RequestDigest &digest,
                         Instant now)
{
    const auto found = quarantine.suspects.find(digest);
    if (found == quarantine.suspects.end() || !found->second.isQuarantined)
        return Span{};
    if (found->second.kind == SuspectKind::PromptPart)
        return nextTrialAt(quarantine, digest) - now;
    return latestSuspicionAt(found->second) + quarantineDuration - now;
}

void recordReported(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                    Instant sentAt)
{
    refute(quarantine, incarnation, Instant{}, sentAt);
}

void recordAnswered(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                    Instant sentAt)
{
    refute(quarantine, incarnation, sentAt - minRestartTime, sentAt);
}

void recordStillAnswering(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation,
                          Instant sentAt, Instant now)
{
    refute(quarantine, incarnation, sentAt, now - commonCauseSpan);
}

void scheduleCheck(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation, Instant now)
{
    CrashCheck &check = quarantine.checks[incarnation];
    check.lostAt = now;
    check.isRefuted = false;
    if (check.dueAt == never)
        check.dueAt = std::max(now + checkDelay, check.sentAt + checkInterval);
}

std::vector<UpstreamIncarnation> takeDueChecks(CrashQuarantine &quarantine, Instant now)
{
    std::vector<UpstreamIncarnation> due;
    for (auto &[incarnation, check] : quarantine.checks) {
        if (now < check.dueAt)
            continue;
        check.dueAt = never;
        if (now >= check.lostAt + minRestartTime)
            continue;
        check.sentAt = now;
        check.isPending = true;
        due.push_back(incarnation);
    }
    return due;
}

void recordCheckEnded(CrashQuarantine &quarantine, const UpstreamId &upstream, bool isOpen)
{
    for (auto &[incarnation, check] : quarantine.checks) {
        const bool isMeant = incarnation.upstream == upstream
                && std::exchange(check.isPending, false);
        if (isMeant && isOpen)
            recordAnswered(quarantine, incarnation, check.sentAt);
    }
}

void clearSuspicions(CrashQuarantine &quarantine, const RequestDigest &digest)
{
    if (quarantine.suspects.contains(digest))
        forget(quarantine, digest);
}

std::vector<CrashSuspicion> recordPartAnswered(CrashQuarantine &quarantine,
                                               const RequestDigest &part, Instant now)
{
    quarantine.answeredParts.set(part, now + answeredPartLifetime);
    if (quarantine.answeredParts.size() > maxAnsweredParts)
        quarantine.answeredParts.takeDue(never);
    const auto found = quarantine.suspects.find(part);
    if (found == quarantine.suspects.end())
        return {};
    CrashQuarantine::Suspect &suspect = found->second;
    std::vector<CrashSuspicion> cleared;
    for (const auto &[incarnation, at] : suspect.incarnations)
        cleared.push_back({ part, incarnation, at, SuspectKind::PromptPart, true });
    for (const CrashSuspicion &suspicion : cleared)
        recordCleared(suspect, suspicion.incarnation, now);
    if (!cleared.empty())
        update(quarantine, part, suspect);
    return cleared;
}

std::size_t countQuarantined(const CrashQuarantine &quarantine, SuspectKind kind)
{
    return static_cast<std::size_t>(std::count_if(
            quarantine.suspects.begin(), quarantine.suspects.end(), [kind](const auto &entry) {
                return entry.second.isQuarantined && entry.second.kind == kind;
            }));
}

void removeExpiredSuspicions(CrashQuarantine &quarantine, Instant now)
{
    while (const std::optional<RequestDigest> digest = quarantine.suspectedUntil.takeDue(now))
        forget(quarantine, *digest);
    while (const std::optional<RequestDigest> digest = quarantine.quarantinedUntil.takeDue(now))
        forget(quarantine, *digest);
    while (quarantine.answeredParts.takeDue(now)) {}
    std::erase_if(quarantine.checks,
                  [now](const auto &entry) { return now >= entry.second.lostAt + checkLifetime; });
    std::erase_if(quarantine.runningAt,
                  [now](const auto &entry) { return now >= entry.second + suspicionLifetime; });
    if (quarantine.suspects.empty())
        quarantine.suspectedIncarnations.clear();
}

std::vector<CrashSuspicion> severeSuspicions(const CrashQuarantine &quarantine)
{
    std::vector<CrashSuspicion> severe;
    for (const auto &[digest, suspect] : quarantine.suspects) {
        const bool isSevere = suspect.incarnations.size() + 1 >= quarantineThreshold;
        if (!isSevere || severe.size() >= maxSuspicionsForNewHost)
            continue;
        for (const auto &[incarnation, at] : suspect.incarnations)
            severe.push_back({ digest, incarnation, at, suspect.kind });
    }
    return severe;
}

} // namespace azurewell::gateway
