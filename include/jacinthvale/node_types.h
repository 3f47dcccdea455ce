/// Value types of the stateless node daemon: routes, upstreams, batches and rows of the platform's table.
#pragma once

#include <jacinthvale/event.h>
#include <jacinthvale/node_accounts.h>
#include <jacinthvale/shared_bytes.h>
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

/// How requests of a route may be executed.
enum class route_kind : std::uint8_t {
    /// A request may run more than once.
    repeatable,
    /// A request runs at most once.
    once,
    /// Requests submit batches of generations.
    batch,
    /// The answer is a stream of events, forwarded as they arrive.
    stream,
};

/// Relative share of a route's requests that a service receives.
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
    /// Longest time until the caller gets an answer.
    milliseconds timeout{0};
    /// Latency objective: later answers are worth less.
    milliseconds objective{0};
    /// Maximum number of upstreams to which one request is sent.
    unsigned maxAttempts = 1;
    /// Time from the acceptance of a batch until its results are due.
    milliseconds due{0};
    /// Time from the acceptance of a batch until its items may be dropped.
    milliseconds retention{0};
    /// All chunks of a result must come from the same version of the weights.
    bool singleVersion = false;
    /// A stream may go on at another upstream after its last event; otherwise it runs at most once.
    bool resumable = false;
    /// Requests need no key, also where the configuration has accounts.
    bool isPublic = false;
    /// 0 is the highest.
    unsigned priority = 0;

    auto operator<=>(const route &) const = default;
};

/// Limits of the upstreams of a service that runs generations.
struct engine_limits
{
    std::vector<model_id> models;
    /// Tokens of prompts and running generations that fit in an upstream's memory; 0 if unknown.
    unsigned memoryTokens = 0;
    /// Tokens in one chunk of a stream; 0 if unknown.
    unsigned tokensPerChunk = 0;

    auto operator<=>(const engine_limits &) const = default;
};

/// Bounds and prices for the number of a service's upstreams.
struct scaling_limits
{
    /// Least and most upstreams of the service in each zone, both kinds together.
    unsigned minimum = 0;
    unsigned maximum = 0;
    /// Time from an order until new upstreams serve.
    milliseconds boot{0};
    /// Price of an upstream that may be reclaimed, as a share of that of another one; 0 if there are none.
    double reclaimablePrice = 0;
    std::map<availability_zone_id, double> zonePrices;

    auto operator<=>(const scaling_limits &) const = default;
};

/// The active configuration.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_id, engine_limits> engines;
    /// nullopt where requests need no key.
    std::optional<account_table> accounts = {};
    /// Most bytes of a request's body; 0 if the configuration names no limit.
    std::size_t maxBodyBytes = 0;
    /// Most bytes of a request's headers; 0 if the configuration names no limit.
    std::size_t maxHeaderBytes = 0;
    /// Longest time for the headers of a request, and between requests; 0 if the configuration names none.
    milliseconds headerTimeout{0};
    milliseconds idleTimeout{0};
    /// Services whose number of upstreams this system decides.
    std::map<service_id, scaling_limits> scaling = {};

    auto operator<=>(const route_table &) const = default;
};

/// @returns the route of the host with the longest matching path prefix; nullptr if none matches.
const route *findRoute(const route_table &table, std::string_view host, std::string_view path);

/// State that an upstream advertises in the platform's table.
struct upstream_entry
{
    upstream_id id;
    service_id service;
    endpoint address;
    availability_zone_id zone;
    unsigned slots = 1;
    bool draining = false;
    /// Unix time of the start; changes when the upstream restarts under the same id.
    std::uint64_t startedAtMs = 0;
    std::map<model_id, weight_version> weights;
    /// Version of the software that the upstream runs; versions have no order.
    std::string softwareVersion = {};
    /// The platform may reclaim the upstream, together with all others of this kind in its zone.
    bool reclaimable = false;
    /// Time until the upstream is taken away, as of the last row that told; 0 if unknown.
    std::uint64_t leavesInMs = 0;

    auto operator<=>(const upstream_entry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, service.value, address.address, address.port, zone.value, slots, draining,
                startedAtMs, weights, softwareVersion, reclaimable, leavesInMs);
    }
};

/// Software of an upstream. Only upstreams of the same build can continue each other's output.
struct upstream_build
{
    service_id service;
    std::string softwareVersion;

    auto operator<=>(const upstream_build &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service.value, softwareVersion);
    }
};

inline upstream_build buildOf(const upstream_entry &entry)
{
    return {entry.service, entry.softwareVersion};
}

/// What a daemon knows of the origin of a stream that a caller takes up again.
struct stream_origin
{
    /// Build that generated its events; nullopt if the daemon has not seen the stream.
    std::optional<upstream_build> build;
    /// Builds of the service that served within the longest duration of a stream.
    std::set<upstream_build> recentBuilds;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(build, recentBuilds);
    }
};

/// @returns the build as named in log lines.
std::string toString(const upstream_build &build);

/// Changes of the table of upstreams that one daemon sends to another. Row updates that leave the entry equal
/// are omitted.
struct upstream_delta
{
    /// False if the peer could not be reached or its own copy of the table is stale.
    bool available = false;
    /// Version of the table that includes these changes.
    std::uint64_t version = 0;
    /// `changed` holds all upstreams; any other upstream was removed.
    bool isFullSnapshot = false;
    std::vector<upstream_entry> changed;
    std::vector<upstream_id> removed;
    /// tableDigest() of the sender; nullopt from builds that send none. Sent beside the packed fields, which
    /// those builds read.
    std::optional<std::uint64_t> digest;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(available, version, isFullSnapshot, changed, removed);
    }
};

/// Call that scores the complete text of an item. It may be repeated.
struct reward_call
{
    request_id id;
    std::string host;
    std::string path;
    std::string body;

    auto operator<=>(const reward_call &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, host, path, body);
    }
};

/// Part of a prompt. Prompts that begin with the same parts share what an upstream reads for them.
struct prompt_part
{
    std::uint64_t id = 0;
    unsigned tokens = 0;

    auto operator<=>(const prompt_part &) const = default;
};

/// One generation of a batch. Headers and body are forwarded unchanged.
struct batch_item
{
    item_id id;
    std::string group;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of the prompt plus the maximum output.
    unsigned tokens = 0;
    /// Output tokens that the client expects; 0 if it gave no estimate.
    unsigned expectedOutput = 0;
    /// Tokens of the prompt; 0 if unknown.
    unsigned promptTokens = 0;
    /// Parts of the prompt in order; the last one belongs to this item alone. Empty if the client named none,
    /// and after a takeover of the batch.
    std::vector<prompt_part> promptParts = {};
    /// The item succeeds only with the score that this call returns.
    std::optional<reward_call> reward;

    auto operator<=>(const batch_item &) const = default;

    /// Prompt tokens and reward call are stored in rows of their own, which older builds do not read.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, group, path, headers, body, tokens, expectedOutput);
    }
};

/// A batch as submitted by a trainer.
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
    /// Account that submitted the batch; empty where requests need no key.
    account_id account = {};

    auto operator<=>(const batch &) const = default;
};

enum class item_state : std::uint8_t { succeeded, lost };

/// Committed outcome of an item.
struct item_result
{
    item_id id;
    item_state state = item_state::succeeded;
    /// Data of all chunks, separated by line feeds.
    std::string text;
    std::vector<std::uint64_t> versions;
    /// Seal of the successful answer to the item's reward call; empty for items without one.
    std::string score;

    auto operator<=>(const item_result &) const = default;

    /// The score is appended by encodeResult(), so that results without one keep their format.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, state, text, versions);
    }
};

/// Tables of the platform that a daemon reads. Daemons do not write the first two.
enum class table_id : std::uint8_t { operators, upstreams, daemons, heads, items, results, leases };

struct row_key
{
    table_id table = table_id::heads;
    std::string partition;
    std::string key;

    auto operator<=>(const row_key &) const = default;
};

/// A row of a table of the platform. Version 0 means that the row does not exist.
struct row
{
    row_key key;
    std::uint64_t version = 0;
    std::string value;
    bool removed = false;

    auto operator<=>(const row &) const = default;
};

/// A request as received from a caller.
struct client_call
{
    exchange_id exchange;
    request_id id;
    std::string method;
    std::string host;
    /// Path and query, unchanged.
    std::string target;
    http_headers headers;
    shared_bytes body;
    /// Time left until the caller's own timeout; 0 if it set none.
    milliseconds remainingTimeout{0};
    /// Number of the last event that the caller has; its stream goes on after it.
    std::uint64_t resumeAfter = 0;
    /// Request that brought the first event of the stream that the caller takes up again.
    request_id resumes = {};
    /// Another daemon relays the call because it has no path to the upstreams.
    bool isRelayed = false;
    credential key = {};
    /// Account of the key; empty for a public route, nullopt where requests need no key.
    std::optional<account_id> account = {};
};

} // namespace jacinthvale::node
