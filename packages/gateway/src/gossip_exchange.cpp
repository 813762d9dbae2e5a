#include "engine_slots.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Minimum interval of requests for published changes: the reply may be lost, or this host may read
/// the store meanwhile.
constexpr Span changesInterval = std::chrono::milliseconds(200);

/// Changes that hosts of this zone have not sent within this time are requested from other zones.
constexpr Span zoneUpdateTimeout = std::chrono::milliseconds(400);

/// Maximum size of the items in one message; the rest is requested next.
constexpr std::size_t maxChangeBytes = 40ULL * 1024;

/// A host of another zone that requested a load receives each change of the engine for this long.
constexpr Span loadUpdatePeriod = std::chrono::milliseconds(2000);

/// Requests published changes that this host lacks from the sender of \a message. Hosts of its own
/// zone have them a moment later, too, and traffic between zones is billed; but if the platform
/// rejects the whole zone, only other zones have them.
void requestChanges(GatewayState &state, const Gossip &message, Instant now, Actions &actions)
{
    if (message.newestChange <= state.published.position)
        return;
    if (state.changesLag.latest <= state.published.position)
        state.changesLag.since = now;
    state.changesLag.latest = std::max(state.changesLag.latest, message.newestChange);
    const bool isDue = isSmallFleet(state) || message.zone == state.self.zone
            || state.platform == PlatformView::Failing || state.configuration.version == 0
            || now - state.changesLag.since >= zoneUpdateTimeout;
    const bool isPartPending = !state.partialItems.byKey.empty()
            && now < state.partialItems.lastPartAt + nextPartTimeout;
    if (!isDue || isPartPending || now < state.nextChangesRequestAt)
        return;
    state.nextChangesRequestAt = now + changesInterval;
    Gossip request = messageHeader(state, now);
    request.wantsChanges = true;
    send(state, message.address, message.zone, MessageKind::ChangesRequest, std::move(request),
         actions);
}

/// Sends the only item of \a changes, which is too large for a message, in parts.
void sendInParts(GatewayState &state, const ChangesRequester &to, const PublishedChanges &changes,
                 Instant now, Actions &actions)
{
    PackedItem &packed = state.packedItem;
    packItem(packed, changes.items.front());
    packed.nextSendAt = now + linkPauseAfter(packed.bytes.size(), state.self.linkMbps);
    for (ItemPart &part : splitItem(changes, packed)) {
        Gossip message = messageHeader(state, now);
        message.itemParts.push_back(std::move(part));
        send(state, to.address, to.zone, MessageKind::Changes, std::move(message), actions);
    }
}

void addWaiting(PackedItem &packed, const ChangesRequester &requester)
{
    std::erase_if(packed.waiting,
                  [&](const ChangesRequester &other) { return other.id == requester.id; });
    packed.waiting.push_back(requester);
}

/// Applies published changes from a host that knows all changes up to \a senderPosition.
void takePublished(GatewayState &state, const PublishedChanges &changes,
                   const StorePosition &senderPosition, Instant now)
{
    const std::vector<PublishedItem> items = applyChanges(state.published, changes, senderPosition,
                                                          now);
    state.undecoded.insert(state.undecoded.end(), items.begin(), items.end());
}

void takePart(GatewayState &state, const ItemPart &part, const StorePosition &senderPosition,
              Instant now)
{
    state.partialItems.lastPartAt = now;
    const std::optional<PublishedChanges> whole = addPart(state.partialItems, part);
    if (whole)
        takePublished(state, *whole, senderPosition, now);
}

/// The number of items, at least one, that fit into a message.
std::size_t countFitting(const std::vector<PublishedItem> &items)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < items.size()) {
        bytes += items[count].value.size() + items[count].key.size();
        if (count > 0 && bytes > maxChangeBytes)
            break;
        ++count;
    }
    return count;
}

/// The changes that \a requester lacks, limited to what fits into one message.
PublishedChanges nextChangesFor(const GatewayState &state, const ChangesRequester &requester)
{
    const bool isComplete = isCompleteAfter(state.published, requester.position);
    PublishedChanges changes = isComplete
            ? changesAfter(state.published, requester.position)
            : newestChanges(state.published, requester.position, requester.newestChange);
    const std::size_t kept = countFitting(changes.items);
    if (kept < changes.items.size()) {
        changes.items.resize(kept);
        if (isComplete)
            changes.upTo = changes.items.back().position;
    }
    return changes;
}

/// Sends changes that fit into one message, or one large item, for which the requester may have to
/// wait until the link is free.
void sendItems(GatewayState &state, const ChangesRequester &requester, PublishedChanges changes,
               Instant now, Actions &actions)
{
    if (changes.items.empty())
        return;
    if (changes.items.front().value.size() > maxChangeBytes) {
        if (now < state.packedItem.nextSendAt)
            addWaiting(state.packedItem, requester);
        else
            sendInParts(state, requester, changes, now, actions);
        return;
    }
    Gossip message = messageHeader(state, now);
    message.changes.push_back(std::move(changes));
    send(state, requester.address, requester.zone, MessageKind::Changes, std::move(message),
         actions);
}

/// Sends published changes to a host that requested them.
void sendChanges(GatewayState &state, const ChangesRequester &requester, Instant now,
                 Actions &actions)
{
    sendItems(state, requester, nextChangesFor(state, requester), now, actions);
}

/// Requests the items of an earlier era that the sender of \a message holds or has held.
void requestHeld(GatewayState &state, const Gossip &message, Instant now, Actions &actions)
{
    if (!message.holdsItems || message.position.era != state.published.era
        || !wantsHeld(state.published, now) || now < state.nextHeldRequestAt)
        return;
    state.nextHeldRequestAt = now + changesInterval;
    Gossip request = messageHeader(state, now);
    request.wantsHeld = true;
    send(state, message.address, message.zone, MessageKind::ChangesRequest, std::move(request),
         actions);
}

void answerHeldRequest(GatewayState &state, const Gossip &from, Instant now, Actions &actions)
{
    if (!from.wantsHeld)
        return;
    const ChangesRequester requester{ from.from,     from.zone,         from.address,
                                      from.position, from.newestChange, now + changesInterval };
    PublishedChanges rest = heldChanges(state.published, from.position);
    while (!rest.items.empty()) {
        const auto end = rest.items.begin() + static_cast<std::ptrdiff_t>(countFitting(rest.items));
        PublishedChanges part{ rest.after, rest.upTo, { rest.items.begin(), end }, true };
        rest.items.erase(rest.items.begin(), end);
        sendItems(state, requester, std::move(part), now, actions);
    }
}

void answerChangesRequest(GatewayState &state, const Gossip &from, Instant now, Actions &actions)
{
    if (!from.wantsChanges || from.position >= state.published.newestChange)
        return;
    sendChanges(state,
                { from.from, from.zone, from.address, from.position, from.newestChange,
                  now + changesInterval },
                now, actions);
}

void takeAdapterUses(GatewayState &state, const Gossip &message, Instant now)
{
    const Span updateInterval = heartbeatInterval(state.members,
                                                  state.members.others.at(message.from));
    for (const AdapterUse &use : message.adapterUses) {
        OrderedEngine &engine = state.engines[use.engine];
        const AdapterRef ref = refOf(use.adapter);
        recordRemoteUse(engine.remoteUses, ref, message.from, use.isRunning, updateInterval, now);
        engine.awaitedUntil.erase(ref);
        if (use.begun > 0)
            recordServed(engine.wanted, use.adapter);
        if (use.begun > 0 && engine.adapters.adapters.contains(ref))
            recordUses(engine.adapters, ref, use.begun, now);
    }
}

/// Sends the requester of a load the engine's state that it lacks, and records it as a receiver of
/// later changes.
void recordLoadRequester(GatewayState &state, const LoadRequest &request, const Gossip &from,
                         Instant now, Actions &actions)
{
    OrderedEngine &engine = state.engines[request.engine];
    if (from.zone != state.self.zone)
        engine.requestingHosts[from.from] = now + loadUpdatePeriod;
    // Small fleets are notified of each load when it is ordered.
    const AdapterState known = stateOf(engine, refOf(request.adapter));
    if (isSmallFleet(state) || (known != AdapterState::Loading && known != AdapterState::Loaded))
        return;
    Gossip reply = messageHeader(state, now);
    reply.engines.push_back({ request.engine, state.upstreams.at(request.engine).engine });
    send(state, from.address, from.zone, MessageKind::EngineUpdate, std::move(reply), actions);
}

void answerLoadRequest(GatewayState &state, const LoadRequest &request, const Gossip &from,
                       Instant now, Actions &actions)
{
    const LoadProspect prospect = enqueueLoad(state, request, now);
    if (prospect == LoadProspect::Coming) {
        recordLoadRequester(state, request, from, now, actions);
        return;
    }
    const bool isStoreBusy = prospect == LoadProspect::StoreBusy;
    Gossip reply = messageHeader(state, now);
    reply.loadRefusals.push_back({ request.engine, request.adapter, isStoreBusy });
    send(state, from.address, from.zone, MessageKind::LoadRefusal, std::move(reply), actions);
}

/// Handles the refusal of a load that this host requested.
void takeRefusal(GatewayState &state, const LoadRefusal &refusal, Instant now, Actions &actions)
{
    const auto awaited = state.awaitedLoads.find(refusal.adapter);
    if (awaited == state.awaitedLoads.end() || awaited->second.engine != refusal.engine)
        return;
    awaited->second.refusedBy.insert(refusal.engine);
    awaited->second.otherEngineAt = now;
    if (refusal.isStoreBusy)
        refuseWaiting(state, refusal.adapter, now, actions);
}

/// Replies when a prompt may be sent to an engine that this host coordinates. Until the prompt
/// arrives there, its adapter counts as in use.
void answerPrompt(GatewayState &state, const Gossip &from, const AdmissionRequest &admission,
                  Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(admission.engine);
    if (found == state.upstreams.end())
        return;
    if (admission.isReturned) {
        releaseAdmission(state, admission, from.from);
        return;
    }
    OrderedEngine &engine = state.engines[admission.engine];
    if (!admission.adapter.isBase()) {
        const Span updateInterval = heartbeatInterval(state.members,
                                                      state.members.others.at(from.from));
        recordRemoteUse(engine.remoteUses, refOf(admission.adapter), from.from, true,
                        updateInterval, now);
    }
    const PromptAdmission turn = admitPromptAt(state, found->second, admission, from.from, now);
    Gossip reply = messageHeader(state, now);
    reply.admissionReplies.push_back({ admission.request, turn.wait, turn.isCopyWanted,
                                       turn.isPermit, turn.isQueued, turn.isUnservable,
                                       admission.engine });
    send(state, from.address, from.zone, MessageKind::AdmissionReply, std::move(reply), actions);
}

/// A host that is reachable again after a timeout may have missed suspicions.
void notifyReturned(GatewayState &state, const HostId &from, Instant now)
{
    Member &member = state.members.others.at(from);
    if (member.returnedAt == now && !state.quarantine.suspects.empty())
        setHeartbeat(state.members, member, now);
}

Member senderOf(const Gossip &message, Instant now)
{
    Member sender;
    sender.id = message.from;
    sender.zone = message.zone;
    sender.address = message.address;
    sender.incarnation = message.incarnation;
    sender.lastMessageAt = now;
    sender.lastAliveAt = now;
    sender.heardAt = now;
    if (message.heardAgo)
        sender.heardByAt = now - *message.heardAgo;
    sender.isLeaving = message.isLeaving;
    sender.isOverloaded = message.isOverloaded;
    sender.platform = message.platform;
    sender.startedAt = now - message.runningFor;
    sender.linkMbps = message.linkMbps;
    sender.unreachableServices = message.unreachableServices;
    for (const MixedService &mixed : message.mixedServices)
        sender.mixedServices[mixed.service] = mixed.mixedAt;
    return sender;
}

Member reportedMember(const MemberUpdate &update, Instant now)
{
    Member member;
    member.id = update.id;
    member.zone = update.zone;
    member.address = update.address;
    member.incarnation = update.incarnation;
    member.lastMessageAt = now - update.silentFor;
    member.lastAliveAt = member.lastMessageAt;
    return member;
}

} // namespace

void sendWaitingChanges(GatewayState &state, Instant now, Actions &actions)
{
    std::deque<ChangesRequester> &waiting = state.packedItem.waiting;
    while (!waiting.empty() && now >= state.packedItem.nextSendAt) {
        const ChangesRequester next = waiting.front();
        waiting.pop_front();
        if (now < next.expiresAt)
            sendChanges(state, next, now, actions);
    }
}

void handleUses(GatewayState &state, const HostId &from, Incarnation incarnation,
                const std::vector<CustomerUse> &uses, Instant now)
{
    for (const CustomerUse &use : uses) {
        recordAdmittedElsewhere(state.meters[use.customer], from, incarnation, use.admitted,
                                use.inWindow, state.self.meterLimits, now);
    }
}

namespace {

/// Records what the coordinator of \a upstream knows of its speed.
void recordFigures(GatewayState &state, Upstream &upstream, const EngineUpdate &update, Instant now)
{
    if (update.slowdown > 0 && !recordSlowdown(upstream.speed, update.slowdown, now))
        ++state.counters.ignoredLoadValues;
    if (update.tokensPerSecond == 0)
        return;
    recordCoordinator(upstream.speed, update.tokensPerSecond, update.unreadTokens, now);
    upstream.ownPromptsReported = { valueAt(upstream.ownPrompts, promptDecayTime, now), now };
}

} // namespace

void handleEngineUpdate(GatewayState &state, const HostId &from, const EngineUpdate &update,
                        Instant now)
{
    const auto found = state.upstreams.find(update.engine);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    upstream.updatedBy = from;
    upstream.updatedAt = now;
    OrderRights &rights = state.engines[update.engine].rights;
    if (update.isOrdering)
        recordClaim(rights, now);
    if (isOutdatedUpdate(rights, update.state))
        return;
    recordEngineUpdate(rights, update.state, now);
    recordStart(state, upstream, update.state.start, update.state.seenAt);
    if (update.state.seenAt < upstream.engine.seenAt)
        return;
    setEngine(upstream, update.state, state.lastEngines, now);
    recordFigures(state, upstream, update, now);
    if (update.state.seenAt > upstream.loadAt) {
        upstream.load = { update.state.running, update.state.waiting, upstream.listed.slots };
        upstream.loadAt = update.state.seenAt;
    }
}

void handle(GatewayState &state, const Gossip &message, Instant now, Actions &actions)
{
    ++state.counters.gossipReceived;
    const bool isNew = !state.members.others.contains(message.from);
    if (!recordMember(state.members, senderOf(message, now)))
        return;
    notifyReturned(state, message.from, now);
    if (isNew) {
        actions.logEvents.push_back({ "peer_found", { { "peer", message.from.value } } });
    }
    if (message.platform == PlatformView::Failing && message.zone == state.self.zone
        && state.platform == PlatformView::NotRead)
        state.platformFailedAt = now;
    for (const MemberUpdate &member : message.members) {
        recordReportedMember(state.members, reportedMember(member, now));
    }
    handleUses(state, message.from, message.incarnation, message.uses, now);
    for (const EngineUpdate &update : message.engines)
        handleEngineUpdate(state, message.from, update, now);
    handleSuspicions(state, message.crashes, now, actions);
    handleLimits(state, message.limits, actions);
    handleLeaving(state, message.leavingUpstreams);
    handleRelayed(state, message, now, actions);
    handleOrigins(state, message, now, actions);
    takeAdapterUses(state, message, now);
    for (const PromptWork &work : message.promptWork) {
        const auto upstream = state.upstreams.find(work.engine);
        if (upstream != state.upstreams.end())
            upstream->second.otherPrompts[message.from] = { work.tokens, now };
    }
    for (const AdmissionRequest &admission : message.admissionRequests)
        answerPrompt(state, message, admission, now, actions);
    for (const AdmissionReply &answer : message.admissionReplies)
        handleAdmissionReply(state, message.from, answer, now, actions);
    for (const PromptRead &read : message.promptsRead)
        handlePromptRead(state, message.from, read, now);
    for (const LoadRequest &request : message.loadRequests)
        answerLoadRequest(state, request, message, now, actions);
    for (const LoadRefusal &refusal : message.loadRefusals)
        takeRefusal(state, refusal, now, actions);
    for (const PublishedChanges &changes : message.changes)
        takePublished(state, changes, message.position, now);
    for (const ItemPart &part : message.itemParts)
        takePart(state, part, message.position, now);
    for (const EngineUpdate &update : message.engines)
        placeWaitingAt(state, update.engine, now, actions);
    for (const RelayedUpdate &relayed : message.relayed) {
        for (const EngineUpdate &update : relayed.engines)
            placeWaitingAt(state, update.engine, now, actions);
    }
    if (!message.loadRefusals.empty())
        placeWaiting(state, now, actions);
    requestChanges(state, message, now, actions);
    answerChangesRequest(state, message, now, actions);
    requestHeld(state, message, now, actions);
    answerHeldRequest(state, message, now, actions);
    runAdmissions(state, now, actions);
}

} // namespace azurewell::gateway
