#include "node_pack.h"
#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <range/v3/algorithm/find.hpp>

namespace jacinthvale::node {

namespace {

/// Poll settings of one table. A small fleet polls at the base interval. Every daemon polls for itself, so a
/// large fleet would exceed the read capacity of the store; its intervals grow with the number of daemons, up
/// to the maximum of the table.
struct feed_settings
{
    table_id table;
    milliseconds baseInterval;
    /// Interval that is multiplied by the load of the store. For tables read with a long poll this is the
    /// time between changes of the table, not the pause between reads.
    milliseconds scalingInterval;
    milliseconds maxInterval;
    /// Time the store waits for a change before it answers. A connection can stall without a reset; the next
    /// read on a new connection must still finish within the 2 s bound for a new configuration.
    milliseconds longPollTimeout;
};

/// The upstreams have no long poll, because their rows change with every heartbeat of every upstream. Daemons
/// must notice a draining upstream within 2 s: a change seen 0.4 s late leaves four fifths of that bound, one
/// seen 0.9 s late leaves half. The interval of the operators does not grow: configurations and weight
/// versions are always delivered without delay. The heads may be read late, because a daemon reads a head row
/// that it has not seen yet when a request needs it.
constexpr feed_settings kFeedSettings[] = {
        {table_id::operators, milliseconds{20}, milliseconds{20}, milliseconds{20}, milliseconds{1000}},
        {table_id::upstreams, milliseconds{400}, milliseconds{400}, milliseconds{900}, milliseconds{0}},
        {table_id::daemons, milliseconds{350}, milliseconds{350}, milliseconds{3000}, milliseconds{0}},
        {table_id::heads, milliseconds{20}, milliseconds{200}, milliseconds{1000}, milliseconds{1000}},
        {table_id::leases, milliseconds{20}, milliseconds{330}, milliseconds{1000}, milliseconds{1000}},
};

/// Store reads per second of one daemon at the base intervals on a busy day: 2.5 of upstreams, 2.9 of
/// daemons, 5 of heads, 3 of leases, 1 of operators.
constexpr double kReadsPerSecondPerDaemon = 14.4;

/// Share of the store's read capacity that feeds may use; pages, items and takeovers need the rest.
constexpr double kFeedReadShare = 0.5;

/// Longest time from the heartbeat of an upstream to the change of its row: the store may apply writes late.
constexpr milliseconds kMaxHeartbeatDelay{6000};

/// Delay before a failed read is retried.
constexpr milliseconds kReadRetryDelay{100};

constexpr std::string_view kTableNames[]
        = {"operators", "upstreams", "daemons", "heads", "items", "results", "leases"};

std::string tableName(table_id table)
{
    return std::string(kTableNames[static_cast<std::size_t>(table)]);
}

void startRead(step &s, table_feed &feed)
{
    feed.readOp = s.open(feed_operation{feed.table});
    feed.readSentAt = s.ctx.now;
    if (!isFullReadPending(feed) || feed.fullReadVersion == 0) {
        feed.reading = {s.ctx.now, feed.version, s.state.storeClock.leastAt(s.ctx.now), 0, 0};
    }
    if (const auto peer = upstreamDeltaSource(s, feed)) {
        s.emit(request_upstream_delta{feed.readOp, *peer, isFullReadPending(feed) ? 0 : feed.version});
        return;
    }
    feed.failedPeerReads = 0;
    if (isFullReadPending(feed)) {
        s.emit(read_rows{feed.readOp, feed.table, feed.partitions[feed.partitionIndex], feed.from, {}});
        return;
    }
    const bool renews = feed.table == table_id::operators && !feed.staleAnswer
                        && isRenewalDue(s.state.evidence.ageAt(s.ctx.now), admissionLimitOf(s.state));
    s.emit(read_changes{feed.readOp, feed.table, feed.version, renews ? milliseconds{0} : feed.wait});
}

void updateLastRow(upstream_view &view, const upstream_entry &entry, std::uint64_t version)
{
    if (view.lastRow != entry) {
        view.lastRow = entry;
        view.lastRowDigest = stableHash(pack(entry));
        view.lastChangeVersion = version;
    }
}

/// Also for upstreams that this daemon never knew: others may know them.
void recordRemoval(step &s, const upstream_id &id, std::uint64_t rowVersion)
{
    // The version of the removal is not always known; the row was absent at the version that is read now.
    const table_feed &feed = feedOf(s.state, table_id::upstreams);
    auto &removed = s.state.removedUpstreams;
    removed.emplace_back(std::max({feed.version, feed.fullReadVersion, rowVersion}), id);
    if (removed.size() > kMaxRemovedUpstreams) {
        s.state.removalsKnownSince = std::max(s.state.removalsKnownSince, removed.front().first);
        removed.pop_front();
    }
}

void removeUpstream(step &s, const upstream_id &id, const std::string &reason, std::uint64_t rowVersion = 0)
{
    s.log("upstream-removed", id.value, reason);
    recordBuildListed(s, buildOf(s.state.upstreams.at(id).entry));
    s.state.upstreams.erase(id);
    recordRemoval(s, id, rowVersion);
}

void recordFeedAnswer(step &s, table_feed &feed)
{
    if (s.ctx.now - feed.answeredAt > maxAnswerGap(feed.pollInterval)) {
        feed.gaplessSince = s.ctx.now;
    }
    feed.answeredAt = s.ctx.now;
    feed.pollInterval = pollIntervalOf(s.state, feed.table);
}

void recordNaming(step &s, const model_id &model)
{
    const auto [found, isFirst] = s.state.versionPaces.try_emplace(model);
    version_pace &pace = found->second;
    pace.interval = isFirst ? milliseconds{0} : s.ctx.now - pace.namedAt;
    pace.namedAt = s.ctx.now;
}

std::string faultOf(const unreadable_row &row)
{
    return row.field.empty() ? "the row as a whole cannot be read"
                             : "field " + row.field + " is missing, of another type or out of range";
}

void onOperatorRow(step &s, const row_change &change)
{
    std::visit(overloaded{[&](const route_table &table) {
                              if (s.state.configKnown && table.version <= s.state.config.version) {
                                  return;
                              }
                              s.log("config-in-force", std::to_string(table.version),
                                    "routes: " + std::to_string(table.routes.size()));
                              s.state.config = table;
                              s.state.configKnown = true;
                          },
                          [&](const named_version &named) {
                              weight_version &current = s.state.namedVersions[named.model];
                              if (current < named.version) {
                                  recordNaming(s, named.model);
                                  current = named.version;
                                  s.log("version-named", named.model.value,
                                        std::to_string(named.version.value));
                              }
                          },
                          [&](const unreadable_row &unreadable) {
                              s.log("operator-row-unreadable", change.row.key.key, faultOf(unreadable));
                          },
                          [](const auto &) {}},
               change.decodedRow);
}

/// A row that changed since the last read shows a heartbeat of its upstream.
void recordHeartbeatRow(step &s, const table_feed &feed, const row &changed)
{
    const auto found = s.state.upstreams.find({changed.key.key});
    if (found == s.state.upstreams.end() || changed.version <= found->second.rowVersion) {
        return;
    }
    const bool wasRead = std::exchange(found->second.rowVersion, changed.version) != 0;
    if (wasRead && !isFullReadPending(feed)) {
        found->second.confirmedAt = feed.snapshotAt;
        recordSignOfLife(s, found->first, feed.snapshotAt - kMaxHeartbeatDelay);
    }
}

/// The operators' table was read up to its end.
void recordEvidence(step &s, table_feed &feed)
{
    if (const auto age = s.state.evidence.ageAt(s.ctx.now)) {
        s.emit(observe{"config_evidence_age_ms", static_cast<double>(age->count())});
    }
    s.state.evidence.add(feed.reading);
    feed.staleAnswer = provenAt(feed.reading) != feed.reading.sentAt;
    if (feed.staleAnswer) {
        s.log("config-evidence-stale", std::to_string(s.state.config.version),
              "the answer is older than its read: version " + std::to_string(feed.reading.version)
                      + ", known before " + std::to_string(feed.reading.knownVersion) + "; store clock "
                      + std::to_string(feed.reading.storeMs) + ", at least "
                      + std::to_string(feed.reading.leastStoreMs));
        s.emit(count{"config_evidence_stale"});
    }
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
        if (change.row.key.key == kDutyLeaseKey) {
            onDutyLeaseRow(s, change.row);
        } else if (change.row.key.key == kWeightsLeaseKey) {
            onLeaseRow(s, change.row);
        } else {
            s.log("lease-unknown", change.row.key.key, "row of another writer; ignored");
        }
        break;
    default:
        break;
    }
}

/// After a full read: removes the entries whose rows were not in the table.
void removeUnseenRows(step &s, table_feed &feed)
{
    if (feed.table == table_id::upstreams) {
        retainUpstreams(s, feed.seenKeys);
        s.state.removalsKnownSince = feed.fullReadVersion;
    }
    if (feed.table == table_id::daemons) {
        std::erase_if(s.state.members,
                      [&](const auto &entry) { return !feed.seenKeys.contains(entry.first.value); });
    }
    feed.seenKeys.clear();
}

/// Another writer may repeat its row with each of its heartbeats. @returns true for the first of them.
bool recordUnreadable(step &s, const upstream_id &id, const unreadable_row &row)
{
    const bool isFirst = s.state.unreadableUpstreams.insert(id).second;
    if (isFirst) {
        s.log("upstream-unreadable", id.value, faultOf(row) + "; upstream not used");
        s.emit(count{"upstreams_unreadable_total{field=\"" + row.field + "\"}"});
    }
    return isFirst;
}

/// A row tells the time left as of its write; of several rows the one that names the earliest time holds.
void updateLeaveTime(upstream_view &view, const upstream_entry &entry, instant now)
{
    if (!entry.draining || entry.leavesInMs == 0) {
        view.leavesAt.reset();
        return;
    }
    // The row may name any number.
    constexpr std::uint64_t kLongestMs = 24ULL * 3600 * 1000;
    const instant leavesAt
            = now + milliseconds{static_cast<std::int64_t>(std::min(entry.leavesInMs, kLongestMs))};
    view.leavesAt = std::min(leavesAt, view.leavesAt.value_or(leavesAt));
}

} // namespace

void onUpstreamRow(step &s, const row_change &change)
{
    const upstream_id id{change.row.key.key};
    const auto *entry = std::get_if<upstream_entry>(&change.decodedRow);
    bool isNewlyUnusable = change.row.removed;
    if (const auto *unreadable = std::get_if<unreadable_row>(&change.decodedRow)) {
        isNewlyUnusable = recordUnreadable(s, id, *unreadable);
    } else {
        s.state.unreadableUpstreams.erase(id);
    }
    if (entry == nullptr) {
        if (s.state.upstreams.contains(id)) {
            removeUpstream(s, id, change.row.removed ? "row removed" : "row unreadable", change.row.version);
        } else if (isNewlyUnusable) {
            recordRemoval(s, id, change.row.version);
        }
        return;
    }
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        upstream_view &view = s.state.upstreams[id];
        view.entry = *entry;
        updateLeaveTime(view, *entry, s.ctx.now);
        updateLastRow(view, *entry, change.row.version);
        recordBuildListed(s, buildOf(*entry));
        s.log("upstream-discovered", id.value, toString(entry->address) + ", " + toString(buildOf(*entry)));
        return;
    }
    upstream_view &view = found->second;
    if (view.entry.startedAtMs != entry->startedAtMs || view.entry.address != entry->address) {
        if (buildOf(view.entry) != buildOf(*entry)) {
            dropOutputOf(s, id);
        }
        const upstream_entry previous = view.entry;
        const unsigned running = view.running;
        const instant brokeAt = view.brokeAt;
        // The row names the weights that the new process kept. Versions that the weights leader reported for
        // the previous process may not apply to the new one.
        view = {};
        view.running = running;
        // The failure may be that of a yet later process.
        view.brokeAt = brokeAt;
        view.confirmedAt = feedOf(s.state, table_id::upstreams).snapshotAt;
        view.lastEarlierOp = op_id{s.state.lastOp};
        recordBuildListed(s, buildOf(previous));
        recordBuildListed(s, buildOf(*entry));
        s.log("upstream-restarted", id.value, toString(entry->address) + ", " + toString(buildOf(*entry)));
    }
    updateLastRow(view, *entry, change.row.version);
    if (!view.entry.draining && entry->draining) {
        s.log("upstream-draining", id.value);
    }
    updateLeaveTime(view, *entry, s.ctx.now);
    // The row may be older than the versions that the weights leader reported.
    const auto reported = std::move(view.entry.weights);
    view.entry = *entry;
    for (const auto &[model, version] : reported) {
        advanceWeightVersion(view.entry, model, version);
    }
}

void advanceWeightVersion(upstream_entry &entry, const model_id &model, weight_version version)
{
    weight_version &current = entry.weights[model];
    current = std::max(current, version);
}

void retainUpstreams(step &s, const std::set<std::string> &ids)
{
    std::vector<upstream_id> missing;
    for (const auto &[id, view] : s.state.upstreams) {
        if (!ids.contains(id.value)) {
            missing.push_back(id);
        }
    }
    for (const upstream_id &id : missing) {
        removeUpstream(s, id, "row absent in a full read");
    }
    std::erase_if(s.state.unreadableUpstreams,
                  [&](const upstream_id &id) { return !ids.contains(id.value); });
}

void restartFullRead(table_feed &feed)
{
    feed.partitionIndex = 0;
    feed.from.clear();
    feed.seenKeys.clear();
    feed.fullReadVersion = 0;
}

table_feed &feedOf(node_state &state, table_id table)
{
    return *ranges::find(state.feeds, table, &table_feed::table);
}

milliseconds pollIntervalOf(const node_state &state, table_id table)
{
    const feed_settings &settings = *ranges::find(kFeedSettings, table, &feed_settings::table);
    const double readsPerSecond = kReadsPerSecondPerDaemon * static_cast<double>(state.members.size());
    const double load = readsPerSecond / (kFeedReadShare * state.self.storeReadsPerSecond);
    if (load <= 1) {
        return settings.baseInterval;
    }
    const milliseconds scaled{
            static_cast<std::int64_t>(load * static_cast<double>(settings.scalingInterval.count()))};
    return std::clamp(scaled, settings.baseInterval, settings.maxInterval);
}

void startFeeds(step &s)
{
    for (const feed_settings &settings : kFeedSettings) {
        table_feed feed;
        feed.table = settings.table;
        feed.pollInterval = settings.baseInterval;
        feed.wait = settings.table == table_id::operators
                            ? operatorsPollWait(s.state.self.revocationBound, settings.longPollTimeout)
                            : settings.longPollTimeout;
        feed.partitions = tablePartitions(settings.table);
        feed.nextAt = s.ctx.now;
        s.state.feeds.push_back(std::move(feed));
    }
}

void pollFeeds(step &s)
{
    for (table_feed &feed : s.state.feeds) {
        if (feed.readOp.value == 0 && feed.nextAt <= s.ctx.now) {
            startRead(s, feed);
        }
    }
}

void onFeedRows(step &s, table_id table, const rows_received &answer)
{
    table_feed &feed = feedOf(s.state, table);
    feed.readOp = {};
    recordFeedAnswer(s, feed);
    if (table == table_id::heads) {
        s.state.headsChanged = !answer.rows.empty();
    }
    const bool fullRead = isFullReadPending(feed);
    if (!fullRead || feed.fullReadVersion == 0) {
        feed.reading.version = answer.version;
        feed.reading.storeMs = answer.storeNowMs;
    }
    if (!fullRead) {
        feed.version = std::max(feed.version, answer.version);
    }
    for (const row_change &change : answer.rows) {
        applyRow(s, table, change);
        if (table == table_id::upstreams) {
            recordHeartbeatRow(s, feed, change.row);
        }
        if (fullRead) {
            feed.seenKeys.insert(change.row.key.key);
        }
    }
    if (!fullRead || feed.fullReadVersion == 0) {
        feed.snapshotAt = feed.readSentAt;
    }
    if (!fullRead) {
        feed.nextAt = s.ctx.now + (answer.truncated ? milliseconds{0} : feed.pollInterval);
        if (table == table_id::operators && !answer.truncated) {
            recordEvidence(s, feed);
        }
        return;
    }
    if (feed.fullReadVersion == 0) {
        feed.fullReadVersion = answer.version;
    }
    if (answer.truncated && !answer.rows.empty()) {
        feed.from = answer.rows.back().row.key.key + '\1';
    } else {
        feed.from.clear();
        ++feed.partitionIndex;
    }
    if (isFullReadPending(feed)) {
        startRead(s, feed);
        return;
    }
    removeUnseenRows(s, feed);
    recordFeedRead(s, feed, feed.fullReadVersion);
    if (table == table_id::operators) {
        recordEvidence(s, feed);
    }
}

bool isFullReadPending(const table_feed &feed)
{
    return feed.partitionIndex < feed.partitions.size();
}

void recordFeedRead(step &s, table_feed &feed, std::uint64_t version)
{
    // Repeated after a full read: its rows may have changed the size of the fleet and with it the poll
    // interval.
    recordFeedAnswer(s, feed);
    feed.version = std::max(feed.version, version);
    feed.nextAt = s.ctx.now + feed.pollInterval;
    if (!feed.synced) {
        feed.synced = true;
        s.log("table-read", tableName(feed.table), "version " + std::to_string(feed.version));
    }
}

void onFeedHistoryExpired(step &s, table_id table)
{
    table_feed &feed = feedOf(s.state, table);
    s.log("history-gone", tableName(table),
          "history after version " + std::to_string(feed.version) + " not kept; starting a full read");
    feed.readOp = {};
    restartFullRead(feed);
    feed.nextAt = s.ctx.now;
}

void onFeedFailed(step &s, table_id table, const store_failed &failed)
{
    table_feed &feed = feedOf(s.state, table);
    s.log("table-not-read", tableName(table), failed.reason);
    feed.readOp = {};
    feed.nextAt = s.ctx.now + kReadRetryDelay;
}

} // namespace jacinthvale::node
