#include "azurewell/http/event_stream_scanner.h"
#include "event_stream_reference.h"

#include <gtest/gtest.h>

#include <string>

namespace azurewell {
namespace {

EventStreamEnds endsOf(std::string_view body)
{
    EventStreamScanner scanner;
    scanner.read(body);
    return { scanner.eventCount(), scanner.isBetweenEvents() };
}

constexpr std::string_view bodies[] = {
    "data: a\n\ndata: b\n\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "data: a\r\rdata: b\r\r",
    "data: a\r\n\rdata: b\n\r\n",
    ": comment\n\ndata: a\n: within\ndata: b\n\n: at the end\n",
    "\xEF\xBB\xBFretry: 1\n\n",
    "\xEF\xBBz\n\n",
    "\n\n\ndata\n\n\n\n",
    "data: a\n\r\n\r\r\n",
    "",
};

// Guards against a stream that was cut and passes for a complete one, at every byte.
TEST(EventStreamScanner, KnowsAtEveryByteWhetherAnEventIsUnfinished)
{
    for (const std::string_view body : bodies) {
        for (std::size_t cut = 0; cut <= body.size(); ++cut) {
            const std::string_view part = body.substr(0, cut);
            EXPECT_EQ(endsOf(part), referenceEndsOf(part)) << testing::PrintToString(part);
        }
    }
}

// Guards against line ends and marks that are missed when they are split between two reads.
TEST(EventStreamScanner, ReadsTheSameInPartsOfAnySize)
{
    for (const std::string_view body : bodies) {
        for (std::size_t cut = 0; cut <= body.size(); ++cut) {
            EventStreamScanner scanner;
            scanner.read(body.substr(0, cut));
            scanner.read(body.substr(cut));
            const EventStreamEnds ends{ scanner.eventCount(), scanner.isBetweenEvents() };
            EXPECT_EQ(ends, endsOf(body)) << testing::PrintToString(body) << " at " << cut;
        }
    }
}

TEST(EventStreamScanner, StopsAfterTheLineEndThatEndsAnEvent)
{
    EventStreamScanner scanner;
    const std::string_view body = "data: a\r\n\r\ndata: b\n\n";
    EXPECT_EQ(scanner.readEvent(body), std::string_view("data: a\r\n\r\n").size());
    EXPECT_EQ(scanner.readEvent(body.substr(11)), std::string_view("data: b\n\n").size());
    EXPECT_EQ(scanner.readEvent("data: c"), std::string_view("data: c").size());
    EXPECT_EQ(scanner.eventCount(), 2U);
}

TEST(EventStreamScanner, IsChosenByTheMediaType)
{
    EXPECT_TRUE(isEventStream({ { "content-type", "Text/Event-Stream ; charset=utf-8" } }));
    EXPECT_FALSE(isEventStream({ { "Content-Type", "application/json" } }));
    EXPECT_FALSE(isEventStream(
            { { "Content-Type", "text/event-stream" }, { "Content-Encoding", "gzip" } }));
    EXPECT_FALSE(isEventStream({}));
}

} // namespace
} // namespace azurewell
