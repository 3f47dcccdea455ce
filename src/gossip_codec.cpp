#include <jacinthvale/gossip.h>
#include <jacinthvale/wire.h>

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr std::uint8_t kGossipVersion = 1;
constexpr std::size_t kMaxModels = 64;

} // namespace

template <typename Archive>
void serialize(Archive &archive, model_weights &weights)
{
    archive(weights.model, weights.version);
    serializeFlag(archive, weights.versionKnown);
}

template <typename Archive>
void serialize(Archive &archive, leaving_mark &mark)
{
    archive(mark.upstream, mark.incarnation);
}

template <typename Archive>
void serialize(Archive &archive, upstream_observed &seen)
{
    archive(seen.upstream, seen.incarnation, seen.order.epoch, seen.order.sequence, seen.models, seen.running,
            seen.queued);
    serializeFlag(archive, seen.reachable);
    serializeFlag(archive, seen.draining);
}

template <typename Archive>
void serialize(Archive &archive, peer_contact &contact)
{
    archive(contact.host, contact.role, contact.incarnation, contact.http, contact.peer,
            contact.availabilityZone);
}

template <typename Archive>
void serialize(Archive &archive, gossip_header &header)
{
    archive(header.role, header.availabilityZone, header.http, header.revision);
    serializeFlag(archive, header.stopping);
}

namespace {

/// A message with the version of its layout in front.
struct wire_gossip
{
    std::uint8_t version = kGossipVersion;
    gossip_message content;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version);
        if (version != kGossipVersion) {
            throw cereal::Exception("unknown gossip version");
        }
        archive(content.header, content.contacts, content.marks, content.reports);
    }
};

} // namespace

std::string encodeGossip(const gossip_message &message)
{
    return encodeWire(wire_gossip{kGossipVersion, message});
}

absl::StatusOr<gossip_message> decodeGossip(const std::string &payload)
{
    absl::StatusOr<wire_gossip> wire = decodeWire<wire_gossip>(payload);
    if (!wire.ok()) {
        return wire.status();
    }
    const bool valid = std::ranges::all_of(wire->content.reports, [](const upstream_observed &seen) {
        return seen.models.size() <= kMaxModels && seen.running >= 0 && seen.queued >= 0;
    });
    if (!valid) {
        return absl::InvalidArgumentError("observation is out of range");
    }
    return std::move(wire->content);
}

} // namespace jacinthvale
