#include <jacinthvale/membership.h>

#include "jitter.h"
#include "overloaded.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr milliseconds kHostListPeriod{3000};
constexpr milliseconds kHostListRetry{500};
constexpr milliseconds kHostListTimeout{2000};
constexpr milliseconds kStatusPeriod{1000};
constexpr milliseconds kStatusTimeout{2000};
/// Successful polls without an entry after which it counts as gone.
constexpr int kMaxMissedPolls = 3;

bool isDaemonRole(const std::string &role)
{
    return role == "gate" || role == "rollout" || role == "fleet";
}

upstream_kind kindOf(const std::string &role)
{
    if (role == "service") {
        return upstream_kind::service;
    }
    return role == "scorer" ? upstream_kind::scorer : upstream_kind::engine;
}

class membership_reducer
{
public:
    membership_reducer(membership_state &state, const context &at)
        : m_state(state)
        , m_at(at)
    {}

    effects run(const event &what)
    {
        std::visit(overloaded{
                           [&](const process_started &) { pollHostList(); },
                           [&](const tick &) { onTick(); },
                           [&](const http_call_finished &e) { onCallFinished(e); },
                           [&](const notice_raised &e) { onNotice(e.what); },
                           [](const auto &) {},
                   },
                   what);
        return std::move(m_effects);
    }

private:
    operation_id nextOperation() { return {domain::membership, ++m_state.lastOperation}; }

    void get(operation_id operation, const endpoint &target, const std::string &path, milliseconds timeout)
    {
        call_http call;
        call.operation = operation;
        call.target = target;
        call.method = "GET";
        call.path = path;
        call.connectTimeout = timeout;
        call.progressTimeout = timeout;
        m_effects.emplace_back(std::move(call));
    }

    void pollHostList()
    {
        m_state.hostList.call = nextOperation();
        get(*m_state.hostList.call, m_state.self.platform, "/hosts", kHostListTimeout);
    }

    void onTick()
    {
        if (!m_state.hostList.call && m_at.now >= m_state.hostList.next) {
            pollHostList();
        }
        for (auto &[id, known] : m_state.upstreams) {
            if (!known.statusCall && m_at.now >= known.nextStatus) {
                known.statusCall = nextOperation();
                get(*known.statusCall, known.listed.http, "/status", kStatusTimeout);
            }
        }
    }

    void onCallFinished(const http_call_finished &result)
    {
        const bool answered = result.outcome == transfer_outcome::complete && result.status == kHttpOk;
        if (m_state.hostList.call == result.operation) {
            m_state.hostList.call.reset();
            onHostList(answered ? parseHostList(result.body) : std::nullopt);
            return;
        }
        const auto found = std::ranges::find_if(m_state.upstreams, [&](const auto &entry) {
            return entry.second.statusCall == result.operation;
        });
        if (found != m_state.upstreams.end()) {
            onStatus(found->second, answered ? parseUpstreamStatus(result.body) : std::nullopt);
        }
    }

    void onHostList(const std::optional<std::vector<listed_host>> &hosts)
    {
        const milliseconds wait = hosts ? kHostListPeriod : kHostListRetry;
        m_state.hostList.next = m_at.now + jittered(wait, m_at.random);
        if (!hosts) {
            m_effects.emplace_back(count_metric{"membership_host_list_failures_total", 1});
            return;
        }
        for (auto &[id, known] : m_state.upstreams) {
            ++known.missedPolls;
        }
        for (auto &[key, known] : m_state.peers) {
            ++known.missedPolls;
        }
        for (const listed_host &host : *hosts) {
            isDaemonRole(host.role) ? takePeer(host) : takeUpstream(host);
        }
        dropMissing();
    }

    void takePeer(const listed_host &host)
    {
        if (host.peer.empty() || host.incarnation == m_state.self.incarnation) {
            return;
        }
        known_peer &known = m_state.peers[{{host.host}, host.role}];
        known.missedPolls = 0;
        peer_view view = known.view;
        view.host = {host.host};
        view.role = host.role;
        view.incarnation = host.incarnation;
        view.http = host.http;
        view.peer = host.peer;
        view.availabilityZone = host.availabilityZone;
        view.alive = true;
        view.stopping = host.leaving;
        if (view != known.view) {
            known.view = view;
            m_effects.emplace_back(raise_notice{peer_changed{view}});
        }
    }

    void takeUpstream(const listed_host &host)
    {
        known_upstream &known = m_state.upstreams[{host.host}];
        known.listed = host;
        known.missedPolls = 0;
        upstream_view view = known.view;
        if (view.incarnation != host.incarnation) {
            view.condition = upstream_condition::serving;
        }
        view.id = {host.host};
        view.kind = kindOf(host.role);
        view.service = {host.service};
        view.address = host.http;
        view.availabilityZone = host.availabilityZone;
        view.incarnation = host.incarnation;
        view.checksFencing = host.checksFencing;
        if (host.leaving) {
            view.condition = upstream_condition::leaving;
        }
        publish(known, view);
    }

    void publish(known_upstream &known, const upstream_view &view)
    {
        if (view != known.view) {
            known.view = view;
            m_effects.emplace_back(raise_notice{upstream_changed{view, false}});
        }
    }

    void onStatus(known_upstream &known, const std::optional<upstream_status> &status)
    {
        known.statusCall.reset();
        known.nextStatus = m_at.now + jittered(kStatusPeriod, m_at.random);
        upstream_view view = known.view;
        if (!status) {
            view.condition = view.condition == upstream_condition::leaving ? upstream_condition::leaving
                                                                           : upstream_condition::down;
            publish(known, view);
            return;
        }
        const bool sticky
                = view.condition == upstream_condition::leaving && view.incarnation == status->incarnation;
        view.incarnation = status->incarnation;
        view.condition
                = sticky || status->leaving ? upstream_condition::leaving : upstream_condition::serving;
        view.models = status->models;
        view.running = status->running;
        view.queued = status->queued;
        view.reportedAt = m_at.now;
        publish(known, view);
    }

    void markLeaving(const upstream_id &upstream)
    {
        const auto found = m_state.upstreams.find(upstream);
        if (found != m_state.upstreams.end()) {
            upstream_view view = found->second.view;
            view.condition = upstream_condition::leaving;
            publish(found->second, view);
        }
    }

    void dropMissing()
    {
        const auto missing = [](const auto &entry) { return entry.second.missedPolls >= kMaxMissedPolls; };
        for (const auto &[id, known] : m_state.upstreams) {
            if (known.missedPolls >= kMaxMissedPolls) {
                m_effects.emplace_back(raise_notice{upstream_changed{known.view, true}});
            }
        }
        std::erase_if(m_state.upstreams, missing);
        for (auto &[key, known] : m_state.peers) {
            if (missing(std::pair{key, known}) && known.view.alive) {
                known.view.alive = false;
                m_effects.emplace_back(raise_notice{peer_changed{known.view}});
            }
        }
        std::erase_if(m_state.peers, missing);
    }

    void onNotice(const notice &what)
    {
        if (const auto *drain = std::get_if<drain_requested>(&what)) {
            markLeaving(drain->upstream);
        } else if (std::holds_alternative<stopping>(what)) {
            m_effects.emplace_back(raise_notice{domain_drained{domain::membership}});
        }
    }

    membership_state &m_state;
    const context &m_at;
    effects m_effects;
};

std::string_view toString(upstream_condition condition)
{
    switch (condition) {
    case upstream_condition::serving:
        return "serving";
    case upstream_condition::leaving:
        return "leaving";
    case upstream_condition::down:
        return "down";
    }
    return "unknown";
}

nlohmann::json describe(const upstream_view &view)
{
    nlohmann::json models = nlohmann::json::array();
    for (const model_weights &model : view.models) {
        models.push_back(
                {{"model", model.model.value}, {"version", model.version.value}, {"clear", model.clear}});
    }
    return {{"upstream", view.id.value},
            {"condition", toString(view.condition)},
            {"incarnation", view.incarnation.value},
            {"address", toString(view.address)},
            {"running", view.running},
            {"queued", view.queued},
            {"models", std::move(models)}};
}

} // namespace

effects reduceMembership(membership_state &state, const event &what, const context &at)
{
    return membership_reducer(state, at).run(what);
}

std::string describeMembership(const membership_state &state, const context &at)
{
    static_cast<void>(at);
    nlohmann::json upstreams = nlohmann::json::array();
    for (const auto &[id, known] : state.upstreams) {
        upstreams.push_back(describe(known.view));
    }
    nlohmann::json peers = nlohmann::json::array();
    for (const auto &[key, known] : state.peers) {
        peers.push_back({{"host", key.host.value},
                         {"role", key.role},
                         {"alive", known.view.alive},
                         {"stopping", known.view.stopping},
                         {"revision", known.view.revision.value}});
    }
    return nlohmann::json{{"upstreams", std::move(upstreams)}, {"peers", std::move(peers)}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace jacinthvale
