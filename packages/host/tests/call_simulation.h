#pragma once

#include "azurewell/host/host.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurewell::tests {

/// Probabilities (0 to 1) and switches of the faults in a CallSimulation.
struct InjectedFaults
{
    double messageLoss = 0.1;
    double duplication = 0.1;
    double suspension = 0.002; ///< For each host and step.
    double replacement = 0.0005;
    double notSent = 0.1;  ///< The back end's port is closed.
    double noAnswer = 0.2; ///< The back end runs the call and closes without answering.
    bool isIgnoringPermitEnd = false;
    bool isAssumingNotRun = false;
    CallFault fault = CallFault::None;
};

/// Several hosts, a lossy network between them, back ends that count their runs, and callers that
/// repeat their calls at any host. Time advances in steps of tickInterval. Violations of "at most
/// once" are collected as text.
class CallSimulation
{
public:
    CallSimulation(std::uint64_t seed, std::size_t hosts, InjectedFaults faults);

    /// Runs \a steps; callers begin new calls during the first \a busy of them.
    void run(std::size_t steps, std::size_t busy);

    std::vector<std::string> violations;
    std::map<ResultCode, std::uint64_t> refusals;
    std::uint64_t calls = 0;
    std::uint64_t callerRequests = 0; ///< Requests of callers, including repeats.
    std::uint64_t runs = 0;
    std::uint64_t answered = 0; ///< Runs that the back end answered.
    std::uint64_t heldAnswers = 0;
    std::uint64_t reportedNotRun = 0;
    std::uint64_t messages = 0; ///< Messages about calls between different hosts.
    std::uint64_t replacements = 0;

private:
    struct Host
    {
        HostState state;
        Instant pausedUntil;
        Span clockOffset{};
        std::vector<Event> waiting; ///< Events that arrived while the host was paused.
    };
    struct Delivery
    {
        std::size_t to = 0;
        Event event;
    };
    struct Send
    {
        std::size_t from = 0;
        Incarnation incarnation;
        Dispatch order;
    };

    Instant clockOf(const Host &host) const;
    bool chance(double part);
    Span randomDelay(double maxSeconds);
    void startIncarnation(std::size_t index);
    void deliver(std::size_t index, const Event &event);
    void handleActions(std::size_t index, const std::vector<Action> &actions);
    void sendPeer(std::size_t index, const SendPeer &message);
    void runDispatch(const Send &send);
    void runAtBackEnd(const Send &send);
    void checkPermit(const Send &send, const CallNumber &number);
    void recordRefusal(const Refuse &refusal);
    void recordStoredAnswer(const AnswerFromStore &answer);
    void simulateCallers();
    void sendCallerRequest(std::size_t index, const CallNumber &number);
    void injectFaults();
    void step();

    std::mt19937_64 random;
    InjectedFaults faults;
    Instant now{ 1'000'000 };
    std::vector<Host> hosts;
    std::multimap<Instant, Delivery> deliveries;
    std::multimap<Instant, Send> sends;
    std::map<RequestId, CallNumber> numberOf;
    std::map<CallNumber, std::uint32_t> runsOf;
    /// Requests that are being sent or were handed to a worker.
    std::map<CallNumber, std::set<RequestId>> inProgress;
    std::vector<CallNumber> issued;
    std::uint64_t nextRequest = 1;
};

} // namespace azurewell::tests
