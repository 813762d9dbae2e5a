// A model server with adapters, as PROTOCOL.md describes it.
#pragma once

#include "kit.hh"

namespace kit {

struct SeenOrder
{
    double at = 0;
    std::string engine, owner, operation, adapter;
    std::uint64_t fencing = 0;
    std::int64_t expect = -1;
    int status = 0;
};

struct Run
{
    std::string engine;
    double at = 0;
    bool isWhole = false;
    bool isCut = false; ///< The server crashed while it ran.
};

/// What all model servers have seen.
struct Seen
{
    std::mutex mutex;
    std::vector<SeenOrder> orders;
    std::map<std::string, std::vector<Run>> runs;
    std::vector<std::string> broken; ///< Rules that were broken, with what was seen.
    double brokenAt = 0;
    std::uint64_t answers = 0, garbled = 0;
};

inline void breakRule(Seen &seen, const std::string &what)
{
    note("BROKEN " + what);
    const Lock lock(seen.mutex);
    if (seen.broken.empty())
        seen.brokenAt = nowS();
    seen.broken.push_back(what);
}

class Engine
{
public:
    struct Adapter
    {
        int version = 1;
        bool isReady = false;
        bool isLeaving = false; ///< Unloaded as soon as its runs have ended.
        int runs = 0;
        double readyAt = 0;
    };

    Engine(std::string name, std::string address, std::string place, Store &platform, Seen &all)
        : id(std::move(name)), ip(std::move(address)), zone(std::move(place)), store(platform), seen(all)
    {
        this->start();
    }
    ~Engine()
    {
        this->isEnding = true;
        this->beats.join();
        this->server->stop();
    }

    int maxAdapters = 5;
    double weightsMb = 74500; ///< For the model and the adapters together.
    double modelMb = 72700;
    double adapterMb = 66;
    double loadS = 0.25;
    double eventS = 0.06;
    std::function<int(const std::string &)> eventsOf = [](const std::string &) { return 30; };
    std::function<int(const std::string &)> newestVersion = [](const std::string &) { return 1; };
    /// While this holds, a part of the answers come a second time, where the next one on their
    /// connection is expected (`garble`, how "extra late").
    std::atomic<bool> isGarbling{ false };
    double garbledShare = 0.03;
    bool isAnyChosen = false; ///< Any answer may be the one, by chance.

    std::string id, ip, zone;
    std::atomic<bool> isDown{ false };
    std::atomic<double> crashedAt{ 0 };

    /// Starts the server; one that starts again holds nothing.
    void start(bool isAgain = false)
    {
        const Lock lock(this->mutex);
        this->hasModel = !isAgain;
        this->modelAt = 0;
        this->born = unixMs();
        this->sequence = 0;
        this->adapters.clear();
        this->snapshots.clear();
        this->snap();
        if (!this->server)
            this->server = std::make_unique<Server>(this->ip, 0, [this](Conn &conn) { this->serve(conn); });
        else
            this->server->open(this->server->port);
        this->isDown = false;
        if (!this->beats.joinable())
            this->beats = std::thread([this] { this->beat(); });
    }
    void crash(const std::string &why)
    {
        note(this->id + " crashes: " + why);
        this->crashedAt = nowS();
        this->isDown = true;
        std::thread([this] {
            this->server->stop();
            sleepS(0.5);
            this->store.remove("servers/" + this->id);
        }).detach();
    }
    std::vector<std::string> running()
    {
        const Lock lock(this->mutex);
        std::vector<std::string> names;
        for (const auto &[name, adapter] : this->adapters) {
            if (adapter.isReady && !adapter.isLeaving && adapter.runs > 0)
                names.push_back(name);
        }
        return names;
    }

private:
    Json stateJson()
    {
        Json ready = Json::array();
        Json pending = Json::array();
        for (const auto &[name, adapter] : this->adapters) {
            if (adapter.isReady)
                ready.push_back(name + "@" + std::to_string(adapter.version));
            else
                pending.push_back("m/" + name + "@" + std::to_string(adapter.version));
        }
        Json models = Json::array();
        if (this->hasModel)
            models.push_back({ { "name", "m" }, { "version", 1 }, { "adapters", ready } });
        return Json{ { "phase", "unified" },
                     { "models", models },
                     { "pending", pending },
                     { "busy", this->modelAt > 0 },
                     { "sequence", this->sequence },
                     { "queued", 0 },
                     { "active", this->active },
                     { "born", this->born },
                     { "kv-usage", 1000 },
                     { "kv-size", 129722 },
                     { "handles", 0 } };
    }
    /// The values of reports are as of some hundred ms ago.
    void snap()
    {
        const double now = nowS();
        if (this->modelAt > 0 && now >= this->modelAt) {
            this->hasModel = true;
            this->modelAt = 0;
        }
        for (auto &[name, adapter] : this->adapters)
            adapter.isReady = adapter.isReady || now >= adapter.readyAt;
        std::erase_if(this->adapters, [](const auto &one) { return one.second.isLeaving && one.second.runs == 0; });
        this->snapshots.emplace_back(now, this->stateJson().dump());
        while (this->snapshots.size() > 2 && this->snapshots[1].first < now - 0.1)
            this->snapshots.pop_front();
    }
    void beat()
    {
        std::string last;
        double nextAt = 0;
        while (!this->isEnding) {
            sleepS(0.02);
            if (this->isDown)
                continue;
            const Lock lock(this->mutex);
            this->snap();
            if (nowS() < nextAt)
                continue;
            nextAt = nowS() + 1.2;
            Json json = this->stateJson();
            json["service"] = "llm";
            json["address"] = this->ip + ":" + std::to_string(this->server->port);
            json["zone"] = this->zone;
            json["version"] = "1";
            json["slots"] = 64;
            json["state"] = "ready";
            json["warmup-left-ms"] = 0;
            json["sequence"] = 0;
            json["active"] = 0;
            const std::string content = json.dump();
            json["sequence"] = ++this->beatCount;
            if (content != last && !this->isDown)
                this->store.write("servers/" + this->id, json.dump());
            last = content;
        }
    }
    std::string reportText()
    {
        const Lock lock(this->mutex);
        this->snap();
        const double then = nowS() - 0.1;
        std::string text = this->snapshots.front().second;
        for (const auto &[at, one] : this->snapshots) {
            if (at <= then)
                text = one;
        }
        return text;
    }
    int order(const Request &request)
    {
        const Json json = Json::parse(request.body, nullptr, false);
        if (!json.is_object() || !json.contains("owner") || !json.contains("fencing-token"))
            return 400;
        SeenOrder one;
        one.at = nowS();
        one.engine = this->id;
        one.owner = json.value("owner", "");
        one.operation = json.value("operation", "");
        one.adapter = json.value("adapter", "");
        one.fencing = json.value("fencing-token", std::uint64_t(0));
        one.expect = json.contains("expect") ? json["expect"].get<std::int64_t>() : -1;
        bool isOver = false;
        std::string held;
        {
            const Lock lock(this->mutex);
            this->snap();
            const auto found = this->adapters.find(one.adapter);
            for (const auto &[name, adapter] : this->adapters)
                held += " " + name + "@" + std::to_string(adapter.version) + (adapter.isReady ? "" : "(loading)")
                        + (adapter.isLeaving ? "(unloading, " + std::to_string(adapter.runs) + " runs)" : "");
            if (one.expect >= 0 && one.expect != this->sequence) {
                one.status = 409;
            } else if (this->modelAt > 0) {
                one.status = 409;
            } else if (one.adapter.empty()) {
                one.status = one.operation != "loading" ? 400 : (this->hasModel ? 200 : 202);
                if (one.status == 202) {
                    this->modelAt = nowS() + 2.1;
                    ++this->sequence;
                }
            } else if (!this->hasModel) {
                one.status = 400;
            } else if (one.operation == "loading") {
                if (found != this->adapters.end()) {
                    one.status = found->second.isLeaving ? 409 : 200;
                } else if (static_cast<int>(this->adapters.size()) >= this->maxAdapters
                           || this->modelMb + this->adapterMb * static_cast<double>(this->adapters.size() + 1)
                                   > this->weightsMb) {
                    one.status = 202;
                    isOver = true;
                } else {
                    this->adapters[one.adapter] = { this->newestVersion(one.adapter), false, false, 0,
                                                    nowS() + this->loadS };
                    ++this->sequence;
                    one.status = 202;
                }
            } else if (one.operation == "unloading") {
                if (found == this->adapters.end()) {
                    one.status = 200;
                } else if (found->second.runs == 0) {
                    this->adapters.erase(found);
                    ++this->sequence;
                    one.status = 200;
                } else {
                    found->second.isLeaving = true;
                    ++this->sequence;
                    one.status = 202;
                }
            } else {
                one.status = 400;
            }
            this->snap();
        }
        note(this->id + " order " + one.operation + " " + one.adapter + " owner " + one.owner + " fencing "
             + std::to_string(one.fencing) + " expect " + std::to_string(one.expect) + " -> "
             + std::to_string(one.status) + " held:" + held);
        {
            const Lock lock(this->seen.mutex);
            this->seen.orders.push_back(one);
        }
        if (isOver) {
            breakRule(this->seen, "LIMIT " + this->id + " is ordered to load " + one.adapter + " beside" + held);
            this->crash("ordered to load more than it can hold");
        }
        return one.status;
    }
    void countAnswer()
    {
        const Lock lock(this->seen.mutex);
        ++this->seen.answers;
        this->answersInTrouble = this->isGarbling ? this->answersInTrouble + 1 : 0;
        this->garbledInTrouble = this->isGarbling ? this->garbledInTrouble : 0;
    }
    /// Whether the answer before comes a second time. Which answers do is up to the server that is in
    /// trouble; here they are ones before an order to unload an adapter in use.
    bool mayRepeat(const Request &request)
    {
        if (this->isGarbling && this->isAnyChosen && draw() < this->garbledShare) {
            const Lock lock(this->seen.mutex);
            ++this->seen.garbled;
            return true;
        }
        if (!this->isGarbling || this->isAnyChosen || request.target != "/order")
            return false;
        const Json json = Json::parse(request.body, nullptr, false);
        if (!json.is_object() || json.value("operation", "") != "unloading")
            return false;
        {
            const Lock lock(this->mutex);
            const auto found = this->adapters.find(json.value("adapter", ""));
            if (found == this->adapters.end() || found->second.runs == 0)
                return false;
        }
        const Lock lock(this->seen.mutex);
        if (this->garbledInTrouble + 1 > this->garbledShare * this->answersInTrouble)
            return false;
        ++this->garbledInTrouble;
        ++this->seen.garbled;
        return true;
    }
    void serve(Conn &conn)
    {
        std::string last; ///< The last answer on this connection that states no request.
        while (!this->isDown) {
            const std::optional<Request> request = readRequest(conn);
            if (!request || this->isDown)
                return;
            const std::string before = std::exchange(last, {});
            if (!before.empty() && this->mayRepeat(*request)) {
                note(this->id + " sends the last answer on the connection a second time, before that to "
                     + request->target + " " + request->body);
                if (!conn.send(before))
                    return;
            }
            const std::string expected = request->head.get("X-Expect-Instance");
            std::string bytes;
            const std::vector<std::pair<std::string, std::string>> json{ { "Content-Type", "application/json" },
                                                                         { "X-Instance-Id", this->id } };
            if (request->target == "/report") {
                bytes = expected.empty() || expected == this->id ? answerBytes(200, json, this->reportText())
                                                                 : answerBytes(421, json, "{}");
            } else if (request->target == "/order") {
                const int status = expected.empty() || expected == this->id ? this->order(*request) : 421;
                if (this->isDown)
                    return conn.reset();
                bytes = answerBytes(status, json, "");
            } else if (request->target == "/healthz") {
                bytes = answerBytes(200, json, "");
            } else {
                if (!this->stream(conn, *request, expected))
                    return;
                this->countAnswer();
                continue;
            }
            this->countAnswer();
            last = bytes;
            if (!conn.send(bytes))
                return;
        }
    }
    bool stream(Conn &conn, const Request &request, const std::string &expected)
    {
        const std::string requestId = request.head.get("X-Request-Id");
        const std::string model = request.head.get("X-Model");
        const std::string name = model.substr(std::min(model.size(), model.find('/') + 1));
        const std::string wanted = request.head.get("X-Expect-Version");
        int version = 0;
        {
            const Lock lock(this->mutex);
            this->snap();
            const auto found = this->adapters.find(name);
            const bool isThere = found != this->adapters.end() && found->second.isReady && !found->second.isLeaving
                    && (wanted.empty() || std::stoi(wanted) == found->second.version)
                    && (expected.empty() || expected == this->id);
            if (isThere) {
                version = found->second.version;
                ++found->second.runs;
                ++this->active;
            }
        }
        if (version == 0)
            return conn.send(answerBytes(421, { { "X-Instance-Id", this->id }, { "X-Request-Id", requestId } }, ""));
        note(this->id + " runs " + requestId + " on " + name + "@" + std::to_string(version));
        std::size_t run = 0;
        {
            const Lock lock(this->seen.mutex);
            this->seen.runs[requestId].push_back({ this->id, nowS(), false, false });
            run = this->seen.runs[requestId].size() - 1;
        }
        bool isSent = conn.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                                "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + this->id
                                + "\r\nX-Weight-Versions: 1\r\nX-Server-Signature: " + this->id + "." + requestId
                                + "\r\nX-Server-Load: " + std::to_string(this->active) + ",0,64\r\n\r\n");
        const int events = this->eventsOf(name);
        for (int event = 1; isSent && event <= events && !this->isDown; ++event) {
            sleepS(this->eventS);
            isSent = !conn.hasLeft()
                    && conn.send(chunk("id: " + std::to_string(event) + "\ndata: " + requestId + " "
                                       + std::to_string(event) + "/" + std::to_string(events) + "\n\n"));
        }
        {
            const Lock lock(this->mutex);
            const auto found = this->adapters.find(name);
            if (found != this->adapters.end() && found->second.runs > 0)
                --found->second.runs;
            --this->active;
            this->snap();
        }
        if (this->isDown) {
            conn.reset();
            const Lock lock(this->seen.mutex);
            this->seen.runs[requestId][run].isCut = true;
            return false;
        }
        isSent = isSent && conn.send("0\r\n\r\n");
        const Lock lock(this->seen.mutex);
        this->seen.runs[requestId][run].isWhole = isSent;
        return isSent;
    }

    Store &store;
    Seen &seen;
    std::mutex mutex;
    bool hasModel = true;
    double modelAt = 0; ///< When the load of the model is done; 0: none is under way.
    std::int64_t born = 0, sequence = 0, beatCount = 0;
    int active = 0;
    double answersInTrouble = 0, garbledInTrouble = 0;
    std::map<std::string, Adapter> adapters;
    std::deque<std::pair<double, std::string>> snapshots;
    std::unique_ptr<Server> server;
    std::thread beats;
    std::atomic<bool> isEnding{ false };
};

} // namespace kit
