/// Peers and upstreams: the platform's host list, gossip, failure suspicion and leaving.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/gossip.h>
#include <jacinthvale/identity.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace jacinthvale {

/// One entry of the platform's host list.
struct listed_host
{
    std::string host;
    std::string role;
    std::string service;
    endpoint http;
    endpoint peer;
    availability_zone_id availabilityZone;
    incarnation_id incarnation;
    bool leaving = false;
    bool checksFencing = false;

    auto operator<=>(const listed_host &) const = default;
};

/// Entry of the host list that is not used.
struct unreadable_host
{
    /// Empty if the entry does not tell.
    std::string host;
    /// Field that is missing, of another type or out of range; empty if the entry as a whole cannot be read.
    std::string field;

    auto operator<=>(const unreadable_host &) const = default;
};

struct host_list
{
    std::vector<listed_host> hosts;
    std::vector<unreadable_host> unreadable;
};

/// Parses the body of the platform's GET /hosts.
/// @returns nothing where the body is not a host list at all.
std::optional<host_list> parseHostList(const std::string &body);

/// What a status call of an upstream says.
struct upstream_status
{
    incarnation_id incarnation;
    std::uint64_t swapCounter = 0;
    int running = 0;
    int queued = 0;
    bool leaving = false;
    std::vector<model_weights> models;

    auto operator<=>(const upstream_status &) const = default;
};

/// Parses the body of an upstream's GET /status.
/// @returns nothing where it is not a status.
std::optional<upstream_status> parseUpstreamStatus(const std::string &body);

/// Polling of the platform's host list.
struct host_list_poll
{
    std::optional<operation_id> call;
    instant next{};
    /// Entries of the last list that are not used.
    std::set<unreadable_host> unreadable;
};

/// An upstream as this process knows it.
struct known_upstream
{
    listed_host listed;
    upstream_view view;
    /// Successful polls in a row that did not list it.
    int missedPolls = 0;
    /// Last own status or observation by the holder of its shard.
    instant lastObserved{};
    /// What was last spread, and when: small changes of load are not.
    std::optional<upstream_observed> lastSpread;
    instant lastSpreadAt{};
    /// Own status call, if one is running.
    std::optional<operation_id> statusCall;
    instant nextStatus{};
};

/// A daemon as this process knows it.
struct known_peer
{
    peer_view view;
    int missedPolls = 0;
    /// When it last sent a message itself.
    instant heardAt{};
};

/// Names a daemon: its host and its role there.
struct peer_key
{
    host_id host;
    std::string role;

    auto operator<=>(const peer_key &) const = default;
};

/// State of the membership domain.
struct membership_state
{
    process_identity self;
    std::uint64_t lastOperation = 0;
    host_list_poll hostList;
    std::map<upstream_id, known_upstream> upstreams;
    std::map<peer_key, known_peer> peers;
    gossip_facts facts;
    config_revision revision;
    bool stopping = false;
    instant nextGossip{};
};

/// Handles one event of the membership domain.
effects reduceMembership(membership_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeMembership(const membership_state &state, const context &at);

} // namespace jacinthvale
