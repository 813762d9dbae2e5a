#include "internal.h"

namespace azurewell::internal {

namespace {

void onHeartbeat(Step &step, const PeerMessage &message, const Heartbeat &beat)
{
    HostState &state = step.state;
    if (!recordHeartbeat(state.membership, state.charts.peer, message.sender, message.incarnation,
                         beat, step.now)) {
        ++state.counters.staleMessages;
        return;
    }
    state.fencing = std::max(state.fencing, beat.highestFencing);
    recordViewPromise(step, message.sender, message.incarnation, beat);
    onHostHeartbeat(step, message.sender, message.incarnation, SeatId{ beat.zone, beat.seat });
    recordSummaries(step, beat.engines);
    recordUpdateAge(step, beat.updateAge);
    requestTickets(step, message.sender, beat.ticket);
}

struct BodyHandler
{
    Step &step;
    const PeerMessage &message;

    void operator()(const std::monostate &) const
    {
        ++this->step.state.counters.unknownMessages;
    }
    void operator()(const Heartbeat &beat) const
    {
        onHeartbeat(this->step, this->message, beat);
    }
    void operator()(const SlotAsk &ask) const
    {
        onSlotAsk(this->step, this->message.sender, this->message.incarnation, ask);
    }
    void operator()(const SlotGrant &grant) const
    {
        onSlotGrant(this->step, this->message.sender, grant);
    }
    void operator()(const SlotRefusal &refusal) const
    {
        onSlotRefusal(this->step, this->message.sender, refusal);
    }
    void operator()(const SlotRenewal &renewal) const
    {
        onSlotRenewal(this->step, this->message.sender, this->message.incarnation, renewal);
    }
    void operator()(const SlotRenewed &renewed) const
    {
        onSlotRenewed(this->step, this->message.sender, renewed);
    }
    void operator()(const SlotRelease &release) const
    {
        onSlotRelease(this->step, this->message.sender, release);
    }
    void operator()(const TicketAsk &ask) const
    {
        onTicketAsk(this->step, this->message.sender, ask);
    }
    void operator()(const PermitAsk &ask) const
    {
        onPermitAsk(this->step, this->message.sender, ask);
    }
    void operator()(const PermitReply &reply) const
    {
        onPermitReply(this->step, this->message, reply);
    }
    void operator()(const OutcomeReport &report) const
    {
        onOutcomeReport(this->step, this->message.sender, report);
    }
    void operator()(const OutcomeAck &ack) const
    {
        onOutcomeAck(this->step, ack);
    }
    void operator()(const SnapshotAsk &ask) const
    {
        onSnapshotAsk(this->step, this->message.sender, ask);
    }
    void operator()(const SnapshotPart &part) const
    {
        onSnapshotPart(this->step, this->message.sender, part);
    }
    void operator()(const TicketPush &push) const
    {
        onTicketPush(this->step, push);
    }
    void operator()(const ShareAsk &ask) const
    {
        onShareBody(this->step, this->message, ask);
    }
    void operator()(const ShareGrant &grant) const
    {
        onShareBody(this->step, this->message, grant);
    }
    void operator()(const ShareQuery &query) const
    {
        onShareBody(this->step, this->message, query);
    }
    void operator()(const ShareStatement &statement) const
    {
        onShareBody(this->step, this->message, statement);
    }
};

} // namespace

void sendTo(Step &step, const HostId &host, PeerBody body)
{
    HostState &state = step.state;
    if (host == state.self.id) {
        state.loopback.push_back(PeerMessage{ host, state.self.incarnation, std::move(body) });
        return;
    }
    const auto peer = state.membership.peers.find(host);
    if (peer != state.membership.peers.end())
        step.actions.emplace_back(SendPeer{ host, peer->second.address, std::move(body) });
}

void onPeerMessage(Step &step, const PeerMessage &message)
{
    HostState &state = step.state;
    const auto peer = state.membership.peers.find(message.sender);
    const bool isStale = peer != state.membership.peers.end()
            && message.incarnation < peer->second.incarnation;
    if (isStale) {
        ++state.counters.staleMessages;
        return;
    }
    std::visit(BodyHandler{ step, message }, message.body);
}

void onHostList(Step &step, const HostListRead &event)
{
    HostState &state = step.state;
    state.coordination.hasHostList = state.coordination.hasHostList || !event.hosts.empty();
    recordHostListRead(step);
    applyHostList(state.membership, state.charts.peer, state.self.id, event.hosts);
    for (const ListedUpstream &listed : event.upstreams) {
        const UpstreamEvent listedEvent = listed.isLeaving ? UpstreamEvent::ListedLeaving
                                                           : UpstreamEvent::ListedLive;
        setUpstreamState(step, listed.id, listedEvent);
    }
}

} // namespace azurewell::internal
