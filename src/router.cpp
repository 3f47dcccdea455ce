#include <jacinthvale/router.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace jacinthvale {

namespace {

using candidate_list = std::vector<route_candidate>;

/// Share of good upstreams below which all are used.
constexpr double kPanicShare = 0.5;
/// Load above the mean that prefix affinity may cause.
constexpr double kAffinityOverload = 1.25;

template <typename Predicate>
candidate_list keepIf(const candidate_list &from, Predicate keep)
{
    candidate_list kept;
    std::ranges::copy_if(from, std::back_inserter(kept), keep);
    return kept;
}

/// Keeps those that the predicate holds for, or all where it holds for none.
template <typename Predicate>
candidate_list prefer(const candidate_list &from, Predicate good)
{
    candidate_list kept = keepIf(from, good);
    return kept.empty() ? from : kept;
}

const model_weights *findModel(const upstream_view &view, const std::string &model)
{
    const auto found = std::ranges::find(view.models, model_id{model}, &model_weights::model);
    return found == view.models.end() ? nullptr : &*found;
}

bool looksGood(const route_candidate &c)
{
    return c.view->condition == upstream_condition::serving && c.breakerAllows;
}

/// Leaves out upstreams that look bad, unless most do.
candidate_list withoutBad(const candidate_list &all)
{
    candidate_list good = keepIf(all, looksGood);
    const bool panic = static_cast<double>(good.size()) < kPanicShare * static_cast<double>(all.size());
    return panic ? all : good;
}

candidate_list withModel(const candidate_list &all, const std::string &model)
{
    const candidate_list loaded
            = prefer(all, [&](const route_candidate &c) { return findModel(*c.view, model) != nullptr; });
    return prefer(loaded, [&](const route_candidate &c) {
        const model_weights *weights = findModel(*c.view, model);
        return weights != nullptr && weights->versionKnown;
    });
}

const route_candidate &lessLoadedOfTwo(const candidate_list &from, instant now, std::uint64_t random)
{
    const std::size_t first = mixRandom(random, 0) % from.size();
    const std::size_t step = from.size() > 1 ? 1 + mixRandom(random, 1) % (from.size() - 1) : 0;
    const std::size_t second = (first + step) % from.size();
    return routeLoad(from[second], now) < routeLoad(from[first], now) ? from[second] : from[first];
}

/// Highest rendezvous hash among those whose load is near the mean.
const route_candidate &byPrefix(const candidate_list &from, std::uint64_t prefixHash, instant now)
{
    const double total
            = std::accumulate(from.begin(), from.end(), 0.0,
                              [&](double sum, const route_candidate &c) { return sum + routeLoad(c, now); });
    const double bound = kAffinityOverload * (total / static_cast<double>(from.size())) + 1;
    const candidate_list near
            = prefer(from, [&](const route_candidate &c) { return routeLoad(c, now) <= bound; });
    const auto rank = [&](const route_candidate &c) { return stableHash(c.view->id.value, prefixHash); };
    const auto best = std::ranges::max_element(near, {}, rank);
    return *std::ranges::find(from, best->view, &route_candidate::view);
}

} // namespace

double routeLoad(const route_candidate &candidate, instant now)
{
    const auto age = std::max(now - candidate.view->reportedAt, milliseconds{0});
    const double halves = static_cast<double>(age.count()) / static_cast<double>(kLoadReportHalfLife.count());
    const int reported = candidate.view->running + candidate.view->queued;
    return candidate.inFlight + reported * std::exp2(-halves);
}

route_choice chooseUpstream(std::span<const route_candidate> candidates, const route_wish &wish, instant now,
                            std::uint64_t random)
{
    const candidate_list given(candidates.begin(), candidates.end());
    const candidate_list staying = keepIf(given, [](const route_candidate &c) {
        return c.view->condition != upstream_condition::draining;
    });
    candidate_list fitting = withoutBad(staying);
    if (!wish.model.empty()) {
        fitting = withModel(fitting, wish.model);
    }
    fitting = prefer(fitting, [&](const route_candidate &c) {
        return std::ranges::find(wish.tried, c.view->id) == wish.tried.end();
    });
    if (fitting.empty()) {
        return {route_outcome::none, {}};
    }
    candidate_list free = keepIf(fitting, [](const route_candidate &c) { return c.hasRoom; });
    if (free.empty()) {
        return {route_outcome::all_busy, {}};
    }
    free = prefer(free, [&](const route_candidate &c) { return c.view->availabilityZone == wish.zone; });
    const route_candidate &chosen
            = wish.prefixHash ? byPrefix(free, *wish.prefixHash, now) : lessLoadedOfTwo(free, now, random);
    return {route_outcome::chosen, chosen.view->id};
}

} // namespace jacinthvale
