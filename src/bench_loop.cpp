#include "bench_loop.h"

#include <algorithm>
#include <event2/event.h>

namespace jacinthvale::bench {

namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::size_t kMaxIdlePerTarget = 1024;

http_client_limits clientLimits()
{
    http_client_limits limits;
    limits.maxIdlePerTarget = kMaxIdlePerTarget;
    return limits;
}

} // namespace

struct bench_loop::pending_action
{
    bench_loop *owner = nullptr;
    std::list<pending_action>::iterator self;
    ::event *timer = nullptr;
    std::function<void()> action;
};

bench_loop::bench_loop()
    : m_base(event_base_new())
    , m_client(std::make_unique<http_client>(m_base, clientLimits()))
    , m_start(std::chrono::steady_clock::now())
{}

bench_loop::~bench_loop()
{
    m_client.reset();
    std::ranges::for_each(m_pending, [](const pending_action &one) { event_free(one.timer); });
    event_base_free(m_base);
}

std::int64_t bench_loop::nowMicroseconds() const
{
    const auto passed = std::chrono::steady_clock::now() - m_start;
    return std::chrono::duration_cast<std::chrono::microseconds>(passed).count();
}

milliseconds bench_loop::now() const
{
    return milliseconds{nowMicroseconds() / kMicrosecondsPerMillisecond};
}

void bench_loop::fire(int, short, void *argument)
{
    auto *pending = static_cast<pending_action *>(argument);
    const std::function<void()> action = std::move(pending->action);
    event_free(pending->timer);
    pending->owner->m_pending.erase(pending->self);
    action();
}

void bench_loop::after(milliseconds delay, std::function<void()> action)
{
    at(nowMicroseconds() + delay.count() * kMicrosecondsPerMillisecond, std::move(action));
}

void bench_loop::at(std::int64_t microseconds, std::function<void()> action)
{
    const std::int64_t delay = std::max<std::int64_t>(microseconds - nowMicroseconds(), 0);
    const timeval interval{delay / kMicrosecondsPerSecond, delay % kMicrosecondsPerSecond};
    pending_action &pending = m_pending.emplace_front();
    pending = {this, m_pending.begin(), nullptr, std::move(action)};
    pending.timer = evtimer_new(m_base, &bench_loop::fire, &pending);
    evtimer_add(pending.timer, &interval);
}

void bench_loop::run()
{
    event_base_dispatch(m_base);
}

void bench_loop::stop()
{
    event_base_loopbreak(m_base);
}

} // namespace jacinthvale::bench
