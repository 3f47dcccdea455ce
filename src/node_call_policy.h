/// Times that forwarded calls and forwarded streams have in common.
#pragma once

#include <jacinthvale/types.h>

namespace jacinthvale::node {

/// Time for which an upstream is ejected after a broken call. Short, because healthy upstreams also lose
/// single responses.
inline constexpr milliseconds kBrokenCallEjection{100};

/// Time for which an upstream is ejected after it refused a call.
inline constexpr milliseconds kRefusedCallEjection{100};

/// Time for which an upstream is ejected when another server responds at its address.
inline constexpr milliseconds kMisdirectedCallEjection{1000};

/// Retry-after delay for callers whose request has not run: a slot of an upstream becomes free within the
/// duration of a few calls.
inline constexpr milliseconds kRetryAfter{100};

/// Retry-after delay for callers whose request would crash one more upstream.
inline constexpr milliseconds kQuarantineRetryAfter{60'000};

} // namespace jacinthvale::node
