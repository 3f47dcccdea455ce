#include "ctl_change.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <iostream>
#include <random>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

/// Rounds over all daemons before the outcome counts as unknown.
constexpr int kRounds = 2;

std::string drawChangeId()
{
    std::random_device device;
    return absl::StrCat("change-", absl::Hex(device(), absl::kZeroPad8),
                        absl::Hex(device(), absl::kZeroPad8));
}

/// @returns the highest revision in force at any daemon that answers, or nothing.
std::optional<std::uint64_t> highestRevision(ctl_client &client, const std::vector<endpoint> &daemons)
{
    std::optional<std::uint64_t> highest;
    for (const ctl_answer &answer : client.getAll(daemons, "/v1/config/status")) {
        if (answer.arrived() && answer.body.value("ready", false)) {
            highest = std::max(highest.value_or(0), answer.body.value("revision", std::uint64_t{0}));
        }
    }
    return highest;
}

void printOutcome(const ctl_request &request, const ctl_answer &answer, const std::string &changeId)
{
    if (request.json) {
        std::cout << answer.body.dump() << '\n';
        return;
    }
    const std::string result = answer.body.value("result", "unknown");
    if (result == "accepted") {
        std::cout << "accepted: revision " << answer.body.value("revision", std::uint64_t{0}) << ", change "
                  << changeId << ", confirmed by " << answer.body.value("confirmed", json::array()).size()
                  << " peers, not yet by " << answer.body.value("unconfirmed", json::array()).dump() << '\n';
        return;
    }
    const json error = answer.body.value("error", json::object());
    std::cerr << result << ": " << error.value("message", "no daemon said what became of the change")
              << " (change " << changeId << ")\n";
}

bool saysWhatBecame(const ctl_answer &answer)
{
    const ctl_exit code = exitOf(answer);
    const std::string problem = answer.body.value("/error/code"_json_pointer, "");
    const bool elsewhere = problem == "stopping" || problem == "not-ready" || problem == "no-peer-heard";
    return code != ctl_exit::unknown && code != ctl_exit::failed && !elsewhere;
}

} // namespace

ctl_answer postChange(ctl_client &client, const std::vector<endpoint> &daemons, const std::string &path,
                      const json &body)
{
    ctl_answer last;
    bool mayHaveRun = false;
    for (int round = 0; round < kRounds; ++round) {
        for (const endpoint &daemon : daemons) {
            ctl_answer answer = client.post(daemon, path, body);
            if (saysWhatBecame(answer)) {
                return answer;
            }
            const bool lost = !answer.arrived() && !isUnsent(answer.outcome);
            mayHaveRun = mayHaveRun || lost || exitOf(answer) == ctl_exit::unknown;
            last = std::move(answer);
        }
    }
    if (mayHaveRun) {
        last.body["result"] = "unknown";
    }
    return last;
}

ctl_exit commitChange(ctl_client &client, const ctl_request &request, const std::string &path, json body)
{
    std::uint64_t base = 0;
    if (!request.baseRevision.empty()) {
        if (!absl::SimpleAtoi(request.baseRevision, &base)) {
            std::cerr << "--base must be a revision number\n";
            return ctl_exit::usage;
        }
    } else if (const auto highest = highestRevision(client, request.daemons)) {
        base = *highest;
    } else {
        std::cerr << "no daemon answered\n";
        return ctl_exit::failed;
    }
    const std::string changeId = request.changeId.empty() ? drawChangeId() : request.changeId;
    body["changeId"] = changeId;
    body["baseRevision"] = base;
    body["reason"] = request.reason;
    body["alone"] = request.alone;
    const ctl_answer answer = postChange(client, request.daemons, path, body);
    printOutcome(request, answer, changeId);
    return exitOf(answer);
}

} // namespace jacinthvale
