#include "azurewell/shell/engine_orders.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/shell/load_report.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace azurewell {

namespace {

constexpr Span reportTimeout = std::chrono::seconds(1);

std::string requestTo(std::string_view method, const std::string &address, std::string_view path,
                      std::string_view body, std::vector<HttpHeader> headers = {})
{
    headers.push_back({ "Host", address });
    headers.push_back({ "Content-Type", "application/json" });
    return requestBytes(method, path, headers, body, method == "POST");
}

/// Returns the fencing number for which the engine rejected an order; 0 if it did not.
FencingNumber highestFencingNumber(const std::optional<CallAnswer> &answer)
{
    if (!answer)
        return {};
    const std::string_view text = headerValue(answer->head.headers, "X-Fencing-Number");
    FencingNumber number;
    std::from_chars(text.data(), text.data() + text.size(), number.value);
    return number;
}

} // namespace

EngineOrders::EngineOrders(EventHandler onEvent)
    : handleEvent(std::move(onEvent))
{
}

void EngineOrders::order(const OrderEngine &order)
{
    const Instant now = monotonicNow();
    if (now >= order.notAfter) {
        // The process was suspended after the decision; another host may coordinate the engine by
        // now.
        this->handleEvent(
                OrderEnded{ order.engine, order.adapter, order.isLoad, false, order.fencing, {} });
        return;
    }
    const std::string_view path = order.isLoad ? "/v1/load_lora_adapter"
                                               : "/v1/unload_lora_adapter";
    const std::string body = nlohmann::json{
        { "lora_name", order.adapter.value }, { "lora_path", order.adapter.value }
    }.dump();
    const std::string request = requestTo(
            "POST", order.address, path, body,
            { { "X-Fencing-Number", std::to_string(order.fencing.value) } });
    this->calls.start(order.address, request, order.notAfter, maxReportBytes,
                      [this, order](const std::optional<CallAnswer> &answer) {
                          this->handleEvent(OrderEnded{ order.engine, order.adapter, order.isLoad,
                                                        isSuccess(answer), order.fencing,
                                                        highestFencingNumber(answer) });
                      });
}

void EngineOrders::queryLoad(const QueryLoadReport &query)
{
    this->calls.start(query.address, requestTo("GET", query.address, "/load", {}),
                      monotonicNow() + reportTimeout, maxReportBytes,
                      [this, query](const std::optional<CallAnswer> &answer) {
                          LoadReported report = parseLoadReport(
                                  query.engine, isSuccess(answer) ? answer->body : std::string());
                          report.queriedAt = query.queriedAt;
                          this->handleEvent(report);
                      });
}

void EngineOrders::cancel(const CancelAttempt &attempt)
{
    const std::string path = "/v1/requests/" + attempt.request.value + "/cancel";
    this->calls.start(attempt.address, requestTo("POST", attempt.address, path, "{}"),
                      monotonicNow() + reportTimeout, maxReportBytes,
                      [](const std::optional<CallAnswer> &) {});
}

} // namespace azurewell
