// Output of items that are not listed when their batch ends, and return in a later batch.
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Time for which output of an ended batch is kept; items return in the next batch or the one after it.
constexpr milliseconds kRetentionTime{30'000};

/// Shorter output is generated again in less than half a second.
constexpr std::uint64_t kMinRetainedChunks = 6;

bool fits(const retained_output &output, const owned_batch &batch, bool singleVersion)
{
    const bool newEnough = std::ranges::all_of(
            output.versions, [&](std::uint64_t version) { return version >= batch.spec.minVersion.value; });
    return output.account == batch.spec.account && newEnough
           && (!singleVersion || output.versions.size() <= 1);
}

} // namespace

void retainOutputs(step &s, const owned_batch &batch)
{
    std::erase_if(s.state.retainedOutputs,
                  [&](const auto &kept) { return kept.second.retainedAt + kRetentionTime < s.ctx.now; });
    std::map<item_id, const item_result *> committed;
    for (const item_result &result : batch.committedResults) {
        committed.emplace(result.id, &result);
    }
    // The trainer never submits complete groups again.
    std::set<std::string> incompleteGroups;
    for (const owned_item &item : batch.items) {
        if (item.phase != item_phase::committed) {
            incompleteGroups.insert(item.item.group);
        }
    }
    for (const owned_item &item : batch.items) {
        const bool isCommitted = item.phase == item_phase::committed;
        const bool isComplete = !item.isGenerating();
        const auto result = committed.find(item.item.id);
        const bool isLost = (isCommitted || item.phase == item_phase::finished)
                            && item.outcome != item_state::succeeded;
        if (isLost || !incompleteGroups.contains(item.item.group)
            || (isCommitted && result == committed.end())
            || (!isComplete && item.chunkCount < kMinRetainedChunks)) {
            continue;
        }
        retained_output output{isCommitted ? result->second->text : item.text,
                               item.chunkCount,
                               item.versions,
                               item.build,
                               isComplete,
                               isCommitted ? result->second->score : item.score,
                               item.item.reward ? item.item.reward->id : request_id{},
                               batch.spec.account,
                               s.ctx.now};
        if (isCommitted) {
            output.versions = {result->second->versions.begin(), result->second->versions.end()};
        }
        s.state.retainedOutputs.insert_or_assign(item.item.id, std::move(output));
    }
}

void reuseOutputs(step &s, owned_batch &batch)
{
    const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
    const bool singleVersion = matchedRoute != nullptr && matchedRoute->singleVersion;
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        owned_item &item = batch.items[index];
        const auto found = s.state.retainedOutputs.find(item.item.id);
        if (found == s.state.retainedOutputs.end() || item.phase != item_phase::waiting
            || item.chunkCount > found->second.chunkCount || !fits(found->second, batch, singleVersion)) {
            continue;
        }
        retained_output output = std::move(found->second);
        s.state.retainedOutputs.erase(found);
        item.text = std::move(output.text);
        item.chunkCount = output.chunkCount;
        item.versions = std::move(output.versions);
        item.build = std::move(output.build);
        item.stoppedAt = s.ctx.now;
        const bool sameReward = item.item.reward && item.item.reward->id == output.rewardId;
        item.score = sameReward ? std::move(output.score) : std::string();
        s.log("output-reused", item.item.id.value,
              std::to_string(item.chunkCount) + " chunks of an earlier batch, "
                      + (output.complete ? (item.score.empty() ? "complete" : "scored") : "incomplete"));
        s.emit(count{"outputs_reused"});
        if (output.complete) {
            onTextComplete(s, batch, index);
        }
    }
}

} // namespace jacinthvale::node
