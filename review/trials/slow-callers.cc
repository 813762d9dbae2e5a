// A server's answers have no length: they end with the connection. The callers' lines are slower
// than the hosts', so that the end of an answer waits at the host for some seconds.
#include "../plain.hh"

using namespace review;

namespace {

/// Answers with little in them, which have a length; the others are at most 5 in 100.
constexpr int shortAnswers = 120;
constexpr int longAnswers = 6;
constexpr std::size_t shortBytes = 800;
constexpr std::size_t answerBytes = 3000 * 1000;
constexpr double deadlineSeconds = 20;
constexpr double lineBytesPerSecond = 500e3; ///< Of a caller: 4 Mbit/s.
constexpr int readBytes = 5000;

/// Each part of the body shows where it stands.
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
        servers.emplace_back(ip, Setting::serverPort, [&setting, id](Connection &connection) {
            while (const auto request = connection.read(false, now() + 60)) {
                const std::string requestId = request->header("X-Request-Id");
                const bool isLong = request->target().ends_with("long");
                const bool isUnframed = isLong && setting.isTrouble;
                const std::string body = bodyOf(requestId, isLong ? answerBytes : shortBytes);
                std::string head = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id
                        + "\r\nX-Request-Id: " + requestId + "\r\nX-Server-Signature: 3e1b." + id
                        + "." + requestId + "\r\n";
                if (!isUnframed)
                    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
                const bool isSent = connection.send(head + "\r\n" + body);
                RECORD("%s runs %s and sends %zu bytes%s: %s", id.c_str(), requestId.c_str(),
                       body.size(), isUnframed ? " without a length" : "",
                       isSent ? "all" : "not all");
                if (isUnframed)
                    ::shutdown(connection.fd, SHUT_WR); // in order
                if (isUnframed || !isSent)
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
    const auto hosts = makeHosts(setting, { 1, 1, 1 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 15))
        finish(couldNotRun);
    sleepUntil(6);

    std::atomic<int> whole{ 0 };
    std::atomic<int> short_{ 0 };
    std::atomic<int> failed{ 0 };
    std::list<std::thread> callers;
    for (int i = 0; i < shortAnswers; ++i) {
        char id[32];
        std::snprintf(id, sizeof id, "%016x", 0x7b3f0000 + i);
        const auto connection = connectTo(hosts[i % hosts.size()]->ip, Setting::callerPort, 1);
        if (!connection)
            finish(couldNotRun);
        connection->send(plainRequest("GET", "/cufi504/short", id, 1500));
        const auto answer = connection->read(true, now() + 1.5);
        if (!answer || answer->status() != 200 || answer->body != bodyOf(id, shortBytes))
            finish(couldNotRun);
    }
    for (int i = 0; i < longAnswers; ++i) {
        callers.emplace_back([&, i] {
            char id[32];
            std::snprintf(id, sizeof id, "%016x", 0x9c41d000 + i);
            const bool isFiling = i % 2 == 0;
            const std::string path = isFiling ? "/puxa403/long" : "/cufi504/long";
            const auto connection = connectTo(hosts[i % hosts.size()]->ip, Setting::callerPort, 1,
                                              true);
            if (!connection) {
                ++failed;
                return;
            }
            connection->maxRead = readBytes;
            connection->pause = readBytes / lineBytesPerSecond;
            const double sentAt = now();
            connection->send(plainRequest(isFiling ? "POST" : "GET", path, id,
                                          static_cast<int>(deadlineSeconds * 1000),
                                          isFiling ? "notice" : ""));
            const auto answer = connection->read(true, sentAt + deadlineSeconds);
            const std::string expected = bodyOf(id, answerBytes);
            const bool isSuccess = answer && answer->status() == 200
                    && !answer->header("X-Server-Signature").empty();
            const bool isWhole = isSuccess && answer->isComplete && answer->body == expected;
            const bool looksComplete = isSuccess && answer->isComplete;
            RECORD("request %s gets status %d, %zu of %zu bytes after %.1f s, %s%s", id,
                   answer ? answer->status() : 0, answer ? answer->body.size() : 0,
                   expected.size(), now() - sentAt,
                   looksComplete ? "complete as its framing says" : "visibly not complete",
                   answer && answer->endedByClose ? ", ended by an orderly close" : "");
            if (isWhole)
                ++whole;
            else if (looksComplete)
                ++short_;
            else
                ++failed;
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    SAY("whole answers %d; answers that look complete and are not %d; others %d", whole.load(),
        short_.load(), failed.load());
    if (whole + short_ == 0)
        finish(couldNotRun);
    finish(short_ > 0 ? broken : held);
}
