/// Upstreams: shards under leases, observation, weight roll-out, orders and drains.
///
/// Upstreams are spread over a fixed number of shards by a hash of their id. The daemon that holds a shard's
/// lease polls the status of its upstreams, tells what it saw, and orders them from what they report to what
/// is wanted. Orders carry the lease's epoch as fencing number.
#pragma once

#include <jacinthvale/config.h>
#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>
#include <jacinthvale/lease.h>
#include <jacinthvale/membership.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinthvale {

inline constexpr std::size_t kFleetShards = 32;

/// @returns the shard that an upstream belongs to.
std::size_t shardOf(const upstream_id &upstream);

/// Order to load weights that was sent and has not ended.
struct weight_order
{
    operation_id operation;
    model_id model;
    weight_version version;
    /// Swap counter that the engine had reported before.
    std::uint64_t swapCounter = 0;
};

/// Order without an answer: the engine's weights of this model are in doubt.
struct unanswered_order
{
    /// Only a status with a later swap counter ends the doubt.
    std::uint64_t swapCounter = 0;
    incarnation_id incarnation;
};

/// An upstream, as the holder of its shard sees it.
struct fleet_upstream
{
    upstream_view view;
    std::optional<upstream_status> status;
    int failedPolls = 0;
    std::optional<operation_id> statusCall;
    instant nextPoll{};
    std::optional<weight_order> order;
    std::map<model_id, unanswered_order> doubts;
    /// Models that this incarnation does not know; not ordered again.
    std::set<model_id> unknownModels;
    /// Answer of the last order that took effect; older statuses do not count.
    std::uint64_t confirmedSwapCounter = 0;
    incarnation_id confirmedIncarnation;
    int failedOrders = 0;
    instant nextOrder{};
    std::optional<operation_id> drainCall;
    instant nextDrain{};
};

/// One shard and when its lease was first seen free, or when a better holder was first seen.
struct fleet_shard
{
    lease holding;
    std::optional<instant> freeSince;
    std::optional<instant> betterSince;
};

/// Weights that engines are to serve.
struct wanted_weights
{
    weight_version version;
    instant since{};
};

/// An operator's drain, as kept in the table.
struct drain_record
{
    upstream_id upstream;
    incarnation_id incarnation;
    std::string author;
    std::string reason;

    auto operator<=>(const drain_record &) const = default;
};

/// An operator's request to drain that waits for the table.
struct drain_exchange
{
    exchange_id exchange;
    drain_record record;
};

/// A read of all rows with one prefix.
struct row_scan
{
    std::optional<operation_id> call;
    instant askedAt{};
    instant next{};
};

/// State of the fleet domain.
struct fleet_state
{
    process_identity self;
    std::uint64_t lastOperation = 0;
    std::uint64_t lastObservation = 0;
    std::shared_ptr<const config_document> config = std::make_shared<config_document>();
    std::map<upstream_id, fleet_upstream> upstreams;
    std::map<peer_key, peer_view> peers;
    std::vector<fleet_shard> shards;
    /// Store operations of leases: operation number to shard.
    std::map<std::uint64_t, std::size_t> leaseCalls;
    row_scan shardScan;
    row_scan weightScan;
    row_scan drainScan;
    std::map<model_id, wanted_weights> wanted;
    std::map<upstream_id, drain_record> drains;
    std::map<std::uint64_t, drain_exchange> drainExchanges;
    /// Weight loads that may start now, in thousandths.
    std::int64_t loadTokens = 0;
    instant loadTokensAt{};
    bool stopping = false;
    instant stopDeadline{};
    bool drained = false;
};

/// Handles one event of the fleet domain.
effects reduceFleet(fleet_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeFleet(const fleet_state &state, const context &at);

} // namespace jacinthvale
