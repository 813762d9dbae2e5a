#include "azurewell/shell/load_report.h"

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

using Json = nlohmann::json;

template <typename Number>
Number countOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_number_unsigned() ? found->get<Number>() : 0;
}

} // namespace

LoadReported parseLoadReport(const UpstreamId &engine, std::string_view text)
{
    LoadReported report;
    report.engine = engine;
    const Json json = Json::parse(text, nullptr, false);
    report.isReachable = json.is_object();
    if (!report.isReachable)
        return report;
    report.running = countOf<std::uint32_t>(json, "running");
    report.queued = countOf<std::uint32_t>(json, "queued");
    report.engineStart = countOf<std::uint64_t>(json, "start");
    const auto adapters = json.find("adapters");
    if (adapters == json.end() || !adapters->is_array())
        return report;
    for (const Json &name : *adapters) {
        if (name.is_string())
            report.loaded.emplace_back(name.get<std::string>());
    }
    return report;
}

} // namespace azurewell
