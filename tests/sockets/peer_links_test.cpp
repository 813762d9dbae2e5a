#include "caller.h"
#include "host_fixture.h"

#include "azurewell/shell/peer_frame.h"
#include "azurewell/shell/peer_links.h"

#include <QtCore/QtEndian>
#include <QtNetwork/QTcpServer>

namespace azurewell::tests {

namespace {

const char *fleetKey = "secret of the fleet";

Settings settingsOf(const char *id, const char *key = fleetKey)
{
    Settings settings = parseSettings(defaultSettingsText()).value();
    settings.self.id = HostId{ id };
    settings.self.incarnation = Incarnation{ 7 };
    settings.peers = Endpoint{ "127.0.0.1", 0 };
    settings.peerKey = key;
    return settings;
}

/// The peer links of a host, with the messages that they received.
struct Host
{
    explicit Host(const Settings &settings)
        : links(settings, this->counters,
                [this](const PeerMessage &message) { this->received.push_back(message); })
    {
        this->address = "127.0.0.1:" + std::to_string(this->links.listen().value());
    }

    std::uint16_t port() const
    {
        return parseEndpoint(this->address).value().port;
    }

    PeerLinkCounters counters;
    std::vector<PeerMessage> received;
    PeerLinks links;
    std::string address;
};

/// A TCP proxy between two hosts, such as a NAT gateway. After stallConnections() it discards the
/// bytes of existing connections without closing them; new connections work.
class StallingProxy : public QTcpServer
{
public:
    explicit StallingProxy(std::uint16_t targetPort)
        : target(targetPort)
    {
        this->listen(QHostAddress::LocalHost, 0);
        QObject::connect(this, &QTcpServer::newConnection, this, [this] { this->accept(); });
    }

    void stallConnections()
    {
        ++this->generation;
    }

private:
    void forward(QTcpSocket *from, QTcpSocket *to, int openedIn)
    {
        QObject::connect(from, &QTcpSocket::readyRead, this, [this, from, to, openedIn] {
            const QByteArray bytes = from->readAll();
            if (openedIn == this->generation)
                to->write(bytes);
        });
    }

    void accept()
    {
        QTcpSocket *near = this->nextPendingConnection();
        QTcpSocket *far = new QTcpSocket(this);
        far->connectToHost("127.0.0.1", this->target);
        this->forward(near, far, this->generation);
        this->forward(far, near, this->generation);
    }

    std::uint16_t target;
    int generation = 0;
};

const TicketAsk ticketRequest{ TicketNumber{ 3 } };

} // namespace

TEST(PeerLinks, MessagesArriveInOrder)
{
    Host first(settingsOf("h1"));
    Host second(settingsOf("h2"));
    for (std::uint64_t number = 0; number < 100; ++number)
        first.links.send(HostId{ "h2" }, second.address, TicketAsk{ TicketNumber{ number } });
    ASSERT_TRUE(waitUntil([&second] { return second.received.size() == 100; }));
    for (std::uint64_t number = 0; number < 100; ++number)
        EXPECT_EQ(std::get<TicketAsk>(second.received[number].body).after, TicketNumber{ number });
    EXPECT_EQ(second.received.front().sender, HostId{ "h1" });
}

// Guards against a client without the fleet's key that impersonates a host on the peer port: it
// could put a ticket in force that issues it an API key.
TEST(PeerLinks, MessagesWithoutTheKeyAreRefused)
{
    Host stranger(settingsOf("h1", "another secret text"));
    Host host(settingsOf("h2"));
    stranger.links.send(HostId{ "h2" }, host.address, ticketRequest);
    EXPECT_TRUE(waitUntil([&host] { return host.counters.framesRefused == 1; }));
    EXPECT_TRUE(host.received.empty());
}

// Guards against replayed frames, to the same or another host: an old slot release would free a
// slot that is in use.
TEST(PeerLinks, ReplayedFramesAreRefused)
{
    Host host(settingsOf("h2"));
    const PeerMessage message{ HostId{ "h1" }, Incarnation{ 7 }, ticketRequest };
    const QByteArray frame = sealFrame(fleetKey, HostId{ "h2" }, 5, message);
    const QByteArray older = sealFrame(fleetKey, HostId{ "h2" }, 4, message);
    const QByteArray toAnotherHost = sealFrame(fleetKey, HostId{ "h3" }, 6, message);
    for (const QByteArray &bytes : { frame, frame, older, toAnotherHost }) {
        Caller sender(host.port());
        sender.write(bytes);
        ASSERT_TRUE(waitUntil([&] { return !sender.received.isEmpty() || !sender.isOpen(); }));
    }
    EXPECT_EQ(host.received.size(), 1U);
    EXPECT_EQ(host.counters.framesRefused, 3U);
}

// Guards against frames that were modified or truncated in transit.
TEST(PeerLinks, ModifiedFramesAreRefused)
{
    const PeerMessage message{ HostId{ "h1" }, Incarnation{ 7 }, ticketRequest };
    const QByteArray content = sealFrame(fleetKey, HostId{ "h2" }, 5, message).mid(4);
    ASSERT_TRUE(openFrame(fleetKey, HostId{ "h2" }, content));
    for (qsizetype index = 0; index < content.size(); ++index) {
        QByteArray changed = content;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        EXPECT_FALSE(openFrame(fleetKey, HostId{ "h2" }, changed)) << index;
        EXPECT_FALSE(openFrame(fleetKey, HostId{ "h2" }, content.left(index))) << index;
    }
}

// Guards against a connection between two hosts that is silently dropped on the way, which TCP
// reports only after minutes. The slot leases of a whole zone would expire meanwhile.
TEST(PeerLinks, AnUnresponsiveLinkIsReopened)
{
    Host first(settingsOf("h1"));
    Host second(settingsOf("h2"));
    StallingProxy proxy(second.port());
    const std::string address = "127.0.0.1:" + std::to_string(proxy.serverPort());
    first.links.send(HostId{ "h2" }, address, ticketRequest);
    ASSERT_TRUE(waitUntil([&second] { return second.received.size() == 1; }));
    proxy.stallConnections();
    QTimer heartbeats;
    QObject::connect(&heartbeats, &QTimer::timeout,
                     [&] { first.links.send(HostId{ "h2" }, address, ticketRequest); });
    heartbeats.start(100);
    EXPECT_TRUE(waitUntil([&second] { return second.received.size() > 1; }));
    EXPECT_EQ(first.counters.linksReopened, 1U);
}

} // namespace azurewell::tests
