// Several configuration reducers over a table, with simulated time, loss, cuts, freezes and lost answers.
#pragma once

#include "overloaded.h"
#include "versioned_table.h"

#include <jacinthvale/config.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale::testing {

inline constexpr milliseconds kInForceBound{4000};

/// One daemon's configuration domain with what was seen of it.
struct simulated_daemon
{
    config_state state;
    bool storeCut = false;
    bool peersCut = false;
    bool frozen = false;
    instant startedAt{};
    /// Last time when no path led a newer revision to it.
    instant unreachableAt{};
    std::uint64_t highestInForce = 0;
    std::deque<event> waiting;
    bool ready = false;
    std::optional<bool> isolated;
};

/// An answer to an operator.
struct operator_answer
{
    std::size_t daemon = 0;
    int status = 0;
    nlohmann::json body;
};

/// An acceptance, and who gave it.
struct accepted_change
{
    std::uint64_t revision = 0;
    std::size_t daemon = 0;
    instant at{};
};

class config_simulation
{
public:
    explicit config_simulation(std::size_t count, std::uint64_t seed = 1)
        : m_seed(seed)
    {
        daemons.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            start(i);
        }
    }

    /// Starts a daemon, or its successor at the same address.
    void start(std::size_t i)
    {
        simulated_daemon &one = daemons[i];
        const bool storeCut = one.storeCut;
        const bool peersCut = one.peersCut;
        one = {};
        one.storeCut = storeCut;
        one.peersCut = peersCut;
        one.startedAt = now;
        one.unreachableAt = now;
        one.state.self.host = {absl::StrCat("host-", i)};
        one.state.self.incarnation = {++m_lastIncarnation};
        one.state.self.peer = addressOf(i);
        for (std::size_t j = 0; j < daemons.size(); ++j) {
            one.state.self.seeds.push_back(addressOf(j));
        }
        std::erase_if(m_inFlight, [&](const flight &f) { return f.to == i; });
        give(i, process_started{one.state.self.incarnation});
    }

    /// Posts to a daemon.
    void post(std::size_t i, const std::string &path, const nlohmann::json &body)
    {
        give(i, http_request_received{{++m_lastExchange},
                                      "POST",
                                      path,
                                      {},
                                      {{"Jacinthvale-Principal", absl::StrCat("operator-", i)}},
                                      body.dump()});
    }

    std::uint64_t revisionOf(std::size_t i) const { return daemons[i].state.inForce->revision.value; }

    nlohmann::json changeOf(std::size_t i, const std::string &id, std::int64_t value) const
    {
        return {{"changeId", id},
                {"baseRevision", revisionOf(i)},
                {"set", {{"samples.maxStalenessVersions", value}}},
                {"reason", "trial"}};
    }

    void advance(milliseconds duration)
    {
        const instant end = now + duration;
        while (now < end) {
            now += milliseconds{10};
            deliver();
            if (now.time_since_epoch().count() % kTickPeriod.count() == 0) {
                tickAll();
            }
        }
    }

    /// Goes on until every daemon has the highest revision in force, or the bound has passed.
    bool converges()
    {
        const instant end = now + kInForceBound;
        while (now < end && !allEqual()) {
            advance(kTickPeriod);
        }
        return allEqual();
    }

    bool allEqual() const
    {
        return std::ranges::all_of(daemons, [&](const simulated_daemon &one) {
            return one.state.hasDocument && one.state.inForce->hash == daemons.front().state.inForce->hash;
        });
    }

    /// @returns the fault that was seen first; empty while every promise holds.
    std::string violation;

    std::vector<simulated_daemon> daemons;
    standin::versioned_table table;
    standin::versioned_table copy;
    instant now{};
    bool storeDown = false;
    bool losesAnswers = false;
    bool storeRestored = false;
    std::uint64_t lossPercent = 20;
    std::vector<operator_answer> answers;
    std::vector<accepted_change> accepted;

    static endpoint addressOf(std::size_t i) { return {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)}; }

private:
    struct flight
    {
        instant at;
        std::size_t to = 0;
        event what;
    };

    std::uint64_t random() { return mixRandom(m_seed, ++m_draws); }
    milliseconds delay(std::uint64_t longest)
    {
        return milliseconds{10 + static_cast<int>(random() % longest)};
    }

    void give(std::size_t i, const event &what)
    {
        simulated_daemon &one = daemons[i];
        if (one.frozen) {
            one.waiting.push_back(what);
            return;
        }
        const context at{now, wall_time{milliseconds{1'000'000} + now.time_since_epoch()}, random()};
        for (const effect &e : reduceConfig(one.state, what, at)) {
            perform(i, e);
        }
        watch(i);
    }

    void perform(std::size_t i, const effect &what)
    {
        std::visit(overloaded{
                           [&](const call_store &e) { callStore(i, e); },
                           [&](const send_peer &e) { send(i, e); },
                           [&](const reply_http &e) { answer(i, e); },
                           [&](const set_ready &e) { daemons[i].ready = e.ready; },
                           [&](const raise_domain_event &e) {
                               if (const auto *changed = std::get_if<isolation_changed>(&e.payload)) {
                                   daemons[i].isolated = changed->isolated;
                               }
                           },
                           [](const auto &) {},
                   },
                   what);
    }

    void callStore(std::size_t i, const call_store &call)
    {
        store_outcome outcome = store_unavailable{"cut"};
        milliseconds after = delay(50);
        if (!storeDown && !daemons[i].storeCut) {
            outcome = apply(call.request);
            if (losesAnswers && std::holds_alternative<store_transact>(call.request)) {
                outcome = store_unknown{};
                after = milliseconds{500};
            }
        }
        m_inFlight.push_back({now + after, i, store_call_finished{call.operation, outcome}});
    }

    store_outcome apply(const store_operation &what)
    {
        if (const auto *get = std::get_if<store_get>(&what)) {
            return store_rows{table.get(get->key)};
        }
        if (const auto *scan = std::get_if<store_scan>(&what)) {
            return store_rows{table.scan(*scan)};
        }
        return std::visit([](auto &&result) -> store_outcome { return result; },
                          table.transact(std::get<store_transact>(what)));
    }

    void send(std::size_t from, const send_peer &message)
    {
        const std::size_t to = message.target.port - 1000U;
        // Streams, too, may go silent without anybody's notice.
        const std::uint64_t loss
                = message.transport == peer_transport::stream ? lossPercent / 2 : lossPercent;
        if (daemons[from].peersCut || daemons[to].peersCut || to == from || random() % 100 < loss) {
            return;
        }
        const process_identity &self = daemons[from].state.self;
        m_inFlight.push_back({now + delay(20), to,
                              peer_message_received{domain::config, self.host, self.incarnation,
                                                    addressOf(from), message.payload}});
    }

    void answer(std::size_t i, const reply_http &reply)
    {
        answers.push_back({i, reply.status, nlohmann::json::parse(reply.body)});
        const nlohmann::json &body = answers.back().body;
        if (body.value("result", "") == "accepted") {
            accepted.push_back({body.value("revision", std::uint64_t{0}), i, now});
        }
    }

    void deliver()
    {
        std::vector<flight> due;
        std::erase_if(m_inFlight, [&](const flight &f) {
            if (f.at <= now) {
                due.push_back(f);
            }
            return f.at <= now;
        });
        for (const flight &f : due) {
            give(f.to, f.what);
        }
    }

    void tickAll()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (!daemons[i].frozen) {
                std::deque<event> waiting;
                waiting.swap(daemons[i].waiting);
                for (const event &e : waiting) {
                    give(i, e);
                }
                give(i, tick{});
            }
            checkBound(i);
        }
    }

    void report(const std::string &what)
    {
        if (violation.empty()) {
            violation = what;
        }
    }

    /// No daemon goes back, no revision has two documents, and no change commits twice.
    void watch(std::size_t i)
    {
        const config_document &document = *daemons[i].state.inForce;
        if (document.revision.value < daemons[i].highestInForce) {
            report(absl::StrCat("daemon ", i, " went back to revision ", document.revision.value));
        }
        daemons[i].highestInForce = document.revision.value;
        const auto &hash = m_hashes.emplace(document.revision.value, document.hash).first->second;
        if (hash != document.hash) {
            report(absl::StrCat("two documents bear revision ", document.revision.value));
        }
        const auto &revision = m_revisions.emplace(document.changeId, document.revision.value).first->second;
        if (revision != document.revision.value) {
            report(absl::StrCat("change ", document.changeId, " committed twice"));
        }
    }

    bool reachable(std::size_t i, const accepted_change &change) const
    {
        const simulated_daemon &one = daemons[i];
        const simulated_daemon &source = daemons[change.daemon];
        const bool byStore = !storeDown && !storeRestored && !one.storeCut;
        const bool byPeer = !one.peersCut && !source.peersCut && !source.frozen
                            && source.state.inForce->revision.value >= change.revision;
        return !one.frozen && (byStore || byPeer);
    }

    void checkBound(std::size_t i)
    {
        simulated_daemon &one = daemons[i];
        for (const accepted_change &change : accepted) {
            if (one.state.inForce->revision.value >= change.revision && one.state.hasDocument) {
                continue;
            }
            if (!reachable(i, change)) {
                one.unreachableAt = now;
            }
            if (now - std::max({change.at, one.unreachableAt, one.startedAt}) > kInForceBound) {
                report(absl::StrCat("revision ", change.revision, " not in force at daemon ", i, " after ",
                                    kInForceBound.count(), " ms"));
            }
        }
    }

    std::uint64_t m_seed;
    std::uint64_t m_draws = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastExchange = 0;
    std::vector<flight> m_inFlight;
    std::map<std::uint64_t, std::string> m_hashes;
    std::map<std::string, std::uint64_t> m_revisions;
};

} // namespace jacinthvale::testing
