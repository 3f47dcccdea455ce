#include "bench_experiment.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace jacinthvale::bench {

namespace {

constexpr std::int64_t kMaxMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr double kMaxRate = 100'000;
constexpr double kMaxRateFactor = 1000;
constexpr std::int64_t kMaxBytes = 8 * 1024 * 1024;

milliseconds readMs(json_checker &item, const std::string &key, milliseconds fallback)
{
    return milliseconds{item.integer(key, 0, kMaxMs, fallback.count())};
}

int readCount(json_checker &item, const std::string &key, std::int64_t minimum, int fallback)
{
    return static_cast<int>(item.integer(key, minimum, kMaxCount, fallback));
}

caller_profile readCaller(json_checker &item)
{
    caller_profile caller;
    caller.name = item.text("name");
    caller.kind = item.oneOf("kind", {"service", "completion"}) == "completion" ? call_kind::completion
                                                                                : call_kind::service;
    caller.target = item.text("target");
    caller.ratePerSecond = item.number("ratePerSecond", 0, kMaxRate);
    caller.deadline = readMs(item, "deadlineMs", caller.deadline);
    caller.callerClass = item.text("callerClass", "");
    caller.idempotent = item.boolean("idempotent", false);
    caller.tickets = item.boolean("tickets", false);
    caller.repeatable = item.boolean("repeatable", false);
    caller.retries = readCount(item, "retries", 0, caller.retries);
    caller.bodyBytes = static_cast<int>(item.integer("bodyBytes", 0, kMaxBytes, caller.bodyBytes));
    caller.maxTokens = readCount(item, "maxTokens", 1, caller.maxTokens);
    caller.streamed = item.boolean("streamed", true);
    caller.expectEcho = item.boolean("expectEcho", false);
    caller.prompts = readCount(item, "prompts", 1, caller.prompts);
    if (caller.tickets && caller.idempotent) {
        item.fault("tickets", "excludes idempotent");
    }
    if (caller.retries > 0 && !caller.idempotent && !caller.repeatable) {
        item.fault("retries", "needs idempotent or repeatable");
    }
    item.finish();
    return caller;
}

trainer_profile readTrainer(json_checker &item)
{
    trainer_profile trainer;
    trainer.trainer = item.text("trainer");
    trainer.token = item.text("token");
    trainer.model = item.text("model");
    trainer.steps = readCount(item, "steps", 1, trainer.steps);
    trainer.groupsPerStep = readCount(item, "groupsPerStep", 1, trainer.groupsPerStep);
    trainer.samplesPerGroup = readCount(item, "samplesPerGroup", 1, trainer.samplesPerGroup);
    trainer.maxTokens = readCount(item, "maxTokens", 1, trainer.maxTokens);
    trainer.stepsAhead = readCount(item, "stepsAhead", 0, trainer.stepsAhead);
    trainer.trainTime = readMs(item, "trainMs", trainer.trainTime);
    trainer.stepLimit = readMs(item, "stepLimitMs", trainer.stepLimit);
    trainer.maxPerPull = readCount(item, "maxPerPull", 1, trainer.maxPerPull);
    trainer.pullWait = readMs(item, "pullWaitMs", trainer.pullWait);
    trainer.firstVersion = static_cast<std::uint64_t>(item.integer("firstVersion", 1, kMaxCount, 1));
    trainer.maxStaleness = readCount(item, "maxStaleness", 0, trainer.maxStaleness);
    item.finish();
    return trainer;
}

load_phase readPhase(json_checker &item)
{
    load_phase phase;
    phase.name = item.text("name");
    phase.length = milliseconds{item.integer("lengthMs", 1, kMaxMs)};
    phase.rateFactor = item.number("rateFactor", 0, kMaxRateFactor, 1.0);
    item.finish();
    return phase;
}

signal_fault readFault(json_checker &item)
{
    signal_fault fault;
    fault.at = milliseconds{item.integer("atMs", 0, kMaxMs)};
    fault.process = item.text("process");
    fault.signal = item.oneOf("signal", {"KILL", "STOP", "CONT", "TERM"});
    item.finish();
    return fault;
}

experiment_variant readVariant(json_checker &item)
{
    experiment_variant variant;
    variant.name = item.text("name");
    variant.targetSet = item.text("targetSet");
    variant.direct = item.boolean("direct", false);
    item.finish();
    return variant;
}

template <typename Read>
auto readList(json_checker &checker, const std::string &key, Read read)
{
    std::vector<decltype(read(checker))> result;
    for (json_checker &item : checker.objects(key)) {
        result.push_back(read(item));
    }
    return result;
}

} // namespace

experiment readExperiment(const std::string &text)
{
    experiment what;
    const nlohmann::json document = parseJson(text, what.problems);
    json_checker checker(document, "$", what.problems);
    what.name = checker.text("name");
    what.seed = static_cast<std::uint64_t>(checker.integer("seed", 0, INT64_MAX));
    what.variants = readList(checker, "variants", readVariant);
    what.phases = readList(checker, "phases", readPhase);
    what.callers = readList(checker, "callers", readCaller);
    what.trainers = readList(checker, "trainers", readTrainer);
    what.faults = readList(checker, "faults", readFault);
    what.drainLimit = readMs(checker, "drainLimitMs", what.drainLimit);
    what.costPeriod = readMs(checker, "costPeriodMs", what.costPeriod);
    if (what.variants.empty()) {
        checker.fault("variants", "needs at least one entry");
    }
    if (what.phases.empty()) {
        checker.fault("phases", "needs at least one entry");
    }
    checker.finish();
    return what;
}

milliseconds loadLength(const experiment &what)
{
    return std::accumulate(what.phases.begin(), what.phases.end(), milliseconds{0},
                           [](milliseconds sum, const load_phase &phase) { return sum + phase.length; });
}

} // namespace jacinthvale::bench
