#pragma once

#include "azurewell/units/endpoint.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <map>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// Another host, as far as this one has heard of it.
struct Member
{
    HostId id;
    ZoneId zone;
    Endpoint address; ///< Of its messages.
    Incarnation incarnation;
    Instant heardAt;        ///< Its last message, received here.
    Instant aliveAt;        ///< The same, or what others told of its last message to them.
    bool isLeaving = false; ///< It said that it stops.
    bool wasHeard = false;  ///< At the last look; see Members::changedAt.
};

/// A member that was not heard for this long is taken for lost: four messages in a row. Messages
/// over UDP are lost occasionally, one in forty on a bad link.
inline constexpr Span silentAfter = std::chrono::milliseconds(1100);

/// Between two looks at the members: with a longer gap this process did not run.
inline constexpr Span pausedAfter = std::chrono::milliseconds(300);

/// A member is forgotten after this. Until then it may be alive behind a cut, using its part of the
/// customers' rates and its orders to engines.
inline constexpr Span forgottenAfter = std::chrono::seconds(45);

struct Members
{
    HostId self;
    ZoneId zone;
    std::map<HostId, Member> others;
    Instant lookedAt;  ///< The last updateMembers().
    Instant changedAt; ///< A host began or ceased to be heard, or this one was paused.
};

bool isHeard(const Member &member, Instant now);

/// Notes a message of \a member. False where it is of an earlier incarnation than one that is
/// known.
bool noteMember(Members &members, const Member &member);

/// Notes that somebody else heard \a member at `heardAt`. One that is not known here is written to
/// and counts when it answers; of one that is known it tells that it lives, though it may not be
/// heard here.
void noteRumour(Members &members, const Member &member);

/// To be called at each tick: notes who is heard no more, and forgets who has been silent for long.
void updateMembers(Members &members, Instant now);

/// Others that are heard and do not leave.
std::size_t countHeard(const Members &members, Instant now);

/// Others that may be alive: heard, or silent without having said that they leave.
std::size_t countKnown(const Members &members);

/// Whether a host that did not say that it leaves is silent. It may be alive behind a cut.
bool isAnySilent(const Members &members, Instant now);

/// The hosts of \a zone, this one included, that might give orders there, by their rank for \a key;
/// hosts of other zones follow after all of them. Silent hosts are included.
std::vector<HostId> rankedHosts(const Members &members, const ZoneId &zone, std::string_view key);

/// Whether \a host is this one, or one that this host or another one hears.
bool isAlive(const Members &members, const HostId &host, Instant now);

} // namespace azurewell::gateway
