#pragma once

#include "azurewell/fleet/messages.h"

#include <peer_types.h>

namespace azurewell {

// The messages that carry a snapshot from host to host.
void writeBody(wire::Body &out, const SnapshotAsk &in);
void writeBody(wire::Body &out, const SnapshotPart &in);

/// The body if it is one of the above, else std::monostate.
PeerBody readSnapshotBody(const wire::Body &in);

} // namespace azurewell
