#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <vector>

namespace azurewell {

/// Whether a host reports that a prompt was read.
enum class ReadReport : std::uint8_t {
    Expected,
    None, ///< The prompt counts as read after the expected time.
};

/// A prompt that was admitted at an engine and is not known to be read (prefilled) yet.
struct UnreadPrompt
{
    HostId requester;
    std::uint64_t request = 0; ///< Its number at the requester.
    double tokens = 0;
    Instant admittedAt;
    Instant expiresAt; ///< Counts as read then: without a report, or as it was presumably lost.
    ReadReport report = ReadReport::Expected;
};

/// Limits the admitted unread prompts of one engine, and learns how fast it reads.
///
/// Load pattern: many hosts, each of which sees a small part of the load, send prompts to one
/// engine. Unread prompts delay the steps of its batch, and with them the events of all its
/// streams. An estimate without feedback either exceeds what the engine reads, and grows without
/// bound, or leaves it idle: engines of one service differ in speed by a factor of 2.4 and slow
/// down by 2.5 within a second. Therefore a prompt counts as unread until its first event is
/// reported, and the rate is that at which reports arrive.
struct ReadWindow
{
    std::vector<UnreadPrompt> unread; ///< In the order of admission.
    double unreadTokens = 0;          ///< Their sum.
    double readTokens = 0;            ///< Decayed sums over the reports, with the initial samples.
    double readSeconds = 0;
    double meanTokens = 0;     ///< Moving average over admitted prompts; 0: none yet.
    Instant readSince;         ///< Start of the time that the next report accounts for.
    bool isFromIdle = true;    ///< Nothing was unread before `readSince`.
    bool isSampleVoid = false; ///< Part of the time since went to prompts that nobody reported.
    double otherTokens = 0;    ///< Unread prompts that were not admitted here, at `otherAt`.
    Instant otherAt;
    std::vector<Instant> recentReads; ///< Times of the last reports; see correctByWaiting().
};

/// The prompt tokens that the engine reads per second beside its batch; \a serviceRate, that of its
/// service, before the first report.
double readRate(const ReadWindow &window, double serviceRate);

/// The unread tokens that an engine with \a rate may have, so that its streams pause for no longer
/// than \a maxPause.
double windowTokens(double rate, Span maxPause);

/// Unread tokens at \a now, including those of prompts that were not admitted here.
double unreadTokens(const ReadWindow &window, double rate, Instant now);

/// Whether \a tokens more may be admitted. At least one prompt may, whatever its size.
bool hasRoom(const ReadWindow &window, double tokens, double rate, Span maxPause, Instant now);

/// The time from \a now until the engine has read a prompt of \a tokens that is admitted after
/// \a tokensAhead, which wait for admission.
Span expectedRead(const ReadWindow &window, double tokensAhead, double tokens, double rate,
                  Instant now);

/// Adds a prompt that is sent at \a sentAt.
void admitUnread(ReadWindow &window, const HostId &requester, std::uint64_t request, double tokens,
                 double rate, ReadReport report, Instant sentAt, Instant now);

/// Records that the engine has read a prompt. False if it is not unread here.
bool recordRead(ReadWindow &window, const HostId &requester, std::uint64_t request,
                double serviceRate, Instant now);

/// Removes a prompt that was not sent, or if \a wasSent whose attempt ended without an answer.
/// False if it is not unread here.
bool removeUnread(ReadWindow &window, const HostId &requester, std::uint64_t request, bool wasSent);

/// Removes the prompts that count as read without a report, and returns the number of those whose
/// reports were presumably lost.
std::size_t removeExpired(ReadWindow &window, Instant now);

/// Estimates the unread prompts that were not admitted here from the number of requests that wait
/// for their first token at the engine, as its report stated at \a reportedAt. A new coordinator
/// knows no admitted prompts, and prompts are sent without admission while messages are lost.
void correctByWaiting(ReadWindow &window, std::uint32_t waiting, double rate, Instant reportedAt,
                      Instant now);

} // namespace azurewell
