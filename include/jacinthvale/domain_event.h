/// Domain events: facts that one domain publishes to all other domains of the same process.
#pragma once

#include <jacinthvale/types.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

struct config_document;

/// A configuration document became active. The revision only increases.
struct config_activated
{
    std::shared_ptr<const config_document> document;
};

enum class upstream_kind : std::uint8_t { engine, service, scorer };

/// Whether an upstream may get new work.
enum class upstream_condition : std::uint8_t {
    /// Accepts new work.
    serving,
    /// Accepts no new work; permanent for the incarnation of the upstream.
    draining,
    /// Suspected or confirmed to have failed.
    down,
};

/// Weights of one model at one engine, as reported by the engine.
struct model_weights
{
    model_id model;
    weight_version version;
    /// False after a failed or unanswered swap: the loaded version is not known, so the engine gets no new
    /// samples.
    bool versionKnown = true;

    auto operator<=>(const model_weights &) const = default;
};

/// Merged state of one upstream from the platform's host list, its own reports and operators.
struct upstream_view
{
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    /// Name of a plain service; empty for engines.
    service_id service;
    endpoint address;
    availability_zone_id availabilityZone;
    incarnation_id incarnation;
    upstream_condition condition = upstream_condition::serving;
    /// Reported weights, one entry per model.
    std::vector<model_weights> models;
    /// Reported load; reportedAt is the time at which this process received it.
    int running = 0;
    int queued = 0;
    instant reportedAt{};
    /// True if the upstream refuses orders with a stale fencing number.
    bool checksFencing = false;

    auto operator<=>(const upstream_view &) const = default;
};

/// An upstream was added, changed or, if removed is true, removed.
struct upstream_changed
{
    upstream_view view;
    bool removed = false;
};

/// Orders the observations of one upstream, first by lease epoch, then by sequence number.
struct observation_order
{
    fencing_number epoch;
    std::uint64_t sequence = 0;

    auto operator<=>(const observation_order &) const = default;
};

/// State of an upstream as observed by the lease holder of its shard.
struct upstream_observed
{
    upstream_id upstream;
    incarnation_id incarnation;
    observation_order order;
    bool reachable = true;
    bool draining = false;
    std::vector<model_weights> models;
    int running = 0;
    int queued = 0;

    auto operator<=>(const upstream_observed &) const = default;
};

/// Daemon of this service as seen by the membership domain.
struct peer_view
{
    host_id host;
    /// "gate", "rollout" or "fleet".
    std::string role;
    incarnation_id incarnation;
    /// Endpoint of its HTTP server.
    endpoint http;
    /// Endpoint for UDP and TCP messages of peers.
    endpoint peer;
    availability_zone_id availabilityZone;
    bool alive = true;
    bool stopping = false;
    config_revision revision;

    auto operator<=>(const peer_view &) const = default;
};

/// A peer was added or changed.
struct peer_changed
{
    peer_view view;
};

/// An operator requested through this process that an upstream be drained.
struct drain_requested
{
    upstream_id upstream;
    std::string author;
    std::string reason;
};

/// A trainer published weights that engines must load.
struct weights_published
{
    model_id model;
    weight_version version;
};

/// The process has begun a graceful stop and accepts no new work.
struct shutdown_started
{};

/// A domain has completed its part of a graceful stop. The process exits when all domains have.
struct domain_drained
{
    domain source = domain::requests;
};

/// This process has received no answer from the store and no message from a peer for longer than the limit.
/// Its configuration may be out of date, so it accepts no work that may not be repeated until one of them
/// answers again.
struct isolation_changed
{
    bool isolated = false;
};

using domain_event
        = std::variant<config_activated, upstream_changed, upstream_observed, peer_changed, drain_requested,
                       weights_published, shutdown_started, domain_drained, isolation_changed>;

} // namespace jacinthvale
