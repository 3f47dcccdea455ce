// Log line from which the duration of a training step can be explained; jvctl steps reads it.
#include "node_placement.h"
#include "node_step.h"

#include <algorithm>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/view/map.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

/// A group of a batch all of whose items are committed.
struct complete_group
{
    instant completeAt{};
    std::string name;
    const owned_item *last = nullptr;
    std::uint64_t longestChunks = 0;
    std::uint64_t totalChunks = 0;
};

/// @returns the complete groups in the order of their completion. Results of an earlier owner count as
/// committed before all others.
std::vector<complete_group> completeGroups(const owned_batch &batch)
{
    std::map<std::string, complete_group> groups;
    std::set<std::string> incomplete;
    for (const owned_item &item : batch.items) {
        if (item.phase != item_phase::committed) {
            incomplete.insert(item.item.group);
            continue;
        }
        complete_group &group = groups[item.item.group];
        group.name = item.item.group;
        group.longestChunks = std::max(group.longestChunks, item.chunkCount);
        group.totalChunks += item.chunkCount;
        if (group.last == nullptr || item.committedAt >= group.completeAt) {
            group.completeAt = item.committedAt;
            group.last = &item;
        }
    }
    std::vector<complete_group> complete;
    for (const auto &[name, group] : groups) {
        if (!incomplete.contains(name)) {
            complete.push_back(group);
        }
    }
    std::ranges::sort(complete, {}, &complete_group::completeAt);
    return complete;
}

/// Capacity of a service's upstreams, as the basis of the shortest possible time of a step.
struct service_capacity
{
    double fastestChunkMs = 0;
    double chunksPerSecond = 0;
};

service_capacity capacityOf(const step &s, const service_id &service)
{
    constexpr double kSecondMs = 1000;
    const double median = medianInterChunkLatency(s.state, service, s.ctx.now);
    service_capacity capacity;
    for (const auto &[id, view] : s.state.upstreams) {
        const double best = view.fastestRunLatencyMs > 0 ? view.fastestRunLatencyMs : median;
        if (view.entry.service != service || best <= 0) {
            continue;
        }
        capacity.fastestChunkMs
                = capacity.fastestChunkMs > 0 ? std::min(capacity.fastestChunkMs, best) : best;
        capacity.chunksPerSecond += view.entry.slots * kSecondMs / best;
    }
    return capacity;
}

/// Adds the work of the shortest groups, as many as the trainer waits for.
void addWork(log_fields &fields, std::vector<complete_group> groups, std::size_t wanted)
{
    std::ranges::sort(groups, {}, &complete_group::longestChunks);
    groups.resize(std::min(groups.size(), wanted));
    const auto total = ranges::accumulate(groups | ranges::views::transform(&complete_group::totalChunks),
                                          std::uint64_t{0});
    fields.emplace_back("longestChunks",
                        groups.empty() ? 0 : static_cast<std::int64_t>(groups.back().longestChunks));
    fields.emplace_back("neededChunks", static_cast<std::int64_t>(total));
}

/// Adds the group that completed the step, and the stages of its last item.
void addDecidingGroup(step &s, log_fields &fields, const owned_batch &batch, const complete_group &group)
{
    const owned_item &item = *group.last;
    const auto position = std::ranges::find(batch.committedResults, item.item.id, &item_result::id)
                          - batch.committedResults.begin();
    const milliseconds ago = s.ctx.now - group.completeAt;
    fields.emplace_back("group", group.name);
    fields.emplace_back("item", item.item.id.value);
    fields.emplace_back("position", static_cast<std::int64_t>(position));
    fields.emplace_back("chunks", static_cast<std::int64_t>(item.chunkCount));
    fields.emplace_back("moves", static_cast<std::int64_t>(item.moveCount));
    // An item that an earlier owner committed has no times here.
    if (group.completeAt != instant{}) {
        fields.emplace_back("decidedMs",
                            static_cast<std::int64_t>(storeTime(s.state, s.ctx.now)) - ago.count());
    }
    for (std::size_t i = 0; i < kItemStageNames.size(); ++i) {
        fields.emplace_back(kItemStageNames.at(i), item.timeline.spent(static_cast<item_stage>(i)).count());
    }
}

} // namespace

void logStepTimeline(step &s, const owned_batch &batch)
{
    const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
    if (matchedRoute == nullptr || batch.items.empty()) {
        return;
    }
    const std::vector<complete_group> groups = completeGroups(batch);
    const std::size_t wanted = std::max<std::size_t>(1, batch.spec.groupsWanted);
    const owned_item &first = batch.items.front();
    const service_capacity capacity
            = capacityOf(s, pickService(*matchedRoute, stableHash(first.item.id.value)));
    constexpr double kMsToUs = 1000;
    const milliseconds ownedFor = s.ctx.now - batch.ownedAt;
    log_fields fields{
            {"model", batch.spec.model.value},
            {"step", static_cast<std::int64_t>(batch.spec.step)},
            {"items", static_cast<std::int64_t>(batch.items.size())},
            {"groupsWanted", static_cast<std::int64_t>(batch.spec.groupsWanted)},
            {"groupsComplete", static_cast<std::int64_t>(groups.size())},
            {"ownedMs", static_cast<std::int64_t>(storeTime(s.state, s.ctx.now)) - ownedFor.count()},
            {"fastestChunkUs", static_cast<std::int64_t>(capacity.fastestChunkMs * kMsToUs)},
            {"chunksPerSecond", static_cast<std::int64_t>(capacity.chunksPerSecond)},
            {"scoreMs", static_cast<std::int64_t>(
                                first.item.reward ? expectedRewardDuration(s.state, *first.item.reward) : 0)},
            {"promptTokens", static_cast<std::int64_t>(batch.promptTokensSent)},
            {"promptTokensHeld", static_cast<std::int64_t>(batch.promptTokensHeld)}};
    addWork(fields, groups, wanted);
    if (groups.size() >= wanted) {
        addDecidingGroup(s, fields, batch, groups.at(wanted - 1));
    }
    s.log("step-timeline", batch.spec.id.value,
          groups.size() >= wanted ? "decided by " + groups.at(wanted - 1).last->item.id.value
                                  : "dropped before enough groups were complete",
          std::move(fields));
}

} // namespace jacinthvale::node
