#pragma once

#include "azurewell/host/actions.h"

#include <QtCore/QByteArray>

#include <optional>

namespace azurewell {

/// The head of an answer with a body of known length.
QByteArray answerHead(int status, const QByteArray &contentType, qsizetype bodyBytes,
                      const RequestId &request, const QByteArray &moreHeaders = {});

/// The head of a chunked answer.
QByteArray chunkedHead(const QByteArray &contentType, const RequestId &request,
                       const QByteArray &moreHeaders = {});

/// \a data as one chunk; the last chunk where \a data is empty.
QByteArray chunkOf(const QByteArray &data);

/// A refusal as a whole answer: the numbered code, what it means, and whether the request can have
/// run, in the headers and in the body.
QByteArray refusalAnswer(const Refuse &refusal);

/// The refusal as a server-sent event, for a stream whose head was sent already.
QByteArray refusalEvent(const Refuse &refusal);

} // namespace azurewell
