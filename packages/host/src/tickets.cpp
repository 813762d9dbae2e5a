#include "azurewell/routing/rendezvous.h"
#include "internal.h"

#include <algorithm>
#include <utility>

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

/// Whether requests that are on their way may have to end for \a ticket. Most tickets add keys and
/// adapters, which ends nothing; to look at every open request for each of them would cost a host
/// that is full. A key or adapter that is set again may be withdrawn, or another customer's now.
bool mayEndRequests(const StateInForce &before, const Ticket &ticket)
{
    const auto isKnownKey = [&before](const Key &key) {
        return before.keys.contains(key.hash);
    };
    const auto isKnownAdapter = [&before](const Adapter &adapter) {
        return before.adapters.contains(adapter.ref);
    };
    return !ticket.removedCustomers.empty() || !ticket.removedAdapters.empty()
            || std::any_of(ticket.keys.begin(), ticket.keys.end(), isKnownKey)
            || std::any_of(ticket.adapters.begin(), ticket.adapters.end(), isKnownAdapter);
}

/// Puts \a ticket in force. False where it was refused.
bool putInForce(Step &step, const Ticket &ticket, const std::string &text)
{
    HostState &state = step.state;
    const bool mayEnd = mayEndRequests(state.inForce, ticket);
    const Result<TicketNumber> applied = applyTicket(state.inForce, ticket);
    if (!applied) {
        noteRefused(step, ticket.number, applied.error().detail, text);
        return false;
    }
    state.tickets.isScanDue = state.tickets.isScanDue || mayEnd;
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

/// Puts a whole snapshot in force.
void installSnapshot(Step &step, SnapshotAssembly snapshot)
{
    HostState &state = step.state;
    TicketState &tickets = state.tickets;
    state.inForce = std::move(snapshot.state);
    tickets.isScanDue = true;
    tickets.published = SnapshotAssembly{};
    tickets.applied = TicketLog{}; // its tickets would not follow one another any more
    while (!tickets.early.texts.empty()
           && tickets.early.texts.begin()->first <= state.inForce.ticket)
        eraseText(tickets.early, tickets.early.texts.begin());
    step.actions.emplace_back(TicketNoted{ state.inForce.ticket, true, "by snapshot" });
    stateChanged(step);
    applyWhatMayBe(step);
}

/// Puts the platform's snapshot in force once it is whole and may be believed.
void installPublished(Step &step)
{
    SnapshotAssembly &published = step.state.tickets.published;
    const bool isWhole = published.count > 0 && published.next == published.count;
    if (isWhole && published.ticket > step.state.inForce.ticket && mayBelievePlatform(step))
        installSnapshot(step, std::exchange(published, SnapshotAssembly{}));
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
        installSnapshot(step, std::exchange(tickets.assembly, SnapshotAssembly{}));
        return;
    }
    const bool isNew = tickets.assembly.next != before || segment.value().number == 0;
    if (!isNew)
        return;
    tickets.nextAsk = step.now + askPatience;
    tickets.snapshotTries = 0;
    sendTo(step, sender, SnapshotAsk{ tickets.assembly.ticket, tickets.assembly.next });
}

void onSnapshotRead(Step &step, const std::string &text)
{
    const Result<SnapshotSegment> segment = parseSegment(text);
    if (!segment) {
        noteRefused(step, TicketNumber{ step.state.inForce.ticket.value + 1 },
                    segment.error().detail, text);
        return;
    }
    addSegment(step.state.tickets.published, segment.value());
    installPublished(step);
}

void onTicketRead(Step &step, const std::string &text)
{
    readTicket(step, text, false);
}

void onTicketPush(Step &step, const TicketPush &push)
{
    readTicket(step, push.text, true);
}

void notePlatformHeard(Step &step)
{
    step.state.tickets.newsAt = step.now;
}

void noteNews(Step &step, Span age)
{
    if (age == noNews)
        return;
    std::optional<Instant> &newsAt = step.state.tickets.newsAt;
    const Instant heard = step.now - age;
    if (!newsAt || heard > *newsAt)
        newsAt = heard;
}

Span newsAge(const Step &step)
{
    const std::optional<Instant> &newsAt = step.state.tickets.newsAt;
    return newsAt ? step.now - *newsAt : noNews;
}

void noteListRead(Step &step)
{
    TicketState &tickets = step.state.tickets;
    if (!tickets.isListRead)
        tickets.patienceEnds = step.now + joinPatience;
    tickets.isListRead = true;
}

/// Ends what waits here once the news is too old; what runs goes on to its end.
void endWaitingWithoutNews(Step &step)
{
    HostState &state = step.state;
    if (state.requests.empty() || !isWithoutNews(state, step.now))
        return;
    std::vector<RequestId> waiting;
    for (const auto &[id, record] : state.requests) {
        if (record.phase != RequestPhase::Running)
            waiting.push_back(id);
    }
    for (const RequestId &id : waiting)
        endRefused(step, state.requests.at(id), ResultCode::HostWithoutNews, RunState::NotRun);
}

void tendTickets(Step &step)
{
    endWaitingWithoutNews(step);
    installPublished(step);
    const bool isWaiting = step.state.inForce.ticket.value == 0
            && !step.state.tickets.early.texts.empty();
    if (isWaiting && mayBelievePlatform(step))
        applyWhatMayBe(step);
}

} // namespace azurewell::internal

namespace azurewell {

Span ticketReadDelay(const HostState &state, TicketNumber number)
{
    const std::string text = std::to_string(number.value);
    const std::uint64_t own = rendezvousWeight(text, state.self.id.value);
    std::size_t before = 0;
    for (const auto &[id, peer] : state.membership.peers) {
        const bool isBefore = peer.zone == state.self.zone && isUsable(state.membership, id)
                && rendezvousWeight(text, id.value) > own;
        before += isBefore ? 1 : 0;
    }
    return before < readersInZone ? Span{} : relayPatience;
}

bool isWithoutNews(const HostState &state, Instant now)
{
    const Span longest = state.inForce.fleet.longestWithoutNews;
    if (longest <= Span{})
        return false;
    const std::optional<Instant> &newsAt = state.tickets.newsAt;
    return !newsAt || now - *newsAt > longest;
}

} // namespace azurewell
