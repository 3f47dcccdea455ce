/// Parts of the fleet reducer; each file fleet_*.cpp holds one.
#pragma once

#include "jitter.h"

#include <jacinthvale/fleet.h>

#include <optional>
#include <string>

namespace jacinthvale {

/// One call of reduceFleet(): state, context and the effects so far.
struct fleet_run
{
    fleet_state &state;
    const context &at;
    effects out;

    operation_id nextOperation() { return {domain::fleet, ++state.lastOperation}; }
    std::int64_t setting(const char *key) const
    {
        config_scope scope;
        scope.deployment = state.self.deployment.value;
        return lookupInteger(*state.config, key, scope, at.wallNow);
    }
    lease &leaseOf(const upstream_id &upstream) { return state.shards.at(shardOf(upstream)).holding; }
};

// Leases of shards.
void advanceShards(fleet_run &run);
void releaseShards(fleet_run &run);
void takeShardRows(fleet_run &run, const store_outcome &outcome);
void settleLease(fleet_run &run, std::size_t shard, const store_outcome &outcome);

// Observation of upstreams in held shards.
void advancePolls(fleet_run &run);
/// @returns true where the call was a status call.
bool finishPoll(fleet_run &run, const http_call_finished &result);
void tellObservation(fleet_run &run, fleet_upstream &known);

// Weights.
void advanceOrders(fleet_run &run);
/// @returns true where the call was an order to load weights.
bool finishOrder(fleet_run &run, const http_call_finished &result);
void takeWeightRows(fleet_run &run, const store_outcome &outcome);
void takePublished(fleet_run &run, const weights_published &what);
void takeFleetMessage(fleet_run &run, const peer_message_received &message);
/// @returns true where the engine serves all wanted weights, clearly.
bool servesWanted(const fleet_run &run, const fleet_upstream &known);

// Drains.
void advanceDrains(fleet_run &run);
/// @returns true where the call was an order to drain.
bool finishDrainOrder(fleet_run &run, const http_call_finished &result);
void takeDrainRows(fleet_run &run, const store_outcome &outcome);
void answerUpstreamRequest(fleet_run &run, const http_request_received &request);
void settleDrain(fleet_run &run, operation_id operation, const store_outcome &outcome);

} // namespace jacinthvale
