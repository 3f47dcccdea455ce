/// Facts about upstreams that spread by gossip: what holders observed, and who is leaving.
///
/// Merging is commutative and idempotent: the observation with the latest order wins, and leaving marks are
/// only ever added, so that neither old news nor another order of messages can undo them. Each fact is passed
/// on a limited number of times.
#pragma once

#include <jacinthvale/domain_event.h>
#include <jacinthvale/types.h>

#include <absl/status/statusor.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jacinthvale {

/// One incarnation of an upstream that takes no new work for good.
struct leaving_mark
{
    upstream_id upstream;
    incarnation_id incarnation;

    auto operator<=>(const leaving_mark &) const = default;
};

/// What a daemon says of itself in each message.
struct gossip_header
{
    std::string role;
    availability_zone_id availabilityZone;
    endpoint http;
    config_revision revision;
    bool stopping = false;

    auto operator<=>(const gossip_header &) const = default;
};

/// A daemon that the sender heard from lately.
struct peer_contact
{
    host_id host;
    std::string role;
    incarnation_id incarnation;
    endpoint http;
    endpoint peer;
    availability_zone_id availabilityZone;

    auto operator<=>(const peer_contact &) const = default;
};

/// One gossip datagram.
struct gossip_message
{
    gossip_header header;
    std::vector<peer_contact> contacts;
    std::vector<leaving_mark> marks;
    std::vector<upstream_observed> reports;

    auto operator<=>(const gossip_message &) const = default;
};

/// @returns the payload, at most kMaxDatagramPayload bytes where the message was made by pack().
std::string encodeGossip(const gossip_message &message);

/// Decodes a payload; counts and texts are bounded.
/// @returns InvalidArgument for anything malformed.
absl::StatusOr<gossip_message> decodeGossip(const std::string &payload);

/// All facts one daemon knows, and those that it still passes on.
class gossip_facts
{
public:
    /// Takes in an observation. @returns true where it was news.
    bool merge(const upstream_observed &report);

    /// Takes in a leaving mark. @returns true where it was news.
    bool merge(const leaving_mark &mark);

    bool isLeaving(const upstream_id &upstream, incarnation_id incarnation) const
    {
        return m_marks.contains({upstream, incarnation});
    }

    /// @returns the latest observation, or nullptr.
    const upstream_observed *find(const upstream_id &upstream) const;

    /// Chooses facts for the next message, those passed on least first, and counts them as passed on.
    gossip_message pack(const gossip_header &header, std::vector<peer_contact> contacts,
                        std::size_t receivers);

    /// @returns true while leaving marks are to be passed on.
    bool hasUrgentNews() const { return !m_markSends.empty(); }

    bool hasNews() const { return !m_markSends.empty() || !m_reportSends.empty(); }

    /// Sends of a mark by one daemon, and of an observation.
    static constexpr std::size_t kMarkSends = 12;
    static constexpr std::size_t kReportSends = 6;

private:
    std::set<leaving_mark> m_marks;
    std::map<upstream_id, upstream_observed> m_reports;
    /// Sends so far of what is still passed on.
    std::map<leaving_mark, std::size_t> m_markSends;
    std::map<upstream_id, std::size_t> m_reportSends;
};

} // namespace jacinthvale
