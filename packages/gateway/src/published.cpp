#include "azurewell/gateway/published.h"

#include <algorithm>
#include <set>

namespace azurewell::gateway {

namespace {

/// Where an item comes from: it decides whether an item of a new era is known to be a new write.
enum class ItemSource : std::uint8_t {
    Listing, ///< May be part of the copy from which the store came back.
    Event,
    Peer,
    HeldByPeer, ///< Of an earlier era; another host holds it.
};

/// An entry that expired while the store was away is back about this long after its return, if its
/// upstream is alive; messages between hosts take some time, too.
constexpr Span defaultMissingHold = std::chrono::milliseconds(2500);

/// An entry of an upstream that is gone expires within this time after the store's return, and what
/// was lost is written again by then.
constexpr Span defaultHold = std::chrono::milliseconds(5000);

/// Listings of all hosts in a new era are spread over this time.
constexpr Span listingSpread = std::chrono::milliseconds(1000);

/// By then all hosts have ended their holds, and a host that could not list the era has been told.
constexpr Span givenUpKnownAfter = std::chrono::seconds(8);

/// One of two may be lost.
constexpr std::uint32_t heldMessages = 2;

void enterEra(PublishedState &state, std::uint64_t era, Instant now)
{
    if (era <= state.era)
        return;
    if (isKnown(state.position))
        ++state.eraChanges;
    state.era = era;
    state.eraSince = now;
    state.positionBeforeEra = state.position;
    state.isListingDue = isKnown(state.position);
    state.heldMessagesWanted = isKnown(state.position) ? 0 : heldMessages;
    state.givenUp.clear();
    // The store may have lost again what has been written since the last return.
    postponeHolds(state, now);
}

void hold(PublishedState &state, const PublishedItem &known, const PublishedItem &listed,
          bool isOlder)
{
    const bool isMissing = listed.isDeleted && !known.isDeleted;
    state.held[known.key] = { listed, isOlder, state.eraSince + state.holdTime(known, isMissing) };
}

ContentOrder compareItems(const PublishedState &state, const PublishedItem &known,
                          const PublishedItem &next)
{
    if (known.isDeleted && next.isDeleted)
        return ContentOrder::Same;
    if (known.isDeleted || next.isDeleted)
        return ContentOrder::Unknown;
    return state.compare(known, next);
}

/// Whether an item of a newer era than the known one replaces it.
bool replacesEarlierEra(PublishedState &state, const PublishedItem &known,
                        const PublishedItem &next, ItemSource source, Instant now)
{
    const ContentOrder order = compareItems(state, known, next);
    if (order == ContentOrder::Same) {
        state.held.erase(known.key);
        return false;
    }
    if (order == ContentOrder::Older) {
        hold(state, known, next, true);
        return false;
    }
    const bool isMaybeCopied = source == ItemSource::Listing && order == ContentOrder::Unknown
            && next.position.revision <= state.positionBeforeEra.revision;
    if (!isMaybeCopied)
        return true;
    hold(state, known, next, false);
    return now >= state.held.at(known.key).until;
}

/// Whether an item of an earlier era, which another host holds, replaces the known one.
bool replacesLaterEra(PublishedState &state, const PublishedItem &known, const PublishedItem &next)
{
    const ContentOrder order = compareItems(state, known, next);
    const bool isListedOnly = known.position <= state.firstListing;
    if (order != ContentOrder::Newer && !(order == ContentOrder::Unknown && isListedOnly))
        return false;
    hold(state, next, known, order == ContentOrder::Newer);
    return true;
}

bool replaces(PublishedState &state, const PublishedItem &known, const PublishedItem &next,
              ItemSource source, Instant now)
{
    if (next.position.era == known.position.era)
        return next.position > known.position;
    if (next.position.era > known.position.era)
        return replacesEarlierEra(state, known, next, source, now);
    return source == ItemSource::HeldByPeer && replacesLaterEra(state, known, next);
}

/// Records that what is known was written again in a later era: other hosts may know less of it,
/// and take it for known from a host that states a later position.
bool takeRewritten(PublishedState &state, PublishedItem &known, const PublishedItem &next,
                   ItemSource source)
{
    // What a first listing of an era shows may be as old as the copy, and is in all listings.
    const bool isRewritten = source == ItemSource::Event || source == ItemSource::Peer
            || (source == ItemSource::Listing && state.position.era == next.position.era
                && next.position > state.position);
    if (!isRewritten || next.position.era <= known.position.era
        || compareItems(state, known, next) != ContentOrder::Same)
        return false;
    known.position = next.position;
    state.held.erase(known.key);
    state.newestChange = std::max(state.newestChange, next.position);
    return true;
}

/// Applies one change. Returns false if what is known is the same or newer.
bool takeItem(PublishedState &state, const PublishedItem &item, ItemSource source, Instant now)
{
    const auto [found, isNew] = state.items.try_emplace(item.key, item);
    PublishedItem &known = found->second;
    if (!isNew && takeRewritten(state, known, item, source))
        return false;
    const bool isOfEarlierEra = item.position.era < state.era;
    if (isNew && source == ItemSource::HeldByPeer && isOfEarlierEra)
        hold(state, known, { item.key, state.position, true, {} }, false);
    if (!isNew && !replaces(state, known, item, source, now))
        return false;
    known = item;
    if (source != ItemSource::HeldByPeer || !isOfEarlierEra)
        state.held.erase(item.key);
    state.newestChange = std::max(state.newestChange, item.position);
    return true;
}

/// A host that started in this era may have received items of earlier ones from others.
void includeItemsBeforeEra(PublishedState &state)
{
    for (const auto &[key, item] : state.items) {
        if (item.position.era < state.era)
            state.positionBeforeEra = std::max(state.positionBeforeEra, item.position);
    }
}

constexpr std::size_t maxGaps = 16;

void addGap(PublishedState &state, const StorePosition &to)
{
    state.gaps.push_back({ state.position, to });
    if (state.gaps.size() > maxGaps) {
        state.completeSince = state.gaps.front().to;
        state.gaps.erase(state.gaps.begin());
    }
}

/// Records that a listing has shown all items that existed at \a position.
void recordListing(PublishedState &state, const StorePosition &position)
{
    const bool isFirst = position.era > state.firstListing.era || !isKnown(state.firstListing);
    if (isFirst)
        state.firstListing = position;
    state.isListingDue = false;
    // Deletions between the position that other hosts have stated and the listing are known to the
    // store only; the watch continues there.
    const bool isPositionInEra = isKnown(state.position) && state.position.era == position.era;
    if (position <= state.position || (isFirst && isPositionInEra))
        return;
    const bool wasComplete = isKnown(state.position) && state.position >= state.completeSince;
    if (wasComplete) {
        addGap(state, position);
    } else {
        state.gaps.clear();
        state.completeSince = position;
    }
    state.position = position;
}

/// Whether an item that a listing does not show may be written again.
bool mayReturn(PublishedState &state, const PublishedItem &item, const StorePosition &listing,
               Instant now)
{
    const bool isFirstListing = listing.era > state.firstListing.era;
    if (item.position.era >= listing.era || !(isFirstListing || state.held.contains(item.key)))
        return false;
    return now < state.eraSince + state.holdTime(item, true);
}

} // namespace

ContentOrder compareEqualOnly(const PublishedItem &known, const PublishedItem &next)
{
    return known.value == next.value ? ContentOrder::Same : ContentOrder::Unknown;
}

Span defaultHoldTime(const PublishedItem & /*known*/, bool isMissing)
{
    return isMissing ? defaultMissingHold : defaultHold;
}

bool isCompleteAfter(const PublishedState &state, const StorePosition &position)
{
    const bool isInGap = std::any_of(
            state.gaps.begin(), state.gaps.end(),
            [&](const PositionGap &gap) { return position > gap.from && position < gap.to; });
    return !isKnown(position) || (position >= state.completeSince && !isInGap);
}

std::vector<PublishedItem> applyListing(PublishedState &state,
                                        const std::vector<PublishedItem> &items,
                                        const StorePosition &position, Instant now)
{
    enterEra(state, position.era, now);
    includeItemsBeforeEra(state);
    std::vector<PublishedItem> changed;
    std::set<std::string> listed;
    for (const PublishedItem &item : items) {
        listed.insert(item.key);
        if (takeItem(state, item, ItemSource::Listing, now))
            changed.push_back(item);
    }
    for (auto &[key, item] : state.items) {
        if (listed.contains(key) || item.position >= position)
            continue;
        if (item.isDeleted) {
            state.held.erase(key);
            continue;
        }
        const PublishedItem missing{ key, position, true, {} };
        if (mayReturn(state, item, position, now)) {
            hold(state, item, missing, false);
            continue;
        }
        item = missing;
        state.held.erase(key);
        state.newestChange = std::max(state.newestChange, position);
        changed.push_back(item);
    }
    recordListing(state, position);
    return changed;
}

std::vector<PublishedItem> applyEvents(PublishedState &state, const PublishedChanges &changes,
                                       Instant now)
{
    enterEra(state, changes.upTo.era, now);
    std::vector<PublishedItem> changed;
    for (const PublishedItem &item : changes.items) {
        if (takeItem(state, item, ItemSource::Event, now))
            changed.push_back(item);
    }
    state.position = std::max(state.position, changes.upTo);
    return changed;
}

std::vector<PublishedItem> applyChanges(PublishedState &state, const PublishedChanges &changes,
                                        const StorePosition &senderPosition, Instant now)
{
    if (changes.after > state.position)
        return {};
    const ItemSource source = changes.isHeld ? ItemSource::HeldByPeer : ItemSource::Peer;
    std::vector<PublishedItem> changed;
    enterEra(state, changes.upTo.era, now);
    for (const PublishedItem &item : changes.items) {
        enterEra(state, item.position.era, now);
        if (takeItem(state, item, source, now))
            changed.push_back(item);
    }
    if (changes.isHeld) {
        state.heldMessagesWanted -= std::min(state.heldMessagesWanted, 1U);
        state.isListingDue = state.firstListing.era < state.era;
        return changed;
    }
    if (!isKnown(state.position))
        state.completeSince = std::max(changes.upTo, senderPosition);
    else if (changes.upTo.era > state.position.era)
        addGap(state, changes.upTo); // the sender may have begun the era with a listing
    state.position = std::max(state.position, changes.upTo);
    return changed;
}

std::vector<PublishedItem> endHolds(PublishedState &state, Instant now)
{
    std::vector<PublishedItem> changed;
    for (auto entry = state.held.begin(); entry != state.held.end();) {
        const HeldItem &held = entry->second;
        if (now < held.until) {
            ++entry;
            continue;
        }
        if (!held.isOlder) {
            PublishedItem &item = state.items[entry->first];
            item = held.listed;
            item.position = std::max(item.position, state.position);
            state.newestChange = std::max(state.newestChange, item.position);
            state.givenUp.insert(item.key);
            changed.push_back(item);
        }
        entry = state.held.erase(entry);
    }
    return changed;
}

PublishedChanges heldChanges(const PublishedState &state, const StorePosition &position)
{
    PublishedChanges changes{ position, position, {}, true };
    for (const auto &[key, held] : state.held)
        changes.items.push_back(state.items.at(key));
    for (const std::string &key : state.givenUp)
        changes.items.push_back(state.items.at(key));
    return changes;
}

bool wantsHeld(const PublishedState &state, Instant now)
{
    const bool isWithoutListing = state.firstListing.era < state.era
            && now < state.eraSince + givenUpKnownAfter;
    return state.heldMessagesWanted > 0 || isWithoutListing;
}

void postponeHolds(PublishedState &state, Instant now)
{
    for (auto &[key, held] : state.held) {
        const Span holdTime = state.holdTime(state.items.at(key), held.listed.isDeleted);
        held.until = std::max(held.until, now + holdTime);
    }
}

bool needsListing(const PublishedState &state, std::uint64_t turn, Instant now)
{
    if (!state.isListingDue)
        return false;
    const std::uint64_t spread = static_cast<std::uint64_t>(listingSpread.count());
    return now >= state.eraSince + Span{ static_cast<std::int64_t>(turn % spread) };
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

PublishedChanges newestChanges(const PublishedState &state, const StorePosition &position,
                               const StorePosition &newestChange)
{
    PublishedChanges changes = changesAfter(state, std::max(position, newestChange));
    changes.after = position;
    changes.upTo = position;
    return changes;
}

PublishedChanges changesAfter(const PublishedState &state, const StorePosition &position)
{
    PublishedChanges changes{ position, state.position, {} };
    for (const auto &[key, item] : state.items) {
        if (item.position > position)
            changes.items.push_back(item);
    }
    std::sort(
            changes.items.begin(), changes.items.end(),
            [](const PublishedItem &a, const PublishedItem &b) { return a.position < b.position; });
    return changes;
}

} // namespace azurewell::gateway
