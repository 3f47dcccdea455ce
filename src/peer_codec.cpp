#include <jacinthvale/peer_codec.h>
#include <jacinthvale/wire.h>

#include "keyed_hash.h"

namespace jacinthvale {

namespace {

constexpr std::uint32_t kPeerMagic = 0x4a56414c;

/// What travels, in front of the keyed hash.
struct wire_envelope
{
    std::uint32_t magic = kPeerMagic;
    std::uint8_t version = kPeerProtocolVersion;
    std::uint8_t target = 0;
    peer_envelope content;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(magic, version);
        if (magic != kPeerMagic || version != kPeerProtocolVersion) {
            throw cereal::Exception("unknown protocol or version");
        }
        archive(target, content.sender, content.senderIncarnation, content.replyTo, content.sentAt,
                content.payload);
    }
};

} // namespace

std::string encodePeerMessage(const peer_envelope &envelope, const std::string &fleetKey)
{
    const wire_envelope wire{kPeerMagic, kPeerProtocolVersion, static_cast<std::uint8_t>(envelope.target),
                             envelope};
    const std::string bytes = encodeWire(wire);
    return bytes + keyedHash(fleetKey, bytes);
}

absl::StatusOr<peer_envelope> decodePeerMessage(const std::string &bytes, const std::string &fleetKey)
{
    if (bytes.size() < kKeyedHashBytes) {
        return absl::InvalidArgumentError("message is truncated");
    }
    const std::string content = bytes.substr(0, bytes.size() - kKeyedHashBytes);
    const std::string hash = bytes.substr(content.size());
    if (!equalInConstantTime(hash, keyedHash(fleetKey, content))) {
        return absl::UnauthenticatedError("message does not carry the fleet's keyed hash");
    }
    absl::StatusOr<wire_envelope> wire = decodeWire<wire_envelope>(content);
    if (!wire.ok()) {
        return wire.status();
    }
    if (wire->target >= kDomainCount) {
        return absl::InvalidArgumentError("message is for an unknown domain");
    }
    wire->content.target = static_cast<domain>(wire->target);
    return std::move(wire->content);
}

} // namespace jacinthvale
