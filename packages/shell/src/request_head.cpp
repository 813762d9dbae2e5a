#include "azurewell/shell/request_head.h"

#include <QtCore/QList>

#include <algorithm>
#include <array>
#include <string_view>

namespace azurewell {

namespace {

constexpr std::array<std::string_view, 6> methods{
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"
};

bool isTokenLetter(char letter)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool isLetter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    const bool isDigit = letter >= '0' && letter <= '9';
    return isLetter || isDigit || others.find(letter) != std::string_view::npos;
}

bool isToken(const QByteArray &name)
{
    return !name.isEmpty() && std::all_of(name.begin(), name.end(), isTokenLetter);
}

/// Whether the target is an absolute path of printable ASCII; QUrl and http_parser treat other
/// bytes differently.
bool isTarget(const QByteArray &target)
{
    const auto isPrintable = [](char letter) {
        return letter > ' ' && letter < '\x7f';
    };
    return target.startsWith('/') && std::all_of(target.begin(), target.end(), isPrintable);
}

bool hasBody(const QByteArray &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

bool isRequestLine(const QList<QByteArray> &parts)
{
    if (parts.size() != 3 || parts[2] != "HTTP/1.1" || !isTarget(parts[1]))
        return false;
    const auto isMethod = [&parts](std::string_view method) {
        return parts[0] == method.data();
    };
    return std::any_of(methods.begin(), methods.end(), isMethod);
}

Error malformed(const char *detail)
{
    return Error{ ResultCode::MalformedRequest, detail };
}

struct Fields
{
    QByteArray length;
    int lengths = 0;
    bool isChunked = false;
    bool upgrades = false;
    bool closes = false;
};

bool readField(const QByteArray &line, Fields &fields)
{
    const qsizetype colon = line.indexOf(':');
    if (colon <= 0 || !isToken(line.left(colon)) || line.contains('\0'))
        return false;
    const QByteArray name = line.left(colon).toLower();
    const QByteArray value = line.mid(colon + 1).trimmed();
    if (name == "content-length") {
        fields.length = value;
        ++fields.lengths;
    }
    fields.isChunked = fields.isChunked || name == "transfer-encoding";
    fields.upgrades = fields.upgrades || name == "upgrade";
    fields.closes = fields.closes || (name == "connection" && value.toLower().contains("close"));
    return true;
}

} // namespace

Result<RequestHead> readRequestHead(const QByteArray &head)
{
    const QList<QByteArray> lines = head.left(head.size() - 4).split('\n');
    const QList<QByteArray> parts = lines.first().trimmed().split(' ');
    if (!isRequestLine(parts))
        return malformed("the request line must be METHOD /path HTTP/1.1");
    Fields fields;
    for (const QByteArray &line : lines.mid(1)) {
        if (!readField(line, fields))
            return malformed("a header line is not valid");
    }
    if (fields.upgrades)
        return malformed("the protocol cannot be changed");
    if (fields.lengths > 1)
        return malformed("there is more than one Content-Length");
    if (fields.isChunked || (fields.lengths == 0 && hasBody(parts[0])))
        return Error{ ResultCode::LengthRequired, {} };
    const auto isDigit = [](char letter) {
        return letter >= '0' && letter <= '9';
    };
    bool isNumber = std::all_of(fields.length.begin(), fields.length.end(), isDigit);
    const qint64 length = fields.lengths == 0 ? 0 : fields.length.toLongLong(&isNumber);
    if (!isNumber || length < 0)
        return malformed("Content-Length is not a number");
    return RequestHead{ length, fields.closes };
}

} // namespace azurewell
