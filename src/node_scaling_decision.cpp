// Decides from values how many upstreams of each kind a service shall have in each zone.
#include <jacinthvale/node_scaling.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <range/v3/algorithm/count.hpp>
#include <range/v3/algorithm/count_if.hpp>
#include <range/v3/algorithm/max.hpp>
#include <range/v3/algorithm/sort.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/range/conversion.hpp>
#include <range/v3/view/filter.hpp>
#include <range/v3/view/map.hpp>
#include <range/v3/view/subrange.hpp>
#include <range/v3/view/transform.hpp>
#include <set>

namespace jacinthvale::node {

namespace {

/// Share of the time until a step is due in which its work shall pass through the slots; the rest is left for
/// its longest item, which runs alone at the end.
constexpr double kQueueShare = 0.35;

/// Shortest time in which work that is late, or nearly so, is planned to pass.
constexpr double kMinWindowMs = 500;

/// The steps to come are taken to be as large as the largest of the last ones.
constexpr std::size_t kRememberedSteps = 3;

/// Steps of each trainer that must have been seen before upstreams are given up.
constexpr std::size_t kStepsBeforeLowering = 3;

/// A trainer without a new step for this many times the time in which its steps are due has stopped.
constexpr std::uint64_t kStoppedAfterDueTimes = 5;

/// The need is rounded up to steps of this part of it, so that small changes of the load order nothing.
constexpr unsigned kNeedStepPart = 8;

/// Times that steps take until they are due for which the largest need holds.
constexpr std::uint64_t kPeakDueTimes = 2;

/// The number is lowered only if the need has fallen below this share of the one before, so that it doesn't
/// follow small changes of the load.
constexpr double kLowerBelowShare = 0.85;

/// An upstream that was started stays for at least this many boot times: starting it costs one.
constexpr std::uint64_t kMinBootTimesKept = 3;

/// Share of the needed upstreams that must remain when two zones lose their reclaimable ones before others
/// have started: with every slot in use, they still hold the work.
constexpr double kShareAfterTwoReclaims = 0.6;

/// Time for which the reclaimable upstreams of a zone are avoided after a reclaim; doubles with each one, up
/// to the maximum.
constexpr std::uint64_t kReclaimAvoidanceMs = 60'000;
constexpr std::uint64_t kMaxReclaimAvoidanceMs = 600'000;

/// Time after which a refused order is tried again.
constexpr std::uint64_t kRefusalAvoidanceMs = 6000;

using pool_counts = std::map<upstream_pool, unsigned>;

unsigned countOf(const pool_counts &counts, const upstream_pool &pool)
{
    const auto found = counts.find(pool);
    return found == counts.end() ? 0 : found->second;
}

unsigned sumOf(const pool_counts &counts)
{
    return ranges::accumulate(counts | ranges::views::values, 0U);
}

unsigned sumInZone(const pool_counts &counts, const availability_zone_id &zone)
{
    return countOf(counts, {zone, false}) + countOf(counts, {zone, true});
}

bool isPrice(double price)
{
    return std::isfinite(price) && price >= 0;
}

/// @returns the price of an upstream; 1 for zones without a sound one.
double priceOf(const scaling_limits &limits, const upstream_pool &pool)
{
    const auto found = limits.zonePrices.find(pool.zone);
    const double price = found == limits.zonePrices.end() || !isPrice(found->second) ? 1 : found->second;
    return pool.reclaimable ? price * limits.reclaimablePrice : price;
}

bool offersReclaimable(const scaling_limits &limits)
{
    return isPrice(limits.reclaimablePrice) && limits.reclaimablePrice > 0;
}

std::vector<availability_zone_id> zonesOf(const scaling_input &input)
{
    std::set<availability_zone_id> zones;
    for (const auto &[zone, price] : input.limits.zonePrices) {
        zones.insert(zone);
    }
    for (const auto &[pool, supply] : input.supply) {
        zones.insert(pool.zone);
    }
    for (const auto &[pool, count] : input.orders) {
        zones.insert(pool.zone);
    }
    return {zones.begin(), zones.end()};
}

bool isAvoided(const scaling_memory &memory, const upstream_pool &pool, std::uint64_t nowMs)
{
    const auto found = memory.pools.find(pool);
    return found != memory.pools.end() && found->second.avoidedUntilMs > nowMs;
}

pool_supply supplyOf(const scaling_input &input, const upstream_pool &pool)
{
    const auto found = input.supply.find(pool);
    return found == input.supply.end() ? pool_supply{} : found->second;
}

/// @returns the upstreams that are ordered in the pool; those that it has if none were ever ordered.
unsigned orderedIn(const scaling_input &input, const upstream_pool &pool)
{
    const auto found = input.orders.find(pool);
    return found == input.orders.end() ? supplyOf(input, pool).serving : found->second;
}

// How many slots the work needs.

/// @returns the slots that pass the tokens in a time, at most one for each item.
double slotsFor(const scaling_input &input, double tokens, std::uint64_t items, double windowMs)
{
    const double perSlot = std::max(1e-6, input.tokensPerMs) * std::max(kMinWindowMs, windowMs);
    return std::min(static_cast<double>(items), std::max(0.0, tokens) / perSlot);
}

/// @returns the slots that open steps need to end on time.
double slotsOfOpenSteps(const scaling_input &input, const std::vector<const trainer_step *> &steps)
{
    return ranges::accumulate(steps | ranges::views::transform([&](const trainer_step *step) {
                                  const double left = static_cast<double>(step->dueAtMs)
                                                      - static_cast<double>(input.nowMs);
                                  return step->ended ? 0.0
                                                     : slotsFor(input, step->work.remainingTokens,
                                                                step->work.openItems, kQueueShare * left);
                              }),
                              0.0);
}

/// @returns the slots that the next step of a trainer is expected to need; 0 if the trainer has stopped.
double slotsOfNextStep(const scaling_input &input, const std::vector<const trainer_step *> &latestFirst)
{
    if (latestFirst.empty()) {
        return 0;
    }
    const trainer_step &latest = *latestFirst.front();
    const std::uint64_t dueMs = latest.dueAtMs - std::min(latest.dueAtMs, latest.acceptedAtMs);
    if (latest.acceptedAtMs + kStoppedAfterDueTimes * dueMs < input.nowMs) {
        return 0;
    }
    const std::size_t remembered = std::min(kRememberedSteps, latestFirst.size());
    return ranges::max(ranges::subrange(latestFirst.begin(),
                                        latestFirst.begin() + static_cast<std::ptrdiff_t>(remembered))
                       | ranges::views::transform([&](const trainer_step *step) {
                             return step->work.totalTokens
                                    / (std::max(1e-6, input.tokensPerMs)
                                       * std::max(kMinWindowMs, kQueueShare * static_cast<double>(dueMs)));
                         }));
}

struct slot_need
{
    double open = 0;
    double expected = 0;
    /// For each trainer the larger one of both.
    double total = 0;
    /// Steps seen of the trainer of whom the fewest were seen.
    std::size_t fewestSteps = 0;
};

slot_need needOf(const scaling_input &input)
{
    std::map<std::string, std::vector<const trainer_step *>> steps;
    for (const std::string &trainer : input.trainers) {
        steps[trainer];
    }
    for (const trainer_step &step : input.steps) {
        steps[step.trainer].push_back(&step);
    }
    slot_need need;
    need.total = static_cast<double>(input.callSlots);
    need.fewestSteps = steps.empty() ? 0 : kRememberedSteps;
    for (auto &[trainer, ofTrainer] : steps) {
        ranges::sort(ofTrainer, std::greater<>{}, &trainer_step::acceptedAtMs);
        const double open = slotsOfOpenSteps(input, ofTrainer);
        const double expected = slotsOfNextStep(input, ofTrainer);
        need.open += open;
        need.expected += expected;
        need.total += std::max(open, expected);
        need.fewestSteps = std::min(need.fewestSteps, ofTrainer.size());
    }
    return need;
}

/// @returns the longest time from the acceptance of a step until it is due.
std::uint64_t longestDueMs(const scaling_input &input)
{
    return ranges::accumulate(
            input.steps, std::uint64_t{0}, [](std::uint64_t longest, const trainer_step &step) {
                return std::max(longest, step.dueAtMs - std::min(step.dueAtMs, step.acceptedAtMs));
            });
}

/// Records the need of this decision. @returns the need that the plan answers: the largest of the given time,
/// in steps, and not lowered for little.
unsigned updateNeed(scaling_memory &memory, unsigned needed, std::uint64_t peakTimeMs, std::uint64_t nowMs)
{
    std::erase_if(memory.peaks, [&](const past_need &past) {
        return past.needed <= needed || past.atMs + peakTimeMs < nowMs;
    });
    memory.peaks.push_back({nowMs, needed});
    const unsigned peak = memory.peaks.front().needed;
    const unsigned step = std::max(1U, peak / kNeedStepPart);
    const unsigned rounded = (peak + step - 1) / step * step;
    const bool isFalling = rounded < kLowerBelowShare * memory.needed;
    memory.needed = isFalling ? rounded : std::max(rounded, memory.needed);
    return memory.needed;
}

// Where the upstreams shall be.

/// Upstreams that are left when the `zones` largest groups of reclaimable ones are gone.
unsigned leftAfterReclaims(const pool_counts &counts, std::size_t zones)
{
    auto reclaimable = counts
                       | ranges::views::filter([](const auto &entry) { return entry.first.reclaimable; })
                       | ranges::views::values | ranges::to<std::vector<unsigned>>();
    ranges::sort(reclaimable, std::greater<>{});
    reclaimable.resize(std::min(zones, reclaimable.size()));
    return sumOf(counts) - ranges::accumulate(reclaimable, 0U);
}

/// Adds upstreams to the plan, within the limits of the zones.
class pool_plan
{
public:
    pool_plan(const scaling_limits &limits, pool_counts counts)
        : m_limits(&limits)
        , m_counts(std::move(counts))
    {}

    bool add(const upstream_pool &pool)
    {
        if (sumInZone(m_counts, pool.zone) >= m_limits->maximum) {
            return false;
        }
        ++m_counts[pool];
        return true;
    }

    /// Adds to the pools in turn until the condition holds or no zone has room.
    template <typename Condition>
    void addUntil(const std::vector<upstream_pool> &pools, const Condition &isEnough)
    {
        bool added = true;
        while (added && !isEnough(m_counts)) {
            added = ranges::count_if(
                            pools,
                            [&](const upstream_pool &pool) { return !isEnough(m_counts) && add(pool); })
                    > 0;
        }
    }

    const pool_counts &counts() const { return m_counts; }

    double price() const
    {
        return ranges::accumulate(m_counts | ranges::views::transform([&](const auto &entry) {
                                      return entry.second * priceOf(*m_limits, entry.first);
                                  }),
                                  0.0);
    }

private:
    const scaling_limits *m_limits;
    pool_counts m_counts;
};

/// @returns the pools that can be ordered from, cheapest first.
std::vector<upstream_pool> poolsByPrice(const scaling_input &input, const scaling_memory &memory,
                                        bool reclaimable)
{
    std::vector<upstream_pool> pools;
    for (const availability_zone_id &zone : zonesOf(input)) {
        if (const upstream_pool pool{zone, reclaimable}; !isAvoided(memory, pool, input.nowMs)) {
            pools.push_back(pool);
        }
    }
    ranges::sort(pools, {},
                 [&](const upstream_pool &pool) { return std::pair(priceOf(input.limits, pool), pool); });
    return pools;
}

/// Plans with the reclaimable upstreams of the given zones: as many others as must remain when two zones are
/// reclaimed, and reclaimable ones until the loss of one zone leaves what is needed.
pool_plan planWith(const scaling_input &input, const std::vector<upstream_pool> &base,
                   const std::vector<upstream_pool> &reclaimable, unsigned needed)
{
    pool_plan plan(input.limits, {});
    const std::vector<upstream_pool> cheapest(
            base.begin(), base.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(2, base.size())));
    if (reclaimable.size() > 1) {
        // With k zones, b others and r = (needed - b) / (k - 1) reclaimable ones in each of them, b + (k - 2)
        // r remain after two reclaims.
        const auto zones = static_cast<double>(reclaimable.size());
        const double share = (kShareAfterTwoReclaims * (zones - 1) - (zones - 2));
        const auto others = static_cast<unsigned>(std::ceil(std::max(0.0, share) * needed));
        plan.addUntil(cheapest, [&](const pool_counts &counts) { return sumOf(counts) >= others; });
        plan.addUntil(reclaimable,
                      [&](const pool_counts &counts) { return leftAfterReclaims(counts, 1) >= needed; });
    }
    plan.addUntil(cheapest,
                  [&](const pool_counts &counts) { return leftAfterReclaims(counts, 1) >= needed; });
    plan.addUntil(base, [&](const pool_counts &counts) { return leftAfterReclaims(counts, 1) >= needed; });
    // Where the others do not suffice, more that may be reclaimed are better than too few.
    plan.addUntil(reclaimable, [&](const pool_counts &counts) { return sumOf(counts) >= needed; });
    return plan;
}

pool_counts planPools(const scaling_input &input, const scaling_memory &memory, unsigned needed)
{
    const std::vector<upstream_pool> base = poolsByPrice(input, memory, false);
    std::vector<upstream_pool> reclaimable;
    if (offersReclaimable(input.limits)) {
        reclaimable = poolsByPrice(input, memory, true);
    }
    const auto rank = [&](const pool_plan &plan) {
        return std::pair(needed - std::min(needed, leftAfterReclaims(plan.counts(), 1)), plan.price());
    };
    pool_plan best = planWith(input, base, {}, needed);
    for (std::size_t zones = 1; zones <= reclaimable.size(); ++zones) {
        pool_plan plan = planWith(
                input, base, {reclaimable.begin(), reclaimable.begin() + static_cast<std::ptrdiff_t>(zones)},
                needed);
        if (rank(plan) < rank(best)) {
            best = std::move(plan);
        }
    }
    for (const availability_zone_id &zone : zonesOf(input)) {
        const bool isReclaimable = ranges::count(reclaimable, upstream_pool{zone, true}) > 0;
        best.addUntil({{zone, isReclaimable}}, [&](const pool_counts &counts) {
            return sumInZone(counts, zone) >= input.limits.minimum;
        });
    }
    return best.counts();
}

// From what is ordered to the plan.

/// Records which pools were reclaimed since the last decision: all upstreams of the pool leave at once.
std::vector<upstream_pool> recordReclaims(const scaling_input &input, scaling_memory &memory)
{
    std::vector<upstream_pool> reclaimed;
    for (const availability_zone_id &zone : zonesOf(input)) {
        const upstream_pool pool{zone, true};
        const pool_supply supply = supplyOf(input, pool);
        // A holder that has just started sees only that they leave.
        const bool didServe
                = memory.pools.contains(pool) ? memory.pools[pool].served > 0 : supply.leaving > 0;
        pool_memory &known = memory.pools[pool];
        if (didServe && supply.serving == 0 && orderedIn(input, pool) > 0) {
            const std::uint64_t avoidance
                    = std::min(kMaxReclaimAvoidanceMs, kReclaimAvoidanceMs << std::min(known.reclaims, 5U));
            known.avoidedUntilMs = std::max(known.avoidedUntilMs, input.nowMs + avoidance);
            ++known.reclaims;
            reclaimed.push_back(pool);
        }
        known.served = supply.serving;
    }
    return reclaimed;
}

/// Raises the orders to the plan, as far as what is still ordered leaves room in the zone.
void raiseOrders(const scaling_input &input, const pool_counts &plan, pool_counts &orders,
                 scaling_memory &memory)
{
    for (const auto &[pool, count] : plan) {
        unsigned &order = orders[pool];
        const unsigned others = countOf(orders, {pool.zone, !pool.reclaimable});
        const unsigned room = input.limits.maximum - std::min(input.limits.maximum, others);
        if (const unsigned raised = std::min(count, room); raised > order) {
            order = raised;
            memory.pools[pool].raisedAtMs = input.nowMs;
        }
    }
}

/// Lowers orders that are above the plan, the most expensive first, as far as upstreams that serve already
/// replace them and have slots for the items that are open now.
void lowerOrders(const scaling_input &input, const pool_counts &plan, pool_counts &orders,
                 const scaling_memory &memory)
{
    const unsigned ready = ranges::accumulate(
            input.supply | ranges::views::values | ranges::views::transform(&pool_supply::ready), 0U);
    const std::uint64_t openItems
            = ranges::accumulate(input.steps | ranges::views::transform([](const trainer_step &step) {
                                     return step.ended ? 0 : step.work.openItems;
                                 }),
                                 input.callSlots);
    const unsigned slots = std::max(1U, input.slotsPerUpstream);
    const std::uint64_t busy = (openItems + slots - 1) / slots;
    const std::uint64_t kept = std::max<std::uint64_t>(sumOf(plan), busy);
    std::uint64_t spare = ready - std::min<std::uint64_t>(ready, kept);
    auto pools = orders | ranges::views::keys | ranges::to<std::vector<upstream_pool>>();
    ranges::sort(pools, std::greater<>{},
                 [&](const upstream_pool &pool) { return std::pair(priceOf(input.limits, pool), pool); });
    for (const upstream_pool &pool : pools) {
        const auto known = memory.pools.find(pool);
        const bool isNew
                = known != memory.pools.end() && known->second.raisedAtMs > 0
                  && input.nowMs < known->second.raisedAtMs
                                           + kMinBootTimesKept
                                                     * static_cast<std::uint64_t>(input.limits.boot.count());
        unsigned &order = orders[pool];
        const unsigned surplus = order - std::min(order, countOf(plan, pool));
        const unsigned inZone = sumInZone(orders, pool.zone);
        const unsigned aboveMinimum = inZone - std::min(inZone, input.limits.minimum);
        const auto lowered
                = static_cast<unsigned>(std::min<std::uint64_t>({surplus, aboveMinimum, isNew ? 0 : spare}));
        order -= lowered;
        spare -= lowered;
    }
}

/// True if a zone has more upstreams than the limits allow and none were ordered there: others decide how
/// many there are, and any order within the limits would take away upstreams at work.
bool isSizedByOthers(const scaling_input &input, const availability_zone_id &zone)
{
    const upstream_pool lasting{zone, false};
    const upstream_pool reclaimable{zone, true};
    return !input.orders.contains(lasting) && !input.orders.contains(reclaimable)
           && supplyOf(input, lasting).serving + supplyOf(input, reclaimable).serving > input.limits.maximum;
}

} // namespace

scaling_memory afterRefusal(scaling_memory memory, const upstream_pool &pool, std::uint64_t nowMs)
{
    pool_memory &known = memory.pools[pool];
    known.avoidedUntilMs = std::max(known.avoidedUntilMs, nowMs + kRefusalAvoidanceMs);
    return memory;
}

scaling_decision decideUpstreams(const scaling_input &input, const scaling_memory &memory)
{
    scaling_decision decision;
    decision.memory = memory;
    const std::vector<upstream_pool> reclaimed = recordReclaims(input, decision.memory);
    for (const availability_zone_id &zone : zonesOf(input)) {
        for (const bool reclaimable : {false, true}) {
            const upstream_pool pool{zone, reclaimable};
            if (reclaimable && !offersReclaimable(input.limits) && orderedIn(input, pool) == 0) {
                continue;
            }
            decision.orders[pool] = ranges::count(reclaimed, pool) > 0 ? 0 : orderedIn(input, pool);
        }
    }
    const std::vector<availability_zone_id> allZones = zonesOf(input);
    if (std::ranges::any_of(allZones, [&](const auto &zone) { return isSizedByOthers(input, zone); })) {
        decision.reason = "more upstreams than the limits allow, ordered by others";
        return decision;
    }
    const slot_need need = needOf(input);
    decision.openSlots = need.open;
    decision.expectedSlots = need.expected;
    const auto zones = static_cast<unsigned>(zonesOf(input).size());
    const double upstreams = std::min<double>(std::ceil(need.total / std::max(1U, input.slotsPerUpstream)),
                                              static_cast<double>(input.limits.maximum) * zones);
    decision.needed = updateNeed(decision.memory, std::max(1U, static_cast<unsigned>(upstreams)),
                                 kPeakDueTimes * longestDueMs(input), input.nowMs);

    const pool_counts plan = planPools(input, decision.memory, decision.needed);
    const pool_counts before = decision.orders;
    const bool isKnown = need.fewestSteps > 0 || need.open > 0;
    if (isKnown) {
        raiseOrders(input, plan, decision.orders, decision.memory);
    }
    const bool mayLower = need.fewestSteps >= kStepsBeforeLowering;
    if (mayLower) {
        lowerOrders(input, plan, decision.orders, decision.memory);
    }
    decision.reason = !reclaimed.empty()                         ? "a zone was reclaimed"
                      : !isKnown                                 ? "no work is known yet"
                      : sumOf(decision.orders) > sumOf(before)   ? "more are needed"
                      : decision.orders != before                ? "others replace them, or fewer are needed"
                      : !mayLower && sumOf(plan) < sumOf(before) ? "too few steps were seen to give up any"
                                                                 : "unchanged";
    return decision;
}

} // namespace jacinthvale::node
