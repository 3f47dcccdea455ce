/// Trainer's client: posts groups, pulls samples, trains, publishes weights, and checks what it gets.
#pragma once

#include "bench_experiment.h"
#include "bench_loop.h"
#include "bench_tally.h"

#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

namespace jacinthvale::bench {

/// Runs one trainer's steps against the rollout daemons of one variant.
class trainer_load
{
public:
    trainer_load(bench_loop &loop, trainer_profile profile, std::vector<endpoint> rollouts,
                 std::string runName);

    void start();
    bool finished() const { return m_finished; }
    /// Counts a step that is not whole by now as failed.
    void giveUp();

    const trainer_profile &profile() const { return m_profile; }
    const trainer_tally &tally() const { return m_tally; }

private:
    struct sample_slot
    {
        std::string group;
        int index = 0;

        auto operator<=>(const sample_slot &) const = default;
    };

    struct training_step
    {
        milliseconds postedAt{0};
        std::size_t missing = 0;
    };

    call_http makeCall(const std::string &method, const std::string &path) const;
    void postStep(int step);
    void postNext();
    void posted(const http_call_finished &result);
    void pull();
    void pulled(const http_call_finished &result);
    void takeAnswer(const nlohmann::json &answer);
    void takeSample(const nlohmann::json &sample);
    void deliver(const sample_slot &slot, const nlohmann::json &sample);
    void noteStaleness(const nlohmann::json &segments);
    void beginTraining();
    void endTraining();
    void publishWeights();
    void weightsPublished(const http_call_finished &result);
    void failedCall();
    void end();

    bench_loop &m_loop;
    trainer_profile m_profile;
    std::vector<endpoint> m_rollouts;
    std::string m_runName;
    trainer_tally m_tally;
    std::map<int, training_step> m_steps;
    std::map<std::string, int> m_stepOfGroup;
    std::set<sample_slot> m_delivered;
    std::deque<std::string> m_groupsToPost;
    std::size_t m_rollout = 0;
    std::uint64_t m_version;
    std::uint64_t m_statedVersion = 0;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_pullNumber = 0;
    int m_currentStep = 0;
    bool m_posting = false;
    bool m_training = false;
    bool m_finished = false;
    milliseconds m_startedAt{0};
    milliseconds m_idleSince{0};
};

} // namespace jacinthvale::bench
