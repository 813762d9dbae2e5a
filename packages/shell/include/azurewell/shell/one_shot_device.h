#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QIODevice>

namespace azurewell {

/// A request body that can be read once. QNetworkAccessManager sends a POST again, silently, when
/// the server closes the connection without answering; a filing then runs twice with no line of
/// ours at fault. It cannot rewind a sequential device, so with this body it fails instead.
class OneShotDevice : public QIODevice
{
public:
    explicit OneShotDevice(QByteArray content);

    bool isSequential() const override;
    qint64 bytesAvailable() const override;
    /// No, without the warning that the library prints for sequential devices.
    bool seek(qint64 position) override;
    bool reset() override;

protected:
    qint64 readData(char *to, qint64 most) override;
    qint64 writeData(const char *from, qint64 count) override;

private:
    QByteArray content;
    qint64 position = 0;
};

} // namespace azurewell
