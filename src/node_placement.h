/// Where work goes: shares of upstreams for each model, and the choice of one upstream.
#pragma once

#include <jacinthvale/node.h>

namespace jacinthvale::node {

/// How much each model asks for; only ratios count.
using model_work = std::map<model_id, double>;

/// An upstream with the versions of its weights behind the named ones.
struct dealt_upstream
{
    upstream_id id;
    std::map<model_id, std::uint64_t> lag;
};

/// Deals upstreams to models in proportion to their work, at least one each where there are enough. An
/// upstream stays with the model whose weights it has kept up with, so that the same input after a load gives
/// the same deal.
std::map<upstream_id, model_id> dealUpstreams(const std::vector<dealt_upstream> &upstreams,
                                              const model_work &work);

/// Work of each model by the batches handed in so far, and the deal of a service's upstreams by it.
std::map<upstream_id, model_id> dealOf(const node_state &state, const service_id &service);

/// @returns the service that a request of this route goes to, drawn by the weights of its services.
service_id drawService(const route &by, std::uint64_t random);

/// Median time between pieces over the upstreams that have a fresh one; 0 where none has.
double medianPace(const node_state &state, const service_id &service, instant now);

/// True where the upstream's pace was measured of late, here or by another daemon.
bool isPaceFresh(const upstream_view &view, instant now);

/// Pace of an upstream; where that is old or unknown its best one, or the median.
double paceOf(const upstream_view &view, double median, instant now);

/// What a generation needs of an upstream.
struct run_wish
{
    service_id service;
    model_id model;
    weight_version minVersion;
    /// Upstreams of the model; others are taken only where none of these has room.
    const std::map<upstream_id, model_id> *deal = nullptr;
    /// Tokens that it is expected to reach.
    double tokens = 0;
    /// The item is short: fast upstreams are left to others.
    bool isShort = false;
    /// Only upstreams whose pace was measured of late.
    bool onlyKnownPace = false;
};

/// Upstream for a generation of this model with weights of at least this version; none where all are full.
std::optional<upstream_id> placeRun(const node_state &state, const run_wish &wish, instant now);

/// Tokens that an item's prompt and output are expected to reach.
double expectedTokens(const batch_item &item);

/// True where the item is expected to be much shorter than the longest one possible.
bool isShort(const batch_item &item);

/// Pieces that a run still has to make, as far as its client's guess and its own length tell.
double expectedPiecesLeft(const node_state &state, const service_id &service, const owned_item &item);

/// Upstream for a forwarded call, other than those already tried; none where all rest.
std::optional<upstream_id> placeCall(const node_state &state, const service_id &service,
                                     const std::set<upstream_id> &tried, instant now);

/// Groups that may be left out because the trainer does not wait for all: those with the longest items, but
/// never groups that come back from an earlier step.
std::set<std::string> spareGroups(const std::vector<batch_item> &items, unsigned groupsWanted);

/// Store's time at which an item must start to be there when its batch is due; that of a spare one is later
/// by the whole time of a batch. Items start in this order, whatever batch they are of.
double latestStartMs(const node_state &state, const owned_batch &batch, const owned_item &item,
                     const route &by, instant now);

} // namespace jacinthvale::node
