/// Requests of callers: routing, limits, retries, claims, tickets and streamed answers.
#pragma once

#include <jacinthvale/claims.h>
#include <jacinthvale/config.h>
#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>
#include <jacinthvale/limiter.h>
#include <jacinthvale/requests_queue.h>
#include <jacinthvale/router.h>
#include <jacinthvale/tickets.h>
#include <jacinthvale/verdict.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// A caller's request, checked and typed.
struct caller_request
{
    upstream_kind kind = upstream_kind::service;
    /// Plain service's name, or the model.
    std::string target;
    std::string contentType;
    std::string body;
    /// Engines only: the caller wants server-sent events.
    bool streamed = false;
    std::optional<std::uint64_t> prefixHash;
    bool repeatable = false;
    std::string idempotencyKey;
    std::string ticket;
    /// The caller states that it never sent this idempotency key before.
    bool firstTry = false;
    caller_class_id callerClass;
    milliseconds timeLeft{0};
};

/// A call that another gate passed on to this one, and waits for.
struct remote_recipient
{
    endpoint gate;
    /// Its incarnation; a successor at the same address has other calls under the same numbers.
    incarnation_id incarnation;
    std::uint64_t number = 0;

    auto operator<=>(const remote_recipient &) const = default;
};

/// Whoever gets the answer, and how long it waits.
struct answer_recipient
{
    std::variant<exchange_id, remote_recipient> to;
    instant deadline{};
};

/// Tokens that one weight version produced.
struct token_segment
{
    std::uint64_t weightVersion = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const token_segment &) const = default;
};

/// What a completion has produced so far, over all engines that worked on it.
struct completion_progress
{
    std::string id;
    std::string text;
    std::vector<token_segment> segments;
    std::string finishReason;
    /// Bytes of the stream that are not yet a whole event.
    std::string unparsed;
    /// Body of an answer that is no stream.
    std::string refusal;

    std::uint64_t tokens() const;
};

/// One sending of a call to an upstream.
struct call_attempt
{
    std::uint64_t operation = 0;
    upstream_id upstream;
    instant startedAt{};
    bool sawFirstByte = false;
    int status = 0;
    http_headers headers;
};

enum class call_phase : std::uint8_t {
    /// Its claim is on the way to the store.
    claiming,
    /// Another gate runs it; its answer is awaited.
    awaiting_owner,
    /// Waits for room at an upstream.
    queued,
    /// An attempt is in flight.
    running,
};

/// Gate that owns the run another call waits for.
struct run_owner
{
    endpoint peer;
    incarnation_id incarnation;
    instant nextSend{};
    /// When it last answered or said that it still runs the request.
    instant lastHeard{};
    /// Claim row, read now and then; empty for tickets.
    std::string rowKey;
    instant nextRead{};
    bool reading = false;
    /// The owner's process is over: the row decides.
    bool gone = false;
};

/// One request on its way.
struct call_record
{
    call_number number;
    caller_request request;
    std::vector<answer_recipient> recipients;
    instant receivedAt{};
    instant deadline{};
    call_phase phase = call_phase::queued;
    int attempts = 0;
    /// What the attempts so far prove.
    verdict outcome = verdict::not_run;
    std::vector<upstream_id> tried;
    std::optional<call_attempt> attempt;
    completion_progress progress;
    bool replyBegun = false;
    /// Name of its keyed run; empty without idempotency key or ticket.
    std::string runName;
    std::optional<run_owner> owner;
};

/// Upstreams that can serve the same requests.
struct request_pool
{
    fair_queue queue;
    /// Smoothed time from sending to the end of an answer.
    double serviceMs = 0;
};

/// One upstream with what this process learned of it.
struct upstream_record
{
    upstream_view view;
    concurrency_limiter limiter;
    circuit_breaker breaker;
    bool probing = false;
    /// Off the platform's list; forgotten when the last attempt there has ended.
    bool gone = false;
    /// Until then no reused connection: one went silent.
    instant freshUntil{};
};

/// What an operation of this domain is for.
struct attempt_operation
{
    call_number call;
};
struct probe_operation
{
    upstream_id upstream;
};
struct ledger_operation
{};
struct row_read_operation
{
    call_number call;
};
using request_operation
        = std::variant<attempt_operation, probe_operation, ledger_operation, row_read_operation>;

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
    ticket_book tickets;
    claim_batcher ledger;
    std::uint64_t lastNumber = 0;
    bool stopping = false;
    /// Neither the store nor a peer is heard: no new work that may not be repeated.
    bool isolated = false;
    bool drained = false;
    instant stoppingSince{};
};

/// Handles one event of the requests domain.
effects reduceRequests(requests_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeRequests(const requests_state &state, const context &at);

} // namespace jacinthvale
