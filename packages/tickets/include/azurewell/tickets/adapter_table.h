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

/// All adapters in force, by `adapter@version`. 190,000 of them have to fit beside everything else
/// into 32 MB on every host; a map of records with a string each takes four times this table's
/// memory (benchmark/state_size.cpp). Names stand one after the other in one text, customers and
/// base models are held once, and the index is a hash table of row numbers.
class AdapterTable
{
public:
    std::optional<AdapterView> find(const AdapterRef &ref) const;
    bool contains(const AdapterRef &ref) const;
    std::size_t size() const;
    std::size_t baseModelCount() const;
    /// The adapter in \a row, in no particular order; rows are numbered from 0 to size() - 1.
    AdapterView at(std::size_t row) const;

    /// Adds \a adapter or replaces the one of that name.
    void set(const Adapter &adapter);
    void erase(const AdapterRef &ref);

private:
    struct Row
    {
        std::uint32_t name = 0; ///< Where the name begins in `names`, after a byte of length.
        std::uint32_t customer = 0;
        std::uint64_t ticket : 48 = 0;
        std::uint64_t base : 16 = 0;
    };

    std::string_view nameOf(const Row &row) const;
    std::size_t homeOf(std::string_view name) const;
    std::size_t slotOf(std::string_view name) const;
    std::size_t slotOfRow(std::uint32_t row) const;
    void freeSlot(std::size_t slot);
    void growIndex();
    void dropGarbage();

    std::vector<char> names; ///< A string would double its room whatever was asked for.
    std::size_t garbage = 0; ///< Bytes of `names` that belong to removed adapters.
    std::vector<Row> rows;
    std::vector<std::uint32_t> index; ///< Row number plus one; 0 is free. A power of two.
    std::vector<CustomerId> customers;
    std::unordered_map<CustomerId, std::uint32_t> customerNumbers;
    std::vector<std::string> baseModels;
};

/// The longest name of an adapter with its version; its length is held in one byte.
inline constexpr std::size_t longestAdapterRef = 200;
/// Base models over all tickets; their number is held in two bytes.
inline constexpr std::size_t mostBaseModels = 60'000;

} // namespace azurewell
