// Status of the requests domain, for GET /v1/status.
#include <jacinthvale/requests.h>

#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

std::string_view toString(breaker_state state)
{
    switch (state) {
    case breaker_state::closed:
        return "closed";
    case breaker_state::open:
        return "open";
    case breaker_state::half_open:
        return "half-open";
    }
    return "unknown";
}

nlohmann::json describeUpstreams(const requests_state &state)
{
    nlohmann::json upstreams = nlohmann::json::array();
    for (const auto &[id, upstream] : state.upstreams) {
        upstreams.push_back({{"upstream", id.value},
                             {"inFlight", upstream.limiter.inFlight()},
                             {"limit", upstream.limiter.limit()},
                             {"breaker", toString(upstream.breaker.state())}});
    }
    return upstreams;
}

nlohmann::json describePools(const requests_state &state)
{
    nlohmann::json pools = nlohmann::json::object();
    for (const auto &[name, pool] : state.pools) {
        pools[name] = {{"queued", pool.queue.size()}, {"serviceMs", pool.serviceMs}};
    }
    return pools;
}

} // namespace

std::string describeRequests(const requests_state &state, const context &ctx)
{
    const nlohmann::json status
            = {{"calls", state.calls.size()},          {"keyedRuns", state.runs.size()},
               {"tickets", state.tickets.size()},      {"ticketsValid", state.tickets.hasRedeemable(ctx.now)},
               {"retryTokens", state.budget.tokens()}, {"claimWritesPending", state.claimWrites.pending()},
               {"pools", describePools(state)},        {"upstreams", describeUpstreams(state)}};
    return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace jacinthvale
