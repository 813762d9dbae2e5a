#include "node_fleet.h"

#include "azurewell/http/clock.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>

namespace azurewell::tests {

using namespace platform::testing;

namespace {

constexpr const char *service = "s";
constexpr const char *prefix = "/again/";
constexpr Span routeTimeout = std::chrono::seconds(4);
constexpr Span eventGap = std::chrono::milliseconds(50);
constexpr int eventsInStream = 40;

/// An entry of a server is in force at all hosts after this time.
constexpr Span propagationBound = std::chrono::seconds(2);

/// Sends the next event of a stream without framing, which ends with its connection.
void sendEvent(const soak::SessionRef &session, int number)
{
    CallerConnection *connection = soak::connectionOf(session);
    if (!connection)
        return;
    if (number > eventsInStream) {
        connection->complete(monotonicNow());
        return;
    }
    connection->sendBody(fmt::format("id: {}\ndata: a\n\n", number));
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(eventGap),
                       [session, number] { sendEvent(session, number + 1); });
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

/// One host process before a server.
class HostProcess : public ::testing::Test
{
protected:
    void SetUp() override
    {
        this->fleet.addServer(service);
        this->fleet.writeEntry(this->server());
        this->fleet.store.write(configurationKey(), plainConfigurationText(routeTimeout),
                                monotonicNow());
        this->fleet.startHost(0, true);
        ASSERT_TRUE(waitUntil([this] { return this->fleet.isReady(0); }));
        ASSERT_TRUE(this->isServed());
    }

    PlainServer &server()
    {
        return *this->fleet.servers[0];
    }

    bool isServed()
    {
        return this->fleet.status(0, prefix) == 200;
    }

    /// Another writer's bytes under \a id.
    void writeForeign(const std::string &id, const std::string &bytes)
    {
        this->fleet.store.write(engineKey(id), bytes, monotonicNow());
    }

    NodeFleet fleet;
};

/// A host process that a signal ends.
class EndedHostProcess : public HostProcess, public ::testing::WithParamInterface<int>
{
};

// Guards against a part of a stream without framing that looks whole, as the kernel closes the
// connections of a process that ends.
TEST_P(EndedHostProcess, LeavesNoPartOfAStreamThatLooksWhole)
{
    this->server().listener.reset();
    this->server().listener = std::make_unique<soak::Listener>(
            this->server().statement.address, [](const std::shared_ptr<soak::Session> &session) {
                CallerConnection &connection = *session->connection;
                connection.beginBody(200, "OK", streamHeaders(connection.request(), "i-0001"),
                                     BodyFraming::Close);
                sendEvent(session, 1);
            });
    Caller caller(callerPort, QString::fromStdString(this->fleet.hostIp(0)));
    caller.write(QByteArray::fromStdString(plainRequest("7", "/stream/", {}, routeTimeout)));
    ASSERT_TRUE(caller.waitFor("id: 3\n"));
    ::kill(static_cast<pid_t>(this->fleet.processId(0)), GetParam());
    EXPECT_TRUE(waitUntil([&caller] { return !caller.isOpen(); }));
    EXPECT_TRUE(caller.received.contains("Transfer-Encoding: chunked"));
    EXPECT_FALSE(caller.received.contains(lastChunk.data()));
}

INSTANTIATE_TEST_SUITE_P(Signals, EndedHostProcess, testing::Values(SIGKILL, SIGABRT));

// Guards against a server that stays out of use after another writer has spoilt its entry, although
// it has written it again as it was.
TEST_F(HostProcess, UsesAnEntryAgainThatCanBeReadAgain)
{
    for (const char *bytes : { R"({"service":"s","state":7})", "\xff\xfe", "null" }) {
        this->writeForeign(this->server().statement.id, bytes);
        runUntil(monotonicNow() + std::chrono::milliseconds(1200));
        this->fleet.writeEntry(this->server());
        runUntil(monotonicNow() + propagationBound);
        EXPECT_TRUE(this->isServed()) << bytes;
    }
}

// Guards against a process that ends, or no longer follows the store, by an odd entry, and against
// work for servers that such an entry names.
TEST_F(HostProcess, GoesOnBesideEntriesOfAnotherWriter)
{
    const qint64 process = this->fleet.processId(0);
    const std::string address = R"("service":"s","state":"ready","address":"127.0.0.1:)";
    std::size_t number = 0;
    for (const std::string &bytes :
         { nested(200'000), "{" + address + R"(9","slots":)" + std::string(400, '9') + "}",
           "{" + address + R"(9","sequence":1e400})", "{" + address + R"(9","born":-1})",
           "{" + address + R"(70000"})", "{" + address + R"(-1"})", std::string(),
           std::string("\xff\xfe\x00", 3), std::string("null") }) {
        this->writeForeign(fmt::format("x-{}", ++number), bytes);
        runUntil(monotonicNow() + std::chrono::milliseconds(100));
    }
    this->fleet.addServer(service);
    this->fleet.writeEntry(*this->fleet.servers[1]);
    runUntil(monotonicNow() + propagationBound);
    for (int request = 0; request < 40; ++request)
        EXPECT_TRUE(this->isServed());
    EXPECT_GT(this->fleet.servers[1]->requests, 0U);
    EXPECT_EQ(this->fleet.processId(0), process);
    EXPECT_TRUE(this->fleet.isReady(0));
}

} // namespace azurewell::tests
