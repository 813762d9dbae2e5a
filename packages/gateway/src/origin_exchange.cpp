#include "azurewell/routing/rendezvous.h"
#include "internal.h"
#include "known_versions.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Hosts that keep a record of a stream, in different zones as far as there are as many.
constexpr std::size_t holdersPerStream = 3;

/// Hosts of each zone that are asked besides those that should have a record, since hosts differ
/// for a moment in which others they know.
constexpr std::size_t spareHolders = 1;

/// A question is answered within milliseconds; one that is lost, or comes before the record, is
/// repeated, to one more host of each zone each time.
constexpr Span questionInterval = std::chrono::milliseconds(40);

/// Share of a route's objective for which a resumption waits for the answer, and the time on routes
/// that state none. The rest of the objective is needed for the first event.
constexpr int waitPercentOfObjective = 25;
constexpr Span defaultOriginWait = std::chrono::milliseconds(250);

/// Retry-after time if it may be known soon who began a stream: a host that is out of touch reaches
/// the others again, or a host that stands still goes on, after two heartbeats.
constexpr Span unknownRetryAfter = std::chrono::milliseconds(600);

/// Retry-after time if no server of a version can be used: one that is still listed may be back.
constexpr Span goneRetryAfter = std::chrono::seconds(1);

/// Records in one message, of up to 300 bytes each.
constexpr std::size_t maxOriginsInMessage = 150;

bool isResumableStream(const RequestRecord &record)
{
    return record.repeat == RepeatPolicy::Stream && record.isResumable;
}

StreamKey keyOf(const RequestRecord &record)
{
    const std::optional<StreamResumption> &resumption = record.arrivedRequest.resumption;
    return { record.customer,
             resumption ? resumption->begunBy : AttemptId{ record.arrivedRequest.callerId } };
}

/// The hosts with a record of the stream \a key: the first of each of some zones by their weights,
/// which are equal at all hosts. \a spare more of each zone follow.
std::vector<HostId> holdersOf(const GatewayState &state, const StreamKey &key, std::size_t spare,
                              bool areLeavingIncluded, Instant now)
{
    const std::uint64_t hash = rendezvousMix(stableHash(key.customer.value),
                                             stableHash(key.begunBy.value));
    using Ranked = std::vector<std::pair<std::uint64_t, HostId>>;
    std::map<ZoneId, Ranked> byZone;
    byZone[state.self.zone].emplace_back(rendezvousMix(hash, stableHash(state.self.id.value)),
                                         state.self.id);
    for (const auto &[id, member] : state.members.others) {
        if (isMemberReachable(state.members, member, now)
            && (areLeavingIncluded || !member.isLeaving))
            byZone[member.zone].emplace_back(rendezvousMix(hash, member.idHash), id);
    }
    std::vector<std::pair<std::uint64_t, ZoneId>> zones;
    zones.reserve(byZone.size());
    for (const auto &[zone, hosts] : byZone)
        zones.emplace_back(rendezvousMix(hash, stableHash(zone.value)), zone);
    std::sort(zones.rbegin(), zones.rend());
    zones.resize(std::min(zones.size(), holdersPerStream));
    const std::size_t perZone = (holdersPerStream + zones.size() - 1) / zones.size() + spare;
    std::vector<HostId> holders;
    for (const auto &[weight, zone] : zones) {
        Ranked &hosts = byZone.at(zone);
        std::sort(hosts.rbegin(), hosts.rend());
        for (std::size_t rank = 0; rank < std::min(perZone, hosts.size()); ++rank)
            holders.push_back(hosts[rank].second);
    }
    std::erase(holders, state.self.id);
    return holders;
}

void ask(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    OriginSearch &search = record.originSearch;
    const StreamKey key = keyOf(record);
    Gossip message = messageHeader(state, now);
    message.originQuestions.push_back({ key, record.service, record.arrivedRequest.request.value });
    const auto shared = std::make_shared<const Gossip>(std::move(message));
    for (const HostId &host : holdersOf(state, key, spareHolders + search.rounds, true, now)) {
        const Member &member = state.members.others.at(host);
        send(state, member.address, member.zone, MessageKind::OriginQuestion, shared, actions);
        ++state.counters.origins.questions;
    }
    ++search.rounds;
    search.nextQuestionAt = now + questionInterval;
}

/// Refuses a resumption of which no host that was reached knows who began the stream. If all were,
/// none will know later: the caller is told not to come back with the same stream in its time.
void refuseUnknown(GatewayState &state, RequestRecord &record, std::string_view reason, Instant now,
                   Actions &actions)
{
    ++state.counters.origins.unknown;
    actions.logEvents.push_back(
            { "stream_origin_unknown",
              { { "request", record.arrivedRequest.callerId },
                { "begun_by", keyOf(record).begunBy.value },
                { "service", record.service.value },
                { "reason", std::string(reason) },
                { "rounds", std::to_string(record.originSearch.rounds) },
                { "after_ms", std::to_string(inMilliseconds(now - record.arrivedAt)) } } });
    const Span retryAfter = isAnyHostMissing(state, now)
            ? unknownRetryAfter
            : std::max(record.deadline - now, unknownRetryAfter);
    refuseAndForget(state, record, ResultCode::StreamOriginUnknown, retryAfter, actions);
}

/// Lets the request go on at the version of \a origin only. False if it was refused.
bool takeOrigin(GatewayState &state, RequestRecord &record, const StreamOrigin &origin,
                std::string_view source, Instant now, Actions &actions)
{
    if (origin.isAmbiguous) {
        refuseUnknown(state, record, "ambiguous", now, actions);
        return false;
    }
    const RequestArrived &arrived = record.arrivedRequest;
    const Route *route = findRoute(state.configuration, arrived.host, arrived.path);
    const bool isRouted = route
            && std::any_of(route->services.begin(), route->services.end(),
                           [&](const WeightedService &to) { return to.service == origin.service; });
    if (isRouted)
        record.service = origin.service;
    record.originSearch.step = OriginStep::Known;
    record.originSearch.version = origin.version;
    record.originSearch.isOtherService = record.service != origin.service;
    actions.logEvents.push_back(
            { "stream_origin_known",
              { { "request", arrived.callerId },
                { "begun_by", keyOf(record).begunBy.value },
                { "service", origin.service.value },
                { "version", origin.version.value },
                { "source", std::string(source) },
                { "after_ms", std::to_string(inMilliseconds(now - record.arrivedAt)) } } });
    return true;
}

/// Whether a server of the version that began the stream of \a record is left. Of a lone version,
/// placing the request decides that.
bool isVersionLeft(const GatewayState &state, const RequestRecord &record, Instant now)
{
    const OriginSearch &search = record.originSearch;
    if (search.isLoneVersion)
        return true;
    return !search.isOtherService
            && std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto &entry) {
                   const Upstream &upstream = entry.second;
                   return upstream.listed.service == record.service && isVersionKnown(upstream)
                           && upstream.listed.softwareVersion == search.version
                           && isUsable(upstream, now);
               });
}

/// Refuses a resumption whose version has no server left. If none is listed, none will come: the
/// caller is told not to come back with the same stream in its time.
void refuseGone(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const SoftwareVersion &version = record.originSearch.version;
    ++state.counters.origins.versionsGone;
    actions.logEvents.push_back({ "stream_version_gone",
                                  { { "request", record.arrivedRequest.callerId },
                                    { "service", record.service.value },
                                    { "version", version.value } } });
    const bool isListed = std::any_of(
            state.upstreams.begin(), state.upstreams.end(), [&](const auto &entry) {
                const ListedUpstream &listed = entry.second.listed;
                return listed.service == record.service && listed.softwareVersion == version
                        && !listed.isLeaving;
            });
    const Span retryAfter = isListed ? goneRetryAfter
                                     : std::max(record.deadline - now, goneRetryAfter);
    refuseAndForget(state, record, ResultCode::StreamVersionGone, retryAfter, actions);
}

Span originWait(const GatewayState &state, const RequestRecord &record)
{
    const Route *route = findRoute(state.configuration, record.arrivedRequest.host,
                                   record.arrivedRequest.path);
    const bool hasObjective = route && route->objective > Span{};
    return hasObjective ? route->objective * waitPercentOfObjective / 100 : defaultOriginWait;
}

/// Whether the new stream of \a record waits until other hosts know of the only version that is
/// usable.
bool awaitsVersion(const GatewayState &state, const RequestRecord &record, Instant now)
{
    return isOnlyHeldUsable(state, record.service, now)
            && now < std::min(record.arrivedAt + originWait(state, record), record.deadline);
}

/// Begins to find out who began the stream of \a record. False if it was refused.
bool beginSearch(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    OriginSearch &search = record.originSearch;
    const std::optional<ForwardedRequest> &forwarded = record.arrivedRequest.forwarded;
    if (forwarded && forwarded->begunBy)
        return takeOrigin(state, record, { record.service, *forwarded->begunBy, {}, false },
                          "forwarded", now, actions);
    if (const SoftwareVersion *version = onlyVersion(state, record.service, now)) {
        search.step = OriginStep::Known;
        search.version = *version;
        search.isLoneVersion = true;
        return true;
    }
    const StreamKey key = keyOf(record);
    // Without the attempt no record can be found, but another host may know of one version only.
    if (key.begunBy.value.empty() && isServiceMixed(state, record.service, now)) {
        refuseUnknown(state, record, "not_stated", now, actions);
        return false;
    }
    if (const StreamOrigin *origin = findOrigin(state.origins, key, now)) {
        ++state.counters.origins.ownAnswers;
        return takeOrigin(state, record, *origin, "own", now, actions);
    }
    search.step = OriginStep::Asking;
    search.givesUpAt = std::min(now + originWait(state, record), record.deadline);
    return true;
}

/// The request of \a record is waiting for the answer; it asks again, or gives up.
void continueSearch(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const OriginSearch &search = record.originSearch;
    if (now >= search.givesUpAt) {
        refuseUnknown(state, record, "no_answer", now, actions);
        return;
    }
    if (now >= search.nextQuestionAt)
        ask(state, record, now, actions);
    markWaiting(state, record);
}

void recordStream(GatewayState &state, const RequestRecord &record, Instant now)
{
    if (!areEntriesFresh(state, now))
        return;
    const StreamKey key = keyOf(record);
    recordOrigin(
            state.origins, key,
            { record.service, record.sentVersion, record.deadline + triesAfterDeadline, false });
    if (!state.origins.records.contains(key))
        return;
    ++state.counters.origins.recorded;
    state.origins.unsent.insert(key);
}

/// Sends the records of streams that this host began, and that others may have to know, to their
/// holders. While a service is known to have one version only, they stay here until a second one
/// appears.
void sendOrigins(GatewayState &state, bool isTouchLost, Instant now, Actions &actions)
{
    std::map<HostId, std::vector<StreamOriginUpdate>> toSend;
    if (state.origins.unsent.empty())
        return;
    const std::set<ServiceId> unsure = servicesWithoutLoneVersion(state, now);
    if (unsure.empty() && !isTouchLost)
        return;
    std::erase_if(state.origins.unsent, [&](const StreamKey &key) {
        const StreamOrigin &origin = state.origins.records.at(key);
        if (!isTouchLost && !unsure.contains(origin.service))
            return false;
        for (const HostId &holder : holdersOf(state, key, 0, false, now))
            toSend[holder].push_back({ key, origin });
        return true;
    });
    for (auto &[holder, updates] : toSend) {
        state.counters.origins.sent += updates.size();
        for (std::size_t first = 0; first < updates.size(); first += maxOriginsInMessage) {
            const std::size_t end = std::min(first + maxOriginsInMessage, updates.size());
            Gossip message = messageHeader(state, now);
            message.origins.assign(updates.begin() + static_cast<std::ptrdiff_t>(first),
                                   updates.begin() + static_cast<std::ptrdiff_t>(end));
            sendTo(state, holder, MessageKind::StreamOrigins, std::move(message), actions);
        }
    }
}

void answerQuestion(GatewayState &state, const Gossip &from, const OriginQuestion &question,
                    Instant now, Actions &actions)
{
    OriginAnswer answer;
    answer.request = question.request;
    answer.update.key = question.key;
    if (const StreamOrigin *origin = findOrigin(state.origins, question.key, now)) {
        answer.update.origin = *origin;
    } else if (const SoftwareVersion *version = onlyVersion(state, question.service, now)) {
        answer.update.origin = { question.service, *version, now, false };
        answer.isLoneVersion = true;
    } else {
        return;
    }
    ++state.counters.origins.answersGiven;
    Gossip reply = messageHeader(state, now);
    reply.originAnswers.push_back(std::move(answer));
    send(state, from.address, from.zone, MessageKind::OriginAnswer, std::move(reply), actions);
}

void takeOriginAnswer(GatewayState &state, const OriginAnswer &answer, Instant now,
                      Actions &actions)
{
    const auto found = state.requests.find(RequestNumber{ answer.request });
    if (found == state.requests.end() || found->second.originSearch.step != OriginStep::Asking
        || keyOf(found->second) != answer.update.key)
        return;
    RequestRecord &record = found->second;
    // Another host may not know yet that versions are mixed.
    if (answer.isLoneVersion && isServiceMixed(state, record.service, now))
        return;
    ++state.counters.origins.answersTaken;
    if (takeOrigin(state, record, answer.update.origin, answer.isLoneVersion ? "lone" : "record",
                   now, actions))
        place(state, record, now, actions);
}

} // namespace

bool findOutOrigin(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    if (!isResumableStream(record))
        return true;
    if (!record.arrivedRequest.resumption) {
        if (!awaitsVersion(state, record, now))
            return true;
        markWaiting(state, record);
        return false;
    }
    if (!areEntriesFresh(state, now)) {
        refuseUnknown(state, record, "out_of_touch", now, actions);
        return false;
    }
    const OriginSearch &search = record.originSearch;
    if (search.step == OriginStep::NotBegun && !beginSearch(state, record, now, actions))
        return false;
    if (search.step == OriginStep::Asking) {
        continueSearch(state, record, now, actions);
        return false;
    }
    if (isVersionLeft(state, record, now))
        return true;
    refuseGone(state, record, now, actions);
    return false;
}

void addVersionNeed(const GatewayState &state, const RequestRecord &record, UpstreamNeed &need)
{
    if (!isResumableStream(record))
        return;
    if (record.originSearch.step == OriginStep::Known) {
        need.softwareVersion = record.originSearch.version;
        return;
    }
    const auto held = state.heldVersions.find(record.service);
    if (held != state.heldVersions.end())
        need.heldVersions = held->second;
}

bool acceptFirstEvent(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const auto upstream = state.upstreams.find(record.upstream);
    if (!isResumableStream(record) || record.phase != RequestPhase::AtUpstream
        || upstream == state.upstreams.end())
        return true;
    const bool isKnown = isVersionKnown(upstream->second);
    // A stream that begins at an unknown version is served, but nobody can go on with it.
    if (!isKnown && record.originSearch.step != OriginStep::Known)
        return true;
    if (isKnown && upstream->second.listed.softwareVersion == record.sentVersion) {
        recordStream(state, record, now);
        return true;
    }
    ++state.counters.origins.changedVersions;
    actions.logEvents.push_back({ "stream_version_changed",
                                  { { "request", record.arrivedRequest.callerId },
                                    { "upstream", record.upstream.value },
                                    { "sent_to", record.sentVersion.value },
                                    { "now", upstream->second.listed.softwareVersion.value } } });
    actions.cancels.push_back({ record.arrivedRequest.request });
    ++record.possibleRuns;
    record.excluded.insert(record.upstream);
    detachFromUpstream(state, record);
    const bool mayRepeat = mayRunAgain(record, record.possibleRuns) && now < record.deadline
            && takeRetry(retryBudgetOf(state, record.service));
    if (!mayRepeat) {
        refuseAndForget(state, record, ResultCode::StreamVersionGone, goneRetryAfter, actions);
        return false;
    }
    ++state.counters.retries[ResultCode::StreamVersionGone];
    place(state, record, now, actions);
    return false;
}

void handleOrigins(GatewayState &state, const Gossip &message, Instant now, Actions &actions)
{
    takeMixedServices(state, message.from, message.mixedServices, now);
    for (const StreamOriginUpdate &update : message.origins)
        recordOrigin(state.origins, update.key, update.origin);
    for (const OriginQuestion &question : message.originQuestions)
        answerQuestion(state, message, question, now, actions);
    for (const OriginAnswer &answer : message.originAnswers)
        takeOriginAnswer(state, answer, now, actions);
}

void runOrigins(GatewayState &state, Instant now, Actions &actions)
{
    dropExpiredOrigins(state.origins, now);
    checkVersionsIfDue(state, now);
    sendOrigins(state, state.knownWhenLost > 0, now, actions);
}

} // namespace azurewell::gateway
