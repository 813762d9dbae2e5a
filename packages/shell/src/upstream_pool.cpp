#include "azurewell/shell/upstream_pool.h"

#include "azurewell/shell/one_shot_device.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr int connectionsPerGroup = 6; // limit of QHttpNetworkConnection

} // namespace

std::shared_ptr<UpstreamPool::Group> UpstreamPool::groupFor(const QByteArray &address)
{
    Groups &known = this->groups[address];
    const auto hasCapacity = [](const std::shared_ptr<Group> &group) {
        return group->requestsInFlight < connectionsPerGroup;
    };
    const auto found = std::find_if(known.begin(), known.end(), hasCapacity);
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
        ++group->requestsInFlight;
        request.setPeerVerifyName(group->name);
    }
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    OneShotDevice *device = nullptr;
    // Also for an empty body: the device prevents the library from resending the request.
    if (method != "GET" && method != "HEAD") {
        request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
        device = new OneShotDevice(body);
    }
    QNetworkReply *reply = this->access->sendCustomRequest(request, method, device);
    if (device)
        device->setParent(reply);
    if (group)
        QObject::connect(reply, &QObject::destroyed, [group] { --group->requestsInFlight; });
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
