#include "azurewell/gateway/item_parts.h"

#include <zlib.h>

#include <algorithm>
#include <cstring>

namespace azurewell::gateway {

namespace {

/// Size of a part; a link of 10 Mbit/s takes 13 ms to send one.
constexpr std::size_t partBytes = 16ULL * 1024;

/// Upper limit of a packed or unpacked value; the platform's values are smaller.
constexpr std::size_t maxItemBytes = 4ULL * 1024 * 1024;

/// Changes are requested in their order, so that rarely more than one item is in transfer.
constexpr std::size_t maxPartialItems = 4;

constexpr std::size_t lengthBytes = 4;

/// Compresses \a value with zlib and prepends its length.
std::string packBytes(const std::string &value)
{
    uLongf size = compressBound(static_cast<uLong>(value.size()));
    std::string packed(lengthBytes + size, 0);
    const std::uint32_t length = static_cast<std::uint32_t>(value.size());
    std::memcpy(packed.data(), &length, lengthBytes);
    compress2(reinterpret_cast<Bytef *>(packed.data() + lengthBytes), &size,
              reinterpret_cast<const Bytef *>(value.data()), static_cast<uLong>(value.size()),
              Z_BEST_SPEED);
    packed.resize(lengthBytes + size);
    return packed;
}

/// Decompresses \a packed. Returns nothing if it is not a packed value.
std::optional<std::string> unpackBytes(const std::string &packed)
{
    std::uint32_t length = 0;
    if (packed.size() < lengthBytes)
        return std::nullopt;
    std::memcpy(&length, packed.data(), lengthBytes);
    if (length > maxItemBytes)
        return std::nullopt;
    std::string value(length, 0);
    uLongf size = length;
    const int result = uncompress(reinterpret_cast<Bytef *>(value.data()), &size,
                                  reinterpret_cast<const Bytef *>(packed.data() + lengthBytes),
                                  static_cast<uLong>(packed.size() - lengthBytes));
    if (result != Z_OK || size != length)
        return std::nullopt;
    return value;
}

bool isConsistent(const ItemPart &part)
{
    return part.size <= maxItemBytes && part.offset % partBytes == 0 && part.offset < part.size
            && part.bytes.size() == std::min(partBytes, part.size - part.offset);
}

} // namespace

void packItem(PackedItem &packed, const PublishedItem &item)
{
    if (packed.key == item.key && packed.position == item.position)
        return;
    packed.key = item.key;
    packed.position = item.position;
    packed.bytes = packBytes(item.value);
}

std::vector<ItemPart> splitItem(const PublishedChanges &changes, const PackedItem &packed)
{
    std::vector<ItemPart> parts;
    for (std::size_t offset = 0; offset < packed.bytes.size(); offset += partBytes) {
        parts.push_back({ changes.after, changes.upTo, packed.key, packed.position, offset,
                          packed.bytes.size(), packed.bytes.substr(offset, partBytes),
                          changes.isHeld });
    }
    return parts;
}

Span linkPauseAfter(std::size_t bytes, std::uint32_t linkMbps)
{
    constexpr std::uint32_t defaultMbps = 100;
    constexpr double bitsPerByte = 8;
    const double bitsPerSecond = 1e6 * (linkMbps == 0 ? defaultMbps : linkMbps);
    return fromSeconds(2 * bitsPerByte * static_cast<double>(bytes) / bitsPerSecond);
}

std::optional<PublishedChanges> addPart(PartialItems &partial, const ItemPart &part)
{
    if (!isConsistent(part))
        return std::nullopt;
    if (partial.byKey.size() >= maxPartialItems && !partial.byKey.contains(part.key))
        partial.byKey.clear(); // they are requested again
    PartialItems::PartialItem &item = partial.byKey[part.key];
    if (part.position < item.position)
        return std::nullopt;
    if (part.position > item.position || item.value.size() != part.size)
        item = { part.position, std::string(part.size, 0), {} };
    std::copy(part.bytes.begin(), part.bytes.end(),
              item.value.begin() + static_cast<std::ptrdiff_t>(part.offset));
    item.offsets.insert(part.offset);
    if (item.offsets.size() * partBytes < part.size)
        return std::nullopt;
    std::optional<std::string> value = unpackBytes(item.value);
    partial.byKey.erase(part.key);
    if (!value)
        return std::nullopt;
    PublishedChanges whole{ part.after, part.upTo, {}, part.isHeld };
    whole.items.push_back({ part.key, part.position, false, std::move(*value) });
    return whole;
}

} // namespace azurewell::gateway
