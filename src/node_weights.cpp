#include "node_placement.h"
#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// The lease holds for this long after the start of a renewal, and is renewed this often. Its time plus the
/// wait of a successor stays clear of the time within which two holders must not order.
constexpr milliseconds kLeaseHeld{1400};
constexpr milliseconds kRenewPeriod{500};
constexpr milliseconds kRenewDeadline{1200};

/// A successor waits for the lease time and this long after it last saw the row change: orders of the holder
/// may still be on their way, and its row is read at intervals.
constexpr milliseconds kSuccessorMargin{1500};

/// Loads at one time, as a share of a service's upstreams and at least: the source of weights serves about a
/// fifth of a fleet at full speed (2 of 11, 9 of 45, 10 of 48), and more of them slow each other down.
constexpr std::size_t kUpstreamsPerLoad = 5;
constexpr std::size_t kLeastLoads = 2;

/// An order is taken for lost when its upstream does not show the version by then: twice a slow load.
constexpr milliseconds kOrderPatience{6000};

/// Pause between two questions to an upstream that is busy.
constexpr milliseconds kAskPause{400};

/// Time from the answer to an order to the first look at its effect: a load takes 0.9 s.
constexpr milliseconds kLoadTime{950};

weight_version presentVersion(const upstream_view &view, const model_id &model)
{
    const auto found = view.entry.weights.find(model);
    return found == view.entry.weights.end() ? weight_version{0} : found->second;
}

void renew(step &s)
{
    weights_conductor &lease = s.state.conductor;
    lease_row row{s.state.self.host, s.state.incarnation, lease.epoch, s.state.lastOp};
    if (!lease.held) {
        ++row.epoch.value;
    }
    lease.renewSentAt = s.at.now;
    lease.op = s.open(for_lease{});
    s.emit(commit_rows{lease.op,
                       "",
                       {{table_id::leases, kWeightsLeaseKey, lease.rowVersion}},
                       {{table_id::leases, kWeightsLeaseKey, encodeLease(row)}},
                       kRenewDeadline});
}

void loseLease(step &s, const std::string &why)
{
    weights_conductor &lease = s.state.conductor;
    if (lease.held) {
        s.log("lease-lost", kWeightsLeaseKey, why);
    }
    lease.held = false;
    for (const auto &[id, order] : lease.orders) {
        if (order.op.value != 0) {
            s.emit(cancel_call{order.op});
            s.state.ops.erase(order.op);
        }
    }
    lease.orders.clear();
}

bool mayOrder(const step &s)
{
    return s.state.conductor.held && s.at.now < s.state.conductor.heldUntil && !s.state.stopping;
}

void askUpstream(step &s, const upstream_id &id, running_order &order)
{
    order.op = s.open(for_order{id});
    s.emit(ask_load{order.op, s.state.upstreams.at(id).entry.address, id});
}

/// Starts loads: of upstreams dealt to a model, those furthest behind first.
void startLoads(step &s)
{
    struct wish
    {
        std::uint64_t lag;
        upstream_id upstream;
        model_id model;
        weight_version version;
    };
    std::vector<wish> wishes;
    std::size_t mostLoads = 0;
    for (const auto &[service, limits] : s.state.config.engines) {
        const auto deal = dealOf(s.state, service);
        mostLoads += std::max(kLeastLoads, deal.size() / kUpstreamsPerLoad);
        for (const auto &[id, model] : deal) {
            const upstream_view &view = s.state.upstreams.at(id);
            const auto named = s.state.named.find(model);
            const weight_version present = presentVersion(view, model);
            if (named != s.state.named.end() && present < named->second && view.restUntil <= s.at.now
                && !s.state.conductor.orders.contains(id)) {
                wishes.push_back({named->second.value - present.value, id, model, named->second});
            }
        }
    }
    std::ranges::sort(wishes, [](const wish &left, const wish &right) {
        return std::tie(right.lag, left.upstream) < std::tie(left.lag, right.upstream);
    });
    for (const wish &next : wishes) {
        if (s.state.conductor.orders.size() >= mostLoads) {
            return;
        }
        running_order &order = s.state.conductor.orders[next.upstream];
        order.model = next.model;
        order.version = next.version;
        order.since = s.at.now;
        askUpstream(s, next.upstream, order);
    }
}

/// @returns true where nothing is to be waited for any more.
bool isOver(step &s, const upstream_id &id, const running_order &order)
{
    const auto view = s.state.upstreams.find(id);
    if (view == s.state.upstreams.end()) {
        return true;
    }
    if (presentVersion(view->second, order.model) >= order.version) {
        s.log("weights-in-force", id.value,
              order.model.value + " version " + std::to_string(order.version.value) + " after "
                      + std::to_string((s.at.now - order.since).count()) + " ms");
        return true;
    }
    if (s.at.now - order.since > kOrderPatience) {
        s.log("order-unclear", id.value, order.model.value + "; asked anew later");
        return true;
    }
    return false;
}

void watchOrders(step &s)
{
    auto &orders = s.state.conductor.orders;
    std::erase_if(orders, [&](const auto &entry) { return isOver(s, entry.first, entry.second); });
    for (auto &[id, order] : orders) {
        if (order.op.value == 0 && order.askAgainAt <= s.at.now) {
            askUpstream(s, id, order);
        }
    }
}

} // namespace

void conduct(step &s)
{
    weights_conductor &lease = s.state.conductor;
    if (!s.state.configKnown || !feedOf(s.state, table_id::leases).synced) {
        return;
    }
    if (lease.held && s.at.now >= lease.heldUntil) {
        loseLease(s, "not renewed in time");
    }
    if (lease.op.value == 0 && lease.nextAt <= s.at.now && !s.state.stopping) {
        const milliseconds quiet = s.state.self.leaseTime + kSuccessorMargin;
        const bool own = lease.held;
        const bool wanted = !s.state.named.empty();
        const bool free = !lease.rowKnown || s.at.now - lease.changedAt >= quiet;
        if (own || (wanted && free)) {
            renew(s);
        }
    }
    if (!mayOrder(s)) {
        return;
    }
    watchOrders(s);
    startLoads(s);
}

void onLeaseRow(step &s, const row &what)
{
    weights_conductor &lease = s.state.conductor;
    const auto row = decodeLease(what);
    if (what.removed || !row) {
        s.log("lease-row-unreadable", what.key.key);
        return;
    }
    if (what.version <= lease.rowVersion) {
        return;
    }
    lease.rowKnown = true;
    lease.rowVersion = what.version;
    lease.changedAt = s.at.now;
    lease.holder = row->holder;
    lease.epoch = row->epoch;
    if (lease.held && (row->holder != s.state.self.host || row->incarnation != s.state.incarnation)) {
        loseLease(s, "held by " + row->holder.value);
    }
}

void onLeaseCommitted(step &s, const rows_committed &what)
{
    weights_conductor &lease = s.state.conductor;
    lease.op = {};
    lease.rowVersion = std::max(lease.rowVersion, what.version);
    lease.rowKnown = true;
    lease.changedAt = s.at.now;
    lease.nextAt = lease.renewSentAt + kRenewPeriod;
    lease.heldUntil = lease.renewSentAt + kLeaseHeld;
    if (!lease.held) {
        lease.held = true;
        ++lease.epoch.value;
        lease.holder = s.state.self.host;
        s.log("lease-taken", kWeightsLeaseKey, "fencing number " + std::to_string(lease.epoch.value));
    }
}

void onLeaseConflict(step &s, const rows_conflict &what)
{
    weights_conductor &lease = s.state.conductor;
    lease.op = {};
    lease.nextAt = s.at.now + kRenewPeriod;
    for (const row &present : what.rows) {
        if (present.key.table == table_id::leases && present.version != 0) {
            onLeaseRow(s, present);
        }
    }
}

void onLeaseFailed(step &s)
{
    s.state.conductor.op = {};
    s.state.conductor.nextAt = s.at.now + kTickPeriod;
}

void onLoadReported(step &s, const for_order &what, const load_reported &report)
{
    const auto found = s.state.conductor.orders.find(what.upstream);
    if (found == s.state.conductor.orders.end()) {
        return;
    }
    running_order &order = found->second;
    order.op = {};
    order.askAgainAt = s.at.now + kAskPause;
    const auto view = s.state.upstreams.find(what.upstream);
    if (view == s.state.upstreams.end() || !report.known) {
        s.log("load-unknown", what.upstream.value);
        rest(s, what.upstream, kAskPause, "did not report");
        s.state.conductor.orders.erase(found);
        return;
    }
    for (const auto &[model, version] : report.weights) {
        weight_version &present = view->second.entry.weights[model];
        present = std::max(present, version);
    }
    if (report.busy || presentVersion(view->second, order.model) >= order.version || !mayOrder(s)) {
        return;
    }
    s.log("weights-ordered", what.upstream.value,
          order.model.value + " version " + std::to_string(order.version.value) + " after orders "
                  + std::to_string(report.orders));
    s.emit(count{"weight_orders"});
    order.ordered = true;
    order.op = s.open(for_order{what.upstream});
    s.emit(order_weights{order.op, view->second.entry.address, what.upstream, order.model, order.version,
                         s.state.self.host, s.state.conductor.epoch, report.orders});
}

void onOrderEnded(step &s, const for_order &what, const call_ended &end)
{
    const auto found = s.state.conductor.orders.find(what.upstream);
    if (found == s.state.conductor.orders.end()) {
        return;
    }
    running_order &order = found->second;
    order.op = {};
    // Whatever came back, only the upstream's own word tells what holds.
    order.askAgainAt = s.at.now + (end.end == call_end::complete ? kLoadTime : kAskPause);
    s.log("order-answered", what.upstream.value, "status " + std::to_string(end.status));
}

} // namespace jacinthvale::node
