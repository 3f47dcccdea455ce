#include "bench_loop.h"

#include <algorithm>
#include <event2/event.h>

namespace jacinthvale::bench {

namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::size_t kMaxIdlePerTarget = 1024;

void fire(evutil_socket_t, short, void *argument)
{
    const std::unique_ptr<std::function<void()>> action(static_cast<std::function<void()> *>(argument));
    (*action)();
}

http_client_limits clientLimits()
{
    http_client_limits limits;
    limits.maxIdlePerTarget = kMaxIdlePerTarget;
    return limits;
}

} // namespace

bench_loop::bench_loop()
    : m_base(event_base_new())
    , m_client(std::make_unique<http_client>(m_base, clientLimits()))
    , m_start(std::chrono::steady_clock::now())
{}

bench_loop::~bench_loop()
{
    m_client.reset();
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

void bench_loop::arm(const timeval &delay, std::function<void()> action)
{
    event_base_once(m_base, -1, EV_TIMEOUT, fire, new std::function<void()>(std::move(action)), &delay);
}

void bench_loop::after(milliseconds delay, std::function<void()> action)
{
    at(nowMicroseconds() + delay.count() * kMicrosecondsPerMillisecond, std::move(action));
}

void bench_loop::at(std::int64_t microseconds, std::function<void()> action)
{
    const std::int64_t delay = std::max<std::int64_t>(microseconds - nowMicroseconds(), 0);
    arm({delay / kMicrosecondsPerSecond, delay % kMicrosecondsPerSecond}, std::move(action));
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
