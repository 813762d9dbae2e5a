#include "call_simulation.h"

namespace azurewell::tests {

namespace {

const KeyHash key{ std::string(64, 'a') };

const std::string ticketText = R"({ "ticket": 1, "by": "ana", "why": "start", "set": {
    "zones": [ { "id": "z", "seats": 3 } ],
    "customers": [ { "id": "c", "rate": 1e9, "burst": 1e9, "services": ["filings"] } ],
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "c", "state": "issued" } ],
    "services": [ { "id": "filings" } ],
    "upstreams": [
      { "id": "s1", "kind": "service", "zone": "z", "address": "127.0.0.1:2", "service": "filings", "batch_slots": 8 },
      { "id": "s2", "kind": "service", "zone": "z", "address": "127.0.0.1:3", "service": "filings", "batch_slots": 8 } ] } })";

constexpr double maxPauseSeconds = 12;
constexpr double callerTimeoutSeconds = 8;

HostId nameOf(std::size_t index)
{
    return HostId{ "h" + std::to_string(index) };
}

HeldAnswer answerFor(const CallNumber &number)
{
    return HeldAnswer{ 201, "text/plain", "filed " + number.value };
}

} // namespace

CallSimulation::CallSimulation(std::uint64_t seed, std::size_t hostCount,
                               InjectedFaults injectedFaults)
    : random(seed)
    , faults(injectedFaults)
    , hosts(hostCount)
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->hosts[index].clockOffset = this->randomDelay(1000);
        this->startIncarnation(index);
    }
    // until every host has received heartbeats of every other
    for (int step = 0; step < 200; ++step)
        this->step();
}

Instant CallSimulation::clockOf(const Host &host) const
{
    return this->now + host.clockOffset;
}

bool CallSimulation::chance(double part)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < part;
}

Span CallSimulation::randomDelay(double maxSeconds)
{
    return fromSeconds(std::uniform_real_distribution<double>(0, maxSeconds)(this->random));
}

void CallSimulation::startIncarnation(std::size_t index)
{
    Host &host = this->hosts[index];
    const Incarnation last = host.state.self.incarnation;
    HostIdentity self;
    self.id = nameOf(index);
    self.zone = ZoneId{ "z" };
    self.seat = SeatNumber{ static_cast<std::uint32_t>(index) };
    self.peerAddress = self.id.value;
    self.incarnation = Incarnation{ last.value + 1 };
    self.randomSeed = this->random();
    host.state = makeHost(self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value());
    host.state.calls.ledger.fault = this->faults.fault;
    host.state.calls.isIgnoringPermitEnd = this->faults.isIgnoringPermitEnd;
    host.state.calls.isAssumingNotRun = this->faults.isAssumingNotRun;
    host.waiting.clear();
    host.pausedUntil = this->now;
    HostListRead list;
    for (std::size_t other = 0; other < this->hosts.size(); ++other)
        list.hosts.push_back(
                ListedHost{ nameOf(other), ZoneId{ "z" }, nameOf(other).value, false });
    this->deliver(index, list);
    this->deliver(index, TicketRead{ ticketText });
}

void CallSimulation::deliver(std::size_t index, const Event &event)
{
    Host &host = this->hosts[index];
    if (this->now < host.pausedUntil) {
        if (!std::holds_alternative<Tick>(event))
            host.waiting.push_back(event);
        return;
    }
    std::vector<Action> actions;
    handle(host.state, event, this->clockOf(host), actions);
    this->handleActions(index, actions);
}

void CallSimulation::handleActions(std::size_t index, const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        if (const SendPeer *message = std::get_if<SendPeer>(&action)) {
            this->sendPeer(index, *message);
        } else if (const Dispatch *order = std::get_if<Dispatch>(&action)) {
            this->inProgress[this->numberOf[order->request]].insert(order->request);
            this->sends.emplace(this->now + this->randomDelay(0.03),
                                Send{ index, this->hosts[index].state.self.incarnation, *order });
        } else if (const Refuse *refusal = std::get_if<Refuse>(&action)) {
            this->recordRefusal(*refusal);
        } else if (const AnswerFromStore *held = std::get_if<AnswerFromStore>(&action)) {
            this->recordStoredAnswer(*held);
        } else if (const AnswerCallNumbers *numbers = std::get_if<AnswerCallNumbers>(&action)) {
            this->calls += numbers->numbers.size();
            this->issued.insert(this->issued.end(), numbers->numbers.begin(),
                                numbers->numbers.end());
        }
    }
}

void CallSimulation::sendPeer(std::size_t index, const SendPeer &message)
{
    const bool isAboutCalls = std::holds_alternative<PermitAsk>(message.body)
            || std::holds_alternative<PermitReply>(message.body)
            || std::holds_alternative<OutcomeReport>(message.body)
            || std::holds_alternative<OutcomeAck>(message.body);
    this->messages += isAboutCalls ? 1 : 0;
    for (std::size_t to = 0; to < this->hosts.size(); ++to) {
        if (nameOf(to) != message.to)
            continue;
        const PeerMessage sent{ nameOf(index), this->hosts[index].state.self.incarnation,
                                message.body };
        if (!this->chance(this->faults.messageLoss))
            this->deliveries.emplace(this->now + this->randomDelay(0.05),
                                     Delivery{ to, PeerMessageReceived{ sent } });
        if (this->chance(this->faults.duplication))
            this->deliveries.emplace(this->now + this->randomDelay(3),
                                     Delivery{ to, PeerMessageReceived{ sent } });
    }
}

/// Carries a Dispatch out as the traffic thread of the shell does: checks the deadline first.
void CallSimulation::runDispatch(const Send &send)
{
    Host &host = this->hosts[send.from];
    if (host.state.self.incarnation != send.incarnation) {
        // the process is gone, and its order with it
        this->inProgress[this->numberOf[send.order.request]].erase(send.order.request);
        return;
    }
    if (this->now < host.pausedUntil) {
        this->sends.emplace(host.pausedUntil, send);
        return;
    }
    if (this->clockOf(host) >= send.order.notAfter || this->chance(this->faults.notSent)) {
        this->inProgress[this->numberOf[send.order.request]].erase(send.order.request);
        this->deliver(send.from,
                      AttemptEnded{ send.order.request, send.order.attempt, AttemptOutcome::NotSent,
                                    Tokens{}, false });
        return;
    }
    this->runAtBackEnd(send);
}

void CallSimulation::runAtBackEnd(const Send &send)
{
    const CallNumber number = this->numberOf[send.order.request];
    this->checkPermit(send, number);
    this->inProgress[number].erase(send.order.request);
    ++this->runs;
    if (++this->runsOf[number] > 1)
        this->violations.push_back("ran twice: " + number.value);
    AttemptEnded ended{ send.order.request, send.order.attempt, AttemptOutcome::Failed, Tokens{},
                        false };
    if (!this->chance(this->faults.noAnswer)) {
        ended.outcome = AttemptOutcome::Done;
        ended.answer = answerFor(number);
        ++this->answered;
    }
    this->deliveries.emplace(this->now + this->randomDelay(0.2), Delivery{ send.from, ended });
}

/// If the issuer is still running, the permit must be valid at the moment of sending.
void CallSimulation::checkPermit(const Send &send, const CallNumber &number)
{
    const CallNumberParts parts = parseCallNumber(number).value();
    for (const Host &host : this->hosts) {
        const CallLedger &ledger = host.state.calls.ledger;
        if (ledger.host != parts.host || ledger.incarnation != parts.incarnation)
            continue;
        const CustomerCalls &ofCustomer = ledger.customers.at(CustomerId{ "c" });
        const auto record = ofCustomer.records.find(parts.sequence);
        const bool isPermitted = record != ofCustomer.records.end()
                && record->second.holder == send.order.request
                && record->second.phase == CallPhase::Permitted
                && this->clockOf(host) < record->second.permitExpiresAt;
        if (!isPermitted)
            this->violations.push_back("sent without a permit in force: " + number.value);
    }
}

void CallSimulation::recordRefusal(const Refuse &refusal)
{
    ++this->refusals[refusal.code];
    const auto number = this->numberOf.find(refusal.request);
    if (number == this->numberOf.end())
        return;
    if (refusal.runState == RunState::NotRun) {
        ++this->reportedNotRun;
        if (this->runsOf[number->second] > 0 || !this->inProgress[number->second].empty())
            this->violations.push_back("said not run: " + number->second.value);
    }
    if (refusal.runState == RunState::Ran && this->runsOf[number->second] != 1)
        this->violations.push_back("said ran: " + number->second.value);
}

void CallSimulation::recordStoredAnswer(const AnswerFromStore &answer)
{
    ++this->heldAnswers;
    const CallNumber &number = this->numberOf.at(answer.request);
    if (this->runsOf[number] != 1 || answer.answer.body != answerFor(number).body)
        this->violations.push_back("held answer of another call: " + number.value);
}

void CallSimulation::sendCallerRequest(std::size_t index, const CallNumber &number)
{
    RequestArrived event;
    event.request = RequestId{ "r" + std::to_string(this->nextRequest++) };
    event.kind = RequestKind::ServiceCall;
    event.key = key;
    event.service = ServiceId{ "filings" };
    event.callNumber = number;
    event.deadline = this->clockOf(this->hosts[index]) + fromSeconds(callerTimeoutSeconds);
    this->numberOf[event.request] = number;
    ++this->callerRequests;
    this->deliver(index, event);
}

/// Callers request numbers, use each at one or two hosts at once, and repeat old ones at any host.
void CallSimulation::simulateCallers()
{
    const std::size_t index = this->random() % this->hosts.size();
    RequestArrived forNumbers;
    forNumbers.request = RequestId{ "n" + std::to_string(this->nextRequest++) };
    forNumbers.kind = RequestKind::CallNumbers;
    forNumbers.key = key;
    forNumbers.callNumberCount = 1;
    const std::size_t before = this->issued.size();
    this->deliver(index, forNumbers);
    if (this->issued.size() > before) {
        const CallNumber number = this->issued.back();
        this->sendCallerRequest(this->random() % this->hosts.size(), number);
        if (this->chance(0.3))
            this->sendCallerRequest(this->random() % this->hosts.size(), number);
    }
    for (int repeat = 0; repeat < 2 && !this->issued.empty(); ++repeat) {
        const std::size_t recent = std::min<std::size_t>(this->issued.size(), 60);
        const std::size_t which = this->issued.size() - 1 - this->random() % recent;
        this->sendCallerRequest(this->random() % this->hosts.size(), this->issued[which]);
    }
}

void CallSimulation::injectFaults()
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->chance(this->faults.suspension))
            this->hosts[index].pausedUntil = this->now + this->randomDelay(maxPauseSeconds);
        if (this->chance(this->faults.replacement)) {
            ++this->replacements;
            this->startIncarnation(index);
        }
    }
}

void CallSimulation::step()
{
    this->now = this->now + tickInterval;
    while (!this->sends.empty() && this->sends.begin()->first <= this->now) {
        const Send send = this->sends.begin()->second;
        this->sends.erase(this->sends.begin());
        this->runDispatch(send);
    }
    while (!this->deliveries.empty() && this->deliveries.begin()->first <= this->now) {
        const Delivery delivery = this->deliveries.begin()->second;
        this->deliveries.erase(this->deliveries.begin());
        this->deliver(delivery.to, delivery.event);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->now < this->hosts[index].pausedUntil)
            continue;
        // A process that resumes handles its sockets before or after its timers.
        const bool isTickFirst = this->chance(0.5);
        if (isTickFirst)
            this->deliver(index, Tick{});
        const std::vector<Event> waiting = std::exchange(this->hosts[index].waiting, {});
        for (const Event &event : waiting)
            this->deliver(index, event);
        if (!isTickFirst)
            this->deliver(index, Tick{});
    }
}

void CallSimulation::run(std::size_t steps, std::size_t busy)
{
    for (std::size_t index = 0; index < steps; ++index) {
        if (index < busy && index % 10 == 0)
            this->simulateCallers();
        this->injectFaults();
        this->step();
    }
}

} // namespace azurewell::tests
