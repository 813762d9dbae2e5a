#include "azurewell/tickets/snapshot.h"

#include "record_reader.h"

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

using nlohmann::json;

json toJson(const Customer &customer)
{
    json services = json::array();
    for (const ServiceId &service : customer.services)
        services.push_back(service.value);
    return json{ { "id", customer.id.value },         { "rate", customer.rate.perSecond },
                 { "burst", customer.burst.count },   { "weight", customer.weight },
                 { "services", std::move(services) }, { "ticket", customer.ticket.value } };
}

json toJson(const Key &key)
{
    return json{ { "sha256", key.hash.value },
                 { "customer", key.customer.value },
                 { "state", key.state == KeyState::Withdrawn ? "withdrawn" : "issued" },
                 { "ticket", key.ticket.value } };
}

json toJson(const AdapterView &adapter)
{
    return json{ { "adapter", adapter.ref },
                 { "customer", adapter.customer->value },
                 { "base", *adapter.baseModel },
                 { "ticket", adapter.ticket.value } };
}

json toJson(const Upstream &upstream)
{
    json out{ { "id", upstream.id.value },
              { "zone", upstream.zone.value },
              { "address", upstream.address },
              { "batch_slots", upstream.batchSlots },
              { "checks_fencing", upstream.checksFencing },
              { "leaving", upstream.isLeaving },
              { "ticket", upstream.ticket.value } };
    const bool isEngine = upstream.kind == UpstreamKind::Engine;
    out["kind"] = isEngine ? "engine" : "service";
    if (isEngine) {
        out["base"] = upstream.baseModel;
        out["adapter_slots"] = upstream.adapterSlots;
    } else {
        out["service"] = upstream.service.value;
    }
    return out;
}

json toJson(const Service &service)
{
    return json{ { "id", service.id.value },
                 { "idempotent", service.isIdempotent },
                 { "ticket", service.ticket.value } };
}

json toJson(const Zone &zone)
{
    return json{ { "id", zone.id.value },
                 { "seats", zone.seats },
                 { "ticket", zone.ticket.value } };
}

/// Collects the records of one segment from all records, in a fixed order of kinds.
struct SegmentWriter
{
    std::size_t begin = 0;
    std::size_t end = 0;
    std::size_t offset = 0; ///< Number of records of the preceding kinds.
    json sets = json::object();

    template <typename Id, typename Record>
    void add(const char *kind, const std::unordered_map<Id, Record> &records)
    {
        const bool isElsewhere = this->offset + records.size() <= this->begin
                || this->offset >= this->end;
        if (!isElsewhere) {
            json list = json::array();
            std::size_t position = this->offset;
            for (const auto &[id, record] : records) {
                if (position >= this->begin && position < this->end)
                    list.push_back(toJson(record));
                ++position;
            }
            this->sets[kind] = std::move(list);
        }
        this->offset += records.size();
    }

    void add(const AdapterTable &adapters)
    {
        json list = json::array();
        const std::size_t first = std::max(this->begin, this->offset);
        const std::size_t last = std::min(this->end, this->offset + adapters.size());
        for (std::size_t position = first; position < last; ++position)
            list.push_back(toJson(adapters.at(position - this->offset)));
        this->sets["adapters"] = std::move(list);
    }
};

std::size_t recordCount(const StateInForce &state)
{
    return state.zones.size() + state.customers.size() + state.services.size()
            + state.upstreams.size() + state.keys.size() + state.adapters.size();
}

json historyOf(const StateInForce &state)
{
    json history = json::array();
    for (const TicketSummary &entry : state.history)
        history.push_back(
                { { "ticket", entry.number.value }, { "by", entry.by }, { "why", entry.why } });
    return history;
}

void addRecords(StateInForce &state, const SnapshotSegment &segment)
{
    for (const Zone &zone : segment.records.zones)
        state.zones[zone.id] = zone;
    for (const Customer &customer : segment.records.customers)
        state.customers[customer.id] = customer;
    for (const Service &service : segment.records.services)
        state.services[service.id] = service;
    for (const Upstream &upstream : segment.records.upstreams)
        state.upstreams[upstream.id] = upstream;
    for (const Key &key : segment.records.keys)
        state.keys[key.hash] = key;
    for (const Adapter &adapter : segment.records.adapters)
        state.adapters.set(adapter);
    if (segment.records.fleet)
        state.fleet = *segment.records.fleet;
    state.history.insert(state.history.end(), segment.history.begin(), segment.history.end());
}

} // namespace

std::uint32_t segmentCount(const StateInForce &state)
{
    const std::size_t full = (recordCount(state) + recordsPerSegment - 1) / recordsPerSegment;
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, full));
}

std::string writeSegment(const StateInForce &state, std::uint32_t number)
{
    SegmentWriter writer;
    writer.begin = number * recordsPerSegment;
    writer.end = writer.begin + recordsPerSegment;
    writer.add("zones", state.zones);
    writer.add("customers", state.customers);
    writer.add("services", state.services);
    writer.add("upstreams", state.upstreams);
    writer.add("keys", state.keys);
    writer.add(state.adapters);
    json segment{ { "snapshot", state.ticket.value },
                  { "segment", number },
                  { "segments", segmentCount(state) },
                  { "set", std::move(writer.sets) } };
    if (number == 0) {
        segment["history"] = historyOf(state);
        segment["set"]["fleet"] = { { "longest_without_news", toSeconds(state.fleet.maxUpdateAge) },
                                    { "ticket", state.fleet.ticket.value } };
    }
    return segment.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<SnapshotSegment> parseSegment(std::string_view text)
{
    const Result<json> parsed = parseJsonWithComments(text, ResultCode::TicketInvalid);
    if (!parsed)
        return parsed.error();
    std::string firstError;
    JsonReader reader(parsed.value(), "", firstError);
    reader.allowOnly({ "snapshot", "segment", "segments", "set", "history" });
    SnapshotSegment segment;
    segment.ticket = TicketNumber{ static_cast<std::uint64_t>(
            reader.number("snapshot", 1, maxTicketNumber)) };
    segment.count = static_cast<std::uint32_t>(reader.number("segments", 1, maxSegments));
    segment.number = static_cast<std::uint32_t>(reader.number("segment", 0, segment.count - 1));
    segment.records.number = segment.ticket;
    JsonReader sets = reader.object("set");
    readSets(sets, RecordSource{ segment.ticket, true }, segment.records);
    for (JsonReader &entry : reader.objects("history"))
        segment.history.push_back(
                TicketSummary{ TicketNumber{ static_cast<std::uint64_t>(
                                       entry.number("ticket", 1, maxTicketNumber)) },
                               entry.text("by"), entry.text("why") });
    if (!firstError.empty())
        return Error{ ResultCode::TicketInvalid, firstError };
    return segment;
}

std::string writeSnapshotIndex(const StateInForce &state)
{
    return json{ { "snapshot", state.ticket.value }, { "segments", segmentCount(state) } }.dump();
}

Result<SnapshotIndex> parseSnapshotIndex(std::string_view text)
{
    const Result<json> parsed = parseJsonWithComments(text, ResultCode::TicketInvalid);
    if (!parsed)
        return parsed.error();
    std::string firstError;
    JsonReader reader(parsed.value(), "", firstError);
    reader.allowOnly({ "snapshot", "segments" });
    SnapshotIndex index;
    index.ticket = TicketNumber{ static_cast<std::uint64_t>(
            reader.number("snapshot", 1, maxTicketNumber)) };
    index.segments = static_cast<std::uint32_t>(reader.number("segments", 1, maxSegments));
    if (!firstError.empty())
        return Error{ ResultCode::TicketInvalid, firstError };
    return index;
}

bool addSegment(SnapshotAssembly &assembly, const SnapshotSegment &segment)
{
    if (segment.number == 0) {
        assembly = SnapshotAssembly{};
        assembly.ticket = segment.ticket;
        assembly.count = segment.count;
    }
    const bool isNext = segment.ticket == assembly.ticket && segment.count == assembly.count
            && segment.number == assembly.next && assembly.next < assembly.count;
    if (!isNext)
        return false;
    addRecords(assembly.state, segment);
    ++assembly.next;
    if (assembly.next < assembly.count)
        return false;
    assembly.state.ticket = assembly.ticket;
    return true;
}

} // namespace azurewell
