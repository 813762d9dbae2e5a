#include "published_codec.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

namespace wire = azurewell::wire::gossip;

std::int64_t revisionOf(const StorePosition &position)
{
    return static_cast<std::int64_t>(position.revision);
}

std::int64_t eraOf(const StorePosition &position)
{
    return static_cast<std::int64_t>(position.era);
}

StorePosition positionOf(std::int64_t era, std::int64_t revision)
{
    return { static_cast<std::uint64_t>(era), static_cast<std::uint64_t>(revision) };
}

} // namespace

wire::Changes encodeChanges(const PublishedChanges &changes)
{
    wire::Changes out;
    out.after = revisionOf(changes.after);
    out.upTo = revisionOf(changes.upTo);
    if (changes.after.era != 0)
        out.__set_afterEra(eraOf(changes.after));
    if (changes.upTo.era != 0)
        out.__set_upToEra(eraOf(changes.upTo));
    if (changes.isHeld)
        out.__set_held(true);
    for (const PublishedItem &item : changes.items) {
        wire::Item &to = out.items.emplace_back();
        to.key = item.key;
        to.revision = revisionOf(item.position);
        if (item.position.era != 0)
            to.__set_era(eraOf(item.position));
        to.deleted = item.isDeleted;
        to.value = item.value;
    }
    return out;
}

PublishedChanges decodeChanges(const wire::Changes &changes)
{
    PublishedChanges out{ positionOf(changes.afterEra, changes.after),
                          positionOf(changes.upToEra, changes.upTo),
                          {},
                          changes.held };
    for (const wire::Item &item : changes.items) {
        out.items.push_back(
                { item.key, positionOf(item.era, item.revision), item.deleted, item.value });
    }
    return out;
}

wire::ItemPart encodePart(const ItemPart &part)
{
    wire::ItemPart out;
    out.after = revisionOf(part.after);
    out.upTo = revisionOf(part.upTo);
    out.key = part.key;
    out.revision = revisionOf(part.position);
    if (part.after.era != 0)
        out.__set_afterEra(eraOf(part.after));
    if (part.upTo.era != 0)
        out.__set_upToEra(eraOf(part.upTo));
    if (part.position.era != 0)
        out.__set_era(eraOf(part.position));
    if (part.isHeld)
        out.__set_held(true);
    out.offset = static_cast<std::int32_t>(part.offset);
    out.size = static_cast<std::int32_t>(part.size);
    out.bytes = part.bytes;
    return out;
}

ItemPart decodePart(const wire::ItemPart &part)
{
    return { positionOf(part.afterEra, part.after),
             positionOf(part.upToEra, part.upTo),
             part.key,
             positionOf(part.era, part.revision),
             static_cast<std::size_t>(std::max(part.offset, 0)),
             static_cast<std::size_t>(std::max(part.size, 0)),
             part.bytes,
             part.held };
}

void addPositions(wire::Message &out, const Gossip &message)
{
    out.revision = revisionOf(message.position);
    out.newestChange = revisionOf(message.newestChange);
    if (message.position.era != 0)
        out.__set_era(eraOf(message.position));
    if (message.newestChange.era != message.position.era)
        out.__set_newestChangeEra(eraOf(message.newestChange));
    out.wantsChanges = message.wantsChanges;
    if (message.holdsItems)
        out.__set_holdsItems(true);
    if (message.wantsHeld)
        out.__set_wantsHeld(true);
}

void takePositions(Gossip &out, const wire::Message &message)
{
    out.position = positionOf(message.era, message.revision);
    const std::int64_t newestEra = message.__isset.newestChangeEra ? message.newestChangeEra
                                                                   : message.era;
    out.newestChange = positionOf(newestEra, message.newestChange);
    out.wantsChanges = message.wantsChanges;
    out.holdsItems = message.holdsItems;
    out.wantsHeld = message.wantsHeld;
}

} // namespace azurewell::gateway
