#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QIODevice>

namespace azurewell {

/// A request body that can be read only once. QNetworkAccessManager silently resends a POST when
/// the server closes the connection without a response, which would execute a call twice. It cannot
/// rewind a sequential device, so with this body the request fails instead.
class OneShotDevice : public QIODevice
{
public:
    explicit OneShotDevice(QByteArray content);

    bool isSequential() const override;
    qint64 bytesAvailable() const override;
    /// Returns false; the base class would also print a warning for sequential devices.
    bool seek(qint64 position) override;
    bool reset() override;

protected:
    qint64 readData(char *to, qint64 maxCount) override;
    qint64 writeData(const char *from, qint64 count) override;

private:
    QByteArray content;
    qint64 position = 0;
};

} // namespace azurewell
