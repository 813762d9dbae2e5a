#include "azurewell/tickets/snapshot.h"
#include "commands.h"

#include <fmt/format.h>
#include <QtCore/QDir>
#include <QtCore/QFile>

#include <memory>

namespace azurewell::ctl {

namespace {

std::optional<std::string> readFile(const std::string &path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        fmt::print(stderr, "{}: {}\n", path, file.errorString().toStdString());
        return std::nullopt;
    }
    return file.readAll().toStdString();
}

bool writeFile(const QDir &directory, const QString &name, const std::string &text)
{
    const QString path = directory.filePath(name);
    QFile file(path);
    const bool isWritten = directory.mkpath(QFileInfo(name).path())
            && file.open(QIODevice::WriteOnly)
            && file.write(QByteArray::fromStdString(text)) == static_cast<qint64>(text.size());
    if (!isWritten)
        fmt::print(stderr, "{}: {}\n", path.toStdString(), file.errorString().toStdString());
    return isWritten;
}

/// Returns the state of an earlier snapshot; the empty state if \a directory is empty.
std::optional<StateInForce> readBase(const std::string &directory)
{
    if (directory.empty())
        return StateInForce{};
    const std::optional<std::string> text = readFile(directory + "/tickets/snapshot");
    if (!text) {
        fmt::print(stderr, "{}: has no readable snapshot\n", directory);
        return std::nullopt;
    }
    const Result<SnapshotIndex> index = parseSnapshotIndex(*text);
    if (!index) {
        fmt::print(stderr, "{}: {}\n", directory, index.error().detail);
        return std::nullopt;
    }
    SnapshotAssembly assembly;
    const std::string segments = directory + "/tickets/segments/"
            + std::to_string(index.value().ticket.value) + "/";
    for (std::uint32_t number = 0; number < index.value().segments; ++number) {
        const std::string path = segments + std::to_string(number);
        const std::optional<std::string> segmentText = readFile(path);
        const Result<SnapshotSegment> segment = segmentText ? parseSegment(*segmentText) : Error{};
        if (!segment) {
            fmt::print(stderr, "{}: {}\n", path, segment.error().detail);
            return std::nullopt;
        }
        if (addSegment(assembly, segment.value()))
            return std::move(assembly.state);
    }
    fmt::print(stderr, "{}: the snapshot is incomplete\n", directory);
    return std::nullopt;
}

std::optional<Ticket> readTicketFile(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text)
        return std::nullopt;
    const Result<Ticket> ticket = parseTicket(*text);
    if (!ticket) {
        fmt::print(stderr, "{}: {}\n", path, ticket.error().detail);
        return std::nullopt;
    }
    return ticket.value();
}

/// Returns the state after applying the tickets \a paths, in order, to the snapshot in \a base.
std::optional<StateInForce> stateAfter(const std::string &base,
                                       const std::vector<std::string> &paths)
{
    std::optional<StateInForce> state = readBase(base);
    for (const std::string &path : paths) {
        const std::optional<Ticket> ticket = state ? readTicketFile(path) : std::nullopt;
        if (!ticket)
            return std::nullopt;
        const Result<TicketNumber> applied = applyTicket(*state, *ticket);
        if (!applied) {
            fmt::print(stderr, "{}: {}\n", path, applied.error().detail);
            return std::nullopt;
        }
    }
    return state;
}

int writeSnapshotFiles(const std::string &base, const std::vector<std::string> &paths,
                       const std::string &out)
{
    const std::optional<StateInForce> state = stateAfter(base, paths);
    if (!state)
        return 1;
    const QDir directory(QString::fromStdString(out));
    const std::uint32_t count = segmentCount(*state);
    for (std::uint32_t number = 0; number < count; ++number) {
        const QString name = QString("tickets/segments/%1/%2").arg(state->ticket.value).arg(number);
        if (!writeFile(directory, name, writeSegment(*state, number)))
            return 2;
    }
    // Written last, so that all files the index refers to exist.
    if (!writeFile(directory, "tickets/snapshot", writeSnapshotIndex(*state)))
        return 2;
    fmt::print("snapshot of ticket {}: {} segments in {}; publish the segments first, then the "
               "index tickets/snapshot\n",
               state->ticket.value, count, out);
    return 0;
}

template <typename Id, typename Record>
void printSet(const char *kind, const Id &id, const Record *before, const std::string &now)
{
    if (before)
        fmt::print("~ {} {}: {} (was set by ticket {})\n", kind, id.value, now,
                   before->ticket.value);
    else
        fmt::print("+ {} {}: {}\n", kind, id.value, now);
}

template <typename Id, typename Record>
const Record *recordIn(const std::unordered_map<Id, Record> &records, const Id &id)
{
    const auto found = records.find(id);
    return found == records.end() ? nullptr : &found->second;
}

void printSets(const StateInForce &state, const Ticket &ticket)
{
    for (const Customer &customer : ticket.customers)
        printSet("customer", customer.id, recordIn(state.customers, customer.id),
                 fmt::format("rate {}, burst {}, weight {}", customer.rate.perSecond,
                             customer.burst.count, customer.weight));
    for (const Key &key : ticket.keys)
        printSet("key", key.hash, recordIn(state.keys, key.hash),
                 fmt::format("{} for {}", key.state == KeyState::Issued ? "issued" : "withdrawn",
                             key.customer.value));
    for (const Adapter &adapter : ticket.adapters) {
        const std::optional<AdapterView> before = state.adapters.find(adapter.ref);
        printSet("adapter", adapter.ref, before ? &*before : nullptr,
                 fmt::format("of {} on {}", adapter.customer.value, adapter.baseModel));
    }
    for (const Upstream &upstream : ticket.upstreams)
        printSet("upstream", upstream.id, recordIn(state.upstreams, upstream.id),
                 fmt::format("{} in {}{}", upstream.address, upstream.zone.value,
                             upstream.isLeaving ? ", leaving" : ""));
    for (const Service &service : ticket.services)
        printSet("service", service.id, recordIn(state.services, service.id),
                 service.isIdempotent ? "may be repeated" : "must not be repeated");
    for (const Zone &zone : ticket.zones)
        printSet("zone", zone.id, recordIn(state.zones, zone.id),
                 fmt::format("{} seats", zone.seats));
    if (ticket.fleet)
        fmt::print("~ fleet: longest without news {} s, was {} s\n",
                   toSeconds(ticket.fleet->maxUpdateAge), toSeconds(state.fleet.maxUpdateAge));
}

void printRemovals(const Ticket &ticket)
{
    for (const AdapterRef &ref : ticket.removedAdapters)
        fmt::print("- adapter {}\n", ref.value);
    for (const CustomerId &id : ticket.removedCustomers)
        fmt::print("- customer {}\n", id.value);
    for (const UpstreamId &id : ticket.removedUpstreams)
        fmt::print("- upstream {}\n", id.value);
}

int diffTicket(const std::string &base, const std::vector<std::string> &before,
               const std::string &path)
{
    std::optional<StateInForce> state = stateAfter(base, before);
    const std::optional<Ticket> ticket = state ? readTicketFile(path) : std::nullopt;
    if (!ticket)
        return 1;
    printSets(*state, *ticket);
    printRemovals(*ticket);
    const Result<TicketNumber> applied = applyTicket(*state, *ticket);
    if (!applied)
        fmt::print("hosts would reject this ticket: {}\n", applied.error().detail);
    return applied ? 0 : 1;
}

int printHistory(const std::string &base, const std::vector<std::string> &paths)
{
    const std::optional<StateInForce> state = stateAfter(base, paths);
    if (!state)
        return 1;
    for (const TicketSummary &entry : state->history)
        fmt::print("{:>8}  {:<20} {}\n", entry.number.value, entry.by, entry.why);
    return 0;
}

struct StateOptions
{
    std::string base;
    std::vector<std::string> files;
    std::string ticket;
    std::string out = ".";
};

void addBase(CLI::App *command, const std::shared_ptr<StateOptions> &options)
{
    command->add_option("--base", options->base,
                        "Directory of an earlier snapshot; without it the first FILE is ticket 1");
}

} // namespace

void addTicketStateCommands(CLI::App &ticket, int &exitCode)
{
    const std::shared_ptr<StateOptions> options = std::make_shared<StateOptions>();
    CLI::App *snapshot = ticket.add_subcommand(
            "snapshot", "Write what is in force after some tickets as files to publish");
    addBase(snapshot, options);
    snapshot->add_option("FILE", options->files, "Tickets in their order");
    snapshot->add_option("--out", options->out, "Directory; the files are named as the keys");
    snapshot->callback([options, &exitCode] {
        exitCode = writeSnapshotFiles(options->base, options->files, options->out);
    });
    CLI::App *diff = ticket.add_subcommand("diff", "Show what a ticket would change");
    addBase(diff, options);
    diff->add_option("TICKET", options->ticket, "The ticket to compare")->required();
    diff->add_option("--after", options->files, "Tickets in force before it, in their order");
    diff->callback([options, &exitCode] {
        exitCode = diffTicket(options->base, options->files, options->ticket);
    });
    CLI::App *history = ticket.add_subcommand("history", "List tickets: number, by whom, why");
    addBase(history, options);
    history->add_option("FILE", options->files, "Tickets in their order");
    history->callback(
            [options, &exitCode] { exitCode = printHistory(options->base, options->files); });
}

} // namespace azurewell::ctl
