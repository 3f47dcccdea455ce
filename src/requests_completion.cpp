#include "requests_completion.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <numeric>

namespace jacinthvale {

namespace {

using nlohmann::json;

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDoneMarker = "[DONE]";
constexpr std::string_view kEventSeparator = "\n\n";

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string eventText(const json &value)
{
    return absl::StrCat("data: ", dump(value), "\n\n");
}

std::uint64_t unsignedOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

void addTokens(completion_progress &progress, std::uint64_t weightVersion, std::uint64_t tokens)
{
    if (tokens == 0) {
        return;
    }
    if (progress.segments.empty() || progress.segments.back().weightVersion != weightVersion) {
        progress.segments.push_back({weightVersion, 0});
    }
    progress.segments.back().tokens += tokens;
}

/// Adds an event of an engine stream to the progress.
/// @returns false if it is not a completion event.
bool addEvent(completion_progress &progress, const json &completionEvent)
{
    const auto choices = completionEvent.find("choices");
    if (choices == completionEvent.end() || !choices->is_array() || choices->empty()
        || !(*choices)[0].is_object()) {
        return false;
    }
    const json &choice = (*choices)[0];
    if (progress.id.empty() && completionEvent.value("id", json()).is_string()) {
        progress.id = completionEvent["id"].get<std::string>();
    }
    if (choice.value("text", json()).is_string()) {
        progress.text += choice["text"].get<std::string>();
    }
    if (choice.value("finish_reason", json()).is_string()) {
        progress.finishReason = choice["finish_reason"].get<std::string>();
    }
    addTokens(progress, unsignedOf(completionEvent, "weight_version"), unsignedOf(completionEvent, "tokens"));
    return true;
}

/// Parses one event of an engine stream and adds it to the progress.
/// @returns the event for the caller, or an empty string if there is none.
std::string parseEvent(completion_progress &progress, const std::string &text)
{
    if (!text.starts_with(kDataPrefix) || !progress.finishReason.empty()) {
        return {};
    }
    const std::string data = text.substr(kDataPrefix.size());
    json completionEvent = json::parse(data, nullptr, false);
    if (!completionEvent.is_object() || !addEvent(progress, completionEvent)) {
        return {};
    }
    // The caller sees one id even if several engines contributed to the answer.
    completionEvent["id"] = progress.id;
    return eventText(completionEvent);
}

} // namespace

std::uint64_t completion_progress::tokens() const
{
    return std::accumulate(segments.begin(), segments.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const token_segment &s) { return sum + s.tokens; });
}

std::string engineRequestBody(const call_record &call, std::int64_t priority)
{
    json body = json::parse(call.request.body.str(), nullptr, false);
    body["stream"] = true;
    body["priority"] = priority;
    body["request_id"] = absl::StrCat("r", call.number.value);
    if (!call.progress.text.empty()) {
        body["resume_text"] = call.progress.text;
        body["resume_tokens"] = call.progress.tokens();
    }
    return dump(body);
}

std::string parseStreamBytes(completion_progress &progress, const std::string &bytes)
{
    progress.unparsed += bytes;
    std::string callerBytes;
    std::size_t eventBegin = 0;
    for (std::size_t eventEnd = progress.unparsed.find(kEventSeparator); eventEnd != std::string::npos;
         eventEnd = progress.unparsed.find(kEventSeparator, eventBegin)) {
        callerBytes += parseEvent(progress, progress.unparsed.substr(eventBegin, eventEnd - eventBegin));
        eventBegin = eventEnd + kEventSeparator.size();
    }
    progress.unparsed.erase(0, eventBegin);
    return callerBytes;
}

std::string streamEndEvent()
{
    return absl::StrCat("data: ", std::string(kDoneMarker), "\n\n");
}

std::string streamErrorEvent(const request_error &error)
{
    return absl::StrCat("data: ", toJson(error), "\n\n");
}

std::string completionAnswerBody(const completion_progress &progress)
{
    json segments = json::array();
    for (const token_segment &segment : progress.segments) {
        segments.push_back({{"weight_version", segment.weightVersion}, {"tokens", segment.tokens}});
    }
    const json choice = {{"index", 0}, {"text", progress.text}, {"finish_reason", progress.finishReason}};
    return dump({{"id", progress.id},
                 {"choices", json::array({choice})},
                 {"segments", segments},
                 {"usage", {{"completion_tokens", progress.tokens()}}}});
}

std::string completionAnswerStream(const completion_progress &progress)
{
    const json choice = {{"index", 0}, {"text", progress.text}, {"finish_reason", progress.finishReason}};
    json completionEvent
            = {{"id", progress.id}, {"choices", json::array({choice})}, {"tokens", progress.tokens()}};
    if (!progress.segments.empty()) {
        completionEvent["weight_version"] = progress.segments.back().weightVersion;
    }
    return absl::StrCat(eventText(completionEvent), streamEndEvent());
}

} // namespace jacinthvale
