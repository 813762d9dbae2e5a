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

// attempts.cpp: progress and end of attempts at an upstream, and retries.
void onAttemptProgress(Step &step, const AttemptProgress &event);
void onAttemptEnded(Step &step, const AttemptEnded &event);

// slot_requests.cpp: slots that this host requests from coordinators for its callers' requests.
/// Chooses an engine and requests a slot from its coordinator; refuses the request with \a ifNone
/// if no engine is available.
void requestSlot(Step &step, RequestRecord &record, ResultCode ifNone = ResultCode::NoUpstream);
void onSlotGrant(Step &step, const HostId &coordinator, const SlotGrant &grant);
void onSlotRefusal(Step &step, const HostId &coordinator, const SlotRefusal &refusal);
void onSlotRenewed(Step &step, const HostId &coordinator, const SlotRenewed &renewed);
void renewSlots(Step &step);
/// Requests slots again whose coordinator has changed or has not answered.
void resendSlotRequests(Step &step);
/// Cancels attempts whose slot lease has expired.
void endLostSlots(Step &step);
/// Serial of the next slot request, renewal or heartbeat; leases are counted from when it was sent.
std::uint64_t nextSerial(Step &step);

// requests.cpp: requests from arrival to end.
/// Prompt tokens plus the maximum number of generated tokens.
Tokens costOf(const RequestArrived &arrival);
/// Returns the request's slot to its coordinator.
void releaseSlot(Step &step, const RequestRecord &record, Tokens used);
void cancelAttempt(Step &step, RequestRecord &record);
/// Sends the request to its upstream, at the latest at \a notAfter.
void dispatch(Step &step, RequestRecord &record, Instant notAfter);
void onRequestArrived(Step &step, const RequestArrived &event);
void onCallerLeft(Step &step, const CallerDisconnected &event);
void admitWaiting(Step &step);
/// Ends a running request whose borrowed tokens have expired.
void endOverdue(Step &step, const RequestId &request);
void expireRequests(Step &step);
/// Refuses requests whose key, customer or adapter is no longer in force.
void enforceTickets(Step &step);

// shares.cpp: this host's shares of the customers' rates.
RateShares makeShares(const HostIdentity &self);
/// Sets the size of every customer's share according to the tickets in force.
void applyShareTerms(Step &step);
void onHostHeartbeat(Step &step, const HostId &host, Incarnation incarnation, const SeatId &seat);
void onShareBody(Step &step, const PeerMessage &message, const ShareBody &body);
/// Requests the tokens that \a customer's waiting requests lack from the hosts that own the other
/// shares.
void requestCustomerTokens(Step &step, const CustomerId &customer, Tokens waiting);
/// Total cost of the requests of \a customer that wait at this host.
Tokens waitingTokens(const HostState &state, const CustomerId &customer);
void updateHostShares(Step &step);

/// Ends a request with a refusal. Reports the run state as unknown if an earlier attempt may have
/// run.
void endRefused(Step &step, RequestRecord &record, ResultCode code, RunState runState);
/// Removes a request that was answered or refused.
void endRequest(Step &step, RequestRecord &record);
/// Sends a service call to a back end.
void callService(Step &step, RequestRecord &record);
RequestRecord *findRequest(HostState &state, const RequestId &id);

// tickets.cpp: tickets from the platform and from peers.
void onTicketRead(Step &step, const std::string &text);
void onTicketPush(Step &step, const TicketPush &push);
/// Requests tickets from \a peer if \a peersTicket is newer than the ticket in force here.
void requestTickets(Step &step, const HostId &peer, TicketNumber peersTicket);
void onTicketAsk(Step &step, const HostId &requester, const TicketAsk &ask);
void onSnapshotAsk(Step &step, const HostId &requester, const SnapshotAsk &ask);
void onSnapshotPart(Step &step, const HostId &sender, const SnapshotPart &part);
void onSnapshotRead(Step &step, const std::string &text);
void recordHostListRead(Step &step);
void recordPlatformResponse(Step &step);
/// Adopts the time of the newest configuration service response that a peer knows of, \a age ago,
/// if it is newer.
void recordUpdateAge(Step &step, Span age);
Span updateAge(const Step &step);
/// Applies tickets and snapshots that were read once this host may trust the platform.
void updateTickets(Step &step);

// calls.cpp: calls that must not be repeated.
/// Whether \a record may only run with a permit for its call number.
bool needsPermit(const RequestRecord &record);
void requestPermit(Step &step, RequestRecord &record);
/// The run state that a refusal may report for a call with a number that this host has not sent
/// itself.
RunState runStateIfNotSent(Step &step, const RequestRecord &record);
/// Until when the call may be sent; 0 if the host has no permit for it.
Instant permitEnd(const Step &step, const RequestRecord &record);
/// Reports the outcome of the call to the issuer, once.
void reportOutcome(Step &step, const RequestRecord &record, CallOutcome outcome,
                   const HeldAnswer &answer = {});
void onPermitAsk(Step &step, const HostId &requester, const PermitAsk &ask);
void onPermitReply(Step &step, const PeerMessage &message, const PermitReply &reply);
void onOutcomeReport(Step &step, const HostId &holder, const OutcomeReport &report);
void onOutcomeAck(Step &step, const OutcomeAck &ack);
void issueNumbers(Step &step, const RequestArrived &event, const CustomerId &customer);
void updateCalls(Step &step);
/// Whether outcome reports are still to be acknowledged or received.
bool hasOpenCalls(const Step &step);

// coordinators.cpp: which host coordinates which engine, and what the coordinator may do.
/// To be called first for each event: detects that the process was suspended.
void detectSuspension(Step &step);
/// Updates unreachable peers, the adopted view and the promises about it.
void updateMembership(Step &step);
void recordViewPromise(Step &step, const HostId &sender, Incarnation incarnation,
                       const Heartbeat &beat);
void addViewPromise(Step &step, const HostId &receiver, Heartbeat &beat);
/// The host from which to request a slot; std::nullopt if the engine's zone has no usable host.
std::optional<HostId> engineCoordinator(HostState &state, const Upstream &engine);
bool mayGrant(HostState &state, const Upstream &engine, Instant now);
bool mayEvict(const HostState &state, const CoordinatedEngine &engineState, const Upstream &engine,
              Instant now);

/// Duration of a slot lease. Long enough that four lost renewals in a row do not end a stream; not
/// longer because a new coordinator evicts nothing for one lease.
inline constexpr Span slotLease = fromSeconds(10);

// slots.cpp: this host as coordinator of engines.
void onSlotAsk(Step &step, const HostId &requester, Incarnation incarnation, const SlotAsk &ask);
void onSlotRenewal(Step &step, const HostId &requester, Incarnation incarnation,
                   const SlotRenewal &renewal);
void onSlotRelease(Step &step, const HostId &requester, const SlotRelease &release);
void updateEngines(Step &step);
void grantReady(Step &step, CoordinatedEngine &engineState, const Upstream &engine);
void orderLoads(Step &step, CoordinatedEngine &engineState, const Upstream &engine);
/// Number of hosts that may coordinate engines: this one and those in the platform's list.
std::size_t listedHosts(const HostState &state);
const Upstream *upstreamInForce(const HostState &state, const UpstreamId &id);

// engine_reports.cpp: load reports and results of orders.
void onLoadReported(Step &step, const LoadReported &report);
void onOrderEnded(Step &step, const OrderEnded &event);
/// Makes adapters usable again whose unload was abandoned long enough ago that the order can no
/// longer reach the engine. If slots were granted earlier, this host's own delayed order could end
/// the request.
void expireAbandonedUnloads(Step &step, CoordinatedEngine &engineState);
std::vector<EngineSummary> summarizeEngines(const HostState &state);

// peers.cpp: messages from and to other hosts, and the host list.
void onPeerMessage(Step &step, const PeerMessage &message);
void onHostList(Step &step, const HostListRead &event);
void sendHeartbeats(Step &step);
void sendTo(Step &step, const HostId &host, PeerBody body);

// upstreams.cpp: choice of upstreams and what is known of them.
std::optional<UpstreamId> chooseFor(Step &step, const RequestRecord &record);
/// Counts the request as sent to its upstream in the routing table, once.
void countRouted(Step &step, RequestRecord &record);
void uncountRouted(Step &step, RequestRecord &record);
/// Records the token rate of the request's upstream; \a isWhole at the end of the answer.
void recordStreamRate(Step &step, RequestRecord &record, bool isWhole);
void recordUpstreamOutcome(Step &step, const UpstreamId &id, AttemptOutcome outcome);
void setUpstreamState(Step &step, const UpstreamId &id, UpstreamEvent event);
void endEjections(Step &step);
void recordSummaries(Step &step, const std::vector<EngineSummary> &summaries);

} // namespace azurewell::internal
