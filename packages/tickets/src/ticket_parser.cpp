#include "azurewell/tickets/adapter_table.h"
#include "azurewell/tickets/json_reader.h"
#include "azurewell/tickets/ticket.h"
#include "record_reader.h"

namespace azurewell {

namespace {

constexpr double maxTokens = 1e12;
constexpr double maxSlots = 4096;
constexpr std::size_t hashLength = 64; // SHA-256 in hexadecimal

TicketNumber readRecordTicket(JsonReader &reader, const RecordSource &source)
{
    const double number = reader.number("ticket", 0, maxTicketNumber, 0.0);
    if (!source.isSnapshot && number > 0)
        reader.reportError("ticket",
                           "is not allowed here; a record's ticket is the one that sets it");
    return source.isSnapshot ? TicketNumber{ static_cast<std::uint64_t>(number) } : source.ticket;
}

Customer readCustomer(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "id", "rate", "burst", "weight", "services" });
    Customer customer;
    customer.id = CustomerId{ reader.text("id") };
    customer.rate = TokenRate{ reader.number("rate", 0, maxTokens) };
    customer.burst = Tokens{ static_cast<std::int64_t>(reader.number("burst", 0, maxTokens)) };
    customer.weight = reader.number("weight", 0.01, 1000, 1.0);
    for (const std::string &service : reader.texts("services"))
        customer.services.emplace_back(service);
    customer.ticket = readRecordTicket(reader, source);
    return customer;
}

Key readKey(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "sha256", "customer", "state" });
    Key key;
    key.hash = KeyHash{ reader.text("sha256") };
    if (key.hash.value.size() != hashLength
        || key.hash.value.find_first_not_of("0123456789abcdef") != std::string::npos)
        reader.reportError("sha256",
                           "must be 64 lower-case hexadecimal digits, never the key itself");
    key.customer = CustomerId{ reader.text("customer") };
    const std::string state = reader.text("state");
    if (state != "issued" && state != "withdrawn")
        reader.reportError("state", "must be \"issued\" or \"withdrawn\"");
    key.state = state == "withdrawn" ? KeyState::Withdrawn : KeyState::Issued;
    key.ticket = readRecordTicket(reader, source);
    return key;
}

Adapter readAdapter(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "adapter", "customer", "base" });
    Adapter adapter;
    adapter.ref = AdapterRef{ reader.text("adapter") };
    const std::size_t at = adapter.ref.value.find('@');
    if (at == std::string::npos || at == 0 || at + 1 == adapter.ref.value.size())
        reader.reportError("adapter", "must be written name@version");
    if (adapter.ref.value.size() > maxAdapterRefLength)
        reader.reportError("adapter", "must have at most 200 characters");
    adapter.customer = CustomerId{ reader.text("customer") };
    adapter.baseModel = reader.text("base");
    adapter.ticket = readRecordTicket(reader, source);
    return adapter;
}

Upstream readUpstream(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "id", "kind", "zone", "address", "base", "service", "batch_slots",
                       "adapter_slots", "checks_fencing", "leaving" });
    Upstream upstream;
    upstream.id = UpstreamId{ reader.text("id") };
    const std::string kind = reader.text("kind");
    if (kind != "engine" && kind != "service")
        reader.reportError("kind", "must be \"engine\" or \"service\"");
    upstream.kind = kind == "service" ? UpstreamKind::Service : UpstreamKind::Engine;
    upstream.zone = ZoneId{ reader.text("zone") };
    upstream.address = reader.text("address");
    if (upstream.kind == UpstreamKind::Engine) {
        upstream.baseModel = reader.text("base");
        upstream.adapterSlots = static_cast<std::uint32_t>(
                reader.number("adapter_slots", 1, maxSlots));
    } else {
        upstream.service = ServiceId{ reader.text("service") };
    }
    upstream.batchSlots = static_cast<std::uint32_t>(reader.number("batch_slots", 1, maxSlots));
    upstream.checksFencing = reader.flag("checks_fencing", false);
    upstream.isLeaving = reader.flag("leaving", false);
    upstream.ticket = readRecordTicket(reader, source);
    return upstream;
}

Service readService(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "id", "idempotent" });
    return Service{ ServiceId{ reader.text("id") }, reader.flag("idempotent", false),
                    readRecordTicket(reader, source) };
}

Zone readZone(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "id", "seats" });
    Zone zone;
    zone.id = ZoneId{ reader.text("id") };
    zone.seats = static_cast<std::uint32_t>(reader.number("seats", 1, 1000));
    zone.ticket = readRecordTicket(reader, source);
    return zone;
}

void readRemovals(JsonReader &removals, Ticket &ticket)
{
    removals.allowOnly({ "adapters", "customers", "upstreams" });
    for (const std::string &name : removals.texts("adapters"))
        ticket.removedAdapters.emplace_back(name);
    for (const std::string &name : removals.texts("customers"))
        ticket.removedCustomers.emplace_back(name);
    for (const std::string &name : removals.texts("upstreams"))
        ticket.removedUpstreams.emplace_back(name);
}

constexpr double maxSecondsWithoutUpdate = 7 * 24 * 3600;

FleetSettings readFleet(JsonReader &reader, const RecordSource &source)
{
    reader.allowOnly({ "ticket", "longest_without_news" });
    FleetSettings fleet;
    fleet.maxUpdateAge = fromSeconds(
            reader.number("longest_without_news", 0, maxSecondsWithoutUpdate));
    fleet.ticket = readRecordTicket(reader, source);
    return fleet;
}

} // namespace

void readSets(JsonReader &sets, const RecordSource &source, Ticket &ticket)
{
    sets.allowOnly({ "customers", "keys", "adapters", "upstreams", "services", "zones", "fleet" });
    if (sets.has("fleet")) {
        JsonReader fleet = sets.object("fleet");
        ticket.fleet = readFleet(fleet, source);
    }
    for (JsonReader &reader : sets.objects("customers"))
        ticket.customers.push_back(readCustomer(reader, source));
    for (JsonReader &reader : sets.objects("keys"))
        ticket.keys.push_back(readKey(reader, source));
    for (JsonReader &reader : sets.objects("adapters"))
        ticket.adapters.push_back(readAdapter(reader, source));
    for (JsonReader &reader : sets.objects("upstreams"))
        ticket.upstreams.push_back(readUpstream(reader, source));
    for (JsonReader &reader : sets.objects("services"))
        ticket.services.push_back(readService(reader, source));
    for (JsonReader &reader : sets.objects("zones"))
        ticket.zones.push_back(readZone(reader, source));
}

Result<Ticket> parseTicket(std::string_view text)
{
    const Result<nlohmann::json> json = parseJsonWithComments(text, ResultCode::TicketInvalid);
    if (!json)
        return json.error();

    std::string firstError;
    JsonReader reader(json.value(), "", firstError);
    reader.allowOnly({ "ticket", "by", "why", "set", "remove" });
    Ticket ticket;
    ticket.number = TicketNumber{ static_cast<std::uint64_t>(
            reader.number("ticket", 1, maxTicketNumber)) };
    ticket.by = reader.text("by");
    ticket.why = reader.text("why");
    JsonReader sets = reader.object("set");
    readSets(sets, RecordSource{ ticket.number, false }, ticket);
    JsonReader removals = reader.object("remove");
    readRemovals(removals, ticket);
    if (!firstError.empty())
        return Error{ ResultCode::TicketInvalid, firstError };
    return ticket;
}

} // namespace azurewell
