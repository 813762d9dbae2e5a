#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// Fraction by which the requester shortens a lease, to allow for clock drift. Quartz clocks drift
/// by at most 200 ppm; a hundred times that costs a fifth of a second of a ten-second lease.
constexpr double leaseDriftMargin = 0.02;
/// Maximum number of coordinators from which a slot is requested for one request. A long queue at
/// one coordinator says nothing about the others; at four times the capacity, three requests
/// preserve the shares of customers whose adapters are on few engines (docs/DECISIONS.md).
constexpr std::uint32_t maxCoordinatorsTried = 3;
/// Interval at which an unanswered slot request is repeated: it, or the grant, may have been lost.
constexpr Span slotRequestInterval = fromSeconds(1);
/// The interval doubles this many times, up to 4 s: one message a second for each waiting request
/// was half of what a node sent while adapters were being loaded.
constexpr std::uint32_t maxIntervalDoublings = 2;
/// Delay before a slot request is repeated after a host answered that it no longer coordinates the
/// engine; by then the views have been updated.
constexpr Span movedEngineRetryDelay = fromSeconds(0.1);

/// When a lease that the coordinator counts from `basis` ends at this host; 0 if the serial is not
/// known.
Instant leaseEnd(const HostState &state, std::uint64_t basis, Span length)
{
    const auto sent = state.serialSentAt.find(basis);
    if (sent == state.serialSentAt.end())
        return Instant{};
    return sent->second + length - fromSeconds(toSeconds(length) * leaseDriftMargin);
}

void sendSlotRequest(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    const auto customer = state.inForce.customers.find(record.customer);
    record.nextRequestAt = step.now
            + slotRequestInterval * (1LL << std::min(record.requestsSent, maxIntervalDoublings));
    ++record.requestsSent;
    SlotAsk ask;
    ask.request = record.arrival.request;
    ask.engine = record.upstream;
    ask.adapter = record.arrival.adapter;
    ask.customer = record.customer;
    ask.cost = costOf(record.arrival);
    ask.weight = customer == state.inForce.customers.end() ? 1.0 : customer->second.weight;
    ask.untilDeadline = record.arrival.deadline - step.now;
    ask.serial = nextSerial(step);
    ask.round = record.round;
    sendTo(step, record.coordinator, ask);
}

/// The best engine that has a coordinator, with that host.
std::optional<std::pair<UpstreamId, HostId>> chooseCoordinatedEngine(Step &step,
                                                                     RequestRecord &record)
{
    std::optional<std::pair<UpstreamId, HostId>> chosen;
    const std::size_t failed = record.excludedUpstreams.size();
    while (const std::optional<UpstreamId> engine = chooseFor(step, record)) {
        const auto upstream = step.state.inForce.upstreams.find(*engine);
        if (upstream == step.state.inForce.upstreams.end())
            break;
        if (const std::optional<HostId> coordinator = engineCoordinator(step.state,
                                                                        upstream->second)) {
            chosen.emplace(*engine, *coordinator);
            break;
        }
        // excluded only from this choice: its zone may be back soon
        record.excludedUpstreams.push_back(*engine);
    }
    record.excludedUpstreams.resize(failed);
    return chosen;
}

bool isLeavingNow(const HostState &state, const UpstreamId &id)
{
    const auto upstream = state.inForce.upstreams.find(id);
    const auto known = state.upstreams.find(id);
    return upstream == state.inForce.upstreams.end() || upstream->second.isLeaving
            || (known != state.upstreams.end() && known->second.state == UpstreamState::Leaving);
}

} // namespace

void requestSlot(Step &step, RequestRecord &record, ResultCode ifNone)
{
    record.phase = RequestPhase::WaitingForSlot;
    record.isCancelled = false;
    ++record.round;
    record.requestsSent = 0;
    const std::optional<std::pair<UpstreamId, HostId>> chosen = chooseCoordinatedEngine(step,
                                                                                        record);
    if (!chosen) {
        record.upstream = UpstreamId{};
        endRefused(step, record, ifNone, RunState::NotRun);
        return;
    }
    record.upstream = chosen->first;
    countRouted(step, record);
    record.coordinator = chosen->second;
    sendSlotRequest(step, record);
}

namespace {

/// Releases the slot or the place in the queue, and requests another slot.
void requestOtherSlot(Step &step, RequestRecord &record)
{
    releaseSlot(step, record, Tokens{});
    uncountRouted(step, record);
    requestSlot(step, record);
}

} // namespace

std::uint64_t nextSerial(Step &step)
{
    HostState &state = step.state;
    const std::uint64_t serial = state.nextSerial++;
    state.serialSentAt[serial] = step.now;
    while (state.serialSentAt.size() > 1
           && step.now - state.serialSentAt.begin()->second > fromSeconds(60))
        state.serialSentAt.erase(state.serialSentAt.begin());
    return serial;
}

void onSlotGrant(Step &step, const HostId &coordinator, const SlotGrant &grant)
{
    RequestRecord *record = findRequest(step.state, grant.request);
    const bool isOurs = record && record->round == grant.round && record->coordinator == coordinator
            && record->upstream == grant.engine;
    if (isOurs && record->phase == RequestPhase::Running)
        return; // a duplicate message; the slot is in use
    if (!isOurs || record->phase != RequestPhase::WaitingForSlot) {
        // The caller has disconnected, or the request went to another engine. The grant must be
        // released, since no other host uses it.
        sendTo(step, coordinator,
               SlotRelease{ grant.request, grant.engine, Tokens{}, grant.round, false });
        return;
    }
    // Checked at the moment of dispatch: a process that was suspended since the grant must not use
    // it, and the upstream may have been marked leaving while the request waited.
    const Instant ends = leaseEnd(step.state, grant.basis, grant.leaseLength);
    const bool isLate = ends <= step.now;
    if (isLate || isLeavingNow(step.state, record->upstream)) {
        countRetry(step.state.counters, RetryReason::SlotLost);
        requestOtherSlot(step, *record);
        return;
    }
    record->leaseExpiresAt = ends;
    dispatch(step, *record, ends);
}

void onSlotRefusal(Step &step, const HostId &coordinator, const SlotRefusal &refusal)
{
    RequestRecord *record = findRequest(step.state, refusal.request);
    if (!record || record->phase != RequestPhase::WaitingForSlot || record->round != refusal.round
        || record->upstream != refusal.engine || record->coordinator != coordinator)
        return;
    if (refusal.code == ResultCode::SlotLost) {
        record->nextRequestAt = std::min(record->nextRequestAt, step.now + movedEngineRetryDelay);
        return;
    }
    uncountRouted(step, *record);
    const bool isFull = refusal.code == ResultCode::QueueFull
            || refusal.code == ResultCode::DeadlineUnreachable;
    if (!isFull || ++record->slotRefusals >= maxCoordinatorsTried) {
        endRefused(step, *record, refusal.code, RunState::NotRun);
        return;
    }
    record->excludedUpstreams.push_back(refusal.engine);
    requestSlot(step, *record, refusal.code);
}

void resendSlotRequests(Step &step)
{
    HostState &state = step.state;
    std::vector<RequestId> due;
    for (const auto &[id, record] : state.requests) {
        if (record.phase != RequestPhase::WaitingForSlot || record.isCancelled)
            continue;
        const auto engine = state.inForce.upstreams.find(record.upstream);
        const bool hasMoved = engine == state.inForce.upstreams.end()
                || engineCoordinator(state, engine->second) != record.coordinator;
        if (hasMoved || record.nextRequestAt <= step.now)
            due.push_back(id);
    }
    for (const RequestId &id : due) {
        RequestRecord &record = state.requests.at(id);
        const auto engine = state.inForce.upstreams.find(record.upstream);
        const std::optional<HostId> coordinator = engine == state.inForce.upstreams.end()
                ? std::nullopt
                : engineCoordinator(state, engine->second);
        if (coordinator == record.coordinator && !isLeavingNow(state, record.upstream)) {
            sendSlotRequest(step, record);
            continue;
        }
        countRetry(state.counters, RetryReason::SlotLost);
        requestOtherSlot(step, record);
    }
}

void endLostSlots(Step &step)
{
    for (auto &[id, record] : step.state.requests) {
        const bool isLost = record.phase == RequestPhase::Running && !record.isCancelled
                && record.arrival.kind == RequestKind::Completion
                && record.leaseExpiresAt <= step.now;
        if (isLost)
            cancelAttempt(step, record);
    }
}

void onSlotRenewed(Step &step, const HostId &coordinator, const SlotRenewed &renewed)
{
    const Instant ends = leaseEnd(step.state, renewed.basis, renewed.leaseLength);
    const std::set<RequestId> lost(renewed.lost.begin(), renewed.lost.end());
    for (auto &[id, record] : step.state.requests) {
        const bool isInRenewal = record.phase == RequestPhase::Running
                && record.coordinator == coordinator && record.upstream == renewed.engine
                && record.renewalSerial == renewed.basis;
        if (isInRenewal && !lost.contains(id))
            record.leaseExpiresAt = std::max(record.leaseExpiresAt, ends);
        else if (isInRenewal && !record.isCancelled)
            cancelAttempt(step, record);
    }
}

void renewSlots(Step &step)
{
    HostState &state = step.state;
    std::map<std::pair<HostId, UpstreamId>, std::vector<RequestRecord *>> byCoordinator;
    for (auto &[id, record] : state.requests) {
        const bool isRunning = record.phase == RequestPhase::Running && !record.isCancelled;
        if (record.arrival.kind != RequestKind::Completion || !isRunning)
            continue;
        const auto engine = state.inForce.upstreams.find(record.upstream);
        if (engine == state.inForce.upstreams.end())
            continue;
        // The coordinator may have changed since the grant; this renewal registers the slot with
        // the new one.
        record.coordinator = engineCoordinator(state, engine->second).value_or(record.coordinator);
        byCoordinator[{ record.coordinator, record.upstream }].push_back(&record);
    }
    for (const auto &[where, records] : byCoordinator) {
        SlotRenewal renewal;
        renewal.engine = where.second;
        renewal.serial = nextSerial(step);
        for (RequestRecord *record : records) {
            record->renewalSerial = renewal.serial;
            renewal.slots.push_back(RunningSlot{ record->arrival.request, record->arrival.adapter,
                                                 true, record->round });
        }
        sendTo(step, where.first, std::move(renewal));
    }
}

} // namespace azurewell::internal
