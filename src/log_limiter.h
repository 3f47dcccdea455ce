/// Rate limit of log lines of each kind.
#pragma once

#include <jacinthvale/types.h>

#include <map>
#include <optional>
#include <utility>

namespace jacinthvale {

/// Admits a limited number of log lines of each kind per second and counts the suppressed ones.
class log_limiter
{
public:
    explicit log_limiter(std::int64_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {}

    /// @returns std::nullopt if the line must be suppressed; otherwise the number of lines of this kind that
    /// were suppressed since the last admitted one.
    std::optional<std::int64_t> admit(const std::string &kind, instant now)
    {
        constexpr milliseconds kWindow{1000};
        window &current = m_windows[kind];
        if (now - current.begin >= kWindow) {
            current.begin = now;
            current.written = 0;
        }
        if (current.written >= m_linesPerSecond) {
            ++current.suppressed;
            return std::nullopt;
        }
        ++current.written;
        return std::exchange(current.suppressed, 0);
    }

private:
    struct window
    {
        instant begin{};
        std::int64_t written = 0;
        std::int64_t suppressed = 0;
    };

    std::int64_t m_linesPerSecond;
    std::map<std::string, window> m_windows;
};

} // namespace jacinthvale
