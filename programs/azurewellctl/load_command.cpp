#include "azurewell/http/clock.h"
#include "azurewell/http/message.h"
#include "azurewell/http/upstream_connections.h"
#include "azurewell/shell/settings.h"
#include "commands.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtCore/QTimer>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace azurewell::ctl {

namespace {

constexpr Span requestTimeout = std::chrono::seconds(120);
constexpr std::chrono::milliseconds checkInterval{ 50 };
constexpr Span connectTimeout = std::chrono::seconds(2);
constexpr std::uint32_t compareRounds = 5;

struct LoadOptions
{
    std::string address = "127.0.0.1:8080";
    std::string keyVariable = "AZUREWELL_KEY";
    std::string model;
    std::uint32_t requests = 100;
    std::uint32_t concurrency = 10;
    std::uint32_t maxTokens = 16;
    std::string compareAddress; ///< Engine to send the same requests to directly; or empty.
    bool isJson = false;
};

struct LoadResults
{
    std::vector<double> firstTokenSeconds;
    std::vector<double> totalSeconds;
    std::map<std::string, std::uint32_t> outcomes; ///< By `whole` or the type of refusal.
    std::uint64_t tokens = 0;
    double seconds = 0;
};

/// Sends streaming requests at a fixed concurrency and measures what a caller sees.
class LoadRun : public QObject
{
public:
    LoadRun(const LoadOptions &loadOptions, QByteArray callerKey)
        : options(loadOptions)
        , key(std::move(callerKey))
        , to(parseEndpoint(loadOptions.address).value())
    {
        QObject::connect(&this->timer, &QTimer::timeout, this, [this] { this->endOverdue(); });
        this->timer.start(checkInterval);
    }

    LoadResults run()
    {
        for (std::uint32_t index = 0;
             index < std::min(this->options.concurrency, this->options.requests); ++index)
            this->sendNext();
        if (this->open > 0)
            this->loop.exec();
        return this->results;
    }

private:
    struct OpenRequest
    {
        UpstreamConnections::Exchange exchange = 0;
        Instant startedAt;
        Instant deadline;
        bool hasFirstToken = false;
        QByteArray bytes;
    };

    void sendNext()
    {
        if (this->sent >= this->options.requests)
            return;
        ++this->sent;
        ++this->open;
        const nlohmann::json body{ { "model", this->options.model },
                                   { "stream", true },
                                   { "max_tokens", this->options.maxTokens },
                                   { "prompt", "Draft a route justification." } };
        const std::shared_ptr<OpenRequest> state = std::make_shared<OpenRequest>();
        state->startedAt = monotonicNow();
        state->deadline = state->startedAt + requestTimeout;
        std::vector<HttpHeader> headers{ { "Host", this->options.address },
                                         { "Content-Type", "application/json" },
                                         { "X-Request-Id", "load-" + std::to_string(this->sent) } };
        if (!this->key.isEmpty())
            headers.push_back({ "Authorization", "Bearer " + this->key.toStdString() });
        const std::string request = requestBytes("POST", "/v1/completions", headers, body.dump(),
                                                 true);
        state->exchange = this->connections.start(this->to, request, false,
                                                  this->handlersFor(state), state->startedAt,
                                                  connectTimeout);
        this->openRequests.push_back(state);
    }

    void endOverdue()
    {
        const Instant now = monotonicNow();
        this->connections.closeExpired(now);
        const std::vector<std::shared_ptr<OpenRequest>> states = this->openRequests;
        for (const std::shared_ptr<OpenRequest> &state : states) {
            if (now < state->deadline)
                continue;
            this->connections.cancel(state->exchange);
            this->finished(state);
        }
    }

    ExchangeHandlers handlersFor(const std::shared_ptr<OpenRequest> &state)
    {
        ExchangeHandlers handlers;
        handlers.onHead = [](const ResponseHead &) {
        };
        handlers.onBody = [this, state](const std::string &bytes) {
            this->read(bytes, *state);
        };
        handlers.onComplete = [this, state] {
            this->finished(state);
        };
        handlers.onFailure = [this, state](ExchangeFailure) {
            this->finished(state);
        };
        handlers.matchesRequest = [](const ResponseHead &) {
            return true;
        };
        return handlers;
    }

    void read(const std::string &bytes, OpenRequest &state)
    {
        state.bytes += QByteArray::fromStdString(bytes);
        if (state.hasFirstToken || !state.bytes.startsWith("data: {"))
            return;
        state.hasFirstToken = true;
        this->results.firstTokenSeconds.push_back(toSeconds(monotonicNow() - state.startedAt));
    }

    void finished(const std::shared_ptr<OpenRequest> &state)
    {
        std::erase(this->openRequests, state);
        this->results.totalSeconds.push_back(toSeconds(monotonicNow() - state->startedAt));
        const std::uint64_t tokens = static_cast<std::uint64_t>(state->bytes.count("\"delta\""));
        this->results.tokens += tokens;
        const bool isWhole = state->bytes.contains("data: [DONE]")
                && tokens == this->options.maxTokens;
        ++this->results.outcomes[isWhole ? "whole" : this->refusalIn(state->bytes)];
        --this->open;
        this->sendNext();
        if (this->open == 0)
            this->loop.quit();
    }

    std::string refusalIn(const QByteArray &bytes) const
    {
        const qsizetype at = bytes.indexOf("{\"error\"");
        if (at < 0)
            return "cut_off";
        const QByteArray text = bytes.mid(at).split('\n').first();
        const nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
        const nlohmann::json::json_pointer type("/error/type");
        return json.is_object() && json.contains(type) ? json[type].get<std::string>() : "cut_off";
    }

    LoadOptions options;
    QByteArray key;
    Endpoint to;
    UpstreamConnections connections;
    std::vector<std::shared_ptr<OpenRequest>> openRequests;
    QTimer timer;
    QEventLoop loop;
    LoadResults results;
    std::uint32_t sent = 0;
    std::uint32_t open = 0;
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const std::size_t index = static_cast<std::size_t>(fraction
                                                       * static_cast<double>(values.size() - 1));
    return values[index];
}

nlohmann::json reportOf(const LoadResults &results)
{
    return { { "requests", results.totalSeconds.size() },
             { "seconds", results.seconds },
             { "requests_per_second",
               static_cast<double>(results.totalSeconds.size()) / results.seconds },
             { "tokens_per_second", static_cast<double>(results.tokens) / results.seconds },
             { "outcomes", results.outcomes },
             { "first_token_p50_s", quantile(results.firstTokenSeconds, 0.5) },
             { "first_token_p95_s", quantile(results.firstTokenSeconds, 0.95) },
             { "first_token_p99_s", quantile(results.firstTokenSeconds, 0.99) },
             { "whole_p50_s", quantile(results.totalSeconds, 0.5) },
             { "whole_p99_s", quantile(results.totalSeconds, 0.99) } };
}

void print(const nlohmann::json &report, bool isJson)
{
    if (isJson) {
        fmt::print("{}\n", report.dump());
        return;
    }
    for (const auto &item : report.items())
        fmt::print("{:<26} {}\n", item.key(), item.value().dump());
}

LoadResults runOnce(const LoadOptions &options)
{
    LoadRun run(options, qgetenv(options.keyVariable.c_str()));
    const Instant start = monotonicNow();
    LoadResults results = run.run();
    results.seconds = toSeconds(monotonicNow() - start);
    return results;
}

void add(LoadResults &sum, const LoadResults &more)
{
    sum.firstTokenSeconds.insert(sum.firstTokenSeconds.end(), more.firstTokenSeconds.begin(),
                                 more.firstTokenSeconds.end());
    sum.totalSeconds.insert(sum.totalSeconds.end(), more.totalSeconds.begin(),
                            more.totalSeconds.end());
    for (const auto &[outcome, count] : more.outcomes)
        sum.outcomes[outcome] += count;
    sum.tokens += more.tokens;
    sum.seconds += more.seconds;
}

bool areAllComplete(const LoadResults &results)
{
    return results.outcomes.size() == 1 && results.outcomes.contains("whole");
}

/// Alternates direct and proxied rounds, so that other load on the machine affects both equally.
int compare(LoadOptions options)
{
    LoadResults proxied;
    LoadResults direct;
    LoadOptions without = options;
    without.address = options.compareAddress;
    without.keyVariable.clear(); // an engine gets no key
    options.requests = without.requests = std::max(1U, options.requests / compareRounds);
    runOnce(options); // warm-up: loads the adapter
    for (std::uint32_t round = 0; round < compareRounds; ++round) {
        add(direct, runOnce(without));
        add(proxied, runOnce(options));
    }
    const auto added = [&](double fraction) {
        return quantile(proxied.firstTokenSeconds, fraction)
                - quantile(direct.firstTokenSeconds, fraction);
    };
    print({ { "direct", reportOf(direct) },
            { "through", reportOf(proxied) },
            { "added_first_token_p50_s", added(0.5) },
            { "added_first_token_p99_s", added(0.99) } },
          options.isJson);
    return areAllComplete(direct) && areAllComplete(proxied) ? 0 : 1;
}

int load(const LoadOptions &options)
{
    if (!options.compareAddress.empty())
        return compare(options);
    const LoadResults results = runOnce(options);
    print(reportOf(results), options.isJson);
    return areAllComplete(results) ? 0 : 1;
}

} // namespace

void addLoadCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("load",
                                           "Send streamed requests and report what callers see");
    const std::shared_ptr<LoadOptions> options = std::make_shared<LoadOptions>();
    const auto isEndpoint = [](const std::string &text) {
        const Result<Endpoint> endpoint = parseEndpoint(text);
        return endpoint ? std::string() : endpoint.error().detail;
    };
    command->add_option("--address", options->address, "Where to send (IP:port)")
            ->check(isEndpoint);
    command->add_option("--key-variable", options->keyVariable,
                        "Environment variable that holds the key");
    command->add_option("--model", options->model, "adapter@version")->required();
    command->add_option("--requests", options->requests, "How many, at most 1000000")
            ->check(CLI::Range(1, 1000000));
    command->add_option("--concurrency", options->concurrency, "How many at once, at most 2000")
            ->check(CLI::Range(1, 2000));
    command->add_option("--max-tokens", options->maxTokens, "Tokens of each answer");
    command->add_option(
                   "--compare", options->compareAddress,
                   "An engine: send the same to it directly, in turns, and report what the host "
                   "adds")
            ->check(isEndpoint);
    command->add_flag("--json", options->isJson, "Report as one line of JSON");
    command->callback([options, &exitCode] { exitCode = load(*options); });
}

} // namespace azurewell::ctl
