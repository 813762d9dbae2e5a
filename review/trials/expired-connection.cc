// The only idle connection to a server expires within the 20 ms before the next request for it. Wants a
// build with the address sanitizer: PROGRAM=build-asan/programs/azurewelld/azurewelld.
#include "one-server.hh"

using namespace review;

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    PlainServers servers(setting, store, 1, setting.isTrouble ? "Keep-Alive: timeout=1\r\n" : "");
    store.write("op/config", plainConfiguration());
    const auto hosts = startHosts(setting, { 1 });
    std::map<int, int> statuses;
    for (int i = 0; now() < 60; ++i) {
        const auto connection = connectTo(hosts.front()->ip, Setting::callerPort, 1);
        if (!connection)
            break;
        ++statuses[statusOf(*connection, plainRequest("GET", "/cufi504/2f", nextId(), 1500))];
        // A host uses a connection for 0.6 of the time that the server states.
        sleepFor(0.590 + 0.001 * (i % 20));
    }
    int status = 0;
    const bool hasEnded = hosts.front()->hasEnded(status);
    for (const auto &[answered, count] : statuses)
        SAY("status %d: %d requests", answered, count);
    SAY("the process %s", hasEnded ? "has ended by itself" : "runs");
    finish(hasEnded ? broken : held);
}
