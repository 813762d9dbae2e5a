#pragma once

#include "azurewell/limits/share_messages.h"

#include <peer_types.h>

#include <optional>

namespace azurewell {

/// Messages of lending on the wire.
wire::ShareAsk toWire(const ShareAsk &ask);
wire::ShareGrant toWire(const ShareGrant &grant);
wire::ShareQuery toWire(const ShareQuery &query);
wire::ShareStatement toWire(const ShareStatement &statement);

/// The message of lending in \a body, if it is one.
std::optional<ShareBody> shareBodyOf(const wire::Body &body);

} // namespace azurewell
