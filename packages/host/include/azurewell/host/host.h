#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/host/host_state.h"

#include <vector>

namespace azurewell {

/// Interval of Tick events.
inline constexpr Span tickInterval = fromSeconds(0.01);

/// Creates a host without configuration or known peers. The incarnation in \a identity must be
/// above any earlier one of this host.
HostState makeHost(HostIdentity identity, KnownCharts charts);

/// Implements the whole behaviour of a host: updates \a state for \a event and appends the
/// resulting actions to \a actions. Reads no clock, and takes random numbers only from the
/// generator seeded by the identity, so the same events give the same actions.
void handle(HostState &state, const Event &event, Instant now, std::vector<Action> &actions);

/// Number of hosts in each zone that read a new ticket from the platform at once; the others get it
/// from them.
inline constexpr std::size_t ticketReadersPerZone = 3;
/// How long the other hosts wait for the relayed ticket before they read it from the platform as
/// well.
inline constexpr Span relayTimeout = fromSeconds(1);

/// How long this host waits before it reads ticket \a number from the platform. All hosts are
/// notified of a new number; if all of them read the ticket at once, three changes in one second at
/// 390 hosts would exceed the call limit of the service.
Span ticketReadDelay(const HostState &state, TicketNumber number);

/// Whether this host must refuse new requests because its newest information from the configuration
/// service, which includes key withdrawals, is older than the tickets allow.
bool isWithoutUpdates(const HostState &state, Instant now);

} // namespace azurewell
