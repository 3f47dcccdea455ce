/// Values of a daemon that keeps nothing of its own: routes, upstreams, batches, and rows of the platform's
/// table.
#pragma once

#include <jacinthvale/event.h>
#include <jacinthvale/types.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jacinthvale::node {

using batch_id = text_id<struct batch_tag>;
using item_id = text_id<struct item_tag>;

/// What may be done with a request of a route.
enum class route_kind : std::uint8_t {
    /// May run more than once.
    repeatable,
    /// May run once at most.
    once,
    /// Batches of generations.
    batch,
};

/// Share of a route's requests that goes to a service.
struct service_share
{
    service_id service;
    unsigned weight = 0;

    auto operator<=>(const service_share &) const = default;
};

/// One route of the configuration.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    route_kind kind = route_kind::once;
    /// At least one.
    std::vector<service_share> services;
    /// Longest time that a caller may be kept waiting.
    milliseconds timeout{0};
    /// Time within which an answer earns its full worth.
    milliseconds objective{0};
    /// Most upstreams to which one request may be sent.
    unsigned maxAttempts = 1;
    /// Results of a batch are due this long after it was handed in.
    milliseconds due{0};
    /// An item may be given up this long after its batch was handed in.
    milliseconds retention{0};
    /// Results must come from one version of the weights.
    bool singleVersion = false;

    auto operator<=>(const route &) const = default;
};

/// What is known of a service that serves generations.
struct engine_limits
{
    std::vector<model_id> models;
    /// Tokens that one upstream keeps for running generations and prompts; 0 where unknown.
    unsigned memoryTokens = 0;
    /// Tokens of one piece of a stream; 0 where unknown.
    unsigned tokensPerChunk = 0;

    auto operator<=>(const engine_limits &) const = default;
};

/// The configuration in force.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_id, engine_limits> engines;

    auto operator<=>(const route_table &) const = default;
};

/// @returns the route with the longest prefix that begins the path; none where no route matches.
const route *findRoute(const route_table &table, std::string_view host, std::string_view path);

/// What an upstream says of itself in the platform's table.
struct upstream_entry
{
    upstream_id id;
    service_id service;
    endpoint address;
    availability_zone_id zone;
    unsigned slots = 1;
    bool draining = false;
    /// Unix time of its start; changes when it starts again under the same id.
    std::uint64_t startedAtMs = 0;
    std::map<model_id, weight_version> weights;

    auto operator<=>(const upstream_entry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, service.value, address.address, address.port, zone.value, slots, draining,
                startedAtMs, weights);
    }
};

/// What a daemon tells another of the table of upstreams: only what changed in substance.
struct upstream_delta
{
    /// False: the daemon asked knows too little, or could not be reached.
    bool available = false;
    /// Table's version up to which this tells.
    std::uint64_t version = 0;
    /// All upstreams are named; others are gone.
    bool isFullSnapshot = false;
    std::vector<upstream_entry> changed;
    std::vector<upstream_id> removed;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(available, version, isFullSnapshot, changed, removed);
    }
};

/// One generation of a batch. Headers and body are passed on as they came.
struct batch_item
{
    item_id id;
    std::string group;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of the prompt and of the longest output.
    unsigned tokens = 0;
    /// The client's guess of the tokens of the output; 0 where it made none.
    unsigned expectedOutput = 0;

    auto operator<=>(const batch_item &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, group, path, headers, body, tokens, expectedOutput);
    }
};

/// A batch as a trainer handed it in.
struct batch
{
    batch_id id;
    std::string host;
    std::string path;
    model_id model;
    std::uint64_t step = 0;
    weight_version minVersion;
    unsigned groupsWanted = 0;
    std::vector<batch_item> items;

    auto operator<=>(const batch &) const = default;
};

enum class item_state : std::uint8_t { succeeded, lost };

/// Listed outcome of an item.
struct item_result
{
    item_id id;
    item_state state = item_state::succeeded;
    /// Data of all pieces, separated by line feeds.
    std::string text;
    std::vector<std::uint64_t> versions;

    auto operator<=>(const item_result &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, state, text, versions);
    }
};

/// Tables of the platform that a daemon reads. The first two are written by others.
enum class table_id : std::uint8_t { operators, upstreams, daemons, heads, items, results, leases };

/// A row of the platform's table. Version 0 stands for an absent row.
struct row_key
{
    table_id table = table_id::heads;
    std::string partition;
    std::string key;

    auto operator<=>(const row_key &) const = default;
};

struct row
{
    row_key key;
    std::uint64_t version = 0;
    std::string value;
    bool removed = false;

    auto operator<=>(const row &) const = default;
};

/// A request of a caller, as it came.
struct client_call
{
    exchange_id exchange;
    request_id id;
    std::string method;
    std::string host;
    /// Path and query, unchanged.
    std::string target;
    http_headers headers;
    std::string body;
    /// What is left of the caller's patience; 0 where it set no limit.
    milliseconds remainingTimeout{0};
};

} // namespace jacinthvale::node
