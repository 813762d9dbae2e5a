#include "forward_headers.h"

#include <QtCore/QByteArray>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace azurewell {

using namespace gateway;

namespace {

constexpr std::string_view forwardedName = "Azurewell-Forwarded";
constexpr std::string_view refusalName = "Azurewell-Refusal";
constexpr std::string_view upstreamName = "Azurewell-Upstream";
constexpr std::string_view framingName = "Azurewell-Framing";
constexpr std::array internalNames{ forwardedName, refusalName, upstreamName, framingName };

std::string toBase64(const std::string &bytes)
{
    return QByteArray::fromStdString(bytes).toBase64().toStdString();
}

/// Empty if \a text is not valid base64.
std::string fromBase64(std::string_view text)
{
    const QByteArray encoded(text.data(), static_cast<qsizetype>(text.size()));
    const auto decoded = QByteArray::fromBase64Encoding(encoded,
                                                        QByteArray::AbortOnBase64DecodingErrors);
    return decoded ? decoded.decoded.toStdString() : std::string();
}

} // namespace

std::vector<HttpHeader> withoutInternalHeaders(std::vector<HttpHeader> headers)
{
    std::erase_if(headers, [](const HttpHeader &header) {
        return std::any_of(internalNames.begin(), internalNames.end(), [&](std::string_view name) {
            return isSameHeaderName(header.name, name);
        });
    });
    return headers;
}

HttpHeader forwardedHeaderOf(const ForwardedRequest &request)
{
    return { std::string(forwardedName), toBase64(encodeForwardedRequest(request)) };
}

Result<ForwardedRequest> readForwarded(const std::vector<HttpHeader> &headers)
{
    return decodeForwardedRequest(fromBase64(headerValue(headers, forwardedName)));
}

HttpHeader refusalHeaderOf(const ForwardRefusal &refusal)
{
    return { std::string(refusalName), toBase64(encodeForwardRefusal(refusal)) };
}

std::optional<ForwardRefusal> readForwardRefusal(const std::vector<HttpHeader> &headers)
{
    if (headerCount(headers, refusalName) == 0)
        return std::nullopt;
    const Result<ForwardRefusal> refusal = decodeForwardRefusal(
            fromBase64(headerValue(headers, refusalName)));
    // An unreadable refusal proves nothing about whether the request has run.
    return refusal ? refusal.value() : ForwardRefusal{ ResultCode::OutcomeUnknown, false, {} };
}

HttpHeader upstreamHeaderOf(const UpstreamId &upstream)
{
    return { std::string(upstreamName), upstream.value };
}

HttpHeader framingHeaderOf(BodyFraming framing)
{
    return { std::string(framingName), std::string(nameOf(framing)) };
}

BodyFraming readFramingHeader(const std::vector<HttpHeader> &headers, BodyFraming otherwise)
{
    const bool isClose = headerValue(headers, framingName) == nameOf(BodyFraming::Close);
    return isClose ? BodyFraming::Close : otherwise;
}

UpstreamId readUpstreamHeader(const std::vector<HttpHeader> &headers)
{
    return UpstreamId{ std::string(headerValue(headers, upstreamName)) };
}

} // namespace azurewell
