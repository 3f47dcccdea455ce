/// Events and effects of the daemon of node.h. The adapter in platform/ makes the first and performs the
/// second.
#pragma once

#include <jacinthvale/node_types.h>

#include <absl/status/status.h>
#include <variant>

namespace jacinthvale::node {

/// Names a call, run or store operation; drawn by the reducer.
using op_id = number_id<struct op_tag>;

// Events.

/// First event of a process.
struct started
{
    incarnation_id incarnation;
};

/// Comes every kTickPeriod.
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
};

struct page_requested
{
    exchange_id exchange;
    batch_id batch;
    std::size_t after = 0;
    milliseconds wait{0};
};

struct item_requested
{
    exchange_id exchange;
    batch_id batch;
    item_id item;
};

struct batch_end_requested
{
    exchange_id exchange;
    batch_id batch;
};

/// The caller of an unanswered exchange went away.
struct caller_disconnected
{
    exchange_id exchange;
};

/// Decoded row of the operator or of an upstream; monostate for one that cannot be read or is removed.
struct named_version
{
    model_id model;
    weight_version version;
};
using decoded_row = std::variant<std::monostate, route_table, named_version, upstream_entry>;

struct row_change
{
    node::row row;
    decoded_row decodedRow;
};

/// Rows read or changed. More: the answer was cut at the service's limit.
struct rows_received
{
    op_id op;
    std::vector<row_change> rows;
    std::uint64_t version = 0;
    /// Steady clock of the store.
    std::uint64_t storeNowMs = 0;
    bool truncated = false;
};

/// The history asked for is gone: read the table anew.
struct history_expired
{
    op_id op;
};

/// A transaction took effect.
struct rows_committed
{
    op_id op;
    std::uint64_t version = 0;
    std::uint64_t storeNowMs = 0;
};

/// A transaction did not take effect; rows are the present ones of those that it expected.
struct rows_conflict
{
    op_id op;
    std::vector<row> rows;
    /// An earlier copy of it got no answer, and may be what changed the rows.
    bool afterLostAnswer = false;
};

/// A store operation ended without proof. MayHappen: it may have taken effect, or may still.
struct store_failed
{
    op_id op;
    bool outcomeUnknown = false;
    std::string reason;
};

/// Whole pieces of a generation, in order.
struct run_chunk
{
    std::uint64_t number = 0;
    std::string data;
    /// Version of the weights that made it; 0 where the stream did not say.
    std::uint64_t version = 0;
};

struct run_progressed
{
    op_id op;
    std::vector<run_chunk> chunks;
};

/// How a call at an upstream ended.
enum class call_end : std::uint8_t {
    /// The whole answer arrived and is the upstream's.
    complete,
    /// The upstream said that it did not run the request, or no byte was sent.
    not_run,
    /// Another upstream has the address, or another version of weights; not run.
    misdirected,
    /// The upstream failed it: the run counts.
    failed,
    /// The upstream says that it can never be done.
    permanently_rejected,
    /// No whole answer: it may have run.
    incomplete,
    /// No byte in time: it may have run.
    timed_out,
};

struct run_ended
{
    op_id op;
    call_end end = call_end::complete;
};

/// End of a forwarded call or of an order. Headers and body only for forwarded calls.
struct call_ended
{
    op_id op;
    call_end end = call_end::complete;
    int status = 0;
    http_headers headers;
    std::string body;
};

/// What an upstream reports when asked.
struct upstream_status_received
{
    op_id op;
    bool answered = false;
    bool busy = false;
    /// Number of orders that it has accepted since its start.
    std::uint64_t orders = 0;
    std::map<model_id, weight_version> weights;
};

/// Another daemon asks for changes of the table of upstreams.
struct upstream_delta_requested
{
    exchange_id exchange;
    std::uint64_t after = 0;
};

/// Answer of another daemon.
struct upstream_delta_received
{
    op_id op;
    upstream_delta delta;
};

struct stop_requested
{};

using event = std::variant<started, tick, call_received, batch_received, page_requested, item_requested,
                           batch_end_requested, caller_disconnected, rows_received, history_expired,
                           rows_committed, rows_conflict, store_failed, run_progressed, run_ended, call_ended,
                           upstream_status_received, upstream_delta_requested, upstream_delta_received,
                           stop_requested>;

// Effects.

struct read_rows
{
    op_id op;
    table_id table = table_id::heads;
    std::string partition;
    /// First key; empty for the first row.
    std::string from;
    /// Key behind the last one; empty for no end.
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

/// All conditions and puts are of one part, and take effect together or not at all.
struct commit_rows
{
    op_id op;
    std::string partition;
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    milliseconds deadline{4000};
};

/// Asks another daemon instead of the store.
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
    /// Pieces that are already there; the run goes on after them.
    std::uint64_t after = 0;
    /// 0 to 9, 0 first: an upstream that runs out of memory puts the least urgent run back.
    unsigned urgency = 5;
    milliseconds progressTimeout{2000};
};

struct forward_call
{
    op_id op;
    endpoint target;
    upstream_id upstream;
    client_call call;
    milliseconds remainingTimeout{0};
};

/// Ends a run or call without a further event.
struct cancel_call
{
    op_id op;
};

struct request_upstream_status
{
    op_id op;
    endpoint target;
    upstream_id upstream;
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
    /// The order is refused where the upstream has accepted another number of orders.
    std::uint64_t expectedOrders = 0;
};

/// The upstream's own answer, unchanged.
struct answer_call
{
    exchange_id exchange;
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Why a caller gets no answer of an upstream.
enum class refusal : std::uint8_t {
    /// Proved not run, now and later; come back after the given time.
    not_run,
    /// It may have run.
    may_have_run,
    /// Out of time; it may have run.
    deadline_exceeded,
    /// The configuration has no such route, batch or item.
    not_found,
    /// The request is malformed.
    malformed,
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

struct set_readiness
{
    bool ready = false;
};

/// Peers through which the store may be reached when it turns this host away.
struct set_relays
{
    std::vector<endpoint> peers;
};

/// One structured log line.
struct log_decision
{
    /// Stable word, for example "batch-accepted".
    std::string eventName;
    /// Id of the request, batch, item, upstream or lease concerned.
    std::string subject;
    std::string detail;
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

struct end_process
{};

using effect
        = std::variant<read_rows, read_changes, commit_rows, request_upstream_delta, answer_upstream_delta,
                       run_item, forward_call, cancel_call, request_upstream_status, order_weights,
                       answer_call, refuse_call, accept_batch, answer_page, answer_item, answer_batch_ended,
                       set_readiness, set_relays, log_decision, count, observe, end_process>;

using effects = std::vector<effect>;

} // namespace jacinthvale::node
