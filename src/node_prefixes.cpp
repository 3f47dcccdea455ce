#include <jacinthvale/node_prefixes.h>

#include <algorithm>
#include <numeric>
#include <range/v3/algorithm/min_element.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

std::uint64_t keyOf(const model_id &model, const prompt_part &part)
{
    return stableHash(model.value, part.id);
}

} // namespace

double shared_prompt::tokens() const
{
    return ranges::accumulate(parts | ranges::views::transform(&prompt_part::tokens), 0.0);
}

shared_prompt sharedPromptOf(const model_id &model, const batch_item &item)
{
    if (!item.promptParts.empty()) {
        return {model, {item.promptParts.begin(), std::prev(item.promptParts.end())}};
    }
    if (item.group.empty() || item.promptTokens == 0) {
        return {model, {}};
    }
    return {model, {{stableHash(item.group, item.promptTokens), item.promptTokens}}};
}

double held_prompts::tokensHeld(const shared_prompt &prompt, const weight_versions &weights) const
{
    if (weights != m_weights) {
        return 0;
    }
    const auto firstMissing = std::ranges::find_if(prompt.parts, [&](const prompt_part &part) {
        return !m_parts.contains(keyOf(prompt.model, part));
    });
    return std::accumulate(prompt.parts.begin(), firstMissing, 0.0,
                           [](double sum, const prompt_part &part) { return sum + part.tokens; });
}

void held_prompts::recordUse(const shared_prompt &prompt, const weight_versions &weights, double capacity)
{
    if (weights != m_weights) {
        *this = {};
        m_weights = weights;
    }
    ++m_useCount;
    for (const prompt_part &part : prompt.parts) {
        const auto [found, isNew] = m_parts.try_emplace(keyOf(prompt.model, part));
        if (isNew) {
            found->second.tokens = part.tokens;
            m_tokens += part.tokens;
        }
        found->second.lastUse = m_useCount;
    }
    while (!m_parts.empty() && (m_parts.size() > kMaxParts || (capacity > 0 && m_tokens > capacity))) {
        dropLeastRecentlyUsed();
    }
}

void held_prompts::dropLeastRecentlyUsed()
{
    const auto oldest
            = ranges::min_element(m_parts, {}, [](const auto &entry) { return entry.second.lastUse; });
    m_tokens -= oldest->second.tokens;
    m_parts.erase(oldest);
}

} // namespace jacinthvale::node
