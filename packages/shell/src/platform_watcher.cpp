#include "azurewell/shell/platform_watcher.h"

#include "azurewell/logging/log.h"
#include "azurewell/tickets/json_reader.h"
#include "azurewell/tickets/snapshot.h"

#include <utility>

namespace azurewell {

namespace {

/// Limit for a confirmed ticket to be in force on all hosts.
constexpr int propagationTimeoutMillis = 16'000;

constexpr int retryDelayMillis = 1000;
constexpr int watchSeconds = 10;

/// Timeout of a read, in addition to the time that the service may block it.
constexpr int responseSlackMillis = 1500;

// An unresponsive service looks like one without changes: the watch, the first read after it and
// the read of the ticket must all end within the limit.
static_assert(watchSeconds * 1000 + 3 * responseSlackMillis + retryDelayMillis
              < propagationTimeoutMillis);

} // namespace

Result<HostListRead> parseHostList(std::string_view text)
{
    const Result<nlohmann::json> json = parseJsonWithComments(text, ResultCode::MalformedBody);
    if (!json)
        return json.error();
    std::string complaint;
    JsonReader reader(json.value(), "", complaint);
    HostListRead list;
    for (JsonReader &host : reader.objects("hosts")) {
        list.hosts.push_back(ListedHost{ HostId{ host.text("id") }, ZoneId{ host.text("zone") },
                                         host.text("address"),
                                         host.text("state", "live") == "leaving" });
    }
    for (JsonReader &upstream : reader.objects("upstreams"))
        list.upstreams.push_back(ListedUpstream{ UpstreamId{ upstream.text("id") },
                                                 upstream.text("state", "live") == "leaving" });
    if (!complaint.empty())
        return Error{ ResultCode::MalformedBody, complaint };
    return list;
}

PlatformWatcher::PlatformWatcher(const Settings &hostSettings, CurrentTicket currentTicket,
                                 ReadDelay delay, EventHandler onEvent)
    : settings(hostSettings)
    , inForce(std::move(currentTicket))
    , readDelay(std::move(delay))
    , handleEvent(std::move(onEvent))
{
    this->access.setProxy(QNetworkProxy::NoProxy);
    this->head.key = "tickets/head";
    this->head.changed = [this](const QByteArray &value) {
        this->handleHead(value);
    };
    this->hosts.key = "hosts";
    this->hosts.changed = [this](const QByteArray &value) {
        this->handleHostList(value);
    };
}

void PlatformWatcher::start()
{
    this->watch(this->hosts);
}

/// Starts reading tickets once the host list is known: a starting host must query other hosts
/// before it trusts a configuration service that may be stale.
void PlatformWatcher::startHeadWatch()
{
    if (std::exchange(this->isWatchingHead, true))
        return;
    this->watch(this->head);
}

QNetworkReply *PlatformWatcher::get(const QString &key, const QByteArray &query, int waitMillis)
{
    const QString url = QString::fromStdString(this->settings.platform + "/v1/kv/"
                                               + this->settings.keyPrefix + "/")
            + key + "?raw" + QString::fromUtf8(query);
    QNetworkRequest request{ QUrl(url) };
    request.setTransferTimeout(waitMillis + responseSlackMillis);
    return this->access.get(request);
}

void PlatformWatcher::watch(Watch &watch)
{
    const bool isWaiting = watch.index != "0" && !watch.isProbe;
    const QByteArray known = isWaiting ? watch.index : QByteArray("0");
    QNetworkReply *reply = this->get(
            watch.key, "&index=" + known + "&wait=" + QByteArray::number(watchSeconds) + 's',
            isWaiting ? watchSeconds * 1000 : 0);
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, &watch] {
        reply->deleteLater();
        watch.isProbe = reply->error() != QNetworkReply::NoError;
        if (watch.isProbe) {
            writeLog(LogLevel::Debug, "platform_unreachable",
                     { { "key", watch.key.toStdString() } });
            QTimer::singleShot(retryDelayMillis, this, [this, &watch] { this->watch(watch); });
            return;
        }
        this->handleEvent(PlatformResponded{});
        const QByteArray index = reply->rawHeader("X-Consul-Index");
        const bool hasChanged = index != watch.index;
        watch.index = index.isEmpty() ? QByteArray("0") : index;
        if (hasChanged)
            watch.changed(reply->readAll());
        this->watch(watch);
    });
}

void PlatformWatcher::handleHead(const QByteArray &value)
{
    // A service that reverts to an older index returns an older head; tickets in force stay in
    // force.
    this->newestTicket = std::max<std::uint64_t>(this->newestTicket, value.trimmed().toULongLong());
    const bool isFresh = this->inForce().value == 0 && this->newestTicket > 1;
    if (isFresh && !std::exchange(this->isSnapshotRequested, true)) {
        this->readSnapshotIndex();
        return;
    }
    const TicketNumber next{ this->inForce().value + 1 };
    this->readNextTicketAfter(static_cast<int>(toSeconds(this->readDelay(next)) * 1000));
}

void PlatformWatcher::readSnapshotIndex()
{
    this->isReadingTicket = true;
    QNetworkReply *reply = this->get("tickets/snapshot", {}, 0);
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply] {
        reply->deleteLater();
        this->isReadingTicket = false;
        const bool isPresent = reply->error() == QNetworkReply::NoError;
        const Result<SnapshotIndex> index = parseSnapshotIndex(reply->readAll().toStdString());
        if (isPresent && index)
            this->readSegment(index.value().ticket.value, 0, index.value().segments);
        else // no snapshot is published: read all tickets from the first
            this->readNextTicket();
    });
}

void PlatformWatcher::readSegment(std::uint64_t ticket, std::uint32_t segment, std::uint32_t count)
{
    if (segment >= count || this->inForce().value >= ticket) { // may have been received from a peer
        this->readNextTicket();
        return;
    }
    this->isReadingTicket = true;
    QNetworkReply *reply = this->get(QString("tickets/segments/%1/%2").arg(ticket).arg(segment), {},
                                     0);
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, ticket, segment, count] {
        reply->deleteLater();
        this->isReadingTicket = false;
        const bool isRead = reply->error() == QNetworkReply::NoError;
        if (isRead)
            this->handleEvent(SnapshotRead{ reply->readAll().toStdString() });
        this->readSegment(ticket, isRead ? segment + 1 : count, count);
    });
}

void PlatformWatcher::readNextTicketAfter(int millis)
{
    QTimer::singleShot(millis, this, [this] { this->readNextTicket(); });
}

void PlatformWatcher::readNextTicket()
{
    const std::uint64_t next = this->inForce().value + 1;
    if (this->isReadingTicket || next > this->newestTicket)
        return;
    this->isReadingTicket = true;
    QNetworkReply *reply = this->get("tickets/" + QString::number(next), {}, 0);
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, next] {
        reply->deleteLater();
        this->isReadingTicket = false;
        if (reply->error() == QNetworkReply::NoError)
            this->handleEvent(TicketRead{ reply->readAll().toStdString() });
        const bool isApplied = this->inForce().value >= next;
        this->readNextTicketAfter(isApplied ? 0 : retryDelayMillis);
    });
}

void PlatformWatcher::handleHostList(const QByteArray &value)
{
    const Result<HostListRead> list = parseHostList(value.toStdString());
    if (!list) {
        writeLog(LogLevel::Warning, "host_list_refused", { { "reason", list.error().detail } });
        return;
    }
    this->handleEvent(list.value());
    this->startHeadWatch();
}

} // namespace azurewell
