#pragma once

#include "azurewell/fleet/messages.h"

#include <peer_types.h>

namespace azurewell {

// Messages that transfer a snapshot between hosts.
void writeBody(wire::Body &out, const SnapshotAsk &in);
void writeBody(wire::Body &out, const SnapshotPart &in);

/// The body if it is one of these messages, else std::monostate.
PeerBody readSnapshotBody(const wire::Body &in);

} // namespace azurewell
