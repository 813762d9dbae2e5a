// Some answers of one plain server have a wrong length in their head. Callers use their connections for
// one stream of the sound engines after the other.
#include "../engines.hh"
#include "../plain.hh"

using namespace review;

namespace {

constexpr double trafficFrom = 12;
constexpr int callersPerHost = 3;
constexpr double plainPerSecond = 45; ///< Look-ups and filings.
constexpr std::size_t answerBytes = 800;

constexpr double wrongShare = 0.0264; ///< Of the answers of the faulty server in an episode.
constexpr double episodeSeconds = 4.17;
constexpr double episodeGap = 4; ///< From the end of one to the beginning of the next.
constexpr int episodes = 8;
constexpr double firstEpisodeAt = trafficFrom + 6;
constexpr double trafficUntil = firstEpisodeAt + episodes * (episodeSeconds + episodeGap);
constexpr double downSeconds = 1; ///< "restarted after a short delay"

struct Tally
{
    std::mutex mutex;
    std::map<int, int> answers; ///< Of the faulty server, by episode.
    std::map<int, int> wrong;
    std::map<int, int> streamStatuses;
    std::map<int, int> plainStatuses;
    int whole = 0; ///< Streams.
    int lost = 0;  ///< Streams of kept connections that were passed on and got no whole answer.
};

/// Whether the next answer of the faulty server has a wrong length.
bool isWrong(Tally &tally)
{
    const double since = now() - firstEpisodeAt;
    const int episode = static_cast<int>(since / (episodeSeconds + episodeGap));
    if (since < 0 || episode >= episodes
        || since - episode * (episodeSeconds + episodeGap) >= episodeSeconds)
        return false;
    const std::lock_guard<std::mutex> lock(tally.mutex);
    if (tally.wrong[episode] + 1 > wrongShare * ++tally.answers[episode])
        return false;
    ++tally.wrong[episode];
    return true;
}

/// One configuration with the routes and services of both kinds.
std::string configuration()
{
    std::string text = engineConfiguration(1000000, 1000000);
    const std::string plain = plainConfiguration();
    const auto listIn = [&plain](const std::string &name, const std::string &next) {
        const std::size_t from = plain.find("\"" + name + "\":[") + name.size() + 4;
        return plain.substr(from, plain.find("],\"" + next + "\"") - from);
    };
    std::string routes = listIn("routes", "services");
    for (std::size_t at = 0; (at = routes.find("\"r-", at)) != std::string::npos; ++at)
        routes.replace(at, 3, "\"p-"); // names of their own
    const auto insert = [&text](const std::string &name, const std::string &entries) {
        text.insert(text.find("\"" + name + "\":[") + name.size() + 4, entries + ",");
    };
    insert("routes", routes);
    insert("services", listIn("services", "limits"));
    return text;
}

bool hasRun(Runs &runs, const std::string &id)
{
    const std::vector<Run> all = runs.all();
    return std::any_of(all.begin(), all.end(), [&](const Run &run) { return run.id == id; });
}

/// A caller that uses its connection for one stream after the other.
void streamAgainAndAgain(const Host &host, int caller, Runs &runs, Tally &tally)
{
    std::unique_ptr<Connection> connection;
    int before = 0; ///< Answers on this connection.
    for (int i = 0; now() < trafficUntil; ++i) {
        if (!connection) {
            before = 0;
            connection = connectTo(host.ip, Setting::callerPort, 1);
        }
        if (!connection) {
            sleepFor(0.2);
            continue;
        }
        char id[32];
        std::snprintf(id, sizeof id, "%08x%08x", caller + 1, i);
        RECORD("stream %s sent to %s, %d before it on its connection", id, host.name.c_str(),
               before);
        connection->send(engineRequest(id, "m0", 1110, 171, 15000));
        const auto answer = connection->read(true, now() + 15);
        const bool isWhole = answer && answer->isComplete;
        const bool isPassedOn = hasRun(runs, id);
        const std::lock_guard<std::mutex> lock(tally.mutex);
        ++tally.streamStatuses[answer ? answer->status() : 0];
        tally.whole += isWhole && answer->status() == 200 ? 1 : 0;
        if (isWhole) {
            ++before;
            continue;
        }
        connection.reset();
        if (before > 0 && isPassedOn) {
            ++tally.lost;
            SAY("LOST: stream %s of a kept connection to %s ran, and its connection ended without "
                "a whole answer",
                id, host.name.c_str());
        }
    }
}

void ask(const Host &host, int number, Tally &tally)
{
    char id[32];
    std::snprintf(id, sizeof id, "%016x", 0x50000000 + number);
    const bool isFiling = number % 3 != 0;
    int status = 0;
    if (const auto connection = connectTo(host.ip, Setting::callerPort, 1)) {
        connection->send(plainRequest(isFiling ? "POST" : "GET",
                                      isFiling ? "/puxa403/2f" : "/cufi504/2f", id, 1500,
                                      isFiling ? "notice" : ""));
        const auto answer = connection->read(true, now() + 1.5);
        status = answer ? answer->status() : 0;
    }
    RECORD("request %s to %s gets status %d", id, host.name.c_str(), status);
    const std::lock_guard<std::mutex> lock(tally.mutex);
    ++tally.plainStatuses[status];
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    if (!store.isOpen())
        finish(couldNotRun);
    Tally tally;
    Runs runs;
    Engine::Options options;
    options.events = 57;
    options.eventSeconds = 0.0204; // three steps of 6.8 ms
    const auto engines = makeEngines(setting, options, runs, store);
    std::list<Server> plainServers;
    for (int zone = 0; zone < 3; ++zone) {
        const std::string id = "p-" + std::to_string(zone);
        const std::string ip = setting.net + "." + std::to_string(80 + zone) + ".1";
        const bool isFaulty = zone == 0 && setting.isTrouble;
        plainServers.emplace_back(ip, Setting::serverPort, [&, id, isFaulty](Connection &connection) {
            while (const auto request = connection.read(false, now() + 60)) {
                sleepFor(0.06);
                const std::string requestId = request->header("X-Request-Id");
                const std::string length = std::to_string(answerBytes);
                const bool isSpoilt = isFaulty && isWrong(tally);
                if (isSpoilt)
                    RECORD("%s answers %s with a wrong length", id.c_str(), requestId.c_str());
                const std::string stated = isSpoilt ? length + length + length + length : length;
                if (!connection.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nX-Request-Id: "
                                     + requestId + "\r\nX-Server-Signature: 3e1b." + id + "."
                                     + requestId + "\r\nContent-Length: " + stated + "\r\n\r\n"
                                     + std::string(answerBytes, 'x')))
                    return;
            }
        });
        if (!plainServers.back().isOpen())
            finish(couldNotRun);
        store.write("servers/" + id,
                    plainEntry(ip, Setting::serverPort,
                               std::string("bogota-") + static_cast<char>('a' + zone)));
    }
    store.write("op/config", configuration());
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 11))
        finish(couldNotRun);
    markRestarted(hosts);
    sleepUntil(trafficFrom);

    std::list<std::thread> callers;
    for (std::size_t i = 0; i < hosts.size() * callersPerHost; ++i)
        callers.emplace_back(streamAgainAndAgain, std::cref(*hosts[i % hosts.size()]),
                             static_cast<int>(i), std::ref(runs), std::ref(tally));
    std::list<std::thread> askers;
    std::mt19937 random(setting.seed);
    std::vector<double> endedAt(hosts.size(), 0);
    int ended = 0;
    int number = 0;
    for (double next = trafficFrom; next < trafficUntil; next += 1 / plainPerSecond) {
        sleepUntil(next);
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
        // The balancer leaves out those that are down.
        std::size_t to = random() % hosts.size();
        while (endedAt[to] > 0)
            to = (to + 1) % hosts.size();
        askers.emplace_back(ask, std::cref(*hosts[to]), ++number, std::ref(tally));
        if (askers.size() > 300) {
            askers.front().join();
            askers.pop_front();
        }
    }
    for (std::thread &caller : callers)
        caller.join();
    for (std::thread &asker : askers)
        asker.join();
    int answers = 0;
    int wrong = 0;
    for (const auto &[episode, count] : tally.answers)
        answers += count;
    for (const auto &[episode, count] : tally.wrong)
        wrong += count;
    for (const auto &[status, count] : tally.streamStatuses)
        SAY("streams with status %d: %d", status, count);
    for (const auto &[status, count] : tally.plainStatuses)
        SAY("look-ups and filings with status %d: %d", status, count);
    SAY("%d of %d answers of one server of nine had a wrong length; processes that ended by "
        "themselves %d; whole streams %d; streams of kept connections that were passed on and got "
        "no whole answer %d",
        wrong, answers, ended, tally.whole, tally.lost);
    if (tally.whole < 500)
        finish(couldNotRun);
    constexpr int allowed = 3;
    finish(tally.lost > allowed ? broken : held);
}
