/// Bounds the volume of log lines of each kind, and counts what was left out.
#pragma once

#include <jacinthvale/types.h>

#include <map>
#include <optional>
#include <utility>

namespace jacinthvale {

class log_limiter
{
public:
    explicit log_limiter(std::int64_t linesPerSecond)
        : m_limit(linesPerSecond)
    {}

    /// @returns none where the line is left out; else the number of lines of this kind left out since the
    /// last one.
    std::optional<std::int64_t> admit(const std::string &kind, instant now)
    {
        constexpr milliseconds kWindow{1000};
        window &last = m_windows[kind];
        if (now - last.begin >= kWindow) {
            last.begin = now;
            last.written = 0;
        }
        if (last.written >= m_limit) {
            ++last.leftOut;
            return std::nullopt;
        }
        ++last.written;
        return std::exchange(last.leftOut, 0);
    }

private:
    struct window
    {
        instant begin{};
        std::int64_t written = 0;
        std::int64_t leftOut = 0;
    };

    std::int64_t m_limit;
    std::map<std::string, window> m_windows;
};

} // namespace jacinthvale
