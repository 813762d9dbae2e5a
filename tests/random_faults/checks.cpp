#include "checks.h"

namespace azurewell::faults {

namespace {

/// Upper bound of the hosts' clock rates; a fast clock increases a token rate by the same factor.
constexpr double driftAllowance = 1.001;

} // namespace

void Checks::fail(const std::string &what)
{
    if (!this->failure)
        this->failure = what;
}

void Checks::countTokens(const CustomerId &customer, std::int64_t amount, Instant now)
{
    TokenLedger &ledger = this->ledgers[customer];
    const double drained = toSeconds(now - ledger.at) * ledger.rate * driftAllowance;
    ledger.level = std::max(0.0, ledger.level - drained) + static_cast<double>(amount);
    ledger.at = now;
    if (ledger.level > ledger.burst * driftAllowance + 1)
        this->fail("rate: " + customer.value + " received " + std::to_string(ledger.level)
                   + " tokens above its rate, burst " + std::to_string(ledger.burst));
}

void Checks::recordRun(const RequestId &request, const UpstreamId &where)
{
    CallerRecord &caller = this->callers.at(request);
    ++caller.runs;
    ++this->runs;
    if (caller.isReportedNotRun)
        this->fail("not run: " + request.value + " ran at " + where.value + " after its refusal");
    if (caller.request.kind == RequestKind::ServiceCall && caller.runs > 1)
        this->fail("at most once: " + request.value + " ran again at " + where.value);
}

void Checks::recordRefusal(const Refuse &refusal)
{
    const auto found = this->callers.find(refusal.request);
    if (found == this->callers.end())
        return;
    CallerRecord &caller = found->second;
    if (caller.isCompletedAtCancel)
        return; // the traffic thread no longer has the request
    if (caller.isEnded && !caller.hasDisconnected)
        this->fail("answers: " + refusal.request.value + " received two final results");
    caller.isEnded = true;
    ++this->refused;
    ++this->refusals[refusal.code];
    caller.isReportedNotRun = refusal.runState == RunState::NotRun;
    if (caller.isReportedNotRun && caller.runs > 0)
        this->fail("not run: " + refusal.request.value + " had run before it was refused with "
                   + std::string(infoOf(refusal.code).name));
}

void Checks::recordToken(const RequestId &caller, const RequestId &writtenFor,
                         const AdapterRef &adapter, std::int64_t position, Instant now)
{
    CallerRecord &view = this->callers.at(caller);
    if (writtenFor != caller || position != view.tokens)
        this->fail("answers: " + caller.value + " got token " + std::to_string(position) + " of "
                   + writtenFor.value + " after " + std::to_string(view.tokens));
    if (adapter != view.request.adapter)
        this->fail("adapter: " + caller.value + " was answered by " + adapter.value);
    if (view.tokens >= view.request.maxGenerated.count)
        this->fail("answers: " + caller.value + " got more tokens than it asked for");
    ++view.tokens;
    this->countTokens(view.owner, 1, now);
}

void Checks::recordUnload(const UpstreamId &engine, const AdapterRef &adapter, bool isServing)
{
    if (isServing)
        this->fail("eviction: " + engine.value + " unloaded " + adapter.value + " while serving");
}

} // namespace azurewell::faults
