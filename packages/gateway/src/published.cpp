#include "azurewell/gateway/published.h"

#include <algorithm>
#include <set>

namespace azurewell::gateway {

namespace {

/// Takes one change. False where it is known already or older than what is known.
bool takeItem(PublishedState &state, const PublishedItem &item)
{
    PublishedItem &known = state.items[item.key];
    if (item.revision <= known.revision)
        return false;
    known = item;
    state.newestChange = std::max(state.newestChange, item.revision);
    return true;
}

/// Everything up to \a revision is known now.
void advanceTo(PublishedState &state, std::uint64_t revision)
{
    if (state.revision == 0)
        state.begunAt = revision;
    state.revision = std::max(state.revision, revision);
}

} // namespace

bool isCompleteAfter(const PublishedState &state, std::uint64_t revision)
{
    return revision == 0 || revision >= state.begunAt;
}

std::vector<PublishedItem> takeListing(PublishedState &state,
                                       const std::vector<PublishedItem> &items,
                                       std::uint64_t revision)
{
    std::vector<PublishedItem> changed;
    std::map<std::string, bool> isListed;
    for (const PublishedItem &item : items) {
        isListed[item.key] = true;
        if (takeItem(state, item))
            changed.push_back(item);
    }
    for (auto &[key, item] : state.items) {
        if (isListed.contains(key) || item.isDeleted || item.revision >= revision)
            continue;
        item = { key, revision, true, {} };
        state.newestChange = std::max(state.newestChange, revision);
        changed.push_back(item);
    }
    if (revision > state.revision)
        state.begunAt = revision;
    advanceTo(state, revision);
    return changed;
}

std::vector<PublishedItem> takeChanges(PublishedState &state, const PublishedChanges &changes)
{
    if (changes.after > state.revision)
        return {};
    std::vector<PublishedItem> changed;
    for (const PublishedItem &item : changes.items) {
        if (takeItem(state, item))
            changed.push_back(item);
    }
    advanceTo(state, changes.upTo);
    return changed;
}

void keepNews(std::vector<PublishedItem> &items,
              const std::function<bool(const PublishedItem &)> &isNews)
{
    std::set<std::string> changed;
    std::erase_if(items, [&](const PublishedItem &item) {
        if (!changed.contains(item.key) && !isNews(item))
            return true;
        changed.insert(item.key);
        return false;
    });
}

PublishedChanges changesAfter(const PublishedState &state, std::uint64_t revision)
{
    PublishedChanges changes{ revision, state.revision, {} };
    for (const auto &[key, item] : state.items) {
        if (item.revision > revision)
            changes.items.push_back(item);
    }
    std::sort(
            changes.items.begin(), changes.items.end(),
            [](const PublishedItem &a, const PublishedItem &b) { return a.revision < b.revision; });
    return changes;
}

} // namespace azurewell::gateway
