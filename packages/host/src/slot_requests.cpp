#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// The asker's lease is cut by this share for clocks that run at different rates (200 ppm is the
/// worst that quartz does; a hundred times that costs a tenth of a second of a ten-second lease).
constexpr double leaseDriftMargin = 0.02;
/// Keepers that are asked for one request. One keeper's queue being too long says nothing of the
/// others; at four times the capacity three asks keep the shares of customers whose adapters are on
/// few engines (docs/DECISIONS.md).
constexpr std::uint32_t mostAsks = 3;
/// A waiting ask is repeated this often: it, or the grant, can have been lost.
constexpr Span askInterval = fromSeconds(1);
/// Up to four seconds between asks: one message a second for each waiting request was half of what
/// a node sent while adapters were being loaded.
constexpr std::uint32_t mostAskDoublings = 2;
/// When a host that no longer keeps the engine said so; by then the views have moved on.
constexpr Span askAgainSoon = fromSeconds(0.1);

/// When a lease that the keeper counts from `basis` ends here.
Instant leaseEnd(const HostState &state, std::uint64_t basis, Span length)
{
    const auto sent = state.serialSentAt.find(basis);
    if (sent == state.serialSentAt.end())
        return Instant{};
    return sent->second + length - fromSeconds(toSeconds(length) * leaseDriftMargin);
}

void sendAsk(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    const auto customer = state.inForce.customers.find(record.customer);
    record.askAgainAt = step.now + askInterval * (1LL << std::min(record.asks, mostAskDoublings));
    ++record.asks;
    SlotAsk ask;
    ask.request = record.asked.request;
    ask.engine = record.upstream;
    ask.adapter = record.asked.adapter;
    ask.customer = record.customer;
    ask.cost = costOf(record.asked);
    ask.weight = customer == state.inForce.customers.end() ? 1.0 : customer->second.weight;
    ask.untilDeadline = record.asked.deadline - step.now;
    ask.serial = nextSerial(step);
    ask.round = record.round;
    sendTo(step, record.keeper, ask);
}

/// The best engine whose zone has a host to keep it, with that host.
std::optional<std::pair<UpstreamId, HostId>> chooseKept(Step &step, RequestRecord &record)
{
    std::optional<std::pair<UpstreamId, HostId>> chosen;
    const std::size_t failed = record.failedAt.size();
    while (const std::optional<UpstreamId> engine = chooseFor(step, record)) {
        const auto upstream = step.state.inForce.upstreams.find(*engine);
        if (upstream == step.state.inForce.upstreams.end())
            break;
        if (const std::optional<HostId> keeper = engineKeeper(step.state, upstream->second)) {
            chosen.emplace(*engine, *keeper);
            break;
        }
        record.failedAt.push_back(*engine); // only for this choice: its zone may be back soon
    }
    record.failedAt.resize(failed);
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

/// Asks a keeper for a slot; \a ifNone is the answer where no engine is left to ask.
void seekSlot(Step &step, RequestRecord &record, ResultCode ifNone)
{
    record.phase = RequestPhase::WaitingForSlot;
    record.isCancelled = false;
    ++record.round;
    record.asks = 0;
    const std::optional<std::pair<UpstreamId, HostId>> chosen = chooseKept(step, record);
    if (!chosen) {
        record.upstream = UpstreamId{};
        endRefused(step, record, ifNone, RunState::NotRun);
        return;
    }
    record.upstream = chosen->first;
    noteRouted(step, record);
    record.keeper = chosen->second;
    sendAsk(step, record);
}

namespace {

/// Gives the slot back, or leaves the queue, and looks for another.
void seekAnew(Step &step, RequestRecord &record)
{
    releaseSlot(step, record, Tokens{});
    noteUnrouted(step, record);
    seekSlot(step, record);
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

void onSlotGrant(Step &step, const HostId &keeper, const SlotGrant &grant)
{
    RequestRecord *record = recordOf(step.state, grant.request);
    const bool isOurs = record && record->round == grant.round && record->keeper == keeper
            && record->upstream == grant.engine;
    if (isOurs && record->phase == RequestPhase::Running)
        return; // a doubled message; the slot is in use
    if (!isOurs || record->phase != RequestPhase::WaitingForSlot) {
        // The caller has gone, or the request went elsewhere: only its sender holds this slot.
        sendTo(step, keeper,
               SlotRelease{ grant.request, grant.engine, Tokens{}, grant.round, false });
        return;
    }
    // Checked at the moment of dispatch: a process that was stopped since the grant must not use
    // it, and the upstream may have been marked leaving while the request waited.
    const Instant ends = leaseEnd(step.state, grant.basis, grant.leaseLength);
    const bool isLate = ends <= step.now;
    if (isLate || isLeavingNow(step.state, record->upstream)) {
        countRetry(step.state.counters, RetryReason::SlotLost);
        seekAnew(step, *record);
        return;
    }
    record->leaseEnds = ends;
    dispatch(step, *record, ends);
}

void onSlotRefusal(Step &step, const HostId &keeper, const SlotRefusal &refusal)
{
    RequestRecord *record = recordOf(step.state, refusal.request);
    if (!record || record->phase != RequestPhase::WaitingForSlot || record->round != refusal.round
        || record->upstream != refusal.engine || record->keeper != keeper)
        return;
    if (refusal.code == ResultCode::SlotLost) {
        record->askAgainAt = std::min(record->askAgainAt, step.now + askAgainSoon);
        return;
    }
    noteUnrouted(step, *record);
    const bool isFull = refusal.code == ResultCode::QueueFull
            || refusal.code == ResultCode::DeadlineUnreachable;
    if (!isFull || ++record->refusedAsks >= mostAsks) {
        endRefused(step, *record, refusal.code, RunState::NotRun);
        return;
    }
    record->failedAt.push_back(refusal.engine);
    seekSlot(step, *record, refusal.code);
}

void askAgain(Step &step)
{
    HostState &state = step.state;
    std::vector<RequestId> due;
    for (const auto &[id, record] : state.requests) {
        if (record.phase != RequestPhase::WaitingForSlot || record.isCancelled)
            continue;
        const auto engine = state.inForce.upstreams.find(record.upstream);
        const bool hasMoved = engine == state.inForce.upstreams.end()
                || engineKeeper(state, engine->second) != record.keeper;
        if (hasMoved || record.askAgainAt <= step.now)
            due.push_back(id);
    }
    for (const RequestId &id : due) {
        RequestRecord &record = state.requests.at(id);
        const auto engine = state.inForce.upstreams.find(record.upstream);
        const std::optional<HostId> keeper = engine == state.inForce.upstreams.end()
                ? std::nullopt
                : engineKeeper(state, engine->second);
        if (keeper == record.keeper && !isLeavingNow(state, record.upstream)) {
            sendAsk(step, record);
            continue;
        }
        countRetry(state.counters, RetryReason::SlotLost);
        seekAnew(step, record);
    }
}

void endLostSlots(Step &step)
{
    for (auto &[id, record] : step.state.requests) {
        const bool isLost = record.phase == RequestPhase::Running && !record.isCancelled
                && record.asked.kind == RequestKind::Completion && record.leaseEnds <= step.now;
        if (isLost)
            cancelAttempt(step, record);
    }
}

void onSlotRenewed(Step &step, const HostId &keeper, const SlotRenewed &renewed)
{
    const Instant ends = leaseEnd(step.state, renewed.basis, renewed.leaseLength);
    const std::set<RequestId> lost(renewed.lost.begin(), renewed.lost.end());
    for (auto &[id, record] : step.state.requests) {
        const bool isMeant = record.phase == RequestPhase::Running && record.keeper == keeper
                && record.upstream == renewed.engine && record.renewalSerial == renewed.basis;
        if (isMeant && !lost.contains(id))
            record.leaseEnds = std::max(record.leaseEnds, ends);
        else if (isMeant && !record.isCancelled)
            cancelAttempt(step, record);
    }
}

void renewSlots(Step &step)
{
    HostState &state = step.state;
    std::map<std::pair<HostId, UpstreamId>, std::vector<RequestRecord *>> byKeeper;
    for (auto &[id, record] : state.requests) {
        const bool isRunning = record.phase == RequestPhase::Running && !record.isCancelled;
        if (record.asked.kind != RequestKind::Completion || !isRunning)
            continue;
        const auto engine = state.inForce.upstreams.find(record.upstream);
        if (engine == state.inForce.upstreams.end())
            continue;
        // The keeper may have changed since the grant; the new one learns of the slot like this.
        record.keeper = engineKeeper(state, engine->second).value_or(record.keeper);
        byKeeper[{ record.keeper, record.upstream }].push_back(&record);
    }
    for (const auto &[where, records] : byKeeper) {
        SlotRenewal renewal;
        renewal.engine = where.second;
        renewal.serial = nextSerial(step);
        for (RequestRecord *record : records) {
            record->renewalSerial = renewal.serial;
            renewal.slots.push_back(RunningSlot{ record->asked.request, record->asked.adapter, true,
                                                 record->round });
        }
        sendTo(step, where.first, std::move(renewal));
    }
}

} // namespace azurewell::internal
