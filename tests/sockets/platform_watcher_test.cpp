#include "azurewell/shell/platform_watcher.h"

#include <QtCore/QCoreApplication>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

#include <variant>

namespace azurewell::tests {

namespace {

/// A configuration service with one ticket and no hosts. It takes the first calls for one key and
/// never answers them.
class SilentOnce : public QTcpServer
{
public:
    SilentOnce(const QByteArray &silentKey, int silentCalls)
        : silentFor(silentKey)
        , callsToSwallow(silentCalls)
    {
        this->listen(QHostAddress::LocalHost, 0);
        QObject::connect(this, &QTcpServer::newConnection, this, [this] { this->take(); });
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->serverPort());
    }

private:
    void take()
    {
        QTcpSocket *socket = this->nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, this,
                         [this, socket] { this->answer(socket); });
    }

    void answer(QTcpSocket *socket)
    {
        const QByteArray head = socket->readAll();
        if (head.contains(this->silentFor) && this->callsToSwallow > 0) {
            --this->callsToSwallow;
            return;
        }
        if (head.contains("index=1")) // nothing changes any more
            return;
        QByteArray body = "1";
        if (head.contains("/hosts"))
            body = R"({"hosts": [], "upstreams": []})";
        if (head.contains("/tickets/1"))
            body = "{}";
        socket->write("HTTP/1.1 200 OK\r\nX-Consul-Index: 1\r\nContent-Length: "
                      + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    }

    QByteArray silentFor;
    int callsToSwallow;
};

/// How long a host that starts needs to read the ticket; \a most, if it does not by then.
Span untilTicketIsRead(const SilentOnce &service, Span most)
{
    Settings settings = parseSettings(defaultSettingsText()).value();
    settings.platform = service.url();
    TicketNumber inForce;
    PlatformWatcher watcher(
            settings, [&] { return inForce; }, [](TicketNumber) { return Span{}; },
            [&](const Event &event) {
                if (std::holds_alternative<TicketRead>(event))
                    inForce = TicketNumber{ 1 };
            });
    const Instant begin = monotonicNow();
    watcher.start();
    while (inForce.value == 0 && monotonicNow() - begin < most)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
    return monotonicNow() - begin;
}

/// A confirmed ticket has to be in force after 16 s; a watch that was answered before takes the
/// most of that.
constexpr Span mostForAReading = std::chrono::seconds(4);

// Guards against a read that the configuration service never answers, which held up all tickets
// until its connection was given up for good.
TEST(PlatformWatcherTest, ATicketIsReadAgainSoonWhenItsReadIsNotAnswered)
{
    const SilentOnce service("/tickets/1?", 1);
    EXPECT_LT(untilTicketIsRead(service, 2 * mostForAReading), mostForAReading);
}

// Guards against a first call into a silence that outlives it.
TEST(PlatformWatcherTest, TheHostListIsReadAgainSoonWhenItsReadIsNotAnswered)
{
    const SilentOnce service("/hosts", 1);
    EXPECT_LT(untilTicketIsRead(service, 2 * mostForAReading), mostForAReading);
}

} // namespace

} // namespace azurewell::tests
