#pragma once

#include "azurewell/host/host.h"

namespace azurewell::internal {

/// The state, the time and the list of actions that every step of handle() needs.
struct Step
{
    HostState &state;
    Instant now;
    std::vector<Action> &actions;
};

// attempts.cpp: how an attempt at an upstream went, and whether the request is tried again.
void onAttemptProgress(Step &step, const AttemptProgress &event);
void onAttemptEnded(Step &step, const AttemptEnded &event);

// slot_requests.cpp: this host as asker: slots for its requests.
/// Chooses an engine and asks its keeper; refuses with \a ifNone where no engine can be had.
void seekSlot(Step &step, RequestRecord &record, ResultCode ifNone = ResultCode::NoUpstream);
void onSlotGrant(Step &step, const HostId &keeper, const SlotGrant &grant);
void onSlotRefusal(Step &step, const HostId &keeper, const SlotRefusal &refusal);
void onSlotRenewed(Step &step, const HostId &keeper, const SlotRenewed &renewed);
void renewSlots(Step &step);
/// Asks again for slots whose keeper has changed or has not answered.
void askAgain(Step &step);
/// Cancels what runs on a slot whose lease has ended.
void endLostSlots(Step &step);
/// The number of the next ask, renewal or heartbeat; leases are counted from when it was sent.
std::uint64_t nextSerial(Step &step);

// requests.cpp: a request from its arrival to its end.
/// Prompt tokens and the most that may be generated.
Tokens costOf(const RequestArrived &asked);
/// Gives the request's slot back to its keeper.
void releaseSlot(Step &step, const RequestRecord &record, Tokens used);
void cancelAttempt(Step &step, RequestRecord &record);
/// Sends the request to its upstream, at the latest at \a notAfter.
void dispatch(Step &step, RequestRecord &record, Instant notAfter);
void onRequestArrived(Step &step, const RequestArrived &event);
void onCallerLeft(Step &step, const CallerLeft &event);
void admitWaiting(Step &step);
/// Ends a running request whose lent tokens ran out of time.
void endOverdue(Step &step, const RequestId &request);
void expireRequests(Step &step);
/// Refuses requests whose key, customer or adapter is no longer in force.
void enforceTickets(Step &step);

// shares.cpp: this host's shares of the customers' rates.
ShareHolder makeShares(const HostIdentity &self);
/// Gives every customer's share the size of the ticket in force.
void applyShareTerms(Step &step);
void onHostSeen(Step &step, const HostId &host, Incarnation incarnation, const SeatId &seat);
void onShareBody(Step &step, const PeerMessage &message, const ShareBody &body);
/// Asks the owners of \a customer's parts for what its waiting requests lack.
void seekCustomerTokens(Step &step, const CustomerId &customer, Tokens waiting);
/// Cost of the requests of \a customer that wait here.
Tokens waitingTokens(const HostState &state, const CustomerId &customer);
void tendHostShares(Step &step);

/// Ends a request with a refusal; what it says of the run is corrected to what is known.
void endRefused(Step &step, RequestRecord &record, ResultCode code, RunState runState);
/// Ends a request that was answered.
void endRequest(Step &step, RequestRecord &record);
/// Sends a service call to a back end.
void callService(Step &step, RequestRecord &record);
RequestRecord *recordOf(HostState &state, const RequestId &id);

// tickets.cpp: tickets from the platform and the peers.
void onTicketRead(Step &step, const std::string &text);
void onTicketPush(Step &step, const TicketPush &push);
/// Asks \a peer for what it has and this host has not.
void askForTickets(Step &step, const HostId &peer, TicketNumber peersTicket);
void onTicketAsk(Step &step, const HostId &asker, const TicketAsk &ask);
void onSnapshotAsk(Step &step, const HostId &asker, const SnapshotAsk &ask);
void onSnapshotPart(Step &step, const HostId &sender, const SnapshotPart &part);
void onSnapshotRead(Step &step, const std::string &text);
void noteListRead(Step &step);
void notePlatformHeard(Step &step);
/// Takes over how old a peer's news is, if that is newer.
void noteNews(Step &step, Span age);
Span newsAge(const Step &step);
/// Puts what was read in force once a fresh host may believe the platform.
void tendTickets(Step &step);

// calls.cpp: calls that must not be repeated.
/// Whether \a record may run only under its call number's permit.
bool needsPermit(const RequestRecord &record);
void seekPermit(Step &step, RequestRecord &record);
/// What a refusal may say of a numbered call that this host itself has not sent.
RunState runStateUnsent(Step &step, const RequestRecord &record);
/// Until when the call may be sent.
Instant permitEnd(const Step &step, const RequestRecord &record);
/// Tells the issuer what became of the call, once.
void settleCall(Step &step, const RequestRecord &record, CallOutcome outcome,
                const HeldAnswer &answer = {});
void onPermitAsk(Step &step, const HostId &asker, const PermitAsk &ask);
void onPermitReply(Step &step, const PeerMessage &message, const PermitReply &reply);
void onOutcomeReport(Step &step, const HostId &holder, const OutcomeReport &report);
void onOutcomeAck(Step &step, const OutcomeAck &ack);
void issueNumbers(Step &step, const RequestArrived &event, const CustomerId &customer);
void tendCalls(Step &step);
/// Whether reports are still to be sent or awaited.
bool hasOpenCalls(const Step &step);

// keepers.cpp: who keeps which engine, and what the keeper may do.
/// To be called before anything else at each event: finds out that the process was stopped.
void noteWake(Step &step);
/// Silence of peers, the view by which engines are kept, and the promises about it.
void tendMembership(Step &step);
void noteKeeperPromise(Step &step, const HostId &sender, Incarnation incarnation,
                       const Heartbeat &beat);
void addKeeperPromise(Step &step, const HostId &receiver, Heartbeat &beat);
/// The host to ask for a slot; none where the engine's zone has no usable host.
std::optional<HostId> engineKeeper(HostState &state, const Upstream &engine);
bool mayGrant(HostState &state, const Upstream &engine, Instant now);
bool mayEvict(const HostState &state, const KeptEngine &kept, const Upstream &engine, Instant now);

/// How long a slot is leased. Long enough that four lost renewals in a row do not end a stream; as
/// short as that because a new keeper evicts nothing for one lease.
inline constexpr Span slotLease = fromSeconds(10);

// slots.cpp: this host as keeper of engines.
void onSlotAsk(Step &step, const HostId &asker, Incarnation life, const SlotAsk &ask);
void onSlotRenewal(Step &step, const HostId &asker, Incarnation life, const SlotRenewal &renewal);
void onSlotRelease(Step &step, const HostId &asker, const SlotRelease &release);
void tendEngines(Step &step);
void grantReady(Step &step, KeptEngine &kept, const Upstream &engine);
void orderLoads(Step &step, KeptEngine &kept, const Upstream &engine);
/// Hosts that may keep engines, by the platform's list and this one.
std::size_t listedHosts(const HostState &state);
const Upstream *upstreamInForce(const HostState &state, const UpstreamId &id);

// engine_reports.cpp: what engines say of themselves.
void onLoadReported(Step &step, const LoadReported &report);
void onOrderEnded(Step &step, const OrderEnded &event);
/// Returns adapters to use whose unload was given up long enough ago that it cannot arrive any
/// more. Granting a slot earlier would let this host's own late order cut the request off.
void endDoubts(Step &step, KeptEngine &kept);
std::vector<EngineSummary> summarizeEngines(const HostState &state);

// peers.cpp: messages, heartbeats, tickets.
void onPeerMessage(Step &step, const PeerMessage &message);
void onHostList(Step &step, const HostListRead &event);
void sendHeartbeats(Step &step);
void sendTo(Step &step, const HostId &host, PeerBody body);

// upstreams.cpp: where a request goes, and what is learned of upstreams.
std::optional<UpstreamId> chooseFor(Step &step, const RequestRecord &record);
/// Counts the request as under way to its upstream, once.
void noteRouted(Step &step, RequestRecord &record);
void noteUnrouted(Step &step, RequestRecord &record);
/// Learns the speed of the request's upstream; \a isWhole at the end of the answer.
void notePaceOf(Step &step, RequestRecord &record, bool isWhole);
void noteUpstreamOutcome(Step &step, const UpstreamId &id, AttemptOutcome outcome);
void setUpstreamState(Step &step, const UpstreamId &id, UpstreamEvent event);
void endEjections(Step &step);
void noteSummaries(Step &step, const std::vector<EngineSummary> &summaries);

} // namespace azurewell::internal
