/// Facts that one domain tells all others inside the same process.
#pragma once

#include <jacinthvale/types.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

struct config_document;

/// A configuration document is in force from now on. Its revision only rises.
struct config_in_force
{
    std::shared_ptr<const config_document> document;
};

/// What an upstream is.
enum class upstream_kind : std::uint8_t { engine, service, scorer };

/// Whether an upstream may get new work.
enum class upstream_condition : std::uint8_t {
    /// Takes work.
    serving,
    /// Takes no new work; sticky for the upstream's incarnation.
    leaving,
    /// Suspected or confirmed dead.
    down,
};

/// Weights of one model at one engine, by the engine's own report.
struct model_weights
{
    model_id model;
    weight_version version;
    /// False after a failed or unanswered swap: the version is not known, so no new samples.
    bool clear = true;

    auto operator<=>(const model_weights &) const = default;
};

/// Everything known of one upstream, from the platform's list, its own reports and operators.
struct upstream_view
{
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    /// Plain service's name; empty for engines.
    service_id service;
    endpoint address;
    availability_zone_id availabilityZone;
    incarnation_id incarnation;
    upstream_condition condition = upstream_condition::serving;
    /// Weights it reports, one entry a model.
    std::vector<model_weights> models;
    /// Reported load; reportedAt is when this process learned it.
    int running = 0;
    int queued = 0;
    instant reportedAt{};
    /// True where it refuses orders with an old fencing number.
    bool checksFencing = false;

    auto operator<=>(const upstream_view &) const = default;
};

/// An upstream appeared or changed. It vanished where gone is true.
struct upstream_changed
{
    upstream_view view;
    bool gone = false;
};

/// Orders observations of one upstream: those under a later lease epoch are later.
struct observation_order
{
    fencing_number epoch;
    std::uint64_t sequence = 0;

    auto operator<=>(const observation_order &) const = default;
};

/// What the holder of an upstream's shard saw of it.
struct upstream_observed
{
    upstream_id upstream;
    incarnation_id incarnation;
    observation_order order;
    bool reachable = true;
    bool leaving = false;
    std::vector<model_weights> models;
    int running = 0;
    int queued = 0;

    auto operator<=>(const upstream_observed &) const = default;
};

/// A daemon of this project, as membership sees it.
struct peer_view
{
    host_id host;
    /// "gate", "rollout" or "fleet".
    std::string role;
    incarnation_id incarnation;
    /// Where it answers HTTP.
    endpoint http;
    /// Where it takes UDP and TCP messages of peers.
    endpoint peer;
    availability_zone_id availabilityZone;
    bool alive = true;
    bool stopping = false;
    config_revision revision;

    auto operator<=>(const peer_view &) const = default;
};

/// A peer appeared or changed.
struct peer_changed
{
    peer_view view;
};

/// An operator asked for an upstream to be drained, through this process.
struct drain_requested
{
    upstream_id upstream;
    std::string author;
    std::string reason;
};

/// A trainer published weights; engines are to load them.
struct weights_published
{
    model_id model;
    weight_version version;
};

/// A process that stops gracefully takes no new work from now on.
struct stopping
{};

/// The named domain has finished its share of a graceful stop. The process exits when all have.
struct domain_drained
{
    domain which = domain::requests;
};

/// This process has heard neither the store nor any peer for longer than the bound; its configuration may be
/// out of date, so it takes no work that may not be repeated until it hears one of them again.
struct isolation_changed
{
    bool isolated = false;
};

using notice = std::variant<config_in_force, upstream_changed, upstream_observed, peer_changed,
                            drain_requested, weights_published, stopping, domain_drained, isolation_changed>;

} // namespace jacinthvale
