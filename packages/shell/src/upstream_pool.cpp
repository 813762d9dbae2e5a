#include "azurewell/shell/upstream_pool.h"

#include "azurewell/shell/one_shot_device.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr int connectionsOfOneGroup = 6; // QHttpNetworkConnection's own limit

} // namespace

std::shared_ptr<UpstreamPool::Group> UpstreamPool::groupFor(const QByteArray &address)
{
    Groups &known = this->groups[address];
    const auto hasRoom = [](const std::shared_ptr<Group> &group) {
        return group->open < connectionsOfOneGroup;
    };
    const auto found = std::find_if(known.begin(), known.end(), hasRoom);
    if (found != known.end())
        return *found;
    const QString name = "group-" + QString::number(this->nextName++);
    known.push_back(std::make_shared<Group>(Group{ name, 0 }));
    return known.back();
}

QNetworkReply *UpstreamPool::send(const QByteArray &method, const QByteArray &address,
                                  QNetworkRequest request, const QByteArray &body)
{
    if (!this->access) {
        this->access = std::make_unique<QNetworkAccessManager>();
        this->access->setProxy(QNetworkProxy::NoProxy);
        this->access->setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
    }
    std::shared_ptr<Group> group;
    if (request.peerVerifyName().isEmpty()) {
        group = this->groupFor(address);
        ++group->open;
        request.setPeerVerifyName(group->name);
    }
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    OneShotDevice *device = nullptr;
    // Also around an empty body: it is the device that keeps the library from sending again.
    if (method != "GET" && method != "HEAD") {
        request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
        device = new OneShotDevice(body);
    }
    QNetworkReply *reply = this->access->sendCustomRequest(request, method, device);
    if (device)
        device->setParent(reply);
    if (group)
        QObject::connect(reply, &QObject::destroyed, [group] { --group->open; });
    return reply;
}

void UpstreamPool::retire(const QNetworkReply *reply)
{
    const QString name = reply->request().peerVerifyName();
    for (Groups &known : this->groups)
        std::erase_if(known,
                      [&name](const std::shared_ptr<Group> &group) { return group->name == name; });
}

} // namespace azurewell
