// Another writer puts bytes into the servers' entries that name no server; a second later each server
// writes its entry again, as it was.
#include "one-server.hh"

using namespace review;

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    PlainServers servers(setting, store, 3);
    store.write("op/config", plainConfiguration());
    const auto hosts = startHosts(setting, { 1, 1, 1 });
    sleepUntil(6);
    if (setting.isTrouble) {
        for (int i = 0; i < 3; ++i)
            store.write("servers/i-" + std::to_string(i), R"({"service":"ventanilla","state":7})");
    }
    sleepUntil(7);
    servers.writeEntries();
    sleepUntil(9);
    std::map<int, int> statuses;
    for (int i = 0; now() < 60; ++i) {
        const auto connection = connectTo(hosts[i % 3]->ip, Setting::callerPort, 1);
        if (!connection)
            finish(couldNotRun);
        ++statuses[statusOf(*connection, plainRequest("GET", "/cufi504/2f", nextId(), 1500))];
        sleepFor(0.05);
    }
    for (const auto &[status, count] : statuses)
        SAY("status %d: %d requests, from 2 to 53 s after the entries were whole again", status,
            count);
    finish(statuses[200] == 0 ? broken : held);
}
