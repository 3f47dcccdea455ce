// Scores of finished samples.
#include "samples_generate.h"

#include "samples_commit.h"
#include "samples_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kMaxInFlightPerScorer = 64;
constexpr milliseconds kScoreTimeout{10'000};
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kMaxPause{3000};

scorer_record *chooseScorer(samples_step &step)
{
    scorer_record *best = nullptr;
    for (auto &[id, scorer] : step.state.scorers) {
        const bool open = scorer.view.condition == upstream_condition::serving
                          && scorer.suspendedUntil <= step.at.now && scorer.inFlight < kMaxInFlightPerScorer;
        if (open && (best == nullptr || scorer.inFlight < best->inFlight)) {
            best = &scorer;
        }
    }
    return best;
}

void sendScore(samples_step &step, generation &run, scorer_record &scorer)
{
    const operation_id operation = step.begin(generation_scoring{run.number});
    run.operation = operation.number;
    run.stage = generation_stage::scoring;
    run.scorer = scorer.view.id;
    ++run.scoreAttempts;
    ++scorer.inFlight;
    call_http call;
    call.operation = operation;
    call.target = scorer.view.address;
    call.path = "/score";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = json{{"prompt", run.group->prompt}, {"text", run.proved.text}}.dump(
            -1, ' ', false, json::error_handler_t::replace);
    call.progressTimeout = kScoreTimeout;
    call.rank = answer_rank::repeatable;
    step.emit(std::move(call));
}

std::optional<double> readScore(const http_call_finished &result)
{
    if (result.outcome != transfer_outcome::complete || result.status != kHttpOk) {
        return std::nullopt;
    }
    const json value = json::parse(result.body, nullptr, false);
    if (!value.is_object() || !value.contains("score") || !value["score"].is_number()) {
        return std::nullopt;
    }
    return value["score"].get<double>();
}

/// Scoring is repeatable: a failed call is made again elsewhere after a pause.
void retryScore(samples_step &step, generation &run)
{
    constexpr int kMaxDoublings = 5;
    const milliseconds pause
            = std::min(kFirstPause * (1 << std::min(run.scoreAttempts - 1, kMaxDoublings)), kMaxPause);
    run.stage = generation_stage::unscored;
    run.scoreNotBefore = step.at.now + pause;
    step.count("samples_scores_failed_total");
}

} // namespace

void scheduleScoring(samples_step &step)
{
    for (auto &[number, run] : step.state.generations) {
        if (run.stage != generation_stage::unscored || run.scoreNotBefore > step.at.now) {
            continue;
        }
        scorer_record *scorer = chooseScorer(step);
        if (scorer == nullptr) {
            return;
        }
        sendScore(step, run, *scorer);
    }
}

void finishScoring(samples_step &step, generation &run, const http_call_finished &result)
{
    const std::optional<double> score = readScore(result);
    const auto scorer = step.state.scorers.find(run.scorer);
    if (scorer != step.state.scorers.end()) {
        --scorer->second.inFlight;
        scorer->second.suspendedUntil = step.at.now + (score ? milliseconds{0} : kFirstPause);
    }
    if (!score) {
        retryScore(step, run);
        return;
    }
    // The scorer's place is free already; only the record of the run is left to drop.
    run.stage = generation_stage::unscored;
    trainer_session &session = openSession(step, run.trainer);
    finished_sample sample{run.slot, run.proved.segments, run.proved.text, *score};
    session.partials.erase(run.slot);
    dropGeneration(step, run.number, false);
    takeFinished(step, session, std::move(sample));
}

} // namespace jacinthvale
