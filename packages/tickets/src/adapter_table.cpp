#include "azurewell/tickets/adapter_table.h"

#include <algorithm>
#include <functional>

namespace azurewell {

namespace {

constexpr std::size_t minIndexSize = 16;
/// Maximum load factor of the index: linear probing then checks three slots on average.
constexpr std::size_t maxLoadNumerator = 4;
constexpr std::size_t maxLoadDenominator = 5;
/// Capacity grows by an eighth: doubling 8 MB could leave half of it unused.
constexpr std::size_t growthDivisor = 8;

template <typename Container>
void reserveMore(Container &container, std::size_t more)
{
    const std::size_t needed = container.size() + more;
    if (needed > container.capacity())
        container.reserve(
                std::max(needed, container.capacity() + container.capacity() / growthDivisor));
}

/// The index of \a model in \a models, where it is added if new. Base models are few.
std::size_t numberOf(std::vector<std::string> &models, const std::string &model)
{
    const auto found = std::find(models.begin(), models.end(), model);
    if (found != models.end())
        return static_cast<std::size_t>(found - models.begin());
    models.push_back(model);
    return models.size() - 1;
}

} // namespace

std::string_view AdapterTable::nameOf(const Row &row) const
{
    const std::size_t length = static_cast<unsigned char>(this->names[row.name]);
    return std::string_view(this->names.data() + row.name + 1, length);
}

std::size_t AdapterTable::homeSlot(std::string_view name) const
{
    return std::hash<std::string_view>{}(name) & (this->index.size() - 1);
}

/// The slot of the adapter, or the free slot to insert it.
std::size_t AdapterTable::slotOf(std::string_view name) const
{
    std::size_t slot = this->homeSlot(name);
    while (this->index[slot] != 0 && this->nameOf(this->rows[this->index[slot] - 1]) != name)
        slot = (slot + 1) & (this->index.size() - 1);
    return slot;
}

std::size_t AdapterTable::slotOfRow(std::uint32_t row) const
{
    std::size_t slot = this->homeSlot(this->nameOf(this->rows[row]));
    while (this->index[slot] != row + 1)
        slot = (slot + 1) & (this->index.size() - 1);
    return slot;
}

/// Frees \a slot and shifts the following entries back, so that no search stops early at the gap.
void AdapterTable::freeSlot(std::size_t slot)
{
    const std::size_t mask = this->index.size() - 1;
    std::size_t next = (slot + 1) & mask;
    while (this->index[next] != 0) {
        const std::size_t home = this->homeSlot(this->nameOf(this->rows[this->index[next] - 1]));
        const bool mayMove = ((next - home) & mask) >= ((next - slot) & mask);
        if (mayMove) {
            this->index[slot] = this->index[next];
            slot = next;
        }
        next = (next + 1) & mask;
    }
    this->index[slot] = 0;
}

void AdapterTable::growIndex()
{
    const std::size_t wanted = std::max(minIndexSize, this->index.size() * 2);
    this->index.assign(wanted, 0);
    for (std::size_t row = 0; row < this->rows.size(); ++row) {
        const std::size_t slot = this->slotOf(this->nameOf(this->rows[row]));
        this->index[slot] = static_cast<std::uint32_t>(row) + 1;
    }
}

void AdapterTable::compactNames()
{
    std::vector<char> kept;
    kept.reserve(this->names.size() - this->unusedBytes);
    for (Row &row : this->rows) {
        const std::uint32_t name = static_cast<std::uint32_t>(kept.size());
        const std::string_view text = this->nameOf(row);
        kept.push_back(static_cast<char>(text.size()));
        kept.insert(kept.end(), text.begin(), text.end());
        row.name = name;
    }
    this->names = std::move(kept);
    this->unusedBytes = 0;
}

std::size_t AdapterTable::size() const
{
    return this->rows.size();
}

std::size_t AdapterTable::baseModelCount() const
{
    return this->baseModels.size();
}

AdapterView AdapterTable::at(std::size_t row) const
{
    const Row &found = this->rows[row];
    return AdapterView{ this->nameOf(found), &this->customers[found.customer],
                        &this->baseModels[found.base], TicketNumber{ found.ticket } };
}

std::optional<AdapterView> AdapterTable::find(const AdapterRef &ref) const
{
    if (this->index.empty())
        return std::nullopt;
    const std::uint32_t entry = this->index[this->slotOf(ref.value)];
    if (entry == 0)
        return std::nullopt;
    return this->at(entry - 1);
}

bool AdapterTable::contains(const AdapterRef &ref) const
{
    return this->find(ref).has_value();
}

void AdapterTable::set(const Adapter &adapter)
{
    if ((this->rows.size() + 1) * maxLoadDenominator > this->index.size() * maxLoadNumerator)
        this->growIndex();
    const std::size_t slot = this->slotOf(adapter.ref.value);
    if (this->index[slot] == 0) {
        Row row;
        row.name = static_cast<std::uint32_t>(this->names.size());
        reserveMore(this->names, adapter.ref.value.size() + 1);
        this->names.push_back(static_cast<char>(adapter.ref.value.size()));
        this->names.insert(this->names.end(), adapter.ref.value.begin(), adapter.ref.value.end());
        reserveMore(this->rows, 1);
        this->rows.push_back(row);
        this->index[slot] = static_cast<std::uint32_t>(this->rows.size());
    }
    Row &row = this->rows[this->index[slot] - 1];
    const std::uint32_t next = static_cast<std::uint32_t>(this->customers.size());
    const auto [customer, isNew] = this->customerNumbers.try_emplace(adapter.customer, next);
    if (isNew)
        this->customers.push_back(adapter.customer);
    row.customer = customer->second;
    row.base = numberOf(this->baseModels, adapter.baseModel) & 0xffff;
    row.ticket = adapter.ticket.value & ((1ULL << 48) - 1);
}

void AdapterTable::erase(const AdapterRef &ref)
{
    if (!this->contains(ref))
        return;
    const std::size_t slot = this->slotOf(ref.value);
    const std::uint32_t row = this->index[slot] - 1;
    this->freeSlot(slot);
    this->unusedBytes += ref.value.size() + 1;
    const std::uint32_t last = static_cast<std::uint32_t>(this->rows.size()) - 1;
    if (row != last) { // the last row fills the gap
        this->index[this->slotOfRow(last)] = row + 1;
        this->rows[row] = this->rows[last];
    }
    this->rows.pop_back();
    if (this->unusedBytes > this->names.size() / 4)
        this->compactNames();
}

} // namespace azurewell
