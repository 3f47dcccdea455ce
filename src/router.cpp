#include <jacinthvale/router.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace jacinthvale {

namespace {

using candidate_list = std::vector<route_candidate>;

/// Share of healthy upstreams below which the unhealthy ones are used too.
constexpr double kPanicThreshold = 0.5;
/// Prefix affinity uses an upstream up to this multiple of the mean load, plus one request.
constexpr double kAffinityLoadFactor = 1.25;

template <typename Predicate>
candidate_list filter(const candidate_list &from, Predicate matches)
{
    candidate_list matching;
    std::ranges::copy_if(from, std::back_inserter(matching), matches);
    return matching;
}

/// @returns the candidates that match the predicate, or all candidates if none matches.
template <typename Predicate>
candidate_list filterOrAll(const candidate_list &from, Predicate matches)
{
    candidate_list matching = filter(from, matches);
    return matching.empty() ? from : matching;
}

const model_weights *findModel(const upstream_view &view, const std::string &model)
{
    const auto found = std::ranges::find(view.models, model_id{model}, &model_weights::model);
    return found == view.models.end() ? nullptr : &*found;
}

bool isHealthy(const route_candidate &c)
{
    return c.view->condition == upstream_condition::serving && c.breakerAllows;
}

/// Excludes unhealthy upstreams, unless most are unhealthy.
candidate_list excludeUnhealthy(const candidate_list &all)
{
    candidate_list healthy = filter(all, isHealthy);
    const bool panic
            = static_cast<double>(healthy.size()) < kPanicThreshold * static_cast<double>(all.size());
    return panic ? all : healthy;
}

candidate_list filterByModel(const candidate_list &all, const std::string &model)
{
    const candidate_list loaded = filterOrAll(
            all, [&](const route_candidate &c) { return findModel(*c.view, model) != nullptr; });
    return filterOrAll(loaded, [&](const route_candidate &c) {
        const model_weights *weights = findModel(*c.view, model);
        return weights != nullptr && weights->versionKnown;
    });
}

const route_candidate &pickLessLoadedOfTwo(const candidate_list &from, instant now, std::uint64_t random)
{
    const std::size_t first = mixRandom(random, 0) % from.size();
    const std::size_t step = from.size() > 1 ? 1 + mixRandom(random, 1) % (from.size() - 1) : 0;
    const std::size_t second = (first + step) % from.size();
    return effectiveLoad(from[second], now) < effectiveLoad(from[first], now) ? from[second] : from[first];
}

/// Picks the upstream with the highest rendezvous hash among those that are not loaded far above the mean.
const route_candidate &pickByPrefix(const candidate_list &from, std::uint64_t prefixHash, instant now)
{
    const double total
            = std::accumulate(from.begin(), from.end(), 0.0, [&](double sum, const route_candidate &c) {
                  return sum + effectiveLoad(c, now);
              });
    const double bound = kAffinityLoadFactor * (total / static_cast<double>(from.size())) + 1;
    const candidate_list belowBound
            = filterOrAll(from, [&](const route_candidate &c) { return effectiveLoad(c, now) <= bound; });
    const auto rank = [&](const route_candidate &c) { return stableHash(c.view->id.value, prefixHash); };
    const auto best = std::ranges::max_element(belowBound, {}, rank);
    return *std::ranges::find(from, best->view, &route_candidate::view);
}

} // namespace

double effectiveLoad(const route_candidate &candidate, instant now)
{
    const auto age = std::max(now - candidate.view->reportedAt, milliseconds{0});
    const double halfLives
            = static_cast<double>(age.count()) / static_cast<double>(kLoadReportHalfLife.count());
    const int reported = candidate.view->running + candidate.view->queued;
    return candidate.inFlight + reported * std::exp2(-halfLives);
}

route_choice chooseUpstream(std::span<const route_candidate> candidates, const route_request &request,
                            instant now, std::uint64_t random)
{
    const candidate_list all(candidates.begin(), candidates.end());
    const candidate_list notDraining = filter(
            all, [](const route_candidate &c) { return c.view->condition != upstream_condition::draining; });
    candidate_list suitable = excludeUnhealthy(notDraining);
    if (!request.model.empty()) {
        suitable = filterByModel(suitable, request.model);
    }
    suitable = filterOrAll(suitable, [&](const route_candidate &c) {
        return std::ranges::find(request.tried, c.view->id) == request.tried.end();
    });
    if (suitable.empty()) {
        return {route_outcome::none, {}};
    }
    candidate_list available = filter(suitable, [](const route_candidate &c) { return c.hasCapacity; });
    if (available.empty()) {
        return {route_outcome::all_at_limit, {}};
    }
    available = filterOrAll(
            available, [&](const route_candidate &c) { return c.view->availabilityZone == request.zone; });
    const route_candidate &chosen = request.prefixHash ? pickByPrefix(available, *request.prefixHash, now)
                                                       : pickLessLoadedOfTwo(available, now, random);
    return {route_outcome::chosen, chosen.view->id};
}

} // namespace jacinthvale
