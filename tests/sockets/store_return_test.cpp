#include "node_fleet.h"

#include "azurewell/http/clock.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace azurewell::tests {

using namespace platform::testing;

namespace {

/// A confirmed change is in force at all hosts after this time.
constexpr Span propagationBound = std::chrono::seconds(2);
/// The platform calls its store stable this long after a disruption; the bound on removed servers
/// holds for what it acknowledges from then on.
constexpr Span untilStable = std::chrono::seconds(3);
constexpr Span absenceLength = std::chrono::milliseconds(700);
constexpr Span probeInterval = std::chrono::milliseconds(250);
/// From a return until what was lost is written again.
constexpr Span gapLength = std::chrono::seconds(4);

constexpr const char *service = "s";
constexpr const char *keptPrefix = "/kept/";       ///< In all versions.
constexpr const char *droppedPrefix = "/dropped/"; ///< Until the third version.
constexpr const char *lockedPrefix = "/locked/";   ///< In all versions; needs a key.
constexpr const char *addedPrefix = "/added/";     ///< From the second version, which is lost.
constexpr const char *newPrefix = "/new/";         ///< From the third version.
constexpr const char *newestPrefix = "/newest/";   ///< From the fourth version.
constexpr const char *keptKey = "key-kept";
constexpr const char *removedKey = "key-removed"; ///< Until the second version.

PlainConfiguration configurationOf(std::uint64_t version)
{
    PlainConfiguration configuration;
    configuration.version = version;
    configuration.callerKeys = { keptKey };
    configuration.routes = { { keptPrefix, service }, { lockedPrefix, service, false } };
    if (version < 2)
        configuration.callerKeys.emplace_back(removedKey);
    if (version < 3)
        configuration.routes.push_back({ droppedPrefix, service });
    if (version >= 2)
        configuration.routes.push_back({ addedPrefix, service });
    if (version >= 3)
        configuration.routes.push_back({ newPrefix, service });
    if (version >= 4)
        configuration.routes.push_back({ newestPrefix, service });
    return configuration;
}

} // namespace

class StoreReturn : public ::testing::Test
{
protected:
    StoreReturn()
    {
        this->fleet.addServer(service);
        this->fleet.addServer(service);
        for (const std::unique_ptr<PlainServer> &server : this->fleet.servers)
            this->fleet.writeEntry(*server);
        this->fleet.write(configurationOf(1));
    }

    ~StoreReturn() override
    {
        if (!HasFailure())
            return;
        this->fleet.logs.setAutoRemove(false);
        fmt::print("logs of the hosts: {}\n", this->fleet.logs.path().toStdString());
    }

    void startHosts(std::size_t count)
    {
        for (std::size_t host = 0; host < count; ++host)
            this->fleet.startHost(host, true);
        for (std::size_t host = 0; host < count; ++host)
            ASSERT_TRUE(this->waitUntilReady(host));
    }

    bool waitUntilReady(std::size_t host)
    {
        return waitUntil([this, host] { return this->fleet.isReady(host); });
    }

    PlainServer &leavingServer()
    {
        return *this->fleet.servers[1];
    }

    /// Writes what a return loses: the second version, and that a server leaves.
    void writeLostChanges()
    {
        // The first revisions of the next era are below those of what the hosts know.
        for (int i = 0; i < 20; ++i)
            this->fleet.writeEntry(*this->fleet.servers[0]);
        this->fleet.write(configurationOf(2));
        this->leavingServer().statement.isLeaving = true;
        this->fleet.writeEntry(this->leavingServer());
    }

    /// Keeps a copy, then writes changes that it doesn't have and lets them come into force.
    void confirmLostChanges(std::size_t hosts = NodeFleet::size)
    {
        this->copy = this->fleet.store.copy();
        this->writeLostChanges();
        runUntil(monotonicNow() + propagationBound);
        this->leavingServer().requests = 0;
        for (std::size_t host = 0; host < hosts; ++host)
            this->probeLostChanges(host);
        ASSERT_EQ(this->takeFaults(), "") << "before the return";
    }

    void writeLostChangesAgain()
    {
        this->fleet.write(configurationOf(2));
        for (const std::unique_ptr<PlainServer> &server : this->fleet.servers)
            this->fleet.writeEntry(*server);
    }

    /// The store is away for a moment and comes back from the copy.
    void loseChanges(Absence absence)
    {
        this->fleet.store.setAbsence(absence);
        runUntil(monotonicNow() + absenceLength);
        this->fleet.store.returnFrom(this->copy);
        this->fleet.store.setAbsence(Absence::None);
    }

    void probe(std::size_t host, const char *prefix, int expected, const char *key = "")
    {
        const int status = this->fleet.status(host, prefix, key);
        if (status != expected)
            ++this->faults[fmt::format("{}{} at host {}: {}", prefix, key, host + 1, status)];
    }

    /// Whether \a host acts by the second version and doesn't use the server that leaves.
    void probeLostChanges(std::size_t host)
    {
        this->probe(host, keptPrefix, 200);
        this->probe(host, addedPrefix, 200);
        this->probe(host, lockedPrefix, 200, keptKey);
        this->probe(host, lockedPrefix, 401, removedKey);
        const std::uint64_t wrong = std::exchange(this->leavingServer().requests, 0);
        if (wrong > 0)
            this->faults[fmt::format("requests of host {} to the leaving server", host + 1)]
                    += wrong;
    }

    void probeLostChangesUntil(Instant deadline)
    {
        while (monotonicNow() < deadline) {
            for (std::size_t host = 0; host < NodeFleet::size; ++host)
                this->probeLostChanges(host);
            runUntil(monotonicNow() + probeInterval);
        }
    }

    /// Writes \a version, which the copy doesn't have, and checks it once it must be in force.
    void expectInForce(std::uint64_t version)
    {
        this->fleet.write(configurationOf(version));
        this->expectInForceBy(version, monotonicNow() + propagationBound);
    }

    void expectInForceBy(std::uint64_t version, Instant deadline,
                         std::size_t hosts = NodeFleet::size)
    {
        runUntil(deadline);
        for (std::size_t host = 0; host < hosts; ++host) {
            this->probe(host, keptPrefix, 200);
            this->probe(host, droppedPrefix, version >= 3 ? 404 : 200);
            this->probe(host, newPrefix, version >= 3 ? 200 : 404);
            this->probe(host, newestPrefix, version >= 4 ? 200 : 404);
        }
        EXPECT_EQ(this->takeFaults(), "") << "version " << version << " must be in force";
    }

    /// Sends requests through all hosts; returns how many of them \a server got.
    std::uint64_t requestsTo(PlainServer &server)
    {
        constexpr int requestsOfHost = 8;
        server.requests = 0;
        for (std::size_t host = 0; host < NodeFleet::size; ++host) {
            for (int i = 0; i < requestsOfHost; ++i)
                this->probe(host, keptPrefix, 200);
        }
        EXPECT_EQ(this->takeFaults(), "");
        return server.requests;
    }

    void removeEntry(const PlainServer &server)
    {
        this->fleet.store.remove(engineKey(server.statement.id), monotonicNow());
    }

    /// What probes have shown, with their numbers; empty if nothing was wrong.
    std::string takeFaults()
    {
        std::string text;
        for (const auto &[fault, count] : std::exchange(this->faults, {}))
            text += fmt::format("{} ({} times)\n", fault, count);
        return text;
    }

    /// The store answers for longer than the propagation bound as it did in another era, with a
    /// version that no one confirmed in this one. Expects that no host uses it.
    void expectUnusedInEra(std::uint64_t era)
    {
        ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
        ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
        this->loseChanges(Absence::Reset);
        this->writeLostChangesAgain();
        this->expectInForce(3);
        const StoreStandin::Copy current = this->fleet.store.copy();
        const std::uint64_t currentEra = this->fleet.store.era;
        this->fleet.store.returnFrom(current);
        this->fleet.store.era = era;
        this->fleet.store.skipRevisions(1000);
        this->fleet.write(configurationOf(9));
        this->expectInForceBy(3, monotonicNow() + propagationBound + probeInterval);
        this->fleet.store.returnFrom(current);
        this->fleet.store.era = currentEra;
        this->expectInForce(4);
    }

    NodeFleet fleet;
    StoreStandin::Copy copy;
    std::map<std::string, std::uint64_t> faults;
    QObject context; ///< Ends the timers with the test.
};

// Guards against hosts that drop the changes after a return, as their revisions aren't above those
// known.
TEST_F(StoreReturn, AChangeAfterItIsInForceWithinTheBound)
{
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->loseChanges(Absence::Reset);
    this->writeLostChangesAgain();
    this->expectInForce(3);
}

// Guards against hosts that go back to the copy when nothing of what was lost is written yet: a
// lost route is refused, a removed key opens a route, a leaving server is used.
TEST_F(StoreReturn, WhatWasConfirmedBeforeItStaysInForce)
{
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->loseChanges(Absence::NoAnswer);
    this->probeLostChangesUntil(monotonicNow() + gapLength);
    EXPECT_EQ(this->takeFaults(), "") << "before the lost changes are written again";
    this->writeLostChangesAgain();
    this->probeLostChangesUntil(monotonicNow() + propagationBound);
    EXPECT_EQ(this->takeFaults(), "") << "after the lost changes are written again";
}

// Guards against hosts that learn of a return from a 410 only: the counter has passed what they
// know before they ask, and a watch hides the changes below it.
TEST_F(StoreReturn, IsNoticedWhenTheCounterHasPassedTheKnownRevision)
{
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->fleet.store.setAbsence(Absence::Rejection);
    runUntil(monotonicNow() + absenceLength);
    this->fleet.store.returnFrom(this->copy);
    this->writeLostChangesAgain();
    this->fleet.write(configurationOf(3));
    this->fleet.store.skipRevisions(1000);
    this->fleet.store.setAbsence(Absence::None);
    this->expectInForceBy(3, monotonicNow() + propagationBound);
    this->expectInForce(4);
}

// Guards against hosts that follow one return only, and against a change of the era in between
// that is lost by the next return.
TEST_F(StoreReturn, IsFollowedByOthers)
{
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->loseChanges(Absence::Reset);
    this->writeLostChangesAgain();
    this->expectInForce(3);
    this->loseChanges(Absence::NoAnswer);
    this->loseChanges(Absence::Reset);
    this->expectInForceBy(3, monotonicNow() + propagationBound);
    this->expectInForce(4);
}

// Guards against a listing that is put together of pages of two eras: the watch begins at the
// revision of the first page, which the next era gives out again.
TEST_F(StoreReturn, BetweenThePagesOfAListingLosesNoChange)
{
    constexpr int otherItems = 600; // more than a page holds
    for (int i = 0; i < otherItems; ++i)
        this->fleet.store.write(fmt::format("note/{:04}", i), "{}", monotonicNow());
    this->copy = this->fleet.store.copy();
    for (int i = 0; i < 20; ++i)
        this->fleet.writeEntry(*this->fleet.servers[0]);
    Instant writtenAt;
    const auto writeNext = [this, &writtenAt] {
        this->fleet.write(configurationOf(3));
        this->fleet.store.skipRevisions(1000);
        writtenAt = monotonicNow();
    };
    this->fleet.store.onFurtherPage = [this, &writeNext] {
        this->fleet.store.returnFrom(this->copy);
        QTimer::singleShot(0, &this->context, writeNext); // after the answer with this page
    };
    ASSERT_NO_FATAL_FAILURE(this->startHosts(1));
    ASSERT_NE(writtenAt.micros, 0);
    this->expectInForceBy(3, writtenAt + propagationBound, 1);
    for (std::size_t host = 1; host < NodeFleet::size; ++host)
        this->fleet.startHost(host, true);
    for (std::size_t host = 1; host < NodeFleet::size; ++host)
        ASSERT_TRUE(this->waitUntilReady(host));
    this->expectInForce(4);
}

// Guards against a host that starts before what was lost is written again and serves by the copy,
// although its peers know better.
TEST_F(StoreReturn, AHostThatStartsAfterItServesByWhatItsPeersKnow)
{
    constexpr std::size_t last = NodeFleet::size - 1;
    ASSERT_NO_FATAL_FAILURE(this->startHosts(last));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges(last));
    this->loseChanges(Absence::Reset);
    this->fleet.startHost(last, false);
    ASSERT_TRUE(this->waitUntilReady(last));
    this->probeLostChanges(last);
    EXPECT_EQ(this->takeFaults(), "") << "at its first ready answer";
    this->probeLostChangesUntil(monotonicNow() + gapLength);
    EXPECT_EQ(this->takeFaults(), "") << "before the lost changes are written again";
    this->writeLostChangesAgain();
    this->expectInForce(3);
}

// Guards against a host that the store rejects and that takes what its peers forward of the new era
// for older than what it knows.
TEST_F(StoreReturn, AHostThatTheStoreRejectsFollowsItsPeers)
{
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->fleet.isRejected.back() = true;
    this->loseChanges(Absence::Reset);
    this->writeLostChangesAgain();
    this->expectInForce(3);
    this->expectInForce(4);
}

// Guards against a server that is used again since the copy still lists it, and against one that
// is used on although its removal is confirmed in the new era.
TEST_F(StoreReturn, ARemovedServerIsNotUsed)
{
    PlainServer &lost = *this->fleet.servers[0];
    PlainServer &removedLater = *this->fleet.servers[1];
    this->fleet.addServer(service);
    this->fleet.writeEntry(*this->fleet.servers.back());
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    EXPECT_GT(this->requestsTo(lost), 0U);
    this->copy = this->fleet.store.copy();
    for (int i = 0; i < 20; ++i)
        this->fleet.writeEntry(removedLater);
    this->removeEntry(lost);
    runUntil(monotonicNow() + propagationBound);
    ASSERT_EQ(this->requestsTo(lost), 0U);
    this->loseChanges(Absence::Reset);
    const Instant stableAt = monotonicNow() + untilStable;
    while (monotonicNow() < stableAt) {
        runUntil(std::min(stableAt, monotonicNow() + probeInterval));
        EXPECT_EQ(this->requestsTo(lost), 0U) << "its removal was confirmed before the return";
    }
    this->removeEntry(lost);
    this->fleet.writeEntry(removedLater);
    EXPECT_GT(this->requestsTo(removedLater), 0U);
    this->removeEntry(removedLater);
    runUntil(monotonicNow() + propagationBound);
    EXPECT_EQ(this->requestsTo(lost), 0U);
    EXPECT_EQ(this->requestsTo(removedLater), 0U) << "its removal was confirmed after the return";
}

// Guards against a server that stays unused for good: it had said that it leaves, and has started
// again under its id since, with counts that start anew.
TEST_F(StoreReturn, AServerThatStartsAgainAfterItIsUsed)
{
    PlainServer &server = this->leavingServer();
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->loseChanges(Absence::Reset);
    this->writeLostChangesAgain();
    runUntil(monotonicNow() + propagationBound);
    EXPECT_EQ(this->requestsTo(server), 0U);
    server.statement.isLeaving = false;
    server.statement.start = static_cast<std::int64_t>(wallMillis());
    server.statement.count = 0;
    this->fleet.writeEntry(server);
    runUntil(monotonicNow() + propagationBound);
    EXPECT_GT(this->requestsTo(server), 0U);
}

// Guards against hosts that demand an era of a store that states none.
TEST_F(StoreReturn, AChangeIsInForceAtAStoreThatStatesNoEra)
{
    this->fleet.store.era = 0;
    ASSERT_NO_FATAL_FAILURE(this->startHosts(NodeFleet::size));
    ASSERT_NO_FATAL_FAILURE(this->confirmLostChanges());
    this->expectInForce(3);
}

// Guards against the use of an answer that was overtaken by one of a newer era.
TEST_F(StoreReturn, AnAnswerOfAnOlderEraIsNotUsed)
{
    this->expectUnusedInEra(1);
}

// Guards against the use of an answer of unknown age once the store has stated its era.
TEST_F(StoreReturn, AnAnswerWithoutAnEraIsNotUsedAfterOneWithIt)
{
    this->expectUnusedInEra(0);
}

} // namespace azurewell::tests
