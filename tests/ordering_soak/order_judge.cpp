#include "order_judge.h"

#include <fmt/format.h>

namespace azurewell::soak {

namespace {

std::string_view nameOf(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::LowerNumber:
        return "a lower number after a higher one";
    case ViolationKind::SameNumber:
        return "one number of two hosts";
    case ViolationKind::EarlyTurn:
        return "two hosts in turns";
    case ViolationKind::BeyondPlaces:
        break;
    }
    return "a load beyond the places";
}

std::string describe(const CarriedOutOrder &order, Instant start)
{
    return fmt::format("{:.3f} s {} {}: status {}{}, number {}, names count {}, was {}",
                       toSeconds(order.at - start), order.owner, order.what, order.status,
                       order.isHeldAlready ? " (held already)" : "", order.fencing,
                       order.expectedOrders, order.ordersBefore);
}

} // namespace

std::string describe(const Violation &violation, Instant start)
{
    const Span distance = violation.order.at - violation.before.at;
    return fmt::format("{}: {}\n    before: {}\n    then:   {}\n    apart:  {} ms",
                       violation.order.engine, nameOf(violation.kind),
                       describe(violation.before, start), describe(violation.order, start),
                       inMilliseconds(distance));
}

void OrderJudge::record(const CarriedOutOrder &order)
{
    Life &life = this->lives[order.engine];
    const auto fail = [&](ViolationKind kind, const CarriedOutOrder &before) {
        this->violations.push_back({ kind, before, order });
    };
    const bool isFirst = life.last.owner.empty();
    const bool isTurn = !isFirst && life.last.owner != order.owner;
    ++this->orders;
    this->turns += isTurn ? 1 : 0;
    if (isTurn && order.at - life.last.at < lease)
        fail(ViolationKind::EarlyTurn, life.last);
    if (!life.byNumber.empty() && life.byNumber.rbegin()->first > order.fencing)
        fail(ViolationKind::LowerNumber, life.byNumber.rbegin()->second);
    const auto same = life.byNumber.find(order.fencing);
    if (same != life.byNumber.end() && same->second.owner != order.owner)
        fail(ViolationKind::SameNumber, same->second);
    if (order.isBeyondPlaces)
        fail(ViolationKind::BeyondPlaces, life.last);
    life.byNumber.emplace(order.fencing, order);
    life.last = order;
}

void OrderJudge::restart(const std::string &engine)
{
    this->lives.erase(engine);
}

std::string OrderJudge::lastOwner(const std::string &engine) const
{
    const auto found = this->lives.find(engine);
    return found == this->lives.end() ? std::string() : found->second.last.owner;
}

} // namespace azurewell::soak
