#include "azurewell/host/host.h"

#include "internal.h"

namespace azurewell {

using namespace internal;

namespace {

void stopIfDrained(Step &step)
{
    HostState &state = step.state;
    const bool isGraceOver = step.now >= state.servesUntil;
    const bool isIdle = state.requests.empty() && !hasOpenCalls(step);
    if (state.process != ProcessState::Draining || !isGraceOver || !isIdle)
        return;
    state.process = advance(state.charts.process, state.process, ProcessEvent::LastRequestDone);
    step.actions.emplace_back(ExitProcess{});
}

void onTick(Step &step)
{
    updateMembership(step);
    expireRequests(step);
    endLostSlots(step);
    resendSlotRequests(step);
    updateHostShares(step);
    admitWaiting(step);
    updateEngines(step);
    updateCalls(step);
    updateTickets(step);
    sendHeartbeats(step);
    stopIfDrained(step);
}

void onStopAsked(Step &step, const StopAsked &event)
{
    HostState &state = step.state;
    // A host that is still starting has nothing to serve, and a second signal means "stop at once".
    const bool isServing = state.process == ProcessState::Serving;
    state.servesUntil = isServing ? step.now + event.grace : step.now;
    state.process = advance(state.charts.process, state.process, ProcessEvent::StopAsked);
    state.nextHeartbeat = step.now; // notify the other hosts at once
    sendHeartbeats(step);
}

struct Handler
{
    Step &step;

    void operator()(const RequestArrived &event) const
    {
        onRequestArrived(this->step, event);
    }
    void operator()(const CallerDisconnected &event) const
    {
        onCallerLeft(this->step, event);
    }
    void operator()(const AttemptProgress &event) const
    {
        onAttemptProgress(this->step, event);
    }
    void operator()(const AttemptEnded &event) const
    {
        onAttemptEnded(this->step, event);
    }
    void operator()(const PeerMessageReceived &event) const
    {
        onPeerMessage(this->step, event.message);
    }
    void operator()(const TicketRead &event) const
    {
        onTicketRead(this->step, event.text);
    }
    void operator()(const HostListRead &event) const
    {
        onHostList(this->step, event);
    }
    void operator()(const LoadReported &event) const
    {
        onLoadReported(this->step, event);
    }
    void operator()(const OrderEnded &event) const
    {
        onOrderEnded(this->step, event);
    }
    void operator()(const SnapshotRead &event) const
    {
        onSnapshotRead(this->step, event.text);
    }
    void operator()(const PlatformResponded &) const
    {
        recordPlatformResponse(this->step);
    }
    void operator()(const Tick &) const
    {
        onTick(this->step);
    }
    void operator()(const StopAsked &event) const
    {
        onStopAsked(this->step, event);
    }
};

} // namespace

HostState makeHost(HostIdentity identity, KnownCharts charts)
{
    HostState state;
    state.random.seed(identity.randomSeed);
    state.fencing = FencingNumber{ identity.incarnation.value };
    // Serials of two incarnations of a host must differ: the echo of a serial of the previous one
    // would be taken for a promise to this one.
    state.nextSerial = (identity.incarnation.value % 65536) << 24 | 1;
    state.shares = makeShares(identity);
    state.calls.ledger.host = identity.id;
    state.calls.ledger.incarnation = identity.incarnation;
    state.calls.ledger.secret = state.random();
    state.self = std::move(identity);
    state.process = static_cast<ProcessState>(charts.process.initial);
    state.charts = std::move(charts);
    return state;
}

void handle(HostState &state, const Event &event, Instant now, std::vector<Action> &actions)
{
    Step step{ state, now, actions };
    detectSuspension(step);
    detectPause(state.shares, now); // a host that was suspended must first check its ordinal
    std::visit(Handler{ step }, event);
    while (!state.loopback.empty()) {
        const PeerMessage message = std::move(state.loopback.front());
        state.loopback.pop_front();
        onPeerMessage(step, message);
    }
}

} // namespace azurewell
