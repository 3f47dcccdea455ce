/// Input events of a daemon. The top-level reducer dispatches each event to the domains that handle it.
#pragma once

#include <jacinthvale/domain_event.h>
#include <jacinthvale/shared_bytes.h>
#include <jacinthvale/store.h>
#include <jacinthvale/types.h>
#include <jacinthvale/verdict.h>

#include <map>
#include <set>
#include <string>
#include <variant>

namespace jacinthvale {

/// Compares header names, ignoring ASCII case.
struct header_less
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using http_headers = std::map<std::string, std::string, header_less>;

/// First event after process start.
struct process_started
{
    incarnation_id incarnation;
};

/// Raised every kTickPeriod.
struct tick
{};

inline constexpr milliseconds kTickPeriod{100};

struct timer_fired
{
    operation_id operation;
};

/// A request of a caller was received completely.
struct http_request_received
{
    exchange_id exchange;
    std::string method;
    /// Path without query, percent-decoded.
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers;
    shared_bytes body;
    /// Path and query as received, not decoded.
    std::string target = {};
    /// Names that came more than once; `headers` has the first value of each.
    std::set<std::string, header_less> repeatedHeaders = {};
};

/// The caller of an unfinished exchange disconnected, or was disconnected because it reads too slowly.
struct http_exchange_abandoned
{
    exchange_id exchange;
};

/// Transport-level outcome of an outgoing HTTP call.
enum class transfer_outcome : std::uint8_t {
    /// A complete response was received.
    complete,
    /// The call failed before any byte of the request was sent.
    nothing_sent,
    /// The request cannot be written as HTTP, to any target; no byte of it was sent.
    invalid_request,
    /// The connection failed after a byte was sent and before the response was complete.
    failed_after_send,
    /// A timeout expired after a byte was sent and before the response was complete.
    timed_out,
    /// A byte was sent, and what came back breaks HTTP or is larger than any answer may be.
    malformed,
    /// A byte was sent, and this process gave the response up because it has no memory for it.
    displaced,
};

/// True if the target cannot have seen the request.
constexpr bool isUnsent(transfer_outcome outcome)
{
    return outcome == transfer_outcome::nothing_sent || outcome == transfer_outcome::invalid_request;
}

/// Status and headers of a streamed response.
struct http_response_head
{
    operation_id operation;
    int status = 0;
    http_headers headers;
};

/// Next bytes of the body of a streamed response.
struct http_response_chunk
{
    operation_id operation;
    std::string bytes;
};

/// End of an outgoing call. The body of a streamed call is empty: it was delivered in chunks.
struct http_call_finished
{
    operation_id operation;
    transfer_outcome outcome = transfer_outcome::complete;
    int status = 0;
    http_headers headers;
    std::string body;
};

/// End of a store operation.
struct store_call_finished
{
    operation_id operation;
    store_outcome outcome;
};

/// Authenticated message of a peer to one domain. The payload is the cereal encoding of that domain.
struct peer_message_received
{
    domain target = domain::membership;
    host_id sender;
    incarnation_id senderIncarnation;
    /// Endpoint at which the sender receives messages.
    endpoint replyTo;
    std::string payload;
};

/// SIGTERM or an operator requested a graceful stop.
struct shutdown_requested
{};

/// Another domain of this process, or the top-level reducer, raised a domain event.
struct domain_event_raised
{
    domain source = domain::membership;
    domain_event payload;
};

using event = std::variant<process_started, tick, timer_fired, http_request_received, http_exchange_abandoned,
                           http_response_head, http_response_chunk, http_call_finished, store_call_finished,
                           peer_message_received, shutdown_requested, domain_event_raised>;

} // namespace jacinthvale
