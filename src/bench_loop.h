/// Event loop of jvbench with its clock and HTTP client.
#pragma once

#include <jacinthvale/event_timer.h>
#include <jacinthvale/http_client.h>

#include <functional>
#include <list>
#include <memory>

namespace jacinthvale::bench {

/// Loop that clients of one run share. Times are counted from start().
class bench_loop
{
public:
    bench_loop();
    ~bench_loop();
    bench_loop(const bench_loop &) = delete;
    bench_loop &operator=(const bench_loop &) = delete;

    void start() { m_start = std::chrono::steady_clock::now(); }
    std::int64_t nowMicroseconds() const;
    milliseconds now() const;

    /// Calls a function once, later; at the earliest from the loop, never from inside this call.
    void after(milliseconds delay, std::function<void()> action);
    /// Like after(), until a point in microseconds since start(). Not earlier than that point.
    void at(std::int64_t microseconds, std::function<void()> action);

    http_call_handle call(const call_http &what, http_call_listener listener)
    {
        return m_client->start(what, std::move(listener));
    }

    void run();
    void stop();

private:
    struct pending_action;

    static void fire(int, short, void *argument);

    event_base *m_base;
    std::unique_ptr<http_client> m_client;
    std::chrono::steady_clock::time_point m_start;
    std::list<pending_action> m_pending;
};

} // namespace jacinthvale::bench
