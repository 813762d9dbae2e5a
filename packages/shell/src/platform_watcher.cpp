#include "azurewell/shell/platform_watcher.h"

#include "azurewell/shell/log.h"
#include "azurewell/tickets/json_reader.h"

namespace azurewell {

namespace {

constexpr int pauseAfterFailureMillis = 1000;
constexpr int watchSeconds = 10;
/// A watch that is not answered by then has gone silent, and is opened again.
constexpr int watchTimeoutMillis = (watchSeconds + 5) * 1000;

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

PlatformWatcher::PlatformWatcher(const Settings &hostSettings, TicketInForce ticketInForce,
                                 Read onRead)
    : settings(hostSettings)
    , inForce(std::move(ticketInForce))
    , read(std::move(onRead))
{
    this->access.setProxy(QNetworkProxy::NoProxy);
    this->head.key = "tickets/head";
    this->head.changed = [this](const QByteArray &value) {
        this->headRead(value);
    };
    this->hosts.key = "hosts";
    this->hosts.changed = [this](const QByteArray &value) {
        this->hostsRead(value);
    };
}

void PlatformWatcher::start()
{
    this->watch(this->hosts);
    this->watch(this->head);
}

QNetworkReply *PlatformWatcher::get(const QString &key, const QByteArray &query)
{
    const QString url = QString::fromStdString(this->settings.platform + "/v1/kv/"
                                               + this->settings.keyPrefix + "/")
            + key + "?raw" + QString::fromUtf8(query);
    QNetworkRequest request{ QUrl(url) };
    request.setTransferTimeout(watchTimeoutMillis);
    return this->access.get(request);
}

void PlatformWatcher::watch(Watch &watch)
{
    QNetworkReply *reply = this->get(
            watch.key, "&index=" + watch.index + "&wait=" + QByteArray::number(watchSeconds) + 's');
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, &watch] {
        reply->deleteLater();
        if (reply->error() != QNetworkReply::NoError) {
            writeLog(LogLevel::Debug, "platform_unreachable",
                     { { "key", watch.key.toStdString() } });
            QTimer::singleShot(pauseAfterFailureMillis, this,
                               [this, &watch] { this->watch(watch); });
            return;
        }
        this->read(PlatformHeard{});
        const QByteArray index = reply->rawHeader("X-Consul-Index");
        const bool hasChanged = index != watch.index;
        watch.index = index.isEmpty() ? QByteArray("0") : index;
        if (hasChanged)
            watch.changed(reply->readAll());
        this->watch(watch);
    });
}

void PlatformWatcher::headRead(const QByteArray &value)
{
    // A service that goes back to an older index shows an older head; what is in force stays.
    this->newest = std::max<std::uint64_t>(this->newest, value.trimmed().toULongLong());
    this->readNextTicket();
}

void PlatformWatcher::readNextTicket()
{
    const std::uint64_t next = this->inForce().value + 1;
    if (this->isReadingTicket || next > this->newest)
        return;
    this->isReadingTicket = true;
    QNetworkReply *reply = this->get("tickets/" + QString::number(next), {});
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, next] {
        reply->deleteLater();
        this->isReadingTicket = false;
        if (reply->error() == QNetworkReply::NoError)
            this->read(TicketRead{ reply->readAll().toStdString() });
        const bool isApplied = this->inForce().value >= next;
        QTimer::singleShot(isApplied ? 0 : pauseAfterFailureMillis, this,
                           [this] { this->readNextTicket(); });
    });
}

void PlatformWatcher::hostsRead(const QByteArray &value)
{
    const Result<HostListRead> list = parseHostList(value.toStdString());
    if (!list) {
        writeLog(LogLevel::Warning, "host_list_refused", { { "reason", list.error().detail } });
        return;
    }
    this->read(list.value());
}

} // namespace azurewell
