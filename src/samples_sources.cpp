// What engines report, and what their reports prove about the versions of tokens.
#include <jacinthvale/sample_sources.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace jacinthvale {

namespace {

/// Swaps that two status reads show: models whose version differs.
std::uint64_t countChanged(const engine_status &before, const engine_status &after)
{
    return static_cast<std::uint64_t>(std::ranges::count_if(after.models, [&](const auto &item) {
        const auto old = before.models.find(item.first);
        return old == before.models.end() || old->second.version != item.second.version;
    }));
}

/// @returns the version of a model; none where it is absent or unclear.
std::optional<weight_version> clearVersion(const engine_status &status, const model_id &model)
{
    const auto found = status.models.find(model);
    const bool clear = found != status.models.end() && found->second.versionKnown;
    return clear ? std::optional(found->second.version) : std::nullopt;
}

} // namespace

std::optional<engine_status> readEngineStatus(const std::string &body)
{
    try {
        const nlohmann::json value = nlohmann::json::parse(body);
        engine_status status;
        status.incarnation = {value.at("incarnation").get<std::uint64_t>()};
        status.swapCounter = value.at("swapCounter").get<std::uint64_t>();
        status.leaving = value.value("leaving", false);
        for (const nlohmann::json &one : value.at("models")) {
            const model_id model{one.at("model").get<std::string>()};
            status.models[model]
                    = {model, {one.at("version").get<std::uint64_t>()}, one.at("clear").get<bool>()};
        }
        return status;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

bool provesVersions(const engine_status &before, const engine_status &after, const model_id &model)
{
    const std::optional<weight_version> version = clearVersion(before, model);
    return before.incarnation == after.incarnation && version && version == clearVersion(after, model)
           && after.swapCounter - before.swapCounter == countChanged(before, after);
}

void appendTokens(partial_sample &partial, const std::string &text, weight_version version,
                  std::uint64_t tokens)
{
    partial.text += text;
    if (tokens == 0) {
        return;
    }
    if (partial.segments.empty() || partial.segments.back().version != version) {
        partial.segments.push_back({version, 0});
    }
    partial.segments.back().tokens += tokens;
}

std::uint64_t countTokens(const partial_sample &partial)
{
    return std::accumulate(
            partial.segments.begin(), partial.segments.end(), std::uint64_t{0},
            [](std::uint64_t sum, const sample_segment &segment) { return sum + segment.tokens; });
}

} // namespace jacinthvale
