#pragma once

#include "azurewell/tickets/records.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// One adapter of an AdapterTable; valid until the table is changed.
struct AdapterView
{
    std::string_view ref;
    const CustomerId *customer = nullptr;
    const std::string *baseModel = nullptr;
    TicketNumber ticket;
};

/// All adapters in force, by `adapter@version`. The whole state of a host with 190,000 adapters
/// must fit into 32 MB; a map of records with a string each takes four times this table's memory
/// (benchmark/state_size.cpp). Names are stored in one contiguous buffer, customers and base models
/// are stored once, and the index is an open-addressing hash table of row numbers.
class AdapterTable
{
public:
    std::optional<AdapterView> find(const AdapterRef &ref) const;
    bool contains(const AdapterRef &ref) const;
    std::size_t size() const;
    std::size_t baseModelCount() const;
    /// The adapter in \a row, from 0 to size() - 1, in no particular order.
    AdapterView at(std::size_t row) const;

    /// Adds \a adapter, or replaces the one with the same name.
    void set(const Adapter &adapter);
    void erase(const AdapterRef &ref);

private:
    struct Row
    {
        std::uint32_t name = 0; ///< Offset in `names` of the length byte before the name.
        std::uint32_t customer = 0;
        std::uint64_t ticket : 48 = 0;
        std::uint64_t base : 16 = 0;
    };

    std::string_view nameOf(const Row &row) const;
    std::size_t homeSlot(std::string_view name) const;
    std::size_t slotOf(std::string_view name) const;
    std::size_t slotOfRow(std::uint32_t row) const;
    void freeSlot(std::size_t slot);
    void growIndex();
    void compactNames();

    std::vector<char> names;     ///< A std::string would double its capacity on growth.
    std::size_t unusedBytes = 0; ///< Bytes of `names` used by removed adapters.
    std::vector<Row> rows;
    std::vector<std::uint32_t>
            index; ///< Row number plus one, 0 if free; the size is a power of two.
    std::vector<CustomerId> customers;
    std::unordered_map<CustomerId, std::uint32_t> customerNumbers;
    std::vector<std::string> baseModels;
};

/// Maximum length of `adapter@version`; the length is stored in one byte.
inline constexpr std::size_t maxAdapterRefLength = 200;
/// Maximum number of base models over all tickets; their index is stored in two bytes.
inline constexpr std::size_t maxBaseModels = 60'000;

} // namespace azurewell
