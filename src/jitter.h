/// Jitter that spreads the periodic work of many daemons.
#pragma once

#include <jacinthvale/types.h>

#include <algorithm>

namespace jacinthvale {

/// @returns the period changed by a random offset of up to a quarter of it in either direction.
inline milliseconds jittered(milliseconds period, std::uint64_t random)
{
    const std::int64_t half = std::max<std::int64_t>(period.count() / 2, 1);
    const auto offset = static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half));
    return milliseconds{period.count() - half / 2 + offset};
}

} // namespace jacinthvale
