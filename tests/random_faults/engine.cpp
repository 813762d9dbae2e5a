#include "engine.h"

#include <algorithm>

namespace azurewell::faults {

bool Engine::isServing(const AdapterRef &adapter) const
{
    return std::any_of(this->sequences.begin(), this->sequences.end(),
                       [&](const Sequence &sequence) { return sequence.adapter == adapter; });
}

bool Engine::refusesFencing(FencingNumber number)
{
    if (this->checksFencing && number < this->highestFencing)
        return true;
    this->highestFencing = std::max(this->highestFencing, number);
    return false;
}

void Engine::restart()
{
    this->loaded.clear();
    this->sequences.clear();
    this->loading = 0;
    ++this->start;
}

LoadReported Engine::report() const
{
    LoadReported report;
    report.engine = this->id;
    report.running = static_cast<std::uint32_t>(this->sequences.size());
    report.loaded.assign(this->loaded.begin(), this->loaded.end());
    report.engineStart = this->start;
    return report;
}

} // namespace azurewell::faults
