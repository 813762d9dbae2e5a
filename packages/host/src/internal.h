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

// requests.cpp: a request from its arrival to its end.
void onRequestArrived(Step &step, const RequestArrived &event);
void onCallerLeft(Step &step, const CallerLeft &event);
void onAttemptProgress(Step &step, const AttemptProgress &event);
void onAttemptEnded(Step &step, const AttemptEnded &event);
void onSlotGrant(Step &step, const SlotGrant &grant);
void onSlotRefusal(Step &step, const SlotRefusal &refusal);
void onSlotRenewed(Step &step, const HostId &keeper, const SlotRenewed &renewed);
void admitWaiting(Step &step);
/// Ends a running request whose lent tokens ran out of time.
void endOverdue(Step &step, const RequestId &request);
void expireRequests(Step &step);
void renewSlots(Step &step);
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

// slots.cpp: this host as keeper of engines.
void onSlotAsk(Step &step, const HostId &asker, const SlotAsk &ask);
void onSlotRenewal(Step &step, const HostId &asker, const SlotRenewal &renewal);
void onSlotRelease(Step &step, const SlotRelease &release);
void onLoadReported(Step &step, const LoadReported &report);
void onOrderEnded(Step &step, const OrderEnded &event);
void tendEngines(Step &step);
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
