#include "azurewell/shell/caller_request.h"

#include <QtCore/QCryptographicHash>
#include <QtCore/QUrl>
#include <QtCore/QUrlQuery>

#include <nlohmann/json.hpp>

#include <array>
#include <optional>

namespace azurewell {

namespace {

constexpr std::array<const char *, 3> keyHeaders{ "x-api-key", "api-key", "proxy-authorization" };
constexpr std::array<const char *, 4> keyQueries{ "key", "api_key", "apikey", "access_token" };
constexpr std::int64_t maxRequestedTokens = 1'000'000;

/// Reads the key, which must appear once, in the Authorization header: in a query it would be
/// logged by intermediaries, and with two keys caller and host could mean different customers.
Result<KeyHash> readKey(const QHttpServerRequest &request)
{
    QByteArray authorization;
    int count = 0;
    for (const QPair<QByteArray, QByteArray> &header : request.headers()) {
        const QByteArray name = header.first.toLower();
        if (name == "authorization") {
            authorization = header.second;
            ++count;
        }
        for (const char *other : keyHeaders) {
            if (name == other)
                return Error{ ResultCode::KeyInWrongPlace, {} };
        }
    }
    const QUrlQuery query = request.query();
    for (const char *name : keyQueries) {
        if (query.hasQueryItem(QLatin1String(name)))
            return Error{ ResultCode::KeyInWrongPlace, {} };
    }
    if (count > 1)
        return Error{ ResultCode::KeyInWrongPlace, {} };
    if (!authorization.startsWith("Bearer ") || authorization.size() < 8)
        return Error{ ResultCode::KeyMissing, {} };
    const QByteArray hash = QCryptographicHash::hash(authorization.mid(7).trimmed(),
                                                     QCryptographicHash::Sha256);
    return KeyHash{ hash.toHex().toStdString() };
}

Result<std::int64_t> readCount(const nlohmann::json &body, const char *key, std::int64_t fallback)
{
    const auto found = body.find(key);
    if (found == body.end() || found->is_null())
        return fallback;
    if (!found->is_number_integer() || found->get<std::int64_t>() < 1
        || found->get<std::int64_t>() > maxRequestedTokens)
        return Error{ ResultCode::MalformedBody,
                      std::string(key) + " must be a whole number from 1 to 1000000" };
    return found->get<std::int64_t>();
}

/// The number of texts that are requested in one answer; 1 if it is missing or unusable.
std::uint32_t choicesOf(const nlohmann::json &body)
{
    const Result<std::int64_t> choices = readCount(body, "n", 1);
    return choices ? static_cast<std::uint32_t>(choices.value()) : 1;
}

Result<CallerRequest> readCompletion(CallerRequest read)
{
    const nlohmann::json body = nlohmann::json::parse(read.body.begin(), read.body.end(), nullptr,
                                                      false);
    if (!body.is_object())
        return Error{ ResultCode::MalformedBody, "the body must be a JSON object" };
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return Error{ ResultCode::ModelMissing, {} };
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return Error{ ResultCode::MalformedBody, "stream must be true or false" };
    const Result<std::int64_t> maxTokens = readCount(body, "max_tokens", defaultMaxTokens);
    if (!maxTokens)
        return maxTokens.error();
    read.arrived.kind = RequestKind::Completion;
    read.arrived.adapter = AdapterRef{ model->get<std::string>() };
    read.arrived.promptTokens = Tokens{ read.body.size() / bytesPerToken };
    read.arrived.maxGenerated = Tokens{ maxTokens.value() };
    read.isStream = stream != body.end() && stream->get<bool>();
    read.choices = choicesOf(body);
    if (body.contains("max_tokens") && !body["max_tokens"].is_null())
        read.answerLimit = Tokens{ maxTokens.value() * read.choices };
    return read;
}

Result<CallerRequest> readServiceCall(CallerRequest read, const QByteArray &path)
{
    const QByteArray rest = path.mid(static_cast<qsizetype>(std::string_view("/services/").size()));
    const qsizetype slash = rest.indexOf('/');
    const QByteArray name = slash < 0 ? rest : rest.left(slash);
    if (name.isEmpty())
        return Error{ ResultCode::UnknownPath, {} };
    read.arrived.kind = RequestKind::ServiceCall;
    read.arrived.service = ServiceId{ name.toStdString() };
    read.arrived.callNumber = CallNumber{ read.callNumber.toStdString() };
    read.arrived.isSafeMethod = read.method == "GET" || read.method == "HEAD";
    read.path = slash < 0 ? QByteArray("/") : read.path.mid(read.path.indexOf(rest) + slash);
    return read;
}

/// Reads `POST /v1/call-numbers` with an optional `{ "count": N }`.
Result<CallerRequest> readCallNumbersRequest(CallerRequest read)
{
    nlohmann::json body = nlohmann::json::object();
    if (!read.body.isEmpty())
        body = nlohmann::json::parse(read.body.begin(), read.body.end(), nullptr, false);
    if (!body.is_object())
        return Error{ ResultCode::MalformedBody, "the body must be a JSON object" };
    const Result<std::int64_t> count = readCount(body, "count", 1);
    if (!count)
        return count.error();
    read.arrived.kind = RequestKind::CallNumbers;
    read.arrived.callNumberCount = static_cast<std::uint32_t>(count.value());
    return read;
}

QByteArray methodOf(const QHttpServerRequest &request)
{
    switch (request.method()) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return {};
    }
}

} // namespace

Result<CallerRequest> readCallerRequest(const QHttpServerRequest &request, const RequestId &id,
                                        Instant deadline)
{
    CallerRequest read;
    read.method = methodOf(request);
    const QByteArray path = request.url().path(QUrl::FullyEncoded).toUtf8();
    const QByteArray query = request.url().query(QUrl::FullyEncoded).toUtf8();
    read.path = query.isEmpty() ? path : path + '?' + query;
    const bool isCompletion = path == "/v1/chat/completions" || path == "/v1/completions";
    const bool isServiceCall = path.startsWith("/services/");
    const bool isCallNumbersRequest = path == "/v1/call-numbers";
    if (!isCompletion && !isServiceCall && !isCallNumbersRequest)
        return Error{ ResultCode::UnknownPath, {} };
    const Result<KeyHash> key = readKey(request);
    if (!key)
        return key.error();
    read.arrived.request = id;
    read.arrived.key = key.value();
    read.arrived.deadline = deadline;
    read.contentType = request.value("content-type");
    read.body = request.body();
    if (read.method.isEmpty() || (!isServiceCall && read.method != "POST"))
        return Error{ ResultCode::MalformedRequest, "the method does not fit the path" };
    if (isCallNumbersRequest)
        return readCallNumbersRequest(std::move(read));
    read.callNumber = request.value("x-call-number");
    return isCompletion ? readCompletion(std::move(read)) : readServiceCall(std::move(read), path);
}

} // namespace azurewell
