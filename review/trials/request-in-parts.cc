// Requests come in two parts, 0.3 s apart, on connections that were idle for 4 s (allowed: 12 s).
// header-timeout-ms is 3,000. With TROUBLE=0 they were idle for 1 s.
#include "one-server.hh"

using namespace review;

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    PlainServers servers(setting, store, 1);
    store.write("op/config", plainConfiguration());
    const auto hosts = startHosts(setting, { 1 });
    const auto filing = [] {
        return plainRequest("POST", "/puxa403/2f", nextId(), 1500, std::string(3000, 'x'));
    };
    std::vector<std::unique_ptr<Connection>> kept;
    for (int i = 0; i < 20; ++i) {
        kept.push_back(connectTo(hosts.front()->ip, Setting::callerPort, 1));
        if (!kept.back() || statusOf(*kept.back(), filing()) != 200)
            finish(couldNotRun);
    }
    sleepFor(setting.isTrouble ? 4 : 1);
    constexpr std::size_t firstPart = 1500;
    std::vector<std::string> rest;
    for (const auto &connection : kept) {
        const std::string request = filing();
        connection->send(request.substr(0, firstPart));
        rest.push_back(request.substr(firstPart));
    }
    sleepFor(0.3);
    std::map<int, int> statuses;
    for (std::size_t i = 0; i < kept.size(); ++i)
        ++statuses[statusOf(*kept[i], rest[i])];
    for (const auto &[status, count] : statuses)
        SAY("status %d: %d requests", status, count);
    finish(statuses[200] < 20 ? broken : held);
}
