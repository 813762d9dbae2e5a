#include "node_fleet.h"

#include "azurewell/http/clock.h"

#include <fmt/format.h>
#include <QtCore/QCoreApplication>
#include <QtCore/QFile>

#include <csignal>
#include <sys/prctl.h>
#include <unistd.h>

namespace azurewell::tests {

using namespace platform::testing;

namespace {

constexpr const char *zone = "centro";
constexpr std::size_t firstServer = 20;
constexpr std::uint16_t serverPort = 9000;
constexpr std::uint16_t firstStorePort = 8225;
constexpr Span allowedTime = std::chrono::seconds(1);

/// The beginning of the loopback addresses of this process, which tests at the same time don't use.
std::string netOfProcess()
{
    constexpr int firstBlock = 10;
    constexpr int blocks = 80;
    constexpr int partsOfBlock = 250;
    const int number = static_cast<int>(::getpid()) % (blocks * partsOfBlock);
    return fmt::format("127.{}.{}", firstBlock + number / partsOfBlock, number % partsOfBlock);
}

} // namespace

void runUntil(Instant deadline)
{
    while (monotonicNow() < deadline)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 10);
}

NodeFleet::NodeFleet()
    : program(AZUREWELLD)
    , net(netOfProcess())
{
    for (std::size_t host = 0; host < size; ++host) {
        this->storeListeners.push_back(std::make_unique<soak::Listener>(
                this->storeFor(host), [this, host](const std::shared_ptr<soak::Session> &session) {
                    this->readStore(host, session);
                }));
    }
    QObject::connect(&this->storeTimer, &QTimer::timeout,
                     [this] { this->store.tick(monotonicNow()); });
    this->storeTimer.start(std::chrono::milliseconds(20));
}

NodeFleet::~NodeFleet()
{
    for (const std::unique_ptr<QProcess> &process : this->hosts) {
        if (!process)
            continue;
        process->kill();
        process->waitForFinished();
    }
}

std::string NodeFleet::ip(std::size_t index) const
{
    return fmt::format("{}.{}", this->net, index + 1);
}

Endpoint NodeFleet::storeFor(std::size_t host) const
{
    return { this->ip(0), static_cast<std::uint16_t>(firstStorePort + host) };
}

void NodeFleet::addServer(const std::string &service)
{
    this->servers.push_back(std::make_unique<PlainServer>());
    PlainServer &server = *this->servers.back();
    const std::size_t number = this->servers.size();
    server.statement.id = fmt::format("i-{:04x}", number);
    server.statement.zone = zone;
    server.statement.service = service;
    server.statement.address = { this->ip(firstServer + number), serverPort };
    server.statement.start = static_cast<std::int64_t>(wallMillis());
    server.listener = std::make_unique<soak::Listener>(
            server.statement.address, [&server](const std::shared_ptr<soak::Session> &session) {
                answerRequest(server, session);
            });
}

void NodeFleet::writeEntry(PlainServer &server)
{
    ++server.statement.count;
    this->store.write(engineKey(server.statement.id), entryText(server.statement), monotonicNow());
}

void NodeFleet::write(const PlainConfiguration &configuration)
{
    this->store.write(configurationKey(), configurationText(configuration), monotonicNow());
}

void NodeFleet::readStore(std::size_t host, const std::shared_ptr<soak::Session> &session)
{
    if (this->isRejected[host]) {
        soak::answer(session, 503, {}, {});
        return;
    }
    const soak::SessionRef reference = session;
    this->store.read(
            session->connection->request().target,
            [reference](const StoreAnswer &given) {
                soak::answer(reference, given.status, given.headers, given.body);
            },
            monotonicNow());
}

void NodeFleet::answerRequest(PlainServer &server, const std::shared_ptr<soak::Session> &session)
{
    const RequestHead &head = session->connection->request();
    const std::string &id = server.statement.id;
    const std::string_view intended = intendedInstance(head);
    if (engineCallOf(head) == EngineCall::Health) {
        soak::answer(session, 200, jsonHeaders(id), "{}");
    } else if (!intended.empty() && intended != id) {
        soak::answer(session, 421, notRunHeaders(head, id), {});
    } else {
        ++server.requests;
        const std::string body = server.answerBytes > 0 ? std::string(server.answerBytes, 'a') : id;
        if (!server.isSilent)
            soak::answer(session, 200, serverHeaders(head, id), body);
    }
}

void NodeFleet::startHost(std::size_t host, bool isFirstStart)
{
    HostSettings settings;
    settings.name = fmt::format("host-{}", host + 1);
    settings.zone = zone;
    settings.ip = this->ip(host + 1);
    for (std::size_t seed = 0; seed < size; ++seed)
        settings.seedIps.push_back(this->ip(seed + 1));
    settings.store = this->storeFor(host);
    settings.isFirstStart = isFirstStart;
    settings.memoryMegabytes = this->memoryMegabytes;
    settings.maxDescriptors = this->maxDescriptors;
    const QString path = this->logs.filePath(QString::fromStdString(settings.name));
    QFile file(path + ".conf");
    if (!file.open(QIODevice::WriteOnly))
        return;
    file.write(QByteArray::fromStdString(settingsText(settings)));
    file.close();
    this->hosts[host] = std::make_unique<QProcess>();
    QProcess &process = *this->hosts[host];
    process.setWorkingDirectory(AZUREWELL_ROOT);
    process.setStandardOutputFile(path + ".log", QIODevice::Append);
    process.setStandardErrorFile(path + ".log", QIODevice::Append);
    process.setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    process.start(this->program, { "node", "--settings", path + ".conf" });
}

void NodeFleet::killHost(std::size_t host)
{
    this->hosts[host]->kill();
    this->hosts[host]->waitForFinished();
    this->hosts[host].reset();
}

bool NodeFleet::isReady(std::size_t host) const
{
    Caller caller(readinessPort, QString::fromStdString(this->ip(host + 1)));
    caller.write("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    return caller.answer().status == 200;
}

int NodeFleet::status(std::size_t host, const std::string &prefix, const std::string &key)
{
    Caller caller(callerPort, QString::fromStdString(this->ip(host + 1)));
    const std::string id = fmt::format("{:016x}", ++this->requests);
    caller.write(QByteArray::fromStdString(plainRequest(id, prefix, key, allowedTime)));
    return caller.answer().status;
}

} // namespace azurewell::tests
