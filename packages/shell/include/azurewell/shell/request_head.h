#pragma once

#include "azurewell/units/result.h"

#include <QtCore/QByteArray>

namespace azurewell {

/// Fields of a request head that CallerGuard needs.
struct RequestHead
{
    qint64 contentLength = 0;
    bool closes = false; ///< The caller asks to close the connection after the response.
};

/// Parses \a head, which ends with an empty line. Rejects what QHttpServer would reject by closing
/// the connection without a response, and whatever two parsers could interpret differently: several
/// lengths, folded lines, protocol upgrades. Errors: MalformedRequest, LengthRequired.
Result<RequestHead> readRequestHead(const QByteArray &head);

} // namespace azurewell
