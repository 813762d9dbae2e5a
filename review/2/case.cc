// Servers send some of their answers twice; the second copy comes late, at the point where the next
// answer on the connection is expected. Requests name adapters that have to be loaded first.
#include "../engines.hh"

using namespace review;

namespace {

constexpr double trafficSeconds = 90;

struct Answers
{
    std::mutex mutex;
    std::map<std::string, int> status; ///< By request id; 0: none.
    std::map<int, int> counts;
};

void call(const std::string &ip, const std::string &id, const std::string &model, Answers &answers)
{
    int status = 0;
    if (const auto connection = connectTo(ip, Setting::callerPort, 1)) {
        RECORD("request %s for %s sent to %s", id.c_str(), model.c_str(), ip.c_str());
        connection->send(engineRequest(id, model, 300, 20, 4000));
        const auto answer = connection->read(true, now() + 4.5);
        status = answer ? answer->status() : 0;
        RECORD("request %s gets status %d%s", id.c_str(), status,
               answer && !answer->isComplete ? ", not complete" : "");
    }
    const std::lock_guard<std::mutex> lock(answers.mutex);
    answers.status[id] = status;
    ++answers.counts[status];
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
    const auto engines = makeEngines(setting, options, runs, store, 6);
    Garble garble(12);
    const auto garbled = static_cast<std::size_t>(Garble::serverShare * engines.size());
    for (std::size_t i = 0; i < garbled; ++i) {
        // At most the stated share of all answers, those among them that say "not run".
        engines[i]->isDoubled = [&garble, &setting](const Message &, const std::string &answer) {
            garble.countAnswer();
            const bool isRejection = answer.find("X-Not-Executed") != std::string::npos;
            return setting.isTrouble && isRejection && garble.take();
        };
    }
    store.write("op/config", engineConfiguration(1000000, 1000000));
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 15))
        finish(couldNotRun);
    sleepUntil(10);

    Answers answers;
    std::list<std::thread> callers;
    constexpr double coldPerSecond = 30; ///< Requests for adapters that have to be loaded.
    int number = 0;
    for (double next = 10; next < 10 + trafficSeconds; next += 1 / coldPerSecond) {
        sleepUntil(next);
        char id[32];
        std::snprintf(id, sizeof id, "%016x", ++number);
        const std::string &ip = hosts[number * 5 % hosts.size()]->ip;
        const std::string model = "m0/a" + std::to_string(1 + number % 3000);
        callers.emplace_back(call, ip, std::string(id), model, std::ref(answers));
        if (callers.size() > 400) {
            callers.front().join();
            callers.pop_front();
        }
    }
    for (std::thread &caller : callers)
        caller.join();
    sleepFor(0.5);

    std::map<std::string, std::vector<std::string>> ranAt;
    for (const Run &run : runs.all())
        ranAt[run.id].push_back(run.engine);
    int twice = 0;
    int refused = 0;
    for (const auto &[id, at] : ranAt) {
        const int status = answers.status[id];
        if (at.size() > 1) {
            ++twice;
            SAY("TWICE: %s ran at %s and %s, status %d", id.c_str(), at[0].c_str(), at[1].c_str(),
                status);
        }
        if (status == 503 || status == 429 || status == 408 || status == 421) {
            ++refused;
            SAY("REFUSED: %s got %d and ran at %s", id.c_str(), status, at[0].c_str());
        }
    }
    for (const auto &[status, count] : answers.counts)
        SAY("status %d: %d requests", status, count);
    SAY("%zu requests ran; %s of %zu of %zu servers were sent twice; TWICE %d, REFUSED %d",
        ranAt.size(), garble.summary().c_str(), garbled, engines.size(), twice, refused);
    if (ranAt.size() < 100)
        finish(couldNotRun);
    finish(twice + refused > 0 ? broken : held);
}
