#include "internal.h"

namespace azurewell::internal {

namespace {

constexpr Span heartbeatInterval = fromSeconds(0.5);
/// Tickets sent in answer to one ask; a host that is further behind asks again.
constexpr std::size_t ticketsPerAnswer = 64;

void onHeartbeat(Step &step, const PeerMessage &message, const Heartbeat &beat)
{
    HostState &state = step.state;
    if (!noteHeartbeat(state.membership, state.charts.peer, message.sender, message.incarnation,
                       beat, step.now)) {
        ++state.counters.staleMessages;
        return;
    }
    state.fencing = std::max(state.fencing, beat.highestFencing);
    onHostSeen(step, message.sender, message.incarnation, SeatId{ beat.zone, beat.seat });
    noteSummaries(step, beat.engines);
    if (beat.ticket > state.inForce.ticket)
        sendTo(step, message.sender, TicketAsk{ state.inForce.ticket });
}

void onTicketAsk(Step &step, const HostId &asker, const TicketAsk &ask)
{
    std::size_t sent = 0;
    const auto &texts = step.state.ticketTexts;
    for (auto entry = texts.upper_bound(ask.after); entry != texts.end() && sent < ticketsPerAnswer;
         ++entry) {
        sendTo(step, asker, TicketPush{ entry->first, entry->second });
        ++sent;
    }
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
        onSlotAsk(this->step, this->message.sender, ask);
    }
    void operator()(const SlotGrant &grant) const
    {
        onSlotGrant(this->step, grant);
    }
    void operator()(const SlotRefusal &refusal) const
    {
        onSlotRefusal(this->step, refusal);
    }
    void operator()(const SlotRenewal &renewal) const
    {
        onSlotRenewal(this->step, this->message.sender, renewal);
    }
    void operator()(const SlotRenewed &renewed) const
    {
        onSlotRenewed(this->step, this->message.sender, renewed);
    }
    void operator()(const SlotRelease &release) const
    {
        onSlotRelease(this->step, release);
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
    void operator()(const TicketPush &push) const
    {
        onTicketRead(this->step, push.text);
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

/// Puts \a ticket in force. False where it was refused.
bool putInForce(Step &step, const Ticket &ticket, const std::string &text)
{
    HostState &state = step.state;
    const Result<TicketNumber> applied = applyTicket(state.inForce, ticket);
    if (!applied) {
        ++state.counters.ticketsRefused;
        step.actions.emplace_back(TicketNoted{ ticket.number, false, applied.error().detail });
        return false;
    }
    state.ticketTexts[ticket.number] = text;
    step.actions.emplace_back(TicketNoted{ ticket.number, true, {} });
    return true;
}

/// Applies the tickets that were read early and whose turn has come.
void applyEarlyTickets(Step &step)
{
    HostState &state = step.state;
    while (true) {
        const auto next = state.earlyTickets.find(TicketNumber{ state.inForce.ticket.value + 1 });
        if (next == state.earlyTickets.end())
            return;
        const std::string text = next->second;
        state.earlyTickets.erase(next);
        const Result<Ticket> ticket = parseTicket(text);
        if (!ticket || !putInForce(step, ticket.value(), text))
            return;
    }
}

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

void onTicketRead(Step &step, const std::string &text)
{
    HostState &state = step.state;
    const Result<Ticket> ticket = parseTicket(text);
    if (!ticket) {
        ++state.counters.ticketsRefused;
        step.actions.emplace_back(TicketNoted{ TicketNumber{}, false, ticket.error().detail });
        return;
    }
    if (ticket.value().number <= state.inForce.ticket)
        return; // known already; an old value from a stale service changes nothing
    state.earlyTickets[ticket.value().number] = text;
    const TicketNumber before = state.inForce.ticket;
    applyEarlyTickets(step);
    if (state.inForce.ticket == before)
        return;
    state.process = advance(state.charts.process, state.process, ProcessEvent::StateInForce);
    enforceTickets(step);
    state.nextHeartbeat = step.now; // the others hear of the new ticket at once
    sendHeartbeats(step);
}

void onHostList(Step &step, const HostListRead &event)
{
    HostState &state = step.state;
    applyHostList(state.membership, state.charts.peer, state.self.id, event.hosts);
    for (const ListedUpstream &listed : event.upstreams) {
        KnownUpstream &upstream = state.upstreams[listed.id];
        const UpstreamEvent word = listed.isLeaving ? UpstreamEvent::ListedLeaving
                                                    : UpstreamEvent::ListedLive;
        upstream.state = advance(state.charts.upstream, upstream.state, word);
    }
}

void sendHeartbeats(Step &step)
{
    HostState &state = step.state;
    if (step.now < state.nextHeartbeat)
        return;
    state.nextHeartbeat = step.now + heartbeatInterval;

    Heartbeat beat;
    beat.ticket = state.inForce.ticket;
    beat.isLeaving = state.process == ProcessState::Draining
            || state.process == ProcessState::Stopped;
    beat.engines = summarizeEngines(state);
    beat.zone = state.self.zone;
    beat.seat = state.self.seat;
    beat.address = state.self.peerAddress;
    beat.highestFencing = state.fencing;
    for (const auto &[id, peer] : state.membership.peers) {
        if (peer.isListed || peer.state != PeerState::Gone)
            step.actions.emplace_back(SendPeer{ id, peer.address, beat });
    }
    noteSummaries(step, beat.engines);
    renewSlots(step);
}

} // namespace azurewell::internal
