#include "fleet_run.h"

#include "fakes.h"

#include "azurewell/placement/engine_adapters.h"
#include "azurewell/routing/choose_engine.h"
#include "azurewell/routing/rendezvous.h"
#include "azurewell/routing/retry_budget.h"
#include "azurewell/scheduling/fair_queue.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace azurewell::load {

namespace {

constexpr Span heartbeatInterval = fromSeconds(0.5);
constexpr Span tickInterval = fromSeconds(0.1);
constexpr Span unloadTime = fromSeconds(0.02);
constexpr std::size_t zones = 3;
constexpr std::size_t mostQueued = 1024;

struct Granted
{
    CustomerId customer;
    AdapterRef adapter;
    Tokens charged;
    double weight = 1.0;
    std::size_t host = 0;
    std::uint64_t epoch = 0; ///< Tells this run from an earlier one of the same job.
};

/// An engine with its keeper, as in packages/host.
struct Kept
{
    UpstreamId id;
    std::size_t zone = 0;
    FakeEngine engine;
    FairQueue queue;
    EngineAdapters adapters;
    std::unordered_map<std::size_t, Granted> granted;
    std::unordered_map<AdapterRef, Instant> loadedAt;
    std::uint64_t start = 1; ///< Rises with each restart; ends of older loads are ignored.
};

/// What one host believes of one engine.
struct Known
{
    std::uint32_t reported = 0;
    std::uint32_t ownAtReport = 0;
    std::uint32_t own = 0;
    std::set<AdapterRef> loaded;
};

struct EntryHost
{
    std::vector<Known> engines;
    RetryBudget retries;
};

struct TimedStep
{
    Instant at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const TimedStep &other) const
    {
        return std::pair(this->at, this->order) > std::pair(other.at, other.order);
    }
};

class Fleet
{
public:
    Fleet(const Deployment &sizes, const Pattern &shape, Policy how, const std::vector<Job> &work,
          std::uint64_t seed)
        : deployment(sizes)
        , pattern(shape)
        , policy(how)
        , jobs(work)
        , random(seed)
        , charts(loadKnownCharts(AZUREWELL_CHARTS_DIR).value())
    {
        this->result.outcomes.resize(work.size());
        this->enqueuedAt.resize(work.size());
        this->store.loadsPerSecond = sizes.loadsPerSecond;
        this->store.slowness = shape.storeSlowness;
        this->engines.resize(sizes.engines);
        for (std::size_t index = 0; index < this->engines.size(); ++index)
            this->setUp(index);
        this->hosts.resize(sizes.hosts);
        for (EntryHost &host : this->hosts)
            host.engines.resize(sizes.engines);
    }

    RunResult run()
    {
        for (std::size_t job = 0; job < this->jobs.size(); ++job)
            this->at(this->jobs[job].arrival, [this, job] { this->arrive(job); });
        this->at(Instant{ 0 }, [this] { this->heartbeat(); });
        this->at(Instant{ 0 }, [this] { this->tick(); });
        if (this->pattern.restartEvery > 0)
            this->at(measureFrom, [this] { this->restartOne(); });
        while (!this->steps.empty()) {
            const TimedStep step = this->steps.top();
            this->steps.pop();
            if (step.at >= runUntil)
                break;
            this->countSlots(step.at);
            this->now = step.at;
            step.run();
        }
        return std::move(this->result);
    }

private:
    void setUp(std::size_t index)
    {
        Kept &kept = this->engines[index];
        kept.id = UpstreamId{ "engine-" + std::to_string(index) };
        kept.zone = index % zones;
        kept.engine.batchSlots = this->deployment.batchSlots;
        kept.engine.slowness = index == 0 ? this->pattern.slowness : 1.0;
        kept.adapters.slots = this->deployment.adapterSlots;
    }

    void at(Instant when, std::function<void()> what)
    {
        this->steps.push(TimedStep{ when, this->nextOrder++, std::move(what) });
    }

    bool isBaseline() const
    {
        return this->policy == Policy::Baseline;
    }

    void countSlots(Instant until)
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
        for (const Kept &kept : this->engines) {
            running += kept.engine.running.size();
            waiting += kept.queue.size;
        }
        const Instant from = std::max(this->now, measureFrom);
        const Instant to = std::min(until, measureUntil);
        if (waiting == 0 || to <= from)
            return;
        const double seconds = toSeconds(to - from);
        const std::size_t all = this->engines.size() * this->deployment.batchSlots;
        this->result.slots.used += seconds * static_cast<double>(running);
        this->result.slots.usable += seconds
                * static_cast<double>(std::min(all, running + waiting));
        this->result.slots.all += seconds * static_cast<double>(all);
    }

    void arrive(std::size_t job)
    {
        if (!this->jobs[job].isInRate) {
            this->result.outcomes[job].ending = Ending::OverRate;
            return;
        }
        countFirstTry(this->hosts[this->jobs[job].host].retries);
        this->route(job);
    }

    UpstreamView viewOf(const Job &job, std::size_t index) const
    {
        const Known &known = this->hosts[job.host].engines[index];
        UpstreamView view;
        view.id = this->engines[index].id;
        view.state = UpstreamState::Live;
        view.isOwnZone = this->engines[index].zone == job.host % zones;
        view.hasAdapter = known.loaded.contains(job.adapter);
        view.load = static_cast<double>(std::max(known.reported, known.own))
                / static_cast<double>(this->deployment.batchSlots);
        view.affinity = rendezvousWeight(job.adapter.value, view.id.value);
        return view;
    }

    void route(std::size_t number)
    {
        const Job &job = this->jobs[number];
        std::vector<UpstreamView> views;
        for (std::size_t index = 0; index < this->engines.size(); ++index)
            views.push_back(this->viewOf(job, index));
        const std::optional<UpstreamId> chosen = this->isBaseline() ? chooseBackEnd(views)
                                                                    : chooseEngine(views);
        if (!chosen) {
            this->end(number, Ending::Refused);
            return;
        }
        const auto found = std::find_if(this->engines.begin(), this->engines.end(),
                                        [&chosen](const Kept &kept) { return kept.id == *chosen; });
        this->ask(number, static_cast<std::size_t>(found - this->engines.begin()));
    }

    void ask(std::size_t number, std::size_t index)
    {
        const Job &job = this->jobs[number];
        Kept &kept = this->engines[index];
        if (kept.queue.size >= mostQueued) {
            this->end(number, Ending::Refused);
            return;
        }
        WaitingRequest request;
        request.request = RequestId{ std::to_string(number) };
        request.customer = this->isBaseline() ? CustomerId{ "all" }
                                              : this->deployment.customers[job.customer].id;
        request.adapter = job.adapter;
        request.cost = job.prompt + job.mostGenerated;
        request.weight = this->isBaseline() ? 1.0 : this->deployment.customers[job.customer].weight;
        request.deadline = job.deadline;
        ++this->hosts[job.host].engines[index].own;
        this->enqueuedAt[number] = this->now;
        enqueue(kept.queue, std::move(request));
        this->serve(index);
    }

    void serve(std::size_t index)
    {
        this->grantReady(index);
        this->orderLoads(index);
    }

    void grantReady(std::size_t index)
    {
        Kept &kept = this->engines[index];
        const auto mayRun = [&kept](const WaitingRequest &request) {
            return isLoaded(kept.adapters, request.adapter);
        };
        while (kept.granted.size() < kept.engine.batchSlots) {
            const std::optional<WaitingRequest> request = takeNext(kept.queue, mayRun);
            if (!request)
                return;
            this->grant(index, *request);
        }
    }

    void grant(std::size_t index, const WaitingRequest &request)
    {
        Kept &kept = this->engines[index];
        const std::size_t number = std::stoul(request.request.value);
        const Job &job = this->jobs[number];
        this->noteStall(kept, number, this->now);
        pin(kept.adapters, request.adapter, this->now);
        const std::uint64_t epoch = ++this->epochs;
        kept.granted[number] = Granted{ request.customer, request.adapter, request.cost,
                                        request.weight,   job.host,        epoch };
        kept.engine.running.insert(number);
        const Span prefill = fromSeconds(static_cast<double>(job.prompt.count)
                                         * secondsPerPromptToken * kept.engine.slowness);
        this->result.outcomes[number].firstToken = this->now + prefill;
        const Instant done = this->now
                + fromSeconds(toSeconds(serviceTime(job)) * kept.engine.slowness);
        const bool isInTime = done <= job.deadline;
        this->at(isInTime ? done : job.deadline, [this, index, number, epoch, isInTime] {
            this->finish(index, number, epoch, isInTime ? Ending::Completed : Ending::Expired);
        });
    }

    void noteStall(Kept &kept, std::size_t number, Instant until)
    {
        const auto loaded = kept.loadedAt.find(this->jobs[number].adapter);
        const bool isThere = isLoaded(kept.adapters, this->jobs[number].adapter);
        const Instant ended = isThere && loaded != kept.loadedAt.end() ? loaded->second : until;
        const Span stall = std::max(Span{}, ended - this->enqueuedAt[number]);
        this->result.outcomes[number].loadStall += stall;
    }

    void finish(std::size_t index, std::size_t number, std::uint64_t epoch, Ending ending)
    {
        Kept &kept = this->engines[index];
        const auto found = kept.granted.find(number);
        if (found == kept.granted.end() || found->second.epoch != epoch)
            return; // the engine restarted meanwhile
        const Granted granted = found->second;
        const Job &job = this->jobs[number];
        kept.granted.erase(found);
        kept.engine.running.erase(number);
        unpin(kept.adapters, granted.adapter);
        correctCharge(kept.queue, granted.customer, granted.weight, granted.charged,
                      job.prompt + job.generated);
        --this->hosts[job.host].engines[index].own;
        this->end(number, ending);
        this->serve(index);
    }

    void end(std::size_t number, Ending ending)
    {
        this->result.outcomes[number].ending = ending;
    }

    void orderLoads(std::size_t index)
    {
        Kept &kept = this->engines[index];
        std::set<AdapterRef> wanted;
        for (const auto &[id, customer] : kept.queue.customers) {
            for (const WaitingRequest &request : customer.waiting)
                wanted.insert(request.adapter);
        }
        for (const AdapterRef &adapter : wanted)
            this->order(index, nextStep(kept.adapters, adapter, this->now));
    }

    void order(std::size_t index, const PlacementStep &step)
    {
        if (step.kind == PlacementStep::Kind::Nothing)
            return;
        Kept &kept = this->engines[index];
        const bool isLoad = step.kind == PlacementStep::Kind::Load;
        const AdapterEvent ordered = isLoad ? AdapterEvent::LoadOrdered
                                            : AdapterEvent::UnloadOrdered;
        applyEvent(kept.adapters, this->charts.adapter, step.adapter, ordered, this->now);
        ++(isLoad ? this->result.loads : this->result.evictions);
        const Instant done = isLoad ? beginLoad(this->store, this->now) : this->now + unloadTime;
        const std::uint64_t start = kept.start;
        this->at(done, [this, index, step, isLoad, start] {
            if (isLoad)
                endLoad(this->store);
            if (this->engines[index].start == start)
                this->orderDone(index, step.adapter, isLoad);
        });
    }

    void orderDone(std::size_t index, const AdapterRef &adapter, bool isLoad)
    {
        Kept &kept = this->engines[index];
        applyEvent(kept.adapters, this->charts.adapter, adapter,
                   isLoad ? AdapterEvent::LoadDone : AdapterEvent::UnloadDone, this->now);
        if (isLoad)
            kept.loadedAt[adapter] = this->now;
        this->serve(index);
    }

    void heartbeat()
    {
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            const Kept &kept = this->engines[index];
            std::set<AdapterRef> loaded;
            for (const auto &[ref, adapter] : kept.adapters.adapters) {
                if (adapter.state == AdapterState::Loaded)
                    loaded.insert(ref);
            }
            for (EntryHost &host : this->hosts) {
                Known &known = host.engines[index];
                known.reported = static_cast<std::uint32_t>(kept.queue.size + kept.granted.size());
                known.ownAtReport = known.own;
                known.loaded = loaded;
            }
        }
        this->at(this->now + heartbeatInterval, [this] { this->heartbeat(); });
    }

    void tick()
    {
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            Kept &kept = this->engines[index];
            endBackOffs(kept.adapters, this->charts.adapter, this->now);
            for (const WaitingRequest &expired : takeExpired(kept.queue, this->now)) {
                const std::size_t number = std::stoul(expired.request.value);
                this->noteStall(kept, number, this->now);
                --this->hosts[this->jobs[number].host].engines[index].own;
                this->end(number, Ending::Expired);
            }
            this->serve(index);
        }
        this->at(this->now + tickInterval, [this] { this->tick(); });
    }

    /// An engine comes back with nothing loaded. What ran is tried elsewhere within the budget.
    void restartOne()
    {
        const std::size_t index = this->random() % this->engines.size();
        Kept &kept = this->engines[index];
        ++kept.start;
        const std::unordered_map<std::size_t, Granted> lost = std::exchange(kept.granted, {});
        kept.engine.running.clear();
        std::vector<AdapterRef> known;
        for (const auto &[ref, adapter] : kept.adapters.adapters)
            known.push_back(ref);
        for (const auto &[number, granted] : lost)
            unpin(kept.adapters, granted.adapter);
        for (const AdapterRef &ref : known)
            applyEvent(kept.adapters, this->charts.adapter, ref, AdapterEvent::EngineRestarted,
                       this->now);
        std::set<std::size_t> numbers;
        for (const auto &[number, granted] : lost)
            numbers.insert(number);
        for (const std::size_t number : numbers) {
            EntryHost &host = this->hosts[this->jobs[number].host];
            --host.engines[index].own;
            if (takeRetry(host.retries))
                this->route(number);
            else
                this->end(number, Ending::Refused);
        }
        this->serve(index);
        this->at(this->now + fromSeconds(this->pattern.restartEvery),
                 [this] { this->restartOne(); });
    }

    const Deployment &deployment;
    const Pattern &pattern;
    Policy policy;
    const std::vector<Job> &jobs;
    std::mt19937_64 random;
    KnownCharts charts;
    FakeWeightStore store;
    std::vector<Kept> engines;
    std::vector<EntryHost> hosts;
    std::vector<Instant> enqueuedAt;
    std::priority_queue<TimedStep, std::vector<TimedStep>, std::greater<>> steps;
    std::uint64_t nextOrder = 0;
    std::uint64_t epochs = 0;
    Instant now;
    RunResult result;
};

} // namespace

RunResult runFleet(const Deployment &deployment, const Pattern &pattern, Policy policy,
                   const std::vector<Job> &jobs, std::uint64_t seed)
{
    return Fleet(deployment, pattern, policy, jobs, seed).run();
}

} // namespace azurewell::load
