#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QHash>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QNetworkReply>
#include <QtNetwork/QNetworkRequest>

#include <memory>
#include <vector>

namespace azurewell {

/// Sends requests to upstreams through as many QNetworkAccessManagers as it takes.
///
/// One access manager opens at most six connections to a host and port and lets further requests
/// wait without a word; an engine that batches takes far more at once. The pool gives each request
/// to a manager with fewer than six open to that address, and makes another manager where there is
/// none.
class UpstreamPool
{
public:
    /// Sends \a body once: it is never sent a second time on a fresh connection (OneShotDevice).
    /// The same holds without a body, but for GET and HEAD, which the library may repeat.
    /// The reply deletes itself with its parent; the pool's count falls when it is destroyed.
    QNetworkReply *send(const QByteArray &method, const QByteArray &address,
                        QNetworkRequest request, const QByteArray &body);

    /// No request is sent over the connection of \a reply any more. The library does not tell which
    /// one that is, so its manager takes no new requests, and goes with its last reply.
    void retire(const QNetworkReply *reply);

    std::size_t managerCount() const
    {
        return this->managers.size();
    }

private:
    struct Manager
    {
        QHash<QByteArray, int> open; ///< Outlives `access`, whose replies count down when they go.
        int replies = 0;
        std::unique_ptr<QNetworkAccessManager> access;
    };

    Manager &managerFor(const QByteArray &address);

    std::vector<std::unique_ptr<Manager>> managers;
    std::vector<std::unique_ptr<Manager>> retired;
};

} // namespace azurewell
