#include "bench_report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace jacinthvale::bench {

namespace {

using json = nlohmann::ordered_json;

constexpr double kMedian = 0.5;
constexpr double kNinetieth = 0.9;
constexpr double kNinetyNinth = 0.99;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kPercent = 100;

json toJson(const quantile_tally &values)
{
    return {{"count", values.count()},
            {"mean", values.mean()},
            {"p50", values.quantile(kMedian)},
            {"p90", values.quantile(kNinetieth)},
            {"p99", values.quantile(kNinetyNinth)},
            {"max", values.max()}};
}

double goodput(const call_tally &tally, const load_phase &phase)
{
    return static_cast<double>(tally.of(call_outcome::answered)) * kMillisecondsPerSecond
           / static_cast<double>(phase.length.count());
}

json toJson(const call_tally &tally, const load_phase &phase)
{
    json outcomes;
    for (std::size_t i = 0; i < kCallOutcomes; ++i) {
        outcomes[std::string(toString(static_cast<call_outcome>(i)))] = tally.outcomes.at(i);
    }
    return {{"phase", phase.name},
            {"rateFactor", phase.rateFactor},
            {"arrivals", tally.arrivals},
            {"retries", tally.retries},
            {"outcomes", outcomes},
            {"goodputPerSecond", goodput(tally, phase)},
            {"latencyMs", toJson(tally.latency)},
            {"firstByteMs", toJson(tally.firstByte)},
            {"startDelayMs", toJson(tally.startDelay)}};
}

json toJson(const caller_load &caller, const std::vector<load_phase> &phases)
{
    json list = json::array();
    for (std::size_t i = 0; i < phases.size(); ++i) {
        list.push_back(toJson(caller.tallies()[i], phases[i]));
    }
    return {{"name", caller.profile().name}, {"phases", std::move(list)}};
}

double idleShare(const trainer_tally &tally)
{
    return tally.elapsed.count() == 0
                   ? 0
                   : static_cast<double>(tally.idle.count()) / static_cast<double>(tally.elapsed.count());
}

json toJson(const trainer_load &trainer)
{
    const trainer_tally &tally = trainer.tally();
    return {{"trainer", trainer.profile().trainer},
            {"accountedFor", tally.accountedFor()},
            {"stepsWhole", tally.stepsWhole},
            {"stepsWanted", tally.stepsWanted},
            {"samplesExpected", tally.samplesExpected},
            {"samplesDelivered", tally.samplesDelivered},
            {"duplicates", tally.duplicates},
            {"unknownSamples", tally.unknownSamples},
            {"overBound", tally.overBound},
            {"tombstones", tally.tombstones},
            {"outOfOrder", tally.outOfOrder},
            {"malformed", tally.malformed},
            {"failedCalls", tally.failedCalls},
            {"idleMs", tally.idle.count()},
            {"elapsedMs", tally.elapsed.count()},
            {"idleShare", idleShare(tally)},
            {"stalenessVersions", toJson(tally.staleness)},
            {"stepMs", toJson(tally.stepTime)}};
}

json toJson(const process_cost &cost)
{
    return {{"process", cost.process.name},
            {"cpuPercentOfCore", cost.cpuPercent()},
            {"residentMegabytes", cost.maxResidentMegabytes},
            {"peerKilobytesPerSecond", cost.peerKilobytesPerSecond()}};
}

json toJson(const truth_tally &truth)
{
    return {{"checked", truth.checked},
            {"doubled", truth.doubled},
            {"untrueNotRun", truth.untrueNotRun},
            {"answeredWithoutRun", truth.answeredWithoutRun}};
}

json toJson(const variant_run &variant, const std::vector<load_phase> &phases)
{
    json callers = json::array();
    for (const auto &caller : variant.callers) {
        callers.push_back(toJson(*caller, phases));
    }
    json trainers = json::array();
    for (const auto &trainer : variant.trainers) {
        trainers.push_back(toJson(*trainer));
    }
    json costs = json::array();
    if (variant.costs != nullptr) {
        for (const process_cost &cost : variant.costs->costs()) {
            costs.push_back(toJson(cost));
        }
    }
    return {{"variant", variant.variant.name},
            {"direct", variant.variant.direct},
            {"accountedFor", variant.accountedFor()},
            {"callers", callers},
            {"trainers", trainers},
            {"runsAgainstAnswers", toJson(variant.truth)},
            {"costs", costs}};
}

void addCallerRows(std::string &table, const variant_run &variant, const std::vector<load_phase> &phases)
{
    for (const auto &caller : variant.callers) {
        for (std::size_t i = 0; i < phases.size(); ++i) {
            const call_tally &tally = caller->tallies()[i];
            absl::StrAppend(
                    &table,
                    absl::StrFormat("%-14s %-16s %-10s %8d %8d %6d %8d %6d %6d %6d %9.1f %9.1f %9.1f\n",
                                    variant.variant.name, caller->profile().name, phases[i].name,
                                    tally.arrivals, tally.of(call_outcome::answered),
                                    tally.of(call_outcome::answered_late), tally.of(call_outcome::not_run),
                                    tally.of(call_outcome::may_have_run) + tally.of(call_outcome::broken),
                                    tally.of(call_outcome::wrong), tally.of(call_outcome::unanswered),
                                    tally.latency.quantile(kMedian), tally.latency.quantile(kNinetyNinth),
                                    goodput(tally, phases[i])));
        }
    }
}

void addTrainerRows(std::string &table, const variant_run &variant)
{
    for (const auto &trainer : variant.trainers) {
        const trainer_tally &tally = trainer->tally();
        absl::StrAppend(
                &table,
                absl::StrFormat("%-14s %-16s %5d/%-5d %5d/%-5d %6d %6d %6d %9d %7.1f%% %6.1f %6.1f %6.0f\n",
                                variant.variant.name, trainer->profile().trainer, tally.stepsWhole,
                                tally.stepsWanted, tally.samplesDelivered, tally.samplesExpected,
                                tally.duplicates, tally.overBound, tally.tombstones, tally.idle.count(),
                                idleShare(tally) * kPercent, tally.staleness.quantile(kMedian),
                                tally.staleness.quantile(kNinetyNinth), tally.staleness.max()));
    }
}

void addCostRows(std::string &table, const variant_run &variant)
{
    if (variant.costs == nullptr) {
        return;
    }
    for (const process_cost &cost : variant.costs->costs()) {
        absl::StrAppend(&table, absl::StrFormat("%-14s %-16s %8.2f %8.1f %8.2f\n", variant.variant.name,
                                                cost.process.name, cost.cpuPercent(),
                                                cost.maxResidentMegabytes, cost.peerKilobytesPerSecond()));
    }
}

} // namespace

std::string renderJsonReport(const bench_run &run)
{
    json variants = json::array();
    for (const auto &variant : run.variants()) {
        variants.push_back(toJson(*variant, run.what().phases));
    }
    json faults = json::array();
    for (const sent_fault &fault : run.faults()) {
        faults.push_back({{"atMs", fault.at.count()},
                          {"process", fault.process},
                          {"signal", fault.signal},
                          {"delivered", fault.delivered}});
    }
    const json report = {{"experiment", run.what().name},
                         {"seed", run.what().seed},
                         {"lengthMs", run.length().count()},
                         {"accountedFor", run.accountedFor()},
                         {"faults", faults},
                         {"variants", variants}};
    return report.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string renderTable(const bench_run &run)
{
    std::string table = absl::StrFormat("%-14s %-16s %-10s %8s %8s %6s %8s %6s %6s %6s %9s %9s %9s\n",
                                        "variant", "callers", "phase", "arrived", "answered", "late",
                                        "not-run", "maybe", "wrong", "none", "p50 ms", "p99 ms", "good/s");
    for (const auto &variant : run.variants()) {
        addCallerRows(table, *variant, run.what().phases);
    }
    if (!run.what().trainers.empty()) {
        absl::StrAppend(&table, absl::StrFormat("\n%-14s %-16s %11s %11s %6s %6s %6s %9s %8s %6s %6s %6s\n",
                                                "variant", "trainer", "steps", "samples", "double", "stale",
                                                "tombs", "idle ms", "idle", "st p50", "st p99", "st max"));
        for (const auto &variant : run.variants()) {
            addTrainerRows(table, *variant);
        }
    }
    if (run.what().costPeriod.count() > 0) {
        absl::StrAppend(&table, absl::StrFormat("\n%-14s %-16s %8s %8s %8s\n", "variant", "process", "cpu %",
                                                "MB", "KB/s"));
        for (const auto &variant : run.variants()) {
            addCostRows(table, *variant);
        }
    }
    absl::StrAppend(&table, "\n");
    for (const auto &variant : run.variants()) {
        absl::StrAppend(&table, variant->variant.name, ": calls compared with counted runs ",
                        variant->truth.checked, ", run twice ", variant->truth.doubled, ", untrue not-run ",
                        variant->truth.untrueNotRun, ", answered without a run ",
                        variant->truth.answeredWithoutRun, "\n");
    }
    absl::StrAppend(&table, run.accountedFor() ? "every call and sample is accounted for\n"
                                               : "NOT every call and sample is accounted for\n");
    return table;
}

} // namespace jacinthvale::bench
