/// Simulation of several daemons of node.h on a virtual clock, with simulated upstreams and a simulated
/// platform table.
///
/// The table holds rows, a feed of changes and conditional transactions; it can lose answers and delay
/// writes. Upstreams produce chunks of streams, execute weight orders and crash. The simulation checks the
/// guarantees of the daemons while it runs and records breaches in violations().
#pragma once

#include <jacinthvale/node.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace jacinthvale::test {

/// How a simulated upstream treats forwarded calls.
enum class call_behaviour : std::uint8_t {
    answers,
    /// Refuses the call as not run.
    refuses,
    hangs,
    /// Runs the call and answers with status 500.
    fails,
    /// Answers with success, but without a seal.
    answers_without_seal,
};

/// State of a simulated upstream.
struct simulated_upstream
{
    node::upstream_entry entry;
    milliseconds interChunkLatency{40};
    bool up = true;
    /// Announces in each response that it is leaving; its row does not tell.
    bool announcesLeave = false;
    /// Daemons, with their generation, that received the announcement.
    std::set<std::pair<std::size_t, std::uint64_t>> announcedTo;
    /// Requests per second that it names in each response as its limit for all daemons together.
    std::optional<double> namedLimit;
    instant limitNamedAt{};
    /// When each daemon, with its generation, first received the limit.
    std::map<std::pair<std::size_t, std::uint64_t>, instant> limitToldAt;
    /// Requests of daemons that had received the limit early enough.
    std::deque<instant> limitedRequests;
    /// False when its row is deleted from the table of upstreams.
    bool registered = true;
    /// Another writer replaces its row with one that lacks a field.
    bool rowUnreadable = false;
    /// False when its status report lacks a field about loads.
    bool reportsLoads = true;
    /// Number of accepted weight orders.
    std::uint64_t orders = 0;
    instant busyUntil{};
    instant lastOrderAt{};
    host_id lastOrderBy;
    std::uint64_t lastFencing = 0;
    unsigned running = 0;
    unsigned maxRunning = 0;
    call_behaviour callBehaviour = call_behaviour::answers;
    /// Status with which it answers requests for streams in place of events; 0 if it sends events.
    int streamStatus = 0;
    unsigned calls = 0;
    unsigned maxCalls = 0;
};

/// Answer to a caller; std::monostate before it arrives.
using simulated_answer
        = std::variant<std::monostate, node::answer_call, node::refuse_call, node::accept_batch,
                       node::answer_page, node::answer_item, node::answer_batch_ended>;

/// How a daemon's path to the upstreams is cut.
enum class upstream_cut : std::uint8_t {
    none,
    /// Nothing arrives in either direction.
    silent,
    /// Connections are reset, and new ones refused.
    refuses,
    /// Requests in progress go on, and new ones find no connection.
    refuses_new,
};

/// How the platform treats calls of duties.
enum class duty_behaviour : std::uint8_t {
    answers,
    /// Refuses calls for their rate.
    limits,
    /// Takes calls, and its answers are lost.
    loses_answers,
    /// Gets no calls.
    silent,
};

/// What a caller has received of a stream.
struct simulated_stream
{
    /// Request that brought the first event, as named by the caller.
    request_id stream;
    bool begun = false;
    bool ended = false;
    bool complete = false;
    std::uint64_t lastEvent = 0;
};

/// Number of events of each simulated stream.
inline constexpr std::uint64_t kStreamEvents = 50;

/// Lease time in the configuration of all simulated daemons.
inline constexpr milliseconds kSimulationLeaseTime{3000};

/// Fleets of at least this many daemons share the reads of the table of upstreams.
inline constexpr std::size_t kSimulationSharedReadingThreshold = 20;

/// Text of a chunk of an item, as an upstream with this software version generates it; the simulation checks
/// committed results against it.
std::string chunkText(const node::item_id &id, std::uint64_t number, const std::string &softwareVersion = {});

class node_simulation
{
public:
    /// @param storeReads configured limit of store reads per second for all daemons together.
    explicit node_simulation(std::uint64_t seed, std::size_t daemons = 3, std::size_t upstreams = 4,
                             double storeReads = 2000,
                             std::optional<milliseconds> revocationBound = std::nullopt,
                             std::optional<node::duty_settings> duties = std::nullopt);

    /// Advances the clock by @p time and executes the events that become due.
    void run(milliseconds time);
    /// Runs until the condition holds. @returns false if it does not hold within @p atMost.
    bool runUntil(const std::function<bool()> &condition, milliseconds atMost);

    // Calls to a daemon; the returned exchange identifies the answer.
    exchange_id submitBatch(std::size_t daemon, const node::batch &submitted,
                            const node::credential &key = {});
    exchange_id requestPage(std::size_t daemon, const node::batch_id &id, std::size_t after,
                            milliseconds wait = {}, const node::credential &key = {});
    exchange_id requestItem(std::size_t daemon, const node::batch_id &id, const node::item_id &item,
                            const node::credential &key = {});
    exchange_id endBatch(std::size_t daemon, const node::batch_id &id, const node::credential &key = {});
    exchange_id sendCall(std::size_t daemon, const std::string &id, const std::string &path = "/plain/1",
                         const node::credential &key = {});
    /// Requests a stream of events, or the rest of one. @param stream request that brought its first event;
    /// empty for a new stream.
    exchange_id requestStream(std::size_t daemon, const std::string &id, const std::string &path,
                              const std::string &stream = {}, std::uint64_t after = 0,
                              const node::credential &key = {});
    const simulated_stream &stream(exchange_id exchange) { return m_streams[exchange]; }
    /// Software versions that generated the events of a stream over all its requests.
    const std::set<std::string> &streamVersions(const std::string &stream)
    {
        return m_streamVersions[{stream}];
    }
    /// Number of runs of streams that upstreams started.
    std::size_t streamRuns() const { return m_streamRunCount; }
    /// Closes the connection of the caller of an exchange.
    void disconnectCaller(std::size_t daemon, exchange_id exchange);
    const simulated_answer &answer(exchange_id exchange) { return m_answers[exchange]; }
    template <typename Answer>
    const Answer *answerAs(exchange_id exchange)
    {
        return std::get_if<Answer>(&m_answers[exchange]);
    }

    // Fault injection.
    /// Ends a daemon without notice; its runs end with it.
    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    /// Requests a graceful stop.
    void stop(std::size_t daemon);
    /// Suspends a daemon: its events are delivered after @p time, its ticks are skipped.
    void freeze(std::size_t daemon, milliseconds time);
    /// The table answers no request of this daemon while set.
    void setStoreUnreachable(std::size_t daemon, bool unreachable)
    {
        m_daemons.at(daemon).storeUnreachable = unreachable;
    }
    /// Cuts the path of a daemon to all upstreams; the store and other daemons are reached.
    void setUpstreamCut(std::size_t daemon, upstream_cut cut);
    /// Reads of this daemon return no changes and the store's clock as it was when this was set.
    void setStoreStale(std::size_t daemon, bool stale)
    {
        m_daemons.at(daemon).staleSince = stale ? std::optional(m_now) : std::nullopt;
    }
    /// The table answers no request of any daemon while set.
    void setStoreDown(bool down) { m_storeDown = down; }
    /// Rejects writes to one table while reads of all tables succeed.
    void setWritesRejected(node::table_id table, bool rejected);
    /// Extends the text of each chunk of an item to this many bytes.
    void setChunkBytes(std::size_t bytes, char fill = '.')
    {
        m_chunkBytes = bytes;
        m_chunkFill = fill;
    }
    /// Share of applied transactions whose answer is lost.
    void setLostAnswerShare(double share) { m_lostAnswerShare = share; }
    /// Time until a daemon sends a transaction without an answer again, as its timeout for writes does.
    void setAnswerTimeout(milliseconds time) { m_answerTimeout = time; }
    /// Share of transactions that are applied 1 to 4 s after they were sent.
    void setLateWriteShare(double share) { m_lateWriteShare = share; }
    /// Discards the feed of changes, so that daemons must read the tables whole.
    void dropHistory()
    {
        m_changes.clear();
        m_historyFrom = m_version;
    }
    /// Calls to this path crash each upstream that runs them; it is back after a while.
    void crashOn(const std::string &path) { m_crashingCalls[path]; }
    /// Number of upstreams that crashed under calls to the path, and of calls that were sent later than the
    /// daemons need to learn of the third crash.
    std::size_t crashesOf(const std::string &path) const { return m_crashingCalls.at(path).crashes; }
    std::size_t sentAfterThirdCrash(const std::string &path) const
    {
        return m_crashingCalls.at(path).sentLate;
    }
    /// Crashes an upstream; its row is deleted after three heartbeat intervals.
    void crashUpstream(std::size_t upstream);
    /// Pauses the newest run of an upstream, as an upstream that is out of memory does.
    /// @returns false if the upstream has no run.
    bool stallNewestRun(std::size_t upstream, milliseconds time);
    /// Restarts a crashed upstream without accepted orders; its weights remain.
    void restoreUpstream(std::size_t upstream);
    /// Writes the row of an upstream as it is set, ahead of its next heartbeat.
    void publishUpstream(std::size_t upstream) { writeUpstreamRow(m_upstreams.at(upstream)); }
    /// Rows of upstreams that can be used, as the table holds them.
    std::map<upstream_id, node::upstream_entry> usableUpstreamRows() const;
    /// Share of calls that break off; a tenth of it applies to each chunk of a run.
    /// @param end how the upstream breaks a call.
    void setBrokenCallShare(double share, node::call_end end = node::call_end::incomplete)
    {
        m_brokenCallShare = share;
        m_brokenCallEnd = end;
    }
    /// Sets the weight version that operators name for a model.
    void setNamedVersion(const std::string &model, std::uint64_t version);
    void putConfig(const node::route_table &table);
    /// Adds rows under keys of their own, with damaged copies of the values that the table holds.
    void addDamagedRows(node::table_id table, std::size_t number);
    /// Account under which an upstream last got a call, stream, item or reward call.
    const std::map<std::string, std::optional<node::account_id>> &accountsSeen() const
    {
        return m_accountsSeen;
    }

    void setDutyBehaviour(duty_behaviour behaviour) { m_dutyBehaviour = behaviour; }
    /// Sets the time of day of a daemon's host, relative to true time.
    void setClockOffset(std::size_t daemon, milliseconds offset)
    {
        m_daemons.at(daemon).clockOffset = offset;
    }
    /// Reports of usage that the platform took, and requests that upstreams began, by window.
    const std::map<std::uint64_t, node::usage_counts> &usageReports() const { return m_usageReports; }
    const std::map<std::uint64_t, node::usage_counts> &trueUsage() const { return m_trueUsage; }
    std::uint64_t trueWindow() const;
    std::optional<std::size_t> dutyHolder() const;
    std::size_t dutyCalls() const { return m_dutyCalls; }
    /// Number of times that another holder made calls.
    std::size_t dutyTurns() const { return m_dutyTurns.size(); }

    /// Adds a reward call to each item of a batch.
    static node::batch withRewards(node::batch submitted, const std::string &path = "/plain/reward");
    /// The daemons cannot write this request as HTTP.
    void setUnsendable(const std::string &id) { m_unsendable.insert(id); }
    /// Number of attempts to send such requests.
    std::size_t unsendableRequests() const { return m_unsendableRequests; }
    /// The upstreams answer this request with status 500 whenever they run it.
    void failAlways(const request_id &id) { m_failingCalls.insert(id.value); }
    /// Returns a batch whose items produce the given numbers of chunks.
    static node::batch makeBatch(const std::string &id, const std::string &model, std::uint64_t minVersion,
                                 const std::vector<unsigned> &chunkCounts);
    /// Extends the body of each item to this many bytes.
    static node::batch withBodies(node::batch submitted, std::size_t bytes);

    /// Upstreams with even and odd indices run different software versions, "1a" and "2b".
    void runTwoVersions();
    /// The upstream names this limit from now on; nullopt lifts it.
    void setLimit(std::size_t upstream, std::optional<double> perSecond);
    simulated_upstream &upstream(std::size_t index) { return m_upstreams.at(index); }
    const node::node_state &state(std::size_t daemon) const { return *m_daemons.at(daemon).state; }
    /// State of the daemon that owns a batch; of the first daemon if none does.
    const node::node_state &ownerState(const node::batch_id &id) const;
    std::size_t ownerIndex(const node::batch_id &id) const;
    bool isUp(std::size_t daemon) const { return m_daemons.at(daemon).up; }
    std::size_t daemonCount() const { return m_daemons.size(); }
    instant now() const { return m_now; }
    /// Number of rows of a table whose keys begin so.
    std::size_t rowCount(node::table_id table, const std::string &keyPrefix) const;
    /// Complete committed results of a batch in the table.
    std::vector<node::item_result> committedResults(const node::batch_id &id) const;
    bool allCommitted(const node::batch &submitted) const
    {
        return committedResults(submitted.id).size() >= submitted.items.size();
    }
    /// Number of reads of rows and of changes by all daemons.
    std::size_t readCount() const { return m_readCount; }
    std::size_t runsStarted() const { return m_runsStarted; }
    /// Number of reward calls that upstreams received, and of those that they ran.
    std::size_t rewardCallsReceived() const { return m_rewardCallsReceived; }
    std::size_t rewardCallsRun() const { return m_rewardCallsRun; }
    std::size_t claimCount() const { return m_claimCount; }
    std::size_t ordersSent() const { return m_ordersSent; }
    /// Number of runs and calls sent to each upstream.
    const std::map<upstream_id, std::size_t> &runsPerUpstream() const { return m_runsPerUpstream; }
    const std::vector<std::string> &violations() const { return m_violations; }
    std::string violationText() const;

private:
    struct simulated_process
    {
        std::unique_ptr<node::node_state> state;
        bool up = false;
        bool storeUnreachable = false;
        std::optional<instant> staleSince;
        milliseconds clockOffset{0};
        upstream_cut cut = upstream_cut::none;
        instant frozenUntil{};
        /// Incremented with each start and kill; events of an earlier generation are dropped.
        std::uint64_t generation = 0;
    };
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    /// Request of one daemon to another for changes of the table of upstreams.
    struct delta_request
    {
        std::size_t daemon = 0;
        /// Of the requesting daemon; its connection ends with its process.
        std::uint64_t generation = 0;
        node::op_id op;
        std::size_t target = 0;
    };

    void schedule(instant when, std::function<void()> action);
    void deliver(std::size_t daemon, std::uint64_t generation, node::event incoming);
    void deliverAfter(std::size_t daemon, milliseconds after, node::event incoming);
    void perform(std::size_t daemon, node::effect &requested);
    void requestUpstreamDelta(std::size_t daemon, const node::request_upstream_delta &request);
    void answerUpstreamDelta(const delta_request &request, const node::upstream_delta &delta);
    void readRows(std::size_t daemon, const node::read_rows &request);
    void readChanges(std::size_t daemon, const node::read_changes &request, instant requestedAt);
    void commit(std::size_t daemon, const node::commit_rows &transaction, instant deadline, bool answerLost);
    bool apply(const node::commit_rows &transaction);
    bool conditionsHold(const node::commit_rows &transaction) const;
    void put(const node::row_key &key, const std::string &value);
    node::row_change changeOf(const node::row_key &key) const;
    void startRun(std::size_t daemon, const node::run_item &request);
    void produceChunk(std::size_t daemon, node::op_id op, std::uint64_t generation);
    void forwardCall(std::size_t daemon, const node::forward_call &request);
    void answerForwardedCall(std::size_t daemon, const node::forward_call &request);
    void relayCall(std::size_t daemon, const node::relay_call &request);
    /// Passes the answer to a relayed call on. @returns false if the exchange is not that of a relayed call.
    bool returnRelayed(exchange_id exchange, const node::relayed_answer &answer);
    /// Handles a request to an upstream that the daemon cannot reach. @returns false if it can reach it.
    bool failsToConnect(std::size_t daemon, const node::event &unreachable);
    /// Handles a request that cannot be written as HTTP. @returns false if it can.
    bool failsToWrite(std::size_t daemon, const std::string &id, const node::event &unsendable);
    void forwardStream(std::size_t daemon, const node::forward_stream &request);
    void produceEvent(std::size_t daemon, node::op_id op, std::uint64_t generation);
    void receiveEvents(const node::send_stream &sent);
    /// Delivers a request of one daemon to another. @returns false if it cannot be reached.
    bool deliverToPeer(std::size_t daemon, node::op_id op, const endpoint &peer,
                       const std::function<node::event(exchange_id)> &makeEvent);
    void cancelForwardedCall(std::size_t daemon, node::op_id op);
    /// The head of a response reaches a daemon, or will once the daemon is not suspended.
    void deliverHead(std::size_t daemon, std::uint64_t generation, node::op_id op,
                     const upstream_id &upstream);
    /// The upstream responds soon; until then it has only read the request.
    void scheduleHead(std::size_t daemon, node::op_id op, const upstream_id &upstream);
    /// Checks that a request is not sent after the upstream announced to this daemon that it is leaving.
    void checkNotLeaving(std::size_t daemon, const upstream_id &upstream, const std::string &request);
    /// Checks that an upstream gets no more requests than its limit allows.
    void checkLimit(std::size_t daemon, const upstream_id &upstream);
    void checkRewardCall(const node::forward_call &request);
    void checkScore(const node::item_result &result);
    /// Checks that a text has all chunks of its item, and that one software version generated them.
    void checkText(const node::item_result &result);
    /// Runs a call that crashes its upstream.
    void crashUnder(const node::forward_call &request);
    void orderWeights(std::size_t daemon, const node::order_weights &request);
    void reportStatus(std::size_t daemon, const node::request_upstream_status &request);
    wall_time wallTimeOf(std::size_t daemon) const;
    void callDuty(std::size_t daemon, const node::call_duty &call);
    /// Checks that holders take turns as they may, and that no window is reported with different counts.
    void checkDutyCall(std::size_t daemon, std::uint64_t generation, const node::call_duty &call);
    /// Records that an upstream began a request.
    void recordBegun(const node::client_call &call);
    void writeUpstreamRow(const simulated_upstream &upstream);
    void writeUpstreamHeartbeats();
    void checkResults(const node::commit_rows &transaction);
    /// @returns the result at a position as it is after the transaction.
    std::optional<node::item_result> resultWrittenAt(const node::commit_rows &transaction,
                                                     const node::batch_id &id, std::size_t position) const;
    /// Text of a chunk, extended to the set size.
    std::string paddedChunk(const node::item_id &id, std::uint64_t number,
                            const std::string &softwareVersion) const;
    void addViolation(const std::string &text) { m_violations.push_back(text); }
    bool storeAnswers(std::size_t daemon) const
    {
        return !m_storeDown && !m_daemons.at(daemon).storeUnreachable;
    }
    /// Returns true with the given probability.
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    /// Draws a duration in milliseconds from a uniform distribution.
    milliseconds draw(int from, int to);
    simulated_upstream *findUpstream(const upstream_id &id);

    struct simulated_run
    {
        node::run_item request;
        std::uint64_t producedChunks = 0;
        /// Start time of the upstream's process that executes the run.
        std::uint64_t startedAtMs = 0;
        instant stalledUntil{};
    };

    std::mt19937_64 m_random;
    instant m_now{milliseconds{1000}};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_schedule;
    std::vector<simulated_process> m_daemons;
    std::vector<simulated_upstream> m_upstreams;
    std::map<node::row_key, stored_row> m_rows;
    std::vector<std::pair<std::uint64_t, node::row_key>> m_changes;
    std::map<node::row_key, node::decoded_row> m_foreign;
    std::uint64_t m_version = 1;
    std::uint64_t m_historyFrom = 0;
    bool m_storeDown = false;
    std::set<node::table_id> m_rejectedTables;
    double m_lostAnswerShare = 0;
    milliseconds m_answerTimeout{60};
    double m_lateWriteShare = 0;
    double m_brokenCallShare = 0;
    node::call_end m_brokenCallEnd = node::call_end::incomplete;
    std::map<std::pair<std::size_t, node::op_id>, simulated_run> m_runs;
    struct simulated_stream_run
    {
        node::forward_stream request;
        std::uint64_t producedEvents = 0;
        std::uint64_t startedAtMs = 0;
    };
    std::map<std::pair<std::size_t, node::op_id>, simulated_stream_run> m_streamRuns;
    std::map<exchange_id, simulated_stream> m_streams;
    std::map<request_id, std::set<std::string>> m_streamVersions;
    std::size_t m_streamRunCount = 0;
    /// Requesting daemon and its operation, by the exchange at the daemon that is asked about a stream.
    std::map<exchange_id, std::pair<std::size_t, node::op_id>> m_originRequests;
    /// Requesting daemon and its operation, by the exchange at the daemon to which a call is relayed.
    std::map<exchange_id, std::pair<std::size_t, node::op_id>> m_relayedCalls;
    /// The daemon to which each of them was relayed.
    std::map<exchange_id, std::size_t> m_relayTargets;
    std::map<exchange_id, simulated_answer> m_answers;
    std::map<std::string, std::optional<node::account_id>> m_accountsSeen;
    std::uint64_t m_lastExchange = 0;
    /// By the exchange at the daemon that is asked.
    std::map<exchange_id, delta_request> m_deltaRequests;
    double m_storeReads = 0;
    std::optional<milliseconds> m_revocationBound;
    std::optional<node::duty_settings> m_dutySettings;
    duty_behaviour m_dutyBehaviour = duty_behaviour::answers;
    /// Calls of one holder, without one of another in between.
    struct duty_turn
    {
        std::size_t daemon = 0;
        std::uint64_t generation = 0;
        fencing_number fencing;
        instant lastCallAt{};
    };
    std::vector<duty_turn> m_dutyTurns;
    std::size_t m_dutyCalls = 0;
    /// Counts of the first report that was sent for each window, and of the first that was taken.
    std::map<std::uint64_t, node::usage_counts> m_sentReports;
    std::map<std::uint64_t, node::usage_counts> m_usageReports;
    std::map<std::uint64_t, node::usage_counts> m_trueUsage;
    std::set<std::string> m_begun;
    std::size_t m_readCount = 0;
    std::size_t m_chunkBytes = 0;
    char m_chunkFill = '.';
    std::size_t m_runsStarted = 0;
    std::size_t m_claimCount = 0;
    std::size_t m_ordersSent = 0;
    std::map<upstream_id, std::size_t> m_runsPerUpstream;
    std::map<std::string, unsigned> m_chunkCounts;
    std::map<std::string, std::uint64_t> m_minVersions;
    struct simulated_reward
    {
        node::item_id item;
        node::batch_id batch;
        std::set<std::string> seals;
    };
    /// Upstreams of the forwarded calls in progress.
    std::map<std::pair<std::size_t, node::op_id>, upstream_id> m_calls;
    std::map<std::string, simulated_reward> m_rewards;
    /// Items whose last chunk was produced.
    std::set<std::string> m_completeTexts;
    std::map<exchange_id, node::batch_id> m_endRequests;
    std::map<node::batch_id, instant> m_batchEndedAt;
    std::set<std::string> m_failingCalls;
    std::set<std::string> m_unsendable;
    std::size_t m_unsendableRequests = 0;
    struct crashing_call
    {
        std::size_t crashes = 0;
        instant thirdCrashAt{};
        std::size_t sentLate = 0;
    };
    std::map<std::string, crashing_call> m_crashingCalls;
    std::size_t m_rewardCallsReceived = 0;
    std::size_t m_rewardCallsRun = 0;
    std::vector<std::shared_ptr<std::function<void()>>> m_ticks;
    std::vector<std::string> m_violations;
};

} // namespace jacinthvale::test
