// Load patterns of one engine whose customers send more than it prefills, with prompts of three
// priorities from 20 hosts. The engine is modelled as a fixed rate with a window of unread tokens.
#include "azurewell/scheduling/urgency_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace azurewell;

namespace {

constexpr int hosts = 20;
constexpr std::size_t customers = 16;
constexpr std::size_t levels = 3;
constexpr std::size_t levelStep = 4; ///< The levels have the priorities 0, 4 and 8.
constexpr double tokensPerMilli = 22;
constexpr double windowTokens = tokensPerMilli * 370;
constexpr double meanTokens = 1110;

/// The load of one run, and its length in milliseconds.
struct Load
{
    double multiple = 1; ///< Of the capacity.
    std::array<double, levels> mix{ 0.15, 0.35, 0.5 };
    std::size_t levelsSent = levels;     ///< The first levels; the others send nothing.
    std::vector<std::size_t> busyLevels; ///< The largest customer sends 6 times its load there.
    std::uint64_t millis = 1'800'000;
    std::uint64_t lostAt = 0;     ///< The first half of the hosts sends nothing for 5 s from here.
    std::uint64_t replacedAt = 0; ///< A coordinator without state takes over.
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
    std::vector<Period> periods; ///< Of 30 s each.
    double read = 0;
    double grants = 0;
    double inversions = 0;
    double rejections = 0;
    double lateRejections = 0;         ///< After more than 150 ms.
    std::uint64_t longestInverted = 0; ///< Milliseconds in which all grants were inversions.
    std::size_t mostWaiting = 0;
};

Served totalOf(const Outcome &outcome, std::size_t level, std::size_t firstCustomer = 0)
{
    Served total;
    for (const Period &period : outcome.periods) {
        for (std::size_t customer = firstCustomer; customer < customers; ++customer) {
            total.offered += period[level][customer].offered;
            total.granted += period[level][customer].granted;
        }
    }
    return total;
}

double grantedOf(const Outcome &outcome, std::size_t level)
{
    return totalOf(outcome, level).granted;
}

double offeredOf(const Outcome &outcome, std::size_t level)
{
    return totalOf(outcome, level).offered;
}

/// What all customers but the largest were granted.
double grantedToOthers(const Outcome &outcome, std::size_t level)
{
    return totalOf(outcome, level, 1).granted;
}

/// One engine, its queue and its callers.
class EngineRun
{
public:
    explicit EngineRun(const Load &ofRun)
        : load(ofRun)
    {
    }

    Outcome run()
    {
        for (std::size_t level = 0; level < this->load.levelsSent; ++level) {
            for (std::size_t customer = 0; customer < customers; ++customer)
                this->addSender(level, customer);
        }
        for (this->milli = 0; this->milli < this->load.millis; ++this->milli) {
            if (this->milli % 30'000 == 0)
                this->outcome.periods.emplace_back();
            if (this->load.replacedAt > 0 && this->milli == this->load.replacedAt)
                this->queue = UrgencyQueue{};
            for (Sender &sender : this->senders)
                this->send(sender);
            for (const WaitingRequest &expired : takeExpired(this->queue, this->now()))
                this->reject(expired);
            this->grant();
            const double read = std::min(this->unread, tokensPerMilli);
            this->unread -= read;
            this->outcome.read += read;
        }
        return this->outcome;
    }

private:
    struct Sender
    {
        std::mt19937_64 random;
        std::size_t level = 0;
        std::size_t customer = 0;
        double perMilli = 0; ///< Prompts.
        double nextAt = 0;
    };

    void addSender(std::size_t level, std::size_t customer)
    {
        double sizes = 0;
        for (std::size_t other = 0; other < customers; ++other)
            sizes += 1.0 / static_cast<double>(other + 1);
        const std::vector<std::size_t> &busy = this->load.busyLevels;
        const bool isBusy = customer == 0
                && std::find(busy.begin(), busy.end(), level) != busy.end();
        Sender sender;
        sender.random.seed(level * customers + customer + 1);
        sender.level = level;
        sender.customer = customer;
        sender.perMilli = this->load.multiple * tokensPerMilli / meanTokens * this->load.mix[level]
                / static_cast<double>(customer + 1) / sizes * (isBusy ? 6 : 1);
        this->senders.push_back(sender);
        this->advance(this->senders.back());
    }

    void advance(Sender &sender)
    {
        sender.nextAt += std::exponential_distribution<double>(sender.perMilli)(sender.random);
    }

    Instant now() const
    {
        return Instant{ static_cast<std::int64_t>(this->milli) * 1000 };
    }

    void send(Sender &sender)
    {
        while (sender.nextAt <= static_cast<double>(this->milli)) {
            this->advance(sender);
            WaitingRequest request = this->requestOf(sender);
            const bool isLost = this->load.lostAt > 0 && this->milli >= this->load.lostAt
                    && this->milli < this->load.lostAt + 5000
                    && std::stoi(request.requester.value) < hosts / 2;
            if (isLost)
                continue;
            this->outcome.periods.back()[sender.level][sender.customer].offered
                    += static_cast<double>(request.cost.count);
            const EngineCapacity engine{ TokenRate{ tokensPerMilli * 1000 },
                                         this->unread / windowTokens };
            const Priority priority{ static_cast<std::uint8_t>(sender.level * levelStep) };
            const OfferResult result = offer(this->queue, priority, std::move(request), engine,
                                             this->now());
            if (result.verdict != OfferVerdict::Queued)
                ++this->outcome.rejections;
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

    void reject(const WaitingRequest &request)
    {
        ++this->outcome.rejections;
        if (this->now() - request.queuedAt > std::chrono::milliseconds(150))
            ++this->outcome.lateRejections;
    }

    std::array<std::size_t, levels> waiting() const
    {
        std::array<std::size_t, levels> sizes{};
        for (std::size_t level = 0; level < levels; ++level)
            sizes[level] = this->queue.levels[level * levelStep].queue.size;
        return sizes;
    }

    void grant()
    {
        while (const WaitingRequest *next = peekNext(this->queue)) {
            const double tokens = static_cast<double>(next->cost.count);
            if (this->unread > 0 && this->unread + tokens > windowTokens)
                return;
            const std::array<std::size_t, levels> before = this->waiting();
            const WaitingRequest taken = *takeNext(this->queue);
            const std::array<std::size_t, levels> after = this->waiting();
            std::size_t level = 0;
            while (before[level] == after[level])
                ++level;
            this->countGrant(std::any_of(before.begin(), before.begin() + level,
                                         [](std::size_t size) { return size > 0; }));
            const std::size_t customer = std::stoul(taken.customer.value);
            this->outcome.periods.back()[level][customer].granted += tokens;
            this->unread += tokens;
        }
    }

    void countGrant(bool isInversion)
    {
        ++this->outcome.grants;
        this->outcome.inversions += isInversion ? 1 : 0;
        if (!isInversion)
            this->inOrderAt = this->milli;
        else
            this->outcome.longestInverted = std::max(this->outcome.longestInverted,
                                                     this->milli - this->inOrderAt);
    }

    Load load;
    UrgencyQueue queue;
    Outcome outcome;
    std::vector<Sender> senders;
    double unread = 0;
    std::uint64_t milli = 0;
    std::uint64_t inOrderAt = 0;
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
};

INSTANTIATE_TEST_SUITE_P(Overload, UrgencyQueueLoad, testing::Values(1.2, 2.0, 4.0));

} // namespace

// Guards against a minimum share that is taken from the most urgent prompts.
TEST_P(UrgencyQueueLoad, MostUrgentLevelGetsWhatItWouldGetAlone)
{
    Load alone = this->load();
    alone.levelsSent = 1;
    const double expected = grantedOf(outcomeOf(alone), 0);
    EXPECT_GE(grantedOf(outcomeOf(this->load()), 0), 0.95 * expected);
}

// Guards against minimum shares that are kept by grants ahead of more urgent prompts.
TEST_P(UrgencyQueueLoad, FewPromptsAreGrantedBeforeMoreUrgentOnes)
{
    const Outcome outcome = outcomeOf(this->load());
    EXPECT_LE(outcome.inversions, 0.05 * outcome.grants);
}

// Guards against starvation of the least urgent prompts by strict priority.
TEST_P(UrgencyQueueLoad, NoLevelStarves)
{
    const Outcome outcome = outcomeOf(this->load());
    double offered = 0;
    double granted = 0;
    for (std::size_t level = 0; level < levels; ++level) {
        offered += offeredOf(outcome, level);
        granted += grantedOf(outcome, level);
    }
    for (std::size_t level = 0; level < levels; ++level)
        EXPECT_GE(grantedOf(outcome, level) / offeredOf(outcome, level), granted / offered / 4)
                << "level " << level;
}

// Guards against an order of arrival in which customers that send more get more.
TEST_P(UrgencyQueueLoad, CustomersOfEqualWeightAreServedAlike)
{
    const Outcome outcome = outcomeOf(this->load());
    for (std::size_t level = 0; level < levels; ++level)
        EXPECT_GE(worstToMean(outcome, level), 0.9) << "level " << level;
}

// Guards against estimates and shares that reject prompts while the engine is idle.
TEST_P(UrgencyQueueLoad, EngineIsUsed)
{
    const Load load = this->load();
    const Outcome outcome = outcomeOf(load);
    EXPECT_GE(outcome.read, 0.95 * tokensPerMilli * static_cast<double>(load.millis));
}

// Guards against prompts that wait in vain: their callers could have been served elsewhere.
TEST_P(UrgencyQueueLoad, RejectionsComeAtOnce)
{
    const Outcome outcome = outcomeOf(this->load());
    EXPECT_LT(outcome.lateRejections, 0.05 * outcome.rejections);
}

// Guards against a queue whose size follows the load.
TEST_P(UrgencyQueueLoad, QueueIsBounded)
{
    EXPECT_LE(outcomeOf(this->load()).mostWaiting, maxWaitingPrompts);
}

// Guards against a burst of one customer that delays the others of its priority.
TEST_P(UrgencyQueueLoad, BusyCustomerOfOneLevelCostsOthersOfItLittle)
{
    const Outcome usual = outcomeOf(this->load());
    for (std::size_t level = 0; level < levels; ++level) {
        Load busy = this->load();
        busy.busyLevels = { level };
        const Outcome outcome = outcomeOf(busy);
        EXPECT_GT(grantedToOthers(outcome, level), 0.95 * grantedToOthers(usual, level))
                << "level " << level;
    }
}

// Guards against a burst of one customer at all priorities that delays the others in total.
TEST_P(UrgencyQueueLoad, BusyCustomerOfAllLevelsCostsOthersLittle)
{
    Load busy = this->load();
    busy.busyLevels = { 0, 1, 2 };
    const Outcome usual = outcomeOf(this->load());
    const Outcome outcome = outcomeOf(busy);
    double before = 0;
    double after = 0;
    for (std::size_t level = 0; level < levels; ++level) {
        before += grantedToOthers(usual, level);
        after += grantedToOthers(outcome, level);
    }
    EXPECT_GT(after, 0.95 * before);
}

// Guards against a lasting loss of the order when half of the hosts are cut off and return.
TEST_P(UrgencyQueueLoad, OrderSurvivesPartition)
{
    Load load = this->load();
    load.lostAt = 100'000;
    EXPECT_LE(outcomeOf(load).longestInverted, 500U);
}

// Guards against a lasting loss of the order when another host takes over the engine.
TEST_P(UrgencyQueueLoad, OrderSurvivesNewCoordinator)
{
    Load load = this->load();
    load.replacedAt = 100'000;
    EXPECT_LE(outcomeOf(load).longestInverted, 500U);
}
