// Streams of engines: start, tokens, end, and what is kept of one that broke.
#include "samples_generate.h"

#include "samples_commit.h"
#include "samples_lease.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr std::size_t kMaxLineBytes = 1024 * 1024;
constexpr milliseconds kRefusedPause{500};
constexpr milliseconds kBrokenPause{1000};
const std::string kDataPrefix = "data: ";

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string completionBody(const samples_step &step, const trainer_session &session, const generation &run)
{
    const sample_group &group = *run.group;
    json body = {{"model", group.model.value},
                 {"prompt", group.prompt},
                 {"max_tokens", group.maxTokens},
                 {"stream", true},
                 {"request_id", absl::StrCat(step.state.self.incarnation.value, "-", run.number)}};
    // The oldest step under way is the nearest to whole.
    const bool nearest = session.queue.empty() || group.step <= session.queue.begin()->step;
    body["priority"] = step.enabled("samples.stepPriority") && !nearest ? 1 : 0;
    if (!run.produced.text.empty()) {
        body["resume_text"] = run.produced.text;
        body["resume_tokens"] = countTokens(run.produced);
    }
    return dump(body);
}

/// Takes one event of the stream.
/// @returns false where it is not what an engine sends.
bool takeEvent(generation &run, const json &event)
{
    const bool shaped = event.is_object() && event.contains("choices") && event["choices"].is_array()
                        && !event["choices"].empty() && event["choices"][0].is_object();
    if (!shaped || !event.contains("weight_version") || !event["weight_version"].is_number_unsigned()
        || !event.contains("tokens") || !event["tokens"].is_number_unsigned()) {
        return false;
    }
    const json &choice = event["choices"][0];
    if (!choice.contains("text") || !choice["text"].is_string()) {
        return false;
    }
    appendTokens(run.produced, choice["text"].get<std::string>(),
                 {event["weight_version"].get<std::uint64_t>()}, event["tokens"].get<std::uint64_t>());
    run.produced.finished = run.produced.finished
                            || (choice.contains("finish_reason") && choice["finish_reason"].is_string());
    return true;
}

void takeLine(generation &run, const std::string &line)
{
    if (!line.starts_with(kDataPrefix) || run.malformed) {
        return;
    }
    const std::string data = line.substr(kDataPrefix.size());
    if (data.starts_with("[DONE]")) {
        return;
    }
    run.malformed = !takeEvent(run, json::parse(data, nullptr, false));
}

/// Engines that refuse or break get a pause before the next generation.
void suspendEngine(samples_step &step, const generation &run, milliseconds pause)
{
    const auto engine = step.state.engines.find(run.engine);
    if (engine != step.state.engines.end()) {
        engine->second.suspendedUntil = step.at.now + pause;
    }
}

void releaseEngine(samples_step &step, const generation &run)
{
    const auto engine = step.state.engines.find(run.engine);
    if (engine != step.state.engines.end() && run.stage == generation_stage::streaming) {
        --engine->second.inFlight;
    }
}

void releaseScorer(samples_step &step, const generation &run)
{
    const auto scorer = step.state.scorers.find(run.scorer);
    if (scorer != step.state.scorers.end() && run.stage == generation_stage::scoring) {
        --scorer->second.inFlight;
    }
}

/// Keeps the longest proved text of a slot for the next generation.
void keepPartial(samples_step &step, trainer_session &session, const generation &run)
{
    const bool fresh
            = !isOverBound(run.proved.segments, session.version, step.stalenessBound(session.trainer));
    partial_sample &kept = session.partials[run.slot];
    if (fresh && step.enabled("samples.resumePartials") && countTokens(run.proved) > countTokens(kept)) {
        kept = run.proved;
    }
}

} // namespace

void startGeneration(samples_step &step, trainer_session &session, const sample_slot &slot,
                     engine_record &engine, bool spare)
{
    generation run;
    run.number = ++step.state.lastNumber;
    run.trainer = session.trainer;
    run.slot = slot;
    run.group = session.ledger.groups.at(slot.group).group;
    run.engine = engine.view.id;
    run.engineIncarnation = engine.status->incarnation;
    run.spare = spare;
    run.startedAt = step.at.now;
    if (const auto partial = session.partials.extract(slot); !partial.empty()) {
        const bool stale = isOverBound(partial.mapped().segments, session.version,
                                       step.stalenessBound(session.trainer));
        run.proved = stale || partial.mapped().text.empty() ? partial_sample{} : partial.mapped();
        run.produced = run.proved;
    }
    const operation_id operation = step.begin(generation_stream{run.number});
    run.operation = operation.number;
    call_http call;
    call.operation = operation;
    call.target = engine.view.address;
    call.path = "/v1/completions";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = completionBody(step, session, run);
    call.progressTimeout = step.duration("samples.engineSilenceMs");
    call.streamed = true;
    call.rank = answer_rank::repeatable;
    step.emit(std::move(call));
    step.count("samples_generations_started_total");
    step.count("samples_tokens_resumed_total", static_cast<double>(countTokens(run.proved)));
    ++engine.inFlight;
    session.running[slot].insert(run.number);
    step.state.generations.emplace(run.number, std::move(run));
}

void dropGeneration(samples_step &step, std::uint64_t number, bool keepProved)
{
    const auto found = step.state.generations.find(number);
    if (found == step.state.generations.end()) {
        return;
    }
    const generation run = std::move(found->second);
    step.state.generations.erase(found);
    releaseEngine(step, run);
    releaseScorer(step, run);
    if (step.state.operations.erase(run.operation) > 0) {
        step.emit(cancel_http{{domain::samples, run.operation}});
    }
    trainer_session &session = openSession(step, run.trainer);
    if (const auto runs = session.running.find(run.slot); runs != session.running.end()) {
        runs->second.erase(number);
        if (runs->second.empty()) {
            session.running.erase(runs);
        }
    }
    if (keepProved) {
        keepPartial(step, session, run);
        queueSlot(step, session, run.slot);
    }
}

void dropOthers(samples_step &step, trainer_session &session, const sample_slot &slot, std::uint64_t winner)
{
    const auto found = session.running.find(slot);
    if (found == session.running.end()) {
        return;
    }
    const std::set<std::uint64_t> numbers = found->second;
    for (const std::uint64_t number : numbers) {
        if (number != winner) {
            step.count("samples_copies_cancelled_total");
            dropGeneration(step, number, false);
        }
    }
}

void receiveHead(samples_step &step, generation &run, const http_response_head &head)
{
    static_cast<void>(step);
    run.httpStatus = head.status;
}

void receiveChunk(samples_step &step, generation &run, const http_response_chunk &chunk)
{
    if (run.httpStatus != kHttpOk) {
        return;
    }
    run.unread += chunk.bytes;
    std::size_t begin = 0;
    for (std::size_t end = run.unread.find('\n'); end != std::string::npos;
         end = run.unread.find('\n', begin)) {
        takeLine(run, run.unread.substr(begin, end - begin));
        begin = end + 1;
    }
    run.unread.erase(0, begin);
    run.malformed = run.malformed || run.unread.size() > kMaxLineBytes;
    const trainer_session &session = openSession(step, run.trainer);
    const bool tooOld
            = isOverBound(run.produced.segments, session.version, step.stalenessBound(session.trainer));
    if (run.malformed || (tooOld && !run.produced.segments.empty())) {
        step.count(run.malformed ? "samples_streams_malformed_total" : "samples_expired_in_stream_total");
        suspendEngine(step, run, run.malformed ? kBrokenPause : milliseconds{0});
        dropGeneration(step, run.number, true);
    }
}

void finishStream(samples_step &step, generation &run, const http_call_finished &result)
{
    const bool whole = run.httpStatus == kHttpOk && run.produced.finished && !run.malformed;
    if (!whole) {
        const bool refused = result.outcome == transfer_outcome::complete && run.httpStatus != kHttpOk;
        step.count(refused ? "samples_engine_refusals_total" : "samples_streams_broken_total");
        suspendEngine(step, run, refused ? kRefusedPause : kBrokenPause);
        dropGeneration(step, run.number, true);
        return;
    }
    releaseEngine(step, run);
    run.stage = generation_stage::verifying;
    const auto engine = step.state.engines.find(run.engine);
    if (engine != step.state.engines.end()) {
        engine->second.nextProbeAt = step.at.now;
    }
}

} // namespace jacinthvale
