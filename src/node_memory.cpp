#include "node_step.h"

#include <algorithm>
#include <numeric>

namespace jacinthvale::node {

namespace {

/// Share of the budget that the answers may fill after some were ended, so that the next one does not end
/// another.
constexpr double kTargetShare = 0.8;

/// Speed of a reader that has read nothing yet.
constexpr double kMinBytesPerSecond = 1;

double secondsToRead(const paced_answer &paced)
{
    return static_cast<double>(paced.answer.bytes) / std::max(kMinBytesPerSecond, paced.bytesPerSecond);
}

std::size_t bytesOf(const std::vector<paced_answer> &answers)
{
    return std::accumulate(
            answers.begin(), answers.end(), std::size_t{0},
            [](std::size_t sum, const paced_answer &paced) { return sum + paced.answer.bytes; });
}

} // namespace

std::vector<paced_answer> paceAnswers(answer_paces &paces, const std::vector<unread_answer> &answers,
                                      instant now)
{
    answer_paces current;
    std::vector<paced_answer> paced;
    for (const unread_answer &answer : answers) {
        const auto known = paces.find(answer.exchange);
        answer_pace &pace = current[answer.exchange];
        pace = known == paces.end() ? answer_pace{answer.bytes, now} : known->second;
        // A stream that grows is measured anew.
        if (pace.firstBytes < answer.bytes) {
            pace = {answer.bytes, now};
        }
        const double seconds = std::chrono::duration<double>(now - pace.firstAt).count();
        const auto read = static_cast<double>(pace.firstBytes - answer.bytes);
        paced.push_back({answer, seconds > 0 ? read / seconds : 0});
    }
    paces = std::move(current);
    return paced;
}

std::vector<paced_answer> answersToEnd(std::vector<paced_answer> answers, std::size_t budget)
{
    std::size_t held = bytesOf(answers);
    if (held <= budget) {
        return {};
    }
    std::ranges::sort(answers, std::greater<>{}, [](const paced_answer &paced) {
        return std::make_tuple(paced.answer.repeatable, secondsToRead(paced), paced.answer.exchange);
    });
    const auto target = static_cast<std::size_t>(kTargetShare * static_cast<double>(budget));
    const auto end = std::ranges::find_if(answers, [&](const paced_answer &paced) {
        const bool fits = held <= target;
        held -= fits ? 0 : paced.answer.bytes;
        return fits;
    });
    answers.erase(end, answers.end());
    return answers;
}

void onAnswersUnread(step &s, const answers_unread &measured)
{
    const std::vector<paced_answer> paced = paceAnswers(s.state.answerPaces, measured.answers, s.ctx.now);
    for (const paced_answer &ended : answersToEnd(paced, s.state.self.answerMemory)) {
        s.log("slow-reader-ended", std::to_string(ended.answer.exchange.value),
              "answers that callers have not read exceed the memory for them",
              {{"unreadBytes", static_cast<std::int64_t>(ended.answer.bytes)},
               {"bytesPerSecond", static_cast<std::int64_t>(ended.bytesPerSecond)},
               {"heldBytes", static_cast<std::int64_t>(bytesOf(paced))},
               {"budgetBytes", static_cast<std::int64_t>(s.state.self.answerMemory)}});
        s.emit(count{"slow_readers_ended_total"});
        s.emit(end_answer{ended.answer.exchange});
    }
    s.emit(observe{"unread_answer_bytes", static_cast<double>(bytesOf(paced))});
}

} // namespace jacinthvale::node
