#include "azurewell/gateway/gossip_codec.h"

#include "published_codec.h"
#include "thrift_codec.h"

#include <gossip_types.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace azurewell::gateway {

namespace {

namespace wire = azurewell::wire::gossip;

constexpr Span millisecond = std::chrono::milliseconds(1);

std::int32_t inMillis(Span span)
{
    return static_cast<std::int32_t>(span / millisecond);
}

/// Converts an age from the wire. Negative ages, which would lie in the future, become 0.
Span ageOf(std::int64_t micros)
{
    return Span{ std::max<std::int64_t>(micros, 0) };
}

PlatformView platformView(std::int32_t number)
{
    const bool isKnown = number >= 0 && number <= static_cast<std::int32_t>(PlatformView::Failing);
    return isKnown ? static_cast<PlatformView>(number) : PlatformView::NotRead;
}

RelayScope relayScope(std::int32_t number)
{
    const bool isKnown = number >= 0 && number <= static_cast<std::int32_t>(RelayScope::Fleet);
    return isKnown ? static_cast<RelayScope>(number) : RelayScope::None;
}

/// Returns the model of adapters that are encoded without a model name. Nearly all engines serve
/// one model, whose name would make up half of the encoded adapter list.
std::string defaultModel(const std::vector<std::string> &models)
{
    return models.empty() ? std::string() : models.front();
}

std::vector<wire::LoadedAdapter> toWire(const std::vector<LoadedAdapter> &adapters,
                                        const std::string &defaultName)
{
    std::vector<wire::LoadedAdapter> out;
    for (const LoadedAdapter &adapter : adapters) {
        wire::LoadedAdapter &to = out.emplace_back();
        to.model = adapter.name.model == defaultName ? std::string() : adapter.name.model;
        to.adapter = adapter.name.adapter;
        to.version = static_cast<std::int64_t>(adapter.version);
    }
    return out;
}

std::vector<LoadedAdapter> fromWire(const std::vector<wire::LoadedAdapter> &adapters,
                                    const std::string &defaultName)
{
    std::vector<LoadedAdapter> out;
    out.reserve(adapters.size());
    for (const wire::LoadedAdapter &adapter : adapters) {
        out.push_back({ { adapter.model.empty() ? defaultName : adapter.model, adapter.adapter },
                        static_cast<std::uint64_t>(adapter.version) });
    }
    return out;
}

std::vector<wire::LoadedAdapter> toWire(const std::vector<LoadingAdapter> &adapters,
                                        const std::string &defaultName, Instant now)
{
    std::vector<wire::LoadedAdapter> out;
    for (const LoadingAdapter &adapter : adapters) {
        wire::LoadedAdapter &to = out.emplace_back();
        if (adapter.name.model != defaultName)
            to.model = adapter.name.model;
        to.adapter = adapter.name.adapter;
        to.__set_loadingForMillis(inMillis(now - adapter.since));
        if (adapter.isInHostMemory)
            to.__set_heldLately(true);
    }
    return out;
}

std::vector<LoadingAdapter> loadingFromWire(const std::vector<wire::LoadedAdapter> &adapters,
                                            const std::string &defaultName, Instant now)
{
    std::vector<LoadingAdapter> out;
    out.reserve(adapters.size());
    for (const wire::LoadedAdapter &adapter : adapters) {
        out.push_back({ { adapter.model.empty() ? defaultName : adapter.model, adapter.adapter },
                        now - millisecond * std::max(adapter.loadingForMillis, 0),
                        adapter.heldLately });
    }
    return out;
}

constexpr double percent = 0.01;

std::int32_t toPercent(double factor)
{
    return static_cast<std::int32_t>(std::lround(factor / percent));
}

double fromPercent(std::int32_t percents)
{
    return std::max(percents, 0) * percent;
}

wire::EngineNews toWire(const EngineUpdate &update, Instant now)
{
    wire::EngineNews out;
    out.engine = update.engine.value;
    out.age = (now - update.state.seenAt).count();
    out.start = update.state.start;
    out.ordersTaken = static_cast<std::int64_t>(update.state.ordersTaken);
    out.orderUnderWay = update.state.isOrderUnderWay;
    out.models = update.state.models;
    out.ready = toWire(update.state.ready, defaultModel(update.state.models));
    out.loading = toWire(update.state.loading, defaultModel(update.state.models), now);
    out.running = static_cast<std::int32_t>(update.state.running);
    out.waiting = static_cast<std::int32_t>(update.state.waiting);
    if (update.isOrdering)
        out.__set_ordering(true);
    if (update.tokensPerSecond > 0)
        out.__set_tokensPerSecond(static_cast<std::int32_t>(update.tokensPerSecond));
    if (update.openPlaces)
        out.__set_openPlaces(static_cast<std::int32_t>(*update.openPlaces));
    if (update.unreadTokens > 0)
        out.__set_unreadTokens(static_cast<std::int32_t>(update.unreadTokens));
    if (update.slowdown > 0)
        out.__set_slowdownPercent(toPercent(update.slowdown));
    return out;
}

EngineUpdate fromWire(const wire::EngineNews &update, Instant now)
{
    EngineUpdate out;
    out.engine.value = update.engine;
    out.state.seenAt = now - ageOf(update.age);
    out.state.start = update.start;
    out.state.ordersTaken = static_cast<std::uint64_t>(update.ordersTaken);
    out.state.isOrderUnderWay = update.orderUnderWay;
    out.state.models = update.models;
    out.state.ready = fromWire(update.ready, defaultModel(update.models));
    out.state.loading = loadingFromWire(update.loading, defaultModel(update.models), now);
    out.state.running = static_cast<std::uint32_t>(update.running);
    out.state.waiting = static_cast<std::uint32_t>(update.waiting);
    out.isOrdering = update.ordering;
    out.tokensPerSecond = static_cast<std::uint32_t>(std::max(update.tokensPerSecond, 0));
    if (update.__isset.openPlaces)
        out.openPlaces = static_cast<std::uint32_t>(std::max(update.openPlaces, 0));
    out.unreadTokens = static_cast<std::uint32_t>(std::max(update.unreadTokens, 0));
    out.slowdown = fromPercent(update.slowdownPercent);
    return out;
}

wire::CustomerUse toWire(const CustomerUse &use)
{
    wire::CustomerUse out;
    out.customer = use.customer.value;
    out.admitted = use.admitted;
    out.inWindow = use.inWindow;
    return out;
}

CustomerUse fromWire(const wire::CustomerUse &use)
{
    return { CustomerId{ use.customer }, use.admitted, use.inWindow };
}

std::vector<wire::CrashSuspicion> toWire(const std::vector<CrashSuspicion> &crashes, Instant now)
{
    std::vector<wire::CrashSuspicion> out;
    for (const CrashSuspicion &crash : crashes) {
        wire::CrashSuspicion &to = out.emplace_back();
        to.digest = static_cast<std::int64_t>(crash.digest.value);
        to.upstream = crash.incarnation.upstream.value;
        to.start = crash.incarnation.start;
        to.age = (now - crash.at).count();
        if (crash.kind == SuspectKind::PromptPart)
            to.__set_isPart(true);
        if (crash.isCleared)
            to.__set_isCleared(true);
        if (crash.isRefuted)
            to.__set_isRefuted(true);
    }
    return out;
}

std::vector<CrashSuspicion> fromWire(const std::vector<wire::CrashSuspicion> &crashes, Instant now)
{
    std::vector<CrashSuspicion> out;
    out.reserve(crashes.size());
    for (const wire::CrashSuspicion &crash : crashes) {
        out.push_back({ RequestDigest{ static_cast<std::uint64_t>(crash.digest) },
                        { UpstreamId{ crash.upstream }, crash.start },
                        now - ageOf(crash.age),
                        crash.isPart ? SuspectKind::PromptPart : SuspectKind::Request,
                        crash.isCleared,
                        crash.isRefuted });
    }
    return out;
}

std::vector<wire::UpstreamLimit> toWire(const std::vector<UpstreamLimit> &limits, Instant now)
{
    std::vector<wire::UpstreamLimit> out;
    for (const UpstreamLimit &limit : limits) {
        wire::UpstreamLimit &to = out.emplace_back();
        to.upstream = limit.upstream.value;
        to.start = limit.start;
        to.perSecond = limit.perSecond;
        to.age = (now - limit.at).count();
    }
    return out;
}

std::vector<UpstreamLimit> fromWire(const std::vector<wire::UpstreamLimit> &limits, Instant now)
{
    std::vector<UpstreamLimit> out;
    out.reserve(limits.size());
    for (const wire::UpstreamLimit &limit : limits)
        out.push_back({ UpstreamId{ limit.upstream }, limit.start, std::max(limit.perSecond, 0.0),
                        now - ageOf(limit.age) });
    return out;
}

wire::RelayedNews toWire(const RelayedUpdate &update, Instant now)
{
    wire::RelayedNews out;
    out.host = update.origin.value;
    out.incarnation = static_cast<std::int64_t>(update.incarnation.value);
    for (const CustomerUse &use : update.uses)
        out.uses.push_back(toWire(use));
    for (const EngineUpdate &engine : update.engines)
        out.engines.push_back(toWire(engine, now));
    if (!update.crashes.empty())
        out.__set_crashes(toWire(update.crashes, now));
    if (!update.limits.empty())
        out.__set_limits(toWire(update.limits, now));
    return out;
}

RelayedUpdate fromWire(const wire::RelayedNews &update, Instant now)
{
    RelayedUpdate out;
    out.origin.value = update.host;
    out.incarnation.value = static_cast<std::uint64_t>(update.incarnation);
    for (const wire::CustomerUse &use : update.uses)
        out.uses.push_back(fromWire(use));
    for (const wire::EngineNews &engine : update.engines)
        out.engines.push_back(fromWire(engine, now));
    out.crashes = fromWire(update.crashes, now);
    out.limits = fromWire(update.limits, now);
    return out;
}

template <typename Place>
wire::AdapterAt toWire(const Place &place)
{
    wire::AdapterAt out;
    out.engine = place.engine.value;
    out.model = place.adapter.model;
    out.adapter = place.adapter.adapter;
    return out;
}

wire::Member toWire(const MemberUpdate &member)
{
    wire::Member out;
    out.host = member.id.value;
    out.zone = member.zone.value;
    out.ip = member.address.ip;
    out.port = member.address.port;
    out.incarnation = static_cast<std::int64_t>(member.incarnation.value);
    out.silentFor = member.silentFor.count();
    return out;
}

MemberUpdate fromWire(const wire::Member &member)
{
    return { HostId{ member.host },
             ZoneId{ member.zone },
             { member.ip, static_cast<std::uint16_t>(member.port) },
             Incarnation{ static_cast<std::uint64_t>(member.incarnation) },
             ageOf(member.silentFor) };
}

wire::StreamOrigin toWire(const StreamOriginUpdate &update, Instant now)
{
    wire::StreamOrigin out;
    out.customer = update.key.customer.value;
    out.attempt = update.key.begunBy.value;
    out.serviceId = update.origin.service.value;
    out.version = update.origin.version.value;
    out.remaining = (update.origin.until - now).count();
    if (update.origin.isAmbiguous)
        out.__set_isAmbiguous(true);
    return out;
}

StreamOriginUpdate fromWire(const wire::StreamOrigin &origin, Instant now)
{
    return { { CustomerId{ origin.customer }, AttemptId{ origin.attempt } },
             { ServiceId{ origin.serviceId }, SoftwareVersion{ origin.version },
               now + std::clamp(Span{ origin.remaining }, Span{}, maxOriginAge),
               origin.isAmbiguous } };
}

void addOrigins(wire::Message &out, const Gossip &message, Instant now)
{
    out.__isset.mixedServices = !message.mixedServices.empty();
    for (const MixedService &mixed : message.mixedServices) {
        wire::MixedService &to = out.mixedServices.emplace_back();
        to.serviceId = mixed.service.value;
        to.age = (now - mixed.mixedAt).count();
    }
    out.__isset.origins = !message.origins.empty();
    for (const StreamOriginUpdate &update : message.origins)
        out.origins.push_back(toWire(update, now));
    out.__isset.originQuestions = !message.originQuestions.empty();
    for (const OriginQuestion &question : message.originQuestions) {
        wire::OriginQuestion &to = out.originQuestions.emplace_back();
        to.customer = question.key.customer.value;
        to.attempt = question.key.begunBy.value;
        to.serviceId = question.service.value;
        to.request = static_cast<std::int64_t>(question.request);
    }
    out.__isset.originAnswers = !message.originAnswers.empty();
    for (const OriginAnswer &answer : message.originAnswers) {
        wire::OriginAnswer &to = out.originAnswers.emplace_back();
        to.origin = toWire(answer.update, now);
        to.request = static_cast<std::int64_t>(answer.request);
        if (answer.isLoneVersion)
            to.__set_isLoneVersion(true);
    }
}

void takeOrigins(Gossip &out, const wire::Message &message, Instant now)
{
    for (const wire::MixedService &mixed : message.mixedServices)
        out.mixedServices.push_back({ ServiceId{ mixed.serviceId }, now - ageOf(mixed.age) });
    for (const wire::StreamOrigin &origin : message.origins)
        out.origins.push_back(fromWire(origin, now));
    for (const wire::OriginQuestion &question : message.originQuestions) {
        out.originQuestions.push_back(
                { { CustomerId{ question.customer }, AttemptId{ question.attempt } },
                  ServiceId{ question.serviceId },
                  static_cast<std::uint64_t>(question.request) });
    }
    for (const wire::OriginAnswer &answer : message.originAnswers) {
        out.originAnswers.push_back({ fromWire(answer.origin, now),
                                      static_cast<std::uint64_t>(answer.request),
                                      answer.isLoneVersion });
    }
}

wire::PromptRead toWire(const PromptRead &read)
{
    wire::PromptRead out;
    out.engine = read.engine.value;
    out.request = static_cast<std::int64_t>(read.request);
    out.elapsedMillis = inMillis(read.elapsed);
    if (read.isFailed)
        out.__set_failed(true);
    if (read.slowdown > 0)
        out.__set_slowdownPercent(toPercent(read.slowdown));
    return out;
}

wire::PromptAsk toWire(const AdmissionRequest &admission)
{
    wire::PromptAsk out;
    out.engine = admission.engine.value;
    out.model = admission.adapter.model;
    out.adapter = admission.adapter.adapter;
    out.request = static_cast<std::int64_t>(admission.request);
    out.tokens = static_cast<std::int32_t>(admission.tokens);
    if (admission.isReturned)
        out.__set_givenBack(true);
    if (admission.limit > 0)
        out.__set_limit(admission.limit);
    if (!admission.customer.value.empty())
        out.__set_customer(admission.customer.value);
    if (admission.priority)
        out.__set_priority(admission.priority->level);
    if (admission.objectiveLeft > Span{})
        out.__set_objectiveLeftMillis(inMillis(admission.objectiveLeft));
    if (admission.maxPause > Span{})
        out.__set_maxPauseMillis(inMillis(admission.maxPause));
    if (admission.isReported)
        out.__set_reported(true);
    return out;
}

wire::PromptAnswer toWire(const AdmissionReply &answer)
{
    wire::PromptAnswer out;
    out.request = static_cast<std::int64_t>(answer.request);
    out.waitMillis = inMillis(answer.wait);
    out.copyWanted = answer.isCopyWanted;
    if (answer.isPermit)
        out.__set_permit(true);
    if (answer.isQueued)
        out.__set_queued(true);
    if (answer.isUnservable)
        out.__set_unservable(true);
    if (!answer.engine.value.empty())
        out.__set_engine(answer.engine.value);
    return out;
}

wire::Message toWire(const Gossip &message, Instant now)
{
    wire::Message out;
    out.sender = message.from.value;
    out.zone = message.zone.value;
    out.ip = message.address.ip;
    out.port = message.address.port;
    out.incarnation = static_cast<std::int64_t>(message.incarnation.value);
    out.leaving = message.isLeaving;
    if (message.isOverloaded)
        out.__set_overloaded(true);
    addPositions(out, message);
    out.platform = static_cast<std::int32_t>(message.platform);
    out.runningFor = message.runningFor.count();
    for (const MemberUpdate &member : message.members)
        out.members.push_back(toWire(member));
    for (const CustomerUse &use : message.uses)
        out.uses.push_back(toWire(use));
    if (message.heardAgo)
        out.__set_heardMillisAgo(inMillis(*message.heardAgo));
    if (message.linkMbps > 0)
        out.__set_linkMbps(static_cast<std::int32_t>(message.linkMbps));
    if (message.relayTo != RelayScope::None)
        out.__set_relayTo(static_cast<std::int32_t>(message.relayTo));
    out.__isset.relayed = !message.relayed.empty();
    for (const RelayedUpdate &update : message.relayed)
        out.relayed.push_back(toWire(update, now));
    for (const EngineUpdate &update : message.engines)
        out.engines.push_back(toWire(update, now));
    for (const AdapterUse &use : message.adapterUses) {
        wire::AdapterUse &to = out.adapterUses.emplace_back();
        to.engine = use.engine.value;
        to.model = use.adapter.model;
        to.adapter = use.adapter.adapter;
        to.running = use.isRunning;
        to.begun = static_cast<std::int32_t>(use.begun);
    }
    for (const PromptWork &work : message.promptWork) {
        wire::PromptWork &to = out.promptWork.emplace_back();
        to.engine = work.engine.value;
        to.tokens = static_cast<std::int32_t>(work.tokens);
    }
    for (const AdmissionRequest &admission : message.admissionRequests)
        out.promptAsks.push_back(toWire(admission));
    for (const AdmissionReply &answer : message.admissionReplies)
        out.promptAnswers.push_back(toWire(answer));
    out.__isset.promptsRead = !message.promptsRead.empty();
    for (const PromptRead &read : message.promptsRead)
        out.promptsRead.push_back(toWire(read));
    for (const LoadRequest &request : message.loadRequests)
        out.loadRequests.push_back(toWire(request));
    for (const LoadRefusal &refusal : message.loadRefusals) {
        out.loadRefusals.push_back(toWire(refusal));
        out.loadRefusals.back().storeBusy = refusal.isStoreBusy;
    }
    for (const PublishedChanges &changes : message.changes)
        out.changes.push_back(encodeChanges(changes));
    if (!message.crashes.empty())
        out.__set_crashes(toWire(message.crashes, now));
    if (!message.limits.empty())
        out.__set_limits(toWire(message.limits, now));
    out.__isset.unreachableServices = !message.unreachableServices.empty();
    for (const ServiceId &service : message.unreachableServices)
        out.unreachableServices.push_back(service.value);
    out.__isset.leavingUpstreams = !message.leavingUpstreams.empty();
    for (const UpstreamIncarnation &incarnation : message.leavingUpstreams) {
        wire::LeavingUpstream &to = out.leavingUpstreams.emplace_back();
        to.upstream = incarnation.upstream.value;
        to.start = incarnation.start;
    }
    out.__isset.itemParts = !message.itemParts.empty();
    for (const ItemPart &part : message.itemParts)
        out.itemParts.push_back(encodePart(part));
    addOrigins(out, message, now);
    return out;
}

AdmissionRequest fromWire(const wire::PromptAsk &ask)
{
    AdmissionRequest out;
    out.engine.value = ask.engine;
    out.adapter = { ask.model, ask.adapter };
    out.request = static_cast<std::uint64_t>(ask.request);
    out.tokens = static_cast<double>(std::max(ask.tokens, 0));
    out.isReturned = ask.givenBack;
    out.limit = std::max(ask.limit, 0.0);
    out.customer.value = ask.customer;
    if (ask.__isset.priority)
        out.priority = priorityOfRank(static_cast<std::uint32_t>(std::max(ask.priority, 0)));
    out.objectiveLeft = millisecond * std::max(ask.objectiveLeftMillis, 0);
    out.maxPause = millisecond * std::max(ask.maxPauseMillis, 0);
    out.isReported = ask.reported;
    return out;
}

PromptRead fromWire(const wire::PromptRead &read)
{
    return { UpstreamId{ read.engine }, static_cast<std::uint64_t>(read.request),
             millisecond * std::max(read.elapsedMillis, 0), read.failed,
             fromPercent(read.slowdownPercent) };
}

Gossip fromWire(const wire::Message &message, Instant now)
{
    Gossip out;
    out.from.value = message.sender;
    out.zone.value = message.zone;
    out.address = { message.ip, static_cast<std::uint16_t>(message.port) };
    out.incarnation.value = static_cast<std::uint64_t>(message.incarnation);
    out.isLeaving = message.leaving;
    out.isOverloaded = message.overloaded;
    takePositions(out, message);
    out.platform = platformView(message.platform);
    out.runningFor = ageOf(message.runningFor);
    for (const wire::Member &member : message.members)
        out.members.push_back(fromWire(member));
    for (const wire::CustomerUse &use : message.uses)
        out.uses.push_back(fromWire(use));
    out.linkMbps = static_cast<std::uint32_t>(std::max(message.linkMbps, 0));
    out.relayTo = relayScope(message.relayTo);
    for (const wire::RelayedNews &update : message.relayed)
        out.relayed.push_back(fromWire(update, now));
    if (message.__isset.heardMillisAgo)
        out.heardAgo = millisecond * std::max(message.heardMillisAgo, 0);
    for (const wire::EngineNews &update : message.engines)
        out.engines.push_back(fromWire(update, now));
    for (const wire::AdapterUse &use : message.adapterUses) {
        out.adapterUses.push_back({ UpstreamId{ use.engine },
                                    { use.model, use.adapter },
                                    use.running,
                                    static_cast<std::uint32_t>(std::max(use.begun, 0)) });
    }
    for (const wire::PromptWork &work : message.promptWork) {
        out.promptWork.push_back(
                { UpstreamId{ work.engine }, static_cast<double>(std::max(work.tokens, 0)) });
    }
    for (const wire::PromptAsk &admission : message.promptAsks)
        out.admissionRequests.push_back(fromWire(admission));
    for (const wire::PromptRead &read : message.promptsRead)
        out.promptsRead.push_back(fromWire(read));
    for (const wire::PromptAnswer &answer : message.promptAnswers) {
        out.admissionReplies.push_back({ static_cast<std::uint64_t>(answer.request),
                                         millisecond * std::max(answer.waitMillis, 0),
                                         answer.copyWanted, answer.permit, answer.queued,
                                         answer.unservable, UpstreamId{ answer.engine } });
    }
    for (const wire::AdapterAt &place : message.loadRequests)
        out.loadRequests.push_back({ UpstreamId{ place.engine }, { place.model, place.adapter } });
    for (const wire::AdapterAt &place : message.loadRefusals) {
        out.loadRefusals.push_back(
                { UpstreamId{ place.engine }, { place.model, place.adapter }, place.storeBusy });
    }
    for (const wire::Changes &changes : message.changes)
        out.changes.push_back(decodeChanges(changes));
    out.crashes = fromWire(message.crashes, now);
    out.limits = fromWire(message.limits, now);
    for (const wire::ItemPart &part : message.itemParts)
        out.itemParts.push_back(decodePart(part));
    for (const wire::LeavingUpstream &leaving : message.leavingUpstreams)
        out.leavingUpstreams.push_back({ UpstreamId{ leaving.upstream }, leaving.start });
    for (const std::string &service : message.unreachableServices)
        out.unreachableServices.insert(ServiceId{ service });
    takeOrigins(out, message, now);
    return out;
}

} // namespace

std::string encodeGossip(const Gossip &message, Instant now)
{
    return encodeCompact(toWire(message, now));
}

Result<Gossip> decodeGossip(std::string_view bytes, Instant now)
{
    if (bytes.empty() || bytes.size() > std::numeric_limits<std::uint16_t>::max())
        return Error{ ResultCode::MessageInvalid, "the datagram is empty or too large" };
    const Result<wire::Message> message = decodeCompact<wire::Message>(bytes);
    if (!message)
        return message.error();
    return fromWire(message.value(), now);
}

} // namespace azurewell::gateway
