#include "store_return_fleet.h"

#include "store_return_host.h"
#include "store_return_judge.h"
#include "store_return_store.h"
#include "store_return_writers.h"

namespace azurewell::gateway {

using namespace store_return;

namespace {

class StoreReturnFleet
{
public:
    explicit StoreReturnFleet(const StoreReturnPlan &given)
        : plan(given)
        , writers(this->plan)
        , judge(this->plan, this->writers)
        , random(given.seed)
        , charts(loadKnownCharts(AZUREWELL_CHARTS_DIR).value())
        , hosts(given.zones * given.hostsPerZone)
    {
        this->judge.result.callsAfterReturn.resize(this->plan.returns.size());
        const std::vector<std::size_t> &absent = this->plan.absentFirst;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (std::find(absent.begin(), absent.end(), index) == absent.end())
                this->start(index);
        }
    }

    StoreReturnResult play()
    {
        const Instant end = this->plan.returns.back().backAt + agreedAfter;
        while (this->now < end)
            this->step();
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (this->hosts[index].isRunning)
                this->judge.checkAgreement(this->hosts[index], index, this->now);
        }
        return this->judge.result;
    }

private:
    void start(std::size_t index)
    {
        const std::uint64_t incarnation = this->hosts[index].incarnation + 1;
        ReturnHost &host = this->hosts[index];
        host = {};
        host.isRunning = true;
        host.incarnation = incarnation;
        host.startedAt = this->now;
        Identity self;
        self.id.value = "h" + std::to_string(index);
        self.zone.value = "z" + std::to_string(index % this->plan.zones);
        self.address = { std::to_string(index), 1 };
        self.seeds = { { "0", 1 }, { "1", 1 }, { "2", 1 } };
        self.propagationTimeout = this->plan.inForceWithin;
        self.randomSeed = this->plan.seed + index + incarnation * 1000;
        self.incarnation.value = incarnation;
        gateway::start(host.state, self, this->charts, this->now);
        host.state.published.compare = compareSimple;
        host.state.published.holdTime = holdSimple;
    }

    void step()
    {
        const Instant before = this->now;
        this->now = this->now + tickInterval;
        for (const StoreReturn &one : this->plan.returns) {
            if (one.backAt > before && one.backAt <= this->now) {
                Judge::recordKnown(this->writers, this->hosts);
                this->writers.takeReturn(one);
            }
        }
        this->writers.step(this->now);
        for (const HostStart &one : this->plan.starts) {
            if (one.at > before && one.at <= this->now)
                this->start(one.host);
        }
        const std::vector<SendGossip> arrived = std::exchange(this->inFlight, {});
        for (const SendGossip &sent : arrived)
            this->deliver(sent);
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (this->hosts[index].isRunning)
                this->run(index);
        }
    }

    void run(std::size_t index)
    {
        ReturnHost &host = this->hosts[index];
        this->readStore(host, index);
        host.applyFromPeers();
        Actions actions;
        tick(host.state, this->now, actions);
        this->send(actions);
        host.applyFromPeers();
        this->judge.check(host, index, this->now);
    }

    bool isCut(std::size_t zone) const
    {
        return std::any_of(this->plan.cuts.begin(), this->plan.cuts.end(), [&](const ZoneCut &cut) {
            return cut.zone == zone && this->now >= cut.from && this->now < cut.until;
        });
    }

    void deliver(const SendGossip &sent)
    {
        constexpr std::uint64_t lostOneIn = 50;
        const std::size_t index = std::stoul(sent.to.ip);
        const std::size_t fromZone = std::stoul(sent.message->zone.value.substr(1));
        const std::size_t zone = index % this->plan.zones;
        const bool isCutOff = zone != fromZone && (this->isCut(zone) || this->isCut(fromZone));
        if (this->random() % lostOneIn == 0 || isCutOff || !this->hosts[index].isRunning)
            return;
        Actions actions;
        handle(this->hosts[index].state, *sent.message, this->now, actions);
        this->send(actions);
    }

    void send(const Actions &actions)
    {
        this->inFlight.insert(this->inFlight.end(), actions.gossip.begin(), actions.gossip.end());
    }

    bool isRejected(std::size_t index) const
    {
        return this->plan.rejectedEach != 0 && index % this->plan.rejectedEach == 0
                && this->now >= this->plan.rejectsFrom && this->now < this->plan.rejectsUntil;
    }

    void readStore(ReturnHost &host, std::size_t index)
    {
        PlatformReader &reader = host.state.platformReader;
        if (readsPlatform(host.state, this->now)) {
            const std::optional<ReadCall> read = beginRead(reader, host.needsWatch(), this->now);
            if (read) {
                host.call = host.nextCall(*read, this->now);
                this->countCall();
                return;
            }
        }
        if (host.call)
            this->advanceCall(host, index);
    }

    void countCall()
    {
        for (std::size_t index = 0; index < this->plan.returns.size(); ++index) {
            const Instant back = this->plan.returns[index].backAt;
            if (this->now >= back && this->now < back + std::chrono::seconds(1))
                ++this->judge.result.callsAfterReturn[index];
        }
    }

    void advanceCall(ReturnHost &host, std::size_t index)
    {
        StoreCall &call = *host.call;
        const bool isRefusing = std::any_of(this->plan.returns.begin(), this->plan.returns.end(),
                                            [this](const StoreReturn &one) {
                                                return one.isRefusing && this->now >= one.awayAt
                                                        && this->now < one.backAt;
                                            });
        if (this->isRejected(index) || isRefusing) {
            host.call.reset();
            host.fail(ReadFailure::Rejected, this->now);
            return;
        }
        call.isLost = call.isLost || this->writers.isAway;
        if (call.isLost) {
            if (this->now < call.deadline)
                return;
            host.call.reset();
            host.fail(ReadFailure::NoAnswer, this->now);
            return;
        }
        const std::optional<StoreAnswer> answer = this->answerTo(call);
        if (!answer)
            return;
        const StoreCall asked = call;
        host.call.reset();
        host.takeAnswer(*answer, asked, this->random, this->now);
    }

    std::optional<StoreAnswer> answerTo(const StoreCall &call) const
    {
        const ReturningStore &store = this->writers.store;
        StoreAnswer answer;
        answer.era = this->plan.isEraIgnored ? 0 : store.era;
        answer.at = store.revision();
        if (call.isWatch) {
            answer.isGone = call.after > store.revision();
            if (!answer.isGone)
                answer.items = store.eventsAfter(call.after);
            if (!answer.isGone && answer.items.empty() && this->now < call.answerBy)
                return std::nullopt;
        } else {
            auto next = store.items.upper_bound(call.afterKey);
            while (next != store.items.end() && answer.items.size() < pageItems)
                answer.items.push_back((next++)->second);
            answer.hasMore = next != store.items.end();
        }
        for (PublishedItem &item : answer.items)
            item.position.era = answer.era;
        return answer;
    }

    const StoreReturnPlan plan;
    StoreWriters writers;
    Judge judge;
    Random random;
    KnownCharts charts;
    std::vector<ReturnHost> hosts;
    std::vector<SendGossip> inFlight;
    Instant now = StoreReturnPlan::begins;
};

} // namespace

StoreReturnResult playStoreReturns(const StoreReturnPlan &plan)
{
    return StoreReturnFleet(plan).play();
}

} // namespace azurewell::gateway
