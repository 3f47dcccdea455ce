#include "node_placement.h"

#include "node_step.h"

#include <algorithm>
#include <range/v3/algorithm/any_of.hpp>
#include <range/v3/algorithm/sort.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/range/conversion.hpp>
#include <range/v3/view/filter.hpp>
#include <range/v3/view/map.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

/// Maximum age of a usable inter-chunk latency: the upstream may have recovered since. Slow periods last
/// about 8 s.
constexpr milliseconds kLatencyMaxAge{4000};

/// An upstream that the lease row lists for a load of weights refuses new runs for at most about this long.
constexpr milliseconds kLoadDuration{1000};

/// Expected tokens of an item without an estimate of the client, as a share of its maximum.
constexpr double kDefaultTokenShare = 0.5;

/// Cost factor of an upstream in another availability zone, because traffic between zones costs money.
constexpr double kCrossZoneCostFactor = 1.1;

/// Additional cost of a full upstream, as a share of the cost of an empty one: a few percent from the
/// engines' own slowdown, the rest for queueing.
constexpr double kFullLoadCost = 0.1;

/// Time after a failure from which on the table would show that the upstream's process was replaced. Applies
/// where its heartbeats are not read, as in large fleets.
constexpr milliseconds kMaxUnconfirmedTime{5000};

/// Items shorter than this share of their maximum length go to slower upstreams first, but not to those whose
/// latency is kDegradedLatencyFactor times the median or more: fast upstreams stay free for the long items
/// that determine the duration of a step.
constexpr double kShortItemShare = 0.3;
constexpr double kDegradedLatencyFactor = 1.5;

/// Speed at which upstreams read prompts.
constexpr double kReadTokensPerMs = 250;

/// An item waits for an upstream that holds its prompt as long as its batch takes this many times as long as
/// the item, and this time in ms more.
constexpr double kHolderWaitFactor = 2;
constexpr double kHolderWaitReserveMs = 500;

/// Cost factor of an upstream that holds a prompt that is long to read.
constexpr double kHolderCostFactor = 0.95;

/// Share of the time between two chunks from which on the reading of a prompt is worth a wait.
constexpr double kMinReadingShare = 0.05;

/// An item does not wait for an upstream that is ejected for longer than after a refused run.
constexpr milliseconds kMaxHolderEjection{250};

/// Cost factor of an upstream whose memory cannot hold all its runs: it preempts one of them and later has to
/// read the tokens of that run again.
constexpr double kOutOfMemoryCostFactor = 2.5;

/// Share of an upstream's slots that background calls of one process may occupy.
constexpr double kBackgroundSlotShare = 0.5;

/// Lower bound of an upstream's relative call duration; applies to upstreams without a measurement, so that
/// they get a call soon.
constexpr double kMinRelativeCallDuration = 0.05;

/// Tokens of a prompt if only the sum of prompt and output is known.
constexpr double kDefaultPromptTokens = 300;

/// Urgencies of runs (0 is the most urgent), and the slack in ms below which each applies. An upstream that
/// is out of memory stalls the least urgent run until another one ends, which takes one to two seconds; runs
/// with less slack than that get a higher urgency.
constexpr unsigned kCriticalUrgency = 1;
constexpr unsigned kHighUrgency = 3;
constexpr unsigned kNormalUrgency = 5;
constexpr unsigned kSurplusUrgency = 8;
constexpr double kCriticalSlackMs = 800;
constexpr double kHighSlackMs = 2500;

/// Minimum expected remaining length of a run, as a share of its length so far.
constexpr double kMinRemainingShare = 0.4;

/// Number of upstreams of each model, by the largest remainder method, with at least one each if there are
/// enough.
std::map<model_id, std::size_t> modelQuotas(std::size_t upstreams, const model_work &work)
{
    const double total = ranges::accumulate(work | ranges::views::values, 0.0);
    std::map<model_id, std::size_t> result;
    std::vector<std::pair<double, model_id>> remainders;
    const std::size_t extraUpstreams = upstreams > work.size() ? upstreams - work.size() : 0;
    std::size_t assignedCount = 0;
    for (const auto &[model, amount] : work) {
        const double share = total > 0 ? amount / total : 1.0 / static_cast<double>(work.size());
        const double exact = std::max(0.0, share * static_cast<double>(upstreams) - 1.0);
        const auto extraCount = std::min(extraUpstreams, static_cast<std::size_t>(exact));
        result[model] = 1 + extraCount;
        assignedCount += 1 + extraCount;
        remainders.emplace_back(exact - static_cast<double>(extraCount), model);
    }
    ranges::sort(remainders, std::greater<>{});
    for (std::size_t i = 0; assignedCount < upstreams && !remainders.empty(); ++i, ++assignedCount) {
        ++result[remainders[i % remainders.size()].second];
    }
    return result;
}

unsigned backgroundSlots(const upstream_view &view)
{
    return std::max(1U, static_cast<unsigned>(kBackgroundSlotShare * view.entry.slots));
}

bool isUsable(const node_state &state, const upstream_view &view, const service_id &service, instant now)
{
    return view.entry.service == service && !isLeaving(state, view) && view.ejectedUntil <= now
           && hasLimitToken(view);
}

bool holdsMost(const upstream_view &view, const shared_prompt &prompt)
{
    return 2 * view.heldPrompts.tokensHeld(prompt, view.entry.weights) >= prompt.tokens();
}

/// True if the upstream holds most of the prompt, and a run could start there soon without delaying its
/// batch.
bool isHolder(const node_state &state, const upstream_view &view, const placement_request &request,
              double relativeLatency, instant now)
{
    return view.entry.service == request.service && !isLeaving(state, view)
           && view.ejectedUntil <= now + kMaxHolderEjection
           && versionOf(view, request.model) >= request.minVersion && !isLoading(state, view.entry.id, now)
           && canWaitForHolder(request.outputMs * relativeLatency, request.batchMs)
           && holdsMost(view, *request.prompt);
}

} // namespace

weight_version versionOf(const upstream_view &view, const model_id &model)
{
    const auto found = view.entry.weights.find(model);
    return found == view.entry.weights.end() ? weight_version{0} : found->second;
}

std::string toString(const upstream_build &build)
{
    return build.service.value + " software "
           + (build.softwareVersion.empty() ? "unknown" : build.softwareVersion);
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
    struct pairing
    {
        std::uint64_t lag;
        std::uint64_t hash;
        const assignable_upstream *upstream;
        const model_id *model;
    };
    std::vector<pairing> pairings;
    for (const assignable_upstream &upstream : upstreams) {
        for (const auto &[model, amount] : work) {
            const auto lag = upstream.lag.find(model);
            pairings.push_back({lag == upstream.lag.end() ? 0 : lag->second,
                                stableHash(upstream.id.value + '\n' + model.value), &upstream, &model});
        }
    }
    ranges::sort(pairings, [](const pairing &left, const pairing &right) {
        return std::tie(left.lag, left.hash) < std::tie(right.lag, right.hash);
    });
    std::map<model_id, std::size_t> quota = modelQuotas(upstreams.size(), work);
    std::map<upstream_id, model_id> assignment;
    for (const pairing &pair : pairings) {
        if (quota[*pair.model] > 0 && !assignment.contains(pair.upstream->id)) {
            --quota[*pair.model];
            assignment.emplace(pair.upstream->id, *pair.model);
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
    std::map<model_id, std::pair<double, unsigned>> submittedWork;
    for (const auto &[id, head] : state.heads) {
        auto &[sum, batchCount] = submittedWork[head.spec.model];
        sum += static_cast<double>(head.workTokens);
        ++batchCount;
    }
    const double meanWorkSum = ranges::accumulate(
            submittedWork | ranges::views::values
                    | ranges::views::transform([](const auto &v) { return v.first / v.second; }),
            0.0);
    const double meanWork
            = submittedWork.empty() ? 1.0 : meanWorkSum / static_cast<double>(submittedWork.size());
    model_work work;
    for (const model_id &model : models) {
        const auto found = submittedWork.find(model);
        work[model] = found == submittedWork.end() ? meanWork : found->second.first / found->second.second;
    }
    std::vector<assignable_upstream> upstreams;
    for (const auto &[id, view] : state.upstreams) {
        if (view.entry.service != service || isLeaving(state, view)) {
            continue;
        }
        assignable_upstream candidate{id, {}};
        for (const model_id &model : models) {
            const auto named = state.namedVersions.find(model);
            const std::uint64_t targetVersion = named == state.namedVersions.end() ? 1 : named->second.value;
            const std::uint64_t loadedVersion = versionOf(view, model).value;
            candidate.lag[model] = targetVersion > loadedVersion ? targetVersion - loadedVersion : 0;
        }
        upstreams.push_back(std::move(candidate));
    }
    return assignUpstreams(upstreams, work);
}

service_id pickService(const route &matchedRoute, std::uint64_t random)
{
    const unsigned total = ranges::accumulate(
            matchedRoute.services | ranges::views::transform(&service_share::weight), 0U);
    if (total == 0) {
        return matchedRoute.services.empty() ? service_id{} : matchedRoute.services.front().service;
    }
    auto remaining = static_cast<unsigned>(random % total);
    for (const service_share &share : matchedRoute.services) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return matchedRoute.services.back().service;
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
    const auto found = state.weightsLeader.loadWindows.find(id);
    return found != state.weightsLeader.loadWindows.end() && found->second.isOpen()
           && storeTime(state, now)
                      < found->second.sinceMs + static_cast<std::uint64_t>(kLoadDuration.count());
}

bool isLatencyFresh(const upstream_view &view, instant now)
{
    return view.interChunkLatencyMs > 0 && now - view.latencyUpdatedAt <= kLatencyMaxAge;
}

double interChunkLatencyOf(const upstream_view &view, double median, instant now)
{
    if (isLatencyFresh(view, now)) {
        return view.interChunkLatencyMs;
    }
    return view.bestInterChunkLatencyMs > 0 ? view.bestInterChunkLatencyMs : median;
}

const service_snapshot &service_snapshot_cache::get(const service_id &service)
{
    const auto [found, fresh] = m_snapshots.try_emplace(service);
    if (fresh) {
        found->second
                = {modelAssignmentOf(m_state, service), medianInterChunkLatency(m_state, service, m_now)};
    }
    return found->second;
}

bool isConfirmed(const upstream_view &view, instant now)
{
    return view.confirmedAt >= view.brokeAt || now - view.brokeAt > kMaxUnconfirmedTime;
}

bool canContinue(const upstream_view &view, const upstream_build &build, instant now)
{
    return isConfirmed(view, now) && buildOf(view.entry) == build;
}

bool isBuildServed(const node_state &state, const upstream_build &build)
{
    return ranges::any_of(state.upstreams | ranges::views::values, [&](const upstream_view &view) {
        return buildOf(view.entry) == build && !isLeaving(state, view);
    });
}

double readingCostMs(const upstream_view &view, const shared_prompt &prompt, double promptTokens)
{
    const double own = std::max(0.0, promptTokens - view.heldPrompts.tokensHeld(prompt, view.entry.weights));
    return (view.readingTokens + own + own * view.running) / kReadTokensPerMs;
}

bool canWaitForHolder(double runMs, double batchMs)
{
    return batchMs > kHolderWaitFactor * runMs + kHolderWaitReserveMs;
}

bool isLongToRead(const shared_prompt &prompt, double medianInterChunkLatencyMs)
{
    const double latencyMs
            = medianInterChunkLatencyMs > 0 ? medianInterChunkLatencyMs : kDefaultInterChunkLatencyMs;
    return prompt.tokens() / kReadTokensPerMs >= kMinReadingShare * latencyMs;
}

namespace {

bool canTakeRun(const node_state &state, const upstream_view &view, const placement_request &request,
                instant now)
{
    return isUsable(state, view, request.service, now) && versionOf(view, request.model) >= request.minVersion
           && !isLoading(state, view.entry.id, now)
           && (!request.requireFreshLatency || isLatencyFresh(view, now))
           && (!request.avoidLimited || view.limit.perSecond <= 0)
           && (request.build == nullptr || canContinue(view, *request.build, now));
}

double relativeLatencyOf(const upstream_view &view, double median, instant now)
{
    return median > 0 ? interChunkLatencyOf(view, median, now) / median : 1.0;
}

/// @returns the cost of a run as a multiple of its time on an empty upstream of median latency; none if it
/// needs more memory than the upstream has left.
std::optional<double> placementCost(const node_state &state, const upstream_view &view,
                                    const placement_request &request, instant now)
{
    const auto limits = state.config.engines.find(request.service);
    const double memory = limits == state.config.engines.end() ? 0 : limits->second.memoryTokens;
    const double loadFactor = kFullLoadCost * view.running / std::max(1U, view.entry.slots);
    const double relativeLatency = relativeLatencyOf(view, request.snapshot->medianInterChunkLatencyMs, now);
    double cost = (request.isShort && relativeLatency < kDegradedLatencyFactor ? 1.0 / relativeLatency
                                                                               : relativeLatency)
                  * (1.0 + loadFactor);
    if (view.entry.zone != state.self.availabilityZone) {
        cost *= kCrossZoneCostFactor;
    }
    if (request.prompt != nullptr && request.outputMs > 0) {
        if (isLongToRead(*request.prompt, request.snapshot->medianInterChunkLatencyMs)
            && holdsMost(view, *request.prompt)) {
            cost *= kHolderCostFactor;
        }
        cost += readingCostMs(view, *request.prompt, request.promptTokens) / request.outputMs;
    }
    if (memory > 0 && view.running > 0 && view.reservedTokens + request.tokens > memory) {
        if (request.requireMemory) {
            return std::nullopt;
        }
        cost *= kOutOfMemoryCostFactor;
    }
    return cost;
}

} // namespace

placement placeAtHolder(const node_state &state, const placement_request &request, instant now)
{
    const double median = request.snapshot->medianInterChunkLatencyMs;
    placement_request withMemory = request;
    withMemory.requireMemory = true;
    std::size_t slots = 0;
    std::optional<upstream_id> best;
    double bestCost = 0;
    for (const auto &[id, view] : state.upstreams) {
        if (!isHolder(state, view, request, relativeLatencyOf(view, median, now), now)) {
            continue;
        }
        slots += view.entry.slots;
        const auto cost = placementCost(state, view, withMemory, now);
        if (canTakeRun(state, view, request, now) && view.running < view.entry.slots && cost
            && (!best || *cost < bestCost)) {
            best = id;
            bestCost = *cost;
        }
    }
    if (best) {
        return *best;
    }
    if (slots > 0 && slots >= request.waitingItems) {
        return wait_for_holder{};
    }
    return std::monostate{};
}

std::optional<upstream_id> placeRun(const node_state &state, const placement_request &request, instant now)
{
    std::optional<upstream_id> best;
    double bestCost = 0;
    bool bestIsAssigned = false;
    for (const auto &[id, view] : state.upstreams) {
        if (!canTakeRun(state, view, request, now) || view.running >= view.entry.slots) {
            continue;
        }
        const auto assigned = request.snapshot->assignment.find(id);
        const bool isAssigned
                = assigned != request.snapshot->assignment.end() && assigned->second == request.model;
        const auto cost = placementCost(state, view, request, now);
        if (cost
            && (!best || (isAssigned && !bestIsAssigned)
                || (isAssigned == bestIsAssigned && *cost < bestCost))) {
            best = id;
            bestCost = *cost;
            bestIsAssigned = isAssigned;
        }
    }
    return best;
}

double promptTokensOf(const batch_item &item)
{
    return item.promptTokens > 0 ? item.promptTokens : std::min<double>(kDefaultPromptTokens, item.tokens);
}

double expectedTokens(const batch_item &item)
{
    if (item.expectedOutput == 0) {
        return kDefaultTokenShare * item.tokens;
    }
    return std::min<double>(item.tokens, promptTokensOf(item) + item.expectedOutput);
}

bool isShort(const batch_item &item)
{
    return expectedTokens(item) < kShortItemShare * item.tokens;
}

double expectedRemainingChunks(const node_state &state, const service_id &service, const owned_item &item)
{
    const auto limits = state.config.engines.find(service);
    const double chunkTokens = limits == state.config.engines.end() || limits->second.tokensPerChunk == 0
                                       ? 1
                                       : limits->second.tokensPerChunk;
    const auto received = static_cast<double>(item.chunkCount);
    const double prompt = promptTokensOf(item.item);
    const double maximum = std::max(0.0, (item.item.tokens - prompt) / chunkTokens - received);
    const double estimated = (expectedTokens(item.item) - prompt) / chunkTokens - received;
    return std::min(maximum, std::max(estimated, kMinRemainingShare * received));
}

double expectedOutputMs(const node_state &state, const service_id &service, const owned_item &item,
                        double medianInterChunkLatencyMs)
{
    return expectedRemainingChunks(state, service, item)
           * (medianInterChunkLatencyMs > 0 ? medianInterChunkLatencyMs : kDefaultInterChunkLatencyMs);
}

milliseconds regenerationTime(const owned_item &item, double medianInterChunkLatencyMs)
{
    const double latencyMs
            = medianInterChunkLatencyMs > 0 ? medianInterChunkLatencyMs : kDefaultInterChunkLatencyMs;
    return milliseconds{static_cast<std::int64_t>(latencyMs * static_cast<double>(item.chunkCount))};
}

double expectedTokens(const node_state &state, const service_id &service, const owned_item &item)
{
    const auto limits = state.config.engines.find(service);
    const double chunkTokens = limits == state.config.engines.end() ? 0 : limits->second.tokensPerChunk;
    const double received = promptTokensOf(item.item)
                            + chunkTokens * static_cast<double>(item.chunkCount) * (1 + kMinRemainingShare);
    return std::max(expectedTokens(item.item), std::min<double>(item.item.tokens, received));
}

std::optional<upstream_id> placeCall(const node_state &state, const service_id &service,
                                     const std::set<upstream_id> &tried, call_priority priority, instant now,
                                     const upstream_build *build)
{
    std::optional<upstream_id> best;
    double bestCost = 0;
    for (const auto &[id, view] : state.upstreams) {
        if (!isUsable(state, view, service, now) || tried.contains(id)
            || (priority == call_priority::background && view.running >= backgroundSlots(view))
            || (build != nullptr && !canContinue(view, *build, now))) {
            continue;
        }
        double cost = (1.0 + view.running) * std::max(kMinRelativeCallDuration, view.relativeCallDuration);
        if (view.entry.zone != state.self.availabilityZone) {
            cost *= kCrossZoneCostFactor;
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
    // Resubmitted groups come first and make up at most half of the required groups; they are never surplus.
    const std::size_t surplusCount = names.size() - groupsWanted;
    names.erase(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(groupsWanted / 2));
    ranges::sort(names, std::greater<>{}, [&](const std::string &name) { return longest[name]; });
    names.resize(std::min(names.size(), surplusCount));
    return {names.begin(), names.end()};
}

double latestStartMs(const node_state &state, const owned_batch &batch, const owned_item &item,
                     const route &matchedRoute, const service_id &service, double medianInterChunkLatencyMs)
{
    const double generation = expectedOutputMs(state, service, item, medianInterChunkLatencyMs);
    const double work
            = generation + (item.item.reward ? expectedRewardDuration(state, *item.item.reward) : 0);
    const auto due = static_cast<double>(matchedRoute.due.count());
    return static_cast<double>(batch.acceptedAtMs) + due - work + (item.isSurplus ? due : 0);
}

unsigned urgencyOf(double slackMs, bool isSurplus)
{
    if (isSurplus) {
        return kSurplusUrgency;
    }
    if (slackMs < kCriticalSlackMs) {
        return kCriticalUrgency;
    }
    return slackMs < kHighSlackMs ? kHighUrgency : kNormalUrgency;
}

} // namespace jacinthvale::node
