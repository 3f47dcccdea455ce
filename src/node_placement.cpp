#include "node_placement.h"

#include "node_step.h"

#include <algorithm>
#include <range/v3/algorithm/sort.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/range/conversion.hpp>
#include <range/v3/view/filter.hpp>
#include <range/v3/view/map.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

/// A pace older than this says nothing: the upstream may have recovered. Slow spells last about 8 s.
constexpr milliseconds kPaceAge{4000};

/// An upstream that was named for an order of weights refuses new runs for about this long.
constexpr milliseconds kLoadSpan{1000};

/// Output tokens of an item whose client gave no guess, as a share of all its tokens.
constexpr double kUnguessedShare = 0.5;

/// An upstream in another zone is taken only if it is this much better: bytes between zones cost.
constexpr double kOtherZoneFactor = 1.1;

/// How much a full upstream is slower than an empty one: a few hundredths by the engines' figures, and its
/// queue.
constexpr double kCrowdingPerSlot = 0.1;

/// Pace where none has been measured: 61 tokens a piece at 0.7 ms.
constexpr double kUsualPaceMs = 43;

/// Items shorter than this share of the longest that is possible go to slower upstreams first, as long as
/// these are not in trouble: the fast ones are kept for the items that decide the time of a step.
constexpr double kShortShare = 0.3;
constexpr double kTroubledFactor = 1.5;

/// An upstream whose memory would not hold all its generations puts one of them back and reads it in again.
constexpr double kCrampedFactor = 2.5;

/// Tokens of a prompt where only the sum with the output is known.
constexpr double kUsualPrompt = 300;

/// Urgencies of runs, and the slack in ms below which each counts. An upstream short of memory stalls the
/// least urgent run until another ends, which takes a second or two: runs with less slack than that come
/// first.
constexpr unsigned kTightUrgency = 1;
constexpr unsigned kSoonUrgency = 3;
constexpr unsigned kUsualUrgency = 5;
constexpr unsigned kSpareUrgency = 8;
constexpr double kTightSlackMs = 800;
constexpr double kSoonSlackMs = 2500;

/// A run is expected to go on for this share of what it has made, at least.
constexpr double kGoesOnShare = 0.4;

/// Number of upstreams of each model: by largest remainder, at least one each where there are enough.
std::map<model_id, std::size_t> quotas(std::size_t upstreams, const model_work &work)
{
    const double total = ranges::accumulate(work | ranges::views::values, 0.0);
    std::map<model_id, std::size_t> result;
    std::vector<std::pair<double, model_id>> remainders;
    const std::size_t spare = upstreams > work.size() ? upstreams - work.size() : 0;
    std::size_t given = 0;
    for (const auto &[model, amount] : work) {
        const double share = total > 0 ? amount / total : 1.0 / static_cast<double>(work.size());
        const double exact = std::max(0.0, share * static_cast<double>(upstreams) - 1.0);
        const auto whole = std::min(spare, static_cast<std::size_t>(exact));
        result[model] = 1 + whole;
        given += 1 + whole;
        remainders.emplace_back(exact - static_cast<double>(whole), model);
    }
    ranges::sort(remainders, std::greater<>{});
    for (std::size_t i = 0; given < upstreams && !remainders.empty(); ++i, ++given) {
        ++result[remainders[i % remainders.size()].second];
    }
    return result;
}

bool isUsable(const upstream_view &view, const service_id &service, instant now)
{
    return view.entry.service == service && !view.entry.draining && view.ejectedUntil <= now;
}

} // namespace

weight_version versionOf(const upstream_view &view, const model_id &model)
{
    const auto found = view.entry.weights.find(model);
    return found == view.entry.weights.end() ? weight_version{0} : found->second;
}

const route *findRoute(const route_table &table, std::string_view host, std::string_view path)
{
    const route *best = nullptr;
    for (const route &candidate : table.routes) {
        if (candidate.host == host && path.starts_with(candidate.pathPrefix)
            && (best == nullptr || best->pathPrefix.size() < candidate.pathPrefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

std::map<upstream_id, model_id> assignUpstreams(const std::vector<assignable_upstream> &upstreams,
                                                const model_work &work)
{
    struct bid
    {
        std::uint64_t lag;
        std::uint64_t hash;
        const assignable_upstream *upstream;
        const model_id *model;
    };
    std::vector<bid> bids;
    for (const assignable_upstream &upstream : upstreams) {
        for (const auto &[model, amount] : work) {
            const auto lag = upstream.lag.find(model);
            bids.push_back({lag == upstream.lag.end() ? 0 : lag->second,
                            stableHash(upstream.id.value + '\n' + model.value), &upstream, &model});
        }
    }
    ranges::sort(bids, [](const bid &left, const bid &right) {
        return std::tie(left.lag, left.hash) < std::tie(right.lag, right.hash);
    });
    std::map<model_id, std::size_t> left = quotas(upstreams.size(), work);
    std::map<upstream_id, model_id> assignment;
    for (const bid &next : bids) {
        if (left[*next.model] > 0 && !assignment.contains(next.upstream->id)) {
            --left[*next.model];
            assignment.emplace(next.upstream->id, *next.model);
        }
    }
    return assignment;
}

std::map<upstream_id, model_id> modelAssignmentOf(const node_state &state, const service_id &service)
{
    const auto engine = state.config.engines.find(service);
    if (engine == state.config.engines.end()) {
        return {};
    }
    const std::vector<model_id> &models = engine->second.models;
    std::map<model_id, std::pair<double, unsigned>> handedIn;
    for (const auto &[id, head] : state.heads) {
        auto &[sum, number] = handedIn[head.spec.model];
        sum += static_cast<double>(head.workTokens);
        ++number;
    }
    const double known = ranges::accumulate(
            handedIn | ranges::views::values
                    | ranges::views::transform([](const auto &v) { return v.first / v.second; }),
            0.0);
    const double usual = handedIn.empty() ? 1.0 : known / static_cast<double>(handedIn.size());
    model_work work;
    for (const model_id &model : models) {
        const auto found = handedIn.find(model);
        work[model] = found == handedIn.end() ? usual : found->second.first / found->second.second;
    }
    std::vector<assignable_upstream> upstreams;
    for (const auto &[id, view] : state.upstreams) {
        if (view.entry.service != service || view.entry.draining) {
            continue;
        }
        assignable_upstream next{id, {}};
        for (const model_id &model : models) {
            const auto named = state.namedVersions.find(model);
            const std::uint64_t wanted = named == state.namedVersions.end() ? 1 : named->second.value;
            const std::uint64_t present = versionOf(view, model).value;
            next.lag[model] = wanted > present ? wanted - present : 0;
        }
        upstreams.push_back(std::move(next));
    }
    return assignUpstreams(upstreams, work);
}

service_id pickService(const route &by, std::uint64_t random)
{
    const unsigned total
            = ranges::accumulate(by.services | ranges::views::transform(&service_share::weight), 0U);
    if (total == 0) {
        return by.services.empty() ? service_id{} : by.services.front().service;
    }
    auto left = static_cast<unsigned>(random % total);
    for (const service_share &share : by.services) {
        if (left < share.weight) {
            return share.service;
        }
        left -= share.weight;
    }
    return by.services.back().service;
}

double medianInterChunkLatency(const node_state &state, const service_id &service, instant now)
{
    auto interChunkLatencies = state.upstreams | ranges::views::values
                               | ranges::views::filter([&](const upstream_view &view) {
                                     return view.entry.service == service && isLatencyFresh(view, now);
                                 })
                               | ranges::views::transform(&upstream_view::interChunkLatencyMs)
                               | ranges::to<std::vector<double>>();
    if (interChunkLatencies.empty()) {
        return 0;
    }
    const auto middle
            = interChunkLatencies.begin() + static_cast<std::ptrdiff_t>((interChunkLatencies.size() - 1) / 2);
    std::nth_element(interChunkLatencies.begin(), middle, interChunkLatencies.end());
    return *middle;
}

bool isLoading(const node_state &state, const upstream_id &id, instant now)
{
    const auto named = state.weightsLeader.planned.find(id);
    return named != state.weightsLeader.planned.end()
           && storeTime(state, now) < named->second + static_cast<std::uint64_t>(kLoadSpan.count());
}

bool isLatencyFresh(const upstream_view &view, instant now)
{
    return view.interChunkLatencyMs > 0 && now - view.latencyUpdatedAt <= kPaceAge;
}

double interChunkLatencyOf(const upstream_view &view, double median, instant now)
{
    if (isLatencyFresh(view, now)) {
        return view.interChunkLatencyMs;
    }
    return view.bestInterChunkLatencyMs > 0 ? view.bestInterChunkLatencyMs : median;
}

const service_snapshot &service_snapshot_cache::of(const service_id &service)
{
    const auto [found, fresh] = m_outlooks.try_emplace(service);
    if (fresh) {
        found->second
                = {modelAssignmentOf(m_state, service), medianInterChunkLatency(m_state, service, m_now)};
    }
    return found->second;
}

std::optional<upstream_id> placeRun(const node_state &state, const placement_request &wish, instant now)
{
    const double median = wish.snapshot->medianInterChunkLatencyMs;
    const auto limits = state.config.engines.find(wish.service);
    const double memory = limits == state.config.engines.end() ? 0 : limits->second.memoryTokens;
    std::optional<upstream_id> best;
    double bestCost = 0;
    bool bestDealt = false;
    for (const auto &[id, view] : state.upstreams) {
        if (!isUsable(view, wish.service, now) || versionOf(view, wish.model) < wish.minVersion
            || view.running >= view.entry.slots || isLoading(state, id, now)
            || (wish.requireFreshLatency && !isLatencyFresh(view, now))) {
            continue;
        }
        const auto share = wish.snapshot->assignment.find(id);
        const bool dealt = share != wish.snapshot->assignment.end() && share->second == wish.model;
        const double crowding = kCrowdingPerSlot * view.running / std::max(1U, view.entry.slots);
        const double pace = median > 0 ? interChunkLatencyOf(view, median, now) / median : 1.0;
        double cost = (wish.isShort && pace < kTroubledFactor ? 1.0 / pace : pace) * (1.0 + crowding);
        if (view.entry.zone != state.self.availabilityZone) {
            cost *= kOtherZoneFactor;
        }
        if (memory > 0 && view.running > 0 && view.reservedTokens + wish.tokens > memory) {
            if (wish.requireMemory) {
                continue;
            }
            cost *= kCrampedFactor;
        }
        if (!best || (dealt && !bestDealt) || (dealt == bestDealt && cost < bestCost)) {
            best = id;
            bestCost = cost;
            bestDealt = dealt;
        }
    }
    return best;
}

double expectedTokens(const batch_item &item)
{
    if (item.expectedOutput == 0) {
        return kUnguessedShare * item.tokens;
    }
    return std::min<double>(item.tokens, kUsualPrompt + item.expectedOutput);
}

bool isShort(const batch_item &item)
{
    return expectedTokens(item) < kShortShare * item.tokens;
}

double expectedRemainingChunks(const node_state &state, const service_id &service, const owned_item &item)
{
    const auto limits = state.config.engines.find(service);
    const double perPiece = limits == state.config.engines.end() || limits->second.tokensPerChunk == 0
                                    ? 1
                                    : limits->second.tokensPerChunk;
    const auto made = static_cast<double>(item.chunkCount);
    const double most = std::max(0.0, (item.item.tokens - kUsualPrompt) / perPiece - made);
    const double guessed = (expectedTokens(item.item) - kUsualPrompt) / perPiece - made;
    return std::min(most, std::max(guessed, kGoesOnShare * made));
}

double expectedTokens(const node_state &state, const service_id &service, const owned_item &item)
{
    const auto limits = state.config.engines.find(service);
    const double perPiece = limits == state.config.engines.end() ? 0 : limits->second.tokensPerChunk;
    const double made = kUsualPrompt + perPiece * static_cast<double>(item.chunkCount) * (1 + kGoesOnShare);
    return std::max(expectedTokens(item.item), std::min<double>(item.item.tokens, made));
}

std::optional<upstream_id> placeCall(const node_state &state, const service_id &service,
                                     const std::set<upstream_id> &tried, instant now)
{
    std::optional<upstream_id> best;
    double bestCost = 0;
    for (const auto &[id, view] : state.upstreams) {
        if (!isUsable(view, service, now) || tried.contains(id)) {
            continue;
        }
        double cost = (1.0 + view.running) * std::max(1.0, view.callMs);
        if (view.entry.zone != state.self.availabilityZone) {
            cost *= kOtherZoneFactor;
        }
        if (!best || cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    return best;
}

std::set<std::string> surplusGroups(const std::vector<batch_item> &items, unsigned groupsWanted)
{
    std::map<std::string, double> longest;
    std::vector<std::string> names;
    for (const batch_item &item : items) {
        const auto [found, fresh] = longest.try_emplace(item.group, 0);
        if (fresh) {
            names.push_back(item.group);
        }
        found->second = std::max(found->second, expectedTokens(item));
    }
    if (names.size() <= groupsWanted) {
        return {};
    }
    // Groups that come back stand first and make up half of those wanted at most: they are never left out.
    const std::size_t spareNumber = names.size() - groupsWanted;
    names.erase(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(groupsWanted / 2));
    ranges::sort(names, std::greater<>{}, [&](const std::string &name) { return longest[name]; });
    names.resize(std::min(names.size(), spareNumber));
    return {names.begin(), names.end()};
}

double latestStartMs(const node_state &state, const owned_batch &batch, const owned_item &item,
                     const route &by, const service_id &service, double medianInterChunkLatencyMs)
{
    const double work = expectedRemainingChunks(state, service, item)
                        * (medianInterChunkLatencyMs > 0 ? medianInterChunkLatencyMs : kUsualPaceMs);
    const auto due = static_cast<double>(by.due.count());
    return static_cast<double>(batch.acceptedAtMs) + due - work + (item.isSurplus ? due : 0);
}

unsigned urgencyOf(double slackMs, bool isSurplus)
{
    if (isSurplus) {
        return kSpareUrgency;
    }
    if (slackMs < kTightSlackMs) {
        return kTightUrgency;
    }
    return slackMs < kSoonSlackMs ? kSoonUrgency : kUsualUrgency;
}

} // namespace jacinthvale::node
