#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <range/v3/algorithm/find.hpp>

namespace jacinthvale::node {

namespace {

/// How a table is followed. A small fleet reads at the usual pace. Each daemon reads for itself, so a large
/// one would use up what the store serves: there the paces grow with the fleet, up to the longest of the
/// table.
struct feed_plan
{
    table_id table;
    milliseconds usual;
    /// Pace that grows with the crowd; for tables with a wait that of their changes, not the pause between
    /// reads.
    milliseconds crowded;
    milliseconds longest;
    /// Wait of the store for a change. A connection may go silent without a reset: the next question on a new
    /// one must still come within the bound for a new configuration (2 s).
    milliseconds wait;
};

/// Rows of upstreams change with each beat of each; the bound for a leaving one is 2 s, so a change that is
/// seen 0.4 s late leaves four fifths of it, one seen 0.9 s late half. Configurations and versions are always
/// told at once. What daemons miss of the heads they read when they are asked.
constexpr feed_plan kFeedPlans[] = {
        {table_id::operators, milliseconds{20}, milliseconds{20}, milliseconds{20}, milliseconds{1000}},
        {table_id::upstreams, milliseconds{400}, milliseconds{400}, milliseconds{900}, milliseconds{0}},
        {table_id::daemons, milliseconds{350}, milliseconds{350}, milliseconds{3000}, milliseconds{0}},
        {table_id::heads, milliseconds{20}, milliseconds{200}, milliseconds{1000}, milliseconds{1000}},
        {table_id::leases, milliseconds{20}, milliseconds{330}, milliseconds{1000}, milliseconds{1000}},
};

/// Reads a second of one daemon at the usual paces, by the log of a busy day: 2.5 of upstreams, 2.9 of
/// daemons, 5 of heads, 3 of leases, 1 of the operators.
constexpr double kReadsPerDaemon = 14.4;

/// Share of the store's reads that feeds may use; pages, items and take-overs need the rest.
constexpr double kFeedShare = 0.5;

/// Pause after a failed read.
constexpr milliseconds kRetryPause{100};

constexpr std::string_view kTableNames[]
        = {"operators", "upstreams", "daemons", "heads", "items", "results", "leases"};

std::string nameOf(table_id table)
{
    return std::string(kTableNames[static_cast<std::size_t>(table)]);
}

void readAnew(table_feed &feed)
{
    feed.partitionIndex = 0;
    feed.from.clear();
    feed.seenKeys.clear();
    feed.fullReadVersion = 0;
}

void ask(step &s, table_feed &feed)
{
    feed.readOp = s.open(feed_operation{feed.table});
    if (const auto peer = newsSource(s, feed)) {
        s.emit(request_upstream_delta{feed.readOp, *peer, readingWhole(feed) ? 0 : feed.version});
        return;
    }
    feed.failedPeerReads = 0;
    if (readingWhole(feed)) {
        s.emit(read_rows{feed.readOp, feed.table, feed.partitions[feed.partitionIndex], feed.from, {}});
        return;
    }
    s.emit(read_changes{feed.readOp, feed.table, feed.version, feed.wait});
}

void noteListed(upstream_view &view, const upstream_entry &entry, std::uint64_t version)
{
    if (view.lastRow != entry) {
        view.lastRow = entry;
        view.lastChangeVersion = version;
    }
}

void forgetUpstream(step &s, const upstream_id &id, const std::string &why)
{
    s.log("upstream-gone", id.value, why);
    s.state.upstreams.erase(id);
    auto &gone = s.state.removedUpstreams;
    // A removed row need not tell when it went: by the version that is read now it was gone.
    const table_feed &feed = feedOf(s.state, table_id::upstreams);
    gone.emplace_back(std::max(feed.version, feed.fullReadVersion), id);
    if (gone.size() > kMaxRemovedUpstreams) {
        gone.pop_front();
    }
}

void noteAnswer(step &s, table_feed &feed)
{
    if (s.ctx.now - feed.answeredAt > maxAnswerGap(feed.pollInterval)) {
        feed.gaplessSince = s.ctx.now;
    }
    feed.answeredAt = s.ctx.now;
    feed.pollInterval = readPace(s.state, feed.table);
}

void onOperatorRow(step &s, const row_change &change)
{
    std::visit(overloaded{[&](const route_table &table) {
                              if (s.state.configKnown && table.version <= s.state.config.version) {
                                  return;
                              }
                              s.log("config-in-force", std::to_string(table.version),
                                    "routes " + std::to_string(table.routes.size()));
                              s.state.config = table;
                              s.state.configKnown = true;
                          },
                          [&](const named_version &named) {
                              weight_version &present = s.state.namedVersions[named.model];
                              if (present < named.version) {
                                  present = named.version;
                                  s.log("version-named", named.model.value,
                                        std::to_string(named.version.value));
                              }
                          },
                          [&](const auto &) {
                              if (!change.row.removed) {
                                  s.log("operator-row-unreadable", change.row.key.key);
                              }
                          }},
               change.decodedRow);
}

void applyRow(step &s, table_id table, const row_change &change)
{
    switch (table) {
    case table_id::operators:
        onOperatorRow(s, change);
        break;
    case table_id::upstreams:
        onUpstreamRow(s, change);
        break;
    case table_id::daemons:
        onMemberRow(s, change.row);
        break;
    case table_id::heads:
        onHeadRow(s, change.row);
        break;
    case table_id::leases:
        onLeaseRow(s, change.row);
        break;
    default:
        break;
    }
}

/// After a whole read: what was known and did not come is gone.
void dropUnseen(step &s, table_feed &feed)
{
    if (feed.table == table_id::upstreams) {
        keepUpstreams(s, feed.seenKeys);
    }
    if (feed.table == table_id::daemons) {
        std::erase_if(s.state.members,
                      [&](const auto &known) { return !feed.seenKeys.contains(known.first.value); });
    }
    feed.seenKeys.clear();
}

} // namespace

void onUpstreamRow(step &s, const row_change &change)
{
    const upstream_id id{change.row.key.key};
    const auto *entry = std::get_if<upstream_entry>(&change.decodedRow);
    if (entry == nullptr) {
        if (!change.row.removed) {
            s.log("upstream-unreadable", id.value, "row of another writer; not used");
        }
        if (s.state.upstreams.contains(id)) {
            forgetUpstream(s, id, change.row.removed ? "row removed" : "row unreadable");
        }
        return;
    }
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        upstream_view &view = s.state.upstreams[id];
        view.entry = *entry;
        noteListed(view, *entry, change.row.version);
        s.log("upstream-seen", id.value, toString(entry->address));
        return;
    }
    upstream_view &view = found->second;
    if (view.entry.startedAtMs != entry->startedAtMs || view.entry.address != entry->address) {
        const unsigned running = view.running;
        // The process that starts anew keeps its weights, but what was told of the one before may be wrong.
        view = {};
        view.running = running;
        s.log("upstream-restarted", id.value, toString(entry->address));
    }
    noteListed(view, *entry, change.row.version);
    if (!view.entry.draining && entry->draining) {
        s.log("upstream-draining", id.value);
    }
    // The row may be older than what the conductor told.
    const auto known = std::move(view.entry.weights);
    view.entry = *entry;
    for (const auto &[model, version] : known) {
        raiseWeights(view.entry, model, version);
    }
}

void raiseWeights(upstream_entry &entry, const model_id &model, weight_version version)
{
    weight_version &present = entry.weights[model];
    present = std::max(present, version);
}

void keepUpstreams(step &s, const std::set<std::string> &ids)
{
    std::vector<upstream_id> missing;
    for (const auto &[id, view] : s.state.upstreams) {
        if (!ids.contains(id.value)) {
            missing.push_back(id);
        }
    }
    for (const upstream_id &id : missing) {
        forgetUpstream(s, id, "not in the whole table");
    }
}

table_feed &feedOf(node_state &state, table_id table)
{
    return *ranges::find(state.feeds, table, &table_feed::table);
}

milliseconds readPace(const node_state &state, table_id table)
{
    const feed_plan &plan = *ranges::find(kFeedPlans, table, &feed_plan::table);
    const double wanted = kReadsPerDaemon * static_cast<double>(state.members.size());
    const double crowding = wanted / (kFeedShare * state.self.storeReadsPerSecond);
    if (crowding <= 1) {
        return plan.usual;
    }
    const milliseconds shared{
            static_cast<std::int64_t>(crowding * static_cast<double>(plan.crowded.count()))};
    return std::clamp(shared, plan.usual, plan.longest);
}

void startFeeds(step &s)
{
    for (const feed_plan &plan : kFeedPlans) {
        table_feed feed;
        feed.table = plan.table;
        feed.pollInterval = plan.usual;
        feed.wait = plan.wait;
        feed.partitions = partsOf(plan.table);
        feed.nextAt = s.ctx.now;
        s.state.feeds.push_back(std::move(feed));
    }
}

void followFeeds(step &s)
{
    for (table_feed &feed : s.state.feeds) {
        if (feed.readOp.value == 0 && feed.nextAt <= s.ctx.now) {
            ask(s, feed);
        }
    }
}

void onFeedRows(step &s, table_id table, const rows_received &what)
{
    table_feed &feed = feedOf(s.state, table);
    feed.readOp = {};
    noteAnswer(s, feed);
    if (table == table_id::heads) {
        s.state.headsChanged = !what.rows.empty();
    }
    const bool whole = readingWhole(feed);
    if (!whole) {
        feed.version = std::max(feed.version, what.version);
    }
    for (const row_change &change : what.rows) {
        applyRow(s, table, change);
        if (whole) {
            feed.seenKeys.insert(change.row.key.key);
        }
    }
    if (!whole) {
        feed.nextAt = s.ctx.now + (what.truncated ? milliseconds{0} : feed.pollInterval);
        return;
    }
    if (feed.fullReadVersion == 0) {
        feed.fullReadVersion = what.version;
    }
    if (what.truncated && !what.rows.empty()) {
        feed.from = what.rows.back().row.key.key + '\1';
    } else {
        feed.from.clear();
        ++feed.partitionIndex;
    }
    if (readingWhole(feed)) {
        ask(s, feed);
        return;
    }
    dropUnseen(s, feed);
    noteRead(s, feed, feed.fullReadVersion);
}

bool readingWhole(const table_feed &feed)
{
    return feed.partitionIndex < feed.partitions.size();
}

void noteRead(step &s, table_feed &feed, std::uint64_t version)
{
    // Once more after a whole read: the size of the fleet, and with it the pace, may have come with its rows.
    noteAnswer(s, feed);
    feed.version = std::max(feed.version, version);
    feed.nextAt = s.ctx.now + feed.pollInterval;
    if (!feed.synced) {
        feed.synced = true;
        s.log("table-read", nameOf(feed.table), "version " + std::to_string(feed.version));
    }
}

void onFeedGone(step &s, table_id table)
{
    table_feed &feed = feedOf(s.state, table);
    s.log("history-gone", nameOf(table),
          "after version " + std::to_string(feed.version) + "; reading it anew");
    feed.readOp = {};
    readAnew(feed);
    feed.nextAt = s.ctx.now;
}

void onFeedFailed(step &s, table_id table, const store_failed &what)
{
    table_feed &feed = feedOf(s.state, table);
    s.log("table-not-read", nameOf(table), what.reason);
    feed.readOp = {};
    feed.nextAt = s.ctx.now + kRetryPause;
}

} // namespace jacinthvale::node
