#include "bench_answer.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace jacinthvale::bench {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpMultipleChoices = 300;
const std::string kDataPrefix = "data: ";
const std::string kLastEvent = "[DONE]";

/// Counts tokens of a completion while its parts are read.
struct completion_count
{
    int tokens = 0;
    std::string finishReason;

    bool whole(int maxTokens) const
    {
        return finishReason == "stop" || (finishReason == "length" && tokens == maxTokens);
    }
};

void takeChoice(completion_count &count, const json &part)
{
    const json &reason = part.at("choices").at(0).at("finish_reason");
    if (reason.is_string()) {
        count.finishReason = reason.get<std::string>();
    }
}

bool isWholeCompletion(const std::string &body, int maxTokens)
{
    const json answer = json::parse(body, nullptr, false);
    try {
        completion_count count;
        takeChoice(count, answer);
        count.tokens = answer.at("usage").at("completion_tokens").get<int>();
        return count.whole(maxTokens);
    } catch (const json::exception &) {
        return false;
    }
}

bool isEcho(const std::string &body, const std::string &sentBody)
{
    const json answer = json::parse(body, nullptr, false);
    return answer.is_object() && answer.contains("body") && answer["body"] == sentBody;
}

bool isWhole(const caller_profile &caller, const std::string &sentBody, const std::string &received)
{
    if (caller.kind == call_kind::service) {
        return !caller.expectEcho || isEcho(received, sentBody);
    }
    return caller.streamed ? isWholeStream(received, caller.maxTokens)
                           : isWholeCompletion(received, caller.maxTokens);
}

} // namespace

bool isWholeStream(const std::string &events, int maxTokens)
{
    std::istringstream lines(events);
    std::string line;
    completion_count count;
    bool ended = false;
    try {
        while (std::getline(lines, line)) {
            if (!line.starts_with(kDataPrefix)) {
                continue;
            }
            const std::string data = line.substr(kDataPrefix.size());
            if (ended) {
                return false;
            }
            if (data == kLastEvent) {
                ended = true;
                continue;
            }
            const json event = json::parse(data);
            takeChoice(count, event);
            count.tokens += event.at("tokens").get<int>();
        }
    } catch (const json::exception &) {
        return false;
    }
    return ended && count.whole(maxTokens);
}

attempt_result judgeAttempt(const caller_profile &caller, const std::string &sentBody,
                            const http_call_finished &result, const std::string &received)
{
    if (isUnsent(result.outcome)) {
        return attempt_result::unreachable;
    }
    if (result.outcome != transfer_outcome::complete) {
        return attempt_result::broken;
    }
    if (result.status >= kHttpOk && result.status < kHttpMultipleChoices) {
        return isWhole(caller, sentBody, received) ? attempt_result::whole : attempt_result::wrong;
    }
    const auto verdict = result.headers.find("Jacinthvale-Verdict");
    const bool notRun = verdict != result.headers.end() && verdict->second == "not-run";
    return notRun ? attempt_result::not_run : attempt_result::may_have_run;
}

} // namespace jacinthvale::bench
