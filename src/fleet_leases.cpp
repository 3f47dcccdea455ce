// Which daemon holds which shard: rendezvous hashing says who should, leases say who does.
#include "fleet_reducer.h"

#include <algorithm>

namespace jacinthvale {

namespace {

/// Each better candidate delays a take-over by this much.
constexpr milliseconds kRankDelay{2000};
/// Time in which a better candidate notices that a shard was handed over to it.
constexpr milliseconds kHandOverTime{6000};
/// Time for which a better candidate must be seen before a shard is handed over to it.
constexpr milliseconds kHandOverDelay{5000};

/// @returns how many live fleet daemons are better candidates for the shard than this process.
std::int64_t rankFor(const fleet_run &run, std::size_t shard)
{
    const auto score = [shard](const host_id &host) { return stableHash(host.value, shard + 1); };
    const std::uint64_t own = score(run.state.self.host);
    return std::ranges::count_if(run.state.peers, [&](const auto &entry) {
        const peer_view &peer = entry.second;
        return peer.role == "fleet" && peer.alive && !peer.stopping && peer.host != run.state.self.host
               && score(peer.host) > own;
    });
}

void submit(fleet_run &run, std::size_t shard, std::optional<store_transact> write)
{
    if (write) {
        const operation_id operation = run.nextOperation();
        run.state.leaseCalls[operation.number] = shard;
        run.out.emplace_back(call_store{operation, std::move(*write), milliseconds{3000}});
    }
}

bool hasOrderIn(const fleet_run &run, std::size_t shard)
{
    return std::ranges::any_of(run.state.upstreams, [&](const auto &entry) {
        return entry.second.order && shardOf(entry.first) == shard;
    });
}

void advanceHeld(fleet_run &run, std::size_t shard, std::int64_t rank)
{
    fleet_shard &one = run.state.shards[shard];
    one.freeSince.reset();
    if (rank == 0) {
        one.betterSince.reset();
    } else if (!one.betterSince) {
        one.betterSince = run.at.now;
    }
    const bool handOver = one.betterSince && run.at.now >= *one.betterSince + kHandOverDelay;
    if (handOver && !hasOrderIn(run, shard)) {
        submit(run, shard, one.holding.release(run.at.now));
    } else {
        submit(run, shard, one.holding.renew(run.at.now));
    }
}

void advanceFree(fleet_run &run, std::size_t shard, std::int64_t rank)
{
    fleet_shard &one = run.state.shards[shard];
    one.betterSince.reset();
    if (!one.holding.isFree(run.at.now)) {
        one.freeSince.reset();
        return;
    }
    if (!one.freeSince) {
        one.freeSince = run.at.now;
    }
    const std::optional<lease_record> &last = one.holding.lastRecord();
    const bool handedOver = rank > 0 && last && last->released && last->holder == run.state.self.host;
    const milliseconds wait = rank * kRankDelay + (handedOver ? kHandOverTime : milliseconds{0});
    if (run.at.now >= *one.freeSince + wait) {
        submit(run, shard, one.holding.acquire(run.at.now));
    }
}

} // namespace

void advanceShards(fleet_run &run)
{
    for (std::size_t shard = 0; shard < run.state.shards.size(); ++shard) {
        const lease &holding = run.state.shards[shard].holding;
        if (holding.busy() || holding.needsRead()) {
            continue;
        }
        const std::int64_t rank = rankFor(run, shard);
        holding.ownsRow() ? advanceHeld(run, shard, rank) : advanceFree(run, shard, rank);
    }
}

void releaseShards(fleet_run &run)
{
    for (std::size_t shard = 0; shard < run.state.shards.size(); ++shard) {
        submit(run, shard, run.state.shards[shard].holding.release(run.at.now));
    }
}

void takeShardRows(fleet_run &run, const store_outcome &outcome)
{
    const auto *rows = std::get_if<store_rows>(&outcome);
    if (rows == nullptr) {
        return;
    }
    for (fleet_shard &shard : run.state.shards) {
        const auto row = std::ranges::find(rows->rows, shard.holding.key(), &store_row::key);
        shard.holding.observe(row == rows->rows.end() ? std::nullopt : std::optional(*row),
                              run.state.shardScan.askedAt, run.at.now);
    }
}

void settleLease(fleet_run &run, std::size_t shard, const store_outcome &outcome)
{
    lease &holding = run.state.shards.at(shard).holding;
    const bool before = holding.ownsRow();
    holding.settle(outcome, run.at.now);
    if (before != holding.ownsRow()) {
        run.out.emplace_back(record_entry{holding.ownsRow() ? "lease-taken" : "lease-ended", holding.key(),
                                          "epoch " + std::to_string(holding.epoch().value)});
    }
}

} // namespace jacinthvale
