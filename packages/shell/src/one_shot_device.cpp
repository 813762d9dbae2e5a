#include "azurewell/shell/one_shot_device.h"

#include <algorithm>
#include <cstring>

namespace azurewell {

OneShotDevice::OneShotDevice(QByteArray bytes)
    : content(std::move(bytes))
{
    this->open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool OneShotDevice::isSequential() const
{
    return true;
}

qint64 OneShotDevice::bytesAvailable() const
{
    return this->content.size() - this->position + QIODevice::bytesAvailable();
}

bool OneShotDevice::seek(qint64)
{
    return false;
}

bool OneShotDevice::reset()
{
    return false;
}

qint64 OneShotDevice::readData(char *to, qint64 maxCount)
{
    const qint64 count = std::min<qint64>(maxCount, this->content.size() - this->position);
    if (count <= 0)
        return -1;
    std::memcpy(to, this->content.constData() + this->position, static_cast<std::size_t>(count));
    this->position += count;
    return count;
}

qint64 OneShotDevice::writeData(const char *, qint64)
{
    return -1;
}

} // namespace azurewell
