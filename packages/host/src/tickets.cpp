#include "azurewell/routing/rendezvous.h"
#include "internal.h"

#include <algorithm>
#include <utility>

namespace azurewell::internal {

namespace {

/// Maximum number of tickets sent in answer to one request; a host that lacks more requests again.
constexpr std::size_t maxTicketsPerReply = 64;
/// Maximum number of tickets kept for relaying. At 22,000 a day these are the last 17 minutes; a
/// host that missed more gets a snapshot.
constexpr std::size_t maxLoggedTickets = 256;
constexpr std::size_t maxLoggedBytes = 2U << 20;
/// Timeout of a request for tickets; the next request goes to the next peer that has newer ones.
constexpr Span ticketRequestTimeout = fromSeconds(0.3);
constexpr std::uint32_t maxSegmentRequests = 5;
/// How long a newly started host that knows of other hosts waits for a heartbeat from them: three
/// heartbeat intervals. After that, all of them are taken for new or unreachable.
constexpr Span peerWaitTimeout = fromSeconds(1.5);

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
    return log.texts.size() > maxLoggedTickets
            || (log.bytes > maxLoggedBytes && log.texts.size() > 1);
}

/// Whether a ticket read from the platform may be put in force. A newly started host can't tell a
/// stale configuration service from a current one; a stale one would restore old state with keys
/// that were withdrawn since. Its peers have the newer state. It trusts the platform only if they
/// are newly started as well or are unreachable.
bool mayTrustPlatform(const Step &step)
{
    const HostState &state = step.state;
    const TicketState &tickets = state.tickets;
    if (state.inForce.ticket.value > 0 || !tickets.hasHostList || tickets.isTrustingPlatformAtOnce)
        return true;
    bool isEveryoneFresh = true;
    for (const auto &[id, peer] : state.membership.peers) {
        const bool isReachable = peer.state == PeerState::Alive || peer.state == PeerState::Leaving;
        if (isReachable && peer.incarnation.value > 0 && peer.ticket.value > 0)
            return false;
        isEveryoneFresh = isEveryoneFresh && peer.incarnation.value > 0;
    }
    return isEveryoneFresh || step.now >= tickets.peerWaitDeadline;
}

/// Logs the rejection of a ticket once for each text: the ticket is read again until it is
/// corrected.
void recordRejectedTicket(Step &step, TicketNumber number, const std::string &why,
                          const std::string &text)
{
    TicketState &tickets = step.state.tickets;
    const bool isKnown = tickets.refused == number && tickets.refusedText == text;
    tickets.refused = number;
    tickets.rejectionReason = why;
    tickets.refusedText = text;
    if (isKnown)
        return;
    ++step.state.counters.ticketsRefused;
    step.actions.emplace_back(TicketProcessed{ number, false, why });
}

/// Whether \a ticket may end requests in progress. Most tickets add keys and adapters, which ends
/// nothing, and scanning every open request for each of them would be expensive on a host under
/// full load. A key or adapter that is set again may have been withdrawn or given to another
/// customer.
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

/// Puts \a ticket in force. Returns false if it was rejected.
bool putInForce(Step &step, const Ticket &ticket, const std::string &text)
{
    HostState &state = step.state;
    const bool mayEnd = mayEndRequests(state.inForce, ticket);
    const Result<TicketNumber> applied = applyTicket(state.inForce, ticket);
    if (!applied) {
        recordRejectedTicket(step, ticket.number, applied.error().detail, text);
        return false;
    }
    state.tickets.isRequestScanDue = state.tickets.isRequestScanDue || mayEnd;
    TicketLog &log = state.tickets.applied;
    addText(log, ticket.number, text);
    while (isOverBound(log))
        eraseText(log, log.texts.begin());
    step.actions.emplace_back(TicketProcessed{ ticket.number, true, {} });
    return true;
}

/// Applies the tickets that were read early and whose predecessor is now in force.
void applyConsecutiveTickets(Step &step)
{
    HostState &state = step.state;
    TicketLog &pending = state.tickets.pending;
    while (true) {
        const auto next = pending.texts.find(TicketNumber{ state.inForce.ticket.value + 1 });
        if (next == pending.texts.end())
            return;
        const std::string text = next->second;
        eraseText(pending, next);
        const Result<Ticket> ticket = parseTicket(text);
        if (!ticket || !putInForce(step, ticket.value(), text))
            return;
    }
}

/// Handles new state in force: ends requests of withdrawn keys and notifies the other hosts at
/// once.
void onStateInForceChanged(Step &step)
{
    HostState &state = step.state;
    if (state.tickets.refused <= state.inForce.ticket)
        state.tickets.refused = TicketNumber{};
    state.process = advance(state.charts.process, state.process, ProcessEvent::StateInForce);
    enforceTickets(step);
    state.nextHeartbeat = step.now;
    sendHeartbeats(step);
}

void applyPendingTickets(Step &step)
{
    const TicketNumber before = step.state.inForce.ticket;
    applyConsecutiveTickets(step);
    if (step.state.inForce.ticket != before)
        onStateInForceChanged(step);
}

void readTicket(Step &step, const std::string &text, bool isFromPeer)
{
    HostState &state = step.state;
    const Result<Ticket> ticket = parseTicket(text);
    if (!ticket) {
        recordRejectedTicket(step, TicketNumber{ state.inForce.ticket.value + 1 },
                             ticket.error().detail, text);
        return;
    }
    if (ticket.value().number <= state.inForce.ticket)
        return; // known already; an old ticket from a stale service changes nothing
    TicketLog &pending = state.tickets.pending;
    addText(pending, ticket.value().number, text);
    while (isOverBound(pending)) // the newest is read again when it is due
        eraseText(pending, std::prev(pending.texts.end()));
    if (isFromPeer || mayTrustPlatform(step))
        applyPendingTickets(step);
}

/// Puts a complete snapshot in force.
void installSnapshot(Step &step, SnapshotAssembly snapshot)
{
    HostState &state = step.state;
    TicketState &tickets = state.tickets;
    state.inForce = std::move(snapshot.state);
    tickets.isRequestScanDue = true;
    tickets.published = SnapshotAssembly{};
    tickets.applied = TicketLog{}; // its tickets would no longer be consecutive
    while (!tickets.pending.texts.empty()
           && tickets.pending.texts.begin()->first <= state.inForce.ticket)
        eraseText(tickets.pending, tickets.pending.texts.begin());
    step.actions.emplace_back(TicketProcessed{ state.inForce.ticket, true, "by snapshot" });
    onStateInForceChanged(step);
    applyPendingTickets(step);
}

/// Puts the platform's snapshot in force once it is complete and may be trusted.
void installPublished(Step &step)
{
    SnapshotAssembly &published = step.state.tickets.published;
    const bool isWhole = published.count > 0 && published.next == published.count;
    if (isWhole && published.ticket > step.state.inForce.ticket && mayTrustPlatform(step))
        installSnapshot(step, std::exchange(published, SnapshotAssembly{}));
}

bool isSnapshotUnderWay(const TicketState &tickets)
{
    return tickets.assembly.next > 0 && tickets.assembly.next < tickets.assembly.count;
}

/// Requests the missing segment again. Returns false if its sender is unusable or did not answer
/// maxSegmentRequests times; the incomplete snapshot is then discarded.
bool requestSegmentAgain(Step &step)
{
    TicketState &tickets = step.state.tickets;
    ++tickets.segmentRequests;
    const bool isSenderUsable = isUsable(step.state.membership, tickets.snapshotSender);
    if (!isSenderUsable || tickets.segmentRequests > maxSegmentRequests) {
        tickets.assembly = SnapshotAssembly{};
        tickets.segmentRequests = 0;
        return false;
    }
    sendTo(step, tickets.snapshotSender,
           SnapshotAsk{ tickets.assembly.ticket, tickets.assembly.next });
    return true;
}

} // namespace

void requestTickets(Step &step, const HostId &peer, TicketNumber peersTicket)
{
    HostState &state = step.state;
    if (peersTicket <= state.inForce.ticket || step.now < state.tickets.nextRequestAt)
        return;
    state.tickets.nextRequestAt = step.now + ticketRequestTimeout;
    if (isSnapshotUnderWay(state.tickets) && requestSegmentAgain(step))
        return;
    sendTo(step, peer, TicketAsk{ state.inForce.ticket });
}

void onTicketAsk(Step &step, const HostId &requester, const TicketAsk &ask)
{
    const HostState &state = step.state;
    if (ask.after >= state.inForce.ticket)
        return;
    const auto &texts = state.tickets.applied.texts;
    auto entry = texts.find(TicketNumber{ ask.after.value + 1 });
    if (entry == texts.end()) { // the log does not reach back that far
        onSnapshotAsk(step, requester, SnapshotAsk{});
        return;
    }
    for (std::size_t sent = 0; entry != texts.end() && sent < maxTicketsPerReply; ++entry, ++sent)
        sendTo(step, requester, TicketPush{ entry->first, entry->second });
}

void onSnapshotAsk(Step &step, const HostId &requester, const SnapshotAsk &ask)
{
    const StateInForce &inForce = step.state.inForce;
    // After a newer ticket the old snapshot is no longer available: the requester starts over.
    const std::uint32_t segment = ask.ticket == inForce.ticket ? ask.segment : 0;
    if (inForce.ticket.value == 0 || segment >= segmentCount(inForce))
        return;
    sendTo(step, requester,
           SnapshotPart{ inForce.ticket, segment, writeSegment(inForce, segment) });
}

void onSnapshotPart(Step &step, const HostId &sender, const SnapshotPart &part)
{
    HostState &state = step.state;
    TicketState &tickets = state.tickets;
    if (part.ticket <= state.inForce.ticket)
        return;
    // Two senders' records are in different orders, so only one sender is used at a time.
    if (isSnapshotUnderWay(tickets) && sender != tickets.snapshotSender)
        return;
    const Result<SnapshotSegment> segment = parseSegment(part.text);
    if (!segment) {
        recordRejectedTicket(step, part.ticket, segment.error().detail, {});
        return;
    }
    if (segment.value().number == 0)
        tickets.snapshotSender = sender;
    if (sender != tickets.snapshotSender)
        return;
    const std::uint32_t before = tickets.assembly.next;
    if (addSegment(tickets.assembly, segment.value())) {
        installSnapshot(step, std::exchange(tickets.assembly, SnapshotAssembly{}));
        return;
    }
    const bool isNew = tickets.assembly.next != before || segment.value().number == 0;
    if (!isNew)
        return;
    tickets.nextRequestAt = step.now + ticketRequestTimeout;
    tickets.segmentRequests = 0;
    sendTo(step, sender, SnapshotAsk{ tickets.assembly.ticket, tickets.assembly.next });
}

void onSnapshotRead(Step &step, const std::string &text)
{
    const Result<SnapshotSegment> segment = parseSegment(text);
    if (!segment) {
        recordRejectedTicket(step, TicketNumber{ step.state.inForce.ticket.value + 1 },
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

void recordPlatformResponse(Step &step)
{
    step.state.tickets.lastUpdateAt = step.now;
}

void recordUpdateAge(Step &step, Span age)
{
    if (age == noUpdateReceived)
        return;
    std::optional<Instant> &lastUpdateAt = step.state.tickets.lastUpdateAt;
    const Instant respondedAt = step.now - age;
    if (!lastUpdateAt || respondedAt > *lastUpdateAt)
        lastUpdateAt = respondedAt;
}

Span updateAge(const Step &step)
{
    const std::optional<Instant> &lastUpdateAt = step.state.tickets.lastUpdateAt;
    return lastUpdateAt ? step.now - *lastUpdateAt : noUpdateReceived;
}

void recordHostListRead(Step &step)
{
    TicketState &tickets = step.state.tickets;
    if (!tickets.hasHostList)
        tickets.peerWaitDeadline = step.now + peerWaitTimeout;
    tickets.hasHostList = true;
}

/// Refuses waiting requests once the configuration information is too old; running requests
/// continue.
void refuseWaitingWithoutUpdates(Step &step)
{
    HostState &state = step.state;
    if (state.requests.empty() || !isWithoutUpdates(state, step.now))
        return;
    std::vector<RequestId> waiting;
    for (const auto &[id, record] : state.requests) {
        if (record.phase != RequestPhase::Running)
            waiting.push_back(id);
    }
    for (const RequestId &id : waiting)
        endRefused(step, state.requests.at(id), ResultCode::HostWithoutNews, RunState::NotRun);
}

void updateTickets(Step &step)
{
    refuseWaitingWithoutUpdates(step);
    installPublished(step);
    const bool isWaiting = step.state.inForce.ticket.value == 0
            && !step.state.tickets.pending.texts.empty();
    if (isWaiting && mayTrustPlatform(step))
        applyPendingTickets(step);
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
    return before < ticketReadersPerZone ? Span{} : relayTimeout;
}

bool isWithoutUpdates(const HostState &state, Instant now)
{
    const Span longest = state.inForce.fleet.maxUpdateAge;
    if (longest <= Span{})
        return false;
    const std::optional<Instant> &lastUpdateAt = state.tickets.lastUpdateAt;
    return !lastUpdateAt || now - *lastUpdateAt > longest;
}

} // namespace azurewell
