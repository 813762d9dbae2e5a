#include "host_fixture.h"

namespace azurewell::tests {

using Filings = HostFixture;

/// A filing whose answer is interrupted.
struct InterruptedFiling
{
    bool isHalfAnswered;
    const char *body;
};

std::string testName(const ::testing::TestParamInfo<InterruptedFiling> &info)
{
    const std::string answer = info.param.isHalfAnswered ? "HalfAnswer" : "NoAnswer";
    return answer + (*info.param.body == 0 ? "NoBody" : "WithBody");
}

/// Keeps the raw bytes of the parameter out of the test name.
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const InterruptedFiling &filing, std::ostream *out)
{
    *out << (filing.isHalfAnswered ? "half" : "no") << " answer to \"" << filing.body << '"';
}

class InterruptedFilings : public HostFixture,
                           public ::testing::WithParamInterface<InterruptedFiling>
{
};

// The filing service runs a notice and closes the connection before or during its answer. A retry
// would file the notice twice, and "not run" would make the caller retry: the outcome is unknown.
TEST_P(InterruptedFilings, HaveAnUnknownOutcomeAndRunOnce)
{
    this->addEngine();
    this->startHost();
    this->service.closesWithoutResponse = !GetParam().isHalfAnswered;
    this->service.closesMidResponse = GetParam().isHalfAnswered;
    Caller caller(this->port);
    caller.post("/services/filings/notices", GetParam().body);
    const Answer answer = caller.answer();
    EXPECT_EQ(answer.code(), 500);
    EXPECT_EQ(answer.codeInBody(), 500);
    EXPECT_EQ(answer.runState(), "outcome_unknown");
    EXPECT_EQ(this->service.runs, 1U);
}

INSTANTIATE_TEST_SUITE_P(All, InterruptedFilings,
                         ::testing::Values(InterruptedFiling{ false, "{}" },
                                           InterruptedFiling{ true, "{}" },
                                           InterruptedFiling{ false, "" },
                                           InterruptedFiling{ true, "" }),
                         testName);

// Guards against "not run" after a retry that could not be sent: the first attempt may have run.
TEST_F(Filings, NotRunIsNotReportedAfterAnAttemptThatMayHaveRun)
{
    this->addEngine();
    this->startHost();
    for (int index = 0; index < 30; ++index) { // accumulates the budget for a retry
        Caller caller(this->port);
        caller.post("/services/permits/list", "{}");
        ASSERT_EQ(caller.answer().status, 200);
    }
    this->service.closesWithoutResponse = true;
    Caller caller(this->port);
    caller.post("/services/permits/list", "{}");
    const Answer answer = caller.answer();
    EXPECT_EQ(answer.runState(), "outcome_unknown");
    EXPECT_GE(this->metric("azurewell_retries_total{reason=\"upstream_failed\"}"), 1);
}

// No filing service listens. Nothing was sent, so the caller may retry: "not run".
TEST_F(Filings, AFilingThatNoServiceAcceptedIsReportedNotRun)
{
    this->addEngine();
    this->startHost();
    this->service.close();
    Caller caller(this->port);
    caller.post("/services/filings/notices", "{}");
    const Answer answer = caller.answer();
    EXPECT_GE(answer.code(), 400);
    EXPECT_LT(answer.code(), 500);
    EXPECT_EQ(answer.runState(), "not_run");
}

// Guards against filings with an unnecessarily unknown outcome: the service closes its connections
// after answering, and a filing sent on a closing connection may or may not have run.
TEST_F(Filings, ConcurrentFilingsRunOnceEach)
{
    this->addEngine();
    this->startHost();
    for (int round = 0; round < 5; ++round) {
        std::vector<std::unique_ptr<Caller>> callers;
        for (int index = 0; index < 40; ++index) {
            callers.push_back(std::make_unique<Caller>(this->port));
            callers.back()->post("/services/filings/notices",
                                 QByteArray::number(round * 100 + index));
        }
        for (const std::unique_ptr<Caller> &caller : callers)
            EXPECT_EQ(caller->answer().status, 200);
    }
    EXPECT_EQ(this->service.runsByBody.size(), 200U);
    for (const auto &[body, runs] : this->service.runsByBody)
        EXPECT_EQ(runs, 1U) << body;
}

} // namespace azurewell::tests
