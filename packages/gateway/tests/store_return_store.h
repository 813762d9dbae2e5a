#pragma once

#include "azurewell/gateway/gateway.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace azurewell::gateway::store_return {

inline constexpr Instant farAway{ std::numeric_limits<std::int64_t>::max() };
inline constexpr Span millisecond = std::chrono::milliseconds(1);

/// A host counts from this time after its start.
inline constexpr Span contactTime = std::chrono::seconds(3);

/// What was lost is written again within this time after the store's return.
inline constexpr Span rewriteTime = std::chrono::seconds(2);

/// Changes go on for this long after the last return; by the end all hosts agree with the store.
inline constexpr Span changesAfterReturn = std::chrono::milliseconds(5500);
inline constexpr Span heldUntil = std::chrono::seconds(8);
inline constexpr Span agreedAfter = std::chrono::seconds(10);

inline constexpr std::string_view configurationKey = "configuration";
inline constexpr std::string_view evacuationPrefix = "evacuations/";
inline constexpr std::string_view serverPrefix = "servers/";
inline constexpr std::size_t pageItems = 10;
inline constexpr std::uint64_t firstRevision = 1000;
inline constexpr std::size_t firstServers = 20;

using Random = std::mt19937_64;

inline Span randomSpan(Random &random, Span from, Span to)
{
    return Span{ std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random) };
}

inline bool chance(Random &random, std::uint64_t percent)
{
    return random() % 100 < percent;
}

struct ServerEntry
{
    std::int64_t start = 0;
    bool isLeaving = false;
    std::uint64_t serial = 0;
};

inline std::string textOf(const ServerEntry &entry)
{
    std::ostringstream text;
    text << entry.start << ' ' << entry.isLeaving << ' ' << entry.serial;
    return text.str();
}

inline ServerEntry readEntry(const std::string &text)
{
    ServerEntry entry;
    std::istringstream(text) >> entry.start >> entry.isLeaving >> entry.serial;
    return entry;
}

inline std::uint64_t readVersion(const std::string &text)
{
    return std::stoull(text);
}

template <typename Number>
ContentOrder compareNumbers(const Number &known, const Number &next)
{
    if (next == known)
        return ContentOrder::Unknown;
    return next < known ? ContentOrder::Older : ContentOrder::Newer;
}

/// The same rules as those of the platform's items.
inline ContentOrder compareSimple(const PublishedItem &known, const PublishedItem &next)
{
    if (known.value == next.value)
        return ContentOrder::Same;
    if (known.key == configurationKey)
        return compareNumbers(readVersion(known.value), readVersion(next.value));
    if (!known.key.starts_with(serverPrefix))
        return ContentOrder::Unknown;
    const ServerEntry before = readEntry(known.value);
    const ServerEntry after = readEntry(next.value);
    if (before.start != after.start)
        return compareNumbers(before.start, after.start);
    if (before.isLeaving != after.isLeaving)
        return before.isLeaving ? ContentOrder::Older : ContentOrder::Newer;
    return compareNumbers(before.serial, after.serial);
}

inline Span holdSimple(const PublishedItem &known, bool isMissing)
{
    return isMissing && known.key.starts_with(serverPrefix)
            ? Span{ std::chrono::milliseconds(2500) }
            : Span{ std::chrono::seconds(5) };
}

/// The platform's store. What it acknowledged after the time of a copy is gone when it returns.
class ReturningStore
{
public:
    struct Write
    {
        Instant at;
        PublishedItem item;
    };

    void write(const std::string &key, const std::string &value, bool isDeleted, Instant now)
    {
        this->writes.push_back({ now, { key, { 0, this->revision() + 1 }, isDeleted, value } });
        this->apply(this->writes.back().item);
    }

    void returnFrom(Instant copiedAt)
    {
        while (!this->writes.empty() && this->writes.back().at > copiedAt)
            this->writes.pop_back();
        this->items.clear();
        for (const Write &write : this->writes)
            this->apply(write.item);
        ++this->era;
    }

    std::uint64_t revision() const
    {
        return this->writes.empty() ? firstRevision : this->writes.back().item.position.revision;
    }

    std::vector<PublishedItem> eventsAfter(std::uint64_t known) const
    {
        std::vector<PublishedItem> events;
        const std::size_t first = known < firstRevision ? 0 : known - firstRevision;
        for (std::size_t index = first; index < this->writes.size(); ++index)
            events.push_back(this->writes[index].item);
        return events;
    }

    std::map<std::string, PublishedItem> items;
    std::uint64_t era = 1;

private:
    void apply(const PublishedItem &item)
    {
        if (item.isDeleted)
            this->items.erase(item.key);
        else
            this->items[item.key] = item;
    }

    std::vector<Write> writes;
};

} // namespace azurewell::gateway::store_return
