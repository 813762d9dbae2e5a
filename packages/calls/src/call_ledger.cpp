#include "azurewell/calls/call_ledger.h"

#include <algorithm>

namespace azurewell {

namespace {

/// The sequence of the call number \a parts if this incarnation issued it to \a customer, else 0.
std::uint64_t sequenceOf(const CallLedger &ledger, const CallNumberParts &parts,
                         const CustomerId &customer)
{
    const auto found = ledger.customers.find(customer);
    const bool isIssued = found != ledger.customers.end() && parts.sequence > 0
            && parts.sequence <= found->second.issued
            && parts.check == checksumOf(ledger.secret, customer, parts.sequence);
    return isIssued ? parts.sequence : 0;
}

bool isOwn(const CallLedger &ledger, const CallNumberParts &parts)
{
    return parts.host == ledger.host && parts.incarnation == ledger.incarnation;
}

void dropAnswer(CallLedger &ledger, CallRecord &record)
{
    ledger.answerBytes -= record.answer.body.size();
    record.answer = HeldAnswer{};
}

/// Evicts the customer's oldest record and raises the watermark to it. Without the watermark, a
/// later repeat of that call would look like a first request and run again.
void evictOldest(CallLedger &ledger, CustomerCalls &calls)
{
    const auto oldest = calls.records.begin();
    if (ledger.fault != CallFault::KeepsWatermark)
        calls.watermark = std::max(calls.watermark, oldest->first);
    dropAnswer(ledger, oldest->second);
    calls.records.erase(oldest);
    --ledger.records;
}

/// Evicts a record of the customer with the most records, so that a customer that uses very many
/// numbers only shortens its own history.
void evictIfFull(CallLedger &ledger)
{
    if (ledger.records < maxCallRecords)
        return;
    const auto hasFewer = [](const auto &a, const auto &b) {
        return a.second.records.size() < b.second.records.size();
    };
    const auto most = std::max_element(ledger.customers.begin(), ledger.customers.end(), hasFewer);
    evictOldest(ledger, most->second);
}

CallRecord *findRecord(CallLedger &ledger, const CustomerId &customer, std::uint64_t sequence)
{
    const auto calls = ledger.customers.find(customer);
    if (calls == ledger.customers.end())
        return nullptr;
    const auto found = calls->second.records.find(sequence);
    return found == calls->second.records.end() ? nullptr : &found->second;
}

PermitAnswer grant(CallRecord &record, const PermitAsk &ask, Instant now)
{
    const Span length = std::min(maxPermitDuration, ask.untilDeadline);
    record.phase = CallPhase::Permitted;
    record.holder = ask.request;
    record.permitExpiresAt = now + length;
    record.outcomeDeadline = now + ask.untilDeadline + outcomeReportGrace;
    record.retainedUntil = record.outcomeDeadline + callRetention;
    return PermitAnswer{ PermitVerdict::Granted, length, {} };
}

PermitAnswer answerPermitted(const CallLedger &ledger, CallRecord &record, const PermitAsk &ask,
                             Instant now)
{
    if (record.holder == ask.request)
        return PermitAnswer{ PermitVerdict::Granted,
                             std::min(maxPermitDuration, ask.untilDeadline),
                             {} };
    if (ledger.fault == CallFault::GrantsTwice)
        return grant(record, ask, now);
    if (now < record.outcomeDeadline)
        return PermitAnswer{ PermitVerdict::InProgress, {}, {} };
    if (ledger.fault == CallFault::RegrantsUnknown)
        return grant(record, ask, now);
    return PermitAnswer{ PermitVerdict::Unknown, {}, {} };
}

PermitAnswer answerKnown(const CallLedger &ledger, CallRecord &record, const PermitAsk &ask,
                         Instant now)
{
    switch (record.phase) {
    case CallPhase::Permitted:
        return answerPermitted(ledger, record, ask, now);
    case CallPhase::Returned:
        if (record.holder == ask.request)
            return PermitAnswer{ PermitVerdict::Withdrawn, {}, {} };
        return grant(record, ask, now);
    case CallPhase::Done:
        return PermitAnswer{ PermitVerdict::Done, {}, record.answer };
    case CallPhase::Unknown:
        break;
    }
    return PermitAnswer{ PermitVerdict::Unknown, {}, {} };
}

void storeAnswer(CallLedger &ledger, const OutcomeReport &report, std::uint64_t sequence,
                 CallRecord &record)
{
    if (report.answer.status == 0 || report.answer.body.size() > maxHeldAnswerBytes)
        return;
    record.answer = report.answer;
    ledger.answerBytes += record.answer.body.size();
    ledger.answeredCalls.emplace_back(report.customer, sequence);
    while (ledger.answerBytes > maxTotalAnswerBytes
           || ledger.answeredCalls.size() > maxCallRecords) {
        const auto [customer, oldest] = ledger.answeredCalls.front();
        ledger.answeredCalls.pop_front();
        if (CallRecord *old = findRecord(ledger, customer, oldest))
            dropAnswer(ledger, *old);
    }
}

} // namespace

CallNumber issueCallNumber(CallLedger &ledger, const CustomerId &customer)
{
    const std::uint64_t sequence = ++ledger.customers[customer].issued;
    return formatCallNumber(CallNumberParts{ ledger.host, ledger.incarnation, sequence,
                                             checksumOf(ledger.secret, customer, sequence) });
}

PermitAnswer decidePermit(CallLedger &ledger, const PermitAsk &ask, Instant now)
{
    const std::optional<CallNumberParts> parts = parseCallNumber(ask.number);
    if (!parts || !isOwn(ledger, *parts)) // another incarnation may have permitted it
        return PermitAnswer{ PermitVerdict::Unknown, {}, {} };
    const std::uint64_t sequence = sequenceOf(ledger, *parts, ask.customer);
    if (sequence == 0)
        return PermitAnswer{ PermitVerdict::Invalid, {}, {} };
    if (CallRecord *record = findRecord(ledger, ask.customer, sequence))
        return answerKnown(ledger, *record, ask, now);
    if (sequence <= ledger.customers[ask.customer].watermark)
        return PermitAnswer{ PermitVerdict::Expired, {}, {} };
    evictIfFull(ledger);
    CustomerCalls &calls = ledger.customers[ask.customer];
    if (sequence <= calls.watermark) // the eviction raised it past this number
        return PermitAnswer{ PermitVerdict::Expired, {}, {} };
    ++ledger.records;
    return grant(calls.records[sequence], ask, now);
}

void recordOutcome(CallLedger &ledger, const OutcomeReport &report, Instant now)
{
    const std::optional<CallNumberParts> parts = parseCallNumber(report.number);
    if (!parts || !isOwn(ledger, *parts))
        return;
    const std::uint64_t sequence = sequenceOf(ledger, *parts, report.customer);
    CallRecord *record = findRecord(ledger, report.customer, sequence);
    const bool isOpen = record && record->holder == report.request
            && (record->phase == CallPhase::Permitted || record->phase == CallPhase::Unknown);
    if (!isOpen) // a duplicate report, or one of a request that returned its permit
        return;
    record->retainedUntil = now + callRetention;
    switch (report.outcome) {
    case CallOutcome::Done:
        record->phase = CallPhase::Done;
        storeAnswer(ledger, report, sequence, *record);
        return;
    case CallOutcome::NotRun:
        record->phase = CallPhase::Returned;
        return;
    case CallOutcome::Unknown:
        record->phase = CallPhase::Unknown;
        return;
    }
}

void evictExpiredCalls(CallLedger &ledger, Instant now)
{
    for (auto &[id, calls] : ledger.customers) {
        while (!calls.records.empty() && calls.records.begin()->second.retainedUntil <= now)
            evictOldest(ledger, calls);
    }
}

bool isCertainlyUnused(const CallLedger &ledger, const CallNumber &number,
                       const CustomerId &customer)
{
    const std::optional<CallNumberParts> parts = parseCallNumber(number);
    if (!parts || !isOwn(ledger, *parts))
        return false;
    const std::uint64_t sequence = sequenceOf(ledger, *parts, customer);
    if (sequence == 0)
        return true; // never issued, so never permitted
    const CustomerCalls &calls = ledger.customers.at(customer);
    if (sequence <= calls.watermark)
        return false;
    const auto record = calls.records.find(sequence);
    return record == calls.records.end() || record->second.phase == CallPhase::Returned;
}

std::size_t openCalls(const CallLedger &ledger, Instant now)
{
    std::size_t open = 0;
    for (const auto &[id, calls] : ledger.customers) {
        for (const auto &[sequence, record] : calls.records)
            open += record.phase == CallPhase::Permitted && now < record.outcomeDeadline ? 1 : 0;
    }
    return open;
}

} // namespace azurewell
