#include "caller.h"
#include "counterpart.h"
#include "listener.h"
#include "store_standin.h"

#include "azurewell/http/clock.h"
#include "azurewell/standins/flooding_server.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QFile>
#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>
#include <QtCore/QUrl>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <list>
#include <memory>
#include <ostream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace azurewell::tests {

namespace {

using standins::Flood;
using standins::FloodingServer;

constexpr std::int64_t maxGrowthBytes = 20LL * 1000 * 1000;
constexpr Span maxAnswerTime = std::chrono::milliseconds(500);
constexpr Span requestTimeout = std::chrono::seconds(4);

const std::string signedHead = platform::testing::plainAnswerStart();
const std::string chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string wholeAnswer = signedHead + "Content-Length: 4\r\n\r\ndone";

/// What a caller has got.
struct Got
{
    int status = 0;
    bool isNotRun = false;
    Span after{};
};

/// A connection to the host at \a ip; none if it accepts no connection. Blocks.
UniqueFd connectTo(const std::string &ip)
{
    UniqueFd connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(platform::testing::callerPort);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int result = ::connect(connection.get(), reinterpret_cast<const sockaddr *>(&address),
                                 sizeof address);
    return result == 0 ? std::move(connection) : UniqueFd();
}

std::string requestFor(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
}

bool sendAll(const UniqueFd &connection, const std::string &text)
{
    return ::send(connection.get(), text.data(), text.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(text.size());
}

/// Sends one request and reads its answer, at most until the host breaks it off. Blocks.
Got ask(const std::string &ip, const std::string &path)
{
    const Instant startedAt = monotonicNow();
    const UniqueFd connection = connectTo(ip);
    Got got;
    sendAll(connection, requestFor(path));
    std::string received;
    std::array<char, 16384> block;
    ssize_t count = 0;
    while ((count = ::recv(connection.get(), block.data(), block.size(), 0)) > 0) {
        // What is beyond a head and a refusal is of no interest.
        if (received.size() < block.size())
            received.append(block.data(), static_cast<std::size_t>(count));
    }
    got.after = monotonicNow() - startedAt;
    got.isNotRun = received.find("not_run") != std::string::npos;
    const std::size_t space = received.find(' ');
    if (space != std::string::npos)
        got.status = std::atoi(received.c_str() + space);
    return got;
}

} // namespace

/// A host process on the platform, its store, and servers of one service.
class FloodsTest : public ::testing::Test
{
protected:
    FloodsTest()
    {
        // Tests of several processes may run on one machine.
        const int own = ::getpid();
        this->ip = fmt::format("127.{}.{}.1", 64 + own / 250 % 60, 1 + own % 250);
    }

    ~FloodsTest() override
    {
        this->process.kill();
        this->process.waitForFinished();
    }

    FloodingServer &addServer(const Flood &flood)
    {
        FloodingServer &server = this->servers.emplace_back(flood);
        const std::string entry = platform::testing::plainEntryText({ "127.0.0.1", server.port() });
        this->store.write(platform::testing::engineKey(fmt::format("s{}", this->servers.size())),
                          entry, monotonicNow());
        return server;
    }

    void startHost()
    {
        this->startHostUnasked();
        // Memory that a host takes once, in its first answers, is no growth. The answers also earn
        // the retries of the floods.
        ASSERT_TRUE(waitUntil([this] { return this->askAll(1, "/again/x").front().status == 200; }))
                << this->log();
        for (int round = 0; round < 6; ++round)
            this->askAll(50, "/again/x");
        this->startBytes = this->residentBytes();
        this->mostBytes = this->startBytes;
    }

    /// Starts a host whose servers are not asked for anything; waits until it knows them.
    void startHostUnasked()
    {
        this->store.write(platform::testing::configurationKey(),
                          platform::testing::plainConfigurationText(requestTimeout),
                          monotonicNow());
        this->storeListener = std::make_unique<soak::Listener>(
                Endpoint{ this->ip, 8225 }, [this](const std::shared_ptr<soak::Session> &session) {
                    this->readStore(session);
                });
        platform::testing::HostSettings settings;
        settings.name = "h1";
        settings.zone = "z";
        settings.ip = this->ip;
        settings.seedIps = { this->ip };
        settings.store = { this->ip, 8225 };
        settings.isFirstStart = true;
        const QString path = this->directory.filePath("node.conf");
        QFile file(path);
        ASSERT_TRUE(file.open(QIODevice::WriteOnly));
        file.write(QByteArray::fromStdString(platform::testing::settingsText(settings)));
        file.close();
        this->process.setWorkingDirectory(AZUREWELL_ROOT);
        this->process.setStandardOutputFile(this->directory.filePath("log"));
        this->process.setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
        this->process.start(AZUREWELLD, { "node", "--settings", path });
        ASSERT_TRUE(waitUntil([this] { return this->askAll(1, "/none").front().status == 404; }))
                << this->log();
        this->startBytes = this->residentBytes();
        this->mostBytes = this->startBytes;
    }

    std::string log()
    {
        QFile file(this->directory.filePath("log"));
        return file.open(QIODevice::ReadOnly) ? file.readAll().right(3000).toStdString() : "";
    }

    /// Sends \a count requests at once and waits for their answers.
    std::vector<Got> askAll(std::size_t count, const std::string &path)
    {
        std::vector<Got> got(count);
        this->runAll(count, [&](std::size_t caller) { got[caller] = ask(this->ip, path); });
        return got;
    }

    /// Runs \a count callers, each on a thread of its own, while the store answers.
    void runAll(std::size_t count, const std::function<void(std::size_t)> &call)
    {
        std::atomic<std::size_t> ended{ 0 };
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.emplace_back([&, i] {
                call(i);
                ++ended;
            });
        }
        while (ended < count)
            this->observe();
        for (std::thread &caller : callers)
            caller.join();
    }

    /// Lets the store answer, and notes the host's memory.
    void observe()
    {
        this->mostBytes = std::max(this->mostBytes, this->residentBytes());
        QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
    }

    std::int64_t residentBytes() const
    {
        QFile file(QString("/proc/%1/statm").arg(this->process.processId()));
        if (!file.open(QIODevice::ReadOnly))
            return 0;
        return file.readAll().split(' ').value(1).toLongLong() * ::sysconf(_SC_PAGESIZE);
    }

    std::int64_t growth() const
    {
        return this->mostBytes - this->startBytes;
    }

    std::string ip;
    std::list<FloodingServer> servers;
    QProcess process;

private:
    void readStore(const std::shared_ptr<soak::Session> &session)
    {
        const soak::SessionRef reference = session;
        const auto answer = [reference](const platform::testing::StoreAnswer &given) {
            soak::answer(reference, given.status, given.headers, given.body);
        };
        this->store.read(session->connection->request().target, answer, monotonicNow());
    }

    QTemporaryDir directory;
    platform::testing::StoreStandin store;
    std::unique_ptr<soak::Listener> storeListener;
    std::int64_t startBytes = 0;
    std::int64_t mostBytes = 0;
};

namespace {

struct FloodKind
{
    const char *name;
    std::string start;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const FloodKind &kind)
{
    return out << kind.name;
}

std::vector<FloodKind> retriedFloods()
{
    return {
        { "ChunkExtension", chunkedHead + "1;x=", "a" },
        { "TrailerFields", chunkedHead + "1\r\na\r\n0\r\n", "A: b\r\n" },
        { "InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "StatusLine", "HTTP/1.1 200 ", "a" },
    };
}

} // namespace

struct HowMany
{
    std::size_t atOnce;
    bool isByteByByte;
};

class RetriedFloods : public FloodsTest,
                      public testing::WithParamInterface<std::tuple<FloodKind, HowMany>>
{
};

// Guards against a server in trouble that fills a host's memory, or holds its callers until their
// deadlines, with bytes that are no answer.
TEST_P(RetriedFloods, AreAnsweredByAnotherServerAtOnce)
{
    const auto &[kind, howMany] = GetParam();
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    FloodingServer &flooding = this->addServer({ kind.start, kind.repeated, howMany.isByteByByte });
    Span longest{};
    std::size_t notAnswered = 0;
    for (int round = 0; round < 200 && flooding.requests() == 0; ++round) {
        for (const Got &got : this->askAll(howMany.atOnce, "/again/x")) {
            longest = std::max(longest, got.after);
            notAnswered += got.status == 200 ? 0 : 1;
        }
    }
    fmt::print("{} requests flooded, longest answer {} ms, memory +{:.1f} MB\n",
               flooding.requests(), inMilliseconds(longest),
               static_cast<double>(this->growth()) / 1e6);
    EXPECT_GT(flooding.requests(), 0U);
    EXPECT_EQ(notAnswered, 0U) << this->log();
    EXPECT_LE(longest, maxAnswerTime);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

std::string nameOfCase(const testing::TestParamInfo<std::tuple<FloodKind, HowMany>> &testInfo)
{
    const auto &[kind, howMany] = testInfo.param;
    return fmt::format("{}{}{}", kind.name, howMany.atOnce,
                       howMany.isByteByByte ? "ByteByByte" : "InBlocks");
}

INSTANTIATE_TEST_SUITE_P(Kinds, RetriedFloods,
                         testing::Combine(testing::ValuesIn(retriedFloods()),
                                          testing::Values(HowMany{ 1, false }, HowMany{ 1, true },
                                                          HowMany{ 50, false },
                                                          HowMany{ 50, true })),
                         nameOfCase);

class OtherFloods : public FloodsTest
{
protected:
    void print(const char *what, Span longest)
    {
        fmt::print("{}: longest answer {} ms, memory +{:.1f} MB\n", what, inMilliseconds(longest),
                   static_cast<double>(this->growth()) / 1e6);
    }
};

// Guards against a request that may have run and is repeated, or told not to have run.
TEST_F(OtherFloods, ARequestThatMustNotRunTwiceIsToldTruly)
{
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    FloodingServer &flooding = this->addServer({ chunkedHead + "1;x=", "a", false });
    std::size_t failed = 0;
    Span longest{};
    for (int round = 0; round < 200 && flooding.requests() == 0; ++round) {
        for (const Got &got : this->askAll(10, "/once/x")) {
            longest = std::max(longest, got.after);
            failed += got.status == 200 ? 0 : 1;
            EXPECT_TRUE(got.status == 200 || got.status == 502) << got.status;
            EXPECT_FALSE(got.isNotRun);
        }
    }
    this->print("once", longest);
    EXPECT_GT(failed, 0U);
    EXPECT_EQ(failed, flooding.requests());
    EXPECT_LE(longest, maxAnswerTime);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

TEST_F(OtherFloods, BytesBehindAWholeAnswerAreNoPartOfIt)
{
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    FloodingServer &flooding = this->addServer({ wholeAnswer, "a", false });
    Span longest{};
    for (int round = 0; round < 200 && flooding.requests() == 0; ++round) {
        for (const Got &got : this->askAll(50, "/again/x")) {
            longest = std::max(longest, got.after);
            EXPECT_EQ(got.status, 200);
        }
    }
    this->print("behind", longest);
    EXPECT_GT(flooding.requests(), 0U);
    EXPECT_LE(longest, maxAnswerTime);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

const std::string chunk = "4\r\nbody\r\n";

// Guards against a server in trouble that fills a host's memory with an answer that is held until
// it is whole.
TEST_F(OtherFloods, ABodyWithoutEndIsReplacedByAnotherAnswer)
{
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    FloodingServer &flooding = this->addServer({ chunkedHead, chunk, false });
    Span longest{};
    for (int round = 0; round < 200 && flooding.requests() == 0; ++round) {
        for (const Got &got : this->askAll(50, "/again/x")) {
            longest = std::max(longest, got.after);
            EXPECT_EQ(got.status, 200);
        }
    }
    this->print("body", longest);
    EXPECT_GT(flooding.requests(), 0U);
    EXPECT_LE(longest, requestTimeout / 2);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

// A body that comes byte by byte is one of a slow server, so its request's deadline ends it.
TEST_F(OtherFloods, ABodyThatComesByteByByteFillsNoMemory)
{
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    FloodingServer &flooding = this->addServer({ chunkedHead, chunk, true });
    Span longest{};
    for (int round = 0; round < 200 && flooding.requests() == 0; ++round) {
        for (const Got &got : this->askAll(50, "/again/x")) {
            longest = std::max(longest, got.after);
            EXPECT_TRUE(got.status == 200 || got.status == 504) << got.status;
            EXPECT_FALSE(got.isNotRun);
        }
    }
    this->print("slow body", longest);
    EXPECT_GT(flooding.requests(), 0U);
    EXPECT_LE(longest, requestTimeout + std::chrono::milliseconds(500));
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

const std::string endlessEvent = signedHead
        + "Content-Type: text/event-stream\r\n\r\ndata: 1\n\ndata: ";

// Guards against a stream that holds its caller until the deadline without an event.
TEST_F(OtherFloods, AnEventWithoutEndIsBrokenOff)
{
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    FloodingServer &flooding = this->addServer({ endlessEvent, "a", false });
    Span longest{};
    for (int round = 0; round < 200 && flooding.requests() == 0; ++round) {
        for (const Got &got : this->askAll(10, "/stream/x")) {
            longest = std::max(longest, got.after);
            EXPECT_EQ(got.status, 200);
        }
    }
    this->print("event", longest);
    EXPECT_GT(flooding.requests(), 0U);
    EXPECT_LE(longest, requestTimeout / 2);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

// Guards against a host that holds what callers don't read.
TEST_F(OtherFloods, ACallerThatDoesNotReadHoldsTheServerBack)
{
    this->addServer(
            { signedHead + "Content-Type: text/event-stream\r\n\r\n", "data: 1\n\n", false });
    this->startHostUnasked();
    std::vector<UniqueFd> callers;
    this->runAll(1, [&](std::size_t) {
        for (int i = 0; i < 50; ++i) {
            callers.push_back(connectTo(this->ip));
            sendAll(callers.back(), requestFor("/stream/x"));
        }
    });
    const Instant until = monotonicNow() + std::chrono::seconds(2);
    while (monotonicNow() < until)
        this->observe();
    this->print("unread", Span{});
    EXPECT_EQ(this->servers.front().requests(), 50U);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

struct CallerFlood
{
    const char *name;
    std::string start;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const CallerFlood &flood)
{
    return out << flood.name;
}

const std::string chunkedRequest
        = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";

class FloodsOfCallers : public FloodsTest, public testing::WithParamInterface<CallerFlood>
{
};

// Guards against callers that fill a host's memory, or end it.
TEST_P(FloodsOfCallers, LeaveTheHostAsItWas)
{
    this->addServer({ wholeAnswer, "", false });
    this->startHost();
    constexpr std::size_t most = 16ULL * 1024 * 1024;
    std::string block;
    while (block.size() < 64ULL * 1024)
        block += GetParam().repeated;
    this->runAll(50, [&](std::size_t) {
        const UniqueFd connection = connectTo(this->ip);
        // A host that holds a caller back, rather than closing, must not hold this test.
        const timeval patience{ 1, 0 };
        ::setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        bool isOpen = sendAll(connection, GetParam().start);
        for (std::size_t sent = 0; isOpen && sent < most; sent += block.size())
            isOpen = sendAll(connection, block);
    });
    fmt::print("memory +{:.1f} MB\n", static_cast<double>(this->growth()) / 1e6);
    EXPECT_EQ(this->askAll(1, "/again/x").front().status, 200);
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

INSTANTIATE_TEST_SUITE_P(
        Kinds, FloodsOfCallers,
        testing::Values(CallerFlood{ "ChunkExtension", chunkedRequest + "1;x=", "a" },
                        CallerFlood{ "TrailerFields", chunkedRequest + "0\r\n", "A: b\r\n" },
                        CallerFlood{ "HeadFields", "GET /again/x HTTP/1.1\r\n", "A: b\r\n" }),
        [](const auto &testInfo) { return std::string(testInfo.param.name); });

// Guards against callers that send requests behind one that isn't answered.
TEST_F(OtherFloods, RequestsBehindAnOpenOneAreHeldBack)
{
    const FloodingServer &silent = this->addServer({ "", "", false });
    this->startHostUnasked();
    const std::string shortest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string block;
    while (block.size() < 64ULL * 1024)
        block += shortest;
    this->runAll(50, [&](std::size_t) {
        const UniqueFd connection = connectTo(this->ip);
        const timeval patience{ 1, 0 };
        ::setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        bool isOpen = sendAll(connection, "GET /once/x HTTP/1.1\r\nHost: h.example\r\n\r\n");
        constexpr std::size_t most = 16ULL * 1024 * 1024;
        for (std::size_t sent = 0; isOpen && sent < most; sent += block.size())
            isOpen = sendAll(connection, block);
    });
    this->print("behind an open request", Span{});
    EXPECT_GT(silent.requests(), 0U);
    EXPECT_EQ(this->askAll(1, "/none").front().status, 404) << this->log();
    EXPECT_LE(this->growth(), maxGrowthBytes);
}

} // namespace azurewell::tests
