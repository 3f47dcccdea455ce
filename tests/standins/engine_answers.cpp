#include "engine_answers.h"

#include "token_text.h"

#include <algorithm>
#include <iterator>

namespace jacinthvale::standin {

namespace {

using json = nlohmann::json;

void addToSegments(json &segments, std::uint64_t version, int tokens)
{
    if (segments.empty() || segments.back().at("weight_version") != version) {
        segments.push_back({{"weight_version", version}, {"tokens", 0}});
    }
    json &last = segments.back();
    last["tokens"] = last["tokens"].get<int>() + tokens;
}

json choices(const std::string &text, bool finished)
{
    return json::array(
            {{{"index", 0}, {"text", text}, {"finish_reason", finished ? json("length") : json()}}});
}

} // namespace

void engine_answers::open(const generation_request &request, const std::string &model)
{
    m_open[request.exchange] = {request, model, "", json::array(), 0};
}

std::string engine_answers::append(const generation_step &step, std::uint64_t held, std::uint64_t reported)
{
    growing_answer &answer = m_open.at(step.request.exchange);
    const std::uint32_t hash = hashPrompt(step.request.prompt);
    std::string text;
    for (int i = 0; i < step.tokens; ++i) {
        text += toString(token_text{hash, step.firstToken + i, held});
    }
    if (!step.request.streamed) {
        answer.text += text;
        answer.tokens += step.tokens;
        addToSegments(answer.segments, reported, step.tokens);
        return {};
    }
    const json event = {{"id", step.request.requestId},
                        {"choices", choices(text, step.finished)},
                        {"weight_version", reported},
                        {"tokens", step.tokens}};
    return "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

json engine_answers::whole(exchange_id exchange) const
{
    const growing_answer &answer = m_open.at(exchange);
    return {{"id", answer.request.requestId},
            {"choices", choices(answer.text, true)},
            {"segments", answer.segments},
            {"usage", {{"completion_tokens", answer.tokens}}}};
}

std::vector<exchange_id> engine_answers::exchanges() const
{
    std::vector<exchange_id> result;
    std::ranges::transform(m_open, std::back_inserter(result), [](const auto &entry) { return entry.first; });
    return result;
}

} // namespace jacinthvale::standin
