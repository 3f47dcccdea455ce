/// Workers of a plain service or scorer: a few calls run at a time, some wait, the rest are refused.
#pragma once

#include "service_loop.h"

#include <cxxopts.hpp>
#include <deque>

namespace jacinthvale::standin {

struct worker_pool_limits
{
    int workers = 8;
    int maxQueued = 64;
    milliseconds serviceTime{5};
};

/// Adds the options that readPoolLimits() reads.
void addPoolOptions(cxxopts::Options &options);
worker_pool_limits readPoolLimits(const cxxopts::ParseResult &parsed);

/// Runs calls in order of arrival.
class worker_pool
{
public:
    worker_pool(service_loop &loop, worker_pool_limits limits);

    /// Runs the call when a worker is free, or refuses it with 429 and the verdict not-run.
    /// @param begin must call finishLater() once.
    void submit(exchange_id exchange, std::function<void()> begin);

    /// Ends the run that has just begun after the service time.
    void finishLater(std::function<void()> finish);

    /// Takes a call that still waits out of the queue.
    void cancelQueued(exchange_id exchange);

    int running() const { return m_running; }
    int queued() const { return static_cast<int>(m_queue.size()); }
    int refused() const { return m_refused; }

private:
    struct waiting_call
    {
        exchange_id exchange;
        std::function<void()> begin;
    };

    void startNext();

    service_loop &m_loop;
    worker_pool_limits m_limits;
    int m_running = 0;
    int m_refused = 0;
    std::deque<waiting_call> m_queue;
};

} // namespace jacinthvale::standin
