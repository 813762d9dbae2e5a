// A configuration raises max-body-bytes. Callers go on using their connections.
#include "one-server.hh"

using namespace review;

namespace {

std::string configuration(int version, const std::string &maxBody)
{
    std::string text = plainConfiguration();
    const auto replace = [&text](const std::string &from, const std::string &to) {
        text.replace(text.find(from), from.size(), to);
    };
    replace("\"version\":7", "\"version\":" + std::to_string(version));
    replace("\"max-body-bytes\":4194304", "\"max-body-bytes\":" + maxBody);
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = begin(argc, argv);
    Store store(setting.storeIp(), Setting::storePort);
    PlainServers servers(setting, store, 1);
    store.write("op/config", configuration(7, setting.isTrouble ? "1000" : "4194304"));
    const auto hosts = startHosts(setting, { 1 });
    const auto filing = [](std::size_t bytes) {
        return plainRequest("POST", "/puxa403/2f", nextId(), 1500, std::string(bytes, 'x'));
    };
    std::vector<std::unique_ptr<Connection>> kept;
    for (int i = 0; i < 20; ++i) {
        kept.push_back(connectTo(hosts.front()->ip, Setting::callerPort, 1));
        if (!kept.back() || statusOf(*kept.back(), filing(500)) != 200)
            finish(couldNotRun);
    }
    store.write("op/config", configuration(9, "4194304"));
    sleepFor(6);
    std::map<int, int> onKept;
    std::map<int, int> onNew;
    for (const auto &connection : kept) {
        ++onKept[statusOf(*connection, filing(2000))];
        ++onNew[statusOf(*connectTo(hosts.front()->ip, Setting::callerPort, 1), filing(2000))];
    }
    for (const auto &[status, count] : onKept)
        SAY("connections from before, 6 s after the acknowledgement: status %d: %d", status, count);
    for (const auto &[status, count] : onNew)
        SAY("new connections: status %d: %d", status, count);
    finish(onKept[413] > 5 ? broken : held);
}
