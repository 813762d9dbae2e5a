#include "commands.h"

#include "azurewell/logging/request_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

namespace azurewell::ctl {

namespace {

/// Number of upstreams and adapters listed, those with most lost requests first.
constexpr std::size_t maxListed = 8;

struct ExplainSettings
{
    std::vector<std::string> files;
    std::string request;
    std::string digest;
    LatencyTargets expected;
};

using Counts = std::vector<std::pair<std::string, std::uint64_t>>;

Counts largestFirst(const RequestSummary::Counts &counts)
{
    Counts sorted(counts.begin(), counts.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.second > b.second; });
    return sorted;
}

void printCounts(const std::string &title, const RequestSummary::Counts &counts, std::size_t limit)
{
    fmt::print("{}\n", title);
    const Counts sorted = largestFirst(counts);
    for (std::size_t place = 0; place < std::min(limit, sorted.size()); ++place)
        fmt::print("  {:>8}  {}\n", sorted[place].second, sorted[place].first);
}

void printSummary(const RequestSummary &summary)
{
    for (const auto &[path, counts] : summary.byPath)
        printCounts(path.empty() ? "(no path)" : path, counts, counts.size());
    printCounts("lost, by upstream", summary.failuresByUpstream, maxListed);
    printCounts("lost, by adapter", summary.failuresByAdapter, maxListed);
    if (summary.leftBeforeBegin > 0)
        fmt::print("{:>8}  left_not_begun\n", summary.leftBeforeBegin);
    if (summary.unparsedLines > 0)
        fmt::print(stderr, "{} lines could not be parsed as log lines\n", summary.unparsedLines);
}

bool isSingleRequest(const ExplainSettings &settings)
{
    return !settings.request.empty() || !settings.digest.empty();
}

/// Whether \a line is of a request whose prompt has the part with \a digest.
bool hasPart(const LogLine &line, const std::string &digest)
{
    return fieldOf(line, "part") == digest
            || fieldOf(line, "parts").find(digest) != std::string::npos;
}

bool isSelected(const ExplainSettings &settings, const LogLine &line)
{
    const bool isRequest = settings.request.empty() || fieldOf(line, "request") == settings.request;
    const bool isDigest = settings.digest.empty() || fieldOf(line, "digest") == settings.digest
            || hasPart(line, settings.digest);
    return isRequest && isDigest;
}

/// Reads \a input to its end; prints the lines of a single request if the settings select one.
void readLog(std::istream &input, const ExplainSettings &settings, RequestSummary &summary)
{
    std::string text;
    while (std::getline(input, text)) {
        if (!isSingleRequest(settings)) {
            addLine(summary, text, settings.expected);
            continue;
        }
        const std::optional<LogLine> line = readLogLine(text);
        if (line && isSelected(settings, *line))
            fmt::print("{}\n", text);
    }
}

int explain(const ExplainSettings &settings)
{
    RequestSummary summary;
    for (const std::string &name : settings.files) {
        std::ifstream file(name);
        if (!file) {
            fmt::print(stderr, "{}: cannot be read\n", name);
            return 1;
        }
        readLog(file, settings, summary);
    }
    if (!isSingleRequest(settings))
        printSummary(summary);
    return 0;
}

} // namespace

void addExplainCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand(
            "explain", "Count what became of requests, by reason, from the logs of all hosts");
    const std::shared_ptr<ExplainSettings> settings = std::make_shared<ExplainSettings>();
    command->add_option("FILE", settings->files, "Logs of hosts")->required();
    command->add_option("--request", settings->request,
                        "Only print the lines of the request with this id");
    command->add_option("--digest", settings->digest,
                        "Only print the lines of all sends of the request with this digest, or of "
                        "requests whose prompts have the part with this digest");
    command->add_option("--first-ms", settings->expected.firstEventMillis,
                        "A first event after this is late")
            ->check(CLI::PositiveNumber);
    command->add_option("--pause-ms", settings->expected.maxPauseMillis,
                        "A pause between events above this makes an answer late")
            ->check(CLI::PositiveNumber);
    command->callback([settings, &exitCode] { exitCode = explain(*settings); });
}

} // namespace azurewell::ctl
