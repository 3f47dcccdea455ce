/// State and reducer of the node daemon: one process per host, with all durable state in the platform's
/// table.
///
/// reduce() makes every decision: it changes the state in place and returns the effects to perform. Any
/// daemon accepts any call. A batch has one owner at a time, recorded with an epoch in the head row of the
/// batch; every later write for the batch is conditional on that row.
#pragma once

#include <jacinthvale/node_currency.h>
#include <jacinthvale/node_event.h>
#include <jacinthvale/node_leases.h>
#include <jacinthvale/node_prefixes.h>
#include <jacinthvale/node_scaling.h>
#include <jacinthvale/node_timeline.h>
#include <jacinthvale/node_usage.h>

#include <deque>

namespace jacinthvale::node {

/// Startup parameters of a process.
struct node_identity
{
    host_id host;
    availability_zone_id availabilityZone;
    /// Address at which peers reach this process.
    endpoint peer;
    /// Peers to try before the table of daemons has been read.
    std::vector<endpoint> seeds;
    /// Minimum time between orders of two different holders of the weights lease to the same upstream.
    milliseconds leaseTime{3000};
    /// Longest time between SIGTERM and the end of the process.
    milliseconds stopGrace{8000};
    /// Share of a processor that this host has.
    double processorShare = 1;
    /// Calls per second that the store accepts from all daemons together.
    double storeReadsPerSecond = 2000;
    double storeWritesPerSecond = 800;
    /// Minimum number of daemons for shared reading of the table of upstreams: a few daemons read it from the
    /// store, the others from these daemons.
    std::size_t sharedReadMinFleetSize = 100;
    /// Longest time for which a key is accepted after the configuration without it was acknowledged; nullopt
    /// if keys may be accepted for longer while the configuration cannot be read.
    std::optional<milliseconds> revocationBound = {};
    std::optional<duty_settings> duties = {};
    /// Bytes that may be held for callers that have not read their answers; 0 for no limit.
    std::size_t answerMemory = 0;
};

/// Row of a daemon in the table of daemons.
struct member
{
    incarnation_id incarnation;
    endpoint peer;
    bool leaving = false;
    std::uint64_t heartbeatCount = 0;
    /// Inter-chunk latency in ms of each upstream that this daemon measured recently.
    std::map<std::string, double> interChunkLatencies;
    double processorShare = 1;
    /// When this process observed the last change of the row.
    instant changedAt{};
    std::uint64_t rowVersion = 0;
};

/// Owner of a batch; empty if the owner released it.
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
    /// Increases with each change of the owner.
    std::uint64_t epoch = 0;
    bool ended = false;
    std::uint64_t total = 0;
    /// Time of the store's clock at acceptance.
    std::uint64_t acceptedAtMs = 0;
    /// Tokens that the items may need in total.
    std::uint64_t workTokens = 0;
    batch spec;
    std::uint64_t rowVersion = 0;
    /// When this process first observed that the owner is no longer alive.
    std::optional<instant> orphanSince;
    /// This process has a claim in progress.
    bool claiming = false;
};

enum class item_phase : std::uint8_t {
    waiting,
    running,
    /// The text is complete; the reward call has not started, or is about to be repeated.
    unscored,
    /// The reward call is in progress.
    scoring,
    /// The outcome is known but not committed.
    finished,
    committed,
};

/// An item in the memory of the batch's owner.
struct owned_item
{
    batch_item item;
    item_phase phase = item_phase::waiting;
    item_state outcome = item_state::succeeded;
    std::string text;
    std::uint64_t chunkCount = 0;
    std::set<std::uint64_t> versions;
    /// Build that generated the text.
    upstream_build build;
    /// When the last run ended before the text was complete.
    instant stoppedAt{};
    unsigned failures = 0;
    /// Its request cannot be written as HTTP: it waits for the end of its batch.
    bool isUnsendable = false;
    unsigned moveCount = 0;
    op_id run;
    upstream_id upstream;
    instant startedAt{};
    /// Start of the first run under this owner, end of the item, and commit of its result; used only for the
    /// log, as is the timeline.
    instant firstStartedAt{};
    instant finishedAt{};
    instant committedAt{};
    item_timeline timeline;
    instant lastChunkAt{};
    /// First chunk of the current run.
    instant firstChunkAt{};
    std::uint64_t chunkCountAtStart = 0;
    /// Tokens reserved at the upstream for this run.
    double reservedTokens = 0;
    /// Prompt tokens that the upstream reads for this run; 0 after its first chunk.
    double readingTokens = 0;
    /// Tokens of the shared part of its prompt, while it runs.
    double sharedTokens = 0;
    /// The item belongs to a group that the trainer does not wait for.
    bool isSurplus = false;
    /// Score of `text`; empty until the reward call succeeded.
    std::string score;
    /// Reward calls that the upstreams ran and answered with an error, since the first owner.
    unsigned rewardFailures = 0;
    instant nextRewardAt{};

    /// True until the text is complete or the item is given up.
    bool isGenerating() const { return phase == item_phase::waiting || phase == item_phase::running; }
};

/// Output of an item whose batch ended first; the trainer may submit the item again in a later batch.
struct retained_output
{
    std::string text;
    std::uint64_t chunkCount = 0;
    std::set<std::uint64_t> versions;
    upstream_build build;
    bool complete = false;
    /// Score of the text and the reward call that returned it.
    std::string score;
    request_id rewardId;
    /// Account of the batch; others never get the text.
    account_id account;
    instant retainedAt{};
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
    /// Items whose results the running transaction writes, in order of position.
    std::vector<std::size_t> committing;
    /// Fragments of a result that exceeds one transaction: those that are stored, and those that the running
    /// transaction writes; 0 while it commits the result.
    std::size_t storedFragments = 0;
    std::size_t sentFragments = 0;
    /// The running transaction; 0 if none.
    op_id commitOp;
    std::vector<waiting_reader> readers;
    /// The batch is being handed over: no run is started and no result is committed.
    bool handingOver = false;
    instant nextCheckpoint{};
    instant ownedAt{};
    /// Prompt tokens of all runs under this owner, and those of them that the upstreams should have held;
    /// used only for the log.
    double promptTokensSent = 0;
    double promptTokensHeld = 0;
};

/// Identifies one attempt of a daemon to store a batch in several transactions; random.
using store_attempt_id = number_id<struct store_attempt_tag>;

/// Consecutive items of a batch that are encoded together.
struct batch_section
{
    std::uint64_t items = 0;
    /// Number of rows.
    std::uint64_t fragments = 0;

    auto operator<=>(const batch_section &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(items, fragments);
    }
};

/// Where the items of a batch are that exceeds one transaction of the store.
struct batch_manifest
{
    store_attempt_id attempt;
    std::vector<batch_section> sections;

    auto operator<=>(const batch_manifest &) const = default;
};

/// Decodes the sections of a batch from its rows, one after another.
struct section_reader
{
    batch_manifest manifest;
    /// Section whose rows arrive, the rows of it that have arrived, and their bytes.
    std::size_t section = 0;
    std::uint64_t fragments = 0;
    std::string bytes = {};
    /// Items of the sections read so far.
    std::vector<batch_item> items = {};
    /// A section could not be decoded.
    bool damaged = false;
};

/// Progress of storing a batch that exceeds one transaction of the store (node_large_batches.cpp).
struct batch_storing
{
    batch_manifest manifest;
    /// Version of the attempt's row; 0 until it is written.
    std::uint64_t attemptVersion = 0;
    /// First item of the next section.
    std::size_t nextItem = 0;
    /// Rows of the section in progress, and those of them that are stored or in the running transaction.
    std::vector<std::string> fragments;
    std::size_t sentFragments = 0;
    /// Rows of all sections that are stored or in the running transaction.
    std::size_t sentRows = 0;
    /// The running transaction writes the head row.
    bool committingHead = false;
    instant until{};
};

/// A batch whose acceptance is not yet confirmed by the store.
struct pending_batch
{
    batch spec;
    std::vector<exchange_id> exchanges;
    std::string ownHeadValue;
    instant receivedAt{};
    /// nullopt if the batch is stored in one transaction.
    std::optional<batch_storing> storing = {};
};

/// Row of an attempt to store a batch in several transactions. It exists until the head row of the batch is
/// committed, in the same transaction, or until the other rows of the attempt are removed.
struct store_attempt
{
    batch_id batch;
    store_attempt_id attempt;
    owner_name acceptor;
    /// The attempt can no longer succeed, and its rows are being removed.
    bool abandoned = false;
    std::uint64_t rowVersion = 0;
    /// When this process first saw the row.
    instant seenAt{};
};

/// Removal of the rows of abandoned attempts to store a batch, one attempt at a time.
struct attempt_removal
{
    /// The operation in progress; 0 if none.
    op_id op;
    instant nextAt{};
};

/// Reassembles committed results from their fragments. The first row added must be the first fragment of a
/// result.
class result_assembler
{
public:
    /// Adds a fragment. Rows of other kinds are ignored.
    void add(const row &fragment);
    /// Removes the results in order of position, up to the first one that is incomplete or damaged; further
    /// fragments may complete it. @returns these results.
    std::vector<item_result> takeComplete();

private:
    struct partial_result
    {
        /// Number of the next fragment; 0 until the first one has arrived.
        std::size_t next = 0;
        /// Number of fragments after the first one, where that one holds no more than this number.
        std::optional<std::size_t> longFragments = {};
        std::string bytes = {};
        /// Set by the last fragment; later ones were left by a longer result that was never committed.
        std::optional<item_result> result = {};
    };
    std::map<std::size_t, partial_result> m_partials;
};

/// What a takeover reads next.
enum class load_stage : std::uint8_t { rows, sections, results };

/// A batch that this process takes over, while its rows are read.
struct loading_batch
{
    batch_head head;
    std::string extensionBytes;
    std::string itemBytes;
    std::string progressBytes;
    std::vector<item_result> results;
    /// Holds the rows of a result that continues on the next page.
    result_assembler assembler;
    std::string nextFrom;
    load_stage stage = load_stage::rows;
    /// Set if the items are stored in sections.
    std::optional<section_reader> sections = {};
    /// The read in progress; answers to reads of an earlier takeover of the same batch are ignored.
    op_id op;
};

/// Requests per second that an upstream takes from all daemons together.
struct rate_limit
{
    /// 0 if the upstream names no limit.
    double perSecond = 0;
    /// Store time in ms of the response that named or lifted it; 0 if none did.
    std::uint64_t namedAtMs = 0;
};

/// A limit that one daemon tells the others.
struct reported_limit
{
    /// Start time of the upstream's process, as in its table entry.
    std::uint64_t startedAtMs = 0;
    double perSecond = 0;
    std::uint64_t namedAtMs = 0;

    auto operator<=>(const reported_limit &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(startedAtMs, perSecond, namedAtMs);
    }
};

/// Hash of what makes two calls of callers the same request: method, host, path, query and body. The id and
/// other headers differ each time.
using content_hash = number_id<struct content_tag>;

/// A call of a caller broke off at an upstream that has shown no sign of life since: the call may have
/// crashed it.
struct suspected_crash
{
    std::uint64_t content = 0;
    std::string upstream;
    /// Start time of the upstream's process, as in its table entry.
    std::uint64_t startedAtMs = 0;
    /// Store time.
    std::uint64_t brokeAtMs = 0;

    auto operator<=>(const suspected_crash &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(content, upstream, startedAtMs, brokeAtMs);
    }
};

/// What is known of a content under which upstreams may have crashed.
struct suspected_content
{
    /// Upstream processes by id and start time.
    std::set<std::pair<std::string, std::uint64_t>> crashed;
    /// Store time of the last answer to a call with this content; earlier crashes have another cause.
    std::uint64_t answeredAtMs = 0;
};

/// What a daemon tells the others beside its heartbeat, in a row of its own.
struct daemon_advisory
{
    /// Limits that upstreams named to this daemon or lifted, by upstream.
    std::map<std::string, reported_limit> limits;
    /// Requests per second that this daemon has for each service with limited upstreams.
    std::map<std::string, double> demand;
    /// Crashes that this daemon suspects, oldest first.
    std::vector<suspected_crash> crashes;
    /// Store times of the last answers to calls with suspected contents.
    std::map<std::uint64_t, std::uint64_t> answeredContents;
    /// This daemon has no path to the upstreams.
    bool withoutUpstreams = false;
    usage_advisory usage = {};
    scaling_advisory scaling = {};

    auto operator<=>(const daemon_advisory &) const = default;
};

/// Progress of writing a row that goes with the heartbeats.
struct row_publication
{
    /// The row has to be written with the next heartbeat.
    bool changed = false;
    /// The heartbeat in progress writes the row.
    bool writing = false;
};

/// Events per second, smoothed over the last seconds.
class event_rate
{
public:
    void add(double events, instant now);
    double perSecond(instant now) const;

private:
    double m_perSecond = 0;
    instant m_updatedAt{};
};

/// Requests that this daemon sent to a limited upstream since the last log line.
struct limited_use
{
    unsigned sent = 0;
    /// Of these: second and later attempts of a call or run.
    unsigned repeated = 0;
    instant loggedAt{};
};

/// An upstream: its table entry, and its load and health as observed from requests.
struct upstream_view
{
    upstream_entry entry;
    unsigned running = 0;
    /// Tokens reserved for the generations that this process runs there.
    double reservedTokens = 0;
    /// Prompt tokens of the runs of this process there that have produced no chunk yet.
    double readingTokens = 0;
    /// Tokens of the shared parts of the prompts of all runs of this process there; an upstream holds each of
    /// these parts once.
    double sharedTokens = 0;
    /// Prompt parts that this process had read there.
    held_prompts heldPrompts;
    unsigned consecutiveFailures = 0;
    /// No new work is sent before this time.
    instant ejectedUntil{};
    /// Smoothed time between two chunks of one run; 0 if unknown.
    double interChunkLatencyMs = 0;
    /// When the latency was last measured, here or by another daemon.
    instant latencyUpdatedAt{};
    /// Lowest smoothed latency so far, as an estimate for the undisturbed upstream; 0 if unknown.
    double bestInterChunkLatencyMs = 0;
    /// Lowest mean inter-chunk latency of a run so far; 0 if unknown. Single latencies are also low where
    /// chunks were held up and arrive together. Used only for the log.
    double fastestRunLatencyMs = 0;
    /// When this process itself last measured the latency.
    instant latencyMeasuredAt{};
    /// Last chunk of any run of this process there.
    instant lastChunkAt{};
    /// The row as last read.
    upstream_entry lastRow;
    /// Version of the table at which `lastRow` last differed from the row before it.
    std::uint64_t lastChangeVersion = 0;
    /// Digest of `lastRow`.
    std::uint64_t lastRowDigest = 0;
    /// Smoothed duration of forwarded calls relative to the mean of their routes; 0 if unknown.
    double relativeCallDuration = 0;
    /// Version of the row as read from the store; 0 if it was read from another daemon.
    std::uint64_t rowVersion = 0;
    /// When the upstream will be taken away, if its row tells.
    std::optional<instant> leavesAt;
    /// The process ran at this time: it answered a call that was sent then, or its row shows a later
    /// heartbeat.
    instant aliveAt{};
    /// Last request that broke off or found no connection here, and the last proof that the process in the
    /// table entry still runs.
    instant brokeAt{};
    instant confirmedAt{};
    /// Status request in progress that asks which process answers; 0 if none.
    op_id identityOp;
    instant identityAskedAt{};
    /// Operations up to this one were sent to an earlier process with the same id.
    op_id lastEarlierOp;
    rate_limit limit;
    /// Share of this daemon in the limit, in requests per second, and the requests that it may send at once.
    double limitShare = 0;
    double limitBurst = 0;
    /// Requests that this daemon may send now without exceeding its share.
    double limitTokens = 0;
    limited_use limitedUse;
};

/// Upstream processes that announced in a response that they are leaving: the start time of each process, as
/// in its table entry. A process that starts later under the same id is not affected.
using leaving_upstreams = std::map<upstream_id, std::uint64_t>;

/// Follows one table: reads it in full once, then its changes.
struct table_feed
{
    table_id table = table_id::operators;
    /// Time between two reads; grows with the fleet.
    milliseconds pollInterval{0};
    milliseconds wait{0};
    std::vector<std::string> partitions;
    /// Partition that the full read has reached; partitions.size() when the full read is complete.
    std::size_t partitionIndex = 0;
    /// First key of the next read.
    std::string from;
    std::uint64_t version = 0;
    /// Version of the first answer of the full read; changes are followed from there.
    std::uint64_t fullReadVersion = 0;
    /// Keys that the full read returned.
    std::set<std::string> seenKeys;
    /// Failed reads from other daemons since the last answer.
    unsigned failedPeerReads = 0;
    /// The read in progress; 0 if none.
    op_id readOp;
    instant readSentAt{};
    /// The read in progress, or the first one of a full read. Only for the operators' table.
    operators_reading reading;
    /// The last answer was older than its read, so another one is not likely to be better.
    bool staleAnswer = false;
    /// Changes that the next read from the store returns were written later than this.
    instant snapshotAt{};
    instant nextAt{};
    instant answeredAt{};
    /// Time since which answers have arrived without a gap longer than maxAnswerGap().
    instant gaplessSince{};
    bool synced = false;
};

struct page_read
{
    exchange_id exchange;
    batch_id batch;
    /// Account of the reader.
    account_id account;
    std::size_t after = 0;
    instant until{};
    instant nextAt{};
    bool running = false;
    op_id op;
    instant requestedAt{};
    /// Start of the read in progress, and the number of results that it covers.
    instant readAt{};
    std::size_t resultLimit = 0;
    /// Holds the rows of a result that the store did not return at once.
    result_assembler assembler = {};
};

/// Pace of page reads from the store, from which the number of results of a page follows: a reader gives up
/// after a fixed time, and where hosts are far from the store a large page takes longer than that.
struct page_pace
{
    /// Smoothed; the start values apply until pages have been read.
    double bytesPerMs = 1000;
    double bytesPerResult = 8000;
};

/// One attempt of a forwarded call.
struct call_attempt
{
    op_id op;
    upstream_id upstream;
    instant startedAt{};
};

/// An item of an owned batch that waits for the answer to its reward call.
struct reward_origin
{
    batch_id batch;
    std::size_t item = 0;

    auto operator<=>(const reward_origin &) const = default;
};

/// Who waits for the answer to a forwarded call.
using call_origin = std::variant<exchange_id, reward_origin>;

struct call_state
{
    client_call call;
    content_hash content;
    route matchedRoute;
    instant arrivedAt{};
    instant deadline{};
    std::vector<call_attempt> running;
    std::set<upstream_id> tried;
    /// Daemons to which the call was relayed.
    std::set<host_id> relayedTo;
    /// Of these, how many may have sent it to an upstream.
    unsigned relayed = 0;
    /// Attempts that count against the route's limit, because they may have run.
    unsigned sent = 0;
    bool mayHaveRun = false;
    /// The call may run more than once.
    bool repeatable = false;
    /// Answers that report a failed run; for a reward call, including earlier rounds.
    unsigned failures = 0;
    instant nextTryAt{};
    /// Window of usage in which the request counts; nullopt if it does not count.
    std::optional<std::uint64_t> usageWindow;
};

/// A stream that is forwarded to a caller.
struct stream_state
{
    client_call call;
    content_hash content;
    route matchedRoute;
    service_id service;
    /// Request that brought the first event; the same for all parts of the stream.
    request_id stream;
    instant arrivedAt{};
    instant deadline{};
    /// Build that generated the events so far; nullopt before the first one.
    std::optional<upstream_build> build;
    /// The run in progress and its upstream; 0 if there is none.
    op_id op;
    upstream_id upstream;
    upstream_build upstreamBuild;
    instant startedAt{};
    /// Since when no upstream could take the stream.
    std::optional<instant> waitingSince;
    std::set<upstream_id> tried;
    /// Daemons to which the stream was relayed.
    std::set<host_id> relayedTo;
    /// Of these, how many may have sent it to an upstream.
    unsigned relayed = 0;
    /// Attempts that count against the route's limit, because they may have run.
    unsigned sent = 0;
    bool mayHaveRun = false;
    /// Number of the last event received.
    std::uint64_t lastEvent = 0;
    /// Head of the first upstream's response.
    http_headers headers;
    bool headReceived = false;
    /// Requests to other daemons in progress, which share or find the origin.
    std::set<op_id> originOps;
    instant originAskedAt{};
    bool findingOrigin = false;
    /// A daemon that was asked for the origin has answered.
    bool originAnswered = false;
    /// Builds of the service that the daemons asked for the origin know.
    std::set<upstream_build> recentBuilds;
    /// Events may reach the caller: another daemon knows the origin of the stream.
    bool released = false;
    bool begun = false;
    /// The upstream has ended the stream with success.
    bool complete = false;
    /// The request counts as usage.
    bool isCounted = false;
    /// Bytes that wait for the release.
    std::string held;
};

/// Origins of the streams that this daemon or others forward.
struct stream_origins
{
    struct recorded_build
    {
        upstream_build build;
        instant recordedAt{};
    };
    std::map<request_id, recorded_build> builds;
    /// Each time at which an entry of `builds` was recorded, oldest first.
    std::deque<std::pair<instant, request_id>> recorded;
    /// When an upstream of the build was last listed in the table.
    std::map<upstream_build, instant> lastListed;
};

/// What this daemon knows of its own path to the upstreams.
struct upstream_path
{
    /// Last byte of any upstream.
    instant heardAt{};
    /// Upstreams that gave no sign since then, although a request was sent.
    std::set<upstream_id> silent;
    /// Upstreams that accepted no connection since a status request on a new one was answered. Requests on
    /// older connections may go on meanwhile.
    std::set<upstream_id> unreachable;
    /// Status requests in progress that ask whether there is a path.
    std::map<op_id, std::pair<upstream_id, instant>> probes;
    instant nextProbeAt{};
    /// One of these requests got no answer since the last one that did.
    bool probeFailed = false;
    /// Suspicions that wait until it is known whether the path failed instead of the upstream.
    std::vector<suspected_crash> heldSuspicions;
    /// No upstream can be reached from here, as far as this daemon can tell.
    bool lost = false;
    instant lostAt{};
};

/// One order to load weights, from the first status request to the confirmation that the weights are loaded.
struct running_order
{
    model_id model;
    weight_version version;
    op_id op;
    /// Store time at which the order was created. It may be sent only once a lease row written at or after
    /// this time lists the upstream.
    std::uint64_t requestedAtStoreMs = 0;
    instant startedAt{};
    instant nextStatusRequestAt{};
};

/// A load of weights that the holder of the lease has confirmed.
struct loaded_weights
{
    upstream_id upstream;
    model_id model;
    weight_version version;
    /// Store time at which the holder confirmed it.
    std::uint64_t seenAtMs = 0;

    auto operator<=>(const loaded_weights &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstream.value, model.value, version.value, seenAtMs);
    }
};

/// When the operator named the current version of a model, and the time since the version before it.
struct version_pace
{
    instant namedAt{};
    /// Zero before the second version.
    milliseconds interval{0};
};

/// Time for which an upstream is expected to take no new runs because it loads weights.
struct load_window
{
    /// Store time at which the lease row first listed the upstream for this load.
    std::uint64_t sinceMs = 0;
    /// Store time of the last lease row that listed it.
    std::uint64_t lastListedMs = 0;
    /// Store time of the last confirmed load.
    std::uint64_t confirmedMs = 0;

    bool isOpen() const { return sinceMs > confirmedMs; }
};

/// Lease for ordering loads of weights, and the orders of this process while it is the holder.
struct weights_leader : lease_state
{
    /// Upstreams to which the last lease row lets the holder send orders, with the store time of the row that
    /// listed them. A successor sends them no orders for a while.
    std::map<upstream_id, std::uint64_t> planned;
    /// Loads that the lease rows announced, by upstream.
    std::map<upstream_id, load_window> loadWindows;
    /// Confirmed loads that the lease row advertises to all daemons.
    std::vector<loaded_weights> loaded;
    /// Value of `planned` that the renewal in progress writes.
    std::map<upstream_id, std::uint64_t> renewalPlan;
    /// Upstreams to which an earlier holder may have sent an order, with the store time until which this
    /// holder sends them none.
    std::map<upstream_id, std::uint64_t> blockedUntil;
    std::map<upstream_id, running_order> orders;
};

enum class lease_id : std::uint8_t { weights, duties };

/// What the calls of a duty concern; one call is in progress for each at a time. Empty for reports of usage.
struct duty_subject
{
    service_id service;
    availability_zone_id zone;

    auto operator<=>(const duty_subject &) const = default;
};

/// Calls for one subject.
struct duty_progress
{
    /// The call in progress; 0 if none.
    op_id op;
    /// Calls since the last one that was accepted.
    unsigned failures = 0;
    instant nextAt{};
};

/// Lease for the duties, and the calls of this process while it is the holder.
struct duty_state
{
    lease_state lease;
    /// Store time at which the holder acquired the lease, according to the row.
    std::uint64_t acquiredAtMs = 0;
    /// Store time from which on this process makes calls as the holder.
    std::uint64_t actsFromMs = 0;
    /// Record in the last known row, the one that the write in progress contains, and the one to write next.
    duty_record committed;
    duty_record writing;
    duty_record wanted;
    /// Value of `acquiredAtMs` that the write in progress contains.
    std::uint64_t writingAcquiredAtMs = 0;
    /// The wanted record is written before the lease has to be renewed.
    bool changed = false;
    /// Earliest time of the next call, of any subject.
    instant nextCallAt{};
    std::map<duty_subject, duty_progress> calls;
};

/// Last call that ordered upstreams of a pool.
struct sent_order
{
    unsigned count = 0;
    instant sentAt{};
};

/// A service whose number of upstreams this process decides while it holds the duties.
struct scaled_service
{
    scaling_memory memory;
    /// Orders that were decided; calls follow those of the committed record.
    std::map<upstream_pool, unsigned> orders;
    std::map<upstream_pool, sent_order> sent;
    /// Supply at the last decision.
    std::map<upstream_pool, pool_supply> supply;
    /// Last known rate of one run.
    double tokensPerMs = 0;
    scaling_decision last;
    instant loggedAt{};
};

/// Slots that calls and streams of this daemon use at a service: the most since `since`.
struct call_peak
{
    std::uint64_t slots = 0;
    instant since{};
};

struct scaling_state
{
    /// Work of batches, as last told by their owners.
    std::map<batch_id, batch_work> work;
    std::map<service_id, call_peak> callPeaks;
    /// Since when this process has held the duties.
    std::optional<instant> heldSince;
    instant nextDecisionAt{};
    std::map<service_id, scaled_service> services;
};

// Purposes of running operations.

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
    /// Head row that the claim writes.
    batch_head claimedHead;
};
struct load_operation
{
    batch_id batch;
};
struct batch_end_operation
{
    batch_id batch;
    exchange_id exchange;
    account_id account;
    bool readingHead = false;
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
    account_id account;
    std::string bytes;
    bool readingHead = false;
    /// Set while the sections of the batch are read.
    std::optional<section_reader> sections = {};
};
/// Removes the rows of an abandoned attempt to store a batch.
struct attempt_removal_operation
{
    /// Key of the attempt's row.
    std::string attempt;
    /// The attempt's row is removed, too.
    bool last = false;
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
    call_origin origin;
    upstream_id upstream;
};
/// A write of the row of a lease.
struct lease_operation
{
    lease_id lease = lease_id::weights;
};
struct order_operation
{
    upstream_id upstream;
};
/// A run of a forwarded stream.
struct stream_operation
{
    exchange_id exchange;
    upstream_id upstream;
};
/// A call of a duty.
struct duty_operation
{
    duty_call call;
};
/// A request to another daemon about the origin of a stream.
struct stream_origin_operation
{
    exchange_id exchange;
};
/// A call or stream that was relayed to another daemon.
struct relay_operation
{
    call_origin origin;
    host_id host;
};
/// A status request that asks whether this daemon has a path to the upstreams.
struct path_operation
{
    upstream_id upstream;
};
/// A status request that asks which process answers at the address of an upstream.
struct identity_operation
{
    upstream_id upstream;
};
using operation_purpose
        = std::variant<feed_operation, heartbeat_operation, accept_operation, commit_operation,
                       claim_operation, load_operation, batch_end_operation, page_operation, item_operation,
                       release_operation, checkpoint_operation, run_operation, call_operation,
                       lease_operation, order_operation, identity_operation, stream_operation,
                       stream_origin_operation, relay_operation, path_operation, duty_operation,
                       attempt_removal_operation>;

/// Leaving upstreams that this daemon tells the others, in a row beside its heartbeat.
struct leaving_advertisement
{
    /// Announced to this daemon before any other daemon reported them.
    leaving_upstreams upstreams;
    row_publication publication;
};

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
    configuration_evidence evidence;
    store_clock_bound storeClock;
    std::map<model_id, weight_version> namedVersions;
    std::map<model_id, version_pace> versionPaces;
    std::map<upstream_id, upstream_view> upstreams;
    /// Announced to this daemon or to any other one.
    leaving_upstreams leavingUpstreams;
    leaving_advertisement leavingAdvertisement;
    /// What this daemon tells the others, and what they told last.
    daemon_advisory ownAdvisory;
    row_publication advisoryPublication;
    /// The advisory does not wait for the next regular heartbeat.
    bool advisoryUrgent = false;
    std::map<host_id, daemon_advisory> peerAdvisories;
    /// Contents under which upstreams may have crashed, from all advisories.
    std::map<content_hash, suspected_content> suspectedContents;
    /// Requests that this daemon has for each service.
    std::map<service_id, event_rate> demand;
    instant nextLimitShareAt{};
    instant limitTokensAt{};
    /// Removed upstreams, oldest first, with the table's version at the removal; sent to daemons that request
    /// an upstream_delta.
    std::deque<std::pair<std::uint64_t, upstream_id>> removedUpstreams;
    /// `removedUpstreams` names all removals after this version of the table. Earlier ones may be missing:
    /// the last full read did not show them, or there was no room.
    std::uint64_t removalsKnownSince = 0;
    /// Upstreams whose row cannot be used and is in the log.
    std::set<upstream_id> unreadableUpstreams;
    std::map<host_id, member> members;
    std::map<batch_id, batch_head> heads;
    /// The current event delivered head rows.
    bool headsChanged = false;

    std::map<batch_id, owned_batch> owned;
    std::map<batch_id, pending_batch> pending;
    std::map<batch_id, loading_batch> loading;
    /// Attempts to store a batch in several transactions, by key of their row.
    std::map<std::string, store_attempt> storeAttempts;
    attempt_removal attemptRemoval;
    std::map<exchange_id, page_read> pages;
    page_pace pagePace;
    std::map<call_origin, call_state> calls;
    std::map<exchange_id, stream_state> streams;
    upstream_path path;
    stream_origins streamOrigins;
    /// Smoothed duration in ms of the forwarded calls, or whole streams, of each route.
    std::map<std::string, double> callDurations;
    std::map<item_id, retained_output> retainedOutputs;
    answer_paces answerPaces;
    weights_leader weightsLeader;
    duty_state duties;
    scaling_state scaling;
    usage_state usage;

    std::uint64_t ownRowVersion = 0;
    std::uint64_t heartbeatCount = 0;
    bool heartbeatRunning = false;
    /// Heartbeats without an answer since the last committed one.
    unsigned unansweredHeartbeats = 0;
    instant nextHeartbeatAt{};
    instant heartbeatSentAt{};
    /// Last committed heartbeat, how long it took, and since when heartbeats have had no gap.
    instant lastHeartbeatAt{};
    milliseconds heartbeatDuration{0};
    instant gaplessHeartbeatsSince{};

    /// Store's clock, and the time at which it was read.
    std::uint64_t storeNowMs = 0;
    instant storeNowAt{};
    /// Last answer of the store, direct or relayed by a peer.
    instant lastStoreAnswerAt{};
    bool ready = false;
    bool stopping = false;
    /// Once the process is stopping: when it was told, from when on it does not wait for what it could not
    /// hand over, and when all requests have their answers.
    instant stopRequestedAt{};
    instant stopAt{};
    instant answersBy{};
    std::vector<endpoint> relays;
    instant nextMoveAt{};
};

/// @returns the initial state of a daemon.
node_state makeNodeState(const node_identity &self);

/// Handles one event: updates the state and returns the effects to perform, in order.
effects reduce(node_state &state, const event &incoming, const context &ctx);

} // namespace jacinthvale::node
