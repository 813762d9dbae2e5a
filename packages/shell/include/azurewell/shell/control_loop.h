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

/// The control thread: owns the host's state, gives it events and carries its actions out. Traffic
/// threads reach it, and it reaches them, by queued typed messages only.
class ControlLoop : public QObject
{
public:
    ControlLoop(Settings settings, KnownCharts charts, std::function<void()> leave);
    ~ControlLoop() override;

    /// Opens all ports and starts the traffic threads. Errors: SettingsInvalid.
    Result<std::uint16_t> start();
    /// Begins a planned stop; `leave` is called when the last request is done.
    void stop();

private:
    struct Worker
    {
        std::unique_ptr<QThread> thread;
        TrafficWorker *traffic = nullptr; ///< Lives in `thread`, deleted by it.
    };

    void give(const Event &event);
    void carryOut(const std::vector<Action> &actions);
    void report(std::uint32_t worker, const TrafficReport &report);
    void toWorker(const RequestId &request, const TrafficOrder &order);
    void finishWorkers();
    void workerFinished();
    Result<std::uint16_t> startWorker(std::uint32_t number);
    std::optional<OperationsAnswer> answerOperator(const QString &path) const;
    QByteArray showText() const;

    struct Performer;

    Settings settings;
    HostState state;
    Metrics metrics;
    std::function<void()> leave;
    PeerLinks peers;
    PlatformWatcher platform;
    EngineOrders engines;
    OperationsServer operations;
    QTimer tick;
    std::vector<Worker> workers;
    std::size_t unfinishedWorkers = 0;
    std::unordered_map<RequestId, std::uint32_t> workerOf;
};

} // namespace azurewell
