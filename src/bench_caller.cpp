#include "bench_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale::bench {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpMultipleChoices = 300;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
constexpr double kMicrosecondsPerMillisecondExact = 1000;
constexpr int kMillisecondsPerSecond = 1000;
constexpr milliseconds kFirstRetryDelay{100};
/// A caller waits so much longer than its deadline before it gives a silent connection up.
constexpr milliseconds kPatience{2000};

double toMs(std::int64_t microseconds)
{
    return static_cast<double>(microseconds) / kMicrosecondsPerMillisecondExact;
}

milliseconds retryAfter(const http_call_finished &result)
{
    const auto header = result.headers.find("Retry-After");
    int seconds = 0;
    if (header == result.headers.end() || !absl::SimpleAtoi(header->second, &seconds)) {
        return kFirstRetryDelay;
    }
    return milliseconds{seconds * kMillisecondsPerSecond};
}

} // namespace

caller_load::caller_load(bench_loop &loop, caller_profile profile, const experiment &what,
                         std::vector<endpoint> targets, std::uint64_t seed, std::string runName)
    : m_loop(loop)
    , m_profile(std::move(profile))
    , m_targets(std::move(targets))
    , m_runName(std::move(runName))
    , m_schedule(what.phases, m_profile.ratePerSecond, seed)
    , m_tallies(what.phases.size())
{}

void caller_load::scheduleNext()
{
    const std::optional<arrival> next = m_schedule.next();
    if (!next || m_targets.empty()) {
        m_arrivalsOver = true;
        return;
    }
    m_loop.at(next->atMicroseconds, [this, intended = *next] {
        scheduleNext();
        begin(intended);
    });
}

void caller_load::begin(const arrival &intended)
{
    auto call = std::make_shared<open_call>();
    call->intended = intended;
    call->body = makeBody(intended);
    m_open[intended.number] = call;
    call_tally &tally = m_tallies[intended.phase];
    ++tally.arrivals;
    tally.startDelay.add(toMs(m_loop.nowMicroseconds() - intended.atMicroseconds));
    send(call);
}

std::string caller_load::makeBody(const arrival &intended) const
{
    if (m_profile.kind == call_kind::service) {
        const std::string padding(static_cast<std::size_t>(m_profile.bodyBytes), '.');
        return json{{"id", absl::StrCat(m_runName, "-", intended.number)}, {"padding", padding}}.dump();
    }
    const std::uint64_t prompt = intended.number % static_cast<std::uint64_t>(m_profile.prompts);
    return json{{"model", m_profile.target},
                {"prompt", absl::StrCat(m_profile.name, " prompt ", prompt)},
                {"max_tokens", m_profile.maxTokens},
                {"stream", m_profile.streamed}}
            .dump();
}

void caller_load::send(const call_pointer &call)
{
    if (m_profile.tickets && call->ticket.empty()) {
        drawTicket(call);
    } else {
        sendAttempt(call);
    }
}

void caller_load::drawTicket(const call_pointer &call)
{
    call_http what;
    what.target = targetOf(*call);
    what.path = "/v1/tickets";
    what.body = "{}";
    what.progressTimeout = m_profile.deadline;
    http_call_listener listener;
    listener.onFinished = [this, call](const http_call_finished &result) {
        const json answer = json::parse(result.body, nullptr, false);
        const bool issued = result.status >= kHttpOk && result.status < kHttpMultipleChoices;
        if (!issued || !answer.is_object() || !answer.contains("ticket")) {
            finish(*call, attempt_result::not_run);
            return;
        }
        call->ticket = answer["ticket"].is_string() ? answer["ticket"].get<std::string>()
                                                    : answer["ticket"].dump();
        m_loop.after(milliseconds{0}, [this, call] { sendAttempt(call); });
    };
    m_loop.call(what, std::move(listener));
}

const endpoint &caller_load::targetOf(const open_call &call) const
{
    const std::size_t turn
            = call.intended.number + static_cast<std::size_t>(call.attempts + call.unreachable);
    return m_targets[turn % m_targets.size()];
}

milliseconds caller_load::leftOf(const open_call &call) const
{
    const auto passed = milliseconds{(m_loop.nowMicroseconds() - call.intended.atMicroseconds)
                                     / kMicrosecondsPerMillisecond};
    return m_profile.deadline - passed;
}

call_http caller_load::makeCall(const open_call &call) const
{
    call_http what;
    what.target = targetOf(call);
    what.path = m_profile.kind == call_kind::service ? "/v1/services/" + m_profile.target : "/v1/completions";
    what.body = call.body;
    what.streamed = m_profile.kind == call_kind::completion && m_profile.streamed;
    const milliseconds left = std::max(leftOf(call), milliseconds{1});
    what.progressTimeout = left + kPatience;
    what.headers = {{"Content-Type", "application/json"},
                    {"Jacinthvale-Deadline-Ms", std::to_string(left.count())}};
    if (!m_profile.callerClass.empty()) {
        what.headers["Jacinthvale-Caller-Class"] = m_profile.callerClass;
    }
    if (m_profile.idempotent) {
        what.headers["Idempotency-Key"] = absl::StrCat(m_runName, "-", call.intended.number);
    }
    if (m_profile.repeatable) {
        what.headers["Jacinthvale-Repeatable"] = "true";
    }
    if (!call.ticket.empty()) {
        what.headers["Jacinthvale-Ticket"] = call.ticket;
    }
    return what;
}

void caller_load::sendAttempt(const call_pointer &call)
{
    call->received.clear();
    http_call_listener listener;
    listener.onHead = [](int, const http_headers &) {};
    listener.onChunk = [this, call](const std::string &bytes) {
        if (call->firstByteAt == 0) {
            call->firstByteAt = m_loop.nowMicroseconds();
        }
        call->received += bytes;
    };
    listener.onFinished = [this, call](const http_call_finished &result) { attemptFinished(call, result); };
    m_loop.call(makeCall(*call), std::move(listener));
}

void caller_load::attemptFinished(const call_pointer &call, const http_call_finished &result)
{
    const std::string &received = result.body.empty() ? call->received : result.body;
    const attempt_result judged = judgeAttempt(m_profile, call->body, result, received);
    call->uncertain
            = call->uncertain || judged == attempt_result::broken || judged == attempt_result::may_have_run;
    if (mayRetry(*call, judged)) {
        retry(call, result);
    } else {
        finish(*call, judged);
    }
}

bool caller_load::mayRetry(const open_call &call, attempt_result result) const
{
    if (leftOf(call).count() <= 0) {
        return false;
    }
    if (result == attempt_result::unreachable) {
        // As a balancer does: the next entry host gets the call that never left.
        return static_cast<std::size_t>(call.unreachable) + 1 < m_targets.size();
    }
    const bool unproved = result == attempt_result::broken || result == attempt_result::may_have_run;
    const bool again = result == attempt_result::not_run
                       || (unproved && (m_profile.idempotent || m_profile.repeatable));
    return again && call.attempts < m_profile.retries;
}

void caller_load::retry(const call_pointer &call, const http_call_finished &result)
{
    if (isUnsent(result.outcome)) {
        ++call->unreachable;
        m_loop.after(milliseconds{0}, [this, call] { send(call); });
        return;
    }
    ++call->attempts;
    ++m_tallies[call->intended.phase].retries;
    m_loop.after(std::min(retryAfter(result), leftOf(*call)), [this, call] { send(call); });
}

call_outcome caller_load::outcomeOf(const open_call &call, attempt_result result) const
{
    switch (result) {
    case attempt_result::whole:
        return leftOf(call).count() >= 0 ? call_outcome::answered : call_outcome::answered_late;
    case attempt_result::wrong:
        return call_outcome::wrong;
    case attempt_result::not_run:
    case attempt_result::unreachable:
        return call.uncertain ? call_outcome::may_have_run : call_outcome::not_run;
    case attempt_result::may_have_run:
        return call_outcome::may_have_run;
    case attempt_result::broken:
        return call_outcome::broken;
    }
    return call_outcome::wrong;
}

void caller_load::finish(const open_call &call, attempt_result result)
{
    const call_outcome outcome = outcomeOf(call, result);
    call_tally &tally = m_tallies[call.intended.phase];
    tally.note(outcome);
    if (result == attempt_result::whole) {
        tally.latency.add(toMs(m_loop.nowMicroseconds() - call.intended.atMicroseconds));
        if (call.firstByteAt != 0) {
            tally.firstByte.add(toMs(call.firstByteAt - call.intended.atMicroseconds));
        }
    }
    if (m_profile.kind == call_kind::service) {
        m_outcomes[call.body] = outcome;
    }
    m_open.erase(call.intended.number);
}

void caller_load::giveUp()
{
    for (const auto &[number, call] : m_open) {
        m_tallies[call->intended.phase].note(call_outcome::unanswered);
        if (m_profile.kind == call_kind::service) {
            m_outcomes[call->body] = call_outcome::unanswered;
        }
    }
    m_open.clear();
}

} // namespace jacinthvale::bench
