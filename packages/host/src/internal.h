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
void onTicketRead(Step &step, const std::string &text);
void onHostList(Step &step, const HostListRead &event);
void sendHeartbeats(Step &step);
void sendTo(Step &step, const HostId &host, PeerBody body);
void noteSummaries(Step &step, const std::vector<EngineSummary> &summaries);

} // namespace azurewell::internal
