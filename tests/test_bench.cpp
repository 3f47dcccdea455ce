// jvbench: checked files, arrivals, judgement of answers, quantiles, and the comparison with counted runs.
#include "bench_answer.h"
#include "bench_arrivals.h"
#include "bench_cost.h"
#include "bench_experiment.h"
#include "bench_tally.h"
#include "bench_targets.h"
#include "bench_truth.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::bench;

namespace {

constexpr const char *kSmallest = R"({"name": "n", "seed": 1, "variants": [{"name": "v", "targetSet": "s"}],
    "phases": [{"name": "p", "lengthMs": 1000}]})";

std::vector<arrival> allArrivals(const std::vector<load_phase> &phases, double rate, std::uint64_t seed)
{
    arrival_schedule schedule(phases, rate, seed);
    std::vector<arrival> result;
    while (const auto next = schedule.next()) {
        result.push_back(*next);
    }
    return result;
}

std::string streamEvent(int tokens, const std::string &finishReason)
{
    return R"(data: {"choices":[{"index":0,"text":"x","finish_reason":)" + finishReason + R"(}],"tokens":)"
           + std::to_string(tokens) + "}\n\n";
}

http_call_finished answerWith(int status, const http_headers &headers)
{
    return {{}, transfer_outcome::complete, status, headers, ""};
}

} // namespace

TEST(bench_files, takesTheSmallestExperiment)
{
    EXPECT_TRUE(readExperiment(kSmallest).problems.empty());
}

TEST(bench_files, namesEachFaultWithItsPath)
{
    const experiment what = readExperiment(
            R"({"name": "n", "seed": -1, "variants": [], "phases": [{"name": "p", "lengthMs": 0}],
                "callers": [{"name": "c", "kind": "x", "target": "t", "ratePerSecond": 1, "retries": 2}],
                "unknown": 1})");
    const auto named = [&](const std::string &path) {
        return std::ranges::find(what.problems, path, &json_fault::path) != what.problems.end();
    };
    EXPECT_TRUE(named("$.seed"));
    EXPECT_TRUE(named("$.variants"));
    EXPECT_TRUE(named("$.phases[0].lengthMs"));
    EXPECT_TRUE(named("$.callers[0].kind"));
    EXPECT_TRUE(named("$.callers[0].retries"));
    EXPECT_TRUE(named("$.unknown"));
}

TEST(bench_files, refusesAProcessIdThatIsNoChildOfAScript)
{
    EXPECT_FALSE(readTargets(R"({"sets": [{"name": "s", "processes": [{"name": "x", "pid": 1}]}]})")
                         .problems.empty());
}

RC_GTEST_PROP(bench_arrivals, areTheSameForASeedAndInsideTheirPhases, (std::uint64_t seed))
{
    const std::vector<load_phase> phases
            = {{"a", milliseconds{500}, 1}, {"pause", milliseconds{200}, 0}, {"b", milliseconds{500}, 3}};
    const std::vector<arrival> arrivals = allArrivals(phases, 100, seed);
    RC_ASSERT(arrivals == allArrivals(phases, 100, seed));
    RC_ASSERT(std::ranges::is_sorted(arrivals, {}, &arrival::atMicroseconds));
    RC_ASSERT(std::ranges::all_of(arrivals, [](const arrival &one) {
        return one.phase == 0
                       ? one.atMicroseconds < 500'000
                       : one.phase == 2 && one.atMicroseconds >= 700'000 && one.atMicroseconds < 1'200'000;
    }));
}

TEST(bench_arrivals, keepTheRateOfTheirPhase)
{
    const std::vector<arrival> arrivals
            = allArrivals({{"a", milliseconds{100'000}, 1}, {"b", milliseconds{100'000}, 3}}, 50, 7);
    const auto inFirst = std::ranges::count(arrivals, std::size_t{0}, &arrival::phase);
    EXPECT_NEAR(static_cast<double>(inFirst), 5000, 300);
    EXPECT_NEAR(static_cast<double>(arrivals.size()) - static_cast<double>(inFirst), 15000, 600);
}

TEST(bench_answers, areWholeOnlyWithAllTokensAndTheLastEvent)
{
    const std::string whole = streamEvent(4, "null") + streamEvent(4, R"("length")") + "data: [DONE]\n\n";
    EXPECT_TRUE(isWholeStream(whole, 8));
    EXPECT_FALSE(isWholeStream(whole, 9));
    EXPECT_FALSE(isWholeStream(streamEvent(4, "null") + streamEvent(4, R"("length")"), 8));
    EXPECT_FALSE(isWholeStream(streamEvent(8, "null") + "data: [DONE]\n\n", 8));
    EXPECT_FALSE(isWholeStream(whole + streamEvent(1, "null"), 8));
    EXPECT_FALSE(isWholeStream("data: {\n\n" + whole, 8));
}

TEST(bench_answers, countAsNotRunOnlyWithTheVerdict)
{
    const caller_profile caller;
    const auto judge = [&](const http_call_finished &result) { return judgeAttempt(caller, "", result, ""); };
    EXPECT_EQ(judge(answerWith(503, {{"Jacinthvale-Verdict", "not-run"}})), attempt_result::not_run);
    EXPECT_EQ(judge(answerWith(503, {})), attempt_result::may_have_run);
    EXPECT_EQ(judge({{}, transfer_outcome::failed_after_send, 0, {}, ""}), attempt_result::broken);
    EXPECT_EQ(judge({{}, transfer_outcome::nothing_sent, 0, {}, ""}), attempt_result::unreachable);
}

TEST(bench_answers, ofAnotherRequestAreWrong)
{
    caller_profile caller;
    caller.expectEcho = true;
    EXPECT_EQ(judgeAttempt(caller, "mine", answerWith(200, {}), R"({"body": "mine"})"),
              attempt_result::whole);
    EXPECT_EQ(judgeAttempt(caller, "mine", answerWith(200, {}), R"({"body": "yours"})"),
              attempt_result::wrong);
}

TEST(bench_tally, givesExactQuantilesOfFewValues)
{
    quantile_tally values;
    for (int i = 1; i <= 100; ++i) {
        values.add(i);
    }
    EXPECT_NEAR(values.quantile(0.5), 50, 1);
    EXPECT_NEAR(values.quantile(0.99), 99, 1);
    EXPECT_EQ(values.max(), 100);
}

TEST(bench_truth, findsDoubledRunsAndUntrueVerdicts)
{
    truth_tally tally;
    checkTruth(tally, call_outcome::answered, 1);
    checkTruth(tally, call_outcome::not_run, 0);
    checkTruth(tally, call_outcome::may_have_run, 1);
    checkTruth(tally, call_outcome::broken, 0);
    EXPECT_TRUE(tally.holds());
    checkTruth(tally, call_outcome::answered, 2);
    checkTruth(tally, call_outcome::not_run, 1);
    checkTruth(tally, call_outcome::answered_late, 0);
    EXPECT_EQ(tally.doubled, 1U);
    EXPECT_EQ(tally.untrueNotRun, 1U);
    EXPECT_EQ(tally.answeredWithoutRun, 1U);
    std::map<std::string, int> runs;
    EXPECT_FALSE(addRuns(runs, "{}"));
    EXPECT_TRUE(addRuns(runs, R"({"bodies": {"a": 1}})") && addRuns(runs, R"({"bodies": {"a": 1}})"));
    EXPECT_EQ(runs.at("a"), 2);
}

TEST(bench_cost, readsAProcessWithSpacesInItsName)
{
    const std::string stat = "42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 300 200 13 14 15 16 17 18 19 20 256 22 23";
    const auto reading = parseProcessStat(stat);
    ASSERT_TRUE(reading);
    EXPECT_GT(reading->cpuSeconds, 0);
    EXPECT_GT(reading->residentMegabytes, 0);
    EXPECT_FALSE(parseProcessStat("42 (a) S 1"));
}

TEST(bench_cost, addsCountersWithAPrefix)
{
    EXPECT_EQ(sumOfCounters("a_x 1\na_y{l=\"1\"} 2.5\nb 7\n", "a_"), 3.5);
}
