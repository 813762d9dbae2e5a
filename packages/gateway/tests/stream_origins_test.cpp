#include "azurewell/gateway/gateway.h"
#include "azurewell/gateway/gossip_codec.h"
#include "azurewell/gateway/stream_origins.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace azurewell::gateway {
namespace {

constexpr Span lifetime = std::chrono::seconds(14);
const StreamKey key{ CustomerId{ "c" }, AttemptId{ "a" } };

StreamOrigin originOf(const std::string &version, Instant until)
{
    return { ServiceId{ "s" }, SoftwareVersion{ version }, until, false };
}

// Guards against a customer that reads or overwrites the record of another one by naming its id.
TEST(StreamOrigins, BelongToTheirCustomer)
{
    const Instant now{ 1'000'000 };
    StreamOrigins origins;
    recordOrigin(origins, key, originOf("1", now + lifetime));
    recordOrigin(origins, { CustomerId{ "other" }, key.begunBy }, originOf("2", now + lifetime));
    EXPECT_EQ(findOrigin(origins, key, now)->version, SoftwareVersion{ "1" });
    EXPECT_FALSE(findOrigin(origins, key, now)->isAmbiguous);
    EXPECT_FALSE(findOrigin(origins, { CustomerId{}, key.begunBy }, now));
}

// Guards against going on at one of two versions that have begun streams under one id.
TEST(StreamOrigins, AreAmbiguousIfTwoVersionsClaimThem)
{
    const Instant now{ 1'000'000 };
    StreamOrigins origins;
    recordOrigin(origins, key, originOf("1", now + lifetime));
    recordOrigin(origins, key, originOf("1", now + 2 * lifetime));
    EXPECT_FALSE(findOrigin(origins, key, now + lifetime)->isAmbiguous);
    recordOrigin(origins, key, originOf("2", now + lifetime));
    EXPECT_TRUE(findOrigin(origins, key, now)->isAmbiguous);
    recordOrigin(origins, key, originOf("1", now + lifetime));
    EXPECT_TRUE(findOrigin(origins, key, now)->isAmbiguous);
}

// Guards against records that fill the memory of a host, by their number, texts or age.
TEST(StreamOrigins, AreBounded)
{
    const Instant now{ 1'000'000 };
    StreamOrigins origins;
    recordOrigin(origins, { key.customer, AttemptId{ std::string(1000, 'x') } },
                 originOf("1", now + lifetime));
    recordOrigin(origins, { key.customer, AttemptId{} }, originOf("1", now + lifetime));
    EXPECT_TRUE(origins.records.empty());
    for (std::size_t stream = 0; stream < maxOrigins + 10; ++stream) {
        recordOrigin(origins, { key.customer, AttemptId{ std::to_string(stream) } },
                     originOf("1", now + lifetime + Span{ static_cast<std::int64_t>(stream) }));
        ASSERT_LE(origins.bytes, maxOriginBytes);
    }
    EXPECT_LE(origins.records.size(), maxOrigins);
    EXPECT_GE(origins.dropped, 10U);
    dropExpiredOrigins(origins, now + 2 * lifetime);
    EXPECT_TRUE(origins.records.empty());
    EXPECT_TRUE(origins.byExpiry.empty());
    EXPECT_EQ(origins.bytes, 0U);
}

// Guards against a version that counts as the only one while streams of another one may be left.
TEST(ServiceVersions, AreLoneOnlyLongAfterTheyWereMixed)
{
    const Instant start{ 1'000'000 };
    ServiceVersions versions;
    versions.since = start;
    updateVersions(versions, { SoftwareVersion{ "1" } }, start);
    EXPECT_FALSE(loneVersion(versions, lifetime, start));
    const Instant known = start + lifetime;
    EXPECT_EQ(*loneVersion(versions, lifetime, known), SoftwareVersion{ "1" });
    updateVersions(versions, { SoftwareVersion{ "1" }, SoftwareVersion{ "2" } }, known);
    EXPECT_FALSE(loneVersion(versions, lifetime, known));
    updateVersions(versions, { SoftwareVersion{ "2" } }, known);
    EXPECT_FALSE(loneVersion(versions, lifetime, known + lifetime / 2));
    EXPECT_EQ(*loneVersion(versions, lifetime, known + lifetime), SoftwareVersion{ "2" });
    // All servers are replaced between two looks.
    updateVersions(versions, { SoftwareVersion{ "3" } }, known + lifetime);
    EXPECT_FALSE(loneVersion(versions, lifetime, known + lifetime));
}

TEST(StreamOriginsCodec, KeepsWhatHostsSay)
{
    const Instant now{ 1'000'000'000 };
    Gossip message;
    message.from.value = "h";
    message.mixedServices.push_back({ ServiceId{ "s" }, now - std::chrono::seconds(2) });
    message.origins.push_back({ key, originOf("1", now + lifetime) });
    message.originQuestions.push_back({ key, ServiceId{ "s" }, 7 });
    message.originAnswers.push_back({ { key, originOf("2", now + lifetime) }, 7, true });
    const Result<Gossip> decoded = decodeGossip(encodeGossip(message, now), now);
    ASSERT_TRUE(decoded);
    const Gossip &out = decoded.value();
    EXPECT_EQ(out.mixedServices.at(0).mixedAt, now - std::chrono::seconds(2));
    EXPECT_EQ(out.origins.at(0).key, key);
    EXPECT_EQ(out.origins.at(0).origin.version, SoftwareVersion{ "1" });
    EXPECT_EQ(out.origins.at(0).origin.until, now + lifetime);
    EXPECT_EQ(out.originQuestions.at(0).key, key);
    EXPECT_EQ(out.originQuestions.at(0).request, 7U);
    EXPECT_EQ(out.originAnswers.at(0).update.origin.version, SoftwareVersion{ "2" });
    EXPECT_TRUE(out.originAnswers.at(0).isLoneVersion);
}

/// One host that knows two others, before two servers of each of two versions.
class StreamResumptionTest : public testing::Test
{
protected:
    StreamResumptionTest()
    {
        Identity self;
        self.id.value = "h";
        self.zone.value = "z";
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Configuration configuration;
        configuration.version = 1;
        Route route;
        route.host = "h";
        route.prefix = "/s/";
        route.repeat = RepeatPolicy::Stream;
        route.isResumable = true;
        route.isPublic = true;
        route.maxAttempts = 3;
        route.timeout = std::chrono::seconds(4);
        route.objective = std::chrono::seconds(1);
        route.services = { { ServiceId{ "s" }, 1.0 } };
        configuration.routes = { route };
        Service service;
        service.id.value = "s";
        configuration.services = { service };
        setConfiguration(this->state, configuration);
        this->list("1a", "1");
        this->list("1b", "1");
        this->list("2a", "2");
        this->list("2b", "2");
        this->hear("g");
        this->hear("i");
    }

    void list(const std::string &id, const std::string &version, std::int64_t start = 1)
    {
        ListedUpstream listed;
        listed.id.value = id;
        listed.engine.start = start;
        listed.service.value = "s";
        listed.address = { id, 1 };
        listed.softwareVersion.value = version;
        listUpstream(this->state, listed, this->now);
    }

    Actions hear(const std::string &host, Gossip message = {})
    {
        message.from.value = host;
        message.zone.value = "zone of " + host;
        message.address = { host, 1 };
        message.runningFor = this->now - Instant{};
        Actions actions;
        handle(this->state, message, this->now, actions);
        return actions;
    }

    Actions arrive(std::uint64_t number, const std::string &attempt,
                   std::optional<StreamResumption> resumption = {})
    {
        RequestArrived request;
        request.request.value = number;
        request.callerId = attempt;
        request.host = "h";
        request.path = "/s/x";
        request.resumption = std::move(resumption);
        Actions actions;
        handle(this->state, request, this->now, actions);
        return actions;
    }

    /// A host has seen by a report that the server runs since \a start.
    void report(const std::string &id, std::int64_t start)
    {
        Gossip message;
        EngineUpdate update;
        update.engine.value = id;
        update.state.start = start;
        update.state.seenAt = this->now;
        message.engines.push_back(update);
        this->hear("g", message);
    }

    std::string versionAt(const Actions &actions)
    {
        return actions.dispatches.empty()
                ? std::string()
                : this->state.upstreams.at(actions.dispatches.front().upstream)
                          .listed.softwareVersion.value;
    }

    Gossip answerOf(const std::string &version)
    {
        Gossip answer;
        answer.originAnswers.push_back(
                { { { CustomerId{}, AttemptId{ "a" } }, originOf(version, this->now + lifetime) },
                  2,
                  false });
        return answer;
    }

    const StreamResumption resumption{ AttemptId{ "a" }, EventId{ "3" } };
    GatewayState state;
    Instant now{ 1'000'000'000 };
};

// Guards against a resumption at the host that began the stream which goes to the other version.
TEST_F(StreamResumptionTest, GoesOnAtTheVersionThatThisHostSentItTo)
{
    const std::string begunBy = this->versionAt(this->arrive(1, "a"));
    Actions actions;
    handle(this->state, AnswerBegan{ RequestNumber{ 1 }, 1 }, this->now, actions);
    for (std::uint64_t number = 2; number < 30; ++number) {
        EXPECT_EQ(this->versionAt(
                          this->arrive(number, "b" + std::to_string(number), this->resumption)),
                  begunBy);
    }
}

// Guards against sending a resumption before the answer is there, and at another version after a
// failed try.
TEST_F(StreamResumptionTest, WaitsForTheAnswerAndKeepsToItWhenRepeated)
{
    const Actions asked = this->arrive(2, "b", this->resumption);
    EXPECT_TRUE(asked.dispatches.empty());
    EXPECT_GE(std::count_if(asked.gossip.begin(), asked.gossip.end(),
                            [](const SendGossip &sent) {
                                return !sent.message->originQuestions.empty();
                            }),
              2);
    const Actions sent = this->hear("g", this->answerOf("2"));
    EXPECT_EQ(this->versionAt(sent), "2");
    Actions repeated;
    handle(this->state,
           AttemptEnded{ RequestNumber{ 2 }, 1, AttemptOutcome::NotSent, false, false }, this->now,
           repeated);
    EXPECT_EQ(this->versionAt(repeated), "2");
    Actions ended;
    handle(this->state,
           AttemptEnded{ RequestNumber{ 2 }, 2, AttemptOutcome::NotSent, false, false }, this->now,
           ended);
    EXPECT_TRUE(ended.dispatches.empty());
    EXPECT_EQ(ended.refusals.size(), 1U);
}

// Guards against a resumption that waits long, or is sent to some version, when nobody knows who
// began its stream.
TEST_F(StreamResumptionTest, IsRefusedAsNotRunWhenNobodyKnows)
{
    this->arrive(2, "b", this->resumption);
    Actions actions;
    const Instant end = this->now + std::chrono::milliseconds(300);
    while (this->now < end) {
        this->now = this->now + tickInterval;
        tick(this->state, this->now, actions);
    }
    EXPECT_TRUE(actions.dispatches.empty());
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals.front().code, ResultCode::StreamOriginUnknown);
    EXPECT_TRUE(actions.refusals.front().isNotRun);
    EXPECT_GT(actions.refusals.front().retryAfter, Span{});
}

// Guards against taking the word of a host that does not know yet that versions are mixed.
TEST_F(StreamResumptionTest, DoesNotTakeALoneVersionWhenItKnowsOfTwo)
{
    this->arrive(2, "b", this->resumption);
    Gossip answer = this->answerOf("1");
    answer.originAnswers.front().isLoneVersion = true;
    EXPECT_TRUE(this->hear("g", answer).dispatches.empty());
}

// Guards against a resumption that waits although no server of its version is left.
TEST_F(StreamResumptionTest, IsRefusedAtOnceWhenItsVersionIsGone)
{
    this->arrive(2, "b", this->resumption);
    const Actions actions = this->hear("g", this->answerOf("0"));
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals.front().code, ResultCode::StreamVersionGone);
    EXPECT_TRUE(actions.refusals.front().isNotRun);
}

// Guards against passing on the first event of a server that has started again with another
// version since the request was sent.
TEST_F(StreamResumptionTest, IsRepeatedWhenItsServerHasAnotherVersionAtTheFirstEvent)
{
    for (std::uint64_t number = 10; number < 30; ++number)
        this->arrive(number, std::to_string(number)); // They earn a retry.
    this->arrive(2, "b", this->resumption);
    const Actions sent = this->hear("g", this->answerOf("2"));
    const std::string first = sent.dispatches.at(0).upstream.value;
    this->list(first, "3");
    Actions actions;
    handle(this->state, AnswerBegan{ RequestNumber{ 2 }, 1 }, this->now, actions);
    EXPECT_EQ(actions.cancels.size(), 1U);
    EXPECT_EQ(this->versionAt(actions), "2");
    EXPECT_NE(actions.dispatches.at(0).upstream.value, first);
    EXPECT_FALSE(this->state.requests.at(RequestNumber{ 2 }).hasAnswerStarted);
}

// Guards against a resumption at a server whose entry is of an earlier start: it may have another
// version now, and while the platform answers nobody no entry says so.
TEST_F(StreamResumptionTest, GoesToNoServerThatHasStartedAgainSinceItsEntry)
{
    this->report("2a", 2);
    this->report("2b", 2);
    this->arrive(2, "b", this->resumption);
    const Actions refused = this->hear("g", this->answerOf("2"));
    EXPECT_TRUE(refused.dispatches.empty());
    ASSERT_EQ(refused.refusals.size(), 1U);
    EXPECT_EQ(refused.refusals.front().code, ResultCode::StreamVersionGone);
    this->list("2a", "2", 2);
    this->arrive(2, "c", this->resumption);
    const Actions sent = this->hear("g", this->answerOf("2"));
    ASSERT_EQ(sent.dispatches.size(), 1U);
    EXPECT_EQ(sent.dispatches.front().upstream.value, "2a");
}

// Guards against passing on the first event of a server that, by a report, has started again since
// the request was sent.
TEST_F(StreamResumptionTest, IsRepeatedWhenItsServerHasStartedAgainByTheFirstEvent)
{
    for (std::uint64_t number = 10; number < 30; ++number)
        this->arrive(number, std::to_string(number)); // They earn a retry.
    this->arrive(2, "b", this->resumption);
    const Actions sent = this->hear("g", this->answerOf("2"));
    const std::string first = sent.dispatches.at(0).upstream.value;
    this->report(first, 2);
    Actions actions;
    handle(this->state, AnswerBegan{ RequestNumber{ 2 }, 1 }, this->now, actions);
    EXPECT_EQ(actions.cancels.size(), 1U);
    ASSERT_EQ(actions.dispatches.size(), 1U);
    EXPECT_EQ(this->versionAt(actions), "2");
    EXPECT_NE(actions.dispatches.at(0).upstream.value, first);
}

// Guards against a record of the entry's version for a stream that a later start has begun, and
// against a version that counts as the only one beside it.
TEST_F(StreamResumptionTest, IsRefusedIfAServerBeganItWhoseVersionIsNotKnown)
{
    for (const char *id : { "1b", "2a", "2b" })
        this->state.upstreams.erase(UpstreamId{ id });
    this->state.serviceVersions.clear();
    Actions actions;
    for (int second = 0; second < 60; ++second) {
        this->now = this->now + std::chrono::seconds(1);
        this->hear("g");
        this->hear("i");
        tick(this->state, this->now, actions);
    }
    this->report("1a", 2);
    this->now = this->now + std::chrono::milliseconds(300);
    tick(this->state, this->now, actions);
    EXPECT_EQ(this->arrive(1, "a").dispatches.size(), 1U);
    handle(this->state, AnswerBegan{ RequestNumber{ 1 }, 1 }, this->now, actions);
    EXPECT_TRUE(this->state.requests.at(RequestNumber{ 1 }).hasAnswerStarted);
    EXPECT_TRUE(this->state.origins.records.empty());
    this->list("1b", "1");
    EXPECT_TRUE(this->arrive(2, "b", this->resumption).dispatches.empty());
}

/// All hosts were lost as the servers of one version had left: none knows of it.
class ResumptionAfterLossOfAllHosts : public StreamResumptionTest
{
protected:
    ResumptionAfterLossOfAllHosts()
    {
        for (const char *id : { "2a", "2b" })
            this->state.upstreams.erase(UpstreamId{ id });
        this->state.serviceVersions.clear();
        this->passTime(std::chrono::milliseconds(300));
    }

    Actions passTime(Span span)
    {
        Actions actions;
        const Instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + std::chrono::milliseconds(100);
            this->hear("g");
            this->hear("i");
            tick(this->state, this->now, actions);
        }
        return actions;
    }

    void expectRefusedWithoutInvitation(const Actions &actions)
    {
        EXPECT_TRUE(actions.dispatches.empty());
        ASSERT_EQ(actions.refusals.size(), 1U);
        EXPECT_EQ(actions.refusals.front().code, ResultCode::StreamOriginUnknown);
        EXPECT_TRUE(actions.refusals.front().isNotRun);
        EXPECT_GE(actions.refusals.front().retryAfter, std::chrono::seconds(3));
    }

    const StreamResumption unnamed{ {}, EventId{ "3" } };
};

// Guards against a stream of two versions: that no second version is known after a start is no
// sign that there was none.
TEST_F(ResumptionAfterLossOfAllHosts, IsRefusedWithoutTheAttemptThatBeganTheStream)
{
    EXPECT_TRUE(this->arrive(2, "b", this->unnamed).dispatches.empty());
    this->expectRefusedWithoutInvitation(this->passTime(std::chrono::milliseconds(300)));
}

// Guards against a stream of two versions whose caller comes back later than a request may last.
TEST_F(ResumptionAfterLossOfAllHosts, IsRefusedLongAfterTheStart)
{
    this->passTime(std::chrono::minutes(2));
    EXPECT_TRUE(this->arrive(2, "b", this->resumption).dispatches.empty());
    this->expectRefusedWithoutInvitation(this->passTime(std::chrono::milliseconds(300)));
}

// Guards against refusals to callers that never name an attempt, by a host that has just started,
// while another host knows of one version only.
TEST_F(ResumptionAfterLossOfAllHosts, GoesOnWithoutTheAttemptIfAnotherHostKnowsOneVersionOnly)
{
    EXPECT_TRUE(this->arrive(2, "b", this->unnamed).dispatches.empty());
    Gossip answer = this->answerOf("1");
    answer.originAnswers.front().update.key.begunBy = {};
    answer.originAnswers.front().isLoneVersion = true;
    EXPECT_EQ(this->versionAt(this->hear("g", answer)), "1");
}

// Guards against refusals to callers that never name an attempt while all hosts have known one
// version only since the system started.
TEST_F(ResumptionAfterLossOfAllHosts, GoesOnWithoutTheAttemptWhileThereWasOneVersionOnly)
{
    this->state.self.isFirstStart = true;
    this->state.serviceVersions.clear();
    this->passTime(std::chrono::seconds(5));
    const Actions actions = this->arrive(2, "b", this->unnamed);
    EXPECT_TRUE(actions.refusals.empty());
    EXPECT_EQ(this->versionAt(actions), "1");
}

// Guards against streams that nobody can go on with as hosts that started keep their records.
TEST_F(ResumptionAfterLossOfAllHosts, RecordsOfNewStreamsAreSentToOtherHosts)
{
    this->arrive(1, "a");
    Actions actions;
    handle(this->state, AnswerBegan{ RequestNumber{ 1 }, 1 }, this->now, actions);
    actions = this->passTime(std::chrono::milliseconds(100));
    EXPECT_TRUE(std::any_of(actions.gossip.begin(), actions.gossip.end(),
                            [](const SendGossip &sent) { return !sent.message->origins.empty(); }));
}

// Guards against a resumption that states no attempt and is sent anywhere.
TEST_F(StreamResumptionTest, IsRefusedWithoutTheAttemptThatBeganIt)
{
    const Actions actions = this->arrive(2, "b", StreamResumption{ {}, EventId{ "3" } });
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals.front().code, ResultCode::StreamOriginUnknown);
}

} // namespace
} // namespace azurewell::gateway
