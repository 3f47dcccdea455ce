/// Rate limit for stand-ins.
#pragma once

#include <jacinthvale/types.h>

#include <algorithm>

namespace jacinthvale::standin {

/// Tokens that refill with time, at most one second's worth. A rate of 0 means no limit.
class token_bucket
{
public:
    explicit token_bucket(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {}

    /// Takes tokens if there are any. A large request may overdraw; later ones then wait for the refill.
    bool take(double amount, milliseconds now)
    {
        constexpr double kMillisecondsPerSecond = 1000;
        if (m_perSecond <= 0) {
            return true;
        }
        const double elapsed = static_cast<double>((now - m_last).count()) / kMillisecondsPerSecond;
        m_tokens = std::min(m_perSecond, m_tokens + elapsed * m_perSecond);
        m_last = now;
        if (m_tokens <= 0) {
            return false;
        }
        m_tokens -= amount;
        return true;
    }

private:
    double m_perSecond;
    double m_tokens;
    milliseconds m_last{0};
};

} // namespace jacinthvale::standin
