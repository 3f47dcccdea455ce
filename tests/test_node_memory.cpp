// Load: callers that read their answers slowly, beside callers that read at once, on a host with little
// memory.
#include "node_step.h"

#include <gtest/gtest.h>
#include <jacinthvale/node_memory.h>
#include <rapidcheck/gtest.h>

namespace jacinthvale {

using namespace node;

namespace {

constexpr std::size_t kMb = 1024 * 1024;

paced_answer paced(std::uint64_t id, std::size_t bytes, double bytesPerSecond, bool repeatable = true)
{
    return {{exchange_id{id}, bytes, repeatable}, bytesPerSecond};
}

std::vector<std::uint64_t> idsOf(const std::vector<paced_answer> &answers)
{
    std::vector<std::uint64_t> ids;
    std::ranges::transform(answers, std::back_inserter(ids),
                           [](const paced_answer &answer) { return answer.answer.exchange.value; });
    return ids;
}

} // namespace

TEST(node_memory, endsNothingWhileAllAnswersFit)
{
    EXPECT_TRUE(answersToEnd({paced(1, 10 * kMb, 0), paced(2, 20 * kMb, 1)}, 30 * kMb).empty());
}

TEST(node_memory, endsTheSlowestReadersOfAnswersThatCanBeAskedForAgain)
{
    const std::vector<paced_answer> answers{paced(1, 10 * kMb, 1e6), paced(2, 10 * kMb, 1e3),
                                            paced(3, 10 * kMb, 10, false), paced(4, 10 * kMb, 1e5)};
    // The reader of 1 KB/s goes, then the next slower one; the answer that cannot be repeated stays.
    EXPECT_EQ(idsOf(answersToEnd(answers, 30 * kMb)), (std::vector<std::uint64_t>{2, 4}));
}

TEST(node_memory, measuresHowFastCallersRead)
{
    answer_paces paces;
    const instant start{milliseconds{1000}};
    paceAnswers(paces, {{exchange_id{1}, 5000, true}, {exchange_id{2}, 100, false}}, start);
    const auto later = paceAnswers(paces, {{exchange_id{1}, 3000, true}, {exchange_id{2}, 900, false}},
                                   start + milliseconds{2000});
    EXPECT_DOUBLE_EQ(later.at(0).bytesPerSecond, 1000);
    EXPECT_DOUBLE_EQ(later.at(1).bytesPerSecond, 0);
    EXPECT_TRUE(paceAnswers(paces, {}, start + milliseconds{3000}).empty());
    EXPECT_TRUE(paces.empty());
}

RC_GTEST_PROP(node_memory, whatStaysFitsAndNoMoreIsEndedThanNeeded, ())
{
    const auto sizes
            = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 4 * kMb));
    std::vector<paced_answer> answers;
    std::size_t held = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        answers.push_back(paced(i, sizes[i], *rc::gen::inRange(0, 100'000), *rc::gen::arbitrary<bool>()));
        held += sizes[i];
    }
    const std::size_t budget = 8 * kMb;
    const std::vector<paced_answer> ended = answersToEnd(answers, budget);
    std::size_t freed = 0;
    for (const paced_answer &answer : ended) {
        freed += answer.answer.bytes;
    }
    const bool fits = held <= budget ? ended.empty() : held - freed <= budget;
    RC_ASSERT(fits);
    const bool needed = ended.empty() || held - freed + ended.back().answer.bytes > budget * 4 / 5;
    RC_ASSERT(needed);
}

TEST(node_memory, reducerEndsSlowReadersAndTellsWhy)
{
    node_identity self;
    self.host = {"h"};
    self.answerMemory = 8 * kMb;
    node_state state = makeNodeState(self);
    const context ctx{instant{milliseconds{5000}}, {}, 1};
    const effects fitting = reduce(state, answers_unread{{{exchange_id{1}, 7 * kMb, true}}}, ctx);
    EXPECT_TRUE(std::ranges::none_of(fitting,
                                     [](const effect &e) { return std::holds_alternative<end_answer>(e); }));
    const effects full = reduce(
            state, answers_unread{{{exchange_id{1}, 7 * kMb, true}, {exchange_id{2}, 2 * kMb, true}}}, ctx);
    const auto ended = std::ranges::find_if(
            full, [](const effect &e) { return std::holds_alternative<end_answer>(e); });
    ASSERT_NE(ended, full.end());
    EXPECT_EQ(std::get<end_answer>(*ended).exchange, exchange_id{1});
    EXPECT_TRUE(std::ranges::any_of(full, [](const effect &e) {
        const auto *line = std::get_if<log_decision>(&e);
        return line != nullptr && line->eventName == "slow-reader-ended";
    }));
}

} // namespace jacinthvale
