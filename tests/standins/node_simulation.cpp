#include "node_simulation.h"

#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <sstream>

namespace jacinthvale::test {

using namespace node;

namespace {

constexpr milliseconds kStoreLatency{6};
constexpr milliseconds kRetryDelay{60};
constexpr milliseconds kPeerLatency{2};

// Limits of the table, as the platform's page gives them. Sizes are those of values in base64.
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxTransferBytes = 1'000'000;
constexpr std::size_t kMaxValueBytes = 65'536;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxRowsRead = 500;

std::size_t transferredBytes(const std::string &value)
{
    return (value.size() + 2) / 3 * 4;
}

/// True if the table takes a transaction of this size.
bool isWithinLimits(const commit_rows &transaction)
{
    const std::size_t entries
            = transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
    std::size_t bytes = 0;
    const bool rowsFit = std::ranges::all_of(transaction.puts, [&](const row_put &written) {
        bytes += written.key.size() + transferredBytes(written.value);
        return written.value.size() <= kMaxValueBytes && written.key.size() <= kMaxKeyBytes;
    });
    return rowsFit && entries <= kMaxEntries && bytes <= kMaxTransferBytes;
}

std::vector<run_chunk> eventsOf(const std::string &bytes)
{
    std::vector<run_chunk> events;
    std::istringstream lines(bytes);
    for (std::string line; std::getline(lines, line);) {
        events.push_back({std::stoull(line.substr(0, line.find('@'))), {}, 1, line + "\n"});
    }
    return events;
}

const service_id kEngines{"engines"};
const service_id kPlain{"plain"};

route_table makeRouteTable()
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
    route streams = plain;
    streams.name = "streams";
    streams.pathPrefix = "/stream/";
    streams.kind = route_kind::stream;
    streams.services = {{kEngines, 1}};
    streams.timeout = milliseconds{30'000};
    streams.objective = milliseconds{400};
    streams.maxAttempts = 6;
    streams.resumable = true;
    route fragile = streams;
    fragile.name = "fragile";
    fragile.pathPrefix = "/fragile/";
    fragile.resumable = false;
    route once = plain;
    once.name = "once";
    once.pathPrefix = "/once/";
    once.kind = route_kind::once;
    table.routes = {batches, plain, once, streams, fragile};
    table.engines[kEngines] = {{{"m0"}, {"m1"}}, 30'000, 61};
    return table;
}

} // namespace

node_simulation::node_simulation(std::uint64_t seed, std::size_t daemons, std::size_t upstreams,
                                 double storeReads, std::optional<milliseconds> revocationBound,
                                 std::optional<duty_settings> duties)
    : m_random(seed)
    , m_storeReads(storeReads)
    , m_revocationBound(revocationBound)
    , m_dutySettings(duties)
{
    putConfig(makeRouteTable());
    setNamedVersion("m0", 1);
    setNamedVersion("m1", 1);
    for (std::size_t i = 0; i < upstreams + 2; ++i) {
        simulated_upstream upstream;
        const bool engine = i < upstreams;
        upstream.entry.id = {(engine ? "e" : "p") + std::to_string(i)};
        upstream.entry.service = engine ? kEngines : kPlain;
        upstream.entry.address = {"10.0.0." + std::to_string(i + 1), 80};
        upstream.entry.slots = engine ? 8 : 6;
        upstream.entry.startedAtMs = 1;
        if (engine) {
            upstream.entry.weights = {{{"m0"}, {1}}, {{"m1"}, {1}}};
        }
        m_upstreams.push_back(upstream);
    }
    writeUpstreamHeartbeats();
    m_daemons.resize(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
        start(i);
    }
}

milliseconds node_simulation::draw(int from, int to)
{
    return milliseconds{std::uniform_int_distribution<>(from, to)(m_random)};
}

void node_simulation::schedule(instant when, std::function<void()> action)
{
    m_schedule.emplace(std::make_pair(when, ++m_sequence), std::move(action));
}

void node_simulation::run(milliseconds time)
{
    runUntil([] { return false; }, time);
}

bool node_simulation::runUntil(const std::function<bool()> &condition, milliseconds atMost)
{
    const instant end = m_now + atMost;
    while (!condition()) {
        if (m_schedule.empty() || m_schedule.begin()->first.first > end) {
            m_now = end;
            return condition();
        }
        auto scheduled = m_schedule.extract(m_schedule.begin());
        m_now = std::max(m_now, scheduled.key().first);
        scheduled.mapped()();
    }
    return true;
}

void node_simulation::start(std::size_t daemon)
{
    simulated_process &self = m_daemons.at(daemon);
    node_identity identity;
    identity.host = {"host" + std::to_string(daemon)};
    identity.peer = {"10.1.0." + std::to_string(daemon + 1), 90};
    identity.leaseTime = kSimulationLeaseTime;
    identity.stopGrace = milliseconds{8000};
    identity.storeReadsPerSecond = m_storeReads;
    identity.sharedReadMinFleetSize = kSimulationSharedReadingThreshold;
    identity.revocationBound = m_revocationBound;
    identity.duties = m_dutySettings;
    self.state = std::make_unique<node_state>(makeNodeState(identity));
    self.up = true;
    const std::uint64_t generation = ++self.generation;
    deliver(daemon, generation, started{{m_random()}});
    const auto ticking = std::make_shared<std::function<void()>>();
    *ticking = [this, daemon, generation, weak = std::weak_ptr(ticking)] {
        const simulated_process &current = m_daemons.at(daemon);
        if (!current.up || current.generation != generation) {
            return;
        }
        deliver(daemon, generation, node::tick{});
        schedule(m_now + node::kTickPeriod, *weak.lock());
    };
    // m_ticks keeps the function alive; each tick schedules a copy of it as the next tick.
    schedule(m_now + node::kTickPeriod, [ticking] { (*ticking)(); });
    m_ticks.push_back(ticking);
}

void node_simulation::kill(std::size_t daemon)
{
    simulated_process &self = m_daemons.at(daemon);
    self.up = false;
    ++self.generation;
    std::erase_if(m_runs, [&](const auto &entry) {
        if (entry.first.first != daemon) {
            return false;
        }
        if (simulated_upstream *target = findUpstream(entry.second.request.upstream)) {
            --target->running;
        }
        return true;
    });
    std::erase_if(m_streamRuns, [&](const auto &entry) { return entry.first.first == daemon; });
    for (const auto &[exchange, target] : m_relayTargets) {
        const auto relayed = m_relayedCalls.find(exchange);
        if (target == daemon && relayed != m_relayedCalls.end()) {
            const auto [origin, op] = relayed->second;
            m_relayedCalls.erase(relayed);
            deliverAfter(origin, kPeerLatency, relayed_call_ended{op, call_end::incomplete, std::nullopt});
        }
    }
    std::erase_if(m_deltaRequests, [&](const auto &entry) {
        if (entry.second.target == daemon) {
            answerUpstreamDelta(entry.second, {});
        }
        return entry.second.target == daemon;
    });
    std::erase_if(m_calls, [&](const auto &entry) {
        if (entry.first.first != daemon) {
            return false;
        }
        --findUpstream(entry.second)->calls;
        return true;
    });
}

void node_simulation::stop(std::size_t daemon)
{
    deliver(daemon, m_daemons.at(daemon).generation, stop_requested{});
}

void node_simulation::freeze(std::size_t daemon, milliseconds time)
{
    m_daemons.at(daemon).frozenUntil = m_now + time;
}

void node_simulation::deliver(std::size_t daemon, std::uint64_t generation, node::event incoming)
{
    simulated_process &self = m_daemons.at(daemon);
    if (!self.up || self.generation != generation) {
        return;
    }
    if (self.frozenUntil > m_now) {
        if (!std::holds_alternative<node::tick>(incoming)) {
            schedule(self.frozenUntil, [this, daemon, generation, incoming = std::move(incoming)] {
                deliver(daemon, generation, incoming);
            });
        }
        return;
    }
    const context now{m_now, wallTimeOf(daemon), m_random()};
    for (node::effect &requested : reduce(*self.state, incoming, now)) {
        perform(daemon, requested);
    }
}

void node_simulation::deliverAfter(std::size_t daemon, milliseconds after, node::event incoming)
{
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + after, [this, daemon, generation, incoming = std::move(incoming)] {
        deliver(daemon, generation, incoming);
    });
}

void node_simulation::perform(std::size_t daemon, node::effect &requested)
{
    const auto storeAnswer = [&](const auto &answer) { m_answers[answer.exchange] = answer; };
    std::visit(
            overloaded{
                    [&](const read_rows &e) { readRows(daemon, e); },
                    [&](const request_upstream_delta &e) { requestUpstreamDelta(daemon, e); },
                    [&](const answer_upstream_delta &e) {
                        if (const auto extracted = m_deltaRequests.extract(e.exchange); !extracted.empty()) {
                            answerUpstreamDelta(extracted.mapped(), e.delta);
                        }
                    },
                    [&](const read_changes &e) {
                        ++m_readCount;
                        readChanges(daemon, e, m_now);
                    },
                    [&](const commit_rows &e) { commit(daemon, e, m_now + e.deadline, false); },
                    [&](const run_item &e) { startRun(daemon, e); },
                    [&](const forward_call &e) { forwardCall(daemon, e); },
                    [&](const forward_stream &e) { forwardStream(daemon, e); },
                    [&](const relay_call &e) { relayCall(daemon, e); },
                    [&](const begin_stream &e) {
                        if (const auto relayed = m_relayedCalls.find(e.exchange);
                            relayed != m_relayedCalls.end()) {
                            deliverAfter(relayed->second.first, kPeerLatency,
                                         stream_started{relayed->second.second, e.headers});
                            return;
                        }
                        m_streams[e.exchange].begun = true;
                    },
                    [&](const send_stream &e) {
                        if (const auto relayed = m_relayedCalls.find(e.exchange);
                            relayed != m_relayedCalls.end()) {
                            deliverAfter(relayed->second.first, kPeerLatency,
                                         stream_progressed{relayed->second.second, eventsOf(e.bytes)});
                            return;
                        }
                        receiveEvents(e);
                    },
                    [&](const end_stream &e) {
                        if (const auto relayed = m_relayedCalls.extract(e.exchange); !relayed.empty()) {
                            deliverAfter(
                                    relayed.mapped().first, kPeerLatency,
                                    relayed_call_ended{relayed.mapped().second,
                                                       e.complete ? call_end::complete : call_end::incomplete,
                                                       std::nullopt});
                            return;
                        }
                        m_streams[e.exchange].ended = true;
                        m_streams[e.exchange].complete = e.complete;
                    },
                    [&](const share_stream_origin &e) {
                        deliverToPeer(daemon, e.op, e.peer, [&](exchange_id exchange) {
                            return stream_origin_shared{exchange, e.stream, e.build};
                        });
                    },
                    [&](const find_stream_origin &e) {
                        deliverToPeer(daemon, e.op, e.peer, [&](exchange_id exchange) {
                            return stream_origin_requested{exchange, e.stream, e.service};
                        });
                    },
                    [&](const answer_stream_origin &e) {
                        if (const auto asked = m_originRequests.extract(e.exchange); !asked.empty()) {
                            deliverAfter(asked.mapped().first, kPeerLatency,
                                         stream_origin_received{asked.mapped().second, e.origin});
                        }
                    },
                    [&](const cancel_call &e) {
                        if (m_streamRuns.erase({daemon, e.op}) > 0) {
                            return;
                        }
                        std::erase_if(m_relayedCalls, [&](const auto &relayed) {
                            return relayed.second == std::pair(daemon, e.op);
                        });
                        const auto found = m_runs.find({daemon, e.op});
                        if (found != m_runs.end()) {
                            if (simulated_upstream *target = findUpstream(found->second.request.upstream)) {
                                --target->running;
                            }
                            m_runs.erase(found);
                        }
                        cancelForwardedCall(daemon, e.op);
                    },
                    [&](const request_upstream_status &e) { reportStatus(daemon, e); },
                    [&](const order_weights &e) { orderWeights(daemon, e); },
                    [&](const call_duty &e) { callDuty(daemon, e); },
                    [&](const answer_call &e) {
                        if (!returnRelayed(e.exchange, {true, e.status, e.headers, e.body})) {
                            storeAnswer(e);
                        }
                    },
                    [&](const refuse_call &e) {
                        const bool withoutPath = m_daemons.at(daemon).state->path.lost;
                        if (!returnRelayed(e.exchange, {false, 0, {}, {}, e.reason, withoutPath})) {
                            storeAnswer(e);
                        }
                    },
                    [&](const accept_batch &e) { storeAnswer(e); },
                    [&](const answer_page &e) { storeAnswer(e); },
                    [&](const answer_item &e) { storeAnswer(e); },
                    [&](const answer_batch_ended &e) {
                        if (const auto ended = m_endRequests.find(e.exchange); ended != m_endRequests.end()) {
                            m_batchEndedAt.try_emplace(ended->second, m_now);
                        }
                        storeAnswer(e);
                    },
                    [&](const end_process &) { kill(daemon); },
                    [&](const log_decision &e) { m_claimCount += e.eventName == "batch-claim" ? 1 : 0; },
                    [](const auto &) {}},
            requested);
}

row_change node_simulation::changeOf(const row_key &key) const
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

void node_simulation::relayCall(std::size_t daemon, const relay_call &request)
{
    const auto target = std::ranges::find_if(m_daemons, [&](const simulated_process &candidate) {
        return candidate.up && candidate.state->self.peer == request.peer;
    });
    if (target == m_daemons.end()) {
        deliverAfter(daemon, kPeerLatency,
                     relayed_call_ended{request.op, call_end::unreachable, std::nullopt});
        return;
    }
    client_call call = request.call;
    call.exchange = exchange_id{++m_lastExchange};
    call.remainingTimeout = request.remainingTimeout;
    m_relayedCalls[call.exchange] = {daemon, request.op};
    m_relayTargets[call.exchange] = static_cast<std::size_t>(target - m_daemons.begin());
    deliverAfter(static_cast<std::size_t>(target - m_daemons.begin()), kPeerLatency,
                 relayed_call_received{call, request.attempts, request.tried});
}

bool node_simulation::returnRelayed(exchange_id exchange, const relayed_answer &answer)
{
    const auto relayed = m_relayedCalls.extract(exchange);
    if (!relayed.empty()) {
        deliverAfter(relayed.mapped().first, kPeerLatency,
                     relayed_call_ended{relayed.mapped().second, call_end::complete, answer});
    }
    return !relayed.empty();
}

bool node_simulation::deliverToPeer(std::size_t daemon, op_id op, const endpoint &peer,
                                    const std::function<node::event(exchange_id)> &makeEvent)
{
    const auto target = std::ranges::find_if(m_daemons, [&](const simulated_process &candidate) {
        return candidate.up && candidate.state->self.peer == peer;
    });
    if (target == m_daemons.end() || target->frozenUntil > m_now) {
        deliverAfter(daemon, kRetryDelay, stream_origin_received{op, std::nullopt});
        return false;
    }
    const exchange_id exchange{++m_lastExchange};
    m_originRequests[exchange] = {daemon, op};
    deliverAfter(static_cast<std::size_t>(target - m_daemons.begin()), kPeerLatency, makeEvent(exchange));
    return true;
}

void node_simulation::requestUpstreamDelta(std::size_t daemon, const request_upstream_delta &request)
{
    const auto peer = std::ranges::find_if(m_daemons, [&](const simulated_process &candidate) {
        return candidate.up && candidate.state->self.peer == request.peer;
    });
    if (peer == m_daemons.end() || peer->frozenUntil > m_now) {
        deliverAfter(daemon, kRetryDelay, upstream_delta_received{request.op, {}});
        return;
    }
    const exchange_id exchange{++m_lastExchange};
    const auto target = static_cast<std::size_t>(peer - m_daemons.begin());
    m_deltaRequests[exchange] = {daemon, m_daemons.at(daemon).generation, request.op, target};
    deliverAfter(target, kPeerLatency, upstream_delta_requested{exchange, request.after});
}

void node_simulation::answerUpstreamDelta(const delta_request &request, const upstream_delta &delta)
{
    schedule(m_now + kPeerLatency, [this, request, delta] {
        deliver(request.daemon, request.generation, upstream_delta_received{request.op, delta});
    });
}

void node_simulation::readRows(std::size_t daemon, const read_rows &request)
{
    ++m_readCount;
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + kStoreLatency, [this, daemon, generation, request] {
        if (!storeAnswers(daemon)) {
            schedule(m_now + kRetryDelay * 10, [=, this] {
                deliver(daemon, generation, store_failed{request.op, false, "store unreachable"});
            });
            return;
        }
        rows_received arrived{request.op,
                              {},
                              m_version,
                              static_cast<std::uint64_t>(m_now.time_since_epoch().count()),
                              false};
        std::size_t bytes = 0;
        for (const auto &[key, stored] : m_rows) {
            if (key.table != request.table || key.partition != request.partition || key.key < request.from
                || (!request.to.empty() && key.key >= request.to)) {
                continue;
            }
            bytes += transferredBytes(stored.value);
            arrived.truncated = arrived.rows.size() == kMaxRowsRead || bytes > kMaxTransferBytes;
            if (arrived.truncated) {
                break;
            }
            arrived.rows.push_back(changeOf(key));
        }
        deliver(daemon, generation, std::move(arrived));
    });
}

void node_simulation::readChanges(std::size_t daemon, const read_changes &request, instant requestedAt)
{
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + kStoreLatency, [this, daemon, generation, request, requestedAt] {
        if (!storeAnswers(daemon)) {
            schedule(m_now + kRetryDelay * 10, [=, this] {
                deliver(daemon, generation, store_failed{request.op, false, "store unreachable"});
            });
            return;
        }
        if (request.after < m_historyFrom) {
            deliver(daemon, generation, history_expired{request.op});
            return;
        }
        std::set<row_key> changed;
        for (auto entry = std::ranges::upper_bound(m_changes, request.after, {},
                                                   &std::pair<std::uint64_t, row_key>::first);
             entry != m_changes.end(); ++entry) {
            if (entry->second.table == request.table) {
                changed.insert(entry->second);
            }
        }
        if (const auto &since = m_daemons.at(daemon).staleSince) {
            deliver(daemon, generation,
                    rows_received{request.op,
                                  {},
                                  request.after,
                                  static_cast<std::uint64_t>(since->time_since_epoch().count()),
                                  false});
            return;
        }
        if (changed.empty() && m_now < requestedAt + request.wait
            && m_daemons.at(daemon).generation == generation) {
            readChanges(daemon, request, requestedAt);
            return;
        }
        rows_received arrived{request.op,
                              {},
                              m_version,
                              static_cast<std::uint64_t>(m_now.time_since_epoch().count()),
                              false};
        for (const row_key &key : changed) {
            arrived.rows.push_back(changeOf(key));
        }
        deliver(daemon, generation, std::move(arrived));
    });
}

bool node_simulation::conditionsHold(const commit_rows &transaction) const
{
    return std::ranges::all_of(transaction.conditions, [&](const row_condition &condition) {
        const auto found = m_rows.find({condition.table, transaction.partition, condition.key});
        return (found == m_rows.end() ? 0 : found->second.version) == condition.version;
    });
}

void node_simulation::addDamagedRows(table_id table, std::size_t number)
{
    std::vector<std::pair<row_key, std::string>> rows;
    for (const auto &[key, stored] : m_rows) {
        if (key.table == table) {
            rows.emplace_back(key, stored.value);
        }
    }
    for (std::size_t i = 0; i < number && !rows.empty(); ++i) {
        auto [key, value] = rows.at(m_random() % rows.size());
        // What follows the id of a host tells the kind of a row.
        key.key.insert(0, "x" + std::to_string(i));
        const std::size_t damages = 1 + m_random() % 3;
        for (std::size_t damage = 0; damage < damages && !value.empty(); ++damage) {
            value.at(m_random() % value.size()) = static_cast<char>(m_random());
        }
        if (m_random() % 4 == 0) {
            value.resize(m_random() % (value.size() + 1));
        }
        ++m_version;
        put(key, value);
    }
}

void node_simulation::put(const row_key &key, const std::string &value)
{
    m_rows[key] = {value, m_version};
    m_changes.emplace_back(m_version, key);
}

bool node_simulation::apply(const commit_rows &transaction)
{
    if (!conditionsHold(transaction)) {
        return false;
    }
    checkResults(transaction);
    ++m_version;
    for (const row_put &written : transaction.puts) {
        put({written.table, transaction.partition, written.key}, written.value);
    }
    for (const row_removal &removed : transaction.removals) {
        const row_key key{removed.table, transaction.partition, removed.key};
        m_rows.erase(key);
        m_changes.emplace_back(m_version, key);
    }
    return true;
}

void node_simulation::commit(std::size_t daemon, const commit_rows &transaction, instant deadline,
                             bool answerLost)
{
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + kStoreLatency, [this, daemon, generation, transaction, deadline, answerLost] {
        const auto retry = [&](bool lost) {
            // A killed process does not send its transaction again.
            const instant again = m_now + (lost ? m_answerTimeout : kRetryDelay);
            if (again >= deadline) {
                schedule(std::max(m_now, deadline), [=, this] {
                    deliver(daemon, generation, store_failed{transaction.op, lost, "no answer"});
                });
            } else if (m_daemons.at(daemon).generation == generation) {
                schedule(again, [=, this] { commit(daemon, transaction, deadline, lost); });
            }
        };
        if (!isWithinLimits(transaction)) {
            deliver(daemon, generation, store_failed{transaction.op, false, "status 400", true});
            return;
        }
        const bool rejected = std::ranges::any_of(transaction.puts, [&](const row_put &written) {
            return m_rejectedTables.contains(written.table);
        });
        if (!storeAnswers(daemon) || rejected) {
            retry(answerLost);
            return;
        }
        if (chance(m_lateWriteShare)) {
            schedule(m_now + draw(1000, 4000), [this, transaction] { apply(transaction); });
            retry(true);
            return;
        }
        const bool applied = apply(transaction);
        if (applied && chance(m_lostAnswerShare)) {
            retry(true);
            return;
        }
        if (applied) {
            deliver(daemon, generation,
                    rows_committed{transaction.op, m_version,
                                   static_cast<std::uint64_t>(m_now.time_since_epoch().count())});
            return;
        }
        rows_conflict conflict{transaction.op, {}, answerLost};
        for (const row_condition &condition : transaction.conditions) {
            conflict.rows.push_back(changeOf({condition.table, transaction.partition, condition.key}).row);
        }
        deliver(daemon, generation, std::move(conflict));
    });
}

void node_simulation::setWritesRejected(table_id table, bool rejected)
{
    if (rejected) {
        m_rejectedTables.insert(table);
    } else {
        m_rejectedTables.erase(table);
    }
}

void node_simulation::checkResults(const commit_rows &transaction)
{
    for (const row_put &written : transaction.puts) {
        if (written.table != table_id::results) {
            continue;
        }
        const std::string batch = written.key.substr(0, written.key.find('/'));
        const result_fragment fragment = *resultFragment(written.key);
        if (m_rows.contains(
                    {written.table, transaction.partition, resultKey({batch}, fragment.position, 0)})) {
            addViolation("committed result is written again: " + written.key);
        }
        if (fragment.number > 0) {
            continue;
        }
        const auto result = resultWrittenAt(transaction, {batch}, fragment.position);
        if (!result) {
            addViolation("result cannot be decoded: " + written.key);
            continue;
        }
        for (const item_result &before : committedResults({batch})) {
            if (before.id == result->id) {
                addViolation("item " + result->id.value + " is committed at two positions");
            }
        }
        if (result->state != item_state::succeeded) {
            continue;
        }
        checkScore(*result);
        checkText(*result);
        if (std::ranges::any_of(result->versions,
                                [&](std::uint64_t version) { return version < m_minVersions[batch]; })) {
            addViolation("item " + result->id.value
                         + " was generated by a version older than the batch allows");
        }
    }
}

std::optional<item_result> node_simulation::resultWrittenAt(const commit_rows &transaction,
                                                            const batch_id &id, std::size_t position) const
{
    const row_key end{table_id::results, transaction.partition, resultKey(id, position + 1, 0)};
    std::map<std::string, std::string> rows;
    for (auto stored = m_rows.lower_bound({end.table, end.partition, resultKey(id, position, 0)});
         stored != m_rows.end() && stored->first < end; ++stored) {
        rows[stored->first.key] = stored->second.value;
    }
    for (const row_put &written : transaction.puts) {
        const auto fragment = resultFragment(written.key);
        if (written.table == table_id::results && fragment && fragment->position == position) {
            rows[written.key] = written.value;
        }
    }
    result_assembler assembler;
    for (const auto &[key, value] : rows) {
        assembler.add({{table_id::results, {}, key}, 0, value, false});
    }
    const std::vector<item_result> results = assembler.takeComplete();
    return results.empty() ? std::nullopt : std::optional(results.front());
}

std::vector<item_result> node_simulation::committedResults(const batch_id &id) const
{
    result_assembler assembler;
    for (const auto &[key, stored] : m_rows) {
        if (key.table == table_id::results && key.key.starts_with(id.value + "/")) {
            assembler.add({key, stored.version, stored.value, false});
        }
    }
    return assembler.takeComplete();
}

void node_simulation::setNamedVersion(const std::string &model, std::uint64_t version)
{
    const row_key key{table_id::operators, "", "version/" + model};
    ++m_version;
    m_foreign[key] = named_version{{model}, {version}};
    put(key, "named");
}

void node_simulation::putConfig(const route_table &table)
{
    const row_key key{table_id::operators, "", "config"};
    ++m_version;
    m_foreign[key] = table;
    put(key, "config");
}

batch node_simulation::makeBatch(const std::string &id, const std::string &model, std::uint64_t minVersion,
                                 const std::vector<unsigned> &chunkCounts)
{
    constexpr std::size_t kGroupSize = 4;
    batch result;
    result.id = {id};
    result.host = "h.example";
    result.path = "/batch/" + id;
    result.model = {model};
    result.minVersion = {minVersion};
    result.groupsWanted = static_cast<unsigned>((chunkCounts.size() + kGroupSize - 1) / kGroupSize);
    for (std::size_t i = 0; i < chunkCounts.size(); ++i) {
        batch_item item;
        item.id = {id + "-" + std::to_string(i)};
        item.group = "g" + std::to_string(i / kGroupSize);
        item.path = "/batch/" + item.id.value;
        item.headers = {{"model", model}};
        item.body = std::to_string(chunkCounts[i]);
        item.expectedOutput = chunkCounts[i] * 61;
        item.tokens = 12'000;
        result.items.push_back(std::move(item));
    }
    return result;
}

batch node_simulation::withRewards(batch submitted, const std::string &path)
{
    for (batch_item &item : submitted.items) {
        item.reward = reward_call{{"reward-" + item.id.value}, "h.example", path, item.id.value};
    }
    return submitted;
}

batch node_simulation::withBodies(batch submitted, std::size_t bytes)
{
    for (batch_item &item : submitted.items) {
        // The number of chunks stays at the beginning.
        item.body.resize(std::max(bytes, item.body.size()), ' ');
    }
    return submitted;
}

std::size_t node_simulation::rowCount(table_id table, const std::string &keyPrefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &entry) {
        return entry.first.table == table && entry.first.key.starts_with(keyPrefix);
    }));
}

exchange_id node_simulation::submitBatch(std::size_t daemon, const batch &submitted, const credential &key)
{
    for (const batch_item &item : submitted.items) {
        m_chunkCounts[item.id.value] = static_cast<unsigned>(std::stoul(item.body));
        if (item.reward) {
            m_rewards[item.reward->id.value].item = item.id;
            m_rewards[item.reward->id.value].batch = submitted.id;
        }
    }
    m_minVersions[submitted.id.value] = submitted.minVersion.value;
    const exchange_id exchange{++m_lastExchange};
    deliver(daemon, m_daemons.at(daemon).generation, batch_received{exchange, submitted, key});
    return exchange;
}

exchange_id node_simulation::requestPage(std::size_t daemon, const batch_id &id, std::size_t after,
                                         milliseconds wait, const credential &key)
{
    const exchange_id exchange{++m_lastExchange};
    deliver(daemon, m_daemons.at(daemon).generation, page_requested{exchange, id, after, wait, key});
    return exchange;
}

exchange_id node_simulation::requestItem(std::size_t daemon, const batch_id &id, const item_id &item,
                                         const credential &key)
{
    const exchange_id exchange{++m_lastExchange};
    deliver(daemon, m_daemons.at(daemon).generation, item_requested{exchange, id, item, key});
    return exchange;
}

exchange_id node_simulation::endBatch(std::size_t daemon, const batch_id &id, const credential &key)
{
    const exchange_id exchange{++m_lastExchange};
    m_endRequests[exchange] = id;
    deliver(daemon, m_daemons.at(daemon).generation, batch_end_requested{exchange, id, key});
    return exchange;
}

exchange_id node_simulation::sendCall(std::size_t daemon, const std::string &id, const std::string &path,
                                      const credential &key)
{
    const exchange_id exchange{++m_lastExchange};
    client_call call{exchange, {id}, "POST", "h.example", path, {}, "", milliseconds{2000}};
    call.key = key;
    deliver(daemon, m_daemons.at(daemon).generation, call_received{call});
    return exchange;
}

exchange_id node_simulation::requestStream(std::size_t daemon, const std::string &id, const std::string &path,
                                           const std::string &stream, std::uint64_t after,
                                           const credential &key)
{
    const exchange_id exchange{++m_lastExchange};
    m_streams[exchange] = {{stream.empty() ? id : stream}, false, false, false, after};
    client_call call{exchange, {id},    "POST", "h.example", path, {}, "", milliseconds{20'000},
                     after,    {stream}};
    call.key = key;
    deliver(daemon, m_daemons.at(daemon).generation, call_received{call});
    return exchange;
}

void node_simulation::disconnectCaller(std::size_t daemon, exchange_id exchange)
{
    deliver(daemon, m_daemons.at(daemon).generation, caller_disconnected{exchange});
}

std::size_t node_simulation::ownerIndex(const batch_id &id) const
{
    const auto found = std::ranges::find_if(m_daemons, [&](const simulated_process &candidate) {
        return candidate.up && candidate.state->owned.contains(id);
    });
    return found == m_daemons.end() ? 0 : static_cast<std::size_t>(found - m_daemons.begin());
}

const node_state &node_simulation::ownerState(const batch_id &id) const
{
    return *m_daemons.at(ownerIndex(id)).state;
}

std::string node_simulation::violationText() const
{
    std::string text;
    for (const std::string &violation : m_violations) {
        text += violation + "\n";
    }
    return text;
}

} // namespace jacinthvale::test
