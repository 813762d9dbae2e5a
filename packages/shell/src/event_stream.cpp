#include "azurewell/shell/event_stream.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurewell {

namespace {

constexpr const char *eventEnd = "\n\n";
constexpr const char *dataField = "data:";
constexpr const char *doneMarker = "[DONE]";

struct EventContent
{
    bool hasToken = false;
    std::uint32_t finishedChoices = 0;
};

bool isNonEmptyText(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string()
            && !found->get_ref<const std::string &>().empty();
}

bool isFinished(const nlohmann::json &choice)
{
    const auto reason = choice.find("finish_reason");
    return reason != choice.end() && !reason->is_null();
}

/// Whether \a choice carries no token: it begins a text with its role, or only ends one.
bool isWithoutToken(const nlohmann::json &choice)
{
    if (isNonEmptyText(choice, "text"))
        return false;
    const auto delta = choice.find("delta");
    const bool isDelta = delta != choice.end() && delta->is_object();
    if (isDelta && isNonEmptyText(*delta, "content"))
        return false;
    return isFinished(choice) || (isDelta && delta->contains("role"));
}

/// What \a data, the data of one event, adds to an answer. Data in an unknown form counts as a
/// token.
EventContent contentOf(const QByteArray &data)
{
    if (data.isEmpty())
        return {};
    const nlohmann::json json = nlohmann::json::parse(data.begin(), data.end(), nullptr, false);
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array())
        return EventContent{ true, 0 };
    EventContent content;
    for (const nlohmann::json &choice : json["choices"]) {
        if (!choice.is_object())
            continue;
        content.hasToken = content.hasToken || !isWithoutToken(choice);
        content.finishedChoices += isFinished(choice) ? 1 : 0;
    }
    return content;
}

} // namespace

QByteArray firstData(const QByteArray &events)
{
    qsizetype at = 0;
    while (at < events.size()) {
        const qsizetype newline = events.indexOf('\n', at);
        const qsizetype lineEnd = newline < 0 ? events.size() : newline;
        const QByteArray line = events.mid(at, lineEnd - at);
        if (line.startsWith(dataField))
            return line.mid(static_cast<qsizetype>(qstrlen(dataField))).trimmed();
        at = lineEnd + 1;
    }
    return {};
}

Result<CompleteEvents> extractEvents(EventStream &stream, const QByteArray &bytes)
{
    CompleteEvents whole;
    // A separator split across reads begins with the last byte of the previous one.
    qsizetype searchFrom = std::max<qsizetype>(0, stream.partial.size() - 1);
    stream.partial += bytes;
    if (bytes.contains('\r')) {
        stream.partial.replace('\r', "");
        searchFrom = 0;
    }
    qsizetype taken = 0;
    while (!stream.isDone) {
        const qsizetype end = stream.partial.indexOf(eventEnd, searchFrom);
        if (end < 0)
            break;
        const QByteArray event = stream.partial.mid(taken, end + 2 - taken);
        const QByteArray data = firstData(event);
        taken = end + 2;
        searchFrom = taken;
        stream.isDone = data == doneMarker;
        if (stream.isDone)
            break;
        whole.bytes += event;
        const EventContent content = contentOf(data);
        whole.tokens += Tokens{ content.hasToken ? 1 : 0 };
        stream.finishedChoices += content.finishedChoices;
    }
    stream.partial.remove(0, taken);
    if (stream.partial.size() > maxStreamedEventBytes)
        return Error{ ResultCode::MessageInvalid, "server-sent event longer than 1 MiB" };
    return whole;
}

} // namespace azurewell
