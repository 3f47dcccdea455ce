// Reward calls: an item with a complete text succeeds only with the score that its call returns.
#include "node_placement.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Pause before a reward call is repeated after no upstream answered it: upstreams that refused it are
/// ejected for about this long.
constexpr milliseconds kRewardRetryDelay{150};

/// Pause before a reward call without a matching route is tried again; the route may still be spreading.
constexpr milliseconds kRewardRouteRetryDelay{500};

/// Longest duration of one round of attempts if the route sets no timeout.
constexpr milliseconds kDefaultRewardTimeout{3000};

/// Share of a service's slots that the reward calls of all owners together may occupy.
constexpr double kFleetRewardShare = 0.6;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

owned_item *itemOf(step &s, const reward_origin &origin)
{
    const auto found = s.state.owned.find(origin.batch);
    return found == s.state.owned.end() ? nullptr : &found->second.items.at(origin.item);
}

void countReward(step &s, const std::string &outcome)
{
    s.emit(count{"rewards_total{end=\"" + outcome + "\"}"});
}

/// @returns the number of reward calls that this process may have in progress, which is its share among the
/// daemons that own unfinished batches.
std::size_t maxRewardsInProgress(const node_state &state)
{
    std::set<owner_name> owners;
    for (const auto &[id, head] : state.heads) {
        if (!head.ended) {
            owners.insert(head.owner);
        }
    }
    unsigned slots = 0;
    for (const auto &[id, view] : state.upstreams) {
        const bool isEngine = state.config.engines.contains(view.entry.service);
        slots += isEngine || isLeaving(state, view) ? 0 : view.entry.slots;
    }
    const double share
            = kFleetRewardShare * slots / static_cast<double>(std::max<std::size_t>(1, owners.size()));
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

struct queued_reward
{
    bool isSurplus = false;
    std::uint64_t acceptedAtMs = 0;
    /// Items of the group whose text is not complete; groups close to completion are scored first.
    std::size_t incompleteTexts = 0;
    reward_origin origin;

    auto operator<=>(const queued_reward &) const = default;
};

std::vector<queued_reward> queuedRewards(const step &s)
{
    std::vector<queued_reward> queue;
    for (const auto &[id, batch] : s.state.owned) {
        if (batch.handingOver || std::ranges::none_of(batch.items, [&](const owned_item &item) {
                return item.phase == item_phase::unscored && item.nextRewardAt <= s.ctx.now;
            })) {
            continue;
        }
        std::map<std::string, std::size_t> incomplete;
        for (const owned_item &item : batch.items) {
            incomplete[item.item.group] += item.isGenerating() ? 1 : 0;
        }
        for (std::size_t index = 0; index < batch.items.size(); ++index) {
            const owned_item &item = batch.items[index];
            if (item.phase == item_phase::unscored && item.nextRewardAt <= s.ctx.now) {
                queue.push_back(
                        {item.isSurplus, batch.acceptedAtMs, incomplete[item.item.group], {id, index}});
            }
        }
    }
    std::ranges::sort(queue);
    return queue;
}

void startReward(step &s, const reward_origin &origin, owned_item &item, const route &matchedRoute)
{
    const reward_call &reward = *item.item.reward;
    call_state call;
    call.call.id = reward.id;
    call.call.method = "POST";
    call.call.host = reward.host;
    call.call.target = reward.path;
    call.call.body = reward.body;
    call.call.account = accountForUpstream(s.state, s.state.owned.at(origin.batch).spec.account);
    call.call.remainingTimeout
            = matchedRoute.timeout.count() > 0 ? matchedRoute.timeout : kDefaultRewardTimeout;
    call.matchedRoute = matchedRoute;
    call.repeatable = true;
    call.failures = item.rewardFailures;
    item.phase = item_phase::scoring;
    item.timeline.enter(item_stage::scoring, s.ctx.now);
    startCall(s, origin, std::move(call));
}

} // namespace

void queueReward(step &s, owned_item &item)
{
    item.phase = item_phase::unscored;
    item.nextRewardAt = s.ctx.now;
    if (const route *matchedRoute
        = findRoute(s.state.config, item.item.reward->host, item.item.reward->path)) {
        recordDemand(s, pickService(*matchedRoute, stableHash(item.item.reward->id.value)), 1);
    }
    item.timeline.enter(item_stage::scorer_wait, s.ctx.now);
}

void startRewards(step &s)
{
    if (s.state.stopping || !s.state.configKnown) {
        return;
    }
    const std::vector<queued_reward> queue = queuedRewards(s);
    if (queue.empty()) {
        return;
    }
    const auto inProgress
            = static_cast<std::size_t>(std::ranges::count_if(s.state.calls, [](const auto &call) {
                  return std::holds_alternative<reward_origin>(call.first);
              }));
    const std::size_t limit = maxRewardsInProgress(s.state);
    std::size_t started = 0;
    for (const queued_reward &queued : queue) {
        if (inProgress + started >= limit) {
            return;
        }
        owned_item &item = *itemOf(s, queued.origin);
        const reward_call &reward = *item.item.reward;
        const route *matchedRoute = findRoute(s.state.config, reward.host, reward.path);
        if (matchedRoute == nullptr) {
            item.nextRewardAt = s.ctx.now + kRewardRouteRetryDelay;
            s.log("reward-route-unknown", item.item.id.value,
                  "no route for " + reward.host + reward.path + " in configuration version "
                          + std::to_string(s.state.config.version));
            continue;
        }
        const service_id service = pickService(*matchedRoute, stableHash(reward.id.value));
        if (!placeCall(s.state, service, {}, call_priority::background, s.ctx.now)) {
            continue;
        }
        startReward(s, queued.origin, item, *matchedRoute);
        ++started;
    }
}

void stopReward(step &s, const batch_id &batch, std::size_t index, owned_item &item)
{
    if (item.phase == item_phase::scoring) {
        cancelCall(s, reward_origin{batch, index});
        item.phase = item_phase::unscored;
        item.timeline.enter(item_stage::scorer_wait, s.ctx.now);
    }
}

void onRewardAnswered(step &s, const reward_origin &origin, const call_state &call, const call_ended &ended)
{
    owned_item *item = itemOf(s, origin);
    if (item == nullptr || item->phase != item_phase::scoring) {
        return;
    }
    owned_batch &batch = s.state.owned.at(origin.batch);
    item->rewardFailures = call.failures;
    const auto durationMs = (s.ctx.now - call.arrivedAt).count();
    const bool isSuccess = ended.status >= kFirstSuccess && ended.status < kFirstRedirect;
    if (ended.end == call_end::complete && isSuccess && !ended.seal.empty()) {
        item->score = ended.seal;
        s.log("reward-scored", item->item.id.value, "after " + std::to_string(durationMs) + " ms");
        s.emit(observe{"reward_ms", static_cast<double>(durationMs)});
        countReward(s, "scored");
        finishItem(s, batch, origin.item, item_state::succeeded);
    } else if (ended.end == call_end::complete) {
        onRewardUnanswered(s, origin, call, "answer with status " + std::to_string(ended.status));
        return;
    } else {
        s.log("reward-lost", item->item.id.value,
              "status " + std::to_string(ended.status) + " after " + std::to_string(call.failures)
                      + " failures; the item is lost");
        countReward(s, "lost");
        finishItem(s, batch, origin.item, item_state::lost);
    }
    commitFinished(s, batch);
    startRewards(s);
}

void onRewardUnanswered(step &s, const reward_origin &origin, const call_state &call,
                        const std::string &reason)
{
    owned_item *item = itemOf(s, origin);
    if (item == nullptr || item->phase != item_phase::scoring) {
        return;
    }
    item->phase = item_phase::unscored;
    item->timeline.enter(item_stage::scorer_wait, s.ctx.now);
    item->rewardFailures = call.failures;
    item->nextRewardAt = s.ctx.now + kRewardRetryDelay;
    s.log("reward-repeated", item->item.id.value,
          reason + "; sent to " + std::to_string(call.tried.size()) + " upstreams, failures "
                  + std::to_string(call.failures));
    countReward(s, "repeated");
}

} // namespace jacinthvale::node
