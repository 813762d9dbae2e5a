// All machines but one are lost. Servers are replaced one after the other: the new one starts first,
// then the old one's entry is removed without a notice before. The store cuts waiting watches.
#include "../plain.hh"

using namespace review;

namespace {

constexpr double drainSeconds = 2;   ///< drain-timeout-ms
constexpr double littleLonger = 0.1; ///< A server serves so much longer than it has to.
constexpr double workSeconds = 0.06; ///< Of a filing.
constexpr int replacements = 17;
constexpr double gapSeconds = 5.6;
constexpr double contactSeconds = 3;      ///< contact-ms
constexpr double requestsPerSecond = 32.1; ///< The site's filings and look-ups.

struct Instance
{
    std::string id;
    std::string zone;
    std::unique_ptr<Server> server;
    std::atomic<double> goneAt{ 1e9 }; ///< When the store acknowledged the removal of its entry.
};

std::atomic<int> late{ 0 };
std::atomic<int> arrived{ 0 };
std::atomic<int> latestMillis{ 0 };

void serve(Instance &instance, Connection &connection)
{
    while (const auto request = connection.read(false, now() + 60)) {
        const double at = now();
        const std::string id = request->header("X-Request-Id");
        const std::string own = "X-Instance-Id: " + instance.id + "\r\n";
        const std::string expected = request->header("X-Expect-Instance");
        if (!expected.empty() && expected != instance.id) {
            if (!connection.send(answerText(421, own, "")))
                return;
            continue;
        }
        const double after = at - instance.goneAt;
        RECORD("%s: request %s arrives%s", instance.id.c_str(), id.c_str(),
               after > 0 ? (" " + std::to_string(after) + " s after its removal").c_str() : "");
        if (after > 0)
            latestMillis = std::max(latestMillis.load(), static_cast<int>(after * 1000));
        if (after > drainSeconds) {
            ++late;
            SAY("%s: request %s arrives %.3f s after the store acknowledged that it is gone",
                instance.id.c_str(), id.c_str(), after);
        }
        ++arrived;
        sleepFor(workSeconds);
        if (!connection.send(answerText(200,
                                        own + "X-Request-Id: " + id
                                                + "\r\nX-Server-Signature: 3e1b." + instance.id
                                                + "." + id + "\r\n",
                                        "ok")))
            return;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    if (!store.isOpen())
        finish(couldNotRun);
    std::list<Instance> instances;
    int started = 0;
    const auto startInstance = [&](int zone) {
        Instance &instance = instances.emplace_back();
        instance.id = "i-" + std::to_string(++started);
        instance.zone = std::string("bogota-") + static_cast<char>('a' + zone);
        const std::string ip = setting.net + "." + std::to_string(64 + zone) + "."
                + std::to_string(started);
        instance.server = std::make_unique<Server>(
                ip, Setting::serverPort,
                [&instance](Connection &connection) { serve(instance, connection); });
        if (!instance.server->isOpen())
            finish(couldNotRun);
        store.write("servers/" + instance.id,
                    plainEntry(ip, Setting::serverPort, instance.zone));
        RECORD("%s started", instance.id.c_str());
        return &instance;
    };
    std::list<std::pair<Instance *, int>> serving;
    for (int zone = 0; zone < 3; ++zone)
        serving.emplace_back(startInstance(zone), zone);
    store.write("op/config", plainConfiguration());
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 15))
        finish(couldNotRun);
    sleepUntil(8);
    // The balancer sends all callers to hosts that are ready.
    const std::size_t left = setting.isTrouble ? 1 : hosts.size();
    for (std::size_t i = left; i < hosts.size(); ++i)
        hosts[i]->killNow();
    sleepUntil(12);

    std::atomic<bool> isOver{ false };
    std::atomic<int> failed{ 0 };
    std::atomic<int> number{ 0 };
    std::list<std::thread> callers;
    constexpr std::size_t callerCount = 7;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            std::unique_ptr<Connection> connection;
            constexpr double step = callerCount / requestsPerSecond;
            const Host &host = *hosts[i % left];
            for (double next = now() + step * static_cast<double>(i) / callerCount; !isOver;
                 next += step) {
                sleepUntil(next);
                if (!connection)
                    connection = connectTo(host.ip, Setting::callerPort, 1);
                if (!connection)
                    continue;
                char id[32];
                std::snprintf(id, sizeof id, "%016x", ++number);
                connection->send(plainRequest("POST", "/puxa403/2f", id, 1500, "notice"));
                const auto answer = connection->read(true, now() + 1.5);
                if (!answer || answer->status() != 200) {
                    ++failed;
                    RECORD("request %s to %s gets status %d", id, host.name.c_str(),
                           answer ? answer->status() : 0);
                }
                if (!answer || answer->header("Connection") == "close")
                    connection.reset();
            }
        });
    }
    std::mt19937 random(setting.seed);
    const auto uniform = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    for (int i = 0; i < replacements; ++i) {
        sleepUntil(13 + i * gapSeconds);
        const double cutAt = now();
        if (setting.isTrouble) {
            store.cutWatches();
            RECORD("the store cuts the watches that are waiting");
        }
        // Even if the cut counts as a disruption of the store, the store is stable again when it
        // acknowledges the removal.
        sleepUntil(cutAt + contactSeconds + uniform(-0.02, -0.015));
        const auto [old, zone] = serving.front();
        serving.pop_front();
        serving.emplace_back(startInstance(zone), zone);
        sleepUntil(cutAt + contactSeconds + uniform(0.003, 0.008));
        store.remove("servers/" + old->id);
        old->goneAt = now();
        RECORD("the store acknowledges that %s is gone", old->id.c_str());
        sleepUntil(old->goneAt + drainSeconds + littleLonger);
        old->server->stop();
        RECORD("%s has left", old->id.c_str());
    }
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    SAY("%d requests arrived at servers, %d of them later than %.1f s after the acknowledgement; the "
        "latest %.3f s after; %d callers got no answer of a server",
        arrived.load(), late.load(), drainSeconds, latestMillis.load() / 1000.0, failed.load());
    if (arrived < 1000)
        finish(couldNotRun);
    finish(late > 0 ? broken : held);
}
