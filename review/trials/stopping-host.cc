// The machines are stopped with SIGTERM in turn. Shortly after the signal a caller asks on its open
// connection; the answer takes its line some seconds.
#include "../plain.hh"

using namespace review;

namespace {

constexpr double graceSeconds = 8;   ///< grace-period-s
constexpr double gapSeconds = 10;    ///< Between the machines.
constexpr double workSeconds = 0.06; ///< Of a look-up.
constexpr std::size_t shortBytes = 800;
constexpr std::size_t answerBytes = 4500 * 1000;
constexpr double lineBytesPerSecond = 1.2e6; ///< Of a caller: 10 Mbit/s.
constexpr int readBytes = 12000;
constexpr double deadlineSeconds = 20;

std::string bodyOf(const std::string &id, std::size_t bytes)
{
    std::string body;
    while (body.size() < bytes) {
        char part[64];
        std::snprintf(part, sizeof part, "%s %09zu\n", id.c_str(), body.size());
        body += part;
    }
    return body;
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    if (!store.isOpen())
        finish(couldNotRun);
    std::list<Server> servers;
    for (int zone = 0; zone < 3; ++zone) {
        const std::string id = "i-" + std::to_string(zone);
        const std::string ip = setting.net + "." + std::to_string(64 + zone) + ".1";
        servers.emplace_back(ip, Setting::serverPort, [id](Connection &connection) {
            while (const auto request = connection.read(false, now() + 60)) {
                const std::string requestId = request->header("X-Request-Id");
                const bool isLong = request->target().ends_with("long");
                const std::string body = bodyOf(requestId, isLong ? answerBytes : shortBytes);
                sleepFor(workSeconds);
                const bool isSent = connection.send(answerText(
                        200,
                        "X-Instance-Id: " + id + "\r\nX-Request-Id: " + requestId
                                + "\r\nX-Server-Signature: 3e1b." + id + "." + requestId + "\r\n",
                        body));
                RECORD("%s runs %s and sends %zu bytes: %s", id.c_str(), requestId.c_str(),
                       body.size(), isSent ? "all" : "not all");
                if (!isSent)
                    return;
            }
        });
        if (!servers.back().isOpen())
            finish(couldNotRun);
        store.write("servers/" + id, plainEntry(ip, Setting::serverPort,
                                                std::string("bogota-")
                                                        + static_cast<char>('a' + zone)));
    }
    store.write("op/config", plainConfiguration());
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 12))
        finish(couldNotRun);
    markRestarted(hosts);
    sleepUntil(8);

    int whole = 0;
    int lost = 0;
    int otherFailures = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const double stoppedAt = 10 + gapSeconds * static_cast<double>(i);
        Host &host = *hosts[i];
        sleepUntil(stoppedAt - 1);
        const auto connection = connectTo(host.ip, Setting::callerPort, 1, true);
        if (!connection)
            finish(couldNotRun);
        char id[32];
        std::snprintf(id, sizeof id, "%016zx", 0x7b3f0000 + i);
        connection->send(plainRequest("GET", "/cufi504/short", id, 1500));
        const auto first = connection->read(true, now() + 1.5);
        if (!first || first->status() != 200 || first->body != bodyOf(id, shortBytes))
            finish(couldNotRun);

        sleepUntil(stoppedAt);
        if (setting.isTrouble) {
            host.signal(SIGTERM);
            RECORD("%s gets SIGTERM", host.name.c_str());
        }
        sleepUntil(stoppedAt + 2.2);
        std::snprintf(id, sizeof id, "%016zx", 0x9c41d000 + i);
        connection->maxRead = readBytes;
        connection->pause = readBytes / lineBytesPerSecond;
        const double sentAt = now();
        connection->send(plainRequest("GET", "/cufi504/long", id,
                                      static_cast<int>(deadlineSeconds * 1000)));
        RECORD("request %s sent to %s", id, host.name.c_str());
        int status = 0;
        double endedAt = 0;
        std::thread watch([&] {
            while (setting.isTrouble && endedAt == 0 && now() < stoppedAt + graceSeconds) {
                if (host.hasEnded(status))
                    endedAt = now();
                else
                    sleepFor(0.01);
            }
        });
        const auto answer = connection->read(true, sentAt + deadlineSeconds);
        const double answeredAt = now();
        watch.join();
        const std::string expected = bodyOf(id, answerBytes);
        const bool isSuccess = answer && answer->status() == 200
                && !answer->header("X-Server-Signature").empty();
        const bool isWhole = isSuccess && answer->isComplete && answer->body == expected;
        RECORD("request %s gets status %d, %zu of %zu bytes, %.1f s after the signal; the process "
               "ended %.2f s after it",
               id, answer ? answer->status() : 0, answer ? answer->body.size() : 0, expected.size(),
               answeredAt - stoppedAt, endedAt > 0 ? endedAt - stoppedAt : 0.0);
        if (isWhole) {
            ++whole;
        } else if (setting.isTrouble && isSuccess && answeredAt < stoppedAt + graceSeconds) {
            ++lost;
            SAY("LOST: %s had read the request and passed it on; the connection ends %.2f s after "
                "SIGTERM, of %.0f s, and the caller has %zu of %zu bytes",
                host.name.c_str(), answeredAt - stoppedAt, graceSeconds, answer->body.size(),
                expected.size());
        } else {
            ++otherFailures;
        }
        if (setting.isTrouble) {
            host.killNow();
            host.start();
        }
    }
    SAY("whole answers %d; lost %d; others %d", whole, lost, otherFailures);
    if (whole + lost == 0 || otherFailures > 0)
        finish(couldNotRun);
    finish(lost > 0 ? broken : held);
}
