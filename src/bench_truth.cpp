#include "bench_truth.h"

#include <nlohmann/json.hpp>

namespace jacinthvale::bench {

void checkTruth(truth_tally &tally, call_outcome outcome, int runs)
{
    ++tally.checked;
    const bool answered = outcome == call_outcome::answered || outcome == call_outcome::answered_late;
    tally.doubled += runs > 1 ? 1 : 0;
    tally.untrueNotRun += outcome == call_outcome::not_run && runs > 0 ? 1 : 0;
    tally.answeredWithoutRun += answered && runs == 0 ? 1 : 0;
}

bool addRuns(std::map<std::string, int> &runsByBody, const std::string &counters)
{
    const nlohmann::json answer = nlohmann::json::parse(counters, nullptr, false);
    if (!answer.is_object() || !answer.contains("bodies") || !answer["bodies"].is_object()) {
        return false;
    }
    for (const auto &item : answer["bodies"].items()) {
        if (!item.value().is_number_integer()) {
            return false;
        }
        runsByBody[item.key()] += item.value().get<int>();
    }
    return true;
}

} // namespace jacinthvale::bench
