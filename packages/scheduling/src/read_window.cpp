#include "azurewell/scheduling/read_window.h"

#include <algorithm>

namespace azurewell {

namespace {

/// Time of the steps of a batch between two events of a stream: three steps of up to 11 ms.
constexpr Span stepsOfEvent = std::chrono::milliseconds(33);

/// Time for which a prompt counts as unread beside its reading: two messages of 3 ms between hosts,
/// the way to the engine and the steps of the first event. Without it in the window, an engine
/// would be idle for this long in each pause.
constexpr Span reportDelay = std::chrono::milliseconds(40);

/// The part of `reportDelay` that does not depend on the engine. It is left out of a sample that
/// began with an idle engine.
constexpr Span messageDelay = std::chrono::milliseconds(10);

/// The engine's own rate begins with an assumed sample of two prompts at the rate of its service.
constexpr double assumedTokens = 3000;

/// Weight factor of older samples for each new one: some eight samples count, as the speed of an
/// engine changes within a second.
constexpr double sampleDecay = 0.88;

/// Weight of a sample that began with an idle engine. It contains delays of unknown length.
constexpr double weightFromIdle = 0.25;

/// A sample is limited to this multiple of the expected time. A single report may be delayed, or
/// may follow a lost one; a slowed engine shows in several.
constexpr double maxOverExpected = 2.5;

/// Plausible range of an engine's rate relative to its service. Engines of one service differ by
/// factors of 0.7 to 1.7, and shared machines are up to 2.5 times slower.
constexpr double minOfService = 0.2;
constexpr double maxOfService = 4;

/// A report counts as lost after this multiple of the expected time and this constant: the engine
/// may have slowed down, and its host may be busy.
constexpr double expiryFactor = 3;
constexpr Span expiryDelay = std::chrono::milliseconds(300);

/// Reports of engines are up to this old: prompts that were read since still show as waiting.
constexpr Span reportAge = std::chrono::milliseconds(300);

/// Assumed size of a prompt before one was admitted.
constexpr double assumedPrompt = 1500;

constexpr double meanWeight = 0.1;

double meanPrompt(const ReadWindow &window)
{
    return window.meanTokens > 0 ? window.meanTokens : assumedPrompt;
}

double otherTokens(const ReadWindow &window, double rate, Instant now)
{
    return std::max(0.0, window.otherTokens - rate * toSeconds(now - window.otherAt));
}

auto findUnread(ReadWindow &window, const HostId &requester, std::uint64_t request)
{
    return std::find_if(window.unread.begin(), window.unread.end(), [&](const UnreadPrompt &one) {
        return one.request == request && one.requester == requester;
    });
}

/// Removes \a prompt from the window. The next sample is void if the engine may have spent time on
/// it: without a report, it is not known how much.
void erase(ReadWindow &window, std::vector<UnreadPrompt>::iterator prompt, bool wasSent)
{
    const double tokens = prompt->tokens;
    window.unread.erase(prompt);
    window.unreadTokens = window.unread.empty() ? 0 : std::max(0.0, window.unreadTokens - tokens);
    window.isSampleVoid = window.isSampleVoid || wasSent;
}

void addSample(ReadWindow &window, double tokens, double serviceRate, Instant now)
{
    if (window.readSeconds <= 0) {
        window.readTokens = assumedTokens;
        window.readSeconds = assumedTokens / serviceRate;
    }
    const double expected = tokens / readRate(window, serviceRate);
    const Span delay = window.isFromIdle ? messageDelay : Span{};
    const double elapsed = toSeconds(now - window.readSince - delay);
    // Reports may arrive together or out of order, so that only the sums of several are meaningful
    // while the engine is busy.
    const double minSeconds = window.isFromIdle ? expected / maxOverExpected : 0.0;
    const double seconds = std::clamp(elapsed, minSeconds, expected * maxOverExpected);
    const double weight = window.isFromIdle ? weightFromIdle : 1.0;
    const double decay = 1 - weight * (1 - sampleDecay);
    window.readTokens = window.readTokens * decay + weight * tokens;
    window.readSeconds = window.readSeconds * decay + weight * seconds;
}

} // namespace

double readRate(const ReadWindow &window, double serviceRate)
{
    if (window.readSeconds <= 0)
        return serviceRate;
    return std::clamp(window.readTokens / window.readSeconds, serviceRate * minOfService,
                      serviceRate * maxOfService);
}

double windowTokens(double rate, Span maxPause)
{
    const Span reading = std::max(maxPause - stepsOfEvent, Span{});
    return rate * toSeconds(reading + reportDelay);
}

double unreadTokens(const ReadWindow &window, double rate, Instant now)
{
    return window.unreadTokens + otherTokens(window, rate, now);
}

bool hasRoom(const ReadWindow &window, double tokens, double rate, Span maxPause, Instant now)
{
    const double unread = unreadTokens(window, rate, now);
    return unread <= 0 || unread + tokens <= windowTokens(rate, maxPause);
}

Span expectedRead(const ReadWindow &window, double tokensAhead, double tokens, double rate,
                  Instant now)
{
    const double total = unreadTokens(window, rate, now) + tokensAhead + tokens;
    return fromSeconds(total / rate) + reportDelay;
}

void admitUnread(ReadWindow &window, const HostId &requester, std::uint64_t request, double tokens,
                 double rate, ReadReport report, Instant sentAt, Instant now)
{
    removeUnread(window, requester, request, false);
    if (window.unread.empty()) {
        window.readSince = sentAt;
        window.isFromIdle = true;
        window.isSampleVoid = false;
    }
    const Span expected = expectedRead(window, 0, tokens, rate, now);
    const bool isReported = report == ReadReport::Expected;
    const Instant expiresAt = !isReported
            ? sentAt + expected
            : sentAt + fromSeconds(toSeconds(expected) * expiryFactor) + expiryDelay;
    window.unread.push_back({ requester, request, tokens, sentAt, expiresAt, report });
    window.unreadTokens += tokens;
    window.meanTokens = meanPrompt(window) * (1 - meanWeight) + tokens * meanWeight;
}

bool recordRead(ReadWindow &window, const HostId &requester, std::uint64_t request,
                double serviceRate, Instant now)
{
    const auto found = findUnread(window, requester, request);
    if (found == window.unread.end()) {
        // Possibly admitted by the previous coordinator.
        const double rate = readRate(window, serviceRate);
        window.otherTokens = std::max(0.0, otherTokens(window, rate, now) - meanPrompt(window));
        window.otherAt = now;
        return false;
    }
    if (!window.isSampleVoid)
        addSample(window, found->tokens, serviceRate, now);
    erase(window, found, true);
    window.readSince = now;
    window.isFromIdle = false;
    window.isSampleVoid = false;
    std::erase_if(window.recentReads, [now](Instant at) { return at + reportAge < now; });
    window.recentReads.push_back(now);
    return true;
}

bool removeUnread(ReadWindow &window, const HostId &requester, std::uint64_t request, bool wasSent)
{
    const auto found = findUnread(window, requester, request);
    if (found == window.unread.end())
        return false;
    erase(window, found, wasSent);
    return true;
}

std::size_t removeExpired(ReadWindow &window, Instant now)
{
    std::size_t lost = 0;
    for (auto one = window.unread.begin(); one != window.unread.end();) {
        if (now < one->expiresAt) {
            ++one;
            continue;
        }
        const std::ptrdiff_t index = one - window.unread.begin();
        lost += one->report == ReadReport::Expected ? 1 : 0;
        erase(window, one, true);
        one = window.unread.begin() + index;
    }
    return lost;
}

void correctByWaiting(ReadWindow &window, std::uint32_t waiting, double rate, Instant reportedAt,
                      Instant now)
{
    const auto isRecent = [now](Instant at) {
        return now <= at + reportAge;
    };
    const auto read = std::count_if(window.recentReads.begin(), window.recentReads.end(), isRecent);
    const double known = static_cast<double>(window.unread.size()) + static_cast<double>(read);
    const double others = std::max(0.0, static_cast<double>(waiting) - known);
    window.otherTokens = others * meanPrompt(window);
    window.otherAt = reportedAt;
}

} // namespace azurewell
