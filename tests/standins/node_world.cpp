#include "node_world.h"

#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::test {

using namespace node;

namespace {

constexpr milliseconds kStoreTime{6};
constexpr milliseconds kRetryTime{60};
constexpr milliseconds kPeerTime{2};

const service_id kEngines{"engines"};
const service_id kPlain{"plain"};

route_table makeConfig()
{
    route_table table;
    table.version = 1;
    route batches;
    batches.name = "batches";
    batches.host = "h.example";
    batches.pathPrefix = "/batch/";
    batches.kind = route_kind::batch;
    batches.services = {{kEngines, 1}};
    batches.timeout = milliseconds{10'000};
    batches.objective = milliseconds{400};
    batches.maxAttempts = 3;
    batches.due = milliseconds{7500};
    batches.retention = milliseconds{60'000};
    route plain = batches;
    plain.name = "plain";
    plain.pathPrefix = "/plain/";
    plain.kind = route_kind::repeatable;
    plain.services = {{kPlain, 1}};
    plain.timeout = milliseconds{2000};
    plain.objective = milliseconds{150};
    plain.maxAttempts = 2;
    route once = plain;
    once.name = "once";
    once.pathPrefix = "/once/";
    once.kind = route_kind::once;
    table.routes = {batches, plain, once};
    table.engines[kEngines] = {{{"m0"}, {"m1"}}, 30'000, 61};
    return table;
}

} // namespace

node_world::node_world(std::uint64_t seed, std::size_t daemons, std::size_t upstreams, double storeReads)
    : m_random(seed)
    , m_storeReads(storeReads)
{
    putConfig(makeConfig());
    nameVersion("m0", 1);
    nameVersion("m1", 1);
    for (std::size_t i = 0; i < upstreams + 2; ++i) {
        world_upstream next;
        const bool engine = i < upstreams;
        next.entry.id = {(engine ? "e" : "p") + std::to_string(i)};
        next.entry.service = engine ? kEngines : kPlain;
        next.entry.address = {"10.0.0." + std::to_string(i + 1), 80};
        next.entry.slots = engine ? 8 : 6;
        next.entry.startedAtMs = 1;
        if (engine) {
            next.entry.weights = {{{"m0"}, {1}}, {{"m1"}, {1}}};
        }
        m_upstreams.push_back(next);
    }
    beatUpstreams();
    m_daemons.resize(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
        start(i);
    }
}

milliseconds node_world::draw(int from, int to)
{
    return milliseconds{std::uniform_int_distribution<>(from, to)(m_random)};
}

void node_world::at(instant when, std::function<void()> what)
{
    m_schedule.emplace(std::make_pair(when, ++m_sequence), std::move(what));
}

void node_world::run(milliseconds time)
{
    runUntil([] { return false; }, time);
}

bool node_world::runUntil(const std::function<bool()> &condition, milliseconds atMost)
{
    const instant end = m_now + atMost;
    while (!condition()) {
        if (m_schedule.empty() || m_schedule.begin()->first.first > end) {
            m_now = end;
            return condition();
        }
        auto next = m_schedule.extract(m_schedule.begin());
        m_now = std::max(m_now, next.key().first);
        next.mapped()();
    }
    return true;
}

void node_world::start(std::size_t daemon)
{
    process &self = m_daemons.at(daemon);
    node_identity identity;
    identity.host = {"host" + std::to_string(daemon)};
    identity.peer = {"10.1.0." + std::to_string(daemon + 1), 90};
    identity.leaseTime = kWorldLease;
    identity.stopGrace = milliseconds{8000};
    identity.storeReadsPerSecond = m_storeReads;
    identity.sharedReadMinFleetSize = kWorldSharedReading;
    self.state = std::make_unique<node_state>(makeNodeState(identity));
    self.up = true;
    const std::uint64_t life = ++self.life;
    tell(daemon, life, started{{m_random()}});
    const auto ticking = std::make_shared<std::function<void()>>();
    *ticking = [this, daemon, life, weak = std::weak_ptr(ticking)] {
        const process &ticked = m_daemons.at(daemon);
        if (!ticked.up || ticked.life != life) {
            return;
        }
        tell(daemon, life, node::tick{});
        at(m_now + node::kTickPeriod, *weak.lock());
    };
    // The first tick keeps the function alive; each later one is a copy of it.
    at(m_now + node::kTickPeriod, [ticking] { (*ticking)(); });
    m_keptTicks.push_back(ticking);
}

void node_world::kill(std::size_t daemon)
{
    process &self = m_daemons.at(daemon);
    self.up = false;
    ++self.life;
    std::erase_if(m_runs, [&](const auto &entry) {
        if (entry.first.first != daemon) {
            return false;
        }
        if (world_upstream *at = find(entry.second.what.upstream)) {
            --at->running;
        }
        return true;
    });
}

void node_world::stop(std::size_t daemon)
{
    tell(daemon, m_daemons.at(daemon).life, stop_requested{});
}

void node_world::freeze(std::size_t daemon, milliseconds time)
{
    m_daemons.at(daemon).frozenUntil = m_now + time;
}

void node_world::tell(std::size_t daemon, std::uint64_t life, node::event what)
{
    process &self = m_daemons.at(daemon);
    if (!self.up || self.life != life) {
        return;
    }
    if (self.frozenUntil > m_now) {
        if (!std::holds_alternative<node::tick>(what)) {
            at(self.frozenUntil, [this, daemon, life, what = std::move(what)] { tell(daemon, life, what); });
        }
        return;
    }
    const context now{m_now, {}, m_random()};
    for (node::effect &next : reduce(*self.state, what, now)) {
        perform(daemon, next);
    }
}

void node_world::later(std::size_t daemon, milliseconds after, node::event what)
{
    const std::uint64_t life = m_daemons.at(daemon).life;
    at(m_now + after, [this, daemon, life, what = std::move(what)] { tell(daemon, life, what); });
}

void node_world::perform(std::size_t daemon, node::effect &what)
{
    const auto answered = [&](const auto &answer) { m_answers[answer.exchange] = answer; };
    std::visit(
            overloaded{[&](const read_rows &e) { readRows(daemon, e); },
                       [&](const request_upstream_delta &e) { askNews(daemon, e); },
                       [&](const answer_upstream_delta &e) {
                           if (const auto asked = m_news.extract(e.exchange); !asked.empty()) {
                               later(asked.mapped().first, kPeerTime,
                                     upstream_delta_received{asked.mapped().second, e.delta});
                           }
                       },
                       [&](const read_changes &e) {
                           ++m_reads;
                           readChanges(daemon, e, m_now);
                       },
                       [&](const commit_rows &e) { commit(daemon, e, m_now + e.deadline, false); },
                       [&](const run_item &e) { startRun(daemon, e); },
                       [&](const forward_call &e) { forward(daemon, e); },
                       [&](const cancel_call &e) {
                           const auto found = m_runs.find({daemon, e.op});
                           if (found != m_runs.end()) {
                               if (world_upstream *at = find(found->second.what.upstream)) {
                                   --at->running;
                               }
                               m_runs.erase(found);
                           }
                       },
                       [&](const request_upstream_status &e) { report(daemon, e); },
                       [&](const order_weights &e) { order(daemon, e); },
                       [&](const answer_call &e) { answered(e); }, [&](const refuse_call &e) { answered(e); },
                       [&](const accept_batch &e) { answered(e); },
                       [&](const answer_page &e) { answered(e); }, [&](const answer_item &e) { answered(e); },
                       [&](const answer_batch_ended &e) { answered(e); },
                       [&](const end_process &) { kill(daemon); },
                       [&](const log_decision &e) { m_claims += e.eventName == "batch-claim" ? 1 : 0; },
                       [](const auto &) {}},
            what);
}

row_change node_world::change(const row_key &key) const
{
    row_change result;
    result.row.key = key;
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        result.row.removed = true;
        return result;
    }
    result.row.version = found->second.version;
    result.row.value = found->second.value;
    const auto decodedRow = m_foreign.find(key);
    if (decodedRow != m_foreign.end()) {
        result.decodedRow = decodedRow->second;
    }
    return result;
}

void node_world::askNews(std::size_t daemon, const request_upstream_delta &what)
{
    const auto asked = std::ranges::find_if(
            m_daemons, [&](const process &each) { return each.up && each.state->self.peer == what.peer; });
    if (asked == m_daemons.end() || asked->frozenUntil > m_now) {
        later(daemon, kRetryTime, upstream_delta_received{what.op, {}});
        return;
    }
    const exchange_id exchange{++m_lastExchange};
    m_news[exchange] = {daemon, what.op};
    later(static_cast<std::size_t>(asked - m_daemons.begin()), kPeerTime,
          upstream_delta_requested{exchange, what.after});
}

void node_world::readRows(std::size_t daemon, const read_rows &what)
{
    ++m_reads;
    const std::uint64_t life = m_daemons.at(daemon).life;
    at(m_now + kStoreTime, [this, daemon, life, what] {
        if (!storeAnswers(daemon)) {
            at(m_now + kRetryTime * 10, [=, this] {
                tell(daemon, life, store_failed{what.op, false, "away"});
            });
            return;
        }
        rows_received arrived{
                what.op, {}, m_version, static_cast<std::uint64_t>(m_now.time_since_epoch().count()), false};
        for (const auto &[key, stored] : m_rows) {
            if (key.table == what.table && key.partition == what.partition && key.key >= what.from
                && (what.to.empty() || key.key < what.to)) {
                arrived.rows.push_back(change(key));
            }
        }
        tell(daemon, life, std::move(arrived));
    });
}

void node_world::readChanges(std::size_t daemon, const read_changes &what, instant asked)
{
    const std::uint64_t life = m_daemons.at(daemon).life;
    at(m_now + kStoreTime, [this, daemon, life, what, asked] {
        if (!storeAnswers(daemon)) {
            at(m_now + kRetryTime * 10, [=, this] {
                tell(daemon, life, store_failed{what.op, false, "away"});
            });
            return;
        }
        if (what.after < m_historyFrom) {
            tell(daemon, life, history_expired{what.op});
            return;
        }
        std::set<row_key> changed;
        for (auto next
             = std::ranges::upper_bound(m_changes, what.after, {}, &std::pair<std::uint64_t, row_key>::first);
             next != m_changes.end(); ++next) {
            if (next->second.table == what.table) {
                changed.insert(next->second);
            }
        }
        if (changed.empty() && m_now < asked + what.wait && m_daemons.at(daemon).life == life) {
            readChanges(daemon, what, asked);
            return;
        }
        rows_received arrived{
                what.op, {}, m_version, static_cast<std::uint64_t>(m_now.time_since_epoch().count()), false};
        for (const row_key &key : changed) {
            arrived.rows.push_back(change(key));
        }
        tell(daemon, life, std::move(arrived));
    });
}

bool node_world::holds(const commit_rows &what) const
{
    return std::ranges::all_of(what.conditions, [&](const row_condition &condition) {
        const auto found = m_rows.find({condition.table, what.partition, condition.key});
        return (found == m_rows.end() ? 0 : found->second.version) == condition.version;
    });
}

void node_world::put(const row_key &key, const std::string &value)
{
    m_rows[key] = {value, m_version};
    m_changes.emplace_back(m_version, key);
}

bool node_world::apply(const commit_rows &what)
{
    if (!holds(what)) {
        return false;
    }
    checkResults(what);
    ++m_version;
    for (const row_put &each : what.puts) {
        put({each.table, what.partition, each.key}, each.value);
    }
    return true;
}

void node_world::commit(std::size_t daemon, const commit_rows &what, instant until, bool lostBefore)
{
    const std::uint64_t life = m_daemons.at(daemon).life;
    at(m_now + kStoreTime, [this, daemon, life, what, until, lostBefore] {
        const auto again = [&](bool lost) {
            // A process that is gone does not send its transaction again.
            if (m_now + kRetryTime >= until) {
                tell(daemon, life, store_failed{what.op, lost, "no answer"});
            } else if (m_daemons.at(daemon).life == life) {
                at(m_now + kRetryTime, [=, this] { commit(daemon, what, until, lost); });
            }
        };
        const bool away = std::ranges::any_of(
                what.puts, [&](const row_put &each) { return m_turnedAway.contains(each.table); });
        if (!storeAnswers(daemon) || away) {
            again(lostBefore);
            return;
        }
        if (chance(m_lateShare)) {
            at(m_now + draw(1000, 4000), [this, what] { apply(what); });
            again(true);
            return;
        }
        const bool done = apply(what);
        if (done && chance(m_lostShare)) {
            again(true);
            return;
        }
        if (done) {
            tell(daemon, life,
                 rows_committed{what.op, m_version,
                                static_cast<std::uint64_t>(m_now.time_since_epoch().count())});
            return;
        }
        rows_conflict conflict{what.op, {}, lostBefore};
        for (const row_condition &condition : what.conditions) {
            conflict.rows.push_back(change({condition.table, what.partition, condition.key}).row);
        }
        tell(daemon, life, std::move(conflict));
    });
}

void node_world::turnWritesAway(table_id table, bool away)
{
    if (away) {
        m_turnedAway.insert(table);
    } else {
        m_turnedAway.erase(table);
    }
}

void node_world::checkResults(const commit_rows &what)
{
    for (const row_put &each : what.puts) {
        if (each.table != table_id::results) {
            continue;
        }
        if (m_rows.contains({each.table, what.partition, each.key})) {
            fault("a listed result is written again: " + each.key);
        }
        const auto result = decodeResult(each.value);
        if (!result) {
            fault("a result cannot be read: " + each.key);
            continue;
        }
        const std::string batch = each.key.substr(0, each.key.find('/'));
        for (const item_result &before : listed({batch})) {
            if (before.id == result->id) {
                fault("item " + result->id.value + " stands at two positions");
            }
        }
        if (result->state != item_state::succeeded) {
            continue;
        }
        std::string whole;
        for (unsigned i = 1; i <= m_pieces[result->id.value]; ++i) {
            whole += (i > 1 ? "\n" : "") + worldPiece(result->id, i);
        }
        if (whole != result->text) {
            fault("text of " + result->id.value + " is not whole: " + result->text);
        }
        if (std::ranges::any_of(result->versions,
                                [&](std::uint64_t version) { return version < m_minVersions[batch]; })) {
            fault("item " + result->id.value + " has too old a version");
        }
    }
}

std::vector<item_result> node_world::listed(const batch_id &id) const
{
    result_reader reader;
    for (const auto &[key, stored] : m_rows) {
        if (key.table == table_id::results && key.key.starts_with(id.value + "/")) {
            reader.add({key, stored.version, stored.value, false});
        }
    }
    return reader.finish();
}

void node_world::nameVersion(const std::string &model, std::uint64_t version)
{
    const row_key key{table_id::operators, "", "version/" + model};
    ++m_version;
    m_foreign[key] = named_version{{model}, {version}};
    put(key, "named");
}

void node_world::putConfig(const route_table &table)
{
    const row_key key{table_id::operators, "", "config"};
    ++m_version;
    m_foreign[key] = table;
    put(key, "config");
}

batch node_world::makeBatch(const std::string &id, const std::string &model, std::uint64_t minVersion,
                            const std::vector<unsigned> &pieces)
{
    constexpr std::size_t kGroup = 4;
    batch what;
    what.id = {id};
    what.host = "h.example";
    what.path = "/batch/" + id;
    what.model = {model};
    what.minVersion = {minVersion};
    what.groupsWanted = static_cast<unsigned>((pieces.size() + kGroup - 1) / kGroup);
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        batch_item item;
        item.id = {id + "-" + std::to_string(i)};
        item.group = "g" + std::to_string(i / kGroup);
        item.path = "/batch/" + item.id.value;
        item.headers = {{"model", model}};
        item.body = std::to_string(pieces[i]);
        item.expectedOutput = pieces[i] * 61;
        item.tokens = 12'000;
        what.items.push_back(std::move(item));
    }
    return what;
}

exchange_id node_world::handIn(std::size_t daemon, const batch &what)
{
    for (const batch_item &item : what.items) {
        m_pieces[item.id.value] = static_cast<unsigned>(std::stoul(item.body));
    }
    m_minVersions[what.id.value] = what.minVersion.value;
    const exchange_id exchange{++m_lastExchange};
    tell(daemon, m_daemons.at(daemon).life, batch_received{exchange, what});
    return exchange;
}

exchange_id node_world::askPage(std::size_t daemon, const batch_id &id, std::size_t after, milliseconds wait)
{
    const exchange_id exchange{++m_lastExchange};
    tell(daemon, m_daemons.at(daemon).life, page_requested{exchange, id, after, wait});
    return exchange;
}

exchange_id node_world::askItem(std::size_t daemon, const batch_id &id, const item_id &item)
{
    const exchange_id exchange{++m_lastExchange};
    tell(daemon, m_daemons.at(daemon).life, item_requested{exchange, id, item});
    return exchange;
}

exchange_id node_world::end(std::size_t daemon, const batch_id &id)
{
    const exchange_id exchange{++m_lastExchange};
    tell(daemon, m_daemons.at(daemon).life, batch_end_requested{exchange, id});
    return exchange;
}

exchange_id node_world::call(std::size_t daemon, const std::string &id, const std::string &path)
{
    const exchange_id exchange{++m_lastExchange};
    client_call call{exchange, {id}, "POST", "h.example", path, {}, "", milliseconds{2000}};
    tell(daemon, m_daemons.at(daemon).life, call_received{call});
    return exchange;
}

void node_world::leave(std::size_t daemon, exchange_id exchange)
{
    tell(daemon, m_daemons.at(daemon).life, caller_disconnected{exchange});
}

std::size_t node_world::ownerIndex(const batch_id &id) const
{
    const auto found = std::ranges::find_if(
            m_daemons, [&](const process &each) { return each.up && each.state->owned.contains(id); });
    return found == m_daemons.end() ? 0 : static_cast<std::size_t>(found - m_daemons.begin());
}

const node_state &node_world::owner(const batch_id &id) const
{
    return *m_daemons.at(ownerIndex(id)).state;
}

std::string node_world::faultText() const
{
    std::string text;
    for (const std::string &each : m_faults) {
        text += each + "\n";
    }
    return text;
}

} // namespace jacinthvale::test
