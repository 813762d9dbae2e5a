#pragma once

#include "azurewell/host/host.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurewell::tests {

/// What may go wrong in a CallWorld, each as a chance in one.
struct CallTroubles
{
    double lost = 0.1;
    double doubled = 0.1;
    double paused = 0.002; ///< For each host and step.
    double replaced = 0.0005;
    double unsent = 0.1;   ///< The back end's port is closed.
    double cutShort = 0.2; ///< The back end runs the call and closes without answering.
    bool isSendingLate = false;
    bool isClaimingNotRun = false;
    CallFault fault = CallFault::None;
};

/// Several hosts, a lossy network between them, back ends that count their runs, and callers that
/// repeat their calls at any host. Time passes in steps of tickInterval. Violations of "at most
/// once" are collected as sentences.
class CallWorld
{
public:
    CallWorld(std::uint64_t seed, std::size_t hosts, CallTroubles troubles);

    /// Runs \a steps; callers begin new calls during the first \a busy of them.
    void run(std::size_t steps, std::size_t busy);

    std::vector<std::string> violations;
    std::map<ResultCode, std::uint64_t> refusals;
    std::uint64_t calls = 0;
    std::uint64_t asked = 0; ///< Requests of callers, repeats included.
    std::uint64_t runs = 0;
    std::uint64_t answered = 0; ///< By the back end itself.
    std::uint64_t heldAnswers = 0;
    std::uint64_t saidNotRun = 0;
    std::uint64_t messages = 0; ///< About calls, between different hosts.
    std::uint64_t replacements = 0;

private:
    struct Host
    {
        HostState state;
        Instant pausedUntil;
        Span clockOffset{};
        std::vector<Event> waiting; ///< Came while it was paused.
    };
    struct Delivery
    {
        std::size_t to = 0;
        Event event;
    };
    struct Send
    {
        std::size_t from = 0;
        Incarnation life;
        Dispatch order;
    };

    Instant clockOf(const Host &host) const;
    bool chance(double part);
    Span someDelay(double mostSeconds);
    void makeLife(std::size_t index);
    void give(std::size_t index, const Event &event);
    void carryOut(std::size_t index, const std::vector<Action> &actions);
    void sendPeer(std::size_t index, const SendPeer &message);
    void carryOutSend(const Send &send);
    void runAtBackEnd(const Send &send);
    void checkPermit(const Send &send, const CallNumber &number);
    void noteRefusal(const Refuse &refusal);
    void noteHeld(const AnswerHeld &answer);
    void callerActs();
    void askAt(std::size_t index, const CallNumber &number);
    void disturb();
    void step();

    std::mt19937_64 random;
    CallTroubles troubles;
    Instant now{ 1'000'000 };
    std::vector<Host> hosts;
    std::multimap<Instant, Delivery> deliveries;
    std::multimap<Instant, Send> sends;
    std::map<RequestId, CallNumber> numberOf;
    std::map<CallNumber, std::uint32_t> runsOf;
    std::map<CallNumber, std::set<RequestId>> underWay; ///< Sent, or handed to a worker to send.
    std::vector<CallNumber> issued;
    std::uint64_t nextRequest = 1;
};

} // namespace azurewell::tests
