#include "azurewell/logging/request_summary.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

std::string answered(int sent, int first, int pause)
{
    return "2026-08-26T19:09:04.070Z info request_answered host=h1 request=0f23 status=200 "
           "upstream=e1 path=/s/ "
           "adapter=a7 prompt_tokens=900 attempts=1 sent_ms="
            + std::to_string(sent) + " first_ms=" + std::to_string(first)
            + " pause_ms=" + std::to_string(pause) + " whole_ms=2000";
}

TEST(LogLine, ParsesQuotedValuesAndSkipsTheCollectorsPrefix)
{
    const std::optional<LogLine> line = readLogLine(
            "  12.5 edge-1 2026-08-26T19:09:04.070Z warning request_unreadable reason=bad "
            "detail=\"two "
            "words\" empty=\"\"");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->level, "warning");
    EXPECT_EQ(line->event, "request_unreadable");
    EXPECT_EQ(fieldOf(*line, "detail"), "two words");
    EXPECT_EQ(fieldOf(*line, "empty"), "");
    EXPECT_EQ(fieldOf(*line, "missing"), "");
}

TEST(LogLine, TextOfAnotherProgramIsNotALogLine)
{
    EXPECT_FALSE(readLogLine(""));
    EXPECT_FALSE(readLogLine("terminate called after throwing"));
    EXPECT_FALSE(readLogLine("information request_answered"));
}

TEST(RequestSummary, ClassifiesLateAnswers)
{
    const LatencyTargets expected;
    EXPECT_EQ(outcomeOf(*readLogLine(answered(10, 300, 200)), expected), "in_time");
    EXPECT_EQ(outcomeOf(*readLogLine(answered(700, 1200, 200)), expected), "late_sent");
    EXPECT_EQ(outcomeOf(*readLogLine(answered(10, 1200, 900)), expected), "late_read");
    EXPECT_EQ(outcomeOf(*readLogLine(answered(10, 300, 900)), expected), "late_pause");
}

TEST(RequestSummary, CountsRefusalsByCodeAndWhetherTheyWereEarly)
{
    RequestSummary summary;
    const LatencyTargets expected;
    const std::string refused
            = "t info request_refused request=1 code=queue_full path=/s/17 adapter=a7 "
              "upstream=\"\" after_ms=";
    addLine(summary, refused + "4", expected);
    addLine(summary, refused + "751", expected);
    addLine(summary, answered(10, 300, 900), expected);
    addLine(summary, "t info order_ended engine=e1", expected);
    addLine(summary, "no line of a log", expected);
    const RequestSummary::Counts &counts = summary.byPath.at("/s/");
    EXPECT_EQ(counts.at("refused_queue_full_early"), 1U);
    EXPECT_EQ(counts.at("refused_queue_full_waited"), 1U);
    EXPECT_EQ(counts.at("late_pause"), 1U);
    EXPECT_EQ(summary.failuresByAdapter.at("a7"), 3U);
    EXPECT_EQ(summary.failuresByUpstream.size(), 1U);
    EXPECT_EQ(summary.unparsedLines, 1U);
}

TEST(RequestSummary, CountsCallersThatLeftByStage)
{
    RequestSummary summary;
    const LatencyTargets expected;
    addLine(summary, "t info caller_left request=1 stage=waiting path=/s/17 upstream=e1", expected);
    addLine(summary, "t info callers_left_not_begun count=7", expected);
    addLine(summary, "t info callers_left_not_begun count=3", expected);
    EXPECT_EQ(summary.byPath.at("/s/").at("left_waiting"), 1U);
    EXPECT_EQ(summary.leftBeforeBegin, 10U);
    EXPECT_EQ(summary.unparsedLines, 0U);
}

} // namespace
} // namespace azurewell
