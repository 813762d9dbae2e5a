// Callers use their connections for one stream after the other. One caller asks for an adapter whose
// name has a letter beyond ASCII, in ISO 8859-1.
#include "../engines.hh"

using namespace review;

namespace {

constexpr double trafficFrom = 12;
constexpr double trafficUntil = 84;
constexpr int callersPerHost = 3;
constexpr int askings = 6;
constexpr double askingGap = 11;
constexpr double downSeconds = 1; ///< "restarted after a short delay"

double askingAt(int number)
{
    return trafficFrom + 6 + askingGap * number;
}

struct Tally
{
    std::mutex mutex;
    std::map<int, int> statuses;
    int lost = 0; ///< Of kept connections: passed on to a server, and no whole answer.
    int whole = 0;
};

bool hasRun(Runs &runs, const std::string &id)
{
    const std::vector<Run> all = runs.all();
    return std::any_of(all.begin(), all.end(), [&](const Run &run) { return run.id == id; });
}

void callAgainAndAgain(const std::string &ip, int caller, Runs &runs, Tally &tally)
{
    std::unique_ptr<Connection> connection;
    int before = 0; ///< Answers on this connection.
    for (int i = 0; now() < trafficUntil; ++i) {
        if (!connection) {
            before = 0;
            connection = connectTo(ip, Setting::callerPort, 1);
        }
        if (!connection) {
            sleepFor(0.2);
            continue;
        }
        char id[32];
        std::snprintf(id, sizeof id, "%08x%08x", caller + 1, i);
        RECORD("request %s sent to %s, %d before it on its connection", id, ip.c_str(), before);
        connection->send(engineRequest(id, "m0", 1110, 171, 15000));
        const auto answer = connection->read(true, now() + 15);
        const bool isWhole = answer && answer->isComplete;
        {
            const std::lock_guard<std::mutex> lock(tally.mutex);
            ++tally.statuses[answer ? answer->status() : 0];
            tally.whole += isWhole && answer->status() == 200 ? 1 : 0;
        }
        if (isWhole) {
            ++before;
        } else {
            connection.reset();
            const bool isPassedOn = hasRun(runs, id);
            if (before > 0 && isPassedOn) {
                const std::lock_guard<std::mutex> lock(tally.mutex);
                ++tally.lost;
                SAY("LOST: request %s of a kept connection to %s ran and its connection ended "
                    "without an answer",
                    id, ip.c_str());
            }
        }
        sleepFor(0.1);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    if (!store.isOpen())
        finish(couldNotRun);
    Runs runs;
    Engine::Options options;
    options.events = 57;
    options.eventSeconds = 0.0204; // three steps of 6.8 ms
    const auto engines = makeEngines(setting, options, runs, store);
    store.write("op/config", engineConfiguration(1000000, 1000000));
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 11))
        finish(couldNotRun);
    markRestarted(hosts);
    sleepUntil(trafficFrom);

    Tally tally;
    std::list<std::thread> callers;
    for (std::size_t i = 0; i < hosts.size() * callersPerHost; ++i)
        callers.emplace_back(callAgainAndAgain, hosts[i % hosts.size()]->ip, static_cast<int>(i),
                             std::ref(runs), std::ref(tally));
    // The letter n with a tilde.
    const std::string letter = setting.isTrouble ? "\xf1" : "\xc3\xb1";
    std::list<std::thread> askers;
    std::vector<double> endedAt(hosts.size(), 0);
    int ended = 0;
    int asked = 0;
    while (now() < trafficUntil) {
        sleepFor(0.05);
        if (asked < askings && now() >= askingAt(asked)) {
            const Host &host = *hosts[asked % hosts.size()];
            askers.emplace_back([&host, letter, number = asked] {
                const auto connection = connectTo(host.ip, Setting::callerPort, 1);
                if (!connection)
                    return;
                char id[32];
                std::snprintf(id, sizeof id, "%016x", number + 1);
                RECORD("request %s for an adapter named in %s sent to %s", id,
                       letter.size() == 1 ? "ISO 8859-1" : "UTF-8", host.ip.c_str());
                connection->send(engineRequest(id, "m0/permisos-a" + letter + "o-"
                                                       + std::to_string(number),
                                               1110, 171, 4000));
                const auto answer = connection->read(true, now() + 4);
                RECORD("request %s gets status %d", id, answer ? answer->status() : 0);
            });
            ++asked;
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            int status = 0;
            if (endedAt[i] == 0 && hosts[i]->hasEnded(status)) {
                endedAt[i] = now();
                ++ended;
                SAY("%s has ended by itself, with signal %d", hosts[i]->name.c_str(),
                    WIFSIGNALED(status) ? WTERMSIG(status) : 0);
            } else if (endedAt[i] > 0 && now() > endedAt[i] + downSeconds) {
                endedAt[i] = 0;
                hosts[i]->start();
            }
        }
    }
    for (std::thread &caller : callers)
        caller.join();
    for (std::thread &asker : askers)
        asker.join();
    for (const auto &[status, count] : tally.statuses)
        SAY("status %d: %d requests", status, count);
    SAY("%d requests for such an adapter; processes that ended by themselves %d; whole answers %d; "
        "requests of kept connections that were passed on and got none %d",
        asked, ended, tally.whole, tally.lost);
    if (tally.whole < 500)
        finish(couldNotRun);
    constexpr int allowed = 3;
    finish(tally.lost > allowed ? broken : held);
}
