#pragma once

#include "azurewell/host/events.h"
#include "azurewell/units/result.h"

#include <QtCore/QByteArray>
#include <QtHttpServer/QHttpServerRequest>

namespace azurewell {

/// A caller's request as the traffic thread holds it; `arrived` goes to the core.
struct CallerRequest
{
    RequestArrived arrived;
    QByteArray method;
    QByteArray path; ///< With the query, as the upstream gets it.
    QByteArray contentType;
    QByteArray body;
    QByteArray callNumber; ///< From X-Call-Number; passed on to the service.
    bool isStream = false;
};

/// Reads key, model and sizes. The key is hashed here and goes no further. Errors: KeyMissing,
/// KeyInWrongPlace, MalformedBody, ModelMissing, UnknownPath.
Result<CallerRequest> readCallerRequest(const QHttpServerRequest &request, const RequestId &id,
                                        Instant deadline);

/// Tokens of a prompt are not known before the engine has split it; English and Spanish text has
/// about four bytes to a token.
inline constexpr std::int64_t bytesPerToken = 4;
/// Generated tokens where the caller sets no max_tokens.
inline constexpr std::int64_t defaultMostGenerated = 256;

} // namespace azurewell
