#include "internal.h"

#include "azurewell/gateway/crash_quarantine.h"
#include "azurewell/gateway/request_digest.h"
#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <iterator>

namespace azurewell::gateway {

namespace {

/// Minimum Retry-After, in which another copy of the request is likely to end at its upstream.
constexpr Span minRetryAfter = std::chrono::seconds(1);

/// A part of a prompt crashes its upstream when the answer begins; what runs this long has passed.
constexpr Span beginningOfAnswer = std::chrono::milliseconds(100);

bool hasPart(const RequestRecord &record, const RequestDigest &part)
{
    return std::find(record.partDigests.begin(), record.partDigests.end(), part)
            != record.partDigests.end();
}

/// Refuses all requests that are \a suspect or have it in their prompts, other than \a except, and
/// whose answer has not begun. Those at an upstream are cancelled there.
void refuseAll(GatewayState &state, const RequestDigest &suspect, RequestNumber except, Instant now,
               Actions &actions)
{
    std::vector<RequestNumber> found;
    for (const auto &[number, record] : state.requests) {
        const bool isMeant = record.digest == suspect || hasPart(record, suspect);
        if (isMeant && number != except && !record.hasAnswerStarted)
            found.push_back(number);
    }
    for (const RequestNumber number : found) {
        RequestRecord &record = state.requests.at(number);
        if (record.phase != RequestPhase::Waiting) {
            actions.cancels.push_back({ number });
            ++record.possibleRuns;
        }
        refuseQuarantined(state, record, now, actions);
    }
}

/// The upstreams that crashed, separated by commas.
std::string crashedUpstreams(const CrashQuarantine::Suspect &suspect)
{
    std::string text;
    for (const auto &[incarnation, at] : suspect.incarnations)
        text += (text.empty() ? "" : ",") + incarnation.upstream.value;
    return text;
}

void logQuarantine(const GatewayState &state, const RequestDigest &digest, Actions &actions)
{
    const CrashQuarantine::Suspect &suspect = state.quarantine.suspects.at(digest);
    const bool isPart = suspect.kind == SuspectKind::PromptPart;
    actions.logEvents.push_back(
            { isPart ? "prompt_part_quarantined" : "request_quarantined",
              { { "digest", inHex(digest) }, { "crashed", crashedUpstreams(suspect) } } });
}

void applySuspicions(GatewayState &state, const std::vector<CrashSuspicion> &suspicions,
                     RequestNumber except, Instant now, Actions &actions)
{
    for (const RequestDigest &digest : recordSuspicions(state.quarantine, suspicions, now)) {
        logQuarantine(state, digest, actions);
        refuseAll(state, digest, except, now, actions);
    }
}

/// Whether no other host that is alive is to try the next request with \a part.
bool ownsTrial(const GatewayState &state, const RequestDigest &part, Instant now)
{
    const std::uint64_t own = rendezvousMix(part.value, stableHash(state.self.id.value));
    return std::none_of(
            state.members.others.begin(), state.members.others.end(), [&](const auto &entry) {
                const std::uint64_t rank = rendezvousMix(part.value, stableHash(entry.first.value));
                return rank > own && isAlive(state.members, entry.first, now);
            });
}

/// Whether a request with the quarantined \a part may be sent to learn whether it still crashes
/// upstreams.
bool isTrial(const GatewayState &state, const RequestDigest &part, const RequestRecord &record,
             Instant now)
{
    if (now < nextTrialAt(state.quarantine, part) || !ownsTrial(state, part, now))
        return false;
    return std::none_of(state.requests.begin(), state.requests.end(), [&](const auto &entry) {
        const RequestRecord &other = entry.second;
        return other.phase != RequestPhase::Waiting && hasPart(other, part)
                && other.arrivedRequest.request != record.arrivedRequest.request;
    });
}

/// The part of its prompt that keeps \a record from being sent, if any.
const RequestDigest *blockingPart(const GatewayState &state, const RequestRecord &record,
                                  Instant now)
{
    const auto found = std::find_if(
            record.partDigests.begin(), record.partDigests.end(), [&](const RequestDigest &part) {
                return isQuarantined(state.quarantine, part) && !isTrial(state, part, record, now);
            });
    return found == record.partDigests.end() ? nullptr : &*found;
}

/// Whether this host knows that the upstream was still running after \a suspicion.
bool isRefuted(const GatewayState &state, const CrashSuspicion &suspicion)
{
    const auto found = state.upstreams.find(suspicion.incarnation.upstream);
    return found != state.upstreams.end()
            && found->second.reportedStart == suspicion.incarnation.start
            && found->second.reportedAt > suspicion.at;
}

} // namespace

void recordConnectionLost(GatewayState &state, const RequestRecord &record, Instant now,
                          Actions &actions)
{
    const auto found = state.upstreams.find(record.upstream);
    // An upstream that is being removed is expected to close its connections.
    if (found == state.upstreams.end() || found->second.usableUntil != never
        || found->second.terminatedAt != never || isStatedLeaving(found->second))
        return;
    const UpstreamIncarnation incarnation = incarnationOf(found->second);
    std::vector<CrashSuspicion> suspicions{ { record.digest, incarnation, now } };
    if (!record.hasAnswerStarted || now < record.answerStartedAt + beginningOfAnswer) {
        for (const RequestDigest &part : record.partDigests)
            suspicions.push_back({ part, incarnation, now, SuspectKind::PromptPart });
    }
    applySuspicions(state, suspicions, record.arrivedRequest.request, now, actions);
    for (const CrashSuspicion &suspicion : suspicions)
        queueSuspicion(state.quarantine, suspicion, now);
    scheduleCheck(state.quarantine, incarnation, now);
}

void recordAnswered(GatewayState &state, const RequestRecord &record, bool isShown, Instant now)
{
    const auto found = state.upstreams.find(record.upstream);
    if (found == state.upstreams.end())
        return;
    const UpstreamIncarnation incarnation = incarnationOf(found->second);
    recordAnswered(state.quarantine, incarnation, record.sentAt);
    if (isShown)
        recordStillAnswering(state.quarantine, incarnation, record.sentAt, now);
}

void checkCrashes(GatewayState &state, Instant now, Actions &actions)
{
    for (const UpstreamIncarnation &incarnation : takeDueChecks(state.quarantine, now)) {
        const auto found = state.upstreams.find(incarnation.upstream);
        if (found == state.upstreams.end() || incarnationOf(found->second) != incarnation)
            continue;
        ++state.counters.crashChecks;
        actions.probes.push_back({ found->second.listed.service, crashCheckRound,
                                   incarnation.upstream, found->second.listed.address });
    }
}

void recordCrashCheck(GatewayState &state, const ProbeEnded &event, Actions &actions)
{
    actions.logEvents.push_back({ "crash_checked",
                                  { { "upstream", event.upstream.value },
                                    { "running", event.isOpen ? "true" : "unknown" } } });
    recordCheckEnded(state.quarantine, event.upstream, event.isOpen);
}

void clearSuspicionsOf(GatewayState &state, const RequestRecord &record, Instant now,
                       Actions &actions)
{
    clearSuspicions(state.quarantine, record.digest);
    for (const RequestDigest &part : record.partDigests) {
        const bool wasQuarantined = isQuarantined(state.quarantine, part);
        for (const CrashSuspicion &cleared : recordPartAnswered(state.quarantine, part, now))
            queueSuspicion(state.quarantine, cleared, now);
        if (wasQuarantined)
            actions.logEvents.push_back({ "prompt_part_cleared", { { "digest", inHex(part) } } });
    }
}

void handleSuspicions(GatewayState &state, const std::vector<CrashSuspicion> &suspicions,
                      Instant now, Actions &actions)
{
    std::vector<CrashSuspicion> credible;
    std::copy_if(suspicions.begin(), suspicions.end(), std::back_inserter(credible),
                 [&](const CrashSuspicion &suspicion) {
                     return suspicion.isCleared || suspicion.isRefuted
                             || !isRefuted(state, suspicion);
                 });
    if (!credible.empty())
        applySuspicions(state, credible, {}, now, actions);
}

void recordStart(GatewayState &state, Upstream &upstream, std::int64_t start, Instant sentAt)
{
    if (start < upstream.reportedStart
        || (start == upstream.reportedStart && sentAt <= upstream.reportedAt))
        return;
    const std::int64_t known = std::max(upstream.reportedStart, upstream.listed.engine.start);
    if (known != 0 && start > known)
        markColdFromNow(state, upstream, sentAt);
    upstream.reportedStart = start;
    upstream.reportedAt = sentAt;
    recordReported(state.quarantine, { upstream.listed.id, start }, sentAt);
}

bool isQuarantined(const GatewayState &state, const RequestRecord &record)
{
    return isQuarantined(state.quarantine, record.digest)
            || std::any_of(record.partDigests.begin(), record.partDigests.end(),
                           [&](const RequestDigest &part) {
                               return isQuarantined(state.quarantine, part);
                           });
}

bool isDispatchBlocked(const GatewayState &state, const RequestRecord &record, Instant now)
{
    if (state.quarantine.suspects.empty())
        return false;
    if (blockingPart(state, record, now))
        return true;
    if (!isSuspected(state.quarantine, record.digest))
        return false;
    if (isQuarantined(state.quarantine, record.digest))
        return true;
    return std::any_of(state.requests.begin(), state.requests.end(), [&](const auto &entry) {
        const RequestRecord &other = entry.second;
        return other.digest == record.digest && other.phase != RequestPhase::Waiting
                && other.arrivedRequest.request != record.arrivedRequest.request;
    });
}

void refuseQuarantined(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const RequestDigest *part = blockingPart(state, record, now);
    if (part) {
        actions.logEvents.push_back({ "refused_for_prompt_part",
                                      { { "request", record.arrivedRequest.callerId },
                                        { "digest", inHex(record.digest) },
                                        { "part", inHex(*part) } } });
    }
    const Span left = remainingQuarantine(state.quarantine, part ? *part : record.digest, now);
    refuseAndForget(state, record, ResultCode::RequestQuarantined, std::max(left, minRetryAfter),
                    actions);
}

void sendSuspicions(GatewayState &state, Instant now, Actions &actions)
{
    if (state.quarantine.pending.empty())
        return;
    std::vector<CrashSuspicion> due = takePending(state.quarantine, now);
    if (due.empty())
        return;
    RelayedUpdate update;
    update.crashes = std::move(due);
    sendToAll(state, MessageKind::CrashSuspicions, std::move(update), now, actions);
}

} // namespace azurewell::gateway
