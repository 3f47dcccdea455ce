/// Events: everything that can happen to a daemon. The top reducer hands each to the domains it concerns.
#pragma once

#include <jacinthvale/notice.h>
#include <jacinthvale/store.h>
#include <jacinthvale/types.h>
#include <jacinthvale/verdict.h>

#include <map>
#include <string>
#include <variant>

namespace jacinthvale {

/// Compares header names without regard to ASCII case.
struct header_less
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using http_headers = std::map<std::string, std::string, header_less>;

/// First event of a process.
struct process_started
{
    incarnation_id incarnation;
};

/// Comes every kTickPeriod.
struct tick
{};

inline constexpr milliseconds kTickPeriod{100};

struct timer_fired
{
    operation_id operation;
};

/// A caller's whole request arrived.
struct http_request_received
{
    exchange_id exchange;
    std::string method;
    /// Path without query, percent-decoded.
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers;
    std::string body;
    /// Path and query as they came.
    std::string target = {};
};

/// The caller of an unfinished exchange went away, or reads too slowly to be kept.
struct http_exchange_abandoned
{
    exchange_id exchange;
};

/// How an outgoing HTTP call ended at the transport.
enum class transfer_outcome : std::uint8_t {
    /// A whole response arrived.
    complete,
    /// Failed before any byte of the request left this process.
    nothing_sent,
    /// The connection broke after a byte was sent and before the response was whole.
    broken,
    /// A timeout passed after a byte was sent and before the response was whole.
    timed_out,
};

/// Head of a streamed response.
struct http_response_head
{
    operation_id operation;
    int status = 0;
    http_headers headers;
};

/// Next bytes of a streamed response's body.
struct http_response_chunk
{
    operation_id operation;
    std::string bytes;
};

/// End of an outgoing call. For a streamed call the body is empty: it came in chunks.
struct http_call_finished
{
    operation_id operation;
    transfer_outcome outcome = transfer_outcome::complete;
    int status = 0;
    http_headers headers;
    std::string body;
};

struct store_answered
{
    operation_id operation;
    store_outcome outcome;
};

/// A peer's authenticated message for one domain. The payload is the domain's own cereal encoding.
struct peer_message_received
{
    domain target = domain::membership;
    host_id sender;
    incarnation_id senderIncarnation;
    /// Where the sender takes messages.
    endpoint replyTo;
    std::string payload;
};

/// SIGTERM or an operator's order: stop gracefully.
struct shutdown_requested
{};

/// A domain told something to the others.
struct notice_raised
{
    domain from = domain::membership;
    notice what;
};

using event = std::variant<process_started, tick, timer_fired, http_request_received, http_exchange_abandoned,
                           http_response_head, http_response_chunk, http_call_finished, store_answered,
                           peer_message_received, shutdown_requested, notice_raised>;

} // namespace jacinthvale
