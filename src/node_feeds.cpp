#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <range/v3/algorithm/find.hpp>

namespace jacinthvale::node {

namespace {

/// Pause between two reads of the upstreams' changes. Their rows change with each beat of each upstream; the
/// bound for a leaving upstream is 2 s, so a change seen 0.4 s late leaves four fifths of it.
constexpr milliseconds kUpstreamsPace{400};

/// Pause between two reads of the daemons' rows.
constexpr milliseconds kDaemonsPace{350};

/// Longest wait for a change. A connection may go silent without a reset: the next question on a new one must
/// still come within the bound for a new configuration (2 s).
constexpr milliseconds kChangeWait{1000};

/// Smallest pause between two reads of rows that seldom change.
constexpr milliseconds kRarePace{20};

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
    feed.part = 0;
    feed.from.clear();
    feed.seen.clear();
    feed.wholeReadVersion = 0;
}

bool readingWhole(const table_feed &feed)
{
    return feed.part < feed.parts.size();
}

void ask(step &s, table_feed &feed)
{
    feed.running = s.open(for_feed{feed.table});
    if (readingWhole(feed)) {
        s.emit(read_rows{feed.running, feed.table, feed.parts[feed.part], feed.from, {}});
        return;
    }
    s.emit(read_changes{feed.running, feed.table, feed.version, feed.wait});
}

void onUpstreamRow(step &s, const row_change &change)
{
    const upstream_id id{change.what.key.key};
    const auto *entry = std::get_if<upstream_entry>(&change.foreign);
    if (entry == nullptr) {
        if (!change.what.removed) {
            s.log("upstream-unreadable", id.value, "row of another writer; not used");
        }
        if (s.state.upstreams.contains(id)) {
            s.log("upstream-gone", id.value, change.what.removed ? "row removed" : "row unreadable");
            s.state.upstreams.erase(id);
        }
        return;
    }
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        s.state.upstreams[id].entry = *entry;
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
    if (!view.entry.draining && entry->draining) {
        s.log("upstream-draining", id.value);
    }
    // The row may be older than what the conductor told; a process never goes back to older weights.
    const auto known = std::move(view.entry.weights);
    view.entry = *entry;
    for (const auto &[model, version] : known) {
        weight_version &present = view.entry.weights[model];
        present = std::max(present, version);
    }
}

void onOperatorRow(step &s, const row_change &change)
{
    std::visit(visitor{[&](const route_table &table) {
                           if (s.state.configKnown && table.version <= s.state.config.version) {
                               return;
                           }
                           s.log("config-in-force", std::to_string(table.version),
                                 "routes " + std::to_string(table.routes.size()));
                           s.state.config = table;
                           s.state.configKnown = true;
                       },
                       [&](const named_version &named) {
                           weight_version &present = s.state.named[named.model];
                           if (present < named.version) {
                               present = named.version;
                               s.log("version-named", named.model.value, std::to_string(named.version.value));
                           }
                       },
                       [&](const auto &) {
                           if (!change.what.removed) {
                               s.log("operator-row-unreadable", change.what.key.key);
                           }
                       }},
               change.foreign);
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
        onMemberRow(s, change.what);
        break;
    case table_id::heads:
        onHeadRow(s, change.what);
        break;
    case table_id::leases:
        onLeaseRow(s, change.what);
        break;
    default:
        break;
    }
}

/// After a whole read: what was known and did not come is gone.
void dropUnseen(step &s, table_feed &feed)
{
    const auto seen = [&](const std::string &key) { return feed.seen.contains({feed.table, "", key}); };
    if (feed.table == table_id::upstreams) {
        std::erase_if(s.state.upstreams, [&](const auto &known) {
            if (seen(known.first.value)) {
                return false;
            }
            s.log("upstream-gone", known.first.value, "not in the whole table");
            return true;
        });
    }
    if (feed.table == table_id::daemons) {
        std::erase_if(s.state.members, [&](const auto &known) { return !seen(known.first.value); });
    }
    feed.seen.clear();
}

} // namespace

table_feed &feedOf(node_state &state, table_id table)
{
    return *ranges::find(state.feeds, table, &table_feed::table);
}

void startFeeds(step &s)
{
    const auto add
            = [&](table_id table, milliseconds pace, milliseconds wait, std::vector<std::string> parts) {
                  table_feed feed;
                  feed.table = table;
                  feed.pace = pace;
                  feed.wait = wait;
                  feed.parts = std::move(parts);
                  feed.nextAt = s.at.now;
                  s.state.feeds.push_back(std::move(feed));
              };
    add(table_id::operators, kRarePace, kChangeWait, {""});
    add(table_id::upstreams, kUpstreamsPace, milliseconds{0}, {""});
    add(table_id::daemons, kDaemonsPace, milliseconds{0}, {""});
    add(table_id::heads, kRarePace, kChangeWait, batchParts());
    add(table_id::leases, kRarePace, kChangeWait, {""});
}

void followFeeds(step &s)
{
    for (table_feed &feed : s.state.feeds) {
        if (feed.running.value == 0 && feed.nextAt <= s.at.now) {
            ask(s, feed);
        }
    }
}

void onFeedRows(step &s, table_id table, const rows_arrived &what)
{
    table_feed &feed = feedOf(s.state, table);
    feed.running = {};
    if (s.at.now - feed.answeredAt > kSteadyGap) {
        feed.steadySince = s.at.now;
    }
    feed.answeredAt = s.at.now;
    if (table == table_id::heads) {
        s.state.headsChanged = !what.rows.empty();
    }
    const bool whole = readingWhole(feed);
    for (const row_change &change : what.rows) {
        applyRow(s, table, change);
        if (whole) {
            feed.seen.insert({table, "", change.what.key.key});
        }
    }
    if (!whole) {
        feed.version = std::max(feed.version, what.version);
        feed.nextAt = s.at.now + (what.more ? milliseconds{0} : feed.pace);
        return;
    }
    if (feed.wholeReadVersion == 0) {
        feed.wholeReadVersion = what.version;
    }
    if (what.more && !what.rows.empty()) {
        feed.from = what.rows.back().what.key.key + '\1';
    } else {
        feed.from.clear();
        ++feed.part;
    }
    if (readingWhole(feed)) {
        ask(s, feed);
        return;
    }
    dropUnseen(s, feed);
    feed.version = feed.wholeReadVersion;
    feed.nextAt = s.at.now + feed.pace;
    if (!feed.synced) {
        feed.synced = true;
        s.log("table-read", nameOf(table), "version " + std::to_string(feed.version));
    }
}

void onFeedGone(step &s, table_id table)
{
    table_feed &feed = feedOf(s.state, table);
    s.log("history-gone", nameOf(table),
          "after version " + std::to_string(feed.version) + "; reading it anew");
    feed.running = {};
    readAnew(feed);
    feed.nextAt = s.at.now;
}

void onFeedFailed(step &s, table_id table, const store_failed &what)
{
    table_feed &feed = feedOf(s.state, table);
    s.log("table-not-read", nameOf(table), what.reason);
    feed.running = {};
    feed.nextAt = s.at.now + kRetryPause;
}

} // namespace jacinthvale::node
