#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// Tickets sent in answer to one ask; a host that is further behind asks again.
constexpr std::size_t ticketsPerAnswer = 64;
/// Kept for relay. At 22,000 a day this is the last 17 minutes; who missed more gets a snapshot.
constexpr std::size_t mostLogged = 256;
constexpr std::size_t mostLoggedBytes = 2U << 20;
/// An ask that was not answered by then goes to the next peer that has something newer.
constexpr Span askPatience = fromSeconds(0.3);
constexpr std::uint32_t mostSegmentTries = 5;
/// How long a fresh host that knows of other hosts waits to hear from one of them: three heartbeat
/// intervals. Then all of them are taken for fresh or unreachable.
constexpr Span joinPatience = fromSeconds(1.5);

void addText(TicketLog &log, TicketNumber number, const std::string &text)
{
    const auto [entry, isNew] = log.texts.try_emplace(number);
    log.bytes += text.size() - entry->second.size();
    entry->second = text;
}

void eraseText(TicketLog &log, std::map<TicketNumber, std::string>::iterator entry)
{
    log.bytes -= entry->second.size();
    log.texts.erase(entry);
}

bool isOverBound(const TicketLog &log)
{
    return log.texts.size() > mostLogged || (log.bytes > mostLoggedBytes && log.texts.size() > 1);
}

/// Whether a ticket of the platform may be put in force. A fresh host knows nothing that could tell
/// a stale service from a live one: it would bring old state back, with keys withdrawn since. Its
/// peers know. It believes the platform only when they know nothing either or cannot be heard.
bool mayBelievePlatform(const Step &step)
{
    const HostState &state = step.state;
    const TicketState &tickets = state.tickets;
    if (state.inForce.ticket.value > 0 || !tickets.isListRead || tickets.isBelievingAtOnce)
        return true;
    bool isEveryoneFresh = true;
    for (const auto &[id, peer] : state.membership.peers) {
        const bool isHeard = peer.state == PeerState::Alive || peer.state == PeerState::Leaving;
        if (isHeard && peer.incarnation.value > 0 && peer.ticket.value > 0)
            return false;
        isEveryoneFresh = isEveryoneFresh && peer.incarnation.value > 0;
    }
    return isEveryoneFresh || step.now >= tickets.patienceEnds;
}

/// Notes a refusal once for each text: the ticket is read again until it is corrected.
void noteRefused(Step &step, TicketNumber number, const std::string &why, const std::string &text)
{
    TicketState &tickets = step.state.tickets;
    const bool isKnown = tickets.refused == number && tickets.refusedText == text;
    tickets.refused = number;
    tickets.refusedWhy = why;
    tickets.refusedText = text;
    if (isKnown)
        return;
    ++step.state.counters.ticketsRefused;
    step.actions.emplace_back(TicketNoted{ number, false, why });
}

/// Puts \a ticket in force. False where it was refused.
bool putInForce(Step &step, const Ticket &ticket, const std::string &text)
{
    HostState &state = step.state;
    const Result<TicketNumber> applied = applyTicket(state.inForce, ticket);
    if (!applied) {
        noteRefused(step, ticket.number, applied.error().detail, text);
        return false;
    }
    TicketLog &log = state.tickets.applied;
    addText(log, ticket.number, text);
    while (isOverBound(log))
        eraseText(log, log.texts.begin());
    step.actions.emplace_back(TicketNoted{ ticket.number, true, {} });
    return true;
}

/// Applies the tickets that were read early and whose turn has come.
void applyEarlyTickets(Step &step)
{
    HostState &state = step.state;
    TicketLog &early = state.tickets.early;
    while (true) {
        const auto next = early.texts.find(TicketNumber{ state.inForce.ticket.value + 1 });
        if (next == early.texts.end())
            return;
        const std::string text = next->second;
        eraseText(early, next);
        const Result<Ticket> ticket = parseTicket(text);
        if (!ticket || !putInForce(step, ticket.value(), text))
            return;
    }
}

/// What follows from new state: requests of withdrawn keys end, the others hear of it at once.
void stateChanged(Step &step)
{
    HostState &state = step.state;
    if (state.tickets.refused <= state.inForce.ticket)
        state.tickets.refused = TicketNumber{};
    state.process = advance(state.charts.process, state.process, ProcessEvent::StateInForce);
    enforceTickets(step);
    state.nextHeartbeat = step.now;
    sendHeartbeats(step);
}

void applyWhatMayBe(Step &step)
{
    const TicketNumber before = step.state.inForce.ticket;
    applyEarlyTickets(step);
    if (step.state.inForce.ticket != before)
        stateChanged(step);
}

void readTicket(Step &step, const std::string &text, bool isFromPeer)
{
    HostState &state = step.state;
    const Result<Ticket> ticket = parseTicket(text);
    if (!ticket) {
        noteRefused(step, TicketNumber{ state.inForce.ticket.value + 1 }, ticket.error().detail,
                    text);
        return;
    }
    if (ticket.value().number <= state.inForce.ticket)
        return; // known already; an old value from a stale service changes nothing
    TicketLog &early = state.tickets.early;
    addText(early, ticket.value().number, text);
    while (isOverBound(early)) // the furthest is read again when its turn comes
        eraseText(early, std::prev(early.texts.end()));
    if (isFromPeer || mayBelievePlatform(step))
        applyWhatMayBe(step);
}

bool isSnapshotUnderWay(const TicketState &tickets)
{
    return tickets.assembly.next > 0 && tickets.assembly.next < tickets.assembly.count;
}

/// Asks once more for the segment that did not come. False where its sender is gone or keeps
/// silent: what was read of its snapshot is dropped then.
bool askAgainForSegment(Step &step)
{
    TicketState &tickets = step.state.tickets;
    ++tickets.snapshotTries;
    const bool isThere = isUsable(step.state.membership, tickets.snapshotFrom);
    if (!isThere || tickets.snapshotTries > mostSegmentTries) {
        tickets.assembly = SnapshotAssembly{};
        tickets.snapshotTries = 0;
        return false;
    }
    sendTo(step, tickets.snapshotFrom,
           SnapshotAsk{ tickets.assembly.ticket, tickets.assembly.next });
    return true;
}

} // namespace

void askForTickets(Step &step, const HostId &peer, TicketNumber peersTicket)
{
    HostState &state = step.state;
    if (peersTicket <= state.inForce.ticket || step.now < state.tickets.nextAsk)
        return;
    state.tickets.nextAsk = step.now + askPatience;
    if (isSnapshotUnderWay(state.tickets) && askAgainForSegment(step))
        return;
    sendTo(step, peer, TicketAsk{ state.inForce.ticket });
}

void onTicketAsk(Step &step, const HostId &asker, const TicketAsk &ask)
{
    const HostState &state = step.state;
    if (ask.after >= state.inForce.ticket)
        return;
    const auto &texts = state.tickets.applied.texts;
    auto entry = texts.find(TicketNumber{ ask.after.value + 1 });
    if (entry == texts.end()) { // the log does not reach back so far
        onSnapshotAsk(step, asker, SnapshotAsk{});
        return;
    }
    for (std::size_t sent = 0; entry != texts.end() && sent < ticketsPerAnswer; ++entry, ++sent)
        sendTo(step, asker, TicketPush{ entry->first, entry->second });
}

void onSnapshotAsk(Step &step, const HostId &asker, const SnapshotAsk &ask)
{
    const StateInForce &inForce = step.state.inForce;
    // After a newer ticket the rest of an old snapshot is gone: the asker begins anew.
    const std::uint32_t segment = ask.ticket == inForce.ticket ? ask.segment : 0;
    if (inForce.ticket.value == 0 || segment >= segmentCount(inForce))
        return;
    sendTo(step, asker, SnapshotPart{ inForce.ticket, segment, writeSegment(inForce, segment) });
}

void onSnapshotPart(Step &step, const HostId &sender, const SnapshotPart &part)
{
    HostState &state = step.state;
    TicketState &tickets = state.tickets;
    if (part.ticket <= state.inForce.ticket)
        return;
    // Two senders' records stand in different orders: one at a time.
    if (isSnapshotUnderWay(tickets) && sender != tickets.snapshotFrom)
        return;
    const Result<SnapshotSegment> segment = parseSegment(part.text);
    if (!segment) {
        noteRefused(step, part.ticket, segment.error().detail, {});
        return;
    }
    if (segment.value().number == 0)
        tickets.snapshotFrom = sender;
    if (sender != tickets.snapshotFrom)
        return;
    const std::uint32_t before = tickets.assembly.next;
    if (addSegment(tickets.assembly, segment.value())) {
        state.inForce = std::move(tickets.assembly.state);
        tickets.assembly = SnapshotAssembly{};
        tickets.applied = TicketLog{}; // its tickets would not follow one another any more
        std::erase_if(tickets.early.texts,
                      [&state](const auto &entry) { return entry.first <= state.inForce.ticket; });
        step.actions.emplace_back(TicketNoted{ state.inForce.ticket, true, "by snapshot" });
        stateChanged(step);
        applyWhatMayBe(step);
        return;
    }
    const bool isNew = tickets.assembly.next != before || segment.value().number == 0;
    if (!isNew)
        return;
    tickets.nextAsk = step.now + askPatience;
    tickets.snapshotTries = 0;
    sendTo(step, sender, SnapshotAsk{ tickets.assembly.ticket, tickets.assembly.next });
}

void onTicketRead(Step &step, const std::string &text)
{
    readTicket(step, text, false);
}

void onTicketPush(Step &step, const TicketPush &push)
{
    readTicket(step, push.text, true);
}

void noteListRead(Step &step)
{
    TicketState &tickets = step.state.tickets;
    if (!tickets.isListRead)
        tickets.patienceEnds = step.now + joinPatience;
    tickets.isListRead = true;
}

void tendTickets(Step &step)
{
    const bool isWaiting = step.state.inForce.ticket.value == 0
            && !step.state.tickets.early.texts.empty();
    if (isWaiting && mayBelievePlatform(step))
        applyWhatMayBe(step);
}

} // namespace azurewell::internal
