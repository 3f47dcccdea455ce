/// Overload protection: adaptive concurrency limit, retry budget and circuit breaker.
///
/// Pure state machines: time comes in as an argument. Each can be embedded on its own.
#pragma once

#include <jacinthvale/types.h>

namespace jacinthvale {

/// Bounds of a concurrency_limiter, in requests at a time.
struct limiter_settings
{
    double initial = 16;
    double minimum = 1;
    double maximum = 512;
};

/// Limits the requests in flight at one upstream, from the latency that they meet.
///
/// The limit grows while latency stays near its baseline and shrinks by the ratio of baseline to recent
/// latency when requests queue up inside the upstream. The baseline is the lowest latency seen; it drifts up
/// slowly so that a lasting change of the upstream is learned.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(limiter_settings settings = {})
        : m_settings(settings)
        , m_limit(settings.initial)
    {}

    bool hasRoom() const { return m_inFlight < limit(); }
    int limit() const { return static_cast<int>(m_limit); }
    int inFlight() const { return m_inFlight; }

    /// A request is sent.
    void acquire() { ++m_inFlight; }

    /// A request ended. Call it once for each acquire().
    void release() { --m_inFlight; }

    /// Learns from a request that was served in this time.
    void noteLatency(milliseconds latency);

    /// Learns that the upstream refused a request or did not serve it in time.
    void noteOverload();

private:
    limiter_settings m_settings;
    double m_limit;
    int m_inFlight = 0;
    double m_baselineMs = 0;
    double m_recentMs = 0;
};

/// Token bucket that holds retries to a share of first attempts.
class retry_budget
{
public:
    /// @param reserve tokens at the start and the most that are kept; lets a quiet process retry at all.
    explicit retry_budget(double reserve = 10)
        : m_reserve(reserve)
        , m_tokens(reserve)
    {}

    /// A first attempt is made; it earns a share of a retry.
    void noteFirstAttempt(double retryShare);

    /// @returns true where a retry may be made now; its token is taken.
    bool tryRetry();

    double tokens() const { return m_tokens; }

private:
    double m_reserve;
    double m_tokens;
};

enum class breaker_state : std::uint8_t {
    /// Requests pass.
    closed,
    /// Requests are kept away until a probe succeeds.
    open,
    /// A probe succeeded: one request at a time until one is served.
    half_open,
};

/// Keeps requests away from an upstream that fails. The pause doubles with each failure in a row.
class circuit_breaker
{
public:
    breaker_state state() const { return m_state; }

    /// @returns true where a request may be sent, given the requests already in flight.
    bool allows(int inFlight) const
    {
        return m_state == breaker_state::closed || (m_state == breaker_state::half_open && inFlight == 0);
    }

    /// @returns true where the upstream is to be probed now.
    bool wantsProbe(instant now) const { return m_state == breaker_state::open && now >= m_openUntil; }

    void noteSuccess();

    /// @param threshold failures in a row that open the breaker
    void noteFailure(instant now, int threshold);

    /// Opens at once: a probe on a new connection failed.
    void noteProbeFailure(instant now);

    void noteProbeSuccess();

private:
    void open(instant now);

    breaker_state m_state = breaker_state::closed;
    int m_failures = 0;
    int m_openings = 0;
    instant m_openUntil{};
};

} // namespace jacinthvale
