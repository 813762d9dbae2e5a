#include "azurewell/shell/engine_orders.h"

#include "azurewell/http/clock.h"
#include "azurewell/shell/load_report.h"

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

constexpr int reportTimeoutMillis = 1'000;

QNetworkRequest requestTo(const std::string &address, const char *path, int timeoutMillis)
{
    QNetworkRequest request(QUrl("http://" + QString::fromStdString(address + path)));
    request.setTransferTimeout(timeoutMillis);
    request.setRawHeader("Content-Type", "application/json");
    return request;
}

/// Returns the fencing number for which the engine rejected an order; 0 if it did not.
FencingNumber highestFencingNumber(const QNetworkReply *reply)
{
    return FencingNumber{ reply->rawHeader("X-Fencing-Number").toULongLong() };
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
    const int timeoutMillis = static_cast<int>(toSeconds(order.notAfter - now) * 1000);
    const char *path = order.isLoad ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
    QNetworkRequest request = requestTo(order.address, path, timeoutMillis);
    request.setRawHeader("X-Fencing-Number",
                         QByteArray::number(static_cast<quint64>(order.fencing.value)));
    const std::string body = nlohmann::json{
        { "lora_name", order.adapter.value }, { "lora_path", order.adapter.value }
    }.dump();
    QNetworkReply *reply = this->pool.send("POST", QByteArray::fromStdString(order.address),
                                           request, QByteArray::fromStdString(body));
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, order] {
        reply->deleteLater();
        this->handleEvent(OrderEnded{ order.engine, order.adapter, order.isLoad,
                                      reply->error() == QNetworkReply::NoError, order.fencing,
                                      highestFencingNumber(reply) });
    });
}

void EngineOrders::queryLoad(const QueryLoadReport &query)
{
    const QNetworkRequest request = requestTo(query.address, "/load", reportTimeoutMillis);
    QNetworkReply *reply = this->pool.send("GET", QByteArray::fromStdString(query.address), request,
                                           {});
    QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, query] {
        reply->deleteLater();
        const bool isAnswered = reply->error() == QNetworkReply::NoError;
        LoadReported report = parseLoadReport(
                query.engine, isAnswered ? reply->readAll().toStdString() : std::string());
        report.queriedAt = query.queriedAt;
        this->handleEvent(report);
    });
}

void EngineOrders::cancel(const CancelAttempt &attempt)
{
    const std::string path = "/v1/requests/" + attempt.request.value + "/cancel";
    const QNetworkRequest request = requestTo(attempt.address, path.c_str(), reportTimeoutMillis);
    QNetworkReply *reply = this->pool.send("POST", QByteArray::fromStdString(attempt.address),
                                           request, "{}");
    QObject::connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
}

} // namespace azurewell
