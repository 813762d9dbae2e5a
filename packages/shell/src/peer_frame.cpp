#include "azurewell/shell/peer_frame.h"

#include <QtCore/QCryptographicHash>
#include <QtCore/QMessageAuthenticationCode>
#include <QtCore/QtEndian>

namespace azurewell {

namespace {

constexpr qsizetype serialBytes = 8;
constexpr qsizetype macBytes = 32;

QByteArray computeMac(const QByteArray &key, const HostId &receiver, const QByteArray &serial,
                      const QByteArray &payload)
{
    QMessageAuthenticationCode mac(QCryptographicHash::Sha256, key);
    mac.addData(QByteArray::fromStdString(receiver.value));
    mac.addData("\n", 1); // separator: keeps receiver and serial unambiguous
    mac.addData(serial);
    mac.addData(payload);
    return mac.result();
}

bool isEqualInConstantTime(const QByteArray &a, const QByteArray &b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (qsizetype index = 0; index < a.size(); ++index)
        difference |= static_cast<unsigned char>(a.at(index) ^ b.at(index));
    return difference == 0;
}

} // namespace

QByteArray sealFrame(const QByteArray &key, const HostId &receiver, std::uint64_t serial,
                     const PeerMessage &message)
{
    const QByteArray payload = QByteArray::fromStdString(
            encodeFrame(message).substr(frameHeaderBytes));
    QByteArray serialText(serialBytes, '\0');
    qToBigEndian<quint64>(serial, serialText.data());
    QByteArray length(static_cast<qsizetype>(frameHeaderBytes), '\0');
    qToBigEndian<quint32>(static_cast<quint32>(sealBytes + payload.size()), length.data());
    return length + serialText + computeMac(key, receiver, serialText, payload) + payload;
}

Result<OpenedFrame> openFrame(const QByteArray &key, const HostId &receiver,
                              const QByteArray &content)
{
    if (content.size() < static_cast<qsizetype>(sealBytes))
        return Error{ ResultCode::MessageInvalid, "frame too short for serial and HMAC" };
    const QByteArray serial = content.left(serialBytes);
    const QByteArray payload = content.mid(serialBytes + macBytes);
    const QByteArray expected = computeMac(key, receiver, serial, payload);
    if (!isEqualInConstantTime(expected, content.mid(serialBytes, macBytes)))
        return Error{ ResultCode::MessageInvalid, "HMAC verification failed" };
    return OpenedFrame{ qFromBigEndian<quint64>(serial.constData()), payload };
}

} // namespace azurewell
