#pragma once

#include "azurewell/http/listen_socket.h"
#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace azurewell {

/// A connection whose first request is unread.
struct UnreadCaller
{
    UniqueFd connection;
    Instant acceptedAt;
};

/// Of the callers whose requests were read lately.
struct WaitSample
{
    std::uint32_t stayed = 0;
    std::uint32_t left = 0;
    Span longestStay{};
    Span shortestLeaving{}; ///< Of those that left, if any.
    Instant beganAt;
};

/// Connections that wait until the host has processor time to read their requests.
///
/// Load pattern: more callers connect than the host has processor time for, for instance because a
/// load balancer sends it most connections of a zone. Without a limit it reads each request later
/// than the one before, and soon only after its caller has given up: it is busy and serves nobody,
/// and so it stays until the load falls far below what it can bear. With a limit of its own passes
/// in place of the callers' patience it turns away callers whom it would have answered in time.
/// So the queue is as long as callers wait at the rate at which the host reads. A queue that
/// stands for longer than that makes all wait and serves nobody more: it becomes short, so that
/// those who are served are served soon.
struct AcceptQueue
{
    std::deque<UnreadCaller> waiting; ///< Oldest first.
    Span usualObjective{};            ///< Nine of ten callers want no earlier answer.
    Span usualDeadline{};             ///< Nine of ten callers have more time; 0: not known.
    Span usualSpare{};                ///< Nine of ten could be read later, and answered in time.
    Span usualWait{};                 ///< Nine of ten callers wait longer unread; 0: not known.
    WaitSample sample;                ///< From which the usual wait is learned.
    double read = 0;                  ///< Requests begun while other callers waited.
    double readingSeconds = 0;        ///< In which they were.
    Instant rateKnownUntil;           ///< Until then they say how fast the host reads.
    Instant standingSince;            ///< Since then callers have waited long; 0: they have not.
    Instant backloggedSince;    ///< When the last slice left callers waiting; 0: it left none.
    std::uint32_t tellable = 0; ///< Callers that may be told that they are turned away.
};

/// Notes that a caller whose request was read wants its answer within \a objective, and gives up
/// after \a deadline.
void learnDeadline(AcceptQueue &queue, Span objective, Span deadline);

/// Notes that a request could have been read after \a span in the queue and answered in time.
void learnSpare(AcceptQueue &queue, Span span);

/// Notes that the request of a caller was read after \a waited, or that the caller \a hasLeft
/// before it was read.
void learnWait(AcceptQueue &queue, Span waited, bool hasLeft, Instant now);

/// Whether a connection that is added now would be read in time, as far as is known.
bool hasRoom(const AcceptQueue &queue, Instant now);

/// How many of the newest connections will not be read in time any more.
std::size_t countExcess(const AcceptQueue &queue, Instant now);

/// Whether \a caller has waited too long to be answered in time.
bool isOverdue(const AcceptQueue &queue, const UnreadCaller &caller, Instant now);

/// Ends a slice of time in which \a read requests of callers from the queue were begun.
void endSlice(AcceptQueue &queue, std::uint32_t read, Instant now);

/// Whether the next caller that is turned away is told so. A host tells as many as it reads, so
/// that telling takes little of its time at any load.
bool takeTelling(AcceptQueue &queue);

/// The time in which what waits now will have been read; 0: not known.
Span expectedWait(const AcceptQueue &queue, Instant now);

} // namespace azurewell
