#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/host/host_state.h"

#include <vector>

namespace azurewell {

/// How often a Tick is due.
inline constexpr Span tickInterval = fromSeconds(0.01);

/// A host that knows nothing yet. \a identity must carry an incarnation above any earlier one.
HostState makeHost(HostIdentity identity, KnownCharts charts);

/// The whole behaviour of a host: changes \a state by \a event and appends what is to be done to
/// \a actions. Reads no clock and draws no random number but from the seed in the identity, so the
/// same events give the same actions.
void handle(HostState &state, const Event &event, Instant now, std::vector<Action> &actions);

/// Hosts of each zone that read a new ticket's value at once; the others get it from them.
inline constexpr std::size_t readersInZone = 3;
/// How long the others wait for it before they read it too.
inline constexpr Span relayPatience = fromSeconds(1);

/// How long this host waits before it reads ticket \a number from the platform. All hosts hear of
/// a new number; if all read its value too, three changes in one second at 390 hosts would be more
/// calls than the service allows.
Span ticketReadDelay(const HostState &state, TicketNumber number);

/// Whether this host must serve nothing new because it has had no news of withdrawn keys for longer
/// than the tickets allow.
bool isWithoutNews(const HostState &state, Instant now);

} // namespace azurewell
