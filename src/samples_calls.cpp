// Requests of trainers: reading, checking and answering.
#include "samples_calls.h"

#include "json_checker.h"
#include "overloaded.h"
#include "samples_commit.h"
#include "samples_lease.h"
#include "samples_pull.h"
#include "samples_wire.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;
constexpr int kRetryAfterSeconds = 1;
constexpr milliseconds kCallTimeout{10'000};
constexpr milliseconds kMaxPullWait{60'000};
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxTrainers = 256;
constexpr std::int64_t kMaxGroupCount = 4096;
constexpr std::int64_t kMaxTokensPerSample = 1'000'000;
constexpr std::size_t kMaxPromptBytes = 256 * 1024;
const std::string kTrainerPrefix = "/v1/trainers/";

bool isSafeId(const std::string &id)
{
    const auto safe = [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= kMaxIdLength && std::ranges::all_of(id, safe);
}

bool isKnownCall(const trainer_call &call)
{
    return (call.method == "POST" && (call.resource == "groups" || call.resource == "weights"))
           || (call.method == "GET" && call.resource == "samples");
}

milliseconds waitOf(const trainer_call &call)
{
    std::int64_t wait = 0;
    const auto found = call.query.find("wait_ms");
    if (found == call.query.end() || !absl::SimpleAtoi(found->second, &wait)) {
        return milliseconds{0};
    }
    return std::clamp(milliseconds{wait}, milliseconds{0}, kMaxPullWait);
}

/// Reads the body of a request for a group.
sample_group readGroup(const std::string &body, std::vector<json_fault> &faults)
{
    const nlohmann::json value = parseJson(body, faults);
    json_checker checker(value, "$", faults);
    sample_group group{{checker.text("groupId")},
                       {checker.text("model")},
                       checker.text("prompt"),
                       checker.integer("count", 1, kMaxGroupCount),
                       checker.integer("maxTokens", 1, kMaxTokensPerSample),
                       checker.integer("step", 0, std::numeric_limits<std::int64_t>::max(), 0)};
    checker.finish();
    if (!isSafeId(group.id.value)) {
        checker.fault("groupId", "must be 1 to 128 letters, digits, '-', '_' or '.'");
    }
    if (group.prompt.size() > kMaxPromptBytes) {
        checker.fault("prompt", absl::StrCat("is longer than ", kMaxPromptBytes, " bytes"));
    }
    return group;
}

request_error faultError(const std::vector<json_fault> &faults)
{
    const json_fault &first = faults.front();
    return {kHttpBadRequest, "invalid-body", absl::StrCat(first.path, ": ", first.problem), verdict::not_run,
            0};
}

std::int64_t openSlots(const trainer_session &session)
{
    std::int64_t open = 0;
    for (const auto &[id, progress] : session.ledger.groups) {
        open += std::ranges::count(progress.slots, std::uint64_t{0}, &slot_progress::liveCursor);
    }
    for (const pending_group &one : session.groups) {
        open += one.group.count;
    }
    return open;
}

std::string groupAnswer(const sample_group &group)
{
    return nlohmann::json{{"groupId", group.id.value}, {"accepted", true}}.dump();
}

/// Answers a group that is known already.
/// @returns false where it is new.
bool answerKnownGroup(samples_step &step, trainer_session &session, const trainer_call &call,
                      const sample_group &group)
{
    const auto known = session.ledger.groups.find(group.id);
    if (known == session.ledger.groups.end()) {
        return false;
    }
    if (known->second.digest == digestOf(group)) {
        answerCall(step, call, kHttpOk, groupAnswer(group));
    } else {
        refuseCall(step, call, notRun(kHttpConflict, "group-differs", "The group id has other content."));
    }
    return true;
}

void handleGroup(samples_step &step, trainer_session &session, trainer_call call)
{
    std::vector<json_fault> faults;
    const sample_group group = readGroup(call.body, faults);
    if (!faults.empty()) {
        refuseCall(step, call, faultError(faults));
        return;
    }
    if (answerKnownGroup(step, session, call, group)) {
        return;
    }
    const auto bytes = static_cast<std::int64_t>(session.uncommittedBytes);
    if (openSlots(session) + group.count > step.setting("samples.maxOpenSamples", session.trainer)
        || bytes > step.setting("samples.maxUncommittedBytes")) {
        step.count("samples_groups_refused_total");
        refuseCall(step, call,
                   notRun(kHttpTooManyRequests, "too-many-samples",
                          "The trainer has too many samples under way."));
        return;
    }
    session.groups.push_back({std::move(call), group});
}

void handleWeights(samples_step &step, trainer_session &session, trainer_call call)
{
    std::vector<json_fault> faults;
    const nlohmann::json value = parseJson(call.body, faults);
    json_checker checker(value, "$", faults);
    const model_id model{checker.text("model")};
    const std::int64_t version = checker.integer("version", 1, std::numeric_limits<std::int64_t>::max());
    checker.finish();
    if (!faults.empty()) {
        refuseCall(step, call, faultError(faults));
        return;
    }
    const weight_version announced{static_cast<std::uint64_t>(version)};
    if (announced < session.version) {
        refuseCall(step, call,
                   notRun(kHttpConflict, "version-is-old",
                          absl::StrCat("The current version is ", session.version.value, ".")));
        return;
    }
    raiseVersion(step, session, announced);
    session.versions.push_back({std::move(call), model, announced});
}

} // namespace

request_error notRun(int status, std::string code, std::string message)
{
    const bool again = status == kHttpTooManyRequests || status == kHttpUnavailable;
    return {status, std::move(code), std::move(message), verdict::not_run, again ? kRetryAfterSeconds : 0};
}

void raiseVersion(samples_step &step, trainer_session &session, weight_version version)
{
    if (version > session.version) {
        session.version = version;
        step.state.versionMovedAt = step.at.now;
    }
}

void receiveCall(samples_step &step, const http_request_received &request)
{
    trainer_call call;
    call.origin = local_caller{request.exchange};
    call.method = request.method;
    call.query = request.query;
    call.body = request.body;
    call.deadline = step.at.now + kCallTimeout + waitOf(call);
    if (request.path.starts_with(kTrainerPrefix)) {
        const std::string rest = request.path.substr(kTrainerPrefix.size());
        const std::size_t slash = rest.find('/');
        call.trainer.value = rest.substr(0, slash);
        call.resource = slash == std::string::npos ? "" : rest.substr(slash + 1);
    }
    const bool rollout = step.state.self.role == process_role::rollout;
    if (!rollout || !isSafeId(call.trainer.value) || !isKnownCall(call)) {
        refuseCall(step, call, notRun(kHttpNotFound, "unknown-path", "No such resource or method."));
        return;
    }
    dispatchCall(step, std::move(call));
}

void dispatchCall(samples_step &step, trainer_call call)
{
    const bool known = step.state.sessions.contains(call.trainer);
    if (step.state.stopping && !known) {
        refuseCall(step, call, notRun(kHttpUnavailable, "stopping", "This process is stopping."));
        return;
    }
    if (!known && step.state.sessions.size() >= kMaxTrainers) {
        refuseCall(step, call, notRun(kHttpTooManyRequests, "too-many-trainers", "Too many trainers."));
        return;
    }
    trainer_session &session = openSession(step, call.trainer);
    if (session.waiting.size() >= kMaxWaitingCalls) {
        refuseCall(step, call, notRun(kHttpTooManyRequests, "queue-full", "Too many requests wait."));
        return;
    }
    session.waiting.push_back(std::move(call));
    settleLease(step, session);
    dispatchWaiting(step, session);
}

void handleCall(samples_step &step, trainer_session &session, trainer_call call)
{
    if (session.releasing) {
        refuseCall(step, call, notRun(kHttpUnavailable, "stopping", "This process hands its lease over."));
    } else if (call.resource == "groups") {
        handleGroup(step, session, std::move(call));
    } else if (call.resource == "weights") {
        handleWeights(step, session, std::move(call));
    } else {
        acceptPull(step, session, call);
    }
}

namespace {

/// Takes out and answers the items of a queue whose time is over.
template <typename Queue, typename CallOf>
void expireQueue(samples_step &step, Queue &queue, CallOf callOf)
{
    for (auto item = queue.begin(); item != queue.end();) {
        const trainer_call &call = callOf(*item);
        if (call.deadline > step.at.now) {
            ++item;
            continue;
        }
        refuseCall(step, call, notRun(kHttpUnavailable, "store-unavailable", "The store does not answer."));
        item = queue.erase(item);
    }
}

/// Requests inside a transaction that got no answer: it may still take effect.
template <typename Queue>
void expireSent(samples_step &step, Queue &queue)
{
    for (auto item = queue.begin(); item != queue.end();) {
        if (item->call.deadline > step.at.now) {
            ++item;
            continue;
        }
        refuseCall(step, item->call, outcomeUnknown());
        item->call.origin = local_caller{};
        item->call.deadline = instant::max();
    }
}

void expirePull(samples_step &step, trainer_session &session)
{
    if (!session.pull) {
        return;
    }
    if (session.pull->call.deadline <= step.at.now) {
        refuseCall(step, session.pull->call,
                   notRun(kHttpUnavailable, "store-unavailable", "The store does not answer."));
        session.pull.reset();
    } else if (session.pull->waitUntil <= step.at.now && session.ledger.entries.empty()) {
        answerEmpty(step, *session.pull);
        session.pull.reset();
    }
}

} // namespace

void expireCalls(samples_step &step)
{
    for (auto &[id, session] : step.state.sessions) {
        expireQueue(step, session.waiting, [](const trainer_call &c) -> const trainer_call & { return c; });
        expireQueue(step, session.groups,
                    [](const pending_group &g) -> const trainer_call & { return g.call; });
        expireQueue(step, session.versions,
                    [](const pending_version &v) -> const trainer_call & { return v.call; });
        if (session.committing) {
            expireSent(step, session.committing->groups);
            expireSent(step, session.committing->versions);
        }
        expirePull(step, session);
    }
    auto &forwarded = step.state.forwarded;
    for (auto entry = forwarded.begin(); entry != forwarded.end();) {
        if (entry->second.deadline > step.at.now) {
            ++entry;
            continue;
        }
        refuseCall(step, entry->second,
                   {kHttpGatewayTimeout, "holder-silent", "The holder of the trainer gave no answer.",
                    verdict::may_have_run, 0});
        entry = forwarded.erase(entry);
    }
}

void abandonCall(samples_step &step, exchange_id exchange)
{
    const request_origin origin = local_caller{exchange};
    for (auto &[id, session] : step.state.sessions) {
        std::erase_if(session.waiting, [&](const trainer_call &call) { return call.origin == origin; });
        if (session.pull && session.pull->call.origin == origin) {
            session.pull.reset();
        }
    }
    std::erase_if(step.state.forwarded, [&](const auto &entry) { return entry.second.origin == origin; });
}

} // namespace jacinthvale
