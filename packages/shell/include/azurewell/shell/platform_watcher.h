#pragma once

#include "azurewell/host/events.h"
#include "azurewell/http/clock.h"
#include "azurewell/shell/bounded_calls.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

#include <chrono>
#include <functional>
#include <optional>

namespace azurewell {

/// Reads tickets and the host list from the configuration service.
///
/// Keys: `<prefix>/tickets/head` holds the newest ticket's number, `<prefix>/tickets/<n>` each
/// ticket and `<prefix>/hosts` the host list. `<prefix>/tickets/snapshot` holds the ticket number
/// and the segment count of the newest snapshot, `<prefix>/tickets/segments/<ticket>/<n>` each
/// segment. `head` and `hosts` are watched by blocking reads as in Consul's KV store: one call per
/// ten seconds while nothing changes.
class PlatformWatcher : public QObject
{
public:
    using EventHandler = std::function<void(const Event &)>;
    using CurrentTicket = std::function<TicketNumber()>;
    using ReadDelay = std::function<Span(TicketNumber)>;

    PlatformWatcher(const Settings &settings, CurrentTicket inForce, ReadDelay readDelay,
                    EventHandler handleEvent);
    void start();

private:
    /// A watched key.
    struct Watch
    {
        QString key;
        QByteArray index = "0";
        bool isProbe = false; ///< The last read failed; the next one does not block.
        std::function<void(const QByteArray &)> changed;
    };

    void watch(Watch &watch);
    void handleWatched(Watch &watch, const std::optional<CallAnswer> &answer);
    void handleHead(const QByteArray &value);
    void startHeadWatch();
    void readSnapshotIndex();
    void readSegment(std::uint64_t ticket, std::uint32_t segment, std::uint32_t count);
    void readNextTicketAfter(std::chrono::milliseconds delay);
    void readNextTicket();
    void handleHostList(const QByteArray &value);
    /// \a wait: how long the service may block the read.
    void get(const QString &key, const QByteArray &query, Span wait, HttpCalls::Handler handler);

    const Settings &settings;
    CurrentTicket inForce;
    ReadDelay readDelay;
    EventHandler handleEvent;
    BoundedCalls calls;
    Watch head;
    Watch hosts;
    std::uint64_t newestTicket = 0;
    bool isReadingTicket = false;
    bool isWatchingHead = false;
    bool isSnapshotRequested = false;
};

/// Parses the host list from JSON. Errors: MalformedBody.
Result<HostListRead> parseHostList(std::string_view text);

} // namespace azurewell
