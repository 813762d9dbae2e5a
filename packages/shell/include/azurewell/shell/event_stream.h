#pragma once

#include "azurewell/units/result.h"
#include "azurewell/units/tokens.h"

#include <QtCore/QByteArray>

#include <cstdint>

namespace azurewell {

/// Longer server-sent events are rejected: an engine that never ends an event would otherwise
/// exhaust the host's memory.
inline constexpr qsizetype maxStreamedEventBytes = 1 << 20;

/// The complete events at the front of a stream.
struct CompleteEvents
{
    QByteArray bytes; ///< As sent by the engine, without carriage returns.
    Tokens tokens;    ///< Count of events with a token; an engine sends one per token.
};

/// Splits a server-sent event stream into complete events. Only a field name at the start of a line
/// marks data, as generated text may contain "data: [DONE]" too.
struct EventStream
{
    QByteArray partial;                ///< The bytes after the last complete event.
    bool isDone = false;               ///< The end marker "[DONE]" was received.
    std::uint32_t choices = 1;         ///< Number of texts that were requested in one answer.
    std::uint32_t finishedChoices = 0; ///< Texts whose finish reason was received.

    /// Whether no token follows: all texts are finished, even if the end marker is missing.
    bool isAnswerEnd() const
    {
        return this->isDone || this->finishedChoices >= this->choices;
    }
};

/// Appends \a bytes and removes and returns all complete events; nothing after the end marker is
/// returned. Errors: MessageInvalid if an event is longer than maxStreamedEventBytes.
Result<CompleteEvents> extractEvents(EventStream &stream, const QByteArray &bytes);

/// Returns the value of the first data line in \a events, or an empty array.
QByteArray firstData(const QByteArray &events);

} // namespace azurewell
