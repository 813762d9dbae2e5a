#pragma once

#include "azurewell/units/time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace azurewell {

/// Keys ordered by deadline. Each key has at most one deadline.
///
/// Polling a queue without due keys costs one comparison, whatever its size.
template <typename Key>
class DeadlineQueue
{
public:
    /// Sets the deadline of \a key to \a at, replacing its previous one.
    void set(const Key &key, Instant at)
    {
        const auto [found, isNew] = this->deadlines.try_emplace(key, at);
        if (!isNew) {
            this->order.erase({ found->second, key });
            found->second = at;
        }
        this->order.emplace(at, key);
    }

    /// Sets the deadline of \a key to \a at unless it already has an earlier one.
    void bringForward(const Key &key, Instant at)
    {
        const auto found = this->deadlines.find(key);
        if (found == this->deadlines.end() || at < found->second)
            this->set(key, at);
    }

    void erase(const Key &key)
    {
        const auto found = this->deadlines.find(key);
        if (found == this->deadlines.end())
            return;
        this->order.erase({ found->second, key });
        this->deadlines.erase(found);
    }

    /// Removes and returns the key with the earliest deadline if that is not after \a now.
    std::optional<Key> takeDue(Instant now)
    {
        if (this->order.empty() || this->order.begin()->first > now)
            return std::nullopt;
        Key key = this->order.begin()->second;
        this->order.erase(this->order.begin());
        this->deadlines.erase(key);
        return key;
    }

    bool contains(const Key &key) const
    {
        return this->deadlines.contains(key);
    }

    std::size_t size() const
    {
        return this->deadlines.size();
    }

private:
    std::set<std::pair<Instant, Key>> order;
    std::unordered_map<Key, Instant> deadlines;
};

} // namespace azurewell
