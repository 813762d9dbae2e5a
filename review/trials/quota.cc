// One tenant sends many times its usual. A moment after it has used its rate and burst, all
// processes are killed and start again a second later.
#include "../engines.hh"

using namespace review;

namespace {

constexpr double windowSeconds = 8;  ///< quota-window-s
constexpr double overshoot = 0.25;   ///< quota-overshoot
constexpr double tolerance = 17000;  ///< quota-tolerance
constexpr double perSecond = 119769; ///< rate-per-s of the tenant, as the pages show one.
constexpr double burst = 119769;
constexpr double bound = (perSecond * windowSeconds + burst) * (1 + overshoot) + tolerance;

constexpr int prompt = 1800 + 568;
constexpr int output = 2632;
constexpr double tokens = prompt + output;
/// A tenant's limit is 1.8 times its usual; it sends 7.5 times its usual.
constexpr double hotPerSecond = perSecond / 1.8 * 7.5;
constexpr double hotSeconds = 6.5;
constexpr double killAfter = 2.6;
constexpr double downSeconds = 1;

struct Sent
{
    std::mutex mutex;
    std::map<std::string, double> at; ///< By request id.
    std::map<int, int> statuses;
};

std::string hexId(int number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016x", number + 1);
    return text;
}

void call(const std::string &ip, int number, Sent &sent)
{
    const std::string id = hexId(number);
    const double sentAt = now();
    int status = 0;
    if (const auto connection = connectTo(ip, Setting::callerPort, 1)) {
        {
            const std::lock_guard<std::mutex> lock(sent.mutex);
            sent.at[id] = now();
        }
        connection->send(engineRequest(id, "m0", prompt, output, 4000));
        const auto answer = connection->read(true, sentAt + 4);
        status = answer ? answer->status() : 0;
    }
    RECORD("request %s to %s sent %.3f status %d", id.c_str(), ip.c_str(), sentAt, status);
    const std::lock_guard<std::mutex> lock(sent.mutex);
    ++sent.statuses[status];
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
    options.events = 4;
    const auto engines = makeEngines(setting, options, runs, store, 6);
    store.write("op/config", engineConfiguration(static_cast<long long>(perSecond),
                                                 static_cast<long long>(burst)));
    const auto hosts = makeHosts(setting, { 3, 2, 2 });
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 15))
        finish(couldNotRun);
    markRestarted(hosts);
    sleepUntil(12);

    Sent sent;
    std::list<std::thread> callers;
    std::mt19937 random(setting.seed);
    const double hotAt = now();
    SAY("the tenant sends %.0f tokens a second, its rate is %.0f", hotPerSecond, perSecond);
    std::thread killer([&] {
        if (!setting.isTrouble)
            return;
        sleepUntil(hotAt + killAfter);
        SAY("all processes are killed");
        for (const auto &host : hosts)
            host->signal(SIGKILL);
        for (const auto &host : hosts)
            host->killNow();
    });
    bool isDown = false;
    int number = 0;
    for (double next = hotAt; next < hotAt + hotSeconds; next += tokens / hotPerSecond) {
        // The process that starts hosts has to be this thread: they end with it.
        if (setting.isTrouble && !isDown && next > hotAt + killAfter + downSeconds) {
            isDown = true;
            for (const auto &host : hosts)
                host->start();
            SAY("all processes start again");
        }
        sleepUntil(next);
        const std::string &ip = hosts[random() % hosts.size()]->ip;
        callers.emplace_back(call, ip, number++, std::ref(sent));
    }
    for (std::thread &caller : callers)
        caller.join();
    killer.join();
    sleepFor(0.5);

    struct Counted
    {
        double sentAt;
        double arrivedAt;
        double tokens;
    };
    std::vector<Counted> counted;
    double total = 0;
    for (const Run &run : runs.all()) {
        const auto at = sent.at.find(run.id);
        if (at == sent.at.end())
            finish(couldNotRun);
        counted.push_back({ at->second, run.arrivedAt, run.tokens });
        total += run.tokens;
    }
    double most = 0;
    double mostFrom = 0;
    for (const Counted &first : counted) {
        double sum = 0;
        for (const Counted &other : counted) {
            if (other.sentAt >= first.sentAt && other.arrivedAt <= first.sentAt + windowSeconds)
                sum += other.tokens;
        }
        if (sum > most) {
            most = sum;
            mostFrom = first.sentAt;
        }
    }
    for (const auto &[status, count] : sent.statuses)
        SAY("status %d: %d requests", status, count);
    SAY("tokens that ran: %.0f; most in %.0f s: %.0f, from %.3f; bound %.0f", total, windowSeconds,
        most, mostFrom, bound);
    if (total < perSecond * 4)
        finish(couldNotRun);
    finish(most > bound ? broken : held);
}
