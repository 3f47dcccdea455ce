/// Jitter that keeps periodic work of many daemons apart.
#pragma once

#include <jacinthvale/types.h>

#include <algorithm>

namespace jacinthvale {

/// @returns the period with a jitter of up to a quarter up or down.
inline milliseconds jittered(milliseconds period, std::uint64_t random)
{
    const std::int64_t half = std::max<std::int64_t>(period.count() / 2, 1);
    const auto offset = static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half));
    return milliseconds{period.count() - half / 2 + offset};
}

} // namespace jacinthvale
