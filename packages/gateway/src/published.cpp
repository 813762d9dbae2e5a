#include "azurewell/gateway/published.h"

#include <algorithm>
#include <set>

namespace azurewell::gateway {

namespace {

/// Applies one change. Returns false if the known revision is the same or newer.
bool takeItem(PublishedState &state, const PublishedItem &item)
{
    PublishedItem &known = state.items[item.key];
    if (item.revision <= known.revision)
        return false;
    known = item;
    state.newestChange = std::max(state.newestChange, item.revision);
    return true;
}

constexpr std::size_t maxGaps = 16;

/// Records that a listing has shown all items that existed at \a revision.
void recordListing(PublishedState &state, std::uint64_t revision)
{
    if (revision <= state.revision)
        return;
    const bool wasComplete = state.revision != 0 && state.revision >= state.completeSince;
    if (wasComplete) {
        state.gaps.push_back({ state.revision, revision });
    } else {
        state.gaps.clear();
        state.completeSince = revision;
    }
    if (state.gaps.size() > maxGaps) {
        state.completeSince = state.gaps.front().to;
        state.gaps.erase(state.gaps.begin());
    }
    state.revision = revision;
}

} // namespace

bool isCompleteAfter(const PublishedState &state, std::uint64_t revision)
{
    const bool isInGap = std::any_of(
            state.gaps.begin(), state.gaps.end(),
            [&](const RevisionGap &gap) { return revision > gap.from && revision < gap.to; });
    return revision == 0 || (revision >= state.completeSince && !isInGap);
}

std::vector<PublishedItem> applyListing(PublishedState &state,
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
    recordListing(state, revision);
    return changed;
}

std::vector<PublishedItem> applyChanges(PublishedState &state, const PublishedChanges &changes,
                                        std::uint64_t senderRevision)
{
    if (changes.after > state.revision)
        return {};
    std::vector<PublishedItem> changed;
    for (const PublishedItem &item : changes.items) {
        if (takeItem(state, item))
            changed.push_back(item);
    }
    if (state.revision == 0)
        state.completeSince = std::max(changes.upTo, senderRevision);
    state.revision = std::max(state.revision, changes.upTo);
    return changed;
}

void removeUnchanged(std::vector<PublishedItem> &items,
                     const std::function<bool(const PublishedItem &)> &hasChanged)
{
    std::set<std::string> changed;
    std::erase_if(items, [&](const PublishedItem &item) {
        if (!changed.contains(item.key) && !hasChanged(item))
            return true;
        changed.insert(item.key);
        return false;
    });
}

PublishedChanges newestChanges(const PublishedState &state, std::uint64_t revision,
                               std::uint64_t newestChange)
{
    PublishedChanges changes = changesAfter(state, std::max(revision, newestChange));
    changes.after = revision;
    changes.upTo = revision;
    return changes;
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
