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

/// A host's links, with what they received.
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

/// Passes bytes on between a host and another, as what stands between two ends does, until it loses
/// track of the connections it has: their bytes are swallowed, new connections work.
class Between : public QTcpServer
{
public:
    explicit Between(std::uint16_t targetPort)
        : target(targetPort)
    {
        this->listen(QHostAddress::LocalHost, 0);
        QObject::connect(this, &QTcpServer::newConnection, this, [this] { this->join(); });
    }

    void loseTrack()
    {
        ++this->era;
    }

private:
    void pass(QTcpSocket *from, QTcpSocket *to, int begunIn)
    {
        QObject::connect(from, &QTcpSocket::readyRead, this, [this, from, to, begunIn] {
            const QByteArray bytes = from->readAll();
            if (begunIn == this->era)
                to->write(bytes);
        });
    }

    void join()
    {
        QTcpSocket *near = this->nextPendingConnection();
        QTcpSocket *far = new QTcpSocket(this);
        far->connectToHost("127.0.0.1", this->target);
        this->pass(near, far, this->era);
        this->pass(far, near, this->era);
    }

    std::uint16_t target;
    int era = 0;
};

const TicketAsk question{ TicketNumber{ 3 } };

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

// Somebody who does not know the fleet's key reaches the peer port and speaks as one of the hosts:
// it could put a ticket in force that issues it a key.
TEST(PeerLinks, MessagesWithoutTheKeyAreRefused)
{
    Host stranger(settingsOf("h1", "another secret text"));
    Host host(settingsOf("h2"));
    stranger.links.send(HostId{ "h2" }, host.address, question);
    EXPECT_TRUE(waitUntil([&host] { return host.counters.framesRefused == 1; }));
    EXPECT_TRUE(host.received.empty());
}

// Somebody has recorded a frame and sends it again, or to another host: an old slot release would
// free a slot that is in use.
TEST(PeerLinks, RecordedFramesAreRefused)
{
    Host host(settingsOf("h2"));
    const PeerMessage message{ HostId{ "h1" }, Incarnation{ 7 }, question };
    const QByteArray frame = sealFrame(fleetKey, HostId{ "h2" }, 5, message);
    const QByteArray older = sealFrame(fleetKey, HostId{ "h2" }, 4, message);
    const QByteArray toAnother = sealFrame(fleetKey, HostId{ "h3" }, 6, message);
    for (const QByteArray &bytes : { frame, frame, older, toAnother }) {
        Caller sender(host.port());
        sender.write(bytes);
        ASSERT_TRUE(waitUntil([&] { return !sender.received.isEmpty() || !sender.isOpen(); }));
    }
    EXPECT_EQ(host.received.size(), 1U);
    EXPECT_EQ(host.counters.framesRefused, 3U);
}

// One byte of a frame is changed on the way.
TEST(PeerLinks, ChangedFramesAreRefused)
{
    const PeerMessage message{ HostId{ "h1" }, Incarnation{ 7 }, question };
    const QByteArray content = sealFrame(fleetKey, HostId{ "h2" }, 5, message).mid(4);
    ASSERT_TRUE(openFrame(fleetKey, HostId{ "h2" }, content));
    for (qsizetype index = 0; index < content.size(); ++index) {
        QByteArray changed = content;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        EXPECT_FALSE(openFrame(fleetKey, HostId{ "h2" }, changed)) << index;
        EXPECT_FALSE(openFrame(fleetKey, HostId{ "h2" }, content.left(index))) << index;
    }
}

// Something between two hosts loses track of their connection: bytes go in and nothing comes out,
// and no error is seen for minutes. Slots of a whole zone would run out of lease meanwhile.
TEST(PeerLinks, ASilentLinkIsOpenedAgain)
{
    Host first(settingsOf("h1"));
    Host second(settingsOf("h2"));
    Between between(second.port());
    const std::string address = "127.0.0.1:" + std::to_string(between.serverPort());
    first.links.send(HostId{ "h2" }, address, question);
    ASSERT_TRUE(waitUntil([&second] { return second.received.size() == 1; }));
    between.loseTrack();
    QTimer heartbeats;
    QObject::connect(&heartbeats, &QTimer::timeout,
                     [&] { first.links.send(HostId{ "h2" }, address, question); });
    heartbeats.start(100);
    EXPECT_TRUE(waitUntil([&second] { return second.received.size() > 1; }));
    EXPECT_EQ(first.counters.linksReopened, 1U);
}

} // namespace azurewell::tests
