#pragma once

#include "azurewell/host/events.h"
#include "azurewell/units/result.h"

#include <QtCore/QByteArray>
#include <QtHttpServer/QHttpServerRequest>

#include <optional>

namespace azurewell {

/// A caller's request as held by the traffic thread. `arrived` is the event reported to the host
/// state.
struct CallerRequest
{
    RequestArrived arrived;
    QByteArray method;
    QByteArray path; ///< Includes the query; forwarded to the upstream unchanged.
    QByteArray contentType;
    QByteArray body;
    QByteArray callNumber; ///< From X-Call-Number; passed on to the service.
    bool isStream = false;
    std::uint32_t choices = 1;         ///< Texts that are requested in one answer.
    std::optional<Tokens> answerLimit; ///< Tokens after which the answer is complete, if stated.
};

/// Extracts key, model and sizes. Only the hash of the key is kept. Errors: KeyMissing,
/// KeyInWrongPlace, MalformedBody, ModelMissing, UnknownPath.
Result<CallerRequest> readCallerRequest(const QHttpServerRequest &request, const RequestId &id,
                                        Instant deadline);

/// Estimates prompt tokens before the engine has tokenized the prompt; English and Spanish text has
/// about four bytes per token.
inline constexpr std::int64_t bytesPerToken = 4;
/// Limit of generated tokens when the request has no max_tokens.
inline constexpr std::int64_t defaultMaxTokens = 256;

} // namespace azurewell
