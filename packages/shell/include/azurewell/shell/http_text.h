#pragma once

#include "azurewell/host/actions.h"

#include <QtCore/QByteArray>

#include <optional>

namespace azurewell {

/// Returns the head of a response with a body of known length.
QByteArray answerHead(int status, const QByteArray &contentType, qsizetype bodyBytes,
                      const RequestId &request, const QByteArray &extraHeaders = {});

/// Returns the head of a response with chunked transfer encoding.
QByteArray chunkedHead(const QByteArray &contentType, const RequestId &request,
                       const QByteArray &extraHeaders = {});

/// Encodes \a data as one chunk; empty data gives the terminating chunk.
QByteArray encodeChunk(const QByteArray &data);

/// Returns a refusal as a complete response. Headers and body give the numeric code, its meaning
/// and whether the request may have run.
QByteArray refusalAnswer(const Refuse &refusal);

/// Returns a refusal as a server-sent event, for a stream whose head has been sent.
QByteArray refusalEvent(const Refuse &refusal);

} // namespace azurewell
