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

/// Sends requests to upstreams over as many connections as needed.
///
/// QNetworkAccessManager opens at most six connections per host and port and queues further
/// requests, but a batching engine accepts far more at once. The manager also distinguishes servers
/// by the peer verify name, which has no other effect over plain HTTP, so the pool assigns a name
/// to each group of six requests. Several managers would work too, but each costs a thread
/// (docs/design/request-path.md has the figures).
class UpstreamPool
{
public:
    /// Sends a request at most once: Qt does not resend it on a new connection (OneShotDevice),
    /// except for GET and HEAD. The reply is destroyed with its parent, which releases its place in
    /// the pool.
    QNetworkReply *send(const QByteArray &method, const QByteArray &address,
                        QNetworkRequest request, const QByteArray &body);

    /// Sends no further requests over the connection of \a reply.
    void retire(const QNetworkReply *reply);

private:
    /// Connections to one address that share a peer verify name.
    struct Group
    {
        QString name;
        int requestsInFlight = 0;
    };
    using Groups = std::vector<std::shared_ptr<Group>>;

    std::shared_ptr<Group> groupFor(const QByteArray &address);

    std::unique_ptr<QNetworkAccessManager> access; ///< Created in the sending thread.
    QHash<QByteArray, Groups> groups;              ///< By address.
    std::uint64_t nextName = 0;
};

} // namespace azurewell
