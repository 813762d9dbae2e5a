#include "azurewell/shell/event_stream.h"
#include "azurewell/shell/http_text.h"
#include "azurewell/shell/load_report.h"
#include "azurewell/shell/platform_watcher.h"
#include "azurewell/shell/settings.h"
#include "azurewell/shell/show_record.h"

#include <gtest/gtest.h>

using namespace azurewell;

TEST(Settings, TheDefaultSettingsAreValid)
{
    const Result<Settings> settings = parseSettings(defaultSettingsText());
    ASSERT_TRUE(settings) << settings.error().detail;
    EXPECT_EQ(settings.value().self.id, HostId{ "h1" });
    EXPECT_EQ(settings.value().callers.port, 8080);
}

TEST(Settings, ErrorsNameTheKeyAndWhatIsAllowed)
{
    std::string text(defaultSettingsText());
    text.replace(text.find("\"seat\": 0"), 9, "\"seat\": -1");
    const Result<Settings> settings = parseSettings(text);
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().detail, "seat: must be a number from 0.0 to 1000.0");
}

// Guards against an invalid status line, such as that of a stored answer.
TEST(HttpText, AnAnswerHasAFinalStatus)
{
    for (const int status : { -1, 0, 99, 100, 199, 600, 2000 })
        EXPECT_TRUE(answerHead(status, "a/b", 0, RequestId{}).startsWith("HTTP/1.1 502 Bad"))
                << status;
    EXPECT_TRUE(answerHead(599, "a/b", 0, RequestId{}).startsWith("HTTP/1.1 599 "));
}

// Guards against an https URL whose service is called over plain HTTP without a warning.
TEST(Settings, ThePlatformIsReachedByHttpOnly)
{
    std::string text(defaultSettingsText());
    text.replace(text.find("http://"), 7, "https://");
    const Result<Settings> settings = parseSettings(text);
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().detail, "platform: must begin with http://");
}

TEST(HttpText, ARefusalStatesWhetherTheRequestRan)
{
    const QByteArray answer = refusalAnswer(Refuse{
            RequestId{ "r" }, ResultCode::RateExceeded, RunState::NotRun, fromSeconds(1.2), {} });
    EXPECT_TRUE(answer.startsWith("HTTP/1.1 429 "));
    EXPECT_TRUE(answer.contains("X-Azurewell-Run-State: not_run\r\n"));
    EXPECT_TRUE(answer.contains("Retry-After: 2\r\n"));
    EXPECT_TRUE(answer.contains("\"code\":300"));
}

// Guards against a report with a field of another type that ends the process by an exception.
TEST(LoadReport, FieldsOfOtherTypesAreIgnored)
{
    const LoadReported report = parseLoadReport(
            UpstreamId{ "e" }, R"({"running":"3","queued":2,"start":null,"adapters":["a",7]})");
    EXPECT_TRUE(report.isReachable);
    EXPECT_EQ(report.running, 0U);
    EXPECT_EQ(report.queued, 2U);
    EXPECT_EQ(report.loaded, std::vector<AdapterRef>{ AdapterRef{ "a" } });
    EXPECT_TRUE(parseLoadReport(UpstreamId{ "e" }, R"({"adapters":3})").loaded.empty());
    EXPECT_FALSE(parseLoadReport(UpstreamId{ "e" }, "[]").isReachable);
}

// Guards against a shifted resume position: a role, a finish reason and usage are no tokens.
TEST(EventStream, CountsOnlyEventsWithAToken)
{
    EventStream stream;
    const Result<CompleteEvents> begin = extractEvents(
            stream,
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\"}}]}\n\n"
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
            "data: {\"choices\":[{\"index\":0,\"text\":\"b\",\"finish_reason\":null}]}\n\n");
    ASSERT_TRUE(begin);
    EXPECT_EQ(begin.value().tokens, Tokens{ 2 });
    EXPECT_FALSE(stream.isAnswerEnd());
    const Result<CompleteEvents> end = extractEvents(
            stream,
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n");
    ASSERT_TRUE(end);
    EXPECT_EQ(end.value().tokens, Tokens{ 0 });
    EXPECT_TRUE(stream.isAnswerEnd());
}

TEST(EventStream, AnAnswerOfSeveralChoicesEndsWithTheLastOne)
{
    const QByteArray finished
            = "data: {\"choices\":[{\"index\":0,\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n";
    EventStream stream;
    stream.choices = 2;
    const Result<CompleteEvents> first = extractEvents(stream, finished);
    ASSERT_TRUE(first);
    EXPECT_EQ(first.value().tokens, Tokens{ 1 });
    EXPECT_FALSE(stream.isAnswerEnd());
    ASSERT_TRUE(extractEvents(stream, finished));
    EXPECT_TRUE(stream.isAnswerEnd());
}

TEST(HostList, LeavingHostsAndUpstreamsAreRead)
{
    const Result<HostListRead> list = parseHostList(
            R"({ "hosts": [ { "id": "h1", "zone": "z", "address": "127.0.0.1:1" } ],
        "upstreams": [ { "id": "e1", "state": "leaving" } ] })");
    ASSERT_TRUE(list) << list.error().detail;
    EXPECT_FALSE(list.value().hosts[0].isLeaving);
    EXPECT_TRUE(list.value().upstreams[0].isLeaving);
}

TEST(ShowRecord, ReportsNumberAuthorAndReasonOfTheTicket)
{
    StateInForce state;
    const Result<Ticket> ticket = parseTicket(R"({ "ticket": 1, "by": "ana", "why": "new routes",
        "set": { "customers": [ { "id": "grua", "rate": 1, "burst": 1 } ],
                 "adapters": [ { "adapter": "routes@3", "customer": "grua", "base": "m" } ] } })");
    ASSERT_TRUE(ticket && applyTicket(state, ticket.value()));
    const std::optional<std::string> shown = showRecord(state, "adapter/routes@3");
    ASSERT_TRUE(shown);
    for (const char *part : { "\"ticket\": 1", "ana", "new routes", "grua" })
        EXPECT_NE(shown->find(part), std::string::npos) << part;
    EXPECT_TRUE(showRecord(state, "customer/grua"));
    EXPECT_FALSE(showRecord(state, "adapter/routes@4"));
    EXPECT_FALSE(showRecord(state, "key/"));
    EXPECT_FALSE(showRecord(state, "nothing"));
}
