#include "azurewell/shell/http_text.h"

#include "azurewell/http/message.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace azurewell {

namespace {

std::string refusalJson(const Refuse &refusal)
{
    const ResultCodeInfo &info = infoOf(refusal.code);
    nlohmann::json error;
    error["code"] = static_cast<int>(refusal.code);
    error["type"] = info.name;
    error["message"] = info.message;
    error["run_state"] = nameOf(refusal.runState);
    error["request_id"] = refusal.request.value;
    if (!refusal.detail.empty())
        error["detail"] = refusal.detail;
    return nlohmann::json{ { "error", error } }.dump(-1, ' ', false,
                                                     nlohmann::json::error_handler_t::replace);
}

} // namespace

QByteArray answerHead(int status, const QByteArray &contentType, qsizetype bodyBytes,
                      const RequestId &request, const QByteArray &extraHeaders)
{
    const int sent = finalStatus(status);
    QByteArray head = "HTTP/1.1 " + QByteArray::number(sent) + ' ' + reasonPhrase(sent) + "\r\n";
    head += "Content-Type: " + contentType + "\r\n";
    head += "Content-Length: " + QByteArray::number(bodyBytes) + "\r\n";
    if (!request.value.empty())
        head += "X-Request-Id: " + QByteArray::fromStdString(request.value) + "\r\n";
    return head + extraHeaders + "\r\n";
}

QByteArray chunkedHead(const QByteArray &contentType, const RequestId &request,
                       const QByteArray &extraHeaders)
{
    QByteArray head = "HTTP/1.1 200 OK\r\nContent-Type: " + contentType
            + "\r\nTransfer-Encoding: chunked\r\n";
    head += "Cache-Control: no-store\r\nX-Request-Id: " + QByteArray::fromStdString(request.value)
            + "\r\n" + extraHeaders + "\r\n";
    return head;
}

QByteArray encodeChunk(const QByteArray &data)
{
    return QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n";
}

QByteArray refusalAnswer(const Refuse &refusal)
{
    const ResultCodeInfo &info = infoOf(refusal.code);
    const QByteArray body = QByteArray::fromStdString(refusalJson(refusal));
    QByteArray headers = "X-Azurewell-Code: " + QByteArray::number(static_cast<int>(refusal.code))
            + "\r\n";
    const std::string_view runState = nameOf(refusal.runState);
    headers += "X-Azurewell-Run-State: "
            + QByteArray(runState.data(), static_cast<qsizetype>(runState.size())) + "\r\n";
    if (refusal.retryAfter) {
        const double seconds = std::ceil(std::max(0.0, toSeconds(*refusal.retryAfter)));
        headers += "Retry-After: " + QByteArray::number(static_cast<qint64>(seconds)) + "\r\n";
    }
    return answerHead(info.httpStatus, "application/json", body.size(), refusal.request, headers)
            + body;
}

QByteArray refusalEvent(const Refuse &refusal)
{
    return "data: " + QByteArray::fromStdString(refusalJson(refusal)) + "\n\n";
}

} // namespace azurewell
