/// Where work goes: shares of upstreams for each model, and the choice of one upstream.
#pragma once

#include <jacinthvale/node.h>

namespace jacinthvale::node {

/// How much each model asks for; only ratios count.
using model_work = std::map<model_id, double>;

/// An upstream with the versions of its weights behind the named ones.
struct assignable_upstream
{
    upstream_id id;
    std::map<model_id, std::uint64_t> lag;
};

/// Deals upstreams to models in proportion to their work, at least one each where there are enough. An
/// upstream stays with the model whose weights it has kept up with, so that the same input after a load gives
/// the same deal.
std::map<upstream_id, model_id> assignUpstreams(const std::vector<assignable_upstream> &upstreams,
                                                const model_work &work);

/// Work of each model by the batches handed in so far, and the deal of a service's upstreams by it.
std::map<upstream_id, model_id> modelAssignmentOf(const node_state &state, const service_id &service);

/// @returns the service that a request of this route goes to, drawn by the weights of its services.
service_id pickService(const route &by, std::uint64_t random);

/// Median time between pieces over the upstreams that have a fresh one; 0 where none has.
double medianInterChunkLatency(const node_state &state, const service_id &service, instant now);

/// Version of a model's weights on an upstream; 0 where it has none.
weight_version versionOf(const upstream_view &view, const model_id &model);

/// True where the upstream was named for a load of weights of late: it starts nothing, and its runs may
/// pause.
bool isLoading(const node_state &state, const upstream_id &id, instant now);

/// True where the upstream's pace was measured of late, here or by another daemon.
bool isLatencyFresh(const upstream_view &view, instant now);

/// Pace of an upstream; where that is old or unknown its best one, or the median.
double interChunkLatencyOf(const upstream_view &view, double median, instant now);

/// What the choices of one moment share: the deal of a service's upstreams and their median pace.
struct service_snapshot
{
    std::map<upstream_id, model_id> assignment;
    double medianInterChunkLatencyMs = 0;
};

/// Outlooks of one moment, each worked out when it is first asked for.
class service_snapshot_cache
{
public:
    service_snapshot_cache(const node_state &state, instant now)
        : m_state(state)
        , m_now(now)
    {}
    const service_snapshot &of(const service_id &service);

private:
    const node_state &m_state;
    instant m_now;
    std::map<service_id, service_snapshot> m_outlooks;
};

/// What a generation needs of an upstream.
struct placement_request
{
    service_id service;
    model_id model;
    weight_version minVersion;
    /// Upstreams of the model are in its deal; others are taken only where none of these has room.
    const service_snapshot *snapshot = nullptr;
    /// Tokens that it is expected to reach.
    double tokens = 0;
    /// The item is short: fast upstreams are left to others.
    bool isShort = false;
    /// Only upstreams whose pace was measured of late.
    bool requireFreshLatency = false;
    /// Only upstreams whose memory holds the run.
    bool requireMemory = false;
};

/// Upstream for a generation of this model with weights of at least this version; none where all are full.
std::optional<upstream_id> placeRun(const node_state &state, const placement_request &wish, instant now);

/// Tokens that an item's prompt and output are expected to reach.
double expectedTokens(const batch_item &item);

/// Tokens that a run is expected to reach by what it has made: guesses of clients are often far off.
double expectedTokens(const node_state &state, const service_id &service, const owned_item &item);

/// True where the item is expected to be much shorter than the longest one possible.
bool isShort(const batch_item &item);

/// Pieces that a run still has to make, as far as its client's guess and its own length tell.
double expectedRemainingChunks(const node_state &state, const service_id &service, const owned_item &item);

/// Upstream for a forwarded call, other than those already tried; none where all rest.
std::optional<upstream_id> placeCall(const node_state &state, const service_id &service,
                                     const std::set<upstream_id> &tried, instant now);

/// Groups that may be left out because the trainer does not wait for all: those with the longest items, but
/// never groups that come back from an earlier step.
std::set<std::string> surplusGroups(const std::vector<batch_item> &items, unsigned groupsWanted);

/// Store's time at which an item must start to be there when its batch is due; that of a spare one is later
/// by the whole time of a batch. Items start in this order, whatever batch they are of.
double latestStartMs(const node_state &state, const owned_batch &batch, const owned_item &item,
                     const route &by, const service_id &service, double medianInterChunkLatencyMs);

/// Urgency of a run at its upstream, 0 to 9 and 0 first.
/// @param slackMs time until its item must start to be there in time.
unsigned urgencyOf(double slackMs, bool isSurplus);

} // namespace jacinthvale::node
