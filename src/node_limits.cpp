// Upstreams that limit the requests per second which they take from all daemons together.
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Lower bound of a named limit in requests per second: only a response tells when the limit is lifted, so
/// some requests have to go on.
constexpr double kMinLimit = 0.25;

/// Time between two log lines on the use of one upstream.
constexpr milliseconds kUseLogInterval{1000};

/// @returns the number with two decimals.
std::string formatRate(double perSecond)
{
    constexpr double kHundredths = 100;
    const auto rounded = static_cast<std::int64_t>(perSecond * kHundredths + 0.5);
    const std::string fraction = std::to_string(rounded % 100);
    return std::to_string(rounded / 100) + (fraction.size() < 2 ? ".0" : ".") + fraction;
}

} // namespace

void onUpstreamLimitRead(step &s, const upstream_limit_read &read)
{
    const auto found = s.state.upstreams.find(read.upstream);
    if (found == s.state.upstreams.end() || read.op <= found->second.lastEarlierOp) {
        s.log("limit-ignored", read.upstream.value,
              found == s.state.upstreams.end() ? "the table does not list the upstream"
                                               : "the response came from an earlier process");
        return;
    }
    rate_limit &limit = found->second.limit;
    const double perSecond = read.requestsPerSecond ? std::max(kMinLimit, *read.requestsPerSecond) : 0;
    if (limit.perSecond != perSecond) {
        s.log(perSecond > 0 ? "upstream-limited" : "upstream-limit-lifted", read.upstream.value,
              "requests per second from all daemons: " + formatRate(perSecond)
                      + ", before: " + formatRate(limit.perSecond));
    }
    limit = {perSecond, storeTime(s.state, s.ctx.now)};
}

void recordSent(step &s, upstream_view &view, bool isRepeated)
{
    if (view.limit.perSecond <= 0) {
        return;
    }
    ++view.limitedUse.sent;
    view.limitedUse.repeated += isRepeated ? 1 : 0;
    s.emit(count{"limited_requests_total"});
}

void logLimitedUse(step &s)
{
    for (auto &[id, view] : s.state.upstreams) {
        limited_use &use = view.limitedUse;
        if (use.sent == 0 || s.ctx.now - use.loggedAt < kUseLogInterval) {
            continue;
        }
        s.log("limited-upstream-used", id.value,
              "sent " + std::to_string(use.sent) + ", of these repeated " + std::to_string(use.repeated)
                      + ", limit of all daemons " + formatRate(view.limit.perSecond) + " per second");
        use = {0, 0, s.ctx.now};
    }
}

} // namespace jacinthvale::node
