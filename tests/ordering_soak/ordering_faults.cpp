#include "ordering_faults.h"

#include "azurewell/http/clock.h"

#include <algorithm>

namespace azurewell::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An order that arrives within this time after its host goes on does not count: the host cannot
/// have noticed the stop when it sent the bytes.
constexpr Span thawSlack = milliseconds(300);

/// Time between the beginnings of two faults, for this many hosts.
constexpr Span minFaultGap = milliseconds(200);
constexpr Span maxFaultGap = milliseconds(2500);
constexpr double hostsOfGap = 12;

/// An order that is held up arrives before its host stops to wait for the answer.
constexpr Span maxOrderDelay = milliseconds(1100);

} // namespace

OrderingFaults::OrderingFaults(FaultSettings faultSettings, HostFleet &hostFleet, Relay &hostRelay,
                               const OrderJudge &orderJudge, std::vector<std::string> engineIds)
    : settings(std::move(faultSettings))
    , fleet(hostFleet)
    , relay(hostRelay)
    , judge(orderJudge)
    , engines(std::move(engineIds))
    , plan(this->settings.seed)
    , random(this->settings.seed + 1)
{
}

void OrderingFaults::start()
{
    this->beginNext();
}

void OrderingFaults::stop()
{
    this->isStopped = true;
}

bool OrderingFaults::isJustThawed(const std::string &host, Instant now) const
{
    const std::size_t index = this->fleet.indexOf(host);
    if (index == this->fleet.hosts.size())
        return false;
    const Instant continuedAt = this->fleet.hosts[index].continuedAt;
    return continuedAt.micros != 0 && now - continuedAt <= thawSlack;
}

Span OrderingFaults::orderDelay(const std::string &host)
{
    const auto found = this->delayedUntil.find(host);
    if (found == this->delayedUntil.end() || found->second <= monotonicNow())
        return Span{};
    return this->draw(milliseconds(1), maxOrderDelay);
}

Span OrderingFaults::draw(Span least, Span most)
{
    std::uniform_int_distribution<std::int64_t> spans(least.count(), most.count());
    return Span{ spans(this->random) };
}

void OrderingFaults::later(Span delay, std::function<void()> action)
{
    QTimer::singleShot(std::chrono::duration_cast<milliseconds>(delay), Qt::PreciseTimer,
                       &this->context, std::move(action));
}

std::size_t OrderingFaults::drawHost()
{
    std::uniform_int_distribution<std::size_t> hosts(0, this->fleet.hosts.size() - 1);
    std::uniform_int_distribution<std::size_t> engineIndexes(0, this->engines.size() - 1);
    std::bernoulli_distribution isOrderingHost(0.7);
    const std::size_t any = hosts(this->plan);
    const std::string owner = this->judge.lastOwner(this->engines[engineIndexes(this->plan)]);
    const bool isOrdering = isOrderingHost(this->plan) && !owner.empty();
    return isOrdering ? this->fleet.indexOf(owner) : any;
}

bool OrderingFaults::mayDisturb(std::size_t index) const
{
    const bool isRunning = index < this->fleet.hosts.size() && this->fleet.hosts[index].isWanted;
    return isRunning && 3 * this->fleet.disturbed() < this->fleet.hosts.size();
}

void OrderingFaults::beginNext()
{
    struct Kind
    {
        const char *name;
        Fault begin;
        double weight;
    };
    constexpr std::array<Kind, 8> kinds{ {
            { "starved", &OrderingFaults::starve, 30 },
            { "starved together", &OrderingFaults::starveSeveral, 12 },
            { "paused", &OrderingFaults::pause, 18 },
            { "killed", &OrderingFaults::killAndRestart, 12 },
            { "not heard", &OrderingFaults::mute, 12 },
            { "not heard, several", &OrderingFaults::muteSeveral, 8 },
            { "not hearing", &OrderingFaults::deafen, 8 },
            { "orders late", &OrderingFaults::delayOrders, 8 },
    } };
    if (this->isStopped)
        return;
    const std::vector<std::string> &only = this->settings.only;
    std::vector<double> weights;
    for (const Kind &kind : kinds) {
        const bool isOn = only.empty()
                || std::find(only.begin(), only.end(), kind.name) != only.end();
        weights.push_back(isOn ? kind.weight : 0);
    }
    std::discrete_distribution<std::size_t> kindIndexes(weights.begin(), weights.end());
    const Kind &kind = kinds[kindIndexes(this->plan)];
    const std::size_t host = this->drawHost();
    if (this->mayDisturb(host)) {
        ++this->begun[kind.name];
        (this->*kind.begin)(host);
    }
    const double share = std::min(1.0, hostsOfGap / static_cast<double>(this->fleet.hosts.size()));
    std::uniform_real_distribution<double> gap(toSeconds(minFaultGap), toSeconds(maxFaultGap));
    this->later(fromSeconds(gap(this->plan) * share), [this] { this->beginNext(); });
}

void OrderingFaults::starve(std::size_t index)
{
    const Instant until = monotonicNow() + this->draw(seconds(2), seconds(9));
    this->runSlice(index, this->fleet.hosts[index].life, until);
}

void OrderingFaults::starveSeveral(std::size_t index)
{
    const Instant until = monotonicNow() + this->draw(seconds(2), seconds(6));
    const std::size_t count = this->fleet.hosts.size();
    for (std::size_t i = 0; i < std::max<std::size_t>(2, count / 4); ++i) {
        const std::size_t host = (index + i) % count;
        if (this->fleet.hosts[host].isWanted)
            this->runSlice(host, this->fleet.hosts[host].life, until);
    }
}

/// Stops a host, and lets it run for a while after that, again and again.
void OrderingFaults::runSlice(std::size_t index, std::uint64_t life, Instant until)
{
    if (monotonicNow() >= until || this->fleet.hosts[index].life != life)
        return;
    const Span stopped = this->draw(milliseconds(50), milliseconds(2500));
    const Span running = this->draw(milliseconds(10), milliseconds(1000));
    this->fleet.stop(index);
    this->later(stopped, [this, index, life] { this->fleet.endStop(index, life); });
    this->later(stopped + running,
                [this, index, life, until] { this->runSlice(index, life, until); });
}

void OrderingFaults::pause(std::size_t index)
{
    const std::uint64_t life = this->fleet.hosts[index].life;
    this->fleet.stop(index);
    this->later(this->draw(milliseconds(500), seconds(6)),
                [this, index, life] { this->fleet.endStop(index, life); });
}

void OrderingFaults::killAndRestart(std::size_t index)
{
    this->fleet.kill(index);
    this->later(this->draw(milliseconds(100), seconds(4)),
                [this, index] { this->fleet.start(index); });
}

void OrderingFaults::mute(std::size_t index)
{
    ++this->relay.muted[index];
    this->later(this->draw(milliseconds(2500), seconds(9)),
                [this, index] { --this->relay.muted[index]; });
}

void OrderingFaults::muteSeveral(std::size_t index)
{
    const std::size_t count = this->fleet.hosts.size();
    for (std::size_t i = 0; i < std::max<std::size_t>(2, count / 4); ++i)
        this->mute((index + i) % count);
}

void OrderingFaults::deafen(std::size_t index)
{
    ++this->relay.deaf[index];
    this->later(this->draw(milliseconds(2500), seconds(9)),
                [this, index] { --this->relay.deaf[index]; });
}

void OrderingFaults::delayOrders(std::size_t index)
{
    const Instant until = monotonicNow() + this->draw(seconds(2), seconds(6));
    Instant &delayed = this->delayedUntil[this->fleet.hosts[index].name];
    delayed = std::max(delayed, until);
}

} // namespace azurewell::soak
