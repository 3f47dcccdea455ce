#include "bench_run.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <numeric>

namespace jacinthvale::bench {

namespace {

constexpr int kHttpOk = 200;
constexpr milliseconds kWatchPeriod{50};
constexpr milliseconds kProgressPeriod{5000};

int signalNumber(const std::string &name)
{
    if (name == "STOP") {
        return SIGSTOP;
    }
    if (name == "CONT") {
        return SIGCONT;
    }
    return name == "TERM" ? SIGTERM : SIGKILL;
}

std::vector<endpoint> targetsOf(const caller_profile &caller, const experiment_variant &variant,
                                const target_set &targets)
{
    if (!variant.direct) {
        return targets.gates;
    }
    return caller.kind == call_kind::service ? targets.services : targets.engines;
}

std::uint64_t sumOf(const caller_load &caller, call_outcome outcome)
{
    const auto &tallies = caller.tallies();
    return std::accumulate(tallies.begin(), tallies.end(), std::uint64_t{0},
                           [&](std::uint64_t sum, const call_tally &t) { return sum + t.of(outcome); });
}

std::uint64_t arrivalsOf(const caller_load &caller)
{
    const auto &tallies = caller.tallies();
    return std::accumulate(tallies.begin(), tallies.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const call_tally &t) { return sum + t.arrivals; });
}

bool callerAccountedFor(const caller_load &caller)
{
    return sumOf(caller, call_outcome::wrong) == 0 && sumOf(caller, call_outcome::unanswered) == 0;
}

} // namespace

bool variant_run::accountedFor() const
{
    const bool calls = std::ranges::all_of(callers, [](const auto &c) { return callerAccountedFor(*c); });
    const bool samples
            = std::ranges::all_of(trainers, [](const auto &t) { return t->tally().accountedFor(); });
    return calls && samples && countsRead && truth.holds();
}

bench_run::bench_run(experiment what, const bench_targets &targets, progress_line onProgress)
    : m_experiment(std::move(what))
    , m_onProgress(std::move(onProgress))
{
    for (const experiment_variant &variant : m_experiment.variants) {
        const auto found = std::ranges::find(targets.sets, variant.targetSet, &target_set::name);
        addVariant(variant, found == targets.sets.end() ? target_set{} : *found);
    }
}

void bench_run::addVariant(const experiment_variant &variant, const target_set &targets)
{
    auto run = std::make_unique<variant_run>();
    run->variant = variant;
    run->targets = targets;
    const std::string runName = absl::StrCat(m_experiment.name, "-", m_experiment.seed, "-", variant.name);
    std::uint64_t number = 0;
    for (const caller_profile &caller : m_experiment.callers) {
        // The same seed in each variant: all get the same arrivals.
        run->callers.push_back(std::make_unique<caller_load>(
                m_loop, caller, m_experiment, targetsOf(caller, variant, targets),
                mixRandom(m_experiment.seed, ++number), absl::StrCat(runName, "-", caller.name)));
    }
    for (const trainer_profile &trainer : m_experiment.trainers) {
        if (!variant.direct) {
            run->trainers.push_back(
                    std::make_unique<trainer_load>(m_loop, trainer, targets.rollouts, runName));
        }
    }
    if (m_experiment.costPeriod.count() > 0) {
        run->costs = std::make_unique<cost_sampler>(m_loop, targets.processes, m_experiment.costPeriod);
    }
    m_variants.push_back(std::move(run));
}

void bench_run::run()
{
    m_loop.start();
    for (const auto &variant : m_variants) {
        std::ranges::for_each(variant->callers, [](const auto &caller) { caller->start(); });
        std::ranges::for_each(variant->trainers, [](const auto &trainer) { trainer->start(); });
        if (variant->costs != nullptr) {
            variant->costs->start();
        }
    }
    std::ranges::for_each(m_experiment.faults, [this](const signal_fault &f) { scheduleFault(f); });
    watch();
    m_loop.run();
}

void bench_run::scheduleFault(const signal_fault &fault)
{
    m_loop.after(fault.at, [this, fault] { sendSignal(fault); });
}

void bench_run::sendSignal(const signal_fault &fault)
{
    sent_fault sent{m_loop.now(), fault.process, fault.signal, false};
    for (const auto &variant : m_variants) {
        const auto &processes = variant->targets.processes;
        const auto found = std::ranges::find(processes, fault.process, &target_process::name);
        if (found != processes.end() && !sent.delivered) {
            sent.delivered = kill(static_cast<pid_t>(found->pid), signalNumber(fault.signal)) == 0;
        }
    }
    m_onProgress(absl::StrCat(sent.at.count(), " ms: SIG", fault.signal, " to ", fault.process,
                              sent.delivered ? "" : ": not delivered"));
    m_faults.push_back(std::move(sent));
}

/// Looks from time to time whether the run is over.
void bench_run::watch()
{
    const milliseconds load = loadLength(m_experiment);
    const milliseconds now = m_loop.now();
    if (now >= m_nextProgress) {
        m_nextProgress = now + kProgressPeriod;
        reportProgress();
    }
    if (!m_callersGivenUp && now > load + m_experiment.drainLimit) {
        giveUpCallers();
    }
    if (now >= load && callersFinished() && trainersFinished()) {
        finishLoad();
        return;
    }
    m_loop.after(kWatchPeriod, [this] { watch(); });
}

bool bench_run::callersFinished() const
{
    return std::ranges::all_of(m_variants, [](const auto &variant) {
        return std::ranges::all_of(variant->callers, [](const auto &caller) { return caller->finished(); });
    });
}

bool bench_run::trainersFinished() const
{
    return std::ranges::all_of(m_variants, [](const auto &variant) {
        return std::ranges::all_of(variant->trainers,
                                   [](const auto &trainer) { return trainer->finished(); });
    });
}

void bench_run::giveUpCallers()
{
    m_callersGivenUp = true;
    for (const auto &variant : m_variants) {
        std::ranges::for_each(variant->callers, [](const auto &caller) { caller->giveUp(); });
    }
}

void bench_run::reportProgress() const
{
    for (const auto &variant : m_variants) {
        std::string line = absl::StrCat(m_loop.now().count(), " ms, ", variant->variant.name, ":");
        for (const auto &caller : variant->callers) {
            absl::StrAppend(&line, " ", caller->profile().name, " ", sumOf(*caller, call_outcome::answered),
                            "/", arrivalsOf(*caller), " answered;");
        }
        for (const auto &trainer : variant->trainers) {
            const trainer_tally &tally = trainer->tally();
            absl::StrAppend(&line, " ", trainer->profile().trainer, " ", tally.samplesDelivered, "/",
                            tally.samplesExpected, " samples, step ", tally.stepsWhole, "/",
                            tally.stepsWanted, ";");
        }
        m_onProgress(line);
    }
}

void bench_run::finishLoad()
{
    m_length = m_loop.now();
    for (const auto &variant : m_variants) {
        if (variant->costs != nullptr) {
            variant->costs->finish();
        }
    }
    reportProgress();
    readCounts();
}

void bench_run::readCounts()
{
    for (const auto &variant : m_variants) {
        for (const endpoint &target : variant->targets.runCounters) {
            ++m_countsMissing;
            call_http call;
            call.target = target;
            call.method = "GET";
            call.path = "/counters";
            http_call_listener listener;
            listener.onFinished = [this, run = variant.get()](const http_call_finished &result) {
                countsArrived(*run, result);
            };
            m_loop.call(call, std::move(listener));
        }
    }
    if (m_countsMissing == 0) {
        m_loop.stop();
    }
}

void bench_run::countsArrived(variant_run &variant, const http_call_finished &result)
{
    variant.countsRead
            = result.status == kHttpOk && addRuns(variant.runsByBody, result.body) && variant.countsRead;
    if (--m_countsMissing == 0) {
        compare();
        m_loop.stop();
    }
}

void bench_run::compare()
{
    for (const auto &variant : m_variants) {
        if (variant->targets.runCounters.empty() || variant->variant.direct) {
            continue;
        }
        for (const auto &caller : variant->callers) {
            for (const auto &[body, outcome] : caller->outcomesByBody()) {
                const auto runs = variant->runsByBody.find(body);
                checkTruth(variant->truth, outcome, runs == variant->runsByBody.end() ? 0 : runs->second);
            }
        }
    }
}

bool bench_run::accountedFor() const
{
    return std::ranges::all_of(m_variants, [](const auto &variant) { return variant->accountedFor(); });
}

} // namespace jacinthvale::bench
