#pragma once

#include "store_standin.h"

#include <QtCore/QObject>

#include <functional>
#include <random>

namespace azurewell::soak {

/// Lets the store be away for a moment and come back from a copy that is some seconds old, again
/// and again. Ages, lengths and what callers see follow from the seed.
class StoreReturns
{
public:
    /// \a onReturned is called some time after each return, to write again what was lost.
    StoreReturns(std::uint64_t seed, platform::testing::StoreStandin &storeStandin,
                 std::function<void()> onReturned);

    void start();
    /// Begins no further absence; one in progress ends.
    void stop();

    std::uint64_t count = 0;

private:
    void beginNext();
    void goAway(const platform::testing::StoreStandin::Copy &copy);
    void comeBack(const platform::testing::StoreStandin::Copy &copy);
    Span draw(Span least, Span most);
    void later(Span delay, std::function<void()> action);

    std::mt19937_64 random;
    platform::testing::StoreStandin &store;
    std::function<void()> writeAgain;
    QObject context;
    bool isStopped = false;
};

} // namespace azurewell::soak
