#include "azurewell/shell/upstream_pool.h"

#include "azurewell/shell/one_shot_device.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr int connectionsOfOneManager = 6; // QHttpNetworkConnection's own limit

} // namespace

UpstreamPool::Manager &UpstreamPool::managerFor(const QByteArray &address)
{
    for (const std::unique_ptr<Manager> &manager : this->managers) {
        if (manager->open.value(address) < connectionsOfOneManager)
            return *manager;
    }
    this->managers.push_back(std::make_unique<Manager>());
    Manager &made = *this->managers.back();
    made.access = std::make_unique<QNetworkAccessManager>();
    made.access->setProxy(QNetworkProxy::NoProxy);
    made.access->setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
    return made;
}

QNetworkReply *UpstreamPool::send(const QByteArray &method, const QByteArray &address,
                                  QNetworkRequest request, const QByteArray &body)
{
    std::erase_if(this->retired,
                  [](const std::unique_ptr<Manager> &manager) { return manager->replies == 0; });
    Manager *manager = &this->managerFor(address);
    ++manager->open[address];
    ++manager->replies;
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    OneShotDevice *device = nullptr;
    // Also around an empty body: it is the device that keeps the library from sending again.
    if (method != "GET" && method != "HEAD") {
        request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
        device = new OneShotDevice(body);
    }
    QNetworkReply *reply = manager->access->sendCustomRequest(request, method, device);
    if (device)
        device->setParent(reply);
    QObject::connect(reply, &QObject::destroyed, manager->access.get(), [manager, address] {
        --manager->open[address];
        --manager->replies;
    });
    return reply;
}

void UpstreamPool::retire(const QNetworkReply *reply)
{
    const auto isIts = [reply](const std::unique_ptr<Manager> &manager) {
        return manager->access.get() == reply->manager();
    };
    const auto found = std::find_if(this->managers.begin(), this->managers.end(), isIts);
    if (found == this->managers.end())
        return;
    this->retired.push_back(std::move(*found));
    this->managers.erase(found);
}

} // namespace azurewell
