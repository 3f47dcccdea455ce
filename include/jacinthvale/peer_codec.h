/// Envelope of messages between daemons: version, sender, clock and a keyed hash over all of it.
#pragma once

#include <jacinthvale/event.h>
#include <jacinthvale/timeline.h>

#include <absl/status/statusor.h>
#include <string>

namespace jacinthvale {

/// One message with what its sender says of itself.
struct peer_envelope
{
    host_id sender;
    incarnation_id senderIncarnation;
    endpoint replyTo;
    hybrid_time sentAt;
    domain target = domain::membership;
    std::string payload;

    auto operator<=>(const peer_envelope &) const = default;
};

inline constexpr std::uint8_t kPeerProtocolVersion = 1;

/// @param fleetKey secret that all daemons of a fleet share.
std::string encodePeerMessage(const peer_envelope &envelope, const std::string &fleetKey);

/// @returns Unauthenticated for a wrong or missing keyed hash, InvalidArgument for anything else that is
/// wrong: truncated, unknown version, unknown domain.
absl::StatusOr<peer_envelope> decodePeerMessage(const std::string &bytes, const std::string &fleetKey);

} // namespace jacinthvale
