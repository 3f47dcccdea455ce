// The operators' command line: values, scopes, exit codes, differences and merged time lines.
#include "ctl_commands.h"
#include "ctl_output.h"

#include <gtest/gtest.h>

using namespace jacinthvale;
using nlohmann::json;

namespace {

ctl_answer answerWith(int status, json body)
{
    ctl_answer answer;
    answer.outcome = transfer_outcome::complete;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

json entryAt(std::int64_t ms, std::int64_t counter, const std::string &host, const std::string &what)
{
    return {{"ms", ms},         {"counter", counter}, {"host", host},
            {"incarnation", 1}, {"sequence", 1},      {"what", what}};
}

} // namespace

TEST(ctl, readsValuesAndScopes)
{
    EXPECT_EQ(parseValue("true"), json(true));
    EXPECT_EQ(parseValue("12"), json(12));
    EXPECT_EQ(parseValue("12 s"), json("12 s"));
    std::string problem;
    EXPECT_EQ(parseScope("trainer=t,upstream=u", problem), (json{{"trainer", "t"}, {"upstream", "u"}}));
    EXPECT_EQ(problem, "");
    parseScope("planet=mars", problem);
    EXPECT_NE(problem, "");
}

TEST(ctl, tellsOutcomesApartByExitCode)
{
    EXPECT_EQ(exitOf(answerWith(200, {{"result", "accepted"}})), ctl_exit::done);
    EXPECT_EQ(exitOf(answerWith(400, {{"result", "refused"}})), ctl_exit::refused);
    EXPECT_EQ(exitOf(answerWith(401, json::object())), ctl_exit::refused);
    EXPECT_EQ(exitOf(answerWith(409, {{"result", "conflict"}})), ctl_exit::conflict);
    EXPECT_EQ(exitOf(answerWith(504, {{"result", "unknown"}})), ctl_exit::unknown);
    EXPECT_EQ(exitOf({}), ctl_exit::failed);
}

TEST(ctl, mergesTimeLinesInCausalOrderAndNamesGaps)
{
    const ctl_answer first
            = answerWith(200, {{"host", "a"},
                               {"lost", 3},
                               {"entries", {entryAt(5, 0, "a", "sent"), entryAt(9, 0, "a", "end")}}});
    const ctl_answer second
            = answerWith(200, {{"host", "b"}, {"lost", 0}, {"entries", {entryAt(5, 1, "b", "received")}}});
    const merged_timeline merged = mergeTimelines({first, second, {}});
    ASSERT_EQ(merged.entries.size(), 3U);
    EXPECT_EQ(merged.entries[1]["what"], "received");
    EXPECT_EQ(merged.gaps.size(), 2U);
}

TEST(ctl, comparesDocuments)
{
    const json before = {{"defaults", {{"a", 1}, {"b", 2}}}};
    const json after = {
            {"defaults", {{"a", 1}, {"b", 3}}},
            {"exceptions", {{{"key", "a"}, {"scope", {{"trainer", "t"}}}, {"value", 4}, {"reason", "r"}}}}};
    const auto differences = compareDocuments(before, after);
    ASSERT_EQ(differences.size(), 2U);
    EXPECT_EQ(differences[1], (config_difference{"b", "2", "3"}));
}
