#include "samples_world.h"

#include "overloaded.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace jacinthvale {

namespace {

const model_id kModel{"assessor"};
const std::string kTrainer = "trainer-1";
constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEngines = 3;
constexpr std::int64_t kTokensPerSample = 4;
constexpr int kHttpOk = 200;

std::string statusBody(const fake_engine &engine)
{
    return nlohmann::json{
            {"incarnation", engine.view.incarnation.value},
            {"swapCounter", engine.swapCounter},
            {"running", engine.streams.size()},
            {"queued", 0},
            {"leaving", false},
            {"models", {{{"model", kModel.value}, {"version", engine.reported}, {"clear", engine.clear}}}}}
            .dump();
}

} // namespace

store_outcome fake_store::transact(const store_transact &what)
{
    const auto versionOf = [&](const std::string &key) {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? 0 : found->second.version;
    };
    const bool holds = std::ranges::all_of(
            what.writes, [&](const store_write &w) { return versionOf(w.key) == w.expectedVersion; });
    if (!holds) {
        store_conflict conflict;
        for (const store_write &write : what.writes) {
            if (m_rows.contains(write.key)) {
                conflict.rows.push_back(m_rows.at(write.key));
            }
        }
        return conflict;
    }
    store_committed committed;
    for (const store_write &write : what.writes) {
        committed.versions.push_back(++m_lastVersion);
        if (write.remove) {
            m_rows.erase(write.key);
        } else {
            m_rows[write.key] = {write.key, m_lastVersion, what.writeId, write.value};
        }
    }
    return committed;
}

store_outcome fake_store::perform(const store_operation &operation)
{
    return std::visit(
            overloaded{[&](const store_get &e) -> store_outcome {
                           const auto found = m_rows.find(e.key);
                           return found == m_rows.end() ? store_rows{} : store_rows{{found->second}};
                       },
                       [&](const store_scan &e) -> store_outcome {
                           store_rows rows;
                           for (const auto &[key, row] : m_rows) {
                               if (key.starts_with(e.prefix) && key > e.after
                                   && rows.rows.size() < static_cast<std::size_t>(e.limit)) {
                                   rows.rows.push_back(row);
                               }
                           }
                           return rows;
                       },
                       [&](const store_transact &e) { return transact(e); },
                       [&](const object_put &e) -> store_outcome {
                           m_objects[e.key] = e.bytes;
                           return object_stored{};
                       },
                       [&](const object_get &e) -> store_outcome {
                           const auto found = m_objects.find(e.key);
                           return object_read{found == m_objects.end() ? std::nullopt
                                                                       : std::optional(found->second)};
                       }},
            operation);
}

samples_world::samples_world()
    : m_daemons(kDaemons)
    , m_engines(kEngines)
{
    m_scorer.id = {"scorer"};
    m_scorer.kind = upstream_kind::scorer;
    m_scorer.address = {"10.0.0.9", 1};
    for (std::size_t i = 0; i < kEngines; ++i) {
        upstream_view &view = m_engines[i].view;
        view.id = {"engine-" + std::to_string(i)};
        view.address = {"10.0.1.1", static_cast<std::uint16_t>(i)};
        view.incarnation = {i + 1};
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
        startDaemon(i);
    }
}

void samples_world::startDaemon(std::size_t which)
{
    fake_daemon &daemon = m_daemons[which];
    const std::uint64_t life = daemon.life + 1;
    daemon = {};
    daemon.life = life;
    process_identity &self = daemon.state.self;
    self.role = process_role::rollout;
    self.host = {"host-" + std::to_string(which)};
    self.incarnation = {which * 1000 + life};
    self.peer = {"10.0.2.1", static_cast<std::uint16_t>(which)};
    send(which, domain_event_raised{domain::membership, upstream_changed{m_scorer, false}});
    for (const fake_engine &engine : m_engines) {
        send(which, domain_event_raised{domain::membership, upstream_changed{engine.view, false}});
    }
}

void samples_world::send(std::size_t which, const event &what)
{
    if (m_daemons[which].paused) {
        m_daemons[which].inbox.push_back(what);
    } else {
        process(which, what);
    }
}

void samples_world::sendTo(std::size_t daemon, std::uint64_t life, const event &what)
{
    if (m_daemons[daemon].life == life) {
        send(daemon, what);
    }
}

void samples_world::process(std::size_t which, const event &what)
{
    const context at{m_now, wall_time{m_now.time_since_epoch()}, mixRandom(++m_random)};
    for (const effect &one : reduceSamples(m_daemons[which].state, what, at)) {
        perform(which, one);
    }
}

void samples_world::perform(std::size_t which, const effect &what)
{
    const std::uint64_t life = m_daemons[which].life;
    std::visit(overloaded{
                       [&](const call_store &e) {
                           m_pendingStore.push_back({which, life, e});
                       },
                       [&](const call_http &e) { startCall(which, e); },
                       [&](const cancel_http &e) {
                           for (fake_engine &engine : m_engines) {
                               std::erase_if(engine.streams, [&](const fake_stream &s) {
                                   return s.daemon == which && s.operation == e.operation;
                               });
                           }
                       },
                       [&](const reply_http &e) { takeReply(which, e); },
                       [&](const send_peer &e) {
                           const fake_daemon &sender = m_daemons[which];
                           send(e.target.port, peer_message_received{e.targetDomain, sender.state.self.host,
                                                                     sender.state.self.incarnation,
                                                                     sender.state.self.peer, e.payload});
                       },
                       [&](const raise_domain_event &e) {
                           const bool drained = std::holds_alternative<domain_drained>(e.payload);
                           m_daemons[which].drained = m_daemons[which].drained || drained;
                       },
                       [](const auto &) {},
               },
               what);
}

void samples_world::startCall(std::size_t which, const call_http &call)
{
    const std::uint64_t life = m_daemons[which].life;
    if (call.target == m_scorer.address) {
        sendTo(which, life,
               http_call_finished{call.operation, transfer_outcome::complete, kHttpOk, {}, R"({"score":1})"});
        return;
    }
    fake_engine &engine = m_engines.at(call.target.port);
    if (call.path == "/status") {
        sendTo(which, life,
               http_call_finished{
                       call.operation, transfer_outcome::complete, kHttpOk, {}, statusBody(engine)});
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(call.body.str());
    engine.streams.push_back({which, life, call.operation,
                              body.at("max_tokens").get<std::int64_t>() - body.value("resume_tokens", 0)});
    sendTo(which, life, http_response_head{call.operation, kHttpOk, {}});
}

void samples_world::emitToken(fake_engine &engine, fake_stream &stream)
{
    const bool last = --stream.tokensLeft <= 0;
    const nlohmann::json choice
            = {{"index", 0},
               {"text", std::to_string(engine.held) + ","},
               {"finish_reason", last ? nlohmann::json("length") : nlohmann::json(nullptr)}};
    const nlohmann::json token
            = {{"id", "x"}, {"choices", {choice}}, {"weight_version", engine.reported}, {"tokens", 1}};
    sendTo(stream.daemon, stream.life,
           http_response_chunk{stream.operation, "data: " + token.dump() + "\n\n"});
}

void samples_world::generateTokens()
{
    for (fake_engine &engine : m_engines) {
        std::deque<fake_stream> streams;
        streams.swap(engine.streams);
        for (fake_stream &stream : streams) {
            if (m_daemons[stream.daemon].life != stream.life) {
                continue;
            }
            emitToken(engine, stream);
            if (stream.tokensLeft > 0) {
                engine.streams.push_back(stream);
            } else {
                sendTo(stream.daemon, stream.life,
                       http_call_finished{stream.operation, transfer_outcome::complete, kHttpOk, {}, ""});
            }
        }
    }
}

void samples_world::passTime(milliseconds time)
{
    m_now += time;
    for (std::size_t i = 0; i < kDaemons; ++i) {
        if (!m_daemons[i].paused) {
            process(i, tick{});
        }
        // A process exits once its callers are answered.
        const bool awaited = std::ranges::any_of(
                m_trainer.posted, [&](const auto &item) { return m_postedTo[item.first] == i; });
        if (m_daemons[i].drained && !awaited) {
            startDaemon(i);
        }
    }
}

void samples_world::serveStore(std::size_t which, store_treatment treatment)
{
    if (m_pendingStore.empty()) {
        return;
    }
    const auto chosen = m_pendingStore.begin() + static_cast<std::ptrdiff_t>(which % m_pendingStore.size());
    const pending_store pending = *chosen;
    m_pendingStore.erase(chosen);
    const bool write = std::holds_alternative<store_transact>(pending.call.request);
    store_outcome outcome = store_unavailable{"refused"};
    if (treatment == store_treatment::answer || treatment == store_treatment::lose_answer) {
        outcome = m_store.perform(pending.call.request);
        if (write && std::holds_alternative<store_committed>(outcome)) {
            checkCommit(std::get<store_transact>(pending.call.request));
        }
    }
    if (treatment == store_treatment::delay && write) {
        m_delayed.push_back(std::get<store_transact>(pending.call.request));
        outcome = store_unknown{};
    }
    if (treatment == store_treatment::lose_answer) {
        outcome = write ? store_outcome(store_unknown{}) : store_outcome(store_unavailable{"lost"});
    }
    sendTo(pending.daemon, pending.life, store_call_finished{pending.call.operation, outcome});
}

void samples_world::applyDelayed()
{
    for (const store_transact &late : m_delayed) {
        if (std::holds_alternative<store_committed>(m_store.perform(late))) {
            checkCommit(late);
        }
    }
    m_delayed.clear();
}

/// No new entry is over the bound of the head row that the same transaction writes.
void samples_world::checkCommit(const store_transact &what)
{
    std::uint64_t version = 0;
    for (const store_write &write : what.writes) {
        if (write.key.starts_with(kHeadPrefix)) {
            version = readHead(write.value)->version.value;
        }
    }
    for (const store_write &write : what.writes) {
        if (!write.key.starts_with("rollout/sequence/") || write.expectedVersion != 0) {
            continue;
        }
        const nlohmann::json entry = nlohmann::json::parse(write.value);
        for (const nlohmann::json &segment : entry.at("segments")) {
            if (segment.at(0).get<std::uint64_t>() + kBound < version) {
                m_broken.push_back("committed over the bound: " + write.value);
            }
        }
    }
}

/// A holder hands nothing over that is over the bound of the version that it knows.
void samples_world::checkKnownVersion(std::size_t which, const nlohmann::json &body)
{
    const auto session = m_daemons[which].state.sessions.find({kTrainer});
    if (!body.is_object() || !body.contains("samples") || session == m_daemons[which].state.sessions.end()
        || session->second.phase != lease_phase::holding) {
        return;
    }
    for (const nlohmann::json &entry : body.at("samples")) {
        for (const nlohmann::json &segment : entry.value("segments", nlohmann::json::array())) {
            if (segment.at("weightVersion").get<std::uint64_t>() + kBound < session->second.version.value) {
                m_broken.push_back("handed over against the known version: " + entry.dump());
            }
        }
    }
}

void samples_world::announceEngine(const fake_engine &engine)
{
    for (std::size_t i = 0; i < kDaemons; ++i) {
        send(i, domain_event_raised{domain::membership, upstream_changed{engine.view, false}});
    }
}

void samples_world::crashEngine(std::size_t which)
{
    fake_engine &engine = m_engines[which % kEngines];
    std::deque<fake_stream> streams;
    streams.swap(engine.streams);
    engine.view.incarnation.value += kEngines;
    engine.swapCounter = 0;
    engine.clear = true;
    engine.held = m_trainer.version;
    engine.reported = m_trainer.version;
    for (const fake_stream &stream : streams) {
        sendTo(stream.daemon, stream.life,
               http_call_finished{stream.operation, transfer_outcome::failed_after_send, 0, {}, ""});
    }
}

void samples_world::swapEngine(std::size_t which)
{
    fake_engine &engine = m_engines[which % kEngines];
    if (engine.clear && engine.held != m_trainer.version) {
        engine.held = m_trainer.version;
        engine.reported = engine.held;
        ++engine.swapCounter;
    }
}

void samples_world::confuseEngine(std::size_t which, bool taken)
{
    fake_engine &engine = m_engines[which % kEngines];
    if (!engine.clear || engine.held == m_trainer.version) {
        return;
    }
    engine.clear = false;
    engine.reported = taken ? engine.held : m_trainer.version;
    engine.held = taken ? m_trainer.version : engine.held;
}

void samples_world::confuseBriefly(std::size_t which, bool taken)
{
    confuseEngine(which, taken);
    generateTokens();
    clearEngine(which);
}

void samples_world::clearEngine(std::size_t which)
{
    fake_engine &engine = m_engines[which % kEngines];
    if (!engine.clear) {
        engine.clear = true;
        engine.reported = engine.held;
        ++engine.swapCounter;
    }
}

void samples_world::pauseDaemon(std::size_t which)
{
    m_daemons[which % kDaemons].paused = true;
}

void samples_world::wakeDaemon(std::size_t which)
{
    const std::size_t index = which % kDaemons;
    m_daemons[index].paused = false;
    while (!m_daemons[index].inbox.empty()) {
        const event next = std::move(m_daemons[index].inbox.front());
        m_daemons[index].inbox.pop_front();
        process(index, next);
    }
}

void samples_world::killDaemon(std::size_t which)
{
    // Its callers see their connections break.
    std::erase_if(m_trainer.posted,
                  [&](const auto &item) { return m_postedTo[item.first] == which % kDaemons; });
    startDaemon(which % kDaemons);
}

void samples_world::stopDaemon(std::size_t which)
{
    fake_daemon &daemon = m_daemons[which % kDaemons];
    if (!daemon.stopping) {
        daemon.stopping = true;
        send(which % kDaemons, domain_event_raised{domain::samples, shutdown_started{}});
    }
}

exchange_id samples_world::request(std::size_t which, const std::string &method, const std::string &resource,
                                   const std::map<std::string, std::string> &query, const std::string &body)
{
    const exchange_id exchange{++m_lastExchange};
    http_request_received received;
    received.exchange = exchange;
    received.method = method;
    received.path = "/v1/trainers/" + kTrainer + "/" + resource;
    received.query = query;
    received.body = body;
    send(which % kDaemons, received);
    return exchange;
}

void samples_world::postGroup(std::size_t which, std::int64_t count)
{
    const std::string id = "group-" + std::to_string(++m_lastGroup);
    const nlohmann::json body = {{"groupId", id},  {"model", kModel.value},         {"prompt", "p"},
                                 {"count", count}, {"maxTokens", kTokensPerSample}, {"step", 1}};
    m_trainer.posted[m_lastExchange + 1] = body.dump();
    m_postedTo[m_lastExchange + 1] = which % kDaemons;
    request(which, "POST", "groups", {}, body.dump());
}

void samples_world::restartTrainer(std::size_t which)
{
    // It begins again at the last cursor that it wrote down before it pulled.
    m_trainer.cursor = m_trainer.checkpoint;
    m_trainer.taken.erase(m_trainer.taken.upper_bound(m_trainer.cursor), m_trainer.taken.end());
    abandonPull(which);
}

void samples_world::publishWeights(std::size_t which)
{
    // A trainer that moves its version gives up the pull that names the old one.
    m_trainer.outstanding = {};
    m_trainer.version += 1 + which % kDaemons;
    request(which, "POST", "weights", {},
            nlohmann::json{{"model", kModel.value}, {"version", m_trainer.version}}.dump());
}

void samples_world::pull(std::size_t which)
{
    if (m_trainer.outstanding.value != 0) {
        return;
    }
    // What a pull acknowledges was written down before.
    m_trainer.checkpoint = m_trainer.cursor;
    m_lastPullQuery = {{"after", std::to_string(m_trainer.cursor)},
                       {"pull", std::to_string(++m_trainer.pull)},
                       {"version", std::to_string(m_trainer.version)},
                       {"max", "5"},
                       {"wait_ms", "2000"}};
    m_trainer.outstanding = {m_lastExchange + 1};
    request(which, "GET", "samples", m_lastPullQuery, "");
}

void samples_world::abandonPull(std::size_t which)
{
    m_trainer.outstanding = {};
    pull(which);
}

void samples_world::repeatOldPull(std::size_t which)
{
    if (!m_deliveredPullQuery.empty()) {
        request(which, "GET", "samples", m_deliveredPullQuery, "");
    }
}

void samples_world::takeReply(std::size_t which, const reply_http &reply)
{
    const nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
    checkKnownVersion(which, body);
    if (const auto posted = m_trainer.posted.find(reply.exchange.value); posted != m_trainer.posted.end()) {
        if (reply.status == kHttpOk) {
            const nlohmann::json group = nlohmann::json::parse(posted->second);
            m_trainer.accepted[group.at("groupId")] = group.at("count");
        } else if (reply.headers.at("Jacinthvale-Verdict") == "not-run") {
            m_trainer.refused.push_back(nlohmann::json::parse(posted->second).at("groupId"));
        }
        m_trainer.posted.erase(posted);
    }
    if (reply.exchange != m_trainer.outstanding || m_trainer.outstanding.value == 0) {
        return;
    }
    m_trainer.outstanding = {};
    if (reply.status == kHttpOk) {
        if (!body.at("samples").empty()) {
            m_deliveredPullQuery = m_lastPullQuery;
        }
        takeSamples(body);
    }
}

void samples_world::takeSamples(const nlohmann::json &body)
{
    // Nothing after the stated cursor was kept.
    m_trainer.taken.erase(m_trainer.taken.upper_bound(m_trainer.cursor), m_trainer.taken.end());
    for (const nlohmann::json &entry : body.at("samples")) {
        checkEntry(entry);
    }
    m_trainer.cursor = body.at("cursor");
    std::set<sample_slot> seen;
    for (const auto &[cursor, entry] : m_trainer.taken) {
        if (!entry.expired && !seen.insert(entry.slot).second) {
            m_broken.push_back("doubled " + entry.slot.group.value);
        }
    }
}

void samples_world::checkEntry(const nlohmann::json &entry)
{
    const std::uint64_t cursor = entry.at("cursor");
    taken_entry taken{
            {{entry.at("groupId")}, entry.at("index")}, entry.contains("expired"), entry.at("attempt"), ""};
    if (taken.expired) {
        ++m_expiredSeen;
    } else {
        std::string labels;
        for (const nlohmann::json &segment : entry.at("segments")) {
            const std::uint64_t version = segment.at("weightVersion");
            for (std::uint64_t i = 0; i < segment.at("tokens").get<std::uint64_t>(); ++i) {
                labels += std::to_string(version) + ",";
            }
            if (version + kBound < m_trainer.version) {
                m_broken.push_back("over the bound: " + entry.dump());
            }
        }
        taken.text = entry.at("text");
        if (labels != taken.text) {
            m_broken.push_back("untrue versions: " + entry.dump());
        }
    }
    m_trainer.taken[cursor] = taken;
}

void samples_world::work(std::size_t which)
{
    constexpr int kStoreOperations = 3;
    passTime(milliseconds{100});
    for (int i = 0; i < kStoreOperations; ++i) {
        serveStore(0, store_treatment::answer);
    }
    generateTokens();
    if (which == 0) {
        pull(which);
    }
}

/// A group that was refused as not run was not accepted.
void samples_world::checkRefused()
{
    for (const std::string &id : m_trainer.refused) {
        if (m_store.rows().contains(groupPrefix({kTrainer}) + id)) {
            m_broken.push_back("refused as not run, and accepted: " + id);
        }
    }
}

bool samples_world::heal()
{
    constexpr int kMaxRounds = 400;
    for (std::size_t i = 0; i < kDaemons; ++i) {
        wakeDaemon(i);
    }
    for (std::size_t i = 0; i < kEngines; ++i) {
        clearEngine(i);
        swapEngine(i);
        announceEngine(m_engines[i]);
    }
    for (int round = 0; round < kMaxRounds; ++round) {
        passTime(milliseconds{500});
        for (int i = 0; i < 6 && !m_pendingStore.empty(); ++i) {
            serveStore(0, store_treatment::answer);
        }
        generateTokens();
        pull(static_cast<std::size_t>(round / 10));
        std::map<std::string, std::int64_t> whole;
        for (const auto &[cursor, entry] : m_trainer.taken) {
            whole[entry.slot.group.value] += entry.expired ? 0 : 1;
        }
        const bool all = std::ranges::all_of(
                m_trainer.accepted, [&](const auto &group) { return whole[group.first] == group.second; });
        if (all && m_trainer.posted.empty()) {
            checkRefused();
            return true;
        }
        if (round % 20 == 19) {
            m_trainer.outstanding = {};
        }
    }
    return false;
}

} // namespace jacinthvale
