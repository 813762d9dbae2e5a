#pragma once

#include "azurewell/gateway/gateway.h"

#include <set>

namespace azurewell::gateway {

/// Records of streams are kept until their deadline and this much longer: most callers that are
/// refused have come back by then.
inline constexpr Span triesAfterDeadline = std::chrono::seconds(10);

/// Whether this host learns of upstreams that start again with another version: from the platform,
/// or from other hosts.
bool areEntriesFresh(const GatewayState &state, Instant now);

/// Takes over of which services the host \a from knows that versions are mixed, or were recently.
/// If it has not heard that this host knows it as well, it is told again.
void takeMixedServices(GatewayState &state, const HostId &from,
                       const std::vector<MixedService> &mixedServices, Instant now);

/// Whether new streams of \a service can begin nowhere, as the only version that is usable is held.
bool isOnlyHeldUsable(const GatewayState &state, const ServiceId &service, Instant now);

/// What is known of the versions of \a service, which is created if there is nothing.
ServiceVersions &versionsOf(GatewayState &state, const ServiceId &service, Instant now);

/// Whether streams of \a service that may be taken up again were begun at several versions.
bool isServiceMixed(const GatewayState &state, const ServiceId &service, Instant now);

/// The services of which streams may have been begun at several versions, as far as is known here.
std::set<ServiceId> servicesWithoutLoneVersion(const GatewayState &state, Instant now);

/// Whether a host that may know who began a stream is not reached at the moment.
bool isAnyHostMissing(const GatewayState &state, Instant now);

/// The version that has begun any stream of \a service; null if there may be several, or one that
/// this host does not know of.
const SoftwareVersion *onlyVersion(const GatewayState &state, const ServiceId &service,
                                   Instant now);

/// Checks the versions of all services, and whether this host is in touch. Call at each tick.
void checkVersionsIfDue(GatewayState &state, Instant now);

} // namespace azurewell::gateway
