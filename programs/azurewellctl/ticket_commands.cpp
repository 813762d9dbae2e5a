#include "azurewell/tickets/ticket.h"
#include "commands.h"

#include <fmt/format.h>
#include <QtCore/QCryptographicHash>
#include <QtCore/QFile>

#include <iostream>
#include <memory>

namespace azurewell::ctl {

namespace {

int checkTicket(const std::string &path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        fmt::print(stderr, "{}: {}\n", path, file.errorString().toStdString());
        return 2;
    }
    const Result<Ticket> ticket = parseTicket(file.readAll().toStdString());
    if (!ticket) {
        fmt::print(stderr, "{}: {}\n", path, ticket.error().detail);
        return 1;
    }
    const Ticket &read = ticket.value();
    fmt::print("{}: ticket {} by {}: {}\n", path, read.number.value, read.by, read.why);
    fmt::print("sets {} customers, {} keys, {} adapters, {} upstreams, {} services, {} zones\n",
               read.customers.size(), read.keys.size(), read.adapters.size(), read.upstreams.size(),
               read.services.size(), read.zones.size());
    return 0;
}

/// Prints the hash of a key read from standard input: a key on the command line would appear in the
/// process list and in the shell's history.
int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        fmt::print(stderr, "no key on standard input\n");
        return 2;
    }
    const QByteArray hash = QCryptographicHash::hash(QByteArray::fromStdString(key),
                                                     QCryptographicHash::Sha256);
    fmt::print("{}\n", hash.toHex().toStdString());
    return 0;
}

} // namespace

void addTicketCommands(CLI::App &app, int &exitCode)
{
    CLI::App *ticket = app.add_subcommand("ticket", "Work with change tickets");
    ticket->require_subcommand(1);
    CLI::App *check = ticket->add_subcommand("check", "Check a ticket file");
    const std::shared_ptr<std::string> path = std::make_shared<std::string>();
    check->add_option("FILE", *path, "Ticket (JSON with comments)")->required();
    check->callback([path, &exitCode] { exitCode = checkTicket(*path); });
    CLI::App *hash = ticket->add_subcommand(
            "hash-key", "Print the hash of the key on standard input, for a ticket");
    hash->callback([&exitCode] { exitCode = hashKey(); });
    addTicketStateCommands(*ticket, exitCode);
}

} // namespace azurewell::ctl
