// Runs two hosts of a fleet in one process without sockets, threads or a clock: the program passes
// in events and the time, and executes the returned actions. A test bench or a trace replay can
// drive the core in the same way.

#include <azurewell/host/host.h>

#include <cstdio>
#include <map>
#include <vector>

using namespace azurewell;

namespace {

const char *const ticketText = R"({
  "ticket": 1, "by": "embedder", "why": "one customer and one engine",
  "set": {
    "zones": [ { "id": "z", "seats": 2 } ],
    "customers": [ { "id": "c", "rate": 10000, "burst": 20000 } ],
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "c", "state": "issued" } ],
    "adapters": [ { "adapter": "a@1", "customer": "c", "base": "m" } ],
    "upstreams": [ { "id": "e1", "kind": "engine", "zone": "z", "address": "127.0.0.1:1", "base": "m",
                     "batch_slots": 2, "adapter_slots": 1 } ] } })";

/// Two hosts, and an engine that executes each order immediately.
struct Fleet
{
    std::map<HostId, HostState> hosts;
    Instant now{ 0 };
    std::uint32_t dispatched = 0;

    void add(const char *name, std::uint32_t seat, const KnownCharts &charts)
    {
        HostIdentity identity;
        identity.id = HostId{ name };
        identity.zone = ZoneId{ "z" };
        identity.seat = SeatNumber{ seat };
        identity.peerAddress = name;
        identity.incarnation = Incarnation{ 1 };
        this->hosts.emplace(identity.id, makeHost(identity, charts));
    }

    void deliver(const HostId &host, const Event &event)
    {
        std::vector<Action> actions;
        handle(this->hosts.at(host), event, this->now, actions);
        for (const Action &action : actions)
            this->execute(host, action);
    }

    void execute(const HostId &host, const Action &action)
    {
        if (const SendPeer *message = std::get_if<SendPeer>(&action)) {
            const Incarnation incarnation = this->hosts.at(host).self.incarnation;
            this->deliver(message->to,
                          PeerMessageReceived{ PeerMessage{ host, incarnation, message->body } });
        }
        if (const OrderEngine *order = std::get_if<OrderEngine>(&action))
            this->deliver(host, OrderEnded{ order->engine, order->adapter, order->isLoad, true });
        if (const Dispatch *dispatch = std::get_if<Dispatch>(&action)) {
            std::printf("%s sends %s to %s\n", host.value.c_str(), dispatch->request.value.c_str(),
                        dispatch->upstream.value.c_str());
            ++this->dispatched;
            this->deliver(host,
                          AttemptEnded{ dispatch->request, dispatch->attempt, AttemptOutcome::Done,
                                        Tokens{ 20 }, true });
        }
    }

    void advanceBy(Span span)
    {
        const Instant until = this->now + span;
        while (this->now < until) {
            this->now = this->now + tickInterval;
            for (const char *name : { "h0", "h1" })
                this->deliver(HostId{ name }, Tick{});
        }
    }
};

} // namespace

int main(int argc, char **argv)
{
    const Result<KnownCharts> charts = loadKnownCharts(argc > 1 ? argv[1] : "charts");
    if (!charts) {
        std::fprintf(stderr, "%s\n", charts.error().detail.c_str());
        return 1;
    }
    Fleet fleet;
    fleet.add("h0", 0, charts.value());
    fleet.add("h1", 1, charts.value());
    HostListRead list;
    list.hosts = { ListedHost{ HostId{ "h0" }, ZoneId{ "z" }, "h0", false },
                   ListedHost{ HostId{ "h1" }, ZoneId{ "z" }, "h1", false } };
    fleet.deliver(HostId{ "h0" }, list);
    fleet.deliver(HostId{ "h1" }, list);
    fleet.deliver(HostId{ "h0" }, TicketRead{ ticketText }); // h0 sends it on to h1
    fleet.advanceBy(fromSeconds(15));

    for (const char *name : { "h0", "h1" }) {
        RequestArrived request;
        request.request = RequestId{ std::string("r-") + name };
        request.key = KeyHash{ std::string(64, 'a') };
        request.adapter = AdapterRef{ "a@1" };
        request.promptTokens = Tokens{ 10 };
        request.maxGenerated = Tokens{ 20 };
        request.deadline = fleet.now + fromSeconds(30);
        fleet.deliver(HostId{ name }, request);
    }
    fleet.advanceBy(fromSeconds(5));
    return fleet.dispatched == 2 ? 0 : 1;
}
