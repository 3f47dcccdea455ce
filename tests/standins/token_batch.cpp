#include "token_batch.h"

#include <algorithm>

namespace jacinthvale::standin {

namespace {

constexpr std::size_t kPrefixLength = 64;
constexpr std::size_t kMaxRecent = 1024;

} // namespace

bool token_batch::submit(const generation_request &request)
{
    if (queued() >= m_limits.maxQueued) {
        return false;
    }
    const auto later = std::ranges::find_if(
            m_queue, [&](const generation_request &other) { return other.priority > request.priority; });
    m_queue.insert(later, request);
    admit();
    return true;
}

bool token_batch::cancel(exchange_id exchange)
{
    const auto waiting = std::ranges::find(m_queue, exchange, &generation_request::exchange);
    if (waiting != m_queue.end()) {
        m_queue.erase(waiting);
        return true;
    }
    const auto running = std::ranges::find_if(
            m_running, [&](const generation &one) { return one.request.exchange == exchange; });
    if (running == m_running.end()) {
        return false;
    }
    remember(running->request.requestId, running->tokens);
    m_running.erase(running);
    admit();
    return true;
}

void token_batch::admit()
{
    while (running() < m_limits.slots && !m_queue.empty()) {
        generation next;
        next.request = std::move(m_queue.front());
        m_queue.pop_front();
        next.tokens = next.request.resumedTokens;
        next.prefillLeft = prefillSteps(next.request);
        const auto draw = stableHash(next.request.requestId);
        if (m_limits.stragglerOneIn > 0 && draw % static_cast<std::uint64_t>(m_limits.stragglerOneIn) == 0) {
            next.stepsPerToken = m_limits.stragglerFactor;
        }
        m_running.push_back(std::move(next));
    }
}

int token_batch::prefillSteps(const generation_request &request)
{
    if (m_imported.erase(request.requestId) > 0) {
        return 0;
    }
    return cached(request.prompt) ? 0 : m_limits.prefillSteps;
}

/// Looks the prompt's prefix up and makes it the most recently used one.
bool token_batch::cached(const std::string &prompt)
{
    const std::string prefix = prompt.substr(0, kPrefixLength);
    const auto found = std::ranges::find(m_cache, prefix);
    const bool hit = found != m_cache.end();
    if (hit) {
        ++m_cacheHits;
        m_cache.erase(found);
    }
    m_cache.push_back(prefix);
    if (m_cache.size() > m_limits.cachedPrompts) {
        m_cache.pop_front();
    }
    return hit;
}

std::vector<generation_step> token_batch::step()
{
    std::vector<generation_step> steps;
    for (generation &one : m_running) {
        if (one.prefillLeft > 0) {
            --one.prefillLeft;
            continue;
        }
        if (++one.stepsSkipped < one.stepsPerToken) {
            continue;
        }
        one.stepsSkipped = 0;
        const int first = one.tokens;
        one.tokens = std::min(one.tokens + m_limits.tokensPerStep, one.request.maxTokens);
        const bool finished = one.tokens >= one.request.maxTokens;
        steps.push_back({one.request, first, one.tokens - first, finished});
    }
    std::erase_if(m_running, [](const generation &one) { return one.tokens >= one.request.maxTokens; });
    admit();
    return steps;
}

void token_batch::remember(const std::string &requestId, int tokens)
{
    m_recent.emplace_back(requestId, tokens);
    if (m_recent.size() > kMaxRecent) {
        m_recent.pop_front();
    }
}

int token_batch::tokensOf(const std::string &requestId) const
{
    const auto running = std::ranges::find_if(
            m_running, [&](const generation &one) { return one.request.requestId == requestId; });
    if (running != m_running.end()) {
        return running->tokens;
    }
    const auto recent = std::ranges::find_if(m_recent.rbegin(), m_recent.rend(),
                                             [&](const auto &entry) { return entry.first == requestId; });
    return recent == m_recent.rend() ? -1 : recent->second;
}

} // namespace jacinthvale::standin
