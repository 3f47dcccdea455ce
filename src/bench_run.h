/// One whole experiment: all variants side by side, faults, costs, and the comparison with counted runs.
#pragma once

#include "bench_caller.h"
#include "bench_cost.h"
#include "bench_trainer.h"
#include "bench_truth.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jacinthvale::bench {

/// Clients and readings of one variant.
struct variant_run
{
    experiment_variant variant;
    target_set targets;
    std::vector<std::unique_ptr<caller_load>> callers;
    std::vector<std::unique_ptr<trainer_load>> trainers;
    std::unique_ptr<cost_sampler> costs;
    std::map<std::string, int> runsByBody;
    truth_tally truth;
    /// False where a service's counts could not be read.
    bool countsRead = true;

    bool accountedFor() const;
};

/// A signal that was sent.
struct sent_fault
{
    milliseconds at{0};
    std::string process;
    std::string signal;
    bool delivered = false;
};

/// Runs an experiment on the processes of a targets file. Starts no process.
class bench_run
{
public:
    using progress_line = std::function<void(const std::string &)>;

    bench_run(experiment what, const bench_targets &targets, progress_line onProgress);

    void run();

    const experiment &what() const { return m_experiment; }
    const std::vector<std::unique_ptr<variant_run>> &variants() const { return m_variants; }
    const std::vector<sent_fault> &faults() const { return m_faults; }
    milliseconds length() const { return m_length; }
    bool accountedFor() const;

private:
    void addVariant(const experiment_variant &variant, const target_set &targets);
    void scheduleFault(const signal_fault &fault);
    void sendSignal(const signal_fault &fault);
    void watch();
    bool callersFinished() const;
    bool trainersFinished() const;
    void giveUpCallers();
    void reportProgress() const;
    void finishLoad();
    void readCounts();
    void countsArrived(variant_run &variant, const http_call_finished &result);
    void compare();

    experiment m_experiment;
    progress_line m_onProgress;
    bench_loop m_loop;
    std::vector<std::unique_ptr<variant_run>> m_variants;
    std::vector<sent_fault> m_faults;
    milliseconds m_length{0};
    milliseconds m_nextProgress{0};
    std::size_t m_countsMissing = 0;
    bool m_callersGivenUp = false;
};

} // namespace jacinthvale::bench
