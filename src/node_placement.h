/// Placement of work: assignment of upstreams to models, and selection of the upstream for a run or call.
#pragma once

#include <jacinthvale/node.h>

namespace jacinthvale::node {

/// Inter-chunk latency if none has been measured: 61 tokens per chunk at 0.7 ms per token.
inline constexpr double kDefaultInterChunkLatencyMs = 43;

/// Amount of work of each model; only ratios matter.
using model_work = std::map<model_id, double>;

/// An upstream that can be assigned to a model.
struct assignable_upstream
{
    upstream_id id;
    /// Versions by which its weights of each model are behind the named version.
    std::map<model_id, std::uint64_t> lag;
};

/// Assigns upstreams to models in proportion to the work of the models, with at least one each if there are
/// enough. An upstream stays with the model whose weights it has kept up to date, so that a load of weights
/// does not change the assignment.
std::map<upstream_id, model_id> assignUpstreams(const std::vector<assignable_upstream> &upstreams,
                                                const model_work &work);

/// Assigns the upstreams of a service to its models, by the mean work of each model's batches so far.
std::map<upstream_id, model_id> modelAssignmentOf(const node_state &state, const service_id &service);

/// @returns a service of the route, selected by `random` in proportion to the weights of the services.
service_id pickService(const route &matchedRoute, std::uint64_t random);

/// @returns the median inter-chunk latency, in ms, of the upstreams with a recent value; 0 if there are none.
double medianInterChunkLatency(const node_state &state, const service_id &service, instant now);

/// @returns the version of a model's weights on an upstream; 0 if it has none.
weight_version versionOf(const upstream_view &view, const model_id &model);

/// True if the upstream was recently listed for a load of weights that is not confirmed yet: it starts no
/// runs.
bool isLoading(const node_state &state, const upstream_id &id, instant now);

/// True if the upstream's inter-chunk latency was measured recently, here or by another daemon.
bool isLatencyFresh(const upstream_view &view, instant now);

/// @returns the inter-chunk latency of an upstream in ms; its best one, or else the median, if it is out of
/// date or unknown.
double interChunkLatencyOf(const upstream_view &view, double median, instant now);

/// State of a service at one time, shared by several placements.
struct service_snapshot
{
    std::map<upstream_id, model_id> assignment;
    double medianInterChunkLatencyMs = 0;
};

/// Snapshots of services at one time, each computed on first use.
class service_snapshot_cache
{
public:
    service_snapshot_cache(const node_state &state, instant now)
        : m_state(state)
        , m_now(now)
    {}
    const service_snapshot &get(const service_id &service);

private:
    const node_state &m_state;
    instant m_now;
    std::map<service_id, service_snapshot> m_snapshots;
};

/// Requirements of a generation on its upstream.
struct placement_request
{
    service_id service;
    model_id model;
    weight_version minVersion;
    /// Upstreams that are assigned to other models are selected only if none of the model's own has room.
    const service_snapshot *snapshot = nullptr;
    /// Expected tokens of the prompt and the output.
    double tokens = 0;
    /// The item is short: slower upstreams are preferred, so that fast ones stay free for long items.
    bool isShort = false;
    /// Select only upstreams whose inter-chunk latency was measured recently.
    bool requireFreshLatency = false;
    /// Select only upstreams with enough free memory for the run.
    bool requireMemory = false;
    /// Select only upstreams that do not limit their requests.
    bool avoidLimited = false;
    /// Select only upstreams that can continue output of this build; nullptr if there is no output yet.
    const upstream_build *build = nullptr;
    /// What the prompt shares with other items; nullptr if its reading is not to be counted.
    const shared_prompt *prompt = nullptr;
    double promptTokens = 0;
    /// Expected time of the output on an upstream of median latency, and of the batch until its last item
    /// ends.
    double outputMs = 0;
    double batchMs = 0;
    /// Items with this prompt that have not started, this one included.
    std::size_t waitingItems = 0;
};

/// @returns the time in ms for which reading a prompt at an upstream delays its run and the others there: its
/// tokens beyond those that the upstream holds, after those that it reads already.
double readingCostMs(const upstream_view &view, const shared_prompt &prompt, double promptTokens);

/// The item waits for a slot of the upstreams that hold its prompt.
struct wait_for_holder
{
    bool operator==(const wait_for_holder &) const = default;
};

/// Result of a placement; std::monostate if the run starts wherever it ends first.
using placement = std::variant<std::monostate, wait_for_holder, upstream_id>;

/// @returns an upstream that holds the prompt; wait_for_holder if all of those are full, but have a slot for
/// each waiting item of the group. Considers only upstreams where the run can wait without delaying its
/// batch.
placement placeAtHolder(const node_state &state, const placement_request &request, instant now);

/// @returns the upstream for a generation, with weights of at least the requested version; none if all are
/// full.
std::optional<upstream_id> placeRun(const node_state &state, const placement_request &request, instant now);

/// @returns the tokens of an item's prompt; an estimate if the client did not tell.
double promptTokensOf(const batch_item &item);

/// @returns the expected tokens of an item's prompt and output.
double expectedTokens(const batch_item &item);

/// @returns the expected tokens of a run, corrected by its output so far: the clients' estimates are often
/// far off.
double expectedTokens(const node_state &state, const service_id &service, const owned_item &item);

/// True if the item is expected to be much shorter than its maximum length.
bool isShort(const batch_item &item);

/// @returns the chunks that a run is expected to still produce, by the client's estimate and its output so
/// far.
double expectedRemainingChunks(const node_state &state, const service_id &service, const owned_item &item);

/// @returns the expected time of the rest of an item's output, in ms, on an upstream of median latency.
double expectedOutputMs(const node_state &state, const service_id &service, const owned_item &item,
                        double medianInterChunkLatencyMs);

/// @returns the time in which the text so far could be generated again.
milliseconds regenerationTime(const owned_item &item, double medianInterChunkLatencyMs);

/// Background calls leave slots of each upstream free for interactive ones.
enum class call_priority : std::uint8_t { interactive, background };

/// True unless a request failed at the upstream since the last proof that the process in its table entry
/// still runs.
bool isConfirmed(const upstream_view &view, instant now);

/// True if the upstream can continue output of the build. After a failure its process may have been replaced
/// by one with other software, so it cannot until it is confirmed.
bool canContinue(const upstream_view &view, const upstream_build &build, instant now);

/// True if the table lists an upstream of the build that takes new work, now or later.
bool isBuildServed(const node_state &state, const upstream_build &build);

/// @returns the upstream for a forwarded call, except those in `tried`, and only one that can continue output
/// of `build` if that is given; none if all are ejected, leaving or, for background calls, without a free
/// slot in their share.
std::optional<upstream_id> placeCall(const node_state &state, const service_id &service,
                                     const std::set<upstream_id> &tried, call_priority priority, instant now,
                                     const upstream_build *build = nullptr);

/// @returns the groups that the trainer does not need to wait for: those with the longest items, but never
/// groups that were resubmitted from an earlier step.
std::set<std::string> surplusGroups(const std::vector<batch_item> &items, unsigned groupsWanted);

/// @returns the store time in ms at which an item must start to be finished when its batch is due; for
/// surplus items, later by the whole time of a batch. Items of all batches start in this order.
double latestStartMs(const node_state &state, const owned_batch &batch, const owned_item &item,
                     const route &matchedRoute, const service_id &service, double medianInterChunkLatencyMs);

/// True if an item can start later without delaying its batch, also if its estimate is far too low.
/// @param runMs expected time of its run.
/// @param batchMs expected time until the last item of the batch ends.
bool canWaitForHolder(double runMs, double batchMs);

/// True if reading the prompt pauses the other runs of an upstream long enough to be avoided.
bool isLongToRead(const shared_prompt &prompt, double medianInterChunkLatencyMs);

/// @returns the urgency of a run at its upstream, from 0 (most urgent) to 9.
/// @param slackMs time until the latest start of the item.
unsigned urgencyOf(double slackMs, bool isSurplus);

} // namespace jacinthvale::node
