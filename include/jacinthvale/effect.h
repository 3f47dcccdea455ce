/// Effects: requests of a reducer to the runtime. They are plain data, so that tests can inspect them.
#pragma once

#include <jacinthvale/event.h>
#include <jacinthvale/shared_bytes.h>

#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Requests one timer_fired. Starting a running timer again reschedules it.
struct start_timer
{
    operation_id operation;
    milliseconds after{0};
};

struct cancel_timer
{
    operation_id operation;
};

/// What becomes of a response when this process has no memory for all of them.
enum class answer_rank : std::uint8_t {
    /// Part of a call of the service itself, such as one to the store or to a peer; never gives way.
    essential,
    /// The request must not be sent again.
    single,
    /// The request may be sent again; gives way first.
    repeatable,
};

/// Requests an outgoing HTTP call. It ends in exactly one http_call_finished unless cancelled.
struct call_http
{
    operation_id operation;
    endpoint target;
    std::string method = "POST";
    /// Path with query, percent-encoded.
    std::string path;
    http_headers headers;
    shared_bytes body;
    milliseconds connectTimeout{1000};
    /// Longest time without a byte of the response after the request was sent.
    milliseconds progressTimeout{30000};
    /// True if the body is delivered in http_response_chunk events.
    bool streamed = false;
    /// True if the call must not reuse a connection: for requests that may not be repeated, and for probes.
    bool freshConnection = false;
    /// Name and value of a header that the response must repeat; an empty value: that it must not have. Any
    /// other response belongs to another request: the call ends as failed_after_send. Not checked if empty.
    std::pair<std::string, std::string> echo;
    answer_rank rank = answer_rank::essential;
};

/// Cancels a call without a further event and closes its connection.
struct cancel_http
{
    operation_id operation;
};

/// Sends a complete response.
struct reply_http
{
    exchange_id exchange;
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Begins a streamed response.
struct begin_reply
{
    exchange_id exchange;
    int status = 200;
    http_headers headers;
};

struct reply_chunk
{
    exchange_id exchange;
    std::string bytes;
};

/// Ends a streamed response. If aborted, the connection is closed early so that the caller sees an incomplete
/// response.
struct end_reply
{
    exchange_id exchange;
    bool aborted = false;
};

/// Requests a store operation. It ends in exactly one store_call_finished, at the latest after the deadline.
struct call_store
{
    operation_id operation;
    store_operation request;
    milliseconds deadline{5000};
};

/// Transport of a message to a peer.
enum class peer_transport : std::uint8_t {
    /// UDP: the message may be lost; at most kMaxDatagramPayload bytes.
    datagram,
    /// TCP: in order on one connection; the message is lost if that connection fails.
    stream,
};

inline constexpr std::size_t kMaxDatagramPayload = 1200;

struct send_peer
{
    endpoint target;
    peer_transport transport = peer_transport::datagram;
    domain targetDomain = domain::membership;
    std::string payload;
};

/// Appends an entry to the timeline and writes it as a structured log line.
struct record_entry
{
    /// Stable event name, for example "claim-won".
    std::string eventName;
    /// Id of the request, sample, lease or configuration change.
    std::string subject;
    std::string detail;
};

/// Adds to a counter of /metrics.
struct count_metric
{
    std::string name;
    double amount = 1;
};

/// Sets a gauge of /metrics.
struct gauge_metric
{
    std::string name;
    double value = 0;
};

/// Adds a sample to a distribution of /metrics.
struct observe_metric
{
    std::string name;
    double value = 0;
};

/// Delivers a domain event to all other domains of this process before the next event.
struct raise_domain_event
{
    domain_event payload;
};

/// Marks a domain as ready or not ready. /readyz returns 200 only while all domains are ready.
struct set_ready
{
    domain source = domain::requests;
    bool ready = true;
    std::string reason;
};

/// Terminates the process with this exit code.
struct exit_process
{
    int code = 0;
};

using effect = std::variant<start_timer, cancel_timer, call_http, cancel_http, reply_http, begin_reply,
                            reply_chunk, end_reply, call_store, send_peer, record_entry, count_metric,
                            gauge_metric, observe_metric, raise_domain_event, set_ready, exit_process>;

using effects = std::vector<effect>;

} // namespace jacinthvale
