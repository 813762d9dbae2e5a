#pragma once

#include "azurewell/fleet/messages.h"

#include <peer_types.h>

namespace azurewell {

// Messages about permits and outcomes of calls that must not be repeated.
void writeBody(wire::Body &out, const PermitAsk &in);
void writeBody(wire::Body &out, const PermitReply &in);
void writeBody(wire::Body &out, const OutcomeReport &in);
void writeBody(wire::Body &out, const OutcomeAck &in);

/// The body if it is one of these messages, else std::monostate.
PeerBody readCallBody(const wire::Body &in);

} // namespace azurewell
