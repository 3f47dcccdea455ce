// Spreading documents among daemons: offers, questions and confirmations.
#include "config_domain.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <set>
#include <vector>

namespace jacinthvale {

namespace {

/// Peers asked at once while none has been heard lately.
constexpr std::size_t kUrgentProbes = 3;
/// Peers told at once that a new revision is in force here.
constexpr std::size_t kToldPeers = 3;

} // namespace

bool config_domain::isAlone() const
{
    return m_state.peers.empty() && m_state.self.seeds.empty();
}

void config_domain::send(const endpoint &target, config_message_kind kind, peer_transport transport)
{
    config_message message;
    message.kind = static_cast<std::uint8_t>(kind);
    message.name = absl::StrCat(m_state.self.host.value, "/", std::string(toString(m_state.self.role)));
    message.hasDocument = m_state.hasDocument;
    message.revision = m_state.inForce->revision.value;
    message.hash = m_state.inForce->hash;
    if (kind == config_message_kind::offer) {
        message.document = encodeDocument(*m_state.inForce);
    }
    m_out.emplace_back(send_peer{target, transport, domain::config, encodeWire(message)});
}

/// Offers go over a stream; a repeated one also as a datagram if it fits, as the stream may have gone silent.
void config_domain::offer(const endpoint &target)
{
    config_peer &peer = m_state.peers[target];
    const bool again = peer.offers > 0 && peer.offered == m_state.inForce->revision;
    if (again && m_at.now - peer.offeredAt < kOfferSpacing) {
        return;
    }
    peer.offers = again ? peer.offers + 1 : 1;
    peer.offered = m_state.inForce->revision;
    peer.offeredAt = m_at.now;
    send(target, config_message_kind::offer, peer_transport::stream);
    const auto &sent = std::get<send_peer>(m_out.back());
    if (again && sent.payload.size() <= kMaxDatagramPayload) {
        send_peer copy = sent;
        copy.transport = peer_transport::datagram;
        m_out.emplace_back(std::move(copy));
    }
}

void config_domain::onPeerMessage(const peer_message_received &received)
{
    const absl::StatusOr<config_message> message = decodeWire<config_message>(received.payload);
    if (!message.ok()) {
        m_out.emplace_back(count_metric{"config_messages_malformed_total", 1});
        return;
    }
    notePeer(received, *message);
    if (static_cast<config_message_kind>(message->kind) == config_message_kind::offer) {
        take(message->document, "peer");
    }
    answerPeer(received.replyTo, *message);
    answerConfirmed();
    updateIsolation();
}

void config_domain::notePeer(const peer_message_received &received, const config_message &message)
{
    m_state.peerHeard = true;
    m_state.peerHeardAt = m_at.now;
    config_peer &peer = m_state.peers[received.replyTo];
    if (peer.incarnation != received.senderIncarnation) {
        peer = {};
        peer.incarnation = received.senderIncarnation;
    }
    peer.name = message.name;
    peer.alive = true;
    peer.heardAt = m_at.now;
    if (message.hasDocument) {
        peer.revision = std::max(peer.revision.value_or(config_revision{}), {message.revision});
    }
}

void config_domain::answerPeer(const endpoint &peer, const config_message &message)
{
    const auto kind = static_cast<config_message_kind>(message.kind);
    const config_revision theirs{message.revision};
    const config_revision ours = m_state.inForce->revision;
    if (m_state.hasDocument && (!message.hasDocument || theirs < ours)) {
        offer(peer);
    } else if (kind != config_message_kind::state) {
        send(peer, config_message_kind::state, peer_transport::datagram);
    }
    const bool weAreBehind = message.hasDocument && (!m_state.hasDocument || theirs > ours);
    if (weAreBehind && kind != config_message_kind::offer) {
        noteHigher(theirs);
        send(peer, config_message_kind::ask, peer_transport::datagram);
    }
    const bool sameRevision = message.hasDocument && m_state.hasDocument && theirs == ours;
    if (sameRevision && message.hash != m_state.inForce->hash) {
        setProblem(config_problem::diverged,
                   absl::StrCat(message.name, " has another document of revision ", ours.value));
    }
}

void config_domain::onPeerChanged(const peer_view &view)
{
    const bool isSelf = view.incarnation == m_state.self.incarnation || view.peer == m_state.self.peer;
    if (isSelf || view.peer.empty()) {
        return;
    }
    const auto found = m_state.peers.find(view.peer);
    const bool replaced = found != m_state.peers.end() && found->second.incarnation != view.incarnation;
    if (!view.alive && (found == m_state.peers.end() || replaced)) {
        return;
    }
    config_peer &peer = m_state.peers[view.peer];
    if (replaced) {
        peer = {};
    }
    peer.name = absl::StrCat(view.host.value, "/", view.role);
    peer.incarnation = view.incarnation;
    peer.alive = view.alive;
    peer.listed = true;
    if (view.revision.value > 0) {
        peer.revision = std::max(peer.revision.value_or(config_revision{}), view.revision);
    }
    if (view.alive && (view.revision > m_state.inForce->revision || !m_state.hasDocument)) {
        noteHigher(view.revision);
        send(view.peer, config_message_kind::ask, peer_transport::datagram);
    }
    answerConfirmed();
}

/// Asks random peers: they answer with what is in force there, or with their document if it is newer.
void config_domain::probePeers()
{
    const bool urgent
            = m_at.now - m_state.peerHeardAt > kPeerProbePeriod || !m_state.peerHeard || !m_state.hasDocument;
    m_state.nextProbe = m_at.now + (urgent ? kUrgentProbePeriod : kPeerProbePeriod);
    for (const endpoint &target : pickPeers(urgent ? kUrgentProbes : 1, urgent)) {
        send(target, config_message_kind::ask, peer_transport::datagram);
    }
}

/// Whoever is behind asks for the document, so a revision spreads although the daemon that made it is gone.
void config_domain::tellRandomPeers()
{
    for (const endpoint &target : pickPeers(kToldPeers, false)) {
        send(target, config_message_kind::state, peer_transport::datagram);
    }
}

/// @returns distinct random alive peers; the seeds, too, where asked for or where no peer is known.
std::vector<endpoint> config_domain::pickPeers(std::size_t count, bool withSeeds)
{
    std::set<endpoint> known;
    for (const auto &[where, peer] : m_state.peers) {
        if (peer.alive) {
            known.insert(where);
        }
    }
    if (known.empty() || withSeeds) {
        known.insert(m_state.self.seeds.begin(), m_state.self.seeds.end());
        known.erase(m_state.self.peer);
    }
    std::vector<endpoint> targets(known.begin(), known.end());
    count = std::min(count, targets.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(targets[i], targets[i + draw() % (targets.size() - i)]);
    }
    targets.resize(count);
    return targets;
}

bool config_domain::hasUnconfirmedPeers(config_revision revision) const
{
    return std::ranges::any_of(m_state.peers, [&](const auto &entry) {
        return entry.second.alive && entry.second.revision.value_or(config_revision{}) < revision;
    });
}

/// The first round offers the document; later rounds ask, and whoever is still behind is offered it again.
void config_domain::pushToUnconfirmed()
{
    m_state.nextPush = m_at.now + kPushPeriod;
    const config_revision revision = m_state.inForce->revision;
    std::vector<endpoint> unconfirmed;
    for (const auto &[where, peer] : m_state.peers) {
        if (peer.alive && peer.revision.value_or(config_revision{}) < revision) {
            unconfirmed.push_back(where);
        }
    }
    for (const endpoint &where : unconfirmed) {
        if (m_state.peers[where].offered < revision) {
            offer(where);
        } else {
            send(where, config_message_kind::ask, peer_transport::datagram);
        }
    }
}

void config_domain::forgetPeers()
{
    std::erase_if(m_state.peers, [&](const auto &entry) {
        const config_peer &peer = entry.second;
        const bool vouchedFor = peer.listed && peer.alive;
        return !vouchedFor && m_at.now - peer.heardAt > kPeerForgetAge;
    });
}

} // namespace jacinthvale
