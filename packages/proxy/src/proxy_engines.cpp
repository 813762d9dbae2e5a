#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/logging/log.h"
#include "text.h"

namespace azurewell {

using namespace gateway;

namespace {

/// Timeout of report and order calls. Answers arrive within milliseconds, so a call that
/// takes longer is on an unresponsive connection.
constexpr Span callTimeout = std::chrono::milliseconds(1200);

/// Whether this host coordinates the engine is checked when an order is issued. An order whose
/// connection takes longer to open is not sent: another host may be the coordinator by then, 650 ms
/// after it has noticed that this one is unreachable.
constexpr Span orderConnectTimeout = std::chrono::milliseconds(200);

} // namespace

void Proxy::order(const OrderEngine &toGive)
{
    const Instant now = monotonicNow();
    const auto onAnswer = [this, toGive, now](std::optional<CallAnswer> answer) {
        OrderEnded ended{ toGive.engine,  toGive.model, toGive.isLoad,
                          toGive.version, now,          OrderOutcome::Unknown };
        if (answer) {
            ended.outcome = this->format.readOrderAnswer(answer->head);
            this->applyStatements(toGive.engine,
                                  this->format.readStatements(answer->head, toGive.engine));
        }
        writeLog(LogLevel::Info, "order_ended",
                 { { "engine", toGive.engine.value },
                   { "model", toGive.model.model + "/" + toGive.model.adapter },
                   { "load", toGive.isLoad ? "true" : "false" },
                   { "orders", std::to_string(toGive.expectedOrders) },
                   { "fencing", std::to_string(toGive.fencing.value) },
                   { "outcome", std::string(gateway::nameOf(ended.outcome)) },
                   { "status", std::to_string(answer ? answer->head.status : 0) },
                   { "after_ms", inMillis(monotonicNow() - now) } });
        Actions actions;
        handle(this->core, ended, monotonicNow(), actions);
        this->run(actions);
    };
    this->httpCalls.start(toGive.address, this->format.orderRequest(toGive, this->settings.self.id),
                          now + callTimeout, maxReportBytes, onAnswer, now, orderConnectTimeout);
}

void Proxy::probe(const ProbeUpstream &toProbe)
{
    const auto onEnd = [this, toProbe](bool isOpen) {
        Actions actions;
        handle(this->core, ProbeEnded{ toProbe.service, toProbe.round, toProbe.upstream, isOpen },
               monotonicNow(), actions);
        this->run(actions);
    };
    this->probes.start(toProbe.address, monotonicNow() + probeTimeout, onEnd);
}

void Proxy::requestReport(const QueryReport &ask)
{
    const Instant askedAt = monotonicNow();
    const auto onAnswer = [this, ask, askedAt](std::optional<CallAnswer> answer) {
        ReportRead read{ ask.engine, askedAt, std::nullopt };
        if (answer)
            read.state = this->format.readReport(ask, answer->head, answer->body);
        const Instant now = monotonicNow();
        this->metrics.reportDuration.add(now - askedAt);
        Actions actions;
        if (answer) {
            const UpstreamStatements statements = this->format.readStatements(answer->head,
                                                                              ask.engine);
            handle(this->core,
                   LimitStated{ ask.engine,
                                limitFrom(statements.limitPerSecond, statements.maxRejections),
                                askedAt, true },
                   now, actions);
            this->applyStatements(ask.engine, statements);
        }
        handle(this->core, read, now, actions);
        this->run(actions);
    };
    this->httpCalls.start(ask.address, this->format.reportRequest(ask), askedAt + callTimeout,
                          maxReportBytes, onAnswer, askedAt);
}

} // namespace azurewell
