#include "codec_calls.h"

namespace azurewell {

namespace {

wire::HeldAnswer toWire(const HeldAnswer &in)
{
    wire::HeldAnswer answer;
    answer.__set_status(in.status);
    answer.__set_contentType(in.contentType);
    answer.__set_body(in.body);
    return answer;
}

HeldAnswer fromWire(const wire::HeldAnswer &in)
{
    return HeldAnswer{ in.status, in.contentType, in.body };
}

/// An unknown verdict, sent by a peer of a newer version, must not be read as a permit.
PermitVerdict verdictOf(std::int32_t number)
{
    const bool isKnown = number >= 0 && number < static_cast<std::int32_t>(permitVerdictCount);
    return isKnown ? static_cast<PermitVerdict>(number) : PermitVerdict::Unknown;
}

/// An unknown outcome, sent by a peer of a newer version, must not be read as "not run".
CallOutcome outcomeOf(std::int32_t number)
{
    const bool isKnown = number >= 0 && number <= static_cast<std::int32_t>(CallOutcome::Unknown);
    return isKnown ? static_cast<CallOutcome>(number) : CallOutcome::Unknown;
}

} // namespace

void writeBody(wire::Body &out, const PermitAsk &in)
{
    wire::PermitAsk ask;
    ask.__set_number(in.number.value);
    ask.__set_customer(in.customer.value);
    ask.__set_request(in.request.value);
    ask.__set_untilDeadline(in.untilDeadline.count());
    out.__set_permitAsk(ask);
}

void writeBody(wire::Body &out, const PermitReply &in)
{
    wire::PermitReply reply;
    reply.__set_number(in.number.value);
    reply.__set_request(in.request.value);
    reply.__set_verdict(static_cast<std::int32_t>(in.answer.verdict));
    reply.__set_length(in.answer.length.count());
    reply.__set_answer(toWire(in.answer.answer));
    out.__set_permitReply(reply);
}

void writeBody(wire::Body &out, const OutcomeReport &in)
{
    wire::OutcomeReport report;
    report.__set_number(in.number.value);
    report.__set_customer(in.customer.value);
    report.__set_request(in.request.value);
    report.__set_outcome(static_cast<std::int32_t>(in.outcome));
    report.__set_answer(toWire(in.answer));
    out.__set_outcomeReport(report);
}

void writeBody(wire::Body &out, const OutcomeAck &in)
{
    wire::OutcomeAck ack;
    ack.__set_request(in.request.value);
    out.__set_outcomeAck(ack);
}

PeerBody readCallBody(const wire::Body &in)
{
    if (in.__isset.permitAsk) {
        const wire::PermitAsk &ask = in.permitAsk;
        return PermitAsk{ CallNumber{ ask.number }, CustomerId{ ask.customer },
                          RequestId{ ask.request }, Span{ ask.untilDeadline } };
    }
    if (in.__isset.permitReply) {
        const wire::PermitReply &reply = in.permitReply;
        return PermitReply{ CallNumber{ reply.number }, RequestId{ reply.request },
                            PermitAnswer{ verdictOf(reply.verdict), Span{ reply.length },
                                          fromWire(reply.answer) } };
    }
    if (in.__isset.outcomeReport) {
        const wire::OutcomeReport &report = in.outcomeReport;
        return OutcomeReport{ CallNumber{ report.number }, CustomerId{ report.customer },
                              RequestId{ report.request }, outcomeOf(report.outcome),
                              fromWire(report.answer) };
    }
    if (in.__isset.outcomeAck)
        return OutcomeAck{ RequestId{ in.outcomeAck.request } };
    return std::monostate{};
}

} // namespace azurewell
