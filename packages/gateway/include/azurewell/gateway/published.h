#pragma once

#include "azurewell/gateway/gossip.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// Revisions that this host skipped because it read a new listing. Items created and deleted within
/// the gap are unknown; items that existed before `from` and were deleted are known.
struct RevisionGap
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
};

/// The items published by the platform, as bytes, with the revision of each change.
///
/// A host that the platform rejects continues with this state from the other hosts. An item is
/// never replaced by an older revision, so the configuration in force never goes back.
struct PublishedState
{
    std::map<std::string, PublishedItem> items; ///< By key, including deleted items.
    std::uint64_t revision = 0; ///< Every change up to this revision is known; 0: nothing is known.
    std::uint64_t newestChange = 0; ///< Revision of the newest item.
    /// Every change after this revision is known, except in `gaps`: the first listing does not show
    /// what was created and deleted before it.
    std::uint64_t completeSince = 0;
    std::vector<RevisionGap> gaps; ///< Gaps after `completeSince`, in ascending order.
};

/// Applies a full listing whose first page was read at \a revision: items missing from it were
/// deleted. Later pages can contain later changes, but others between the pages may be missing, so
/// the listing is complete up to its first page only. Returns the changed items.
std::vector<PublishedItem> applyListing(PublishedState &state,
                                        const std::vector<PublishedItem> &items,
                                        std::uint64_t revision);

/// Applies changes received from another host and returns the changed items. Nothing is applied if
/// changes in between are missing. If nothing was known, they may be the first part of the state of
/// a sender that has all changes up to \a senderRevision; deletions before that are not among them.
std::vector<PublishedItem> applyChanges(PublishedState &state, const PublishedChanges &changes,
                                        std::uint64_t senderRevision = 0);

/// Removes from a series of changes, oldest first, those that \a hasChanged reports as no change.
/// \a hasChanged compares with the state before the series, so once a key has changed in the
/// series, all its later changes are kept.
void removeUnchanged(std::vector<PublishedItem> &items,
                     const std::function<bool(const PublishedItem &)> &hasChanged);

/// Whether every change after \a revision is known. A host that has read a listing does not know
/// all earlier deletions, and a host that took its changes as complete would use a deleted upstream
/// for as long as it runs. Revision 0 is always complete: a host that knows nothing has nothing to
/// delete.
bool isCompleteAfter(const PublishedState &state, std::uint64_t revision);

/// Returns the changes, oldest first, that are missing at a host that knows all up to \a revision.
PublishedChanges changesAfter(const PublishedState &state, std::uint64_t revision);

/// The same for a host to which this one cannot send all deletions since \a revision: returns the
/// changes after \a newestChange, the newest change that host knows. It stays at \a revision, and
/// keeps requesting changes from others.
PublishedChanges newestChanges(const PublishedState &state, std::uint64_t revision,
                               std::uint64_t newestChange);

} // namespace azurewell::gateway
