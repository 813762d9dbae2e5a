#pragma once

#include "azurewell/limits/share_messages.h"

#include <peer_types.h>

#include <optional>

namespace azurewell {

/// Wire encoding of the messages by which hosts lend each other tokens.
wire::ShareAsk toWire(const ShareAsk &ask);
wire::ShareGrant toWire(const ShareGrant &grant);
wire::ShareQuery toWire(const ShareQuery &query);
wire::ShareStatement toWire(const ShareStatement &statement);

/// The token lending message in \a body, or std::nullopt if the body is of another kind.
std::optional<ShareBody> shareBodyOf(const wire::Body &body);

} // namespace azurewell
