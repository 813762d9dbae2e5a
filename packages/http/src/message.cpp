#include "azurewell/http/message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace azurewell {

namespace {

char lowered(char letter)
{
    return (letter >= 'A' && letter <= 'Z') ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 10> names{
        "connection", "keep-alive",     "proxy-connection",  "proxy-authenticate",
        "te",         "trailer",        "transfer-encoding", "upgrade",
        "expect",     "content-length",
    };
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view other) { return isSameHeaderName(name, other); });
}

/// Whether \a name occurs in a comma-separated list of header names.
bool isListed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (isSameHeaderName(item, name))
            return true;
        if (comma == std::string_view::npos)
            break;
        list.remove_prefix(comma + 1);
    }
    return false;
}

void appendHeaders(std::string &out, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers) {
        out += header.name;
        out += ": ";
        out += header.value;
        out += "\r\n";
    }
}

} // namespace

bool isSameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return lowered(x) == lowered(y);
           });
}

std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (isSameHeaderName(header.name, name))
            return header.value;
    }
    return {};
}

std::size_t headerCount(const std::vector<HttpHeader> &headers, std::string_view name)
{
    return static_cast<std::size_t>(
            std::count_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
                return isSameHeaderName(header.name, name);
            }));
}

std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &all)
{
    const auto isNamedByConnection = [&all](std::string_view name) {
        return std::any_of(all.begin(), all.end(), [name](const HttpHeader &header) {
            return isSameHeaderName(header.name, "Connection") && isListed(header.value, name);
        });
    };
    std::vector<HttpHeader> kept;
    kept.reserve(all.size());
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept), [&](const HttpHeader &header) {
        return !isHopByHop(header.name) && !isNamedByConnection(header.name);
    });
    return kept;
}

std::string_view nameOf(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::Close:
        break;
    }
    return "close";
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string requestBytes(std::string_view method, std::string_view target,
                         const std::vector<HttpHeader> &headers, std::string_view body,
                         bool hasBody)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    out.reserve(out.size() + body.size() + 1024);
    appendHeaders(out, headers);
    if (hasBody)
        out += fmt::format("Content-Length: {}\r\n", body.size());
    out += "\r\n";
    out += body;
    return out;
}

std::string responseHeadBytes(int status, std::string_view reason,
                              const std::vector<HttpHeader> &headers, BodyFraming framing,
                              std::size_t contentLength, bool keepsConnection)
{
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    appendHeaders(out, headers);
    if (framing == BodyFraming::Length)
        out += fmt::format("Content-Length: {}\r\n", contentLength);
    if (framing == BodyFraming::Chunked)
        out += "Transfer-Encoding: chunked\r\n";
    if (!keepsConnection)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

std::string chunkBytes(std::string_view data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

} // namespace azurewell
