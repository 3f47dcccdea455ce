// The upstreams' side of the world: runs, forwarded calls, orders for weights, beats and crashes.
#include "node_world.h"

#include <algorithm>

namespace jacinthvale::test {

using namespace node;

namespace {

constexpr milliseconds kUpstreamBeat{1200};
constexpr milliseconds kLoadTime{900};
constexpr milliseconds kCallTime{25};

} // namespace

std::string worldPiece(const item_id &id, std::uint64_t number)
{
    return id.value + "." + std::to_string(number);
}

world_upstream *node_world::find(const upstream_id &id)
{
    const auto found
            = std::ranges::find_if(m_upstreams, [&](const world_upstream &u) { return u.entry.id == id; });
    return found == m_upstreams.end() ? nullptr : &*found;
}

void node_world::startRun(std::size_t daemon, const run_item &what)
{
    ++m_runsStarted;
    ++m_runsAt[what.upstream];
    world_upstream *target = find(what.upstream);
    if (!target->up) {
        later(daemon, milliseconds{2}, run_ended{what.op, call_end::not_run});
        return;
    }
    ++target->running;
    target->mostRunning = std::max(target->mostRunning, target->running);
    m_runs[{daemon, what.op}] = {what, what.after};
    const std::uint64_t life = m_daemons.at(daemon).life;
    at(m_now + target->pace, [=, this] { makePiece(daemon, what.op, life); });
}

void node_world::makePiece(std::size_t daemon, op_id op, std::uint64_t life)
{
    const auto found = m_runs.find({daemon, op});
    if (found == m_runs.end() || m_daemons.at(daemon).life != life) {
        return;
    }
    running_run &run = found->second;
    world_upstream *target = find(run.what.upstream);
    const auto end = [&](call_end how) {
        --target->running;
        m_runs.erase(found);
        tell(daemon, life, run_ended{op, how});
    };
    if (!target->up || chance(m_breakShare / 10)) {
        end(call_end::incomplete);
        return;
    }
    if (run.stalledUntil > m_now) {
        at(run.stalledUntil, [=, this] { makePiece(daemon, op, life); });
        return;
    }
    const item_id id = run.what.item.id;
    ++run.made;
    std::uint64_t version = 0;
    for (const auto &[name, value] : run.what.item.headers) {
        if (name == "model") {
            version = target->entry.weights[{value}].value;
        }
    }
    const bool whole = run.made >= m_pieces[id.value];
    const std::uint64_t made = run.made;
    if (!whole) {
        at(m_now + target->pace, [=, this] { makePiece(daemon, op, life); });
    }
    tell(daemon, life, run_progressed{op, {{made, worldPiece(id, made), version}}});
    const auto still = m_runs.find({daemon, op});
    if (whole && still != m_runs.end()) {
        --target->running;
        m_runs.erase(still);
        tell(daemon, life, run_ended{op, call_end::complete});
    }
}

void node_world::forward(std::size_t daemon, const forward_call &what)
{
    ++m_runsAt[what.upstream];
    const world_upstream *target = find(what.upstream);
    if (!target->up) {
        later(daemon, milliseconds{2}, call_ended{what.op, call_end::not_run, 0, {}, {}});
        return;
    }
    if (chance(m_breakShare)) {
        later(daemon, kCallTime, call_ended{what.op, call_end::incomplete, 0, {}, {}});
        return;
    }
    later(daemon, target->pace, call_ended{what.op, call_end::complete, 200, {}, what.call.id.value});
}

void node_world::report(std::size_t daemon, const request_upstream_status &what)
{
    const world_upstream *target = find(what.upstream);
    upstream_status_received reported;
    reported.op = what.op;
    reported.answered = target->up;
    reported.busy = target->busyUntil > m_now;
    reported.orders = target->orders;
    reported.weights = target->entry.weights;
    later(daemon, milliseconds{3}, std::move(reported));
}

void node_world::order(std::size_t daemon, const order_weights &what)
{
    ++m_ordersSent;
    world_upstream *target = find(what.upstream);
    if (!target->lastOrderBy.empty() && target->lastOrderBy != what.holder
        && m_now - target->lastOrderAt < kWorldLease) {
        fault(what.upstream.value + " is ordered by " + target->lastOrderBy.value + " and "
              + what.holder.value + " within the lease time");
    }
    if (what.fencing.value < target->lastFencing) {
        fault(what.upstream.value + " got a lower fencing number");
    }
    target->lastFencing = std::max(target->lastFencing, what.fencing.value);
    target->lastOrderBy = what.holder;
    target->lastOrderAt = m_now;
    if (!target->up || target->busyUntil > m_now || target->orders != what.expectedOrders) {
        later(daemon, milliseconds{3}, call_ended{what.op, call_end::failed, 409, {}, {}});
        return;
    }
    ++target->orders;
    target->busyUntil = m_now + kLoadTime;
    at(m_now + kLoadTime, [this, what] {
        if (world_upstream *loaded = find(what.upstream); loaded->up) {
            loaded->entry.weights[what.model] = what.version;
        }
    });
    later(daemon, milliseconds{3}, call_ended{what.op, call_end::complete, 202, {}, {}});
}

void node_world::beatUpstreams()
{
    ++m_version;
    for (world_upstream &each : m_upstreams) {
        const row_key key{table_id::upstreams, "", each.entry.id.value};
        if (each.listed) {
            m_foreign[key] = each.entry;
            put(key, "beat");
        } else if (m_rows.erase(key) > 0) {
            m_changes.emplace_back(m_version, key);
        }
    }
    at(m_now + kUpstreamBeat, [this] { beatUpstreams(); });
}

bool node_world::stallNewestRun(std::size_t upstream, milliseconds time)
{
    running_run *newest = nullptr;
    for (auto &[key, run] : m_runs) {
        if (run.what.upstream == m_upstreams.at(upstream).entry.id) {
            newest = &run;
        }
    }
    if (newest != nullptr) {
        newest->stalledUntil = m_now + time;
    }
    return newest != nullptr;
}

void node_world::crashUpstream(std::size_t upstream)
{
    world_upstream &each = m_upstreams.at(upstream);
    each.up = false;
    at(m_now + kUpstreamBeat * 3, [this, upstream] {
        world_upstream &crashed = m_upstreams.at(upstream);
        crashed.listed = crashed.up;
    });
}

void node_world::restoreUpstream(std::size_t upstream)
{
    world_upstream &each = m_upstreams.at(upstream);
    each.up = true;
    each.listed = true;
    each.orders = 0;
    each.busyUntil = {};
    each.lastFencing = 0;
    each.entry.startedAtMs += 1000;
}

} // namespace jacinthvale::test
