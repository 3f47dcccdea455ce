/// One-shot timer on the event loop.
#pragma once

#include <jacinthvale/types.h>

#include <event2/event.h>
#include <functional>

namespace jacinthvale {

/// Calls a function once after each start(). Starting a running timer again reschedules it.
class event_timer
{
public:
    event_timer(event_base *base, std::function<void()> onFire)
        : m_onFire(std::move(onFire))
        , m_event(evtimer_new(base, &event_timer::fire, this))
    {}
    ~event_timer() { event_free(m_event); }
    event_timer(const event_timer &) = delete;
    event_timer &operator=(const event_timer &) = delete;

    void start(milliseconds after)
    {
        constexpr int kMillisecondsPerSecond = 1000;
        const auto count = after.count() < 0 ? 0 : after.count();
        const timeval delay{count / kMillisecondsPerSecond,
                            (count % kMillisecondsPerSecond) * kMillisecondsPerSecond};
        evtimer_add(m_event, &delay);
    }

    void stop() { evtimer_del(m_event); }

private:
    static void fire(evutil_socket_t, short, void *self)
    {
        // Copied because the function may destroy this timer.
        const std::function<void()> onFire = static_cast<event_timer *>(self)->m_onFire;
        onFire();
    }

    std::function<void()> m_onFire;
    ::event *m_event;
};

} // namespace jacinthvale
