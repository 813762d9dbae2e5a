#pragma once

#include "azurewell/units/result.h"

#include <QtCore/QByteArray>

namespace azurewell {

/// What the guard before QHttpServer has to know of a request.
struct RequestHead
{
    qint64 contentLength = 0;
    bool closes = false; ///< The caller wants the connection closed after the answer.
};

/// Reads \a head, which ends with an empty line. QHttpServer closes the connection without a word
/// where it does not like a head, so what it would not take is refused here, and so is all that two
/// readers could take differently: two lengths, folded lines, a change of protocol. Errors:
/// MalformedRequest, LengthRequired.
Result<RequestHead> readRequestHead(const QByteArray &head);

} // namespace azurewell
