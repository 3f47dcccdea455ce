#include "node_placement.h"
#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// The lease holds for this long after the start of a renewal, and is renewed this often.
constexpr milliseconds kLeaseHeld{1400};
constexpr milliseconds kRenewPeriod{500};
constexpr milliseconds kRenewDeadline{1200};

/// A successor takes a lease that was not renewed for the time it holds and this long: its row is read at
/// intervals, and clocks of two hosts run at slightly different speeds.
constexpr milliseconds kSuccessorMargin{400};

/// Margin on the time for which a successor leaves upstreams alone that the holder before may have ordered.
constexpr milliseconds kAloneMargin{200};

/// Loads at one time, as a share of a service's upstreams and at least: the source of weights serves about a
/// fifth of a fleet at full speed (2 of 11, 9 of 45, 10 of 48), and more of them slow each other down.
constexpr std::size_t kUpstreamsPerLoad = 5;
constexpr std::size_t kLeastLoads = 2;

/// Loads are told for this long: by then the list of upstreams shows them.
constexpr milliseconds kLoadsTold{5000};

/// An order is taken for lost when its upstream does not show the version by then: twice a slow load.
constexpr milliseconds kOrderPatience{6000};

/// Pause between two questions to an upstream that is busy or loads.
constexpr milliseconds kAskPause{200};

/// Time from the answer to an order to the first look at its effect: a load takes 0.9 s.
constexpr milliseconds kLoadTime{930};

/// Time in ms for which an upstream is left alone after a row of another holder named it.
std::uint64_t aloneTime(const node_state &state)
{
    return static_cast<std::uint64_t>((kLeaseHeld + state.self.leaseTime + kAloneMargin).count());
}

/// What the next row of the lease names: upstreams to order now, and those named within the time that counts.
std::map<upstream_id, std::uint64_t> planOf(const step &s)
{
    const weights_conductor &lease = s.state.conductor;
    const std::uint64_t now = storeTime(s.state, s.at.now);
    const std::uint64_t counts = aloneTime(s.state);
    std::map<upstream_id, std::uint64_t> plan;
    for (const auto &[id, named] : lease.planned) {
        if (named + counts > now) {
            plan.emplace(id, named);
        }
    }
    for (const auto &[id, until] : lease.leftAlone) {
        if (until > now) {
            // A third holder leaves them alone as well.
            plan.emplace(id, until - counts);
        }
    }
    for (const auto &[id, order] : lease.orders) {
        plan[id] = now;
    }
    return plan;
}

void writeLease(step &s, bool release)
{
    weights_conductor &lease = s.state.conductor;
    lease_row row{s.state.self.host, s.state.incarnation, lease.epoch, release, {}, {}};
    if (!lease.held) {
        ++row.epoch.value;
    }
    lease.plan = planOf(s);
    for (const auto &[id, named] : lease.plan) {
        row.planned.emplace(id.value, named);
    }
    const std::uint64_t now = storeTime(s.state, s.at.now);
    std::erase_if(lease.loaded, [&](const loaded_weights &each) {
        return each.seenAtMs + static_cast<std::uint64_t>(kLoadsTold.count()) < now;
    });
    row.loaded = lease.loaded;
    lease.renewSentAt = s.at.now;
    lease.op = s.open(for_lease{});
    s.emit(commit_rows{lease.op,
                       "",
                       {{table_id::leases, kWeightsLeaseKey, lease.rowVersion}},
                       {{table_id::leases, kWeightsLeaseKey, encodeLease(row)}},
                       kRenewDeadline});
}

/// Ends the questions and orders that run; what they asked for may still be done.
void dropOrders(step &s)
{
    for (const auto &[id, order] : s.state.conductor.orders) {
        if (order.op.value != 0) {
            s.emit(cancel_call{order.op});
            s.state.ops.erase(order.op);
        }
    }
    s.state.conductor.orders.clear();
}

void loseLease(step &s, const std::string &why)
{
    weights_conductor &lease = s.state.conductor;
    if (lease.held) {
        s.log("lease-lost", kWeightsLeaseKey, why);
    }
    lease.held = false;
    dropOrders(s);
    lease.leftAlone.clear();
}

bool mayOrder(const step &s)
{
    return s.state.conductor.held && s.at.now < s.state.conductor.heldUntil && !s.state.stopping;
}

/// True where the last row of the lease names the upstream, so that a successor knows of the order.
bool isPlanned(const step &s, const upstream_id &id, const running_order &order)
{
    const auto found = s.state.conductor.planned.find(id);
    return found != s.state.conductor.planned.end() && found->second >= order.wantedAtStore;
}

void askUpstream(step &s, const upstream_id &id, running_order &order)
{
    order.op = s.open(for_order{id});
    s.emit(ask_load{order.op, s.state.upstreams.at(id).entry.address, id});
}

/// An upstream that is behind, and what makes it urgent.
struct load_wish
{
    /// Share of the model's upstreams that can serve its present step.
    double usable = 0;
    /// The upstream itself can serve the present step.
    bool serves = false;
    upstream_id upstream;
    model_id model;
    weight_version version;
};

void addWishes(const step &s, const std::map<upstream_id, model_id> &deal, std::vector<load_wish> &wishes)
{
    std::map<model_id, std::pair<double, double>> usable;
    const auto servesStep = [&](const upstream_id &id, const model_id &model) {
        const auto named = s.state.named.find(model);
        // A step allows the version before the named one.
        return named == s.state.named.end()
               || versionOf(s.state.upstreams.at(id), model).value + 1 >= named->second.value;
    };
    for (const auto &[id, model] : deal) {
        usable[model].first += servesStep(id, model) ? 1 : 0;
        usable[model].second += 1;
    }
    const std::uint64_t now = storeTime(s.state, s.at.now);
    for (const auto &[id, model] : deal) {
        const upstream_view &view = s.state.upstreams.at(id);
        const auto named = s.state.named.find(model);
        const auto alone = s.state.conductor.leftAlone.find(id);
        const bool free = alone == s.state.conductor.leftAlone.end() || alone->second <= now;
        if (free && named != s.state.named.end() && versionOf(view, model) < named->second
            && view.restUntil <= s.at.now && !s.state.conductor.orders.contains(id)) {
            wishes.push_back({usable[model].first / usable[model].second, servesStep(id, model), id, model,
                              named->second});
        }
    }
}

/// Starts loads: upstreams that cannot serve the present step first, of the model that has fewest that can.
void startLoads(step &s)
{
    std::vector<load_wish> wishes;
    std::size_t mostLoads = 0;
    for (const auto &[service, limits] : s.state.config.engines) {
        const auto deal = dealOf(s.state, service);
        mostLoads += std::max(kLeastLoads, deal.size() / kUpstreamsPerLoad);
        addWishes(s, deal, wishes);
    }
    std::ranges::sort(wishes, [](const load_wish &left, const load_wish &right) {
        return std::tie(left.serves, left.usable, left.upstream)
               < std::tie(right.serves, right.usable, right.upstream);
    });
    for (const load_wish &next : wishes) {
        if (s.state.conductor.orders.size() >= mostLoads) {
            break;
        }
        running_order &order = s.state.conductor.orders[next.upstream];
        order.model = next.model;
        order.version = next.version;
        order.since = s.at.now;
        order.wantedAtStore = storeTime(s.state, s.at.now);
    }
}

/// @returns true where nothing is to be waited for any more.
bool isOver(step &s, const upstream_id &id, const running_order &order)
{
    const auto view = s.state.upstreams.find(id);
    if (view == s.state.upstreams.end()) {
        return true;
    }
    if (versionOf(view->second, order.model) >= order.version) {
        s.state.conductor.loaded.push_back({id, order.model, order.version, storeTime(s.state, s.at.now)});
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
        if (order.op.value == 0 && order.askAgainAt <= s.at.now && isPlanned(s, id, order)) {
            askUpstream(s, id, order);
        }
    }
}

/// True where the lease may be taken: nobody holds it, or its holder can order nothing more.
bool isFree(const step &s)
{
    const weights_conductor &lease = s.state.conductor;
    if (!lease.rowKnown || lease.released || s.at.now - lease.changedAt >= kLeaseHeld + kSuccessorMargin) {
        return true;
    }
    // The holder's process is gone where its host shows another incarnation.
    if (lease.holder == s.state.self.host) {
        return lease.holderIncarnation != s.state.incarnation;
    }
    const auto found = s.state.members.find(lease.holder);
    return found != s.state.members.end() && found->second.incarnation != lease.holderIncarnation
           && found->second.rowVersion > lease.rowVersion;
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
    if (s.state.stopping) {
        if (lease.held && lease.op.value == 0) {
            dropOrders(s);
            writeLease(s, true);
        }
        return;
    }
    bool renewNow = false;
    if (mayOrder(s)) {
        watchOrders(s);
        startLoads(s);
        renewNow = std::ranges::any_of(
                lease.orders, [&](const auto &each) { return !isPlanned(s, each.first, each.second); });
    }
    if (lease.op.value != 0) {
        return;
    }
    if (lease.held ? renewNow || lease.nextAt <= s.at.now
                   : lease.nextAt <= s.at.now && !s.state.named.empty() && isFree(s)) {
        writeLease(s, false);
    }
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
    lease.holderIncarnation = row->incarnation;
    lease.epoch = row->epoch;
    lease.released = row->released;
    lease.planned.clear();
    for (const auto &[id, named] : row->planned) {
        lease.planned.emplace(upstream_id{id}, named);
    }
    for (const loaded_weights &each : row->loaded) {
        const auto found = s.state.upstreams.find(each.upstream);
        if (found != s.state.upstreams.end()) {
            advanceWeightVersion(found->second.entry, each.model, each.version);
        }
    }
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
    if (s.state.stopping) {
        if (lease.held) {
            s.log("lease-released", kWeightsLeaseKey);
        }
        lease.held = false;
        return;
    }
    if (!lease.held) {
        lease.held = true;
        ++lease.epoch.value;
        lease.holder = s.state.self.host;
        lease.holderIncarnation = s.state.incarnation;
        lease.released = false;
        for (const auto &[id, named] : lease.planned) {
            lease.leftAlone[id] = named + aloneTime(s.state);
        }
        s.log("lease-taken", kWeightsLeaseKey,
              "fencing number " + std::to_string(lease.epoch.value) + ", upstreams left alone "
                      + std::to_string(lease.leftAlone.size()));
    }
    lease.planned = lease.plan;
    conduct(s);
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
        advanceWeightVersion(view->second.entry, model, version);
    }
    if (report.busy || versionOf(view->second, order.model) >= order.version || !mayOrder(s)) {
        return;
    }
    s.log("weights-ordered", what.upstream.value,
          order.model.value + " version " + std::to_string(order.version.value) + " after orders "
                  + std::to_string(report.orders));
    s.emit(count{"weight_orders"});
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
