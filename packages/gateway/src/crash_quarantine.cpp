#include "azurewell/gateway/crash_quarantine.h"

#include <algorithm>

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

/// Interval between repeated sends of a suspicion, in case a message was lost.
constexpr Span resendInterval = std::chrono::milliseconds(400);
constexpr int sendsPerSuspicion = 3;

/// Suspicions sent to a newly joined host.
constexpr std::size_t maxSuspicionsForNewHost = 200;

bool isSevere(const CrashQuarantine::Suspect &suspect)
{
    return suspect.incarnations.size() + 1 >= quarantineThreshold;
}

Instant latestSuspicionAt(const CrashQuarantine::Suspect &suspect)
{
    Instant latest;
    for (const auto &[incarnation, at] : suspect.incarnations)
        latest = std::max(latest, at);
    return latest;
}

void forget(CrashQuarantine &quarantine, const RequestDigest &digest)
{
    quarantine.suspects.erase(digest);
    quarantine.suspectedUntil.erase(digest);
    quarantine.quarantinedUntil.erase(digest);
}

/// Sets the expiry of \a suspect from its current suspicions.
void setExpiry(CrashQuarantine &quarantine, const RequestDigest &digest,
               const CrashQuarantine::Suspect &suspect)
{
    const Instant latest = latestSuspicionAt(suspect);
    quarantine.suspectedUntil.erase(digest);
    quarantine.quarantinedUntil.erase(digest);
    if (suspect.incarnations.size() >= quarantineThreshold)
        quarantine.quarantinedUntil.set(digest, latest + quarantineDuration);
    else
        quarantine.suspectedUntil.set(digest, latest + suspicionLifetime);
}

/// Enforces the size limits. Suspects are evicted for other suspects, a quarantined request only
/// for another quarantined one.
void enforceLimits(CrashQuarantine &quarantine)
{
    while (quarantine.suspectedUntil.size() > maxSuspects)
        quarantine.suspects.erase(*quarantine.suspectedUntil.takeDue(never));
    while (quarantine.quarantinedUntil.size() > maxQuarantined)
        quarantine.suspects.erase(*quarantine.quarantinedUntil.takeDue(never));
}

/// Updates the requests in \a changed, some of whose suspicions were refuted.
void updateRefuted(CrashQuarantine &quarantine, const std::vector<RequestDigest> &changed)
{
    for (const RequestDigest &digest : changed) {
        const CrashQuarantine::Suspect &suspect = quarantine.suspects.at(digest);
        if (suspect.incarnations.empty())
            forget(quarantine, digest);
        else
            setExpiry(quarantine, digest, suspect);
    }
}

/// Drops the suspicions of \a incarnation recorded at or after \a from and before \a until.
void refute(CrashQuarantine &quarantine, const UpstreamIncarnation &incarnation, Instant from,
            Instant until)
{
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

bool recordSuspicion(CrashQuarantine &quarantine, const CrashSuspicion &suspicion, Instant now)
{
    if (now >= suspicion.at + quarantineDuration)
        return false;
    CrashQuarantine::Suspect &suspect = quarantine.suspects[suspicion.digest];
    const auto [known, isNew] = suspect.incarnations.emplace(suspicion.incarnation, suspicion.at);
    if (!isNew)
        return false;
    ++quarantine.suspicionsRecorded;
    Instant &latest = quarantine.suspectedIncarnations[suspicion.incarnation];
    latest = std::max(latest, suspicion.at);
    const bool isQuarantinedNow = suspect.incarnations.size() == quarantineThreshold;
    setExpiry(quarantine, suspicion.digest, suspect);
    enforceLimits(quarantine);
    return isQuarantinedNow;
}

void queueSuspicion(CrashQuarantine &quarantine, const CrashSuspicion &suspicion, Instant now)
{
    quarantine.pending.push_back({ suspicion, now, sendsPerSuspicion });
}

std::vector<CrashSuspicion> takePending(CrashQuarantine &quarantine, Instant now)
{
    std::vector<CrashSuspicion> due;
    for (PendingSuspicion &pending : quarantine.pending) {
        if (now < pending.nextSendAt)
            continue;
        const auto suspect = quarantine.suspects.find(pending.suspicion.digest);
        const bool isStillSuspected = suspect != quarantine.suspects.end()
                && suspect->second.incarnations.contains(pending.suspicion.incarnation);
        pending.sendsLeft = isStillSuspected ? pending.sendsLeft - 1 : 0;
        pending.nextSendAt = now + resendInterval;
        if (isStillSuspected)
            due.push_back(pending.suspicion);
    }
    std::erase_if(quarantine.pending,
                  [](const PendingSuspicion &pending) { return pending.sendsLeft <= 0; });
    return due;
}

bool isQuarantined(const CrashQuarantine &quarantine, const RequestDigest &digest)
{
    const auto found = quarantine.suspects.find(digest);
    return found != quarantine.suspects.end()
            && found->second.incarnations.size() >= quarantineThreshold;
}

bool isSuspected(const CrashQuarantine &quarantine, const RequestDigest &digest)
{
    return quarantine.suspects.contains(digest);
}

Span remainingQuarantine(const CrashQuarantine &quarantine, const RequestDigest &digest,
                         Instant now)
{
    const auto found = quarantine.suspects.find(digest);
    if (found == quarantine.suspects.end()
        || found->second.incarnations.size() < quarantineThreshold)
        return Span{};
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

void clearSuspicions(CrashQuarantine &quarantine, const RequestDigest &digest)
{
    if (quarantine.suspects.contains(digest))
        forget(quarantine, digest);
}

void removeExpiredSuspicions(CrashQuarantine &quarantine, Instant now)
{
    while (const std::optional<RequestDigest> digest = quarantine.suspectedUntil.takeDue(now))
        quarantine.suspects.erase(*digest);
    while (const std::optional<RequestDigest> digest = quarantine.quarantinedUntil.takeDue(now))
        quarantine.suspects.erase(*digest);
    if (quarantine.suspects.empty())
        quarantine.suspectedIncarnations.clear();
}

std::vector<CrashSuspicion> severeSuspicions(const CrashQuarantine &quarantine)
{
    std::vector<CrashSuspicion> severe;
    for (const auto &[digest, suspect] : quarantine.suspects) {
        if (!isSevere(suspect) || severe.size() >= maxSuspicionsForNewHost)
            continue;
        for (const auto &[incarnation, at] : suspect.incarnations)
            severe.push_back({ digest, incarnation, at });
    }
    return severe;
}

} // namespace azurewell::gateway
