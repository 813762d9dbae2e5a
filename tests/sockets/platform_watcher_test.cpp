#include "azurewell/shell/platform_watcher.h"

#include <QtCore/QCoreApplication>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

#include <variant>

namespace azurewell::tests {

namespace {

/// A configuration service with one ticket (a numbered change of the configuration) and no hosts.
/// It never answers the first calls for one key.
class UnresponsiveService : public QTcpServer
{
public:
    UnresponsiveService(const QByteArray &key, int ignoredCalls)
        : ignoredKey(key)
        , callsToIgnore(ignoredCalls)
    {
        this->listen(QHostAddress::LocalHost, 0);
        QObject::connect(this, &QTcpServer::newConnection, this, [this] { this->accept(); });
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->serverPort());
    }

private:
    void accept()
    {
        QTcpSocket *socket = this->nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, this,
                         [this, socket] { this->answer(socket); });
    }

    void answer(QTcpSocket *socket)
    {
        const QByteArray head = socket->readAll();
        if (head.contains(this->ignoredKey) && this->callsToIgnore > 0) {
            --this->callsToIgnore;
            return;
        }
        if (head.contains("index=1")) // long poll; the data does not change again
            return;
        QByteArray body = "1";
        if (head.contains("/hosts"))
            body = R"({"hosts": [], "upstreams": []})";
        if (head.contains("/tickets/1"))
            body = "{}";
        socket->write("HTTP/1.1 200 OK\r\nX-Consul-Index: 1\r\nContent-Length: "
                      + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    }

    QByteArray ignoredKey;
    int callsToIgnore;
};

/// The time that a starting host needs to read the ticket, at most about \a timeout.
Span timeUntilTicketIsRead(const UnresponsiveService &service, Span timeout)
{
    Settings settings = parseSettings(defaultSettingsText()).value();
    settings.platform = service.url(); // address of the configuration service
    TicketNumber inForce;
    PlatformWatcher watcher(
            settings, [&] { return inForce; }, [](TicketNumber) { return Span{}; },
            [&](const Event &event) {
                if (std::holds_alternative<TicketRead>(event))
                    inForce = TicketNumber{ 1 };
            });
    const Instant begin = monotonicNow();
    watcher.start();
    while (inForce.value == 0 && monotonicNow() - begin < timeout)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
    return monotonicNow() - begin;
}

/// Limit for the whole start. A confirmed ticket must be in force after 16 s; a blocked watch that
/// is never answered takes 11.5 s of that (10 s of waiting, 1.5 s of timeout). The rest must
/// suffice for a retry after 1 s and two reads of up to 1.5 s each.
constexpr Span maxStartTime = std::chrono::seconds(4);

// Guards against a read that the configuration service never answers, which blocked all tickets
// until its connection timed out.
TEST(PlatformWatcherTest, AnUnansweredReadOfATicketIsRetriedWithinFourSeconds)
{
    const UnresponsiveService service("/tickets/1?", 1);
    EXPECT_LT(timeUntilTicketIsRead(service, 2 * maxStartTime), maxStartTime);
}

// Guards against a first read of the host list that is never answered and not retried: tickets are
// read only once the host list is known.
TEST(PlatformWatcherTest, AnUnansweredReadOfTheHostListIsRetriedWithinFourSeconds)
{
    const UnresponsiveService service("/hosts", 1);
    EXPECT_LT(timeUntilTicketIsRead(service, 2 * maxStartTime), maxStartTime);
}

} // namespace

} // namespace azurewell::tests
