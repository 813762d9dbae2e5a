#include "azurewell/gateway/choose_upstream.h"
#include "azurewell/gateway/members.h"
#include "azurewell/gateway/prefill_rate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <random>

namespace azurewell::gateway {
namespace {

constexpr std::size_t engineCount = 140;
constexpr std::size_t hostCount = 64;
constexpr double tokensPerSecond = 22'000; ///< At a speed of 1.
constexpr double chunkTokens = 2048;
constexpr double slowFactor = 2.5;
constexpr double slowSeconds = 0.6;
constexpr double usualSeconds = 3.4; ///< Between slow periods, so that these take 15 % of the time.
constexpr double sharedTokens = 350;
constexpr double meanOwnTokens = 1110;
constexpr double oneWaySeconds = 0.0015;
constexpr double minWaitToAskOther = 0.04; ///< As in prompt_admission.cpp.
constexpr double minAdmissionGain = 0.02;

struct Prompt
{
    double tokens = 0;
    double arrivedAt = 0;
    std::size_t host = 0;
    double sentAt = 0;
    bool isEngineIdle = false;
};

/// The true speed of an engine: a constant, a slow drift, and slow periods.
struct TrueSpeed
{
    double base = 1;
    double phase = 0;
    double periodEndsAt = 0;
    bool isSlow = false;
    bool hasPeriods = true;
    std::mt19937_64 random;

    double slowdownAt(double now)
    {
        while (this->hasPeriods && now >= this->periodEndsAt) {
            this->isSlow = !this->isSlow;
            this->periodEndsAt += this->isSlow
                    ? slowSeconds
                    : std::exponential_distribution<double>(1 / usualSeconds)(this->random);
        }
        return this->isSlow ? slowFactor : 1;
    }

    double tokensPerSecondAt(double now)
    {
        constexpr double driftPeriod = 30;
        const double drift = 1
                + 0.2 * std::sin(2 * std::numbers::pi * now / driftPeriod + this->phase);
        return tokensPerSecond * this->base * drift / this->slowdownAt(now);
    }
};

/// Reads prompts in order, chunk by chunk.
struct Engine
{
    TrueSpeed speed;
    std::deque<Prompt> queue;
    double chunkLeft = 0; ///< Tokens of the first prompt that are not read yet.
};

/// What the coordinator of an engine knows: prompts that it admitted, and reports of their hosts.
struct Coordinator
{
    double unread = 0;
    double busySince = 0;
    DecayedSum readTokens;
    DecayedSum readSeconds;
    UpstreamSpeed speed;
    double sentSlowdown = 1;
};

enum class Choice : std::uint8_t { Oracle, ByServiceRate, BySpeed };

struct Settings
{
    Choice choice = Choice::BySpeed;
    double load = 0.9;
    double seconds = 40;
    bool hasPeriods = true;
    double coordinatorsStopAt = 1e9;
};

/// 64 hosts that send prompts to 140 engines.
class EngineFleet
{
public:
    explicit EngineFleet(const Settings &settings)
        : settings(settings)
        , engines(engineCount)
        , coordinators(engineCount)
        , hosts(hostCount)
    {
        constexpr double bases[] = { 0.7, 0.7, 1.7 };
        double capacity = 0;
        for (std::size_t index = 0; index < engineCount; ++index) {
            TrueSpeed &speed = this->engines[index].speed;
            speed.base = bases[index % std::size(bases)];
            speed.random.seed(index + 100);
            speed.phase = static_cast<double>(index);
            speed.hasPeriods = settings.hasPeriods;
            speed.isSlow = settings.hasPeriods;
            capacity += speed.base * tokensPerSecond
                    * (settings.hasPeriods ? 0.85 + 0.15 / slowFactor : 1);
        }
        this->perSecond = settings.load * capacity / (sharedTokens + meanOwnTokens);
        for (Host &host : this->hosts)
            this->list(host);
    }

    void run()
    {
        this->at(0, [this] { this->arrive(); });
        this->at(0, [this] { this->sendUpdates(); });
        while (!this->events.empty() && this->now < this->settings.seconds) {
            auto first = this->events.begin();
            this->now = first->first;
            const std::function<void()> event = std::move(first->second);
            this->events.erase(first);
            event();
        }
    }

    void at(double time, std::function<void()> event)
    {
        this->events.emplace(time, std::move(event));
    }

    /// Slows \a engine from outside.
    void slow(std::size_t engine, bool isSlow)
    {
        this->engines[engine].speed.isSlow = isSlow;
    }

    /// Times to the first event of prompts that arrived after the first ten seconds.
    double quantile(double share) const
    {
        std::vector<double> values = this->times;
        const auto at = values.begin()
                + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), at, values.end());
        return *at;
    }

    std::vector<std::pair<double, std::size_t>> sends; ///< Time and engine.

private:
    struct Host
    {
        UpstreamMap upstreams;
        PrefillRate rate;
    };

    Instant instant() const
    {
        return Instant{ 1'000'000'000 } + fromSeconds(this->now);
    }

    static UpstreamId idOf(std::size_t engine)
    {
        return UpstreamId{ "e" + std::to_string(1000 + engine) };
    }

    void list(Host &host) const
    {
        for (std::size_t index = 0; index < engineCount; ++index) {
            Upstream &upstream = host.upstreams[idOf(index)];
            upstream.listed.id = idOf(index);
            upstream.listed.slots = 64;
            upstream.usableUntil = never;
            upstream.terminatedAt = never;
            upstream.engine.models = { "m" };
        }
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void arrive()
    {
        Prompt prompt;
        prompt.tokens = sharedTokens
                + std::exponential_distribution<double>(1 / meanOwnTokens)(this->arrivals);
        prompt.arrivedAt = this->now;
        prompt.host = this->arrivals() % hostCount;
        if (this->settings.choice == Choice::Oracle)
            this->send(prompt, this->bestEngine(prompt));
        else
            this->askFor(prompt);
        const double gap = std::exponential_distribution<double>(this->perSecond)(this->arrivals);
        this->at(this->now + gap, [this] { this->arrive(); });
    }

    /// The engine that would finish first at its present speed.
    std::size_t bestEngine(const Prompt &prompt)
    {
        std::size_t best = 0;
        double shortest = 0;
        for (std::size_t index = 0; index < engineCount; ++index) {
            Engine &engine = this->engines[index];
            double tokens = prompt.tokens;
            for (const Prompt &queued : engine.queue)
                tokens += queued.tokens;
            if (!engine.queue.empty())
                tokens += engine.chunkLeft - engine.queue.front().tokens;
            const double time = tokens / engine.speed.tokensPerSecondAt(this->now);
            if (index != 0 && time >= shortest)
                continue;
            best = index;
            shortest = time;
        }
        return best;
    }

    std::size_t choose(const Prompt &prompt, const std::set<UpstreamId> &excluded)
    {
        const Host &host = this->hosts[prompt.host];
        UpstreamNeed need;
        need.model = { "m", "" };
        need.excluded = excluded;
        need.prefillTokensPerSecond = host.rate.perSecond;
        need.promptTokens = prompt.tokens;
        const Upstream *chosen = chooseUpstream(host.upstreams, need, {}, this->draw(),
                                                this->instant());
        return std::stoul(chosen->listed.id.value.substr(1)) - 1000;
    }

    double rateOf(const Coordinator &coordinator) const
    {
        constexpr Span decayTime = std::chrono::seconds(5);
        const double seconds = valueAt(coordinator.readSeconds, decayTime, this->instant());
        const double tokens = valueAt(coordinator.readTokens, decayTime, this->instant());
        return seconds > 0.2 ? tokens / seconds : 0;
    }

    /// The wait that a coordinator answers.
    double waitAt(std::size_t engine)
    {
        const Coordinator &coordinator = this->coordinators[engine];
        if (this->settings.choice != Choice::BySpeed)
            return coordinator.unread / tokensPerSecond;
        UpstreamSpeed speed = coordinator.speed;
        recordCoordinator(speed, this->rateOf(coordinator), 0, this->instant());
        return coordinator.unread
                / expectedTokensPerSecond(speed, tokensPerSecond, this->instant());
    }

    /// Asks the coordinator of the chosen engine, and that of a second one if the wait is long.
    void askFor(const Prompt &prompt)
    {
        const std::size_t first = this->choose(prompt, {});
        this->at(this->now + 2 * oneWaySeconds, [this, prompt, first] {
            const double wait = this->waitAt(first);
            if (wait < minWaitToAskOther) {
                this->send(prompt, first);
                return;
            }
            const std::size_t second = this->choose(prompt, { idOf(first) });
            this->at(this->now + 2 * oneWaySeconds, [this, prompt, first, second] {
                const bool isSooner = this->waitAt(second) + minAdmissionGain < this->waitAt(first);
                this->send(prompt, isSooner ? second : first);
            });
        });
    }

    void send(Prompt prompt, std::size_t index)
    {
        this->sends.emplace_back(this->now, index);
        Upstream &upstream = this->hosts[prompt.host].upstreams.at(idOf(index));
        prompt.sentAt = this->now;
        prompt.isEngineIdle = queuedPromptTokens(upstream, this->instant()) < 0.2 * prompt.tokens;
        add(upstream.ownPrompts, prompt.tokens, promptDecayTime, this->instant());
        ++upstream.requestsInFlight;
        Coordinator &coordinator = this->coordinators[index];
        if (coordinator.unread < 1)
            coordinator.busySince = this->now;
        coordinator.unread += prompt.tokens;
        Engine &engine = this->engines[index];
        engine.queue.push_back(prompt);
        if (engine.queue.size() == 1) {
            engine.chunkLeft = prompt.tokens;
            this->readChunk(index);
        }
    }

    void readChunk(std::size_t index)
    {
        Engine &engine = this->engines[index];
        const double tokens = std::min(engine.chunkLeft, chunkTokens);
        const double end = this->now + tokens / engine.speed.tokensPerSecondAt(this->now);
        this->at(end, [this, index, tokens] {
            Engine &engine = this->engines[index];
            engine.chunkLeft -= tokens;
            if (engine.chunkLeft <= 0) {
                const Prompt read = engine.queue.front();
                engine.queue.pop_front();
                this->answer(read, index);
                if (engine.queue.empty())
                    return;
                engine.chunkLeft = engine.queue.front().tokens;
            }
            this->readChunk(index);
        });
    }

    /// The first event reaches the host, and its report reaches the coordinator.
    void answer(const Prompt &prompt, std::size_t index)
    {
        if (prompt.arrivedAt > 10)
            this->times.push_back(this->now - prompt.arrivedAt);
        Host &host = this->hosts[prompt.host];
        Upstream &upstream = host.upstreams.at(idOf(index));
        --upstream.requestsInFlight;
        upstream.load.waiting = static_cast<std::uint32_t>(this->engines[index].queue.size());
        upstream.loadAt = this->instant();
        const double slowdown = this->engines[index].speed.slowdownAt(this->now);
        const Span elapsed = fromSeconds(this->now - prompt.sentAt);
        if (this->settings.choice == Choice::BySpeed) {
            recordSlowdown(upstream.speed, slowdown, this->instant());
            if (prompt.isEngineIdle) {
                recordOwnRatio(upstream.speed,
                               toSeconds(elapsed) / slowdown
                                       / expectedSeconds(host.rate, prompt.tokens),
                               this->instant());
            }
        }
        if (prompt.isEngineIdle)
            recordPrefill(host.rate, prompt.tokens, elapsed);
        this->at(this->now + oneWaySeconds,
                 [this, prompt, index, slowdown] { this->report(prompt, index, slowdown); });
    }

    void report(const Prompt &prompt, std::size_t index, double slowdown)
    {
        Coordinator &coordinator = this->coordinators[index];
        constexpr Span decayTime = std::chrono::seconds(5);
        add(coordinator.readTokens, prompt.tokens, decayTime, this->instant());
        add(coordinator.readSeconds, this->now - coordinator.busySince, decayTime, this->instant());
        coordinator.busySince = this->now;
        coordinator.unread -= prompt.tokens;
        recordSlowdown(coordinator.speed, slowdown, this->instant());
        const double expected = recentSlowdown(coordinator.speed, this->instant());
        const double ratio = expected / coordinator.sentSlowdown;
        // A host sends changes within 10 KB/s, 300 bytes to each host.
        double &nextAt = this->nextChangeAt[index % hostCount];
        if (this->now < nextAt || (ratio < 1.3 && ratio > 1 / 1.3))
            return;
        nextAt = this->now + (hostCount - 1) * 300 / 10'000.0;
        this->sendUpdate(index);
    }

    /// The coordinator of \a engine sends its figures to all hosts.
    void sendUpdate(std::size_t engine)
    {
        if (this->settings.choice != Choice::BySpeed
            || this->now > this->settings.coordinatorsStopAt)
            return;
        Coordinator &coordinator = this->coordinators[engine];
        const double slowdown = recentSlowdown(coordinator.speed, this->instant());
        if (slowdown > 0)
            coordinator.sentSlowdown = slowdown;
        for (Host &host : this->hosts) {
            Upstream &upstream = host.upstreams.at(idOf(engine));
            if (slowdown > 0)
                recordSlowdown(upstream.speed, slowdown, this->instant());
            recordCoordinator(upstream.speed, this->rateOf(coordinator),
                              std::max(coordinator.unread, 0.0), this->instant());
            upstream.ownPromptsReported = {
                valueAt(upstream.ownPrompts, promptDecayTime, this->instant()), this->instant()
            };
        }
    }

    /// Regular updates, spread over the heartbeat interval of the fleet.
    void sendUpdates()
    {
        const HeartbeatPlan plan = planHeartbeats(hostCount / 3, hostCount * 2 / 3);
        this->sendUpdate(this->nextEngine);
        this->nextEngine = (this->nextEngine + 1) % engineCount;
        this->at(this->now + toSeconds(plan.inOtherZones) / engineCount,
                 [this] { this->sendUpdates(); });
    }

    Settings settings;
    std::vector<Engine> engines;
    std::vector<Coordinator> coordinators;
    std::vector<Host> hosts;
    std::map<std::size_t, double> nextChangeAt; ///< By coordinating host.
    std::multimap<double, std::function<void()>> events;
    std::mt19937_64 arrivals{ 17 };
    std::mt19937_64 random{ 23 };
    std::vector<double> times;
    double perSecond = 0;
    double now = 0;
    std::size_t nextEngine = 0;
};

double percentileOf(const Settings &settings, const char *name)
{
    EngineFleet fleet(settings);
    fleet.run();
    const double result = fleet.quantile(0.95);
    std::printf("%s: 95th percentile %.0f ms, median %.0f ms\n", name, result * 1000,
                fleet.quantile(0.5) * 1000);
    return result;
}

// Guards against engines of different speeds that get equal numbers of prompts.
TEST(EngineSpeedLoad, FirstEventsComeNearlyAsSoonAsWithPerfectKnowledge)
{
    const double oracle = percentileOf({ .choice = Choice::Oracle }, "oracle");
    const double before = percentileOf({ .choice = Choice::ByServiceRate }, "by service rate");
    const double served = percentileOf({ .choice = Choice::BySpeed }, "by speed");
    EXPECT_LT(served, before);
    EXPECT_LE(served, 1.25 * oracle);
}

// Guards against prompts that go to an engine while other work slows it, and against an engine
// that stays unused after it has recovered.
TEST(EngineSpeedLoad, ASlowedEngineIsAvoidedAndUsedAgain)
{
    constexpr double slowedAt = 20;
    constexpr double recoveredAt = 24;
    const std::vector<std::size_t> slowed{ 3, 4, 5, 60, 61, 62 };
    EngineFleet fleet({ .seconds = 30, .hasPeriods = false });
    for (const std::size_t engine : slowed) {
        fleet.at(slowedAt, [&fleet, engine] { fleet.slow(engine, true); });
        fleet.at(recoveredAt, [&fleet, engine] { fleet.slow(engine, false); });
    }
    fleet.run();
    const auto perSecond = [&](double from, double to) {
        const auto count = std::count_if(
                fleet.sends.begin(), fleet.sends.end(), [&](const auto &send) {
                    return send.first >= from && send.first < to
                            && std::find(slowed.begin(), slowed.end(), send.second) != slowed.end();
                });
        return static_cast<double>(count) / (to - from);
    };
    const double usual = perSecond(10, slowedAt);
    const double whileSlow = perSecond(slowedAt + 0.5, recoveredAt);
    const double afterwards = perSecond(recoveredAt + 1, recoveredAt + 5);
    std::printf("prompts per second: usual %.1f, first 0.5 s %.1f, slowed %.1f, first second after "
                "%.1f, afterwards %.1f\n",
                usual, perSecond(slowedAt, slowedAt + 0.5), whileSlow,
                perSecond(recoveredAt, recoveredAt + 1), afterwards);
    EXPECT_LE(whileSlow, 0.5 * usual);
    EXPECT_GE(afterwards, 0.75 * usual);
}

} // namespace
} // namespace azurewell::gateway
