#include "node_placement.h"
#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Margin on the time for which a successor sends no orders to upstreams that the former holder may have
/// ordered.
constexpr milliseconds kBlockMargin{200};

/// Concurrent loads: one per this number of upstreams of a service, but at least kMinLoads. The source of the
/// weights serves about a fifth of a fleet at full speed (2 of 11, 9 of 45, 10 of 48); more concurrent loads
/// slow each other down.
constexpr std::size_t kUpstreamsPerLoad = 5;
constexpr std::size_t kMinLoads = 2;

/// The lease row advertises a load for this long; by then the table of upstreams shows it.
constexpr milliseconds kLoadAdvertiseTime{5000};

/// An order counts as lost if its upstream does not report the version within this time, twice that of a slow
/// load.
constexpr milliseconds kOrderTimeout{6000};

/// Assumed interval between two versions of a model before it is observed, and bounds of the time after which
/// a version is loaded everywhere because no next one has come.
constexpr milliseconds kDefaultNamingInterval{4000};
constexpr milliseconds kMinSettleTime{1000};
constexpr milliseconds kMaxSettleTime{60'000};

/// Time between two status requests to an upstream that is busy or loading.
constexpr milliseconds kStatusRequestInterval{200};

/// Time from the answer to an order to the first status request: a load takes 0.9 s.
constexpr milliseconds kStatusDelayAfterOrder{930};

/// @returns the time in ms for which a new holder sends no orders to an upstream after the row of another
/// holder listed it.
std::uint64_t blockTimeMs(const node_state &state)
{
    return static_cast<std::uint64_t>((kLeaseValidity + state.self.leaseTime + kBlockMargin).count());
}

/// @returns the upstreams that the next lease row lists: those of the current orders, and those for which a
/// recent listing, by this or a former holder, has not expired.
std::map<upstream_id, std::uint64_t> nextPlan(const step &s)
{
    const weights_leader &lease = s.state.weightsLeader;
    const std::uint64_t now = storeTime(s.state, s.ctx.now);
    const std::uint64_t validForMs = blockTimeMs(s.state);
    std::map<upstream_id, std::uint64_t> plan;
    for (const auto &[id, listedAtMs] : lease.planned) {
        if (listedAtMs + validForMs > now) {
            plan.emplace(id, listedAtMs);
        }
    }
    for (const auto &[id, until] : lease.blockedUntil) {
        if (until > now) {
            // Keeps the upstream blocked for the next holder too.
            plan.emplace(id, until - validForMs);
        }
    }
    for (const auto &[id, order] : lease.orders) {
        plan[id] = now;
    }
    return plan;
}

/// Opens the window of a load that the lease row lists. Renewals list it again until the load is confirmed.
void onLoadListed(weights_leader &lease, const upstream_id &id, std::uint64_t listedAtMs)
{
    load_window &window = lease.loadWindows[id];
    // A load that is given up is listed no more; a later listing announces another one.
    const bool isRepeated
            = listedAtMs > window.lastListedMs + 2 * static_cast<std::uint64_t>(kLeaseRenewPeriod.count());
    if (listedAtMs > window.confirmedMs && (!window.isOpen() || isRepeated)) {
        window.sinceMs = listedAtMs;
    }
    window.lastListedMs = std::max(window.lastListedMs, listedAtMs);
}

void onLoadConfirmed(weights_leader &lease, const loaded_weights &load)
{
    std::uint64_t &confirmedMs = lease.loadWindows[load.upstream].confirmedMs;
    confirmedMs = std::max(confirmedMs, load.seenAtMs);
}

/// Applies the listed loads of a lease row, and forgets upstreams that left the table.
void setPlan(step &s, std::map<upstream_id, std::uint64_t> plan)
{
    weights_leader &lease = s.state.weightsLeader;
    std::erase_if(lease.loadWindows,
                  [&](const auto &entry) { return !s.state.upstreams.contains(entry.first); });
    for (const auto &[id, listedAtMs] : plan) {
        onLoadListed(lease, id, listedAtMs);
    }
    lease.planned = std::move(plan);
}

void writeLease(step &s, bool release)
{
    weights_leader &lease = s.state.weightsLeader;
    const op_id op = s.open(lease_operation{lease_id::weights});
    const lease_claim claim
            = beginLeaseWrite(lease, op, s.state.self.host, s.state.incarnation, release, s.ctx.now);
    lease_row row{claim.holder, claim.incarnation, claim.epoch, claim.released, {}, {}};
    lease.renewalPlan = nextPlan(s);
    for (const auto &[id, listedAtMs] : lease.renewalPlan) {
        row.planned.emplace(id.value, listedAtMs);
    }
    const std::uint64_t now = storeTime(s.state, s.ctx.now);
    std::erase_if(lease.loaded, [&](const loaded_weights &load) {
        return load.seenAtMs + static_cast<std::uint64_t>(kLoadAdvertiseTime.count()) < now;
    });
    row.loaded = lease.loaded;
    s.emit(commit_rows{op,
                       "",
                       {{table_id::leases, kWeightsLeaseKey, lease.rowVersion}},
                       {{table_id::leases, kWeightsLeaseKey, encodeLease(row)}},
                       kLeaseRenewDeadline});
}

/// Cancels the status request or order in progress; the upstream may still carry out the order.
void cancelOrder(step &s, const running_order &order)
{
    if (order.op.value != 0) {
        s.emit(cancel_call{order.op});
        s.state.ops.erase(order.op);
    }
}

void dropOrders(step &s)
{
    for (const auto &[id, order] : s.state.weightsLeader.orders) {
        cancelOrder(s, order);
    }
    s.state.weightsLeader.orders.clear();
}

/// The lease of this process has ended.
void onLeaseLost(step &s, const std::string &reason)
{
    s.log("lease-lost", kWeightsLeaseKey, reason);
    dropOrders(s);
    s.state.weightsLeader.blockedUntil.clear();
}

bool mayOrder(const step &s)
{
    return isHeldFor(s.state.weightsLeader, milliseconds{0}, s.ctx.now) && !isRetiring(s.state, s.ctx.now);
}

/// True if the last lease row lists the upstream for this order, so that a successor knows of it.
bool isInLeaseRow(const step &s, const upstream_id &id, const running_order &order)
{
    const auto found = s.state.weightsLeader.planned.find(id);
    return found != s.state.weightsLeader.planned.end() && found->second >= order.requestedAtStoreMs;
}

void requestStatus(step &s, const upstream_id &id, running_order &order)
{
    order.op = s.open(order_operation{id});
    s.emit(request_upstream_status{order.op, s.state.upstreams.at(id).entry.address, id});
}

/// An upstream with outdated weights, and the criteria of its priority.
struct pending_load
{
    /// Share of the model's upstreams that can serve its current step.
    double usable = 0;
    /// The upstream itself can serve the current step.
    bool serves = false;
    upstream_id upstream;
    model_id model;
    weight_version version;
};

/// Numbers of a model's upstreams.
struct model_upstreams
{
    double total = 0;
    /// Those that can serve the current step.
    double usable = 0;
    /// Those that will serve the next step without another load.
    double prepared = 0;
};

/// True if no next version is expected soon: the current one was named twice the usual interval ago.
bool hasSettled(const node_state &state, const model_id &model, instant now)
{
    const auto found = state.versionPaces.find(model);
    if (found == state.versionPaces.end()) {
        return true;
    }
    const milliseconds interval
            = found->second.interval.count() > 0 ? found->second.interval : kDefaultNamingInterval;
    return now - found->second.namedAt >= std::clamp(2 * interval, kMinSettleTime, kMaxSettleTime);
}

/// Adds the loads that are needed now: of upstreams that cannot serve the current step, and of others until
/// half of the model's upstreams have the named version. The other half skips it and loads the next one,
/// while the first half serves the next step: each load takes an upstream out of service, and the weights'
/// source limits their rate.
void addPendingLoads(const step &s, const std::map<upstream_id, model_id> &assignment,
                     std::vector<pending_load> &pendingLoads)
{
    std::map<model_id, model_upstreams> counts;
    const auto servesStep = [&](const upstream_id &id, const model_id &model) {
        const auto named = s.state.namedVersions.find(model);
        // A step accepts the named version and the one before it.
        return named == s.state.namedVersions.end()
               || versionOf(s.state.upstreams.at(id), model).value + 1 >= named->second.value;
    };
    const auto isPrepared = [&](const upstream_id &id, const model_id &model) {
        const auto named = s.state.namedVersions.find(model);
        return named == s.state.namedVersions.end() || !servesStep(id, model)
               || versionOf(s.state.upstreams.at(id), model) >= named->second
               || s.state.weightsLeader.orders.contains(id);
    };
    for (const auto &[id, model] : assignment) {
        model_upstreams &count = counts[model];
        count.total += 1;
        count.usable += servesStep(id, model) ? 1 : 0;
        count.prepared += isPrepared(id, model) ? 1 : 0;
    }
    const std::uint64_t now = storeTime(s.state, s.ctx.now);
    for (const auto &[id, model] : assignment) {
        const upstream_view &view = s.state.upstreams.at(id);
        model_upstreams &count = counts.at(model);
        const bool serves = servesStep(id, model);
        const auto named = s.state.namedVersions.find(model);
        const auto blocked = s.state.weightsLeader.blockedUntil.find(id);
        const bool isUnblocked
                = blocked == s.state.weightsLeader.blockedUntil.end() || blocked->second <= now;
        if (isUnblocked && named != s.state.namedVersions.end() && versionOf(view, model) < named->second
            && view.ejectedUntil <= s.ctx.now && !s.state.weightsLeader.orders.contains(id)
            && (!serves || count.prepared < count.total / 2 || hasSettled(s.state, model, s.ctx.now))) {
            count.prepared += serves ? 1 : 0;
            pendingLoads.push_back({count.usable / count.total, serves, id, model, named->second});
        }
    }
}

/// Creates orders for outdated upstreams: first those that cannot serve the current step, of the model with
/// the smallest usable share.
void startLoads(step &s)
{
    std::vector<pending_load> pendingLoads;
    std::size_t maxLoads = 0;
    for (const auto &[service, limits] : s.state.config.engines) {
        const auto assignment = modelAssignmentOf(s.state, service);
        maxLoads += std::max(kMinLoads, assignment.size() / kUpstreamsPerLoad);
        addPendingLoads(s, assignment, pendingLoads);
    }
    std::ranges::sort(pendingLoads, [](const pending_load &left, const pending_load &right) {
        return std::tie(left.serves, left.usable, left.upstream)
               < std::tie(right.serves, right.usable, right.upstream);
    });
    for (const pending_load &load : pendingLoads) {
        if (s.state.weightsLeader.orders.size() >= maxLoads) {
            break;
        }
        running_order &order = s.state.weightsLeader.orders[load.upstream];
        order.model = load.model;
        order.version = load.version;
        order.startedAt = s.ctx.now;
        order.requestedAtStoreMs = storeTime(s.state, s.ctx.now);
    }
}

/// True if the order is finished: its weights are loaded, which is recorded for the next lease row, it timed
/// out or its upstream was removed.
bool isFinished(step &s, const upstream_id &id, const running_order &order)
{
    const auto view = s.state.upstreams.find(id);
    if (view == s.state.upstreams.end()) {
        return true;
    }
    if (versionOf(view->second, order.model) >= order.version) {
        const loaded_weights load{id, order.model, order.version, storeTime(s.state, s.ctx.now)};
        s.state.weightsLeader.loaded.push_back(load);
        onLoadConfirmed(s.state.weightsLeader, load);
        s.log("weights-loaded", id.value,
              order.model.value + " version " + std::to_string(order.version.value) + " after "
                      + std::to_string((s.ctx.now - order.startedAt).count()) + " ms");
        return true;
    }
    if (s.ctx.now - order.startedAt > kOrderTimeout) {
        s.log("order-unclear", id.value,
              order.model.value + " load not reported by the upstream in time; ordered again later");
        return true;
    }
    return false;
}

void checkOrders(step &s)
{
    auto &orders = s.state.weightsLeader.orders;
    std::erase_if(orders, [&](const auto &entry) { return isFinished(s, entry.first, entry.second); });
    for (auto &[id, order] : orders) {
        if (order.op.value == 0 && order.nextStatusRequestAt <= s.ctx.now && isInLeaseRow(s, id, order)) {
            requestStatus(s, id, order);
        }
    }
}

bool isLeaseAvailable(const step &s)
{
    const weights_leader &lease = s.state.weightsLeader;
    return mayAcquire(lease, s.state.self.host, s.state.incarnation, replacementOf(s.state, lease),
                      s.ctx.now);
}

} // namespace

void dropOrder(step &s, const upstream_id &id)
{
    const auto dropped = s.state.weightsLeader.orders.extract(id);
    if (!dropped.empty()) {
        cancelOrder(s, dropped.mapped());
        s.log("order-dropped", id.value, "the upstream is leaving");
    }
}

void runWeightsLeader(step &s)
{
    weights_leader &lease = s.state.weightsLeader;
    if (!s.state.configKnown || !feedOf(s.state, table_id::leases).synced) {
        return;
    }
    if (expireLease(lease, s.ctx.now) == lease_change::lost) {
        onLeaseLost(s, "not renewed in time");
    }
    if (isRetiring(s.state, s.ctx.now)) {
        if (lease.held && lease.op.value == 0) {
            dropOrders(s);
            writeLease(s, true);
        }
        return;
    }
    bool renewNow = false;
    if (mayOrder(s)) {
        checkOrders(s);
        startLoads(s);
        renewNow = std::ranges::any_of(
                lease.orders, [&](const auto &entry) { return !isInLeaseRow(s, entry.first, entry.second); });
    }
    if (lease.op.value != 0) {
        return;
    }
    if (lease.held ? renewNow || lease.nextAt <= s.ctx.now
                   : lease.nextAt <= s.ctx.now && !s.state.namedVersions.empty() && isLeaseAvailable(s)) {
        writeLease(s, false);
    }
}

void onLeaseRow(step &s, const row &changed)
{
    weights_leader &lease = s.state.weightsLeader;
    const auto row = decodeLease(changed);
    if (changed.removed || !row) {
        s.log("lease-row-unreadable", changed.key.key);
        return;
    }
    if (changed.version <= lease.rowVersion) {
        return;
    }
    const lease_claim claim{row->holder, row->incarnation, row->epoch, row->released};
    const lease_change change
            = applyLeaseRow(lease, claim, changed.version, s.state.self.host, s.state.incarnation, s.ctx.now);
    std::map<upstream_id, std::uint64_t> plan;
    for (const auto &[id, listedAtMs] : row->planned) {
        plan.emplace(upstream_id{id}, listedAtMs);
    }
    setPlan(s, std::move(plan));
    for (const loaded_weights &load : row->loaded) {
        onLoadConfirmed(lease, load);
        const auto found = s.state.upstreams.find(load.upstream);
        if (found != s.state.upstreams.end()) {
            advanceWeightVersion(found->second.entry, load.model, load.version);
        }
    }
    if (change == lease_change::lost) {
        onLeaseLost(s, "held by " + row->holder.value);
    }
}

void onLeaseCommitted(step &s, const rows_committed &committed)
{
    weights_leader &lease = s.state.weightsLeader;
    const bool isLatest = committed.version >= lease.rowVersion;
    const lease_change change = applyLeaseCommit(lease, committed.version, s.ctx.now);
    if (!isLatest) {
        return;
    }
    if (change == lease_change::released) {
        s.log("lease-released", kWeightsLeaseKey);
        return;
    }
    if (change == lease_change::taken) {
        for (const auto &[id, listedAtMs] : lease.planned) {
            lease.blockedUntil[id] = listedAtMs + blockTimeMs(s.state);
        }
        s.log("lease-taken", kWeightsLeaseKey,
              "fencing number " + std::to_string(lease.claim.epoch.value)
                      + ", upstreams blocked by the former holder's orders "
                      + std::to_string(lease.blockedUntil.size()));
    }
    setPlan(s, lease.renewalPlan);
    runWeightsLeader(s);
}

void onLeaseConflict(step &s, const rows_conflict &conflict)
{
    applyLeaseFailure(s.state.weightsLeader, s.ctx.now, kLeaseRenewPeriod);
    for (const row &currentRow : conflict.rows) {
        if (currentRow.key.table == table_id::leases && currentRow.version != 0) {
            onLeaseRow(s, currentRow);
        }
    }
}

void onLeaseFailed(step &s)
{
    applyLeaseFailure(s.state.weightsLeader, s.ctx.now, kTickPeriod);
}

void onUpstreamStatus(step &s, const order_operation &operation, const upstream_status_received &report)
{
    const auto found = s.state.weightsLeader.orders.find(operation.upstream);
    if (found == s.state.weightsLeader.orders.end()) {
        return;
    }
    running_order &order = found->second;
    order.op = {};
    order.nextStatusRequestAt = s.ctx.now + kStatusRequestInterval;
    const auto view = s.state.upstreams.find(operation.upstream);
    if (view == s.state.upstreams.end() || !report.loads) {
        s.log("load-unknown", operation.upstream.value,
              report.answered ? "the report does not tell of loads" : "no report");
        ejectUpstream(s, operation.upstream, kStatusRequestInterval, "no status report");
        s.state.weightsLeader.orders.erase(found);
        return;
    }
    for (const auto &[model, version] : report.loads->weights) {
        advanceWeightVersion(view->second.entry, model, version);
    }
    if (report.loads->busy || versionOf(view->second, order.model) >= order.version || !mayOrder(s)) {
        return;
    }
    s.log("weights-ordered", operation.upstream.value,
          order.model.value + " version " + std::to_string(order.version.value)
                  + ", accepted orders of the upstream so far: " + std::to_string(report.loads->orders));
    s.emit(count{"weight_orders"});
    order.op = s.open(order_operation{operation.upstream});
    s.emit(order_weights{order.op, view->second.entry.address, operation.upstream, order.model, order.version,
                         s.state.self.host, s.state.weightsLeader.claim.epoch, report.loads->orders});
}

void onOrderEnded(step &s, const order_operation &operation, const call_ended &end)
{
    const auto found = s.state.weightsLeader.orders.find(operation.upstream);
    if (found == s.state.weightsLeader.orders.end()) {
        return;
    }
    running_order &order = found->second;
    order.op = {};
    // Only a status report of the upstream confirms a load, whatever the answer was.
    order.nextStatusRequestAt
            = s.ctx.now + (end.end == call_end::complete ? kStatusDelayAfterOrder : kStatusRequestInterval);
    s.log("order-answered", operation.upstream.value, "status " + std::to_string(end.status));
}

} // namespace jacinthvale::node
