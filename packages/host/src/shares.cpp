#include "azurewell/routing/rendezvous.h"
#include "internal.h"

namespace azurewell::internal {

namespace {

std::uint64_t seatWeight(const CustomerId &customer, const SeatId &seat)
{
    return rendezvousWeight(customer.value,
                            seat.zone.value + '/' + std::to_string(seat.number.value));
}

void sendAll(Step &step, std::vector<ShareOutgoing> &messages)
{
    for (ShareOutgoing &message : messages) {
        std::visit([&](auto &body) { sendTo(step, message.to, std::move(body)); }, message.body);
    }
}

} // namespace

RateShares makeShares(const HostIdentity &self)
{
    ShareSettings settings;
    settings.resumesUnconfirmed = self.resumesUnconfirmed;
    return makeRateShares(SeatId{ self.zone, self.seat },
                          HostIncarnation{ self.id, self.incarnation }, &seatWeight, settings);
}

void applyShareTerms(Step &step)
{
    const StateInForce &inForce = step.state.inForce;
    ZoneSeats zones;
    for (const auto &[id, zone] : inForce.zones)
        zones[id] = zone.seats;
    std::vector<ShareTerms> terms;
    for (const auto &[id, customer] : inForce.customers)
        terms.push_back(ShareTerms{ id, customer.rate.perSecond,
                                    static_cast<double>(customer.burst.count) });
    setTerms(step.state.shares, inForce.ticket, zones, terms, step.now);
}

void onHostHeartbeat(Step &step, const HostId &host, Incarnation incarnation, const SeatId &seat)
{
    const auto peer = step.state.membership.peers.find(host);
    const bool isKnown = peer != step.state.membership.peers.end();
    recordContact(step.state.shares, seat, HostIncarnation{ host, incarnation }, step.now,
                  isKnown ? peer->second.suspectTimeout : Span{});
}

void onShareBody(Step &step, const PeerMessage &message, const ShareBody &body)
{
    std::vector<ShareOutgoing> out;
    const HostIncarnation sender{ message.sender, message.incarnation };
    const std::optional<CustomerId> funded = onShareMessage(step.state.shares, sender, body,
                                                            step.now, out);
    sendAll(step, out);
    if (funded && waitingTokens(step.state, *funded).count > 0)
        admitWaiting(step);
}

void requestCustomerTokens(Step &step, const CustomerId &customer, Tokens waiting)
{
    std::vector<ShareOutgoing> out;
    requestTokens(step.state.shares, customer, waiting, step.now, out);
    sendAll(step, out);
}

Tokens waitingTokens(const HostState &state, const CustomerId &customer)
{
    const auto found = state.shares.customers.find(customer);
    return found == state.shares.customers.end() ? Tokens{} : found->second.waiting;
}

void updateHostShares(Step &step)
{
    std::vector<ShareOutgoing> out;
    pollShares(step.state.shares, step.now, out);
    sendAll(step, out);
    for (const RequestId &request : takeOverdueRequests(step.state.shares, step.now))
        endOverdue(step, request);
}

} // namespace azurewell::internal
