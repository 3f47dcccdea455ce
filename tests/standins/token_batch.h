/// Continuous batching: a few generations advance together, step by step; the others wait by priority.
#pragma once

#include <jacinthvale/types.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace jacinthvale::standin {

struct token_batch_limits
{
    int slots = 8;
    int maxQueued = 64;
    /// Tokens that one generation gets in one step.
    int tokensPerStep = 4;
    /// Steps before the first token of a prompt that is not in the cache.
    int prefillSteps = 2;
    /// Prompts whose prefix stays cached.
    std::size_t cachedPrompts = 64;
    /// One in so many generations takes stragglerFactor times as many steps; 0: none.
    int stragglerOneIn = 0;
    int stragglerFactor = 8;
};

/// What a caller asked for. maxTokens counts the resumed tokens, too.
struct generation_request
{
    exchange_id exchange;
    std::string requestId;
    std::string prompt;
    int maxTokens = 0;
    int resumedTokens = 0;
    int priority = 0;
    bool streamed = false;
};

/// Tokens that one generation got in one step.
struct generation_step
{
    generation_request request;
    int firstToken = 0;
    int tokens = 0;
    bool finished = false;
};

/// The generations of one engine.
class token_batch
{
public:
    explicit token_batch(token_batch_limits limits)
        : m_limits(limits)
    {}

    /// @returns false where the queue is full.
    bool submit(const generation_request &request);

    /// Ends a generation whose caller went away.
    /// @returns false where it is not known.
    bool cancel(exchange_id exchange);

    /// Advances every running generation by one step.
    std::vector<generation_step> step();

    /// The request's prompt needs no prefill any more: its KV cache was imported.
    void importCache(const std::string &requestId) { m_imported[requestId] = true; }

    /// @returns tokens that a known request has so far, or -1.
    int tokensOf(const std::string &requestId) const;

    int running() const { return static_cast<int>(m_running.size()); }
    int queued() const { return static_cast<int>(m_queue.size()); }
    bool empty() const { return m_running.empty() && m_queue.empty(); }
    int cacheHits() const { return m_cacheHits; }

private:
    struct generation
    {
        generation_request request;
        int tokens = 0;
        int prefillLeft = 0;
        int stepsPerToken = 1;
        int stepsSkipped = 0;
    };

    void admit();
    int prefillSteps(const generation_request &request);
    bool cached(const std::string &prompt);
    void remember(const std::string &requestId, int tokens);

    token_batch_limits m_limits;
    std::vector<generation> m_running;
    /// Sorted by priority, then by arrival.
    std::list<generation_request> m_queue;
    std::deque<std::string> m_cache;
    std::map<std::string, bool> m_imported;
    std::deque<std::pair<std::string, int>> m_recent;
    int m_cacheHits = 0;
};

} // namespace jacinthvale::standin
