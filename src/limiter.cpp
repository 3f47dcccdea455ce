#include <jacinthvale/limiter.h>

#include <algorithm>
#include <cmath>

namespace jacinthvale {

namespace {

/// Lower latencies are raised to this value, because the clock is too coarse to compare them.
constexpr double kLatencyFloorMs = 5;
constexpr double kRecentLatencyWeight = 0.1;
constexpr double kBaselineDriftWeight = 0.001;
/// Ratio of recent latency to baseline above which the limit shrinks.
constexpr double kLatencyTolerance = 2.0;
constexpr double kMinGradient = 0.5;
constexpr double kLimitSmoothing = 0.2;
constexpr double kOverloadLimitFactor = 0.9;
constexpr milliseconds kInitialOpenDuration{500};
constexpr int kMaxOpenDoublings = 5;

} // namespace

void concurrency_limiter::recordLatency(milliseconds latency)
{
    const double sample = std::max(static_cast<double>(latency.count()), kLatencyFloorMs);
    if (m_baselineMs == 0) {
        m_baselineMs = sample;
        m_recentMs = sample;
    }
    m_recentMs += kRecentLatencyWeight * (sample - m_recentMs);
    m_baselineMs = std::min(sample, m_baselineMs + kBaselineDriftWeight * (sample - m_baselineMs));
    const double gradient = std::clamp(kLatencyTolerance * m_baselineMs / m_recentMs, kMinGradient, 1.0);
    const double target = m_limit * gradient + std::sqrt(m_limit);
    const bool halfUsed = 2.0 * m_inFlight >= m_limit;
    if (target < m_limit || halfUsed) {
        m_limit += kLimitSmoothing * (target - m_limit);
    }
    m_limit = std::clamp(m_limit, m_settings.minimum, m_settings.maximum);
}

void concurrency_limiter::recordOverload()
{
    m_limit = std::max(m_settings.minimum, m_limit * kOverloadLimitFactor);
}

void retry_budget::recordFirstAttempt(double retryShare)
{
    m_tokens = std::min(m_capacity, m_tokens + retryShare);
}

bool retry_budget::tryRetry()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void circuit_breaker::recordSuccess()
{
    m_state = breaker_state::closed;
    m_consecutiveFailures = 0;
    m_consecutiveOpenings = 0;
}

void circuit_breaker::recordFailure(instant now, int threshold)
{
    ++m_consecutiveFailures;
    if (m_state == breaker_state::half_open
        || (m_state == breaker_state::closed && m_consecutiveFailures >= threshold)) {
        open(now);
    }
}

void circuit_breaker::recordProbeFailure(instant now)
{
    open(now);
}

void circuit_breaker::recordProbeSuccess()
{
    if (m_state == breaker_state::open) {
        m_state = breaker_state::half_open;
    }
}

void circuit_breaker::open(instant now)
{
    m_state = breaker_state::open;
    m_openUntil = now + kInitialOpenDuration * (1 << std::min(m_consecutiveOpenings, kMaxOpenDoublings));
    ++m_consecutiveOpenings;
    m_consecutiveFailures = 0;
}

} // namespace jacinthvale
