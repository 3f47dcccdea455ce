/// Overload protection: adaptive concurrency limit, retry budget and circuit breaker.
///
/// The classes are pure state machines: the caller passes the time. Each can be used on its own.
#pragma once

#include <jacinthvale/types.h>

namespace jacinthvale {

/// Initial value and bounds of the limit of a concurrency_limiter, in concurrent requests.
struct limiter_settings
{
    double initial = 16;
    double minimum = 1;
    double maximum = 512;
};

/// Adapts the limit of concurrent requests to one upstream to the measured latency.
///
/// The limit grows while latency stays near its baseline. It shrinks by the ratio of baseline to recent
/// latency when requests queue up inside the upstream. The baseline is the lowest latency seen; it drifts up
/// slowly, so that it follows a lasting slowdown of the upstream.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(limiter_settings settings = {})
        : m_settings(settings)
        , m_limit(settings.initial)
    {}

    bool hasCapacity() const { return m_inFlight < limit(); }
    int limit() const { return static_cast<int>(m_limit); }
    int inFlight() const { return m_inFlight; }

    /// Counts a request that is sent.
    void acquire() { ++m_inFlight; }

    /// Counts a request that ended. Must be called once for each acquire().
    void release() { --m_inFlight; }

    /// Adapts the limit to the latency of a request that was served.
    void recordLatency(milliseconds latency);

    /// Lowers the limit after the upstream refused a request or did not serve it in time.
    void recordOverload();

private:
    limiter_settings m_settings;
    double m_limit;
    int m_inFlight = 0;
    double m_baselineMs = 0;
    double m_recentMs = 0;
};

/// Token bucket that limits retries to a share of first attempts.
class retry_budget
{
public:
    /// @param capacity initial and maximum number of tokens; lets a process with little traffic retry.
    explicit retry_budget(double capacity = 10)
        : m_capacity(capacity)
        , m_tokens(capacity)
    {}

    /// Adds retryShare tokens for a first attempt.
    void recordFirstAttempt(double retryShare);

    /// Takes one token.
    /// @returns true if a token was left, so the retry may be made.
    bool tryRetry();

    double tokens() const { return m_tokens; }

private:
    double m_capacity;
    double m_tokens;
};

enum class breaker_state : std::uint8_t {
    /// Requests are allowed.
    closed,
    /// Requests are blocked until a probe succeeds.
    open,
    /// A probe succeeded; one request at a time is allowed until one is served.
    half_open,
};

/// Blocks requests to a failing upstream. The time until the next probe doubles with each opening in a row,
/// up to a maximum.
class circuit_breaker
{
public:
    breaker_state state() const { return m_state; }

    /// @returns true if a request may be sent, given the number already in flight.
    bool allows(int inFlight) const
    {
        return m_state == breaker_state::closed || (m_state == breaker_state::half_open && inFlight == 0);
    }

    /// @returns true if the upstream should be probed now.
    bool isProbeDue(instant now) const { return m_state == breaker_state::open && now >= m_openUntil; }

    void recordSuccess();

    /// @param threshold number of consecutive failures that opens the breaker
    void recordFailure(instant now, int threshold);

    /// Opens the breaker at once, because a probe on a new connection failed.
    void recordProbeFailure(instant now);

    void recordProbeSuccess();

private:
    void open(instant now);

    breaker_state m_state = breaker_state::closed;
    int m_consecutiveFailures = 0;
    int m_consecutiveOpenings = 0;
    instant m_openUntil{};
};

} // namespace jacinthvale
