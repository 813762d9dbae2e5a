#include "checks.h"

namespace azurewell::faults {

namespace {

/// Clocks of the hosts run up to this much fast, and earn as much more.
constexpr double driftAllowance = 1.001;

} // namespace

void Checks::fail(const std::string &what)
{
    if (!this->failure)
        this->failure = what;
}

void Checks::receive(const CustomerId &customer, std::int64_t amount, Instant now)
{
    Ledger &ledger = this->ledgers[customer];
    const double covered = toSeconds(now - ledger.at) * ledger.rate * driftAllowance;
    ledger.level = std::max(0.0, ledger.level - covered) + static_cast<double>(amount);
    ledger.at = now;
    if (ledger.level > ledger.burst * driftAllowance + 1)
        this->fail("rate: " + customer.value + " received " + std::to_string(ledger.level)
                   + " above its rate, burst " + std::to_string(ledger.burst));
}

void Checks::noteRun(const RequestId &request, const UpstreamId &where)
{
    CallerView &caller = this->callers.at(request);
    ++caller.runs;
    ++this->runs;
    if (caller.isNotRunClaimed)
        this->fail("not run: " + request.value + " ran at " + where.value + " after its refusal");
    if (caller.asked.kind == RequestKind::ServiceCall && caller.runs > 1)
        this->fail("at most once: " + request.value + " ran again at " + where.value);
}

void Checks::noteRefusal(const Refuse &refusal)
{
    const auto found = this->callers.find(refusal.request);
    if (found == this->callers.end())
        return;
    CallerView &caller = found->second;
    if (caller.isEnded && !caller.hasLeft)
        this->fail("answers: " + refusal.request.value + " was ended twice");
    caller.isEnded = true;
    ++this->refused;
    ++this->refusals[refusal.code];
    caller.isNotRunClaimed = refusal.runState == RunState::NotRun;
    if (caller.isNotRunClaimed && caller.runs > 0)
        this->fail("not run: " + refusal.request.value + " had run, refused with "
                   + std::string(infoOf(refusal.code).name));
}

void Checks::noteToken(const RequestId &caller, const RequestId &writtenFor,
                       const AdapterRef &adapter, std::int64_t place, Instant now)
{
    CallerView &view = this->callers.at(caller);
    if (writtenFor != caller || place != view.tokens)
        this->fail("answers: " + caller.value + " got token " + std::to_string(place) + " of "
                   + writtenFor.value + " after " + std::to_string(view.tokens));
    if (adapter != view.asked.adapter)
        this->fail("adapter: " + caller.value + " was answered by " + adapter.value);
    ++view.tokens;
    this->receive(view.owner, 1, now);
}

void Checks::noteUnload(const UpstreamId &engine, const AdapterRef &adapter, bool isServing)
{
    if (isServing)
        this->fail("eviction: " + engine.value + " unloaded " + adapter.value + " while serving");
}

} // namespace azurewell::faults
