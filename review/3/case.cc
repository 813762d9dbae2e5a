// Some answers of the servers have no length: they end with their connection. Processes of the system
// are killed, one at a time, while they pass such answers on.
#include "../engines.hh"

using namespace review;

namespace {

constexpr double trafficFrom = 12;
constexpr double requestsPerSecond = 92; ///< The site's streams.
constexpr int kills = 9;
constexpr double killGap = 9;
constexpr double downSeconds = 3.5;     ///< Of a process.
constexpr double episodeSeconds = 5;    ///< In which answers have no length; the kill is in its middle.
constexpr double unframedShare = 0.05;  ///< Of the answers in an episode.
constexpr int events = 57;

double killAt(int number)
{
    return trafficFrom + 6 + killGap * number;
}

/// The number of the episode now; -1 outside.
int episode()
{
    for (int i = 0; i < kills; ++i) {
        if (std::abs(now() - killAt(i)) <= episodeSeconds / 2)
            return i;
    }
    return -1;
}

struct Tally
{
    std::mutex mutex;
    std::map<int, int> answers; ///< By episode.
    std::map<int, int> unframed;
    std::map<int, int> statuses;
    int whole = 0;
    int cut = 0;   ///< Visibly not complete.
    int short_ = 0; ///< Not complete, and look so.
};

std::string wholeBody(const std::string &id)
{
    std::string body;
    for (int i = 1; i <= events; ++i)
        body += "id: " + std::to_string(i) + "\ndata: " + id + " " + std::to_string(i) + " of "
                + std::to_string(events) + "\n\n";
    return body;
}

void call(const std::string &ip, const std::string &id, Tally &tally)
{
    std::unique_ptr<Message> answer;
    if (const auto connection = connectTo(ip, Setting::callerPort, 1)) {
        RECORD("request %s sent to %s", id.c_str(), ip.c_str());
        connection->send(engineRequest(id, "m0", 1110, 171, 15000));
        answer = connection->read(true, now() + 15);
    }
    const std::lock_guard<std::mutex> lock(tally.mutex);
    ++tally.statuses[answer ? answer->status() : 0];
    if (!answer || answer->status() != 200)
        return;
    const bool isWhole = answer->isComplete && answer->body == wholeBody(id);
    const bool looksWhole = answer->isComplete && !answer->header("X-Server-Signature").empty();
    RECORD("request %s gets status 200, %zu bytes, %s", id.c_str(), answer->body.size(),
           isWhole      ? "all"
           : looksWhole ? "not all, ended in order"
                        : "not all, broken off");
    ++(isWhole ? tally.whole : looksWhole ? tally.short_ : tally.cut);
    if (!isWhole && looksWhole)
        SAY("MIXED: request %s got 200 with a signature and an orderly end, and %zu of %zu bytes",
            id.c_str(), answer->body.size(), wholeBody(id).size());
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
    options.events = events;
    options.eventSeconds = 0.0204; // three steps of 6.8 ms
    const auto engines = makeEngines(setting, options, runs, store, 6);
    Tally tally;
    for (const auto &engine : engines) {
        engine->isUnframed = [&tally](const Message &) {
            const std::lock_guard<std::mutex> lock(tally.mutex);
            const int number = episode();
            if (number < 0)
                return false;
            const bool isChosen = tally.unframed[number] + 1
                    <= unframedShare * ++tally.answers[number];
            tally.unframed[number] += isChosen ? 1 : 0;
            return isChosen;
        };
    }
    store.write("op/config", engineConfiguration(1000000, 1000000));
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 11))
        finish(couldNotRun);
    markRestarted(hosts);
    sleepUntil(trafficFrom);

    std::mt19937 random(setting.seed);
    std::list<std::thread> callers;
    int number = 0;
    int killed = 0;
    int started = 0;
    for (double next = trafficFrom; next < killAt(kills - 1) + 5; next += 1 / requestsPerSecond) {
        sleepUntil(next);
        if (setting.isTrouble && killed < kills && now() >= killAt(killed)) {
            hosts[killed % hosts.size()]->killNow();
            ++killed;
        }
        if (started < killed && now() >= killAt(started) + downSeconds)
            hosts[started++ % hosts.size()]->start();
        // The balancer leaves out the one that is down.
        std::size_t to = random() % hosts.size();
        while (started < killed && to == started % hosts.size())
            to = random() % hosts.size();
        char id[32];
        std::snprintf(id, sizeof id, "%016x", ++number);
        callers.emplace_back(call, hosts[to]->ip, std::string(id), std::ref(tally));
        if (callers.size() > 600) {
            callers.front().join();
            callers.pop_front();
        }
    }
    for (std::thread &caller : callers)
        caller.join();
    int answers = 0;
    int unframed = 0;
    for (const auto &[at, count] : tally.answers)
        answers += count;
    for (const auto &[at, count] : tally.unframed)
        unframed += count;
    for (const auto &[status, count] : tally.statuses)
        SAY("status %d: %d requests", status, count);
    SAY("%d kills; %d of %d answers in %zu episodes had no length; whole answers %d, visibly broken "
        "off %d, short ones that look whole %d",
        killed, unframed, answers, tally.answers.size(), tally.whole, tally.cut, tally.short_);
    if (tally.whole < 1000)
        finish(couldNotRun);
    finish(tally.short_ > 0 ? broken : held);
}
