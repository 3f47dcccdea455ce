#include "bench_trainer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale::bench {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpMultipleChoices = 300;
constexpr milliseconds kRetryDelay{200};
constexpr milliseconds kCallTimeout{10000};

bool succeeded(const http_call_finished &result)
{
    return result.outcome == transfer_outcome::complete && result.status >= kHttpOk
           && result.status < kHttpMultipleChoices;
}

} // namespace

trainer_load::trainer_load(bench_loop &loop, trainer_profile profile, std::vector<endpoint> rollouts,
                           std::string runName)
    : m_loop(loop)
    , m_profile(std::move(profile))
    , m_rollouts(std::move(rollouts))
    , m_runName(std::move(runName))
    , m_version(m_profile.firstVersion)
{
    m_tally.stepsWanted = m_profile.steps;
    m_tally.samplesExpected = static_cast<std::uint64_t>(m_profile.steps) * m_profile.groupsPerStep
                              * m_profile.samplesPerGroup;
}

void trainer_load::start()
{
    m_startedAt = m_loop.now();
    m_idleSince = m_startedAt;
    for (int step = 0; step <= m_profile.stepsAhead; ++step) {
        postStep(step);
    }
    pull();
}

call_http trainer_load::makeCall(const std::string &method, const std::string &path) const
{
    call_http call;
    call.target = m_rollouts[m_rollout % m_rollouts.size()];
    call.method = method;
    call.path = absl::StrCat("/v1/trainers/", m_profile.trainer, path);
    call.headers = {{"Authorization", "Bearer " + m_profile.token}, {"Content-Type", "application/json"}};
    call.progressTimeout = kCallTimeout;
    return call;
}

void trainer_load::postStep(int step)
{
    if (step >= m_profile.steps) {
        return;
    }
    m_steps[step]
            = {m_loop.now(), static_cast<std::size_t>(m_profile.groupsPerStep) * m_profile.samplesPerGroup};
    for (int i = 0; i < m_profile.groupsPerStep; ++i) {
        const std::string group = absl::StrCat(m_runName, "-", m_profile.trainer, "-", step, "-", i);
        m_stepOfGroup[group] = step;
        m_groupsToPost.push_back(group);
    }
    if (!m_posting) {
        postNext();
    }
}

/// Posts one group after the other; a lost answer is no harm, since the same group is accepted again.
void trainer_load::postNext()
{
    m_posting = !m_groupsToPost.empty() && !m_finished;
    if (!m_posting) {
        return;
    }
    const std::string group = m_groupsToPost.front();
    call_http call = makeCall("POST", "/groups");
    call.body = json{{"groupId", group},
                     {"model", m_profile.model},
                     {"prompt", "draft a ruling for " + group},
                     {"count", m_profile.samplesPerGroup},
                     {"maxTokens", m_profile.maxTokens},
                     {"step", m_stepOfGroup.at(group)}}
                        .dump();
    http_call_listener listener;
    listener.onFinished = [this](const http_call_finished &result) { posted(result); };
    m_loop.call(call, std::move(listener));
}

void trainer_load::posted(const http_call_finished &result)
{
    if (succeeded(result)) {
        m_groupsToPost.pop_front();
        m_loop.after(milliseconds{0}, [this] { postNext(); });
    } else {
        failedCall();
        m_loop.after(kRetryDelay, [this] { postNext(); });
    }
}

/// The next call goes to another daemon.
void trainer_load::failedCall()
{
    ++m_tally.failedCalls;
    ++m_rollout;
}

void trainer_load::pull()
{
    if (m_finished) {
        return;
    }
    m_statedVersion = m_version;
    call_http call = makeCall("GET", absl::StrCat("/samples?after=", m_cursor, "&max=", m_profile.maxPerPull,
                                                  "&wait_ms=", m_profile.pullWait.count(),
                                                  "&version=", m_version, "&pull=", ++m_pullNumber));
    call.progressTimeout += m_profile.pullWait;
    http_call_listener listener;
    listener.onFinished = [this](const http_call_finished &result) { pulled(result); };
    m_loop.call(call, std::move(listener));
}

void trainer_load::pulled(const http_call_finished &result)
{
    if (m_finished) {
        return;
    }
    if (succeeded(result)) {
        takeAnswer(json::parse(result.body, nullptr, false));
        m_loop.after(milliseconds{0}, [this] { pull(); });
    } else {
        failedCall();
        m_loop.after(kRetryDelay, [this] { pull(); });
    }
    if (m_profile.stepLimit < m_loop.now() - m_idleSince && !m_training) {
        giveUp();
    }
}

void trainer_load::takeAnswer(const json &answer)
{
    try {
        for (const json &sample : answer.at("samples")) {
            takeSample(sample);
        }
    } catch (const json::exception &) {
        ++m_tally.malformed;
    }
}

void trainer_load::takeSample(const json &sample)
{
    const auto cursor = sample.at("cursor").get<std::uint64_t>();
    m_tally.outOfOrder += cursor > m_cursor ? 0 : 1;
    m_cursor = std::max(m_cursor, cursor);
    const sample_slot slot{sample.at("groupId").get<std::string>(), sample.at("index").get<int>()};
    if (!m_stepOfGroup.contains(slot.group) || slot.index < 0 || slot.index >= m_profile.samplesPerGroup) {
        ++m_tally.unknownSamples;
    } else if (sample.value("expired", false)) {
        ++m_tally.tombstones;
    } else if (!m_delivered.insert(slot).second) {
        ++m_tally.duplicates;
    } else {
        deliver(slot, sample);
    }
}

void trainer_load::deliver(const sample_slot &slot, const json &sample)
{
    ++m_tally.samplesDelivered;
    noteStaleness(sample.at("segments"));
    if (sample.at("text").get<std::string>().empty() || !sample.at("score").is_number()) {
        ++m_tally.malformed;
    }
    const int number = m_stepOfGroup.at(slot.group);
    training_step &step = m_steps.at(number);
    --step.missing;
    if (step.missing == 0) {
        m_tally.stepTime.add(static_cast<double>((m_loop.now() - step.postedAt).count()));
    }
    if (number == m_currentStep && step.missing == 0 && !m_training) {
        beginTraining();
    }
}

void trainer_load::noteStaleness(const json &segments)
{
    int tokens = 0;
    std::uint64_t oldest = UINT64_MAX;
    for (const json &segment : segments) {
        tokens += segment.at("tokens").get<int>();
        oldest = std::min(oldest, segment.at("weightVersion").get<std::uint64_t>());
    }
    if (tokens <= 0 || tokens > m_profile.maxTokens) {
        ++m_tally.malformed;
        return;
    }
    const std::uint64_t behind = m_statedVersion > oldest ? m_statedVersion - oldest : 0;
    m_tally.staleness.add(static_cast<double>(behind));
    m_tally.overBound += behind > static_cast<std::uint64_t>(m_profile.maxStaleness) ? 1 : 0;
}

void trainer_load::beginTraining()
{
    m_training = true;
    m_tally.idle += m_loop.now() - m_idleSince;
    ++m_tally.stepsWhole;
    m_loop.after(m_profile.trainTime, [this] { endTraining(); });
}

void trainer_load::endTraining()
{
    if (m_finished) {
        return;
    }
    m_training = false;
    m_idleSince = m_loop.now();
    if (m_currentStep + 1 >= m_profile.steps) {
        end();
        return;
    }
    ++m_version;
    publishWeights();
    ++m_currentStep;
    postStep(m_currentStep + m_profile.stepsAhead);
    if (m_steps.at(m_currentStep).missing == 0) {
        beginTraining();
    }
}

void trainer_load::publishWeights()
{
    if (m_finished) {
        return;
    }
    call_http call = makeCall("POST", "/weights");
    call.body = json{{"model", m_profile.model}, {"version", m_version}}.dump();
    http_call_listener listener;
    listener.onFinished = [this](const http_call_finished &result) { weightsPublished(result); };
    m_loop.call(call, std::move(listener));
}

void trainer_load::weightsPublished(const http_call_finished &result)
{
    if (!succeeded(result)) {
        failedCall();
        m_loop.after(kRetryDelay, [this] { publishWeights(); });
    }
}

void trainer_load::end()
{
    m_finished = true;
    m_tally.elapsed = m_loop.now() - m_startedAt;
}

void trainer_load::giveUp()
{
    if (!m_finished) {
        m_tally.idle += m_training ? milliseconds{0} : m_loop.now() - m_idleSince;
        end();
    }
}

} // namespace jacinthvale::bench
