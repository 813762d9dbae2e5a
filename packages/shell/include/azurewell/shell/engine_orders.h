#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/shell/upstream_pool.h"

#include <QtCore/QObject>

#include <functional>

namespace azurewell {

/// Carries the keeper's orders and questions to engines: load, unload, cancel, load report.
class EngineOrders : public QObject
{
public:
    using Answered = std::function<void(const Event &)>;

    explicit EngineOrders(Answered answered);

    void order(const OrderEngine &order);
    void askLoad(const AskLoad &question);
    void cancel(const CancelAttempt &attempt);

private:
    Answered answered;
    UpstreamPool pool;
};

} // namespace azurewell
