/// Events and effects of the reducer in node.h. The adapter in platform/ creates the events and performs the
/// effects.
#pragma once

#include <jacinthvale/node_duties.h>
#include <jacinthvale/node_memory.h>
#include <jacinthvale/node_types.h>

#include <absl/status/status.h>
#include <map>
#include <optional>
#include <variant>

namespace jacinthvale::node {

/// Identifies a call, run or store operation; assigned by the reducer.
using op_id = number_id<struct op_tag>;

/// Why a caller gets no answer from an upstream.
enum class refusal : std::uint8_t {
    /// The request did not run and will not run; the caller may retry after retryAfter.
    not_run,
    /// The request may have run.
    may_have_run,
    /// The deadline passed; the request may have run.
    deadline_exceeded,
    /// There is no such route, batch or item.
    not_found,
    /// The request is malformed.
    malformed,
    /// The request has no key of an account.
    unauthorized,
    /// The store can never take the batch.
    not_storable,
};

/// Answer of another daemon to relay_call: the response of an upstream, or the reason why there is none.
struct relayed_answer
{
    bool answered = false;
    int status = 0;
    http_headers headers;
    std::string body;
    refusal reason = refusal::not_run;
    /// The other daemon has no path to the upstreams itself.
    bool withoutPath = false;
};

// Events.

/// First event of a process.
struct started
{
    incarnation_id incarnation;
};

/// Sent every kTickPeriod.
struct tick
{};

inline constexpr milliseconds kTickPeriod{50};

struct call_received
{
    client_call call;
};

struct batch_received
{
    exchange_id exchange;
    batch spec;
    credential key = {};
};

struct page_requested
{
    exchange_id exchange;
    batch_id batch;
    std::size_t after = 0;
    milliseconds wait{0};
    credential key = {};
};

struct item_requested
{
    exchange_id exchange;
    batch_id batch;
    item_id item;
    credential key = {};
};

struct batch_end_requested
{
    exchange_id exchange;
    batch_id batch;
    credential key = {};
};

/// The caller of an unanswered exchange closed the connection.
struct caller_disconnected
{
    exchange_id exchange;
};

/// Weight version that the operator names for a model.
struct named_version
{
    model_id model;
    weight_version version;
};

/// Row of another writer that cannot be used.
struct unreadable_row
{
    /// Wire name of the field that is missing, of another type or out of range; empty if the row as a whole
    /// cannot be read.
    std::string field;

    auto operator<=>(const unreadable_row &) const = default;
};

/// Row written by the operator or by an upstream; monostate if it is removed.
using decoded_row = std::variant<std::monostate, route_table, named_version, upstream_entry, unreadable_row>;

struct row_change
{
    node::row row;
    decoded_row decodedRow;
};

/// Rows that were read, or that changed.
struct rows_received
{
    op_id op;
    std::vector<row_change> rows;
    std::uint64_t version = 0;
    /// Steady clock of the store.
    std::uint64_t storeNowMs = 0;
    /// The answer reached the size limit of the store; more rows follow.
    bool truncated = false;
};

/// The store no longer keeps the requested changes; the table must be read in full again.
struct history_expired
{
    op_id op;
};

/// A transaction was committed.
struct rows_committed
{
    op_id op;
    std::uint64_t version = 0;
    std::uint64_t storeNowMs = 0;
};

/// A condition of a transaction failed, so nothing was written.
struct rows_conflict
{
    op_id op;
    /// Current rows of the conditions.
    std::vector<row> rows;
    /// An earlier send of the same transaction got no answer and may itself have changed the rows.
    bool afterLostAnswer = false;
};

/// A store operation failed.
struct store_failed
{
    op_id op;
    /// The operation may have taken effect, or may still take effect.
    bool outcomeUnknown = false;
    std::string reason;
    /// The store rejected the operation as invalid, and will again.
    bool invalid = false;
};

/// One complete chunk of a generation; numbers start at 1.
struct run_chunk
{
    std::uint64_t number = 0;
    std::string data;
    /// Version of the weights that produced it; 0 if the stream did not say.
    std::uint64_t version = 0;
    /// The event as received, for streams that are forwarded; number 0 means that it has none.
    std::string event = {};
};

struct run_progressed
{
    op_id op;
    std::vector<run_chunk> chunks;
};

/// Outcome of a call to an upstream.
enum class call_end : std::uint8_t {
    /// The complete answer arrived from the intended upstream.
    complete,
    /// The upstream reported that it did not run the request.
    not_run,
    /// No byte was sent: there is no connection to the upstream.
    unreachable,
    /// The request cannot be written as HTTP, to any upstream; no byte was sent.
    unsendable,
    /// Another upstream has the address, or the weights have another version; not run.
    misdirected,
    /// The upstream ran the request and failed; counts as an attempt.
    failed,
    /// The upstream reported that the request can never succeed.
    permanently_rejected,
    /// The answer ended early; the request may have run.
    incomplete,
    /// No byte arrived in time; the request may have run.
    timed_out,
    /// What arrived is no answer; the request may have run.
    malformed,
    /// This process had no memory for the answer; the request may have run.
    displaced,
};

struct run_ended
{
    op_id op;
    call_end end = call_end::complete;
};

/// End of a forwarded call, of an order, or of a call of a duty. Headers, body and seal are set only for
/// forwarded calls.
struct call_ended
{
    op_id op;
    call_end end = call_end::complete;
    int status = 0;
    http_headers headers;
    std::string body;
    /// Integrity seal that the upstream computed over its answer.
    std::string seal = {};
};

/// What an upstream says about loads of weights.
struct load_status
{
    /// A load is in progress.
    bool busy = false;
    /// Number of orders that the upstream has accepted since its start.
    std::uint64_t orders = 0;
    std::map<model_id, weight_version> weights;

    auto operator<=>(const load_status &) const = default;
};

/// Status of an upstream, as requested by request_upstream_status.
struct upstream_status_received
{
    op_id op;
    /// False if there was no answer or it could not be read.
    bool answered = false;
    /// A whole response of any kind arrived.
    bool reached = false;
    /// Unix time at which the upstream's process started; 0 if the upstream does not tell.
    std::uint64_t startedAtMs = 0;
    /// nullopt if one of its fields is missing or of another type.
    std::optional<load_status> loads;
};

/// The head of a response says that the upstream process which sent it is leaving. Precedes the outcome of
/// the operation.
struct upstream_leave_announced
{
    op_id op;
    upstream_id upstream;
};

/// The head of a response tells how many requests the upstream takes. Also reported without a limit where one
/// was known before.
struct upstream_limit_read
{
    op_id op;
    upstream_id upstream;
    /// Requests per second from all daemons together; nullopt if the upstream names no limit.
    std::optional<double> requestsPerSecond;
};

/// Another daemon requests the changes of the table of upstreams after a version.
struct upstream_delta_requested
{
    exchange_id exchange;
    std::uint64_t after = 0;
};

/// Answer of another daemon to request_upstream_delta.
struct upstream_delta_received
{
    op_id op;
    upstream_delta delta;
};

/// The head of a successful response to forward_stream.
struct stream_started
{
    op_id op;
    http_headers headers;
};

/// Events of a forwarded stream. Its end is a call_ended.
struct stream_progressed
{
    op_id op;
    std::vector<run_chunk> events;
};

/// Another daemon tells the origin of a stream that it forwards.
struct stream_origin_shared
{
    exchange_id exchange;
    request_id stream;
    upstream_build build;
};

/// Another daemon asks for the origin of a stream.
struct stream_origin_requested
{
    exchange_id exchange;
    request_id stream;
    service_id service;
};

/// Answer of another daemon to share_stream_origin or find_stream_origin; nullopt if it did not answer.
struct stream_origin_received
{
    op_id op;
    std::optional<stream_origin> origin;
};

/// Another daemon, which has no path to the upstreams, relays a call.
struct relayed_call_received
{
    client_call call;
    /// Maximum number of upstreams to which the call may be sent.
    unsigned attempts = 1;
    /// Upstreams to which the call was sent before.
    std::vector<upstream_id> tried = {};
};

/// End of a relayed call. A relayed stream that another daemon forwards ends without an answer.
struct relayed_call_ended
{
    op_id op;
    /// How the request to the other daemon ended.
    call_end end = call_end::complete;
    /// nullopt if the other daemon forwarded a stream, or did not answer.
    std::optional<relayed_answer> answer;
};

/// Answers that wait for their callers take a large part of the memory for them.
struct answers_unread
{
    std::vector<unread_answer> answers;
};

struct stop_requested
{};

using event
        = std::variant<started, tick, call_received, batch_received, page_requested, item_requested,
                       batch_end_requested, caller_disconnected, rows_received, history_expired,
                       rows_committed, rows_conflict, store_failed, run_progressed, run_ended, call_ended,
                       upstream_status_received, upstream_leave_announced, upstream_limit_read,
                       upstream_delta_requested, upstream_delta_received, stream_started, stream_progressed,
                       stream_origin_shared, stream_origin_requested, stream_origin_received,
                       relayed_call_received, relayed_call_ended, answers_unread, stop_requested>;

// Effects.

struct read_rows
{
    op_id op;
    table_id table = table_id::heads;
    std::string partition;
    /// First key, inclusive; empty starts at the first row.
    std::string from;
    /// Last key, exclusive; empty means no limit.
    std::string to;
};

struct read_changes
{
    op_id op;
    table_id table = table_id::heads;
    std::uint64_t after = 0;
    milliseconds wait{0};
};

struct row_condition
{
    table_id table = table_id::heads;
    std::string key;
    std::uint64_t version = 0;
};

struct row_put
{
    table_id table = table_id::heads;
    std::string key;
    std::string value;
};

struct row_removal
{
    table_id table = table_id::heads;
    std::string key;
};

/// Transaction in one partition: all puts and removals take effect if all conditions hold, otherwise none.
struct commit_rows
{
    op_id op;
    std::string partition;
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    milliseconds deadline{4000};
    std::vector<row_removal> removals = {};
};

/// Requests changes of the table of upstreams from another daemon instead of the store.
struct request_upstream_delta
{
    op_id op;
    endpoint peer;
    std::uint64_t after = 0;
};

struct answer_upstream_delta
{
    exchange_id exchange;
    upstream_delta delta;
};

struct run_item
{
    op_id op;
    endpoint target;
    upstream_id upstream;
    std::string host;
    batch_item item;
    /// Chunks already received; the run resumes after them.
    std::uint64_t after = 0;
    /// 0 (most urgent) to 9: an upstream that runs out of memory preempts the least urgent run.
    unsigned urgency = 5;
    milliseconds progressTimeout{2000};
    /// Account of the batch; nullopt where requests need no key.
    std::optional<account_id> account = {};
};

struct forward_call
{
    op_id op;
    endpoint target;
    upstream_id upstream;
    client_call call;
    milliseconds remainingTimeout{0};
    bool repeatable = false;
};

/// Forwards a call whose answer is a stream of events. Events: stream_started, stream_progressed, call_ended.
struct forward_stream
{
    op_id op;
    endpoint target;
    upstream_id upstream;
    client_call call;
    /// Number of the last event that the caller has; the upstream goes on after it.
    std::uint64_t after = 0;
    milliseconds remainingTimeout{0};
    /// Longest time without a byte.
    milliseconds progressTimeout{0};
    /// Another upstream can go on with the stream.
    bool resumable = false;
};

/// Starts the streamed answer to a caller.
struct begin_stream
{
    exchange_id exchange;
    http_headers headers;
};

struct send_stream
{
    exchange_id exchange;
    std::string bytes;
};

/// Ends a streamed answer. An incomplete one ends with its connection, so that the caller notices.
struct end_stream
{
    exchange_id exchange;
    bool complete = false;
};

/// Tells another daemon the origin of a stream.
struct share_stream_origin
{
    op_id op;
    endpoint peer;
    request_id stream;
    upstream_build build;
};

/// Asks another daemon for the origin of a stream.
struct find_stream_origin
{
    op_id op;
    endpoint peer;
    request_id stream;
    service_id service;
};

struct answer_stream_origin
{
    exchange_id exchange;
    stream_origin origin;
};

/// Sends a call to another daemon, which forwards it to an upstream. Events: relayed_call_ended; for streams,
/// stream_started and stream_progressed before it.
struct relay_call
{
    op_id op;
    endpoint peer;
    client_call call;
    /// Maximum number of upstreams to which the other daemon may send the call.
    unsigned attempts = 1;
    milliseconds remainingTimeout{0};
    /// The answer is a stream of events.
    bool isStream = false;
    /// Upstreams to which the call was sent before.
    std::vector<upstream_id> tried = {};
    /// Longest time without a byte.
    milliseconds progressTimeout{0};
};

/// Cancels a run or call; no further event follows.
struct cancel_call
{
    op_id op;
};

struct request_upstream_status
{
    op_id op;
    endpoint target;
    upstream_id upstream;
    /// Opens a connection of its own, so that an answer proves that new ones are accepted.
    bool newConnection = false;
};

struct order_weights
{
    op_id op;
    endpoint target;
    upstream_id upstream;
    model_id model;
    weight_version version;
    host_id holder;
    fencing_number fencing;
    /// The upstream refuses the order if it has accepted a different number of orders.
    std::uint64_t expectedOrders = 0;
};

/// Calls the platform for a duty. Event: call_ended.
struct call_duty
{
    op_id op;
    duty_call call;
    host_id holder;
    fencing_number fencing;
    /// The call is not sent after this time: its holder may have been suspended since it was decided.
    instant sendBy{};
};

/// Sends the upstream's answer to the caller, unchanged.
struct answer_call
{
    exchange_id exchange;
    int status = 200;
    http_headers headers;
    std::string body;
};

struct refuse_call
{
    exchange_id exchange;
    refusal reason = refusal::not_run;
    milliseconds retryAfter{0};
};

struct accept_batch
{
    exchange_id exchange;
};

struct answer_page
{
    exchange_id exchange;
    std::size_t total = 0;
    std::size_t after = 0;
    std::vector<item_result> results;
};

struct answer_item
{
    exchange_id exchange;
    std::string body;
};

struct answer_batch_ended
{
    exchange_id exchange;
};

/// Closes the connection of a caller that has not read its whole answer.
struct end_answer
{
    exchange_id exchange;
};

struct set_readiness
{
    bool ready = false;
};

/// Sets the peers that relay store calls when the store refuses this host.
struct set_relays
{
    std::vector<endpoint> peers;
};

/// Named values of a log line, for programs that read the log.
using log_fields = std::vector<std::pair<std::string, std::variant<std::int64_t, std::string>>>;

/// One structured log line.
struct log_decision
{
    /// Stable event name, for example "batch-accepted".
    std::string eventName;
    /// Id of the request, batch, item, upstream or lease.
    std::string subject;
    std::string detail;
    log_fields fields = {};
};

struct count
{
    std::string name;
    double amount = 1;
};

struct observe
{
    std::string name;
    double value = 0;
};

/// Sets a value of /metrics that goes up and down.
struct gauge
{
    std::string name;
    double value = 0;
};

struct end_process
{};

using effect
        = std::variant<read_rows, read_changes, commit_rows, request_upstream_delta, answer_upstream_delta,
                       run_item, forward_call, forward_stream, relay_call, begin_stream, send_stream,
                       end_stream, share_stream_origin, find_stream_origin, answer_stream_origin, cancel_call,
                       request_upstream_status, order_weights, call_duty, answer_call, refuse_call,
                       accept_batch, answer_page, answer_item, answer_batch_ended, end_answer, set_readiness,
                       set_relays, log_decision, count, observe, gauge, end_process>;

using effects = std::vector<effect>;

} // namespace jacinthvale::node
