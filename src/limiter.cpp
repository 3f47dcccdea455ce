#include <jacinthvale/limiter.h>

#include <algorithm>
#include <cmath>

namespace jacinthvale {

namespace {

/// Latencies below this are treated alike: the clock is too coarse to compare them.
constexpr double kLatencyFloorMs = 5;
constexpr double kRecentWeight = 0.1;
constexpr double kBaselineDrift = 0.001;
/// Recent latency may be this many times the baseline before the limit shrinks.
constexpr double kTolerance = 2.0;
constexpr double kLowestGradient = 0.5;
constexpr double kSmoothing = 0.2;
constexpr double kOverloadFactor = 0.9;
constexpr milliseconds kFirstPause{500};
constexpr int kMaxDoublings = 5;

} // namespace

void concurrency_limiter::noteLatency(milliseconds latency)
{
    const double sample = std::max(static_cast<double>(latency.count()), kLatencyFloorMs);
    if (m_baselineMs == 0) {
        m_baselineMs = sample;
        m_recentMs = sample;
    }
    m_recentMs += kRecentWeight * (sample - m_recentMs);
    m_baselineMs = std::min(sample, m_baselineMs + kBaselineDrift * (sample - m_baselineMs));
    const double gradient = std::clamp(kTolerance * m_baselineMs / m_recentMs, kLowestGradient, 1.0);
    const double target = m_limit * gradient + std::sqrt(m_limit);
    const bool used = 2.0 * m_inFlight >= m_limit;
    if (target < m_limit || used) {
        m_limit += kSmoothing * (target - m_limit);
    }
    m_limit = std::clamp(m_limit, m_settings.minimum, m_settings.maximum);
}

void concurrency_limiter::noteOverload()
{
    m_limit = std::max(m_settings.minimum, m_limit * kOverloadFactor);
}

void retry_budget::noteFirstAttempt(double retryShare)
{
    m_tokens = std::min(m_reserve, m_tokens + retryShare);
}

bool retry_budget::tryRetry()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void circuit_breaker::noteSuccess()
{
    m_state = breaker_state::closed;
    m_failures = 0;
    m_openings = 0;
}

void circuit_breaker::noteFailure(instant now, int threshold)
{
    ++m_failures;
    if (m_state == breaker_state::half_open
        || (m_state == breaker_state::closed && m_failures >= threshold)) {
        open(now);
    }
}

void circuit_breaker::noteProbeFailure(instant now)
{
    open(now);
}

void circuit_breaker::noteProbeSuccess()
{
    if (m_state == breaker_state::open) {
        m_state = breaker_state::half_open;
    }
}

void circuit_breaker::open(instant now)
{
    m_state = breaker_state::open;
    m_openUntil = now + kFirstPause * (1 << std::min(m_openings, kMaxDoublings));
    ++m_openings;
    m_failures = 0;
}

} // namespace jacinthvale
