#include <jacinthvale/config.h>
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
constexpr milliseconds kGossipPeriod{500};
/// Pace while there are observations to pass on: three datagrams of 1.3 kB each 400 ms are 10 kB/s out.
constexpr milliseconds kNewsPeriod{400};
/// Peers that one message goes to.
constexpr std::size_t kGossipReceivers = 3;
/// Peers that one message tells of.
constexpr std::size_t kGossipContacts = 2;
/// Shortest age from which an observation by a holder is no longer relied upon.
constexpr milliseconds kMinObservationLife{10'000};
/// Shortest time after which an unchanged observation is spread again.
constexpr milliseconds kMinRefreshPeriod{5000};
/// Time between two spreads of one upstream's load, for each upstream of the fleet: the loads of all
/// upstreams share one budget of bytes, whatever their number.
constexpr milliseconds kLoadPeriodPerUpstream{25};
constexpr milliseconds kMinLoadPeriod{1000};
constexpr int kLoadPeriodsPerRefresh = 2;
constexpr int kLoadPeriodsPerLife = 6;
constexpr int kLoadChangeSpread = 4;
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
                           [&](const peer_message_received &e) { onGossip(e); },
                           [&](const domain_event_raised &e) { onDomainEvent(e.payload); },
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
            // Own status calls only where no holder of a shard tells of the upstream.
            const bool watched
                    = m_state.facts.find(id) != nullptr && m_at.now < known.lastObserved + observationLife();
            if (!watched && !known.statusCall && m_at.now >= known.nextStatus) {
                known.statusCall = nextOperation();
                get(*known.statusCall, known.listed.http, "/status", kStatusTimeout);
            }
        }
        const bool newsDue
                = m_state.facts.hasNews() && m_at.now >= m_state.nextGossip - kGossipPeriod + kNewsPeriod;
        if (m_at.now >= m_state.nextGossip || newsDue || m_state.facts.hasUrgentNews()) {
            sendGossip();
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

    void onHostList(const std::optional<host_list> &list)
    {
        const milliseconds wait = list ? kHostListPeriod : kHostListRetry;
        m_state.hostList.next = m_at.now + jittered(wait, m_at.random);
        if (!list) {
            m_effects.emplace_back(count_metric{"membership_host_list_failures_total", 1});
            return;
        }
        recordUnreadable(list->unreadable);
        for (auto &[id, known] : m_state.upstreams) {
            ++known.missedPolls;
        }
        for (auto &[key, known] : m_state.peers) {
            ++known.missedPolls;
        }
        for (const listed_host &host : list->hosts) {
            isDaemonRole(host.role) ? takePeer(host) : takeUpstream(host);
        }
        dropMissing();
    }

    /// The list is read again and again; an entry is told once until it can be read or is gone.
    void recordUnreadable(const std::vector<unreadable_host> &entries)
    {
        std::set<unreadable_host> &known = m_state.hostList.unreadable;
        for (const unreadable_host &entry : entries) {
            if (!known.contains(entry)) {
                m_effects.emplace_back(record_entry{
                        "host-unreadable", entry.host,
                        "field \"" + entry.field + "\" is missing, of another type or out of range"});
                m_effects.emplace_back(
                        count_metric{"membership_hosts_unreadable_total{field=\"" + entry.field + "\"}", 1});
            }
        }
        known = {entries.begin(), entries.end()};
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
        const bool sameProcess = known.view.incarnation == host.incarnation;
        view.stopping = host.leaving || (sameProcess && known.view.stopping);
        // What a peer says of itself is newer than the list.
        if (isHeard(known) && !sameProcess) {
            return;
        }
        if (view != known.view) {
            known.view = view;
            m_effects.emplace_back(raise_domain_event{peer_changed{view}});
        }
    }

    void takeUpstream(const listed_host &host)
    {
        known_upstream &known = m_state.upstreams[{host.host}];
        known.listed = host;
        known.missedPolls = 0;
        upstream_view view = known.view;
        view.id = {host.host};
        view.kind = kindOf(host.role);
        view.service = {host.service};
        view.address = host.http;
        view.availabilityZone = host.availabilityZone;
        view.checksFencing = host.checksFencing;
        const bool observed
                = m_at.now < known.lastObserved + observationLife() && known.lastObserved != instant{};
        if (!observed) {
            // A first or long unobserved entry: the list is all there is.
            view.condition
                    = view.incarnation == host.incarnation ? view.condition : upstream_condition::serving;
            view.incarnation = host.incarnation;
        }
        if (host.leaving) {
            m_state.facts.merge(leaving_mark{view.id, host.incarnation});
        }
        publish(known, view);
    }

    /// Takes in what the holder of the upstream's shard saw, here or through a peer.
    void takeReport(const upstream_observed &seen)
    {
        const auto found = m_state.upstreams.find(seen.upstream);
        if (found == m_state.upstreams.end() || !m_state.facts.merge(seen)) {
            return;
        }
        known_upstream &known = found->second;
        upstream_view view = known.view;
        view.incarnation = seen.incarnation;
        view.condition = seen.reachable ? upstream_condition::serving : upstream_condition::down;
        view.models = seen.models;
        view.running = seen.running;
        view.queued = seen.queued;
        view.reportedAt = m_at.now;
        known.lastObserved = m_at.now;
        publish(known, view);
    }

    /// Takes in an own holder's observation; one that says little new is not spread.
    void takeOwnObservation(const upstream_observed &seen)
    {
        const auto found = m_state.upstreams.find(seen.upstream);
        if (found == m_state.upstreams.end()) {
            return;
        }
        known_upstream &known = found->second;
        if (!isWorthSpreading(known, seen)) {
            return;
        }
        known.lastSpread = seen;
        known.lastSpreadAt = m_at.now;
        takeReport(seen);
    }

    milliseconds loadPeriod() const
    {
        return std::max(kMinLoadPeriod,
                        kLoadPeriodPerUpstream * static_cast<std::int64_t>(m_state.upstreams.size()));
    }

    milliseconds observationLife() const
    {
        return std::max(kMinObservationLife, loadPeriod() * kLoadPeriodsPerLife);
    }

    /// A changed condition or model is spread at once, a changed load after a while, no change rarely.
    bool isWorthSpreading(const known_upstream &known, const upstream_observed &seen) const
    {
        const auto &before = known.lastSpread;
        const bool changed = !before || before->incarnation != seen.incarnation
                             || before->reachable != seen.reachable || before->draining != seen.draining
                             || before->models != seen.models;
        if (changed) {
            return true;
        }
        const milliseconds age = m_at.now - known.lastSpreadAt;
        const int moved = std::abs(before->running + before->queued - seen.running - seen.queued);
        const milliseconds refresh = std::max(kMinRefreshPeriod, loadPeriod() * kLoadPeriodsPerRefresh);
        return age >= refresh || (moved >= kLoadChangeSpread && age >= loadPeriod());
    }

    void takeMark(const leaving_mark &mark)
    {
        if (!m_state.facts.merge(mark)) {
            return;
        }
        if (const auto found = m_state.upstreams.find(mark.upstream); found != m_state.upstreams.end()) {
            publish(found->second, found->second.view);
        }
    }

    std::vector<endpoint> chooseReceivers() const
    {
        std::vector<endpoint> all;
        for (const auto &[key, known] : m_state.peers) {
            all.push_back(known.view.peer);
        }
        const bool haveSeeds = !m_state.self.seeds.empty();
        if (all.empty() && haveSeeds) {
            all = m_state.self.seeds;
        }
        std::vector<endpoint> chosen;
        for (std::size_t i = 0; i < kGossipReceivers && !all.empty(); ++i) {
            const auto at = static_cast<std::ptrdiff_t>(mixRandom(m_at.random, i) % all.size());
            chosen.push_back(all[static_cast<std::size_t>(at)]);
            all.erase(all.begin() + at);
        }
        return chosen;
    }

    /// @returns a few peers that were heard from lately, so that others learn of them.
    std::vector<peer_contact> chooseContacts() const
    {
        std::vector<peer_contact> all;
        for (const auto &[key, known] : m_state.peers) {
            const peer_view &view = known.view;
            if (isHeard(known) && !view.stopping) {
                all.push_back({view.host, view.role, view.incarnation, view.http, view.peer,
                               view.availabilityZone});
            }
        }
        std::vector<peer_contact> chosen;
        for (std::size_t i = 0; i < kGossipContacts && !all.empty(); ++i) {
            chosen.push_back(all[mixRandom(m_at.random, kGossipReceivers + i) % all.size()]);
        }
        return chosen;
    }

    bool isHeard(const known_peer &known) const
    {
        return known.heardAt != instant{} && m_at.now < known.heardAt + kMinObservationLife;
    }

    /// Learns of a daemon that nothing was known of.
    void takeContact(const peer_contact &contact)
    {
        const peer_key key{contact.host, contact.role};
        const bool valid = isDaemonRole(contact.role) && !contact.peer.empty();
        if (!valid || contact.incarnation == m_state.self.incarnation || m_state.peers.contains(key)) {
            return;
        }
        known_peer &known = m_state.peers[key];
        known.view.host = contact.host;
        known.view.role = contact.role;
        known.view.incarnation = contact.incarnation;
        known.view.http = contact.http;
        known.view.peer = contact.peer;
        known.view.availabilityZone = contact.availabilityZone;
        m_effects.emplace_back(raise_domain_event{peer_changed{known.view}});
    }

    void sendGossip()
    {
        m_state.nextGossip = m_at.now + kGossipPeriod;
        const std::vector<endpoint> receivers = chooseReceivers();
        if (receivers.empty()) {
            return;
        }
        const process_identity &self = m_state.self;
        const gossip_header header{std::string(toString(self.role)), self.availabilityZone, self.http,
                                   m_state.revision, m_state.stopping};
        const std::string payload
                = encodeGossip(m_state.facts.pack(header, chooseContacts(), receivers.size()));
        for (const endpoint &target : receivers) {
            m_effects.emplace_back(send_peer{target, peer_transport::datagram, domain::membership, payload});
        }
    }

    void onGossip(const peer_message_received &message)
    {
        const absl::StatusOr<gossip_message> gossip = decodeGossip(message.payload);
        if (!gossip.ok() || !isDaemonRole(gossip->header.role)) {
            m_effects.emplace_back(count_metric{"membership_messages_malformed_total", 1});
            return;
        }
        hearPeer(message, gossip->header);
        for (const peer_contact &contact : gossip->contacts) {
            takeContact(contact);
        }
        for (const leaving_mark &mark : gossip->marks) {
            takeMark(mark);
        }
        for (const upstream_observed &seen : gossip->reports) {
            takeReport(seen);
        }
    }

    void hearPeer(const peer_message_received &message, const gossip_header &header)
    {
        if (message.senderIncarnation == m_state.self.incarnation) {
            return;
        }
        known_peer &known = m_state.peers[{message.sender, header.role}];
        peer_view view = known.view;
        const bool sameProcess = view.incarnation == message.senderIncarnation;
        view.host = message.sender;
        view.role = header.role;
        view.incarnation = message.senderIncarnation;
        view.http = header.http;
        view.peer = message.replyTo;
        view.availabilityZone = header.availabilityZone;
        view.alive = true;
        view.stopping = header.stopping || (sameProcess && view.stopping);
        view.revision = sameProcess ? std::max(view.revision, header.revision) : header.revision;
        known.missedPolls = 0;
        known.heardAt = m_at.now;
        if (view != known.view) {
            known.view = view;
            m_effects.emplace_back(raise_domain_event{peer_changed{view}});
        }
    }

    /// Tells a changed view. A leaving mark of the incarnation goes before everything else.
    void publish(known_upstream &known, upstream_view view)
    {
        if (m_state.facts.isLeaving(view.id, view.incarnation)) {
            view.condition = upstream_condition::draining;
        }
        if (view != known.view) {
            known.view = view;
            m_effects.emplace_back(raise_domain_event{upstream_changed{view, false}});
        }
    }

    /// Takes in an own status call; it does not count against the holder's word.
    void onStatus(known_upstream &known, const std::optional<upstream_status> &status)
    {
        known.statusCall.reset();
        known.nextStatus = m_at.now + jittered(kStatusPeriod, m_at.random);
        const bool watched = m_state.facts.find(known.view.id) != nullptr
                             && m_at.now < known.lastObserved + observationLife();
        if (watched) {
            return;
        }
        upstream_view view = known.view;
        view.condition = status ? upstream_condition::serving : upstream_condition::down;
        if (status) {
            view.incarnation = status->incarnation;
            view.models = status->models;
            view.running = status->running;
            view.queued = status->queued;
            view.reportedAt = m_at.now;
            known.lastObserved = m_at.now;
        }
        if (status && status->leaving) {
            m_state.facts.merge(leaving_mark{view.id, status->incarnation});
        }
        publish(known, view);
    }

    void markLeaving(const upstream_id &upstream)
    {
        const auto found = m_state.upstreams.find(upstream);
        if (found != m_state.upstreams.end()) {
            takeMark({upstream, found->second.view.incarnation});
        }
    }

    void dropMissing()
    {
        const auto missing = [](const auto &entry) { return entry.second.missedPolls >= kMaxMissedPolls; };
        for (const auto &[id, known] : m_state.upstreams) {
            if (known.missedPolls >= kMaxMissedPolls) {
                m_effects.emplace_back(raise_domain_event{upstream_changed{known.view, true}});
            }
        }
        std::erase_if(m_state.upstreams, missing);
        for (auto &[key, known] : m_state.peers) {
            if (missing(std::pair{key, known}) && known.view.alive) {
                known.view.alive = false;
                m_effects.emplace_back(raise_domain_event{peer_changed{known.view}});
            }
        }
        std::erase_if(m_state.peers, missing);
    }

    void onDomainEvent(const domain_event &what)
    {
        std::visit(overloaded{
                           [&](const drain_requested &e) { markLeaving(e.upstream); },
                           [&](const upstream_observed &e) { takeOwnObservation(e); },
                           [&](const config_activated &e) { m_state.revision = e.document->revision; },
                           [&](const shutdown_started &) { onShutdownStarted(); },
                           [](const auto &) {},
                   },
                   what);
    }

    /// Tells every peer of the stop at once; it is not needed for a clean end.
    void onShutdownStarted()
    {
        m_state.stopping = true;
        sendGossip();
        m_effects.emplace_back(raise_domain_event{domain_drained{domain::membership}});
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
    case upstream_condition::draining:
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
        models.push_back({{"model", model.model.value},
                          {"version", model.version.value},
                          {"clear", model.versionKnown}});
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
