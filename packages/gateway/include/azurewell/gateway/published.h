#pragma once

#include "azurewell/gateway/gossip.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// Positions that this host skipped because it read a new listing. Items created and deleted within
/// the gap are unknown; items that existed before `from` and were deleted are known.
struct PositionGap
{
    StorePosition from;
    StorePosition to;
};

/// How the content of an item compares with what was known of its key in another era.
enum class ContentOrder : std::uint8_t {
    Older,
    Same,
    Newer,
    Unknown, ///< The contents do not tell.
};

/// Compares \a next with \a known, which have the same key and are not deleted.
using CompareContent
        = std::function<ContentOrder(const PublishedItem &known, const PublishedItem &next)>;

/// How long after a new era began an item stays as it was known before, although the store shows
/// another content, or none if \a isMissing. After that time it counts as not written again.
using HoldTime = std::function<Span(const PublishedItem &known, bool isMissing)>;

ContentOrder compareEqualOnly(const PublishedItem &known, const PublishedItem &next);
Span defaultHoldTime(const PublishedItem &known, bool isMissing);

/// An item that stays as it was known in an earlier era.
struct HeldItem
{
    PublishedItem listed; ///< What the new era shows; deleted if it shows nothing.
    bool isOlder = false; ///< The content of `listed` is older, so it never replaces the known one.
    Instant until;
};

/// The items published by the platform, as bytes, with the position of each change.
///
/// A host that the platform rejects continues with this state from the other hosts. Within an era
/// an item is never replaced by an older revision. When the store comes back from an older copy, an
/// item stays as it was known until it is written again, so that what was in force stays in force.
struct PublishedState
{
    std::map<std::string, PublishedItem> items; ///< By key, including deleted items.
    StorePosition position;     ///< Every change up to here is known; zero: nothing is known.
    StorePosition newestChange; ///< Position of the newest item.
    /// Every change after this position is known, except in `gaps`: the first listing does not show
    /// what was created and deleted before it.
    StorePosition completeSince;
    std::vector<PositionGap> gaps; ///< Gaps after `completeSince`, in ascending order.

    CompareContent compare = compareEqualOnly;
    HoldTime holdTime = defaultHoldTime;
    std::uint64_t era = 0;           ///< The newest era that is known.
    Instant eraSince;                ///< When this host learned of it.
    StorePosition positionBeforeEra; ///< `position` then; zero: nothing was known.
    StorePosition firstListing;      ///< Position of the first listing of the newest listed era.
    bool isListingDue = false;       ///< What this host knows in part belongs to an earlier era.
    std::map<std::string, HeldItem> held;
    /// Items whose hold ended in this era. A host that the store turns away does not know what the
    /// era shows, and may state a later position than that of the end of the hold.
    std::set<std::string> givenUp;
    /// Messages with held items that this host still expects: it has started in this era, and knows
    /// nothing of the one before.
    std::uint32_t heldMessagesWanted = 0;
    std::uint64_t eraChanges = 0; ///< Since the start of the process.
};

/// Applies a full listing whose first page was read at \a position: items missing from it were
/// deleted, or, in a new era, may be written again. Later pages can contain later changes, but
/// others between the pages may be missing, so the listing is complete up to its first page only.
/// Returns the changed items.
std::vector<PublishedItem> applyListing(PublishedState &state,
                                        const std::vector<PublishedItem> &items,
                                        const StorePosition &position, Instant now);

/// Applies changes that this host read from the store.
std::vector<PublishedItem> applyEvents(PublishedState &state, const PublishedChanges &changes,
                                       Instant now);

/// Applies changes received from another host and returns the changed items. Nothing is applied if
/// changes in between are missing. If nothing was known, they may be the first part of the state of
/// a sender that has all changes up to \a senderPosition; deletions before that are not among them.
std::vector<PublishedItem> applyChanges(PublishedState &state, const PublishedChanges &changes,
                                        const StorePosition &senderPosition, Instant now);

/// Ends the holds whose time is over: what the era shows of these items becomes valid. Returns the
/// changed items.
std::vector<PublishedItem> endHolds(PublishedState &state, Instant now);

/// Begins the time of all holds again: the store is away, so nothing can be written again.
void postponeHolds(PublishedState &state, Instant now);

/// The held items as they were known, and what is valid instead of those that were held, for a host
/// that knows all changes up to \a position.
PublishedChanges heldChanges(const PublishedState &state, const StorePosition &position);

/// Whether this host has to ask others for what they hold or have held: it has started after items
/// were lost from the store, or it could not list the era.
bool wantsHeld(const PublishedState &state, Instant now);

/// Whether this host has to read a listing, because a new era began. Hosts of different \a turn
/// list at different moments of the first second, so that they do not all call at once.
bool needsListing(const PublishedState &state, std::uint64_t turn, Instant now);

/// Removes from a series of changes, oldest first, those that \a hasChanged reports as no change.
/// \a hasChanged compares with the state before the series, so once a key has changed in the
/// series, all its later changes are kept.
void removeUnchanged(std::vector<PublishedItem> &items,
                     const std::function<bool(const PublishedItem &)> &hasChanged);

/// Whether every change after \a position is known. A host that has read a listing does not know
/// all earlier deletions, and a host that took its changes as complete would use a deleted upstream
/// for as long as it runs. The zero position is always complete: a host that knows nothing has
/// nothing to delete.
bool isCompleteAfter(const PublishedState &state, const StorePosition &position);

/// Returns the changes, oldest first, that are missing at a host that knows all up to \a position.
PublishedChanges changesAfter(const PublishedState &state, const StorePosition &position);

/// The same for a host to which this one cannot send all deletions since \a position: returns the
/// changes after \a newestChange, the newest change that host knows. It stays at \a position, and
/// keeps requesting changes from others.
PublishedChanges newestChanges(const PublishedState &state, const StorePosition &position,
                               const StorePosition &newestChange);

} // namespace azurewell::gateway
