#include "azurewell/shell/bounded_calls.h"

#include "azurewell/http/clock.h"
#include "azurewell/shell/settings.h"

#include <QtNetwork/QHostInfo>

#include <algorithm>

namespace azurewell {

namespace {

constexpr std::chrono::milliseconds checkInterval{ 50 };

/// Calls have connections of their own, on which no answer to a caller's request can come.
bool isAnswerToCall(const ResponseHead &)
{
    return true;
}

/// The first IPv4 address of \a found with the port of \a address; an error if there is none.
Result<Endpoint> endpointOf(const QHostInfo &found, const std::string &address)
{
    const QList<QHostAddress> addresses = found.addresses();
    const auto usable = std::find_if(
            addresses.begin(), addresses.end(), [](const QHostAddress &candidate) {
                return candidate.protocol() == QAbstractSocket::IPv4Protocol;
            });
    const std::size_t colon = address.rfind(':');
    if (usable == addresses.end() || colon == std::string::npos)
        return Error{ ResultCode::NoUpstream,
                      address + ": no address has this name, or the port is missing" };
    return parseEndpoint(usable->toString().toStdString() + address.substr(colon));
}

} // namespace

BoundedCalls::BoundedCalls()
    : calls(this->connections, isAnswerToCall)
{
    QObject::connect(&this->timer, &QTimer::timeout, this, [this] {
        const Instant now = monotonicNow();
        this->calls.cancelOverdue(now);
        this->connections.closeExpired(now);
    });
    this->timer.start(checkInterval);
}

void BoundedCalls::start(const std::string &address, const std::string &request, Instant deadline,
                         std::size_t maxBodyBytes, HttpCalls::Handler handler)
{
    const Result<Endpoint> to = parseEndpoint(address);
    if (!to) {
        this->lookUp(address, request, deadline, maxBodyBytes, handler);
        return;
    }
    this->send(to.value(), request, deadline, maxBodyBytes, std::move(handler));
}

/// An order that waits for its connection beyond its deadline must not be sent: another host may
/// coordinate the engine by then.
void BoundedCalls::send(const Endpoint &to, const std::string &request, Instant deadline,
                        std::size_t maxBodyBytes, HttpCalls::Handler handler)
{
    const Instant now = monotonicNow();
    this->calls.start(to, request, deadline, maxBodyBytes, std::move(handler), now,
                      std::min(defaultConnectTimeout, deadline - now));
}

void BoundedCalls::lookUp(const std::string &address, const std::string &request, Instant deadline,
                          std::size_t maxBodyBytes, const HttpCalls::Handler &handler)
{
    const QString name = QString::fromStdString(address.substr(0, address.rfind(':')));
    QHostInfo::lookupHost(name, this, [=, this](const QHostInfo &found) {
        const Result<Endpoint> to = endpointOf(found, address);
        if (to)
            this->send(to.value(), request, deadline, maxBodyBytes, handler);
        else
            handler(std::nullopt);
    });
}

bool isSuccess(const std::optional<CallAnswer> &answer)
{
    return answer && isSuccess(answer->head);
}

} // namespace azurewell
