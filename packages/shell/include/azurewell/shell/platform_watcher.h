#pragma once

#include "azurewell/host/events.h"
#include "azurewell/shell/clock.h"
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
/// ticket,
/// `<prefix>/hosts` the list. `head` and `hosts` are watched by blocking reads, as Consul's KV
/// offers them; one call in ten seconds while nothing changes.
class PlatformWatcher : public QObject
{
public:
    using Read = std::function<void(const Event &)>;
    using TicketInForce = std::function<TicketNumber()>;

    PlatformWatcher(const Settings &settings, TicketInForce inForce, Read read);
    void start();

private:
    /// A key that is watched.
    struct Watch
    {
        QString key;
        QByteArray index = "0";
        std::function<void(const QByteArray &)> changed;
    };

    void watch(Watch &watch);
    void headRead(const QByteArray &value);
    void readNextTicket();
    void hostsRead(const QByteArray &value);
    QNetworkReply *get(const QString &key, const QByteArray &query);

    const Settings &settings;
    TicketInForce inForce;
    Read read;
    QNetworkAccessManager access;
    Watch head;
    Watch hosts;
    std::uint64_t newest = 0;
    bool isReadingTicket = false;
};

/// The host list from its JSON. Errors: MalformedBody.
Result<HostListRead> parseHostList(std::string_view text);

} // namespace azurewell
