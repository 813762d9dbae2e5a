#include "store_returns.h"

#include <QtCore/QTimer>

#include <array>

namespace azurewell::soak {

using platform::testing::Absence;
using platform::testing::StoreStandin;
using std::chrono::milliseconds;
using std::chrono::seconds;

StoreReturns::StoreReturns(std::uint64_t seed, StoreStandin &storeStandin,
                           std::function<void()> onReturned)
    : random(seed)
    , store(storeStandin)
    , writeAgain(std::move(onReturned))
{
}

void StoreReturns::start()
{
    this->beginNext();
}

void StoreReturns::stop()
{
    this->isStopped = true;
}

void StoreReturns::beginNext()
{
    if (this->isStopped)
        return;
    this->later(this->draw(seconds(1), seconds(5)),
                [this, copy = this->store.copy()] { this->goAway(copy); });
}

void StoreReturns::goAway(const StoreStandin::Copy &copy)
{
    constexpr std::array<Absence, 3> absences{ Absence::NoAnswer, Absence::Reset,
                                               Absence::Rejection };
    if (this->isStopped)
        return;
    std::uniform_int_distribution<std::size_t> kinds(0, absences.size() - 1);
    this->store.setAbsence(absences[kinds(this->random)]);
    this->later(this->draw(milliseconds(200), milliseconds(900)),
                [this, copy] { this->comeBack(copy); });
}

void StoreReturns::comeBack(const StoreStandin::Copy &copy)
{
    ++this->count;
    this->store.returnFrom(copy);
    this->store.setAbsence(Absence::None);
    this->later(this->draw(milliseconds(200), seconds(2)), this->writeAgain);
    this->later(this->draw(milliseconds(500), seconds(3)), [this] { this->beginNext(); });
}

Span StoreReturns::draw(Span least, Span most)
{
    std::uniform_int_distribution<std::int64_t> spans(least.count(), most.count());
    return Span{ spans(this->random) };
}

void StoreReturns::later(Span delay, std::function<void()> action)
{
    QTimer::singleShot(std::chrono::duration_cast<milliseconds>(delay), Qt::PreciseTimer,
                       &this->context, std::move(action));
}

} // namespace azurewell::soak
