#include "commands.h"

#include <fmt/format.h>
#include <QtCore/QEventLoop>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QNetworkReply>

#include <memory>

namespace azurewell::ctl {

namespace {

constexpr int timeoutMillis = 5000;

int show(const std::string &host, const std::string &record)
{
    QNetworkAccessManager access;
    access.setProxy(QNetworkProxy::NoProxy);
    QNetworkRequest request(QUrl("http://" + QString::fromStdString(host + "/show" + record)));
    request.setTransferTimeout(timeoutMillis);
    QNetworkReply *reply = access.get(request);
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    if (reply->error() != QNetworkReply::NoError) {
        fmt::print(stderr, "{}: {}\n", host, reply->errorString().toStdString());
        return 1;
    }
    fmt::print("{}", reply->readAll().toStdString());
    return 0;
}

} // namespace

void addShowCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand(
            "show", "Show what is in force on a host, by which ticket and why");
    const std::shared_ptr<std::string> host = std::make_shared<std::string>("127.0.0.1:9090");
    const std::shared_ptr<std::string> record = std::make_shared<std::string>();
    command->add_option("--host", *host, "The host's operations address (IP:port)");
    command->add_option("RECORD", *record,
                        "Only customer/NAME, key/SHA256 or adapter/NAME@VERSION: what is in force, "
                        "by which ticket, by whom and why");
    command->callback([host, record, &exitCode] {
        exitCode = show(*host, record->empty() ? "" : "/" + *record);
    });
}

} // namespace azurewell::ctl
