#include "azurewell/shell/event_stream.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr const char *eventEnd = "\n\n";
constexpr const char *dataField = "data:";
constexpr const char *doneMarker = "[DONE]";

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
        whole.tokens += Tokens{ data.isEmpty() ? 0 : 1 };
    }
    stream.partial.remove(0, taken);
    if (stream.partial.size() > maxEventBytes)
        return Error{ ResultCode::MessageInvalid, "server-sent event longer than 1 MiB" };
    return whole;
}

} // namespace azurewell
