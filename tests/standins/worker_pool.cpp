#include "worker_pool.h"

#include <nlohmann/json.hpp>

namespace jacinthvale::standin {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpTooMany = 429;

} // namespace

void addPoolOptions(cxxopts::Options &options)
{
    options.add_options()("workers", "calls that run at a time", cxxopts::value<int>()->default_value("8"))(
            "max-queued", "calls that wait", cxxopts::value<int>()->default_value("64"))(
            "service-ms", "time of one call", cxxopts::value<int>()->default_value("5"));
}

worker_pool_limits readPoolLimits(const cxxopts::ParseResult &parsed)
{
    return {parsed["workers"].as<int>(), parsed["max-queued"].as<int>(),
            milliseconds{parsed["service-ms"].as<int>()}};
}

worker_pool::worker_pool(service_loop &loop, worker_pool_limits limits)
    : m_loop(loop)
    , m_limits(limits)
{
    loop.onFault("service_time", [this](const nlohmann::json &body, nlohmann::json &) {
        m_limits.serviceTime = milliseconds{body.at("ms").get<int>()};
        return kHttpOk;
    });
}

void worker_pool::submit(exchange_id exchange, std::function<void()> begin)
{
    if (queued() >= m_limits.maxQueued) {
        ++m_refused;
        m_loop.refuse(exchange, kHttpTooMany, "queue-full");
        return;
    }
    m_queue.push_back({exchange, std::move(begin)});
    startNext();
}

void worker_pool::startNext()
{
    if (m_running >= m_limits.workers || m_queue.empty()) {
        return;
    }
    const waiting_call next = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_running;
    next.begin();
}

void worker_pool::finishLater(std::function<void()> finish)
{
    m_loop.after(m_limits.serviceTime, [this, finish = std::move(finish)] {
        --m_running;
        finish();
        startNext();
    });
}

void worker_pool::cancelQueued(exchange_id exchange)
{
    std::erase_if(m_queue, [&](const waiting_call &call) { return call.exchange == exchange; });
}

} // namespace jacinthvale::standin
