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

/// Sends requests to upstreams over as many connections as it takes.
///
/// An access manager opens at most six connections to a host and port and lets further requests
/// wait without a word; an engine that batches takes far more at once. The manager tells servers
/// apart by the name that a certificate would be checked against, too, and over plain HTTP that
/// name means nothing else: the pool gives requests in groups of six a name each. More managers
/// would do as well, at a thread of the library's for each (docs/design/request-path.md has the
/// figures).
class UpstreamPool
{
public:
    /// Sends \a body once: it is never sent a second time on a fresh connection (OneShotDevice).
    /// The same holds without a body, but for GET and HEAD, which the library may repeat. The reply
    /// deletes itself with its parent; the pool's count falls when it is destroyed.
    QNetworkReply *send(const QByteArray &method, const QByteArray &address,
                        QNetworkRequest request, const QByteArray &body);

    /// No request is sent over the connection of \a reply any more.
    void retire(const QNetworkReply *reply);

private:
    /// Connections to one address that the library takes for those to one server.
    struct Group
    {
        QString name;
        int open = 0; ///< Requests on their way.
    };
    using Groups = std::vector<std::shared_ptr<Group>>;

    std::shared_ptr<Group> groupFor(const QByteArray &address);

    std::unique_ptr<QNetworkAccessManager> access; ///< Made in the thread that sends.
    QHash<QByteArray, Groups> groups;              ///< By address.
    std::uint64_t nextName = 0;
};

} // namespace azurewell
