#include "content_digest.h"

#include <QtCore/QByteArrayView>
#include <QtCore/QCryptographicHash>

#include <cstring>

namespace azurewell {

ContentDigest contentDigest(std::string_view target, std::string_view body)
{
    QCryptographicHash hash(QCryptographicHash::Blake2b_160);
    // A target contains no NUL, so the separator keeps different pairs of target and body distinct.
    constexpr char end = 0;
    hash.addData(QByteArrayView(target.data(), static_cast<qsizetype>(target.size())));
    hash.addData(QByteArrayView(&end, 1));
    hash.addData(QByteArrayView(body.data(), static_cast<qsizetype>(body.size())));
    const QByteArray whole = hash.result();
    ContentDigest digest;
    std::memcpy(&digest.value, whole.constData(), sizeof digest.value);
    return digest;
}

} // namespace azurewell
