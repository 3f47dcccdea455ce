/// Number of upstreams of services that are scaled by this system.
///
/// decideUpstreams() is a free function from values to values. The daemon that holds the duties calls it and
/// keeps the memory that it returns; what the orders are is in the duty record, which a successor reads.
#pragma once

#include <jacinthvale/node_types.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale::node {

/// Work of a batch, as its owner knows it. Groups that the trainer does not wait for are left out.
struct batch_work
{
    /// Items without a complete text.
    std::uint64_t openItems = 0;
    /// Tokens that these are still expected to generate.
    double remainingTokens = 0;
    /// The same, and the tokens generated so far.
    double totalTokens = 0;

    auto operator<=>(const batch_work &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(openItems, remainingTokens, totalTokens);
    }
};

/// Number of batches of which a daemon tells the work; with ids of 40 bytes this is 1.1 KB.
inline constexpr std::size_t kMaxToldBatches = 16;

/// What a daemon tells the others of its work, in its advisory.
struct scaling_advisory
{
    /// Batches of scaled services that the daemon owns, at most kMaxToldBatches.
    std::map<std::string, batch_work> batches;
    /// Slots that calls and streams of this daemon use, by scaled service: the most of the last seconds.
    std::map<std::string, std::uint64_t> callSlots;

    auto operator<=>(const scaling_advisory &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(batches, callSlots);
    }
};

/// Upstreams of a service that are ordered together.
struct upstream_pool
{
    availability_zone_id zone;
    bool reclaimable = false;

    auto operator<=>(const upstream_pool &) const = default;
};

struct pool_supply
{
    /// Upstreams that take new work or will once they have loaded weights, those of them that have, and those
    /// that are draining or reclaimed.
    unsigned serving = 0;
    unsigned ready = 0;
    unsigned leaving = 0;

    auto operator<=>(const pool_supply &) const = default;
};

/// A step of a trainer: one batch.
struct trainer_step
{
    /// Steps of one trainer follow each other.
    std::string trainer;
    std::uint64_t acceptedAtMs = 0;
    std::uint64_t dueAtMs = 0;
    bool ended = false;
    batch_work work;

    auto operator<=>(const trainer_step &) const = default;
};

/// Values from which the number of a service's upstreams is decided.
struct scaling_input
{
    /// Time of the store's clock.
    std::uint64_t nowMs = 0;
    scaling_limits limits;
    std::map<upstream_pool, pool_supply> supply;
    /// Last order of each pool; a pool without one keeps the upstreams that it has.
    std::map<upstream_pool, unsigned> orders;
    /// Open and recent steps; those of the last minutes are enough.
    std::vector<trainer_step> steps;
    /// Trainers that are to be expected; until some steps of each were seen, no upstream is given up.
    std::vector<std::string> trainers;
    /// Slots in use by calls and streams.
    std::uint64_t callSlots = 0;
    unsigned slotsPerUpstream = 1;
    /// Tokens that one run generates in a ms.
    double tokensPerMs = 1;

    auto operator<=>(const scaling_input &) const = default;
};

/// What is remembered of a pool from one decision to the next.
struct pool_memory
{
    /// Upstreams that served at the last decision.
    unsigned served = 0;
    std::uint64_t raisedAtMs = 0;
    /// No upstreams are ordered here before this time, after a reclaim or a refused order.
    std::uint64_t avoidedUntilMs = 0;
    /// Reclaims observed here.
    unsigned reclaims = 0;

    auto operator<=>(const pool_memory &) const = default;
};

/// Upstreams that were needed at a time of the store's clock.
struct past_need
{
    std::uint64_t atMs = 0;
    unsigned needed = 0;

    auto operator<=>(const past_need &) const = default;
};

struct scaling_memory
{
    std::map<upstream_pool, pool_memory> pools;
    /// Upstreams that the last decision needed; 0 before the first one.
    unsigned needed = 0;
    /// Needs of the last steps, each larger than the later ones, oldest first.
    std::vector<past_need> peaks;

    auto operator<=>(const scaling_memory &) const = default;
};

struct scaling_decision
{
    /// Upstreams that shall be ordered in each pool.
    std::map<upstream_pool, unsigned> orders;
    /// Slots for open work to end on time, and for the steps to come.
    double openSlots = 0;
    double expectedSlots = 0;
    /// Upstreams that shall serve after the loss of any zone's reclaimable ones.
    unsigned needed = 0;
    std::string reason;
    scaling_memory memory;

    auto operator<=>(const scaling_decision &) const = default;
};

/// Decides how many upstreams of each kind a service shall have in each zone.
scaling_decision decideUpstreams(const scaling_input &input, const scaling_memory &memory);

/// @returns the memory after the platform refused an order at this time of the store's clock, because none
/// are available in the pool.
scaling_memory afterRefusal(scaling_memory memory, const upstream_pool &pool, std::uint64_t nowMs);

} // namespace jacinthvale::node
