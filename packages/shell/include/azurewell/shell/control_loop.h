#pragma once

#include "azurewell/host/host.h"
#include "azurewell/shell/engine_orders.h"
#include "azurewell/shell/metrics.h"
#include "azurewell/shell/operations_server.h"
#include "azurewell/shell/peer_links.h"
#include "azurewell/shell/platform_watcher.h"
#include "azurewell/shell/traffic_worker.h"

#include <QtCore/QObject>
#include <QtCore/QThread>
#include <QtCore/QTimer>

#include <functional>
#include <memory>
#include <vector>

namespace azurewell {

/// Event loop of the control thread: owns the host's state, passes events to it and executes the
/// resulting actions. It exchanges only queued, typed messages with the traffic threads.
class ControlLoop : public QObject
{
public:
    /// \a charts: the state charts of the host.
    ControlLoop(Settings settings, KnownCharts charts, std::function<void()> onStopped);
    ~ControlLoop() override;

    /// Opens all ports and starts the traffic threads. Returns the callers' port of the last
    /// traffic thread. Errors: SettingsInvalid.
    Result<std::uint16_t> start();
    /// Begins a planned stop; `onStopped` is called once the last request has ended.
    void stop();

private:
    struct Worker
    {
        std::unique_ptr<QThread> thread;
        TrafficWorker *traffic = nullptr; ///< Lives in `thread`, deleted by it.
    };

    void handleEvent(const Event &event);
    void executeActions(const std::vector<Action> &actions);
    void handleReport(std::uint32_t worker, const TrafficReport &report);
    void sendToWorker(const RequestId &request, const TrafficOrder &order);
    void finishWorkers();
    void workerFinished();
    Result<std::uint16_t> startWorker(std::uint32_t number);
    std::optional<OperationsAnswer> handleOperationsRequest(const QString &path) const;
    QByteArray showText() const;

    struct ActionExecutor;

    Settings settings;
    HostState state;
    Metrics metrics;
    std::function<void()> onStopped;
    PeerLinks peers;
    PlatformWatcher platform; ///< Reads the configuration service.
    EngineOrders engines;
    OperationsServer operations;
    QTimer tickTimer;
    std::vector<Worker> workers;
    std::size_t unfinishedWorkers = 0;
    std::unordered_map<RequestId, std::uint32_t> workerByRequest;
};

} // namespace azurewell
