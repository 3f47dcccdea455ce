/// Effects: everything a reducer can ask the runtime to do. They are data; tests read them.
#pragma once

#include <jacinthvale/event.h>

#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Asks for one timer_fired. Starting a running timer again moves it.
struct start_timer
{
    operation_id operation;
    milliseconds after{0};
};

struct cancel_timer
{
    operation_id operation;
};

/// Asks for an outgoing HTTP call; ends in exactly one http_call_finished unless cancelled.
struct call_http
{
    operation_id operation;
    endpoint target;
    std::string method = "POST";
    /// Path with query, percent-encoded.
    std::string path;
    http_headers headers;
    std::string body;
    milliseconds connectTimeout{1000};
    /// Longest time without any byte of the response after the request was sent.
    milliseconds progressTimeout{30000};
    /// True: the body comes in http_response_chunk events.
    bool streamed = false;
    /// True: never a reused connection. For requests that may not be repeated, and for probes.
    bool freshConnection = false;
    /// Header that the response repeats, and its value. A response with another value belongs to another
    /// request: the call ends as broken. Empty: not checked.
    std::pair<std::string, std::string> echo;
};

/// Ends a call without a further event; its connection is closed.
struct cancel_http
{
    operation_id operation;
};

/// Answers an exchange whole.
struct reply_http
{
    exchange_id exchange;
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Begins a streamed answer.
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

/// Ends a streamed answer. With aborted the connection is cut so that the caller sees it is not whole.
struct end_reply
{
    exchange_id exchange;
    bool aborted = false;
};

/// Asks for a store operation; ends in exactly one store_answered, at the latest after the deadline.
struct call_store
{
    operation_id operation;
    store_operation what;
    milliseconds deadline{5000};
};

/// How a message to a peer travels.
enum class peer_transport : std::uint8_t {
    /// UDP: may be lost; at most kMaxDatagramPayload bytes.
    datagram,
    /// TCP: in order on one connection; lost if that connection breaks.
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

/// One entry of the time line; also written as a structured log line.
struct record_entry
{
    /// Stable word, for example "claim-won".
    std::string what;
    /// Id of the request, sample, lease or change concerned.
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

/// Tells a fact to all other domains of this process, before the next event.
struct raise_notice
{
    notice what;
};

/// Marks a domain ready or not ready; /readyz is 200 only when all domains are ready.
struct set_ready
{
    domain which = domain::requests;
    bool ready = true;
    std::string reason;
};

/// Ends the process with this exit code.
struct exit_process
{
    int code = 0;
};

using effect = std::variant<start_timer, cancel_timer, call_http, cancel_http, reply_http, begin_reply,
                            reply_chunk, end_reply, call_store, send_peer, record_entry, count_metric,
                            gauge_metric, observe_metric, raise_notice, set_ready, exit_process>;

using effects = std::vector<effect>;

} // namespace jacinthvale
