/// Experiment file of jvbench, fully checked: what load, for how long, with which faults.
#pragma once

#include "json_checker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthvale::bench {

/// What a class of callers calls.
enum class call_kind : std::uint8_t { service, completion };

/// Callers of one class: an open loop of arrivals.
struct caller_profile
{
    std::string name;
    call_kind kind = call_kind::service;
    /// Plain service, or model of completions.
    std::string target;
    double ratePerSecond = 1;
    milliseconds deadline{10000};
    std::string callerClass;
    /// Calls carry an idempotency key, and are tried again with it after an answer that proves nothing.
    bool idempotent = false;
    /// Calls carry a ticket drawn before.
    bool tickets = false;
    /// Calls may run more than once.
    bool repeatable = false;
    int retries = 0;
    int bodyBytes = 200;
    int maxTokens = 32;
    bool streamed = true;
    /// The service answers {"body": the call's body}; other answers are wrong.
    bool expectEcho = false;
    /// Number of different prompts.
    int prompts = 50;
};

/// One trainer: posts groups, pulls samples, trains, publishes weights.
struct trainer_profile
{
    std::string trainer;
    std::string token;
    std::string model;
    int steps = 1;
    int groupsPerStep = 4;
    int samplesPerGroup = 4;
    int maxTokens = 32;
    /// Steps whose groups are posted before the present one is whole.
    int stepsAhead = 1;
    milliseconds trainTime{500};
    milliseconds stepLimit{60000};
    int maxPerPull = 256;
    milliseconds pullWait{1000};
    std::uint64_t firstVersion = 1;
    /// Oldest weights that a sample may name; checked by the trainer itself.
    int maxStaleness = 2;
};

/// Part of the run with its own rate.
struct load_phase
{
    std::string name;
    milliseconds length{0};
    double rateFactor = 1;
};

/// Signal to a process that the targets file names.
struct signal_fault
{
    milliseconds at{0};
    std::string process;
    /// "KILL", "STOP", "CONT" or "TERM".
    std::string signal;
};

/// One of the configurations that run side by side under the same arrivals.
struct experiment_variant
{
    std::string name;
    /// Key of the target set in the targets file.
    std::string targetSet;
    /// True: callers go straight to upstreams, past the gates.
    bool direct = false;
};

/// Whole experiment.
struct experiment
{
    std::string name;
    std::uint64_t seed = 1;
    std::vector<experiment_variant> variants;
    std::vector<load_phase> phases;
    std::vector<caller_profile> callers;
    std::vector<trainer_profile> trainers;
    std::vector<signal_fault> faults;
    /// Longest wait for answers after the last arrival.
    milliseconds drainLimit{30000};
    /// Period of readings of processor time, memory and peer bytes; 0: none.
    milliseconds costPeriod{0};
    std::vector<json_fault> problems;
};

/// Reads and checks an experiment file; all faults are in the result's problems.
experiment readExperiment(const std::string &text);

/// @returns the sum of all phases.
milliseconds loadLength(const experiment &what);

} // namespace jacinthvale::bench
