/// Domain of caller requests: routing, limits, retries, claims, tickets and streamed answers.
#pragma once

#include <jacinthvale/claims.h>
#include <jacinthvale/config.h>
#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>
#include <jacinthvale/limiter.h>
#include <jacinthvale/requests_queue.h>
#include <jacinthvale/router.h>
#include <jacinthvale/shared_bytes.h>
#include <jacinthvale/tickets.h>
#include <jacinthvale/verdict.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Validated request of a caller.
struct caller_request
{
    upstream_kind kind = upstream_kind::service;
    /// Name of the plain service, or of the model for engines.
    std::string target;
    std::string contentType;
    shared_bytes body;
    /// Engines only: true if the caller asks for server-sent events.
    bool streamed = false;
    std::optional<std::uint64_t> prefixHash;
    bool repeatable = false;
    std::string idempotencyKey;
    std::string ticket;
    /// True if the caller states that it has never sent this idempotency key before.
    bool isNewKey = false;
    caller_class_id callerClass;
    milliseconds timeLeft{0};
};

/// Call at another gate that was forwarded to this one and waits for the answer.
struct remote_recipient
{
    endpoint gate;
    /// Incarnation of that gate. A later process at the same address may use the same call numbers for other
    /// calls.
    incarnation_id incarnation;
    std::uint64_t number = 0;

    auto operator<=>(const remote_recipient &) const = default;
};

/// Receiver of an answer, and the time until which it waits.
struct answer_recipient
{
    std::variant<exchange_id, remote_recipient> destination;
    instant deadline{};
};

/// Number of tokens that one weight version produced.
struct token_segment
{
    std::uint64_t weightVersion = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const token_segment &) const = default;
};

/// Output of a completion so far, over all engines that ran parts of it.
struct completion_progress
{
    std::string id;
    std::string text;
    std::vector<token_segment> segments;
    std::string finishReason;
    /// Trailing bytes of the stream that are not yet a complete event.
    std::string unparsed;
    /// Body of an answer with a status other than 200, which is not an event stream.
    std::string errorBody;

    std::uint64_t tokens() const;
};

/// One attempt of a call at an upstream.
struct call_attempt
{
    std::uint64_t operation = 0;
    upstream_id upstream;
    instant startedAt{};
    bool firstByteReceived = false;
    int status = 0;
    http_headers headers;
};

enum class call_phase : std::uint8_t {
    /// The claim is being written to the store.
    claiming,
    /// Another gate owns the run; this one waits for its answer.
    awaiting_owner,
    /// The call waits for capacity at an upstream.
    queued,
    /// An attempt is in flight.
    running,
};

/// Gate that owns the run that a call waits for.
struct run_owner
{
    endpoint peer;
    incarnation_id incarnation;
    instant nextSendAt{};
    /// Time at which the owner last answered or reported that the request still runs.
    instant lastHeardAt{};
    /// Key of the claim row, which is read periodically; empty for tickets.
    std::string rowKey;
    instant nextReadAt{};
    bool reading = false;
    /// True once the owner's process has ended; the row then decides the answer.
    bool exited = false;
};

/// One request that is not answered yet.
struct call_record
{
    call_number number;
    caller_request request;
    std::vector<answer_recipient> recipients;
    instant receivedAt{};
    instant deadline{};
    call_phase phase = call_phase::queued;
    int attempts = 0;
    /// Combined verdict of the attempts so far.
    verdict outcome = verdict::not_run;
    std::vector<upstream_id> tried;
    std::optional<call_attempt> attempt;
    completion_progress progress;
    bool replyStarted = false;
    /// Name of the keyed run; empty without idempotency key or ticket.
    std::string runName;
    std::optional<run_owner> owner;
};

/// Queue and statistics of the upstreams that can serve the same requests.
struct request_pool
{
    fair_queue queue;
    /// Smoothed time from sending a request to the end of its answer; 0 until one was measured.
    double serviceMs = 0;
};

/// Upstream with its limiter and circuit breaker in this process.
struct upstream_record
{
    upstream_view view;
    concurrency_limiter limiter;
    circuit_breaker breaker;
    bool probing = false;
    /// True if the platform no longer lists the upstream. The record is erased when its last attempt has
    /// ended.
    bool removed = false;
    /// Until this time only new connections are used, because a request on a connection timed out.
    instant freshConnectionsUntil{};
};

/// Operation of this domain: an attempt of a call.
struct attempt_operation
{
    call_number call;
};
/// Probe of an upstream behind an open breaker or after a timeout.
struct probe_operation
{
    upstream_id upstream;
};
/// Transaction of claim rows.
struct claim_write_operation
{};
/// Read of the claim row that a call waits for.
struct claim_read_operation
{
    call_number call;
};
using request_operation
        = std::variant<attempt_operation, probe_operation, claim_write_operation, claim_read_operation>;

/// State of the requests domain.
struct requests_state
{
    process_identity self;
    std::shared_ptr<const config_document> config = std::make_shared<config_document>();
    std::map<upstream_id, upstream_record> upstreams;
    std::map<host_id, peer_view> peers;
    std::map<call_number, call_record> calls;
    std::map<exchange_id, call_number> exchanges;
    std::map<std::string, request_pool> pools;
    std::map<std::uint64_t, request_operation> operations;
    retry_budget budget;
    run_table runs;
    ticket_registry tickets;
    claim_batcher claimWrites;
    std::uint64_t lastNumber = 0;
    bool stopping = false;
    /// True while neither the store nor any peer is reachable. New work that is not repeatable is refused.
    bool isolated = false;
    bool drained = false;
    instant stoppingSince{};
};

/// Handles one event of the requests domain.
effects reduceRequests(requests_state &state, const event &incoming, const context &ctx);

/// @returns the section of this domain in GET /v1/status, as one JSON object.
std::string describeRequests(const requests_state &state, const context &ctx);

} // namespace jacinthvale
