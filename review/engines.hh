// Model servers of one service, as the pages describe them: reports that are 100 ms old, orders with
// an expected sequence, adapters that load for some time, and streams.
#pragma once

#include "common.hh"

#include <deque>

namespace review {

struct Run
{
    std::string id;
    std::string engine;
    std::string tenant;
    double arrivedAt = 0;
    double tokens = 0;
};

/// What the servers of a case have run.
class Runs
{
public:
    void add(const Run &run)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->list.push_back(run);
    }
    std::vector<Run> all()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->list;
    }

private:
    std::mutex mutex;
    std::vector<Run> list;
};

/// Servers that spoil some of their answers, in episodes with pauses between them.
class Garble
{
public:
    static constexpr double serverShare = 0.6; ///< Of the servers.
    static constexpr double answerShare = 0.03; ///< Of the answers of these in an episode.
    static constexpr double seconds = 5;        ///< An episode.
    static constexpr double gap = 2;            ///< From the end of one to the beginning of the next.

    explicit Garble(double firstEpisodeAt)
        : firstAt(firstEpisodeAt)
    {
    }
    void countAnswer()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (const int episode = this->number(); episode >= 0)
            ++this->answers[episode];
    }
    /// Whether one more answer may be spoilt now; counts it.
    bool take()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const int episode = this->number();
        if (episode < 0 || this->spoilt[episode] + 1 > answerShare * this->answers[episode])
            return false;
        ++this->spoilt[episode];
        return true;
    }
    std::string summary()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        int all = 0;
        int bad = 0;
        for (const auto &[episode, count] : this->answers)
            all += count;
        for (const auto &[episode, count] : this->spoilt)
            bad += count;
        return std::to_string(bad) + " of " + std::to_string(all) + " answers in "
                + std::to_string(this->answers.size()) + " episodes";
    }

private:
    int number() const
    {
        const double since = now() - this->firstAt;
        const int episode = static_cast<int>(since / (seconds + gap));
        return since >= 0 && since - episode * (seconds + gap) < seconds ? episode : -1;
    }

    const double firstAt;
    std::mutex mutex;
    std::map<int, int> answers;
    std::map<int, int> spoilt;
};

/// The value of a text or number field in a flat JSON object; enough for orders.
inline std::string jsonField(const std::string &json, const std::string &name)
{
    const std::size_t at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
        return {};
    std::size_t from = at + name.size() + 3;
    if (json[from] == '"') {
        ++from;
        return json.substr(from, json.find('"', from) - from);
    }
    return json.substr(from, json.find_first_of(",}", from) - from);
}

/// The newest versions of adapters in the weight store; 1 where nothing is said.
class Versions
{
public:
    static Versions &get()
    {
        static Versions versions;
        return versions;
    }
    int raise(const std::string &adapter)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        int &version = this->newest.try_emplace(adapter, 1).first->second;
        return ++version;
    }
    int of(const std::string &adapter)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->newest.find(adapter);
        return found == this->newest.end() ? 1 : found->second;
    }

private:
    std::mutex mutex;
    std::map<std::string, int> newest;
};

inline int newestVersion(const std::string &adapter)
{
    return Versions::get().of(adapter);
}

/// Adapters that are on their way from the weight store to any server.
inline std::atomic<int> &loadsUnderWay()
{
    static std::atomic<int> count{ 0 };
    return count;
}

class Engine
{
public:
    struct Options
    {
        double loadSeconds = 0.25;   ///< Of an adapter.
        int fullSpeedLoads = 8;      ///< Beyond so many over all servers, loads take longer.
        double readSeconds = 0.03;   ///< From the arrival of a request to its first token.
        double eventSeconds = 0.007; ///< Between the events of a stream.
        int events = 8;
        std::size_t places = 5; ///< For adapters.
        /// An unload of an adapter that requests use waits for them; until then it takes its place.
        bool waitsForRuns = false;
    };

    Engine(std::string engineId, std::string engineZone, const std::string &ip, int port,
           std::string serviceName, const Options &given, Runs &runsOfAll)
        : id(std::move(engineId))
        , zone(std::move(engineZone))
        , service(std::move(serviceName))
        , options(given)
        , born(wallMillis())
        , runs(runsOfAll)
        , server(ip, port, [this](Connection &connection) { this->serve(connection); })
    {
        this->snapshots.push_back({ -1, this->reportNow() });
    }

    bool isOpen() const
    {
        return this->server.isOpen();
    }
    std::string entry()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return "{\"service\":\"" + this->service + "\",\"address\":\"" + this->server.ip + ":"
                + std::to_string(this->server.port) + "\",\"zone\":\"" + this->zone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"warmup-left-ms\":0,"
                  "\"phase\":\"unified\",\"models\":"
                + this->models() + ",\"born\":" + std::to_string(this->born)
                + ",\"sequence\":" + std::to_string(++this->beats) + "}";
    }

    const std::string id;
    const std::string zone;
    /// May be empty: called with each answer to a request of a caller; whether the server sends it
    /// a second time, late: at the point where the next answer on the connection is expected.
    std::function<bool(const Message &, const std::string &)> isDoubled;
    /// May be empty: called with the body of each order and the status of its answer.
    std::function<void(const std::string &, int)> ordered;
    /// May be empty: called with an order and its answer, where the answer before it on the
    /// connection was one to a caller's request; whether the server sends that one again first.
    std::function<bool(const Message &, const std::string &)> isDoubledBefore;
    /// May be empty: whether the answer to a request has no length and ends with its connection.
    std::function<bool(const Message &)> isUnframed;
    /// May be empty: called when an order exceeds the server's places, which crashes it.
    std::function<void(const std::string &)> exceeded;

    bool isDown() const
    {
        return this->isCrashed;
    }
    /// Ends the process of a server that has crashed.
    void stop()
    {
        this->server.stop();
    }

private:
    std::string models() const
    {
        std::string adapters;
        for (const auto &[name, version] : this->loaded)
            adapters += (adapters.empty() ? "\"" : ",\"") + name + "@" + std::to_string(version)
                    + "\"";
        return "[{\"name\":\"m0\",\"version\":1,\"adapters\":[" + adapters + "]}]";
    }
    std::string reportNow() const
    {
        std::string pending;
        for (const auto &[name, at] : this->loading)
            pending += (pending.empty() ? "\"m0/" : ",\"m0/") + name + "@"
                    + std::to_string(newestVersion(name)) + "\"";
        return "{\"phase\":\"unified\",\"models\":" + this->models()
                + ",\"busy\":false,\"sequence\":" + std::to_string(this->sequence)
                + ",\"queued\":0,\"active\":" + std::to_string(this->active)
                + ",\"kv-usage\":0,\"kv-size\":129722,\"handles\":0,\"pending\":[" + pending
                + "],\"born\":" + std::to_string(this->born) + "}";
    }
    /// Ends the loads that are done. Called with the lock.
    void update()
    {
        std::vector<std::pair<double, std::string>> done;
        for (const auto &[name, at] : this->loading) {
            if (at <= now())
                done.emplace_back(at, name);
        }
        std::sort(done.begin(), done.end());
        for (const auto &[at, name] : done) {
            this->loading.erase(name);
            --loadsUnderWay();
            this->loaded[name] = newestVersion(name);
            this->snapshots.push_back({ at, this->reportNow() });
        }
    }
    void changed()
    {
        this->snapshots.push_back({ now(), this->reportNow() });
        while (this->snapshots.size() > 2 && this->snapshots[1].first < now() - 1)
            this->snapshots.pop_front();
    }
    std::string report()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->update();
        std::string body;
        for (const auto &[at, text] : this->snapshots) {
            if (at <= now() - 0.1)
                body = text;
        }
        return answerText(200, this->headers(), body);
    }
    std::string headers() const
    {
        return "Content-Type: application/json\r\nX-Instance-Id: " + this->id + "\r\n";
    }
    std::string order(const Message &call)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->update();
        const std::string adapter = jsonField(call.body, "adapter");
        const bool isLoad = jsonField(call.body, "operation") == "loading";
        const std::string expected = jsonField(call.body, "expect");
        int status = 202;
        if (this->unloading.contains(adapter)) {
            status = isLoad ? 409 : 202;
            // An order that already holds changes nothing, whatever it expects.
        } else if (adapter.empty() || (isLoad && this->loaded.contains(adapter))
            || (!isLoad && !this->loaded.contains(adapter))) {
            status = 200;
        } else if (!expected.empty()
                   && std::strtoull(expected.c_str(), nullptr, 10) != this->sequence) {
            status = 409;
        } else if (isLoad && this->loading.contains(adapter)) {
            status = 202;
        } else if (isLoad && this->loaded.size() + this->loading.size() >= this->options.places) {
            RECORD("%s is ordered to hold more than its places: it holds%s", this->id.c_str(),
                   this->held().c_str());
            status = 400;
            if (this->exceeded) {
                this->isCrashed = true;
                this->exceeded(call.body);
            }
        } else if (isLoad) {
            const int underWay = ++loadsUnderWay();
            const double factor = std::max(1.0, 1.0 * underWay / this->options.fullSpeedLoads);
            this->loading[adapter] = now() + this->options.loadSeconds * factor;
            ++this->sequence;
        } else if (this->options.waitsForRuns && this->running[adapter] > 0) {
            this->unloading.insert(adapter);
            ++this->sequence;
        } else {
            status = 200;
            this->loaded.erase(adapter);
            ++this->sequence;
        }
        RECORD("%s order %s answer %d", this->id.c_str(), call.body.c_str(), status);
        if (this->ordered)
            this->ordered(call.body, status);
        this->changed();
        return answerText(status, this->headers(), "");
    }
    /// Whether a request may run; if not, the answer that says so.
    std::string rejection(const Message &request)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->update();
        const std::string model = request.header("X-Model");
        const std::size_t slash = model.find('/');
        const std::string adapter = slash == std::string::npos ? "" : model.substr(slash + 1);
        const bool isLoading = this->loading.contains(adapter) || this->unloading.contains(adapter);
        const auto here = this->loaded.find(adapter);
        const std::string wanted = request.header("X-Expect-Version");
        const bool isOtherVersion = here != this->loaded.end() && !wanted.empty()
                && std::atoi(wanted.c_str()) != here->second;
        if (adapter.empty() || (here != this->loaded.end() && !isLoading && !isOtherVersion)) {
            ++this->running[adapter];
            return {};
        }
        RECORD("%s rejects %s: %s", this->id.c_str(), request.header("X-Request-Id").c_str(),
               isLoading ? "an order for the adapter is under way" : "the adapter is not there");
        return answerText(isLoading ? 503 : 421,
                          "X-Instance-Id: " + this->id
                                  + "\r\nX-Request-Id: " + request.header("X-Request-Id")
                                  + "\r\nX-Not-Executed: 1\r\n",
                          "");
    }
    /// What the server holds and loads, for the record. Called with the lock.
    std::string held() const
    {
        std::string text;
        for (const auto &[name, version] : this->loaded) {
            const auto runs = this->running.find(name);
            text += " " + name + (this->unloading.contains(name) ? " (to be unloaded, " : " (")
                    + std::to_string(runs == this->running.end() ? 0 : runs->second) + " run)";
        }
        for (const auto &[name, at] : this->loading)
            text += " " + name + " (loading)";
        return text;
    }
    void countActive(int by)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->active += by;
    }
    /// A request for \a model has ended: an unload may have waited for it.
    void endRun(const std::string &model)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::size_t slash = model.find('/');
        const std::string adapter = slash == std::string::npos ? "" : model.substr(slash + 1);
        if (--this->running[adapter] > 0 || this->unloading.erase(adapter) == 0)
            return;
        this->loaded.erase(adapter);
        RECORD("%s has unloaded %s", this->id.c_str(), adapter.c_str());
        this->changed();
    }
    /// Runs \a request. False if the caller has left. \a answer: what was sent.
    bool run(Connection &connection, const Message &request, std::string &answer)
    {
        const double arrivedAt = now();
        sleepFor(this->options.readSeconds);
        if (connection.hasPeerLeft())
            return false;
        double tokens = 0;
        std::istringstream usage(request.header("X-Token-Usage"));
        for (std::string part; std::getline(usage, part, ',');)
            tokens += std::atof(part.c_str());
        const std::string requestId = request.header("X-Request-Id");
        this->runs.add({ requestId, this->id, request.header("X-Tenant"), arrivedAt, tokens });
        RECORD("%s runs %s tenant %s tokens %.0f", this->id.c_str(), requestId.c_str(),
               request.header("X-Tenant").c_str(), tokens);
        const bool isWithoutLength = this->isUnframed && this->isUnframed(request);
        const auto chunk = [isWithoutLength](const std::string &bytes) {
            if (isWithoutLength)
                return bytes;
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
            return size + bytes + "\r\n";
        };
        const auto send = [&](const std::string &bytes) {
            answer += bytes;
            return connection.send(bytes);
        };
        if (!send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Instance-Id: "
                             + this->id + "\r\nX-Request-Id: " + requestId
                             + "\r\nX-Weight-Versions: 1\r\nX-Server-Signature: 3e1b." + this->id
                             + "." + requestId + "\r\n"
                             + (isWithoutLength ? "" : "Transfer-Encoding: chunked\r\n") + "\r\n"))
            return false;
        for (int i = 1; i <= this->options.events; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + requestId + " "
                    + std::to_string(i) + " of " + std::to_string(this->options.events) + "\n\n";
            if (this->isCrashed)
                return false;
            if (!send(chunk(event)) || connection.hasPeerLeft()) {
                RECORD("%s stops %s: its caller has left", this->id.c_str(), requestId.c_str());
                return false;
            }
            sleepFor(this->options.eventSeconds);
        }
        if (!isWithoutLength)
            return send("0\r\n\r\n");
        RECORD("%s has sent all of %s, which has no length", this->id.c_str(), requestId.c_str());
        ::shutdown(connection.fd, SHUT_WR); // in order
        connection.readMore(now() + 1);
        return false;
    }
    void serve(Connection &connection)
    {
        std::string lastToCaller;
        while (const std::unique_ptr<Message> call = connection.read(false, now() + 60)) {
            if (this->server.isStopped)
                return;
            if (!connection.extra.empty()) {
                RECORD("%s sends a late extra answer before that to %s %s", this->id.c_str(),
                       call->target().c_str(), call->header("X-Request-Id").c_str());
                if (!connection.send(std::exchange(connection.extra, {})))
                    return;
            }
            std::string answer;
            const std::string expected = call->header("X-Expect-Instance");
            if (!expected.empty() && expected != this->id)
                answer = answerText(421, "X-Instance-Id: " + this->id + "\r\n", "");
            else if (call->target() == "/report")
                answer = this->report();
            else if (call->target() == "/order")
                answer = this->order(*call);
            else if (call->target() == "/healthz")
                answer = answerText(200, "X-Instance-Id: " + this->id + "\r\n", "");
            else
                answer = this->rejection(*call);
            if (this->isCrashed)
                return;
            if (!lastToCaller.empty() && call->target() == "/order" && this->isDoubledBefore
                && this->isDoubledBefore(*call, answer)) {
                RECORD("%s sends its answer before a second time, late, before that to the order",
                       this->id.c_str());
                if (!connection.send(lastToCaller))
                    return;
            }
            if (!answer.empty()) {
                if (!connection.send(answer))
                    return;
            } else {
                this->countActive(1);
                const bool isDone = this->run(connection, *call, answer);
                this->countActive(-1);
                this->endRun(call->header("X-Model"));
                if (!isDone)
                    return;
            }
            lastToCaller = call->has("X-Request-Id") ? answer : std::string();
            if (this->isDoubled && call->has("X-Request-Id") && this->isDoubled(*call, answer))
                connection.extra = answer;
        }
    }

    const std::string service;
    const Options options;
    const long long born;
    Runs &runs;
    std::mutex mutex;
    std::map<std::string, int> loaded;     ///< Adapters, with their versions.
    std::set<std::string> unloading;       ///< Of these, those whose unload waits for their runs.
    std::map<std::string, int> running;    ///< Requests by adapter.
    std::atomic<bool> isCrashed{ false };
    std::map<std::string, double> loading; ///< By name, with the time at which it is done.
    std::deque<std::pair<double, std::string>> snapshots;
    std::uint64_t sequence = 0;
    std::uint64_t beats = 0;
    int active = 0;
    Server server;
};

/// Six engines, two in each zone.
inline std::vector<std::unique_ptr<Engine>> makeEngines(const Setting &setting,
                                                        const Engine::Options &options, Runs &runs,
                                                        Store &store, int perZone = 2)
{
    std::vector<std::unique_ptr<Engine>> engines;
    for (int zone = 0; zone < 3; ++zone) {
        for (int i = 1; i <= perZone; ++i) {
            engines.push_back(std::make_unique<Engine>(
                    "i-" + std::to_string(zone) + std::to_string(i),
                    std::string("bogota-") + static_cast<char>('a' + zone),
                    setting.net + "." + std::to_string(64 + zone) + "." + std::to_string(i),
                    Setting::serverPort, "redactor", options, runs));
            if (!engines.back()->isOpen())
                finish(couldNotRun);
            store.write("servers/" + engines.back()->id, engines.back()->entry());
        }
    }
    return engines;
}

/// The configuration of a route to the engines, as the pages show it.
inline std::string engineConfiguration(long long perSecond, long long burst)
{
    return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"prefix\":"
           "\"/lohu930/\",\"route-type\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":"
           "1000,\"priority\":1,\"service\":\"redactor\",\"max-attempts\":1,\"public\":false,"
           "\"session-affinity\":true,\"resumable\":false,\"inter-token-ms\":400}],\"services\":[{"
           "\"name\":\"redactor\",\"health-path\":\"/healthz\",\"max-connections\":360,"
           "\"protocol\":\"h1\",\"tls\":false,\"runtime\":{\"slots\":64,\"kv-capacity\":129722,"
           "\"models\":[{\"name\":\"m0\",\"weights-mb\":72700.0,\"load-time-s\":2.1,\"adapters\":"
           "3000,\"adapter-mb\":66.0,\"warm-s\":0.63,\"disk-load-s\":0.84}],\"weights-mb\":74500.0,"
           "\"max-adapters\":5,\"loads-per-s\":4.2}}],\"limits\":{\"max-header-bytes\":16384,"
           "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
           "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"i9n73hh2b9wu3fexd9dn\"],"
           "\"priority\":1,\"unit\":\"tokens\",\"raw-tokens\":200,\"rate-per-s\":"
            + std::to_string(perSecond) + ",\"burst\":" + std::to_string(burst) + "}]}";
}

/// A caller's request on that route.
inline std::string engineRequest(const std::string &id, const std::string &model, int prompt,
                                 int output, int deadlineMillis)
{
    const std::string body(200, 'x');
    return "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
            + "\r\nX-Model: " + model + "\r\nX-Token-Usage: " + std::to_string(prompt) + ","
            + std::to_string(output) + "\r\nX-Prefix-Hash: " + id + ":" + std::to_string(prompt)
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMillis)
            + "\r\nX-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

} // namespace review
