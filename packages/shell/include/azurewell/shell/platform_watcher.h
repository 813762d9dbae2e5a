#pragma once

#include "azurewell/host/events.h"
#include "azurewell/http/clock.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QNetworkReply>

#include <functional>

namespace azurewell {

/// Reads the configuration service: the tickets and the host list.
///
/// Keys: `<prefix>/tickets/head` holds the newest ticket's number, `<prefix>/tickets/<n>` each
/// ticket, `<prefix>/hosts` the list; `<prefix>/tickets/snapshot` says of which ticket and of how
/// many segments the newest snapshot is, `<prefix>/tickets/segments/<ticket>/<n>` holds each.
/// `head` and `hosts` are watched by blocking reads, as Consul's KV offers them; one call in ten
/// seconds while nothing changes.
class PlatformWatcher : public QObject
{
public:
    using Read = std::function<void(const Event &)>;
    using TicketInForce = std::function<TicketNumber()>;
    using ReadDelay = std::function<Span(TicketNumber)>;

    PlatformWatcher(const Settings &settings, TicketInForce inForce, ReadDelay readDelay,
                    Read read);
    void start();

private:
    /// A key that is watched.
    struct Watch
    {
        QString key;
        QByteArray index = "0";
        bool isProbe = false; ///< The last read failed: the next one is answered at once.
        std::function<void(const QByteArray &)> changed;
    };

    void watch(Watch &watch);
    void headRead(const QByteArray &value);
    void hostsAnswered();
    void readSnapshotIndex();
    void readSegment(std::uint64_t ticket, std::uint32_t segment, std::uint32_t count);
    void readNextTicketAfter(int millis);
    void readNextTicket();
    void hostsRead(const QByteArray &value);
    /// \a waitMillis: how long the service may hold the read.
    QNetworkReply *get(const QString &key, const QByteArray &query, int waitMillis);

    const Settings &settings;
    TicketInForce inForce;
    ReadDelay readDelay;
    Read read;
    QNetworkAccessManager access;
    Watch head;
    Watch hosts;
    std::uint64_t newest = 0;
    bool isReadingTicket = false;
    bool isHeadWatched = false;
    bool isSnapshotTried = false;
};

/// The host list from its JSON. Errors: MalformedBody.
Result<HostListRead> parseHostList(std::string_view text);

} // namespace azurewell
