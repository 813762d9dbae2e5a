#pragma once

#include "azurewell/gateway/gossip.h"

#include <gossip_types.h>

namespace azurewell::gateway {

wire::gossip::Changes encodeChanges(const PublishedChanges &changes);
PublishedChanges decodeChanges(const wire::gossip::Changes &changes);
wire::gossip::ItemPart encodePart(const ItemPart &part);
ItemPart decodePart(const wire::gossip::ItemPart &part);

/// Add to \a out, or take from \a message, what its sender knows of the store and requests of it.
void addPositions(wire::gossip::Message &out, const Gossip &message);
void takePositions(Gossip &out, const wire::gossip::Message &message);

} // namespace azurewell::gateway
