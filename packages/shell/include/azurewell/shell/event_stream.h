#pragma once

#include "azurewell/units/result.h"
#include "azurewell/units/tokens.h"

#include <QtCore/QByteArray>

namespace azurewell {

/// A server-sent event longer than this many bytes is refused: an engine that never ends an event
/// would otherwise fill the host's memory.
inline constexpr qsizetype longestEvent = 1 << 20;

/// The whole events at the front of a stream.
struct WholeEvents
{
    QByteArray bytes; ///< As the engine sent them, without carriage returns.
    Tokens tokens;    ///< Events that carry data; an engine sends one for each token.
};

/// Cuts the bytes of a server-sent event stream into whole events. What is data is decided by the
/// field at the start of a line: text that an adapter makes may hold "data: [DONE]" as well.
struct EventStream
{
    QByteArray partial;  ///< The bytes after the last whole event.
    bool isDone = false; ///< The engine has said that the answer is whole.
};

/// Adds \a bytes and takes out what is whole by now. Nothing after the end marker is taken. Errors:
/// MessageInvalid where an event is longer than longestEvent.
Result<WholeEvents> takeEvents(EventStream &stream, const QByteArray &bytes);

/// The value of the first data line in \a events; empty where there is none.
QByteArray firstData(const QByteArray &events);

} // namespace azurewell
