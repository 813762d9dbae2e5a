#include "azurewell/standins/standin_fleet.h"

#include "azurewell/tickets/json_reader.h"
#include "azurewell/tickets/ticket.h"

#include <QtCore/QDir>
#include <QtCore/QFile>
#include <QtCore/QFileInfo>

namespace azurewell::standins {

namespace {

constexpr double maxPort = 65535;

Result<QByteArray> readFile(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
        return Error{ ResultCode::FileUnreadable, path.toStdString() };
    return file.readAll();
}

std::uint16_t portOf(JsonReader &reader)
{
    return static_cast<std::uint16_t>(reader.number("port", 0, maxPort));
}

Result<std::uint16_t> publishFiles(ConfigurationService &platform, JsonReader &settings,
                                   const QDir &directory)
{
    const Result<QByteArray> hosts = readFile(
            directory.filePath(QString::fromStdString(settings.text("hosts"))));
    if (!hosts)
        return hosts.error();
    platform.publish("azurewell/hosts", hosts.value());
    for (const std::string &name : settings.texts("tickets")) {
        const Result<QByteArray> text = readFile(directory.filePath(QString::fromStdString(name)));
        if (!text)
            return text.error();
        const Result<Ticket> ticket = parseTicket(text.value().toStdString());
        if (!ticket)
            return Error{ ticket.error().code, name + ": " + ticket.error().detail };
        platform.publishTicket(ticket.value().number.value, text.value());
    }
    return std::uint16_t{ 0 };
}

} // namespace

Result<StandinFleet> startStandins(const std::string &path)
{
    const QString file = QString::fromStdString(path);
    const Result<QByteArray> text = readFile(file);
    if (!text)
        return text.error();
    const Result<nlohmann::json> json = parseJsonWithComments(text.value().toStdString(),
                                                              ResultCode::SettingsInvalid);
    if (!json)
        return json.error();
    std::string complaint;
    JsonReader reader(json.value(), "", complaint);
    StandinFleet fleet;
    fleet.store = std::make_shared<WeightStore>(reader.number("loads_per_second", 0.01, 1000, 4));
    JsonReader platform = reader.object("platform");
    fleet.platform = std::make_unique<ConfigurationService>();
    bool isListening = fleet.platform->listen(portOf(platform)) != 0;
    for (JsonReader &engine : reader.objects("engines")) {
        EngineOptions options;
        options.batchSlots = static_cast<std::uint32_t>(engine.number("batch_slots", 1, 4096, 8));
        options.adapterSlots = static_cast<std::uint32_t>(
                engine.number("adapter_slots", 1, 4096, 4));
        options.tokenMillis = static_cast<int>(engine.number("token_ms", 1, 10000, 5));
        options.checksFencing = engine.flag("checks_fencing", true);
        fleet.engines.push_back(std::make_unique<Engine>(options, fleet.store));
        isListening = fleet.engines.back()->listen(portOf(engine)) != 0 && isListening;
    }
    for (JsonReader &service : reader.objects("services")) {
        fleet.services.push_back(std::make_unique<PlainService>());
        isListening = fleet.services.back()->listen(portOf(service)) != 0 && isListening;
    }
    if (!complaint.empty())
        return Error{ ResultCode::SettingsInvalid, path + ": " + complaint };
    if (!isListening)
        return Error{ ResultCode::SettingsInvalid, path + ": cannot listen on a port" };
    const Result<std::uint16_t> published = publishFiles(*fleet.platform, platform,
                                                         QFileInfo(file).dir());
    if (!published)
        return published.error();
    return fleet;
}

} // namespace azurewell::standins
