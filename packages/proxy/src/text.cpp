#include "text.h"

#include <fmt/format.h>

namespace azurewell {

std::string inMillis(Span span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::string inSeconds(Span span)
{
    return fmt::format("{:.3f}", toSeconds(span));
}

std::string refusalBody(ResultCode code, bool isNotRun)
{
    const ResultCodeInfo &info = infoOf(code);
    return fmt::format(R"({{"error":{{"code":{},"type":"{}","message":"{}","run":"{}"}}}})",
                       static_cast<int>(code), info.name, info.message,
                       nameOf(isNotRun ? RunState::NotRun : RunState::Unknown));
}

} // namespace azurewell
