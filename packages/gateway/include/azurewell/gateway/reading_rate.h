#pragma once

#include "azurewell/units/time.h"

namespace azurewell::gateway {

/// How many prompt tokens an engine reads in a second, learnt from the time to the first event of
/// requests.
///
/// Load pattern: engines of another model or accelerator read five times as fast or as slowly, and
/// each wait that decides where work goes is reckoned in tokens before it. With the figure of one
/// kind of engine, hosts crowd a slow engine until its callers wait for seconds, and on a fast one
/// bring adapters to second engines that nobody needed.
///
/// The slope of the time over the tokens is taken, since part of the time does not depend on them:
/// the ways, and the first step. All samples count less as new ones come.
struct ReadingRate
{
    ReadingRate();

    double weight = 0;
    double tokens = 0; ///< Sums over the samples, each times its weight.
    double seconds = 0;
    double tokensSquared = 0;
    double tokensTimesSeconds = 0;
    double perSecond = 0;
};

/// A prompt of \a tokens had its first event \a elapsed after it was sent to an engine that had
/// little else to read.
void noteRead(ReadingRate &rate, double tokens, Span elapsed);

} // namespace azurewell::gateway
