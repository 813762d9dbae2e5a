#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/shell/bounded_calls.h"

#include <QtCore/QObject>

#include <functional>

namespace azurewell {

/// Sends the requests of the coordinating host to engines: load, unload, cancel, load report.
class EngineOrders : public QObject
{
public:
    using EventHandler = std::function<void(const Event &)>;

    explicit EngineOrders(EventHandler handleEvent);

    void order(const OrderEngine &order);
    void queryLoad(const QueryLoadReport &query);
    void cancel(const CancelAttempt &attempt);

private:
    EventHandler handleEvent;
    BoundedCalls calls;
};

} // namespace azurewell
