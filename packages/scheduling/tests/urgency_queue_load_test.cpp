// Load patterns of one engine whose customers send more than it prefills, with prompts of three
// priorities from 20 hosts. The engine is modelled as a fixed rate with a window of unread tokens.
#include "azurewell/scheduling/urgency_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>

using namespace azurewell;

namespace {

constexpr int hosts = 20;
constexpr int customers = 16;
constexpr int levels = 3;
constexpr double tokensPerMilli = 22;
constexpr double windowTokens = tokensPerMilli * 370;
constexpr double meanTokens = 1110;

/// The load of one run, and its length in milliseconds.
struct Load
{
    double multiple = 1; ///< Of the capacity.
    std::array<double, levels> mix{ 0.15, 0.35, 0.5 };
    int busyCustomer = -1; ///< Sends busyFactor times its usual load.
    double busyFactor = 6;
    int firstLevel = 0; ///< Levels before firstLevel and after lastLevel send nothing.
    int lastLevel = levels - 1;
    std::uint64_t millis = 1'800'000;
    std::uint64_t lostAt = 0; ///< The first half of the hosts sends nothing for 5 s from here.
};

/// What became of the prompts of one customer at one level, in tokens.
struct Served
{
    double offered = 0;
    double granted = 0;
};

/// By level and customer.
using Period = std::array<std::array<Served, customers>, levels>;

struct Outcome
{
    std::vector<Period> periods;
    std::array<std::array<Served, customers>, levels> served{};
    double read = 0;
    std::uint64_t grants = 0;
    std::uint64_t inversions = 0;
    std::uint64_t rejections = 0;
    std::uint64_t lateRejections = 0;
    std::uint64_t longestInverted = 0; ///< Milliseconds in which more than 5 % were inversions.
    std::size_t mostWaiting = 0;

    double grantedOf(int level) const
    {
        const std::array<Served, customers> &all = this->served[static_cast<std::size_t>(level)];
        return std::accumulate(all.begin(), all.end(), 0.0, [](double sum, const Served &each) {
            return sum + each.granted;
        });
    }
    double offeredOf(int level) const
    {
        const std::array<Served, customers> &all = this->served[static_cast<std::size_t>(level)];
        return std::accumulate(all.begin(), all.end(), 0.0, [](double sum, const Served &each) {
            return sum + each.offered;
        });
    }
};

int customerOf(const WaitingRequest &request)
{
    return std::stoi(request.customer.value);
}

/// One engine, its queue and its callers.
class EngineRun
{
public:
    explicit EngineRun(const Load &ofRun) : load(ofRun) {}

    Outcome run()
    {
        for (int level = this->load.firstLevel; level <= this->load.lastLevel; ++level) {
            for (int customer = 0; customer < customers; ++customer)
                this->addSender(level, customer);
        }
        for (this->milli = 0; this->milli < this->load.millis; ++this->milli) {
            if (this->milli % 30'000 == 0)
                this->outcome.periods.emplace_back();
            for (Sender &sender : this->senders)
                this->send(sender);
            for (const WaitingRequest &expired : takeExpired(this->queue, this->now()))
                this->reject(expired);
            this->grant();
            const double read = std::min(this->unread, tokensPerMilli);
            this->unread -= read;
            this->outcome.read += read;
        }
        if (load.busyCustomer < 0) for (int l=0;l<3;++l) std::printf("   level %d queued %d late %d over %d\n", l, v[l][0], v[l][1], v[l][2]);
        return this->outcome;
    }

private:
    struct Sender
    {
        std::mt19937_64 random;
        int level = 0;
        int customer = 0;
        double perMilli = 0; ///< Prompts.
        double nextAt = 0;
    };

    void addSender(int level, int customer)
    {
        double sizes = 0;
        for (int other = 0; other < customers; ++other)
            sizes += 1.0 / (other + 1);
        Sender sender;
        sender.random.seed(static_cast<std::uint64_t>(level * customers + customer + 1 + (getenv("SEED")?atoi(getenv("SEED")):0)));
        sender.level = level;
        sender.customer = customer;
        sender.perMilli = this->load.multiple * tokensPerMilli / meanTokens
                * this->load.mix[static_cast<std::size_t>(level)] / (customer + 1) / sizes;
        if (customer == this->load.busyCustomer)
            sender.perMilli *= this->load.busyFactor;
        this->senders.push_back(sender);
        this->advance(this->senders.back());
    }

    void advance(Sender &sender)
    {
        sender.nextAt += std::exponential_distribution<double>(sender.perMilli)(sender.random);
    }

    Instant now() const { return Instant{ static_cast<std::int64_t>(this->milli) * 1000 }; }

    void send(Sender &sender)
    {
        while (sender.nextAt <= static_cast<double>(this->milli)) {
            this->advance(sender);
            const WaitingRequest request = this->requestOf(sender);
            const int host = std::stoi(request.requester.value);
            const bool isLost = this->load.lostAt > 0 && this->milli >= this->load.lostAt
                    && this->milli < this->load.lostAt + 5000 && host < hosts / 2;
            if (isLost)
                continue;
            this->outcome.periods.back()[sender.level][sender.customer].offered += static_cast<double>(request.cost.count);
            this->servedOf(sender.level, sender.customer).offered
                    += static_cast<double>(request.cost.count);
            const Priority priority{ static_cast<std::uint8_t>(sender.level * 4) };
            const OfferResult result = offer(this->queue, priority, request,
                                             { TokenRate{ tokensPerMilli * 1000 }, this->unread / windowTokens }, this->now());
            if (result.verdict != OfferVerdict::Queued)
                ++this->outcome.rejections;
            ++v[sender.level][int(result.verdict)];
            if (result.dropped)
                this->reject(*result.dropped);
        }
        this->outcome.mostWaiting = std::max(this->outcome.mostWaiting, this->queue.size);
    }

    WaitingRequest requestOf(Sender &sender)
    {
        // First events are expected within 0.8, 1.2 or 2 s; the window is read before the prompt.
        constexpr std::array<int, 3> objectives{ 800, 1200, 2000 };
        const std::size_t drawn = sender.random() % objectives.size();
        constexpr double shortest = 200;
        std::exponential_distribution<double> more(1 / (meanTokens - shortest));
        const double tokens = std::min(shortest + more(sender.random), 4 * meanTokens);
        WaitingRequest request;
        request.request = RequestId{ std::to_string(++this->requests) };
        request.requester = HostId{ std::to_string(sender.random() % hosts) };
        request.customer = CustomerId{ std::to_string(sender.customer) };
        request.cost = Tokens{ static_cast<std::int64_t>(tokens) };
        request.deadline = this->now() + std::chrono::milliseconds(objectives[drawn]);
        request.latestStart = request.deadline
                - fromSeconds((windowTokens + tokens) / tokensPerMilli / 1000);
        return request;
    }

    Served &servedOf(int level, int customer)
    {
        return this->outcome
                .served[static_cast<std::size_t>(level)][static_cast<std::size_t>(customer)];
    }

public:
    int v[3][4]{};
    void reject(const WaitingRequest &request)
    {
        ++this->outcome.rejections;
        if (this->now() - request.queuedAt > std::chrono::milliseconds(150))
            ++this->outcome.lateRejections;
    }

    void grant()
    {
        while (const WaitingRequest *next = peekNext(this->queue)) {
            const double tokens = static_cast<double>(next->cost.count);
            if (this->unread > 0 && this->unread + tokens > windowTokens)
                return;
            std::array<std::size_t, levels> waiting{};
            for (std::size_t level = 0; level < levels; ++level)
                waiting[level] = this->queue.levels[level * 4].queue.size;
            const WaitingRequest taken = *takeNext(this->queue);
            std::size_t level = 0;
            while (this->queue.levels[level * 4].queue.size == waiting[level])
                ++level;
            ++this->outcome.grants;
            if (std::any_of(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(level),
                            [](std::size_t size) { return size > 0; }))
                ++this->outcome.inversions;
            this->servedOf(static_cast<int>(level), customerOf(taken)).granted += tokens;
            this->outcome.periods.back()[level][customerOf(taken)].granted += tokens;
            this->unread += tokens;
        }
    }

    Load load;
    UrgencyQueue queue;
    Outcome outcome;
    std::vector<Sender> senders;
    double unread = 0;
    std::uint64_t milli = 0;
    std::uint64_t requests = 0;
};

Outcome outcomeOf(const Load &load)
{
    return EngineRun(load).run();
}

/// The amount for each customer that uses up \a granted tokens, if customers that offer less than
/// the amount get all they offer.
double fairAmount(const std::array<Served, customers> &served, double granted)
{
    double low = 0;
    double high = granted;
    for (int step = 0; step < 50; ++step) {
        const double amount = (low + high) / 2;
        double sum = 0;
        for (const Served &each : served)
            sum += std::min(each.offered, amount);
        (sum < granted ? low : high) = amount;
    }
    return high;
}

/// The smallest of the customers' granted tokens in \a level relative to their fair parts, divided
/// by the mean of those ratios. Fair parts are taken for each period, as the queue gives no credit
/// for the past.
double worstToMean(const Outcome &outcome, std::size_t level)
{
    std::array<double, customers> fair{};
    std::array<double, customers> granted{};
    for (const Period &period : outcome.periods) {
        const std::array<Served, customers> &served = period[level];
        double total = 0;
        for (const Served &each : served)
            total += each.granted;
        const double amount = fairAmount(served, total);
        for (std::size_t customer = 0; customer < customers; ++customer) {
            fair[customer] += std::min(served[customer].offered, amount);
            granted[customer] += served[customer].granted;
        }
    }
    double worst = std::numeric_limits<double>::max();
    double total = 0;
    for (std::size_t customer = 0; customer < customers; ++customer) {
        const double ratio = granted[customer] / fair[customer];
        if (getenv("SHOW")) std::printf(" %.2f", ratio);
        worst = std::min(worst, ratio);
        total += ratio;
    }
    return worst / (total / customers);
}

class UrgencyQueueLoad : public testing::TestWithParam<double>
{
protected:
    Load load() const
    {
        Load load;
        load.multiple = GetParam();
        return load;
    }
    static double utilisation(const Outcome &outcome, const Load &load)
    {
        return outcome.read / (tokensPerMilli * static_cast<double>(load.millis));
    }
};

INSTANTIATE_TEST_SUITE_P(Overload, UrgencyQueueLoad, testing::Values(1.2, 2.0, 4.0));

} // namespace

TEST_P(UrgencyQueueLoad, Figures)
{
    const Load load = this->load();
    const Outcome outcome = outcomeOf(load);
    Load alone = load;
    alone.lastLevel = 0;
    const Outcome aloneOutcome = outcomeOf(alone);
    std::printf("L=%.1f util %.4f urgent/alone %.4f inversions %.4f rejections %lu late %.4f most %zu\n", load.multiple,
                utilisation(outcome, load), outcome.grantedOf(0) / aloneOutcome.grantedOf(0),
                double(outcome.inversions) / outcome.grants, outcome.rejections,
                double(outcome.lateRejections) / outcome.rejections, outcome.mostWaiting);
    double off = 0, gr = 0;
    for (int l = 0; l < 3; ++l) { off += outcome.offeredOf(l); gr += outcome.grantedOf(l); }
    for (int l = 0; l < 3; ++l)
        std::printf("  level %d fraction %.3f (%.3f of overall) worst/mean %.3f\n", l, outcome.grantedOf(l) / outcome.offeredOf(l),
            outcome.grantedOf(l) / outcome.offeredOf(l) / (gr / off), worstToMean(outcome, l));
    for (int l = 0; l < 3; ++l) { for (int o = 0; o < customers; ++o) std::printf(" %.0f/%.0f", outcome.served[l][o].granted/1000, outcome.served[l][o].offered/1000); std::printf("\n"); }
    if (getenv("BUSY")) for (int c : {0, 2, 7, 15}) {
        Load busy = load; busy.busyCustomer = c;
        const Outcome b = outcomeOf(busy);
        double bo = 0, uo = 0;
        std::array<double, 3> lb{}, lu{};
        for (int l = 0; l < 3; ++l) for (int o = 0; o < customers; ++o) if (o != c) {
            lb[l] += b.served[l][o].granted; lu[l] += outcome.served[l][o].granted; }
        for (int l = 0; l < 3; ++l) { bo += lb[l]; uo += lu[l]; }
        std::printf("  busy %d others %.3f by level %.3f %.3f %.3f\n", c, bo / uo, lb[0]/lu[0], lb[1]/lu[1], lb[2]/lu[2]);
    }
}
