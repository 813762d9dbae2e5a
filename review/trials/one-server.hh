// A host, or three, before plain servers that answer at once: what the small trials share.
#pragma once

#include "../plain.hh"

namespace review {

/// One plain server in each of \a zones zones, each with its entry in the store.
class PlainServers
{
public:
    PlainServers(const Setting &setting, Store &to, int zones, std::string extraHeaders = {})
        : store(to)
        , headers(std::move(extraHeaders))
    {
        for (int zone = 0; zone < zones; ++zone) {
            const std::string id = "i-" + std::to_string(zone);
            const std::string ip = setting.net + "." + std::to_string(64 + zone) + ".1";
            this->servers.emplace_back(ip, Setting::serverPort, [this, id](Connection &connection) {
                this->serve(connection, id);
            });
            if (!this->servers.back().isOpen())
                finish(couldNotRun);
            this->entries.push_back(plainEntry(
                    ip, Setting::serverPort,
                    std::string("bogota-") + static_cast<char>('a' + zone)));
        }
        this->writeEntries();
    }
    void writeEntries()
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i)
            this->store.write("servers/i-" + std::to_string(i), this->entries[i]);
    }

private:
    void serve(Connection &connection, const std::string &id) const
    {
        while (const auto request = connection.read(false, now() + 60)) {
            const std::string requestId = request->header("X-Request-Id");
            if (!connection.send(answerText(200,
                                            this->headers + "X-Instance-Id: " + id
                                                    + "\r\nX-Request-Id: " + requestId
                                                    + "\r\nX-Server-Signature: 3e1b." + id + "."
                                                    + requestId + "\r\n",
                                            "ok")))
                return;
        }
    }

    Store &store;
    const std::string headers;
    std::list<Server> servers;
    std::vector<std::string> entries;
};

inline std::string nextId()
{
    static std::atomic<int> number{ 0 };
    char id[32];
    std::snprintf(id, sizeof id, "%016x", ++number);
    return id;
}

/// Sends \a request and returns the status of its answer; 0: none.
inline int statusOf(Connection &connection, const std::string &request)
{
    connection.send(request);
    const auto answer = connection.read(true, now() + 1.5);
    return answer ? answer->status() : 0;
}

inline std::vector<std::unique_ptr<Host>> startHosts(const Setting &setting,
                                                     const std::vector<int> &perZone)
{
    auto hosts = makeHosts(setting, perZone);
    for (const auto &host : hosts)
        host->start();
    if (!areAllReady(hosts, now() + 15))
        finish(couldNotRun);
    return hosts;
}

} // namespace review
