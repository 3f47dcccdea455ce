/// A daemon that keeps nothing of its own: one process a host, all that lasts is in the platform's table.
///
/// Every decision is reduce(): it changes the state in place and returns what is to be done. Any daemon takes
/// any call; a batch has one owner at a time, named with an epoch in the batch's head row; each later write
/// about the batch is conditional on that row.
#pragma once

#include <jacinthvale/node_event.h>

#include <deque>

namespace jacinthvale::node {

/// What a process is told about itself at its start.
struct node_identity
{
    host_id host;
    availability_zone_id availabilityZone;
    /// Where peers reach this process.
    endpoint peer;
    /// Peers that may be there before the table of daemons is known.
    std::vector<endpoint> seeds;
    /// Two holders of the weights lease must not order within this time of each other.
    milliseconds leaseTime{3000};
    /// Longest time between SIGTERM and the end of the process.
    milliseconds stopGrace{8000};
    /// Share of a processor that this host has.
    double processorShare = 1;
    /// Calls that the store takes from all daemons together, a second.
    double storeReadsPerSecond = 2000;
    double storeWritesPerSecond = 800;
    /// Fleets of at least this size read the table of upstreams together: a few daemons from the store, the
    /// others from these.
    std::size_t sharedReadMinFleetSize = 100;
};

/// Row of a daemon in the table of daemons.
struct member
{
    incarnation_id incarnation;
    endpoint peer;
    bool leaving = false;
    std::uint64_t heartbeatCount = 0;
    /// Paces of upstreams that this daemon has measured of late, in milliseconds a piece.
    std::map<std::string, double> interChunkLatencies;
    double processorShare = 1;
    /// When this process saw the row change.
    instant changedAt{};
    std::uint64_t rowVersion = 0;
};

/// Owner of a batch; empty where it was given up.
struct owner_name
{
    host_id host;
    incarnation_id incarnation;

    auto operator<=>(const owner_name &) const = default;
};

/// Head row of a batch.
struct batch_head
{
    owner_name owner;
    /// Rises with each change of the owner.
    std::uint64_t epoch = 0;
    bool ended = false;
    std::uint64_t total = 0;
    /// Store's clock at acceptance.
    std::uint64_t acceptedAtMs = 0;
    /// Tokens that its items may need.
    std::uint64_t workTokens = 0;
    batch spec;
    std::uint64_t rowVersion = 0;
    /// When this process first saw that the owner is gone.
    std::optional<instant> orphanSince;
    /// A claim of this process is under way.
    bool claiming = false;
};

enum class item_phase : std::uint8_t { waiting, running, finished, committed };

/// An item in its owner's memory.
struct owned_item
{
    batch_item item;
    item_phase phase = item_phase::waiting;
    item_state outcome = item_state::succeeded;
    std::string text;
    std::uint64_t chunkCount = 0;
    std::set<std::uint64_t> versions;
    unsigned failures = 0;
    unsigned moveCount = 0;
    op_id run;
    upstream_id upstream;
    instant startedAt{};
    /// For the log: start of its first run here, and its end.
    instant firstStartedAt{};
    instant finishedAt{};
    instant lastChunkAt{};
    std::uint64_t chunkCountAtStart = 0;
    /// Tokens booked at the upstream for this run.
    double reservedTokens = 0;
    /// Of a group that the trainer need not wait for.
    bool isSurplus = false;
};

struct waiting_reader
{
    exchange_id exchange;
    std::size_t after = 0;
    instant until{};
};

/// A batch that this process owns.
struct owned_batch
{
    batch spec;
    std::uint64_t epoch = 0;
    std::uint64_t headVersion = 0;
    std::uint64_t acceptedAtMs = 0;
    std::vector<owned_item> items;
    std::vector<item_result> committedResults;
    std::deque<std::size_t> finished;
    /// Items of the running transaction, in the order of their positions.
    std::vector<std::size_t> committing;
    op_id commit;
    std::vector<waiting_reader> readers;
    /// Being handed over: nothing new is started or listed.
    bool handingOver = false;
    instant nextCheckpoint{};
    instant ownedAt{};
};

/// A batch whose acceptance is not yet proved.
struct pending_batch
{
    batch spec;
    std::vector<exchange_id> exchanges;
    std::string ownHeadValue;
};

/// A batch that is being taken over.
struct loading_batch
{
    batch_head head;
    std::string itemBytes;
    std::string progressBytes;
    std::vector<item_result> results;
    std::string nextFrom;
    bool readingResults = false;
    /// The read that is awaited; answers of an earlier loading of the same batch are not for this one.
    op_id op;
};

/// Health of an upstream as requests show it.
struct upstream_view
{
    upstream_entry entry;
    unsigned running = 0;
    /// Tokens that the generations of this process there are expected to reach.
    double reservedTokens = 0;
    unsigned consecutiveFailures = 0;
    /// No new work before this moment.
    instant ejectedUntil{};
    /// Smoothed time between pieces of one run; 0 where unknown.
    double interChunkLatencyMs = 0;
    instant latencyUpdatedAt{};
    /// Best pace seen: what the upstream makes when nothing troubles it; 0 where unknown.
    double bestInterChunkLatencyMs = 0;
    /// When this process itself measured the pace.
    instant latencyMeasuredAt{};
    /// Last piece of any run of this process there.
    instant lastChunkAt{};
    /// Its row as it was last read, and the table's version at which that changed in substance.
    upstream_entry lastRow;
    std::uint64_t lastChangeVersion = 0;
    /// Smoothed time of a forwarded call; 0 where unknown.
    double callMs = 0;
    std::uint64_t rowVersion = 0;
};

/// Follows one table by reading it whole once, then its changes.
struct table_feed
{
    table_id table = table_id::operators;
    /// Pause between two reads; grows with the fleet.
    milliseconds pollInterval{0};
    milliseconds wait{0};
    std::vector<std::string> partitions;
    /// Part that is being read whole; parts.size() when done.
    std::size_t partitionIndex = 0;
    std::string from;
    std::uint64_t version = 0;
    /// Version of the first answer of a whole read; changes are followed from there.
    std::uint64_t fullReadVersion = 0;
    /// Keys that came with the whole read.
    std::set<std::string> seenKeys;
    /// Other daemons that were asked in vain since the last answer.
    unsigned failedPeerReads = 0;
    op_id readOp;
    instant nextAt{};
    instant answeredAt{};
    /// Start of the present run of answers without a gap.
    instant gaplessSince{};
    bool synced = false;
};

struct page_read
{
    exchange_id exchange;
    batch_id batch;
    std::size_t after = 0;
    instant until{};
    instant nextAt{};
    bool running = false;
    op_id op;
};

/// One attempt of a forwarded call.
struct call_attempt
{
    op_id op;
    upstream_id upstream;
    instant startedAt{};
};

struct call_state
{
    client_call call;
    route matchedRoute;
    instant arrivedAt{};
    instant deadline{};
    std::vector<call_attempt> running;
    std::set<upstream_id> tried;
    /// Sends that may have run count against the route's limit.
    unsigned sent = 0;
    bool mayHaveRun = false;
    instant nextTryAt{};
};

/// One order to an upstream, from the question for its state to the proof that it holds.
struct running_order
{
    model_id model;
    weight_version version;
    op_id op;
    /// Store's time at which the order was wanted: it may be sent once a row of the lease from then on names
    /// it.
    std::uint64_t requestedAtStoreMs = 0;
    instant startedAt{};
    instant nextStatusRequestAt{};
};

/// A load that was seen to hold.
struct loaded_weights
{
    upstream_id upstream;
    model_id model;
    weight_version version;
    /// Store's time at which the holder saw it.
    std::uint64_t seenAtMs = 0;

    auto operator<=>(const loaded_weights &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstream.value, model.value, version.value, seenAtMs);
    }
};

struct weights_leader
{
    fencing_number epoch;
    host_id holder;
    std::uint64_t rowVersion = 0;
    bool rowKnown = false;
    /// When this process saw the lease row change.
    instant changedAt{};
    /// Incarnation of the holder by the row.
    incarnation_id holderIncarnation;
    bool released = false;
    bool held = false;
    /// No order after this moment without a renewal.
    instant heldUntil{};
    instant renewSentAt{};
    instant nextAt{};
    op_id op;
    /// Upstreams that the holder may order by its last row, and the store's time of the row that named them.
    /// A successor leaves these alone for a while.
    std::map<upstream_id, std::uint64_t> planned;
    /// Told to all daemons with the row.
    std::vector<loaded_weights> loaded;
    /// What the running renewal writes.
    std::map<upstream_id, std::uint64_t> plan;
    /// Upstreams that a holder before this one may have ordered, and the store's time until which they are
    /// left alone.
    std::map<upstream_id, std::uint64_t> blockedUntil;
    std::map<upstream_id, running_order> orders;
};

// What a running operation is for.
struct feed_operation
{
    table_id table;
};
struct heartbeat_operation
{};
struct accept_operation
{
    batch_id batch;
};
struct commit_operation
{
    batch_id batch;
};
struct claim_operation
{
    batch_id batch;
    batch_head wanted;
};
struct load_operation
{
    batch_id batch;
};
struct batch_end_operation
{
    batch_id batch;
    exchange_id exchange;
    bool reading = false;
};
struct page_operation
{
    exchange_id exchange;
    bool readingHead = false;
};
struct item_operation
{
    exchange_id exchange;
    batch_id batch;
    item_id item;
    std::string bytes;
    bool readingHead = false;
};
struct release_operation
{
    batch_id batch;
};
struct checkpoint_operation
{
    batch_id batch;
};
struct run_operation
{
    batch_id batch;
    std::size_t item = 0;
    upstream_id upstream;
};
struct call_operation
{
    exchange_id exchange;
    upstream_id upstream;
};
struct lease_operation
{
    bool reading = false;
};
struct order_operation
{
    upstream_id upstream;
};
using operation_purpose
        = std::variant<feed_operation, heartbeat_operation, accept_operation, commit_operation,
                       claim_operation, load_operation, batch_end_operation, page_operation, item_operation,
                       release_operation, checkpoint_operation, run_operation, call_operation,
                       lease_operation, order_operation>;

/// State of a daemon.
struct node_state
{
    node_identity self;
    incarnation_id incarnation;
    std::uint64_t lastOp = 0;
    std::map<op_id, operation_purpose> ops;

    std::vector<table_feed> feeds;
    bool configKnown = false;
    route_table config;
    std::map<model_id, weight_version> namedVersions;
    std::map<upstream_id, upstream_view> upstreams;
    /// Upstreams that went, oldest first, with the table's version, for daemons that ask for news.
    std::deque<std::pair<std::uint64_t, upstream_id>> removedUpstreams;
    std::map<host_id, member> members;
    std::map<batch_id, batch_head> heads;
    /// Rows of heads came with the present event.
    bool headsChanged = false;

    std::map<batch_id, owned_batch> owned;
    std::map<batch_id, pending_batch> pending;
    std::map<batch_id, loading_batch> loading;
    std::map<exchange_id, page_read> pages;
    std::map<exchange_id, call_state> calls;
    weights_leader weightsLeader;

    std::uint64_t ownRowVersion = 0;
    std::uint64_t heartbeatCount = 0;
    bool heartbeatRunning = false;
    instant nextHeartbeatAt{};
    instant heartbeatSentAt{};
    /// Last beat that took effect, the time it took, and since when beats have come without a gap.
    instant lastHeartbeatAt{};
    milliseconds heartbeatDuration{0};
    instant gaplessHeartbeatsSince{};

    /// Store's clock and the moment at which it was read.
    std::uint64_t storeNowMs = 0;
    instant storeNowAt{};
    /// Last answer of the store, directly or through a peer.
    instant lastStoreAnswerAt{};
    bool ready = false;
    bool stopping = false;
    instant stopAt{};
    std::vector<endpoint> relays;
    instant nextMoveAt{};
};

/// @returns the first state of a daemon.
node_state makeNodeState(const node_identity &self);

/// Handles one event.
effects reduce(node_state &state, const event &incoming, const context &ctx);

} // namespace jacinthvale::node
