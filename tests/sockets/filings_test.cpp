#include "host_fixture.h"

namespace azurewell::tests {

using Filings = HostFixture;

/// A filing whose answer does not come whole.
struct CutFiling
{
    bool isHalfAnswered;
    const char *body;
};

std::string nameOf(const ::testing::TestParamInfo<CutFiling> &info)
{
    const std::string answer = info.param.isHalfAnswered ? "HalfAnswer" : "NoAnswer";
    return answer + (*info.param.body == 0 ? "NoBody" : "WithBody");
}

/// Keeps the bytes of the parameter out of the test's name.
void PrintTo(const CutFiling &filing, std::ostream *out) // NOLINT(readability-identifier-naming)
{
    *out << (filing.isHalfAnswered ? "half" : "no") << " answer to \"" << filing.body << '"';
}

class CutFilings : public HostFixture, public ::testing::WithParamInterface<CutFiling>
{
};

// The filing service runs a notice and dies before it answers, or in mid-answer. Sending it again
// would file it twice; saying "not run" would make the caller do that. The caller is told that the
// outcome is not known.
TEST_P(CutFilings, HaveAnUnknownOutcomeAndRunOnce)
{
    this->addEngine();
    this->startHost();
    this->service.closesWithoutAnswer = !GetParam().isHalfAnswered;
    this->service.closesAfterHalfAnswer = GetParam().isHalfAnswered;
    Caller caller(this->port);
    caller.post("/services/filings/notices", GetParam().body);
    const Answer answer = caller.answer();
    EXPECT_EQ(answer.code(), 500);
    EXPECT_EQ(answer.codeInBody(), 500);
    EXPECT_EQ(answer.runState(), "outcome_unknown");
    EXPECT_EQ(this->service.runs, 1U);
}

INSTANTIATE_TEST_SUITE_P(All, CutFilings,
                         ::testing::Values(CutFiling{ false, "{}" }, CutFiling{ true, "{}" },
                                           CutFiling{ false, "" }, CutFiling{ true, "" }),
                         nameOf);

// A call that may be repeated is, and then nobody is left to take it. The first try can have run; a
// refusal that says "not run" because of the second would be untrue.
TEST_F(Filings, NotRunIsNotSaidAfterATryThatCanHaveRun)
{
    this->addEngine();
    this->startHost();
    for (int index = 0; index < 30; ++index) { // earns the budget for a retry
        Caller caller(this->port);
        caller.post("/services/permits/list", "{}");
        ASSERT_EQ(caller.answer().status, 200);
    }
    this->service.closesWithoutAnswer = true;
    Caller caller(this->port);
    caller.post("/services/permits/list", "{}");
    const Answer answer = caller.answer();
    EXPECT_EQ(answer.runState(), "outcome_unknown");
    EXPECT_GE(this->metric("azurewell_retries_total{reason=\"upstream_failed\"}"), 1);
}

// No filing service listens. Nothing was sent, so the caller may send again, and is told so.
TEST_F(Filings, AFilingThatNobodyTookWasNotRun)
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

// The service closes connections that it has answered on, as servers do, while further filings come
// in. A filing sent into a closing connection has an unknown outcome where it need not have had
// one.
TEST_F(Filings, ManyAtOnceRunOnceEach)
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
