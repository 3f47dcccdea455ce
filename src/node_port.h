/// Interface between the daemon's runtime and a platform adapter, which encodes effects and decodes events.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/node.h>

#include <limits>
#include <memory>
#include <optional>

namespace jacinthvale::node {

/// Effects that call the platform's store.
using store_effect = std::variant<read_rows, read_changes, commit_rows>;

/// Encoded call to the store; it can be sent directly or relayed by a peer.
struct store_request
{
    std::string method;
    std::string path;
    std::string body;
    bool isWrite = false;
    /// Long-poll time: the store may delay its answer by this much.
    milliseconds wait{0};
};

/// @returns how a call ended, as far as the transfer tells.
inline call_end callEndOf(transfer_outcome outcome)
{
    switch (outcome) {
    case transfer_outcome::nothing_sent:
        return call_end::unreachable;
    case transfer_outcome::invalid_request:
        return call_end::unsendable;
    case transfer_outcome::failed_after_send:
        return call_end::incomplete;
    case transfer_outcome::timed_out:
        return call_end::timed_out;
    case transfer_outcome::malformed:
        return call_end::malformed;
    case transfer_outcome::displaced:
        return call_end::displaced;
    case transfer_outcome::complete:
        break;
    }
    return call_end::complete;
}

/// What the head of an upstream's response says about the process that sent it.
enum class leave_notice : std::uint8_t {
    none,
    /// The process is leaving and wants no new requests.
    leaving,
    /// The notice is damaged.
    malformed,
};

/// What the head of an upstream's response says about the requests that it takes.
struct rate_limit_notice
{
    /// Requests per second from all daemons together; nullopt if the upstream names no limit.
    std::optional<double> requestsPerSecond;
    /// The notice is damaged.
    bool malformed = false;
};

/// Decoded client request: an event for the reducer, or an immediate reply.
using decoded_request = std::variant<event, reply_http>;

/// Decodes the streamed response of one run.
class run_decoder
{
public:
    virtual ~run_decoder() = default;
    virtual void onResponseHead(int status, const http_headers &headers) = 0;
    /// Returns the chunks that these bytes complete.
    virtual std::vector<run_chunk> onBodyBytes(const std::string &bytes) = 0;
    virtual call_end onFinished(const http_call_finished &finished) = 0;
    /// Bytes of a chunk that is not complete.
    virtual std::size_t heldBytes() const = 0;
};

/// Decodes the response to a forwarded stream.
class stream_decoder
{
public:
    virtual ~stream_decoder() = default;
    /// @returns the headers for the caller; nullopt if the response is not a stream of the intended upstream.
    virtual std::optional<http_headers> onResponseHead(int status, const http_headers &headers) = 0;
    /// Returns the events that these bytes complete.
    virtual std::vector<run_chunk> onBodyBytes(const std::string &bytes) = 0;
    virtual call_ended onFinished(op_id op, http_call_finished finished) = 0;
    /// Bytes of an event that is not complete, or of an answer that is no stream.
    virtual std::size_t heldBytes() const = 0;
};

inline constexpr std::size_t kNoTreeLimit = std::numeric_limits<std::size_t>::max();

/// Translates between the daemon's types and the wire format of one platform. Stateless; makes no decisions.
class wire_port
{
public:
    virtual ~wire_port() = default;

    /// @param maxTreeBytes memory that the values of a document may take; a request with more is refused.
    virtual decoded_request decodeRequest(const http_request_received &request, const route_table &routes,
                                          std::size_t maxTreeBytes = kNoTreeLimit) const = 0;
    virtual reply_http encodeReply(const answer_call &answer) const = 0;
    virtual reply_http encodeReply(const refuse_call &answer) const = 0;
    virtual reply_http encodeReply(const accept_batch &answer) const = 0;
    virtual reply_http encodeReply(const answer_page &answer) const = 0;
    virtual reply_http encodeReply(const answer_item &answer) const = 0;
    virtual reply_http encodeReply(const answer_batch_ended &answer) const = 0;

    virtual store_request encodeStore(const store_effect &operation) const = 0;
    /// Returns the event for a final answer, or nullopt if the store did nothing and the call can be retried,
    /// or if the answer cannot be decoded.
    /// @param afterLostAnswer true if an earlier attempt got no answer and may have been executed.
    virtual std::optional<event> decodeStore(const store_effect &operation, int status,
                                             const std::string &body, bool afterLostAnswer) const = 0;

    /// Reads the notice from the head of any response of an upstream.
    virtual leave_notice decodeLeaveNotice(int status, const http_headers &headers) const = 0;
    virtual rate_limit_notice decodeRateLimit(int status, const http_headers &headers) const = 0;
    virtual call_http encodeRun(const run_item &run) const = 0;
    virtual std::unique_ptr<run_decoder> makeRunDecoder(const run_item &run) const = 0;
    virtual call_http encodeCall(const forward_call &forward) const = 0;
    virtual call_ended decodeCall(op_id op, const http_call_finished &finished) const = 0;
    virtual call_http encodeStream(const forward_stream &forward) const = 0;
    virtual std::unique_ptr<stream_decoder> makeStreamDecoder() const = 0;
    virtual call_http encodeStatusRequest(const request_upstream_status &query) const = 0;
    virtual upstream_status_received decodeStatusReport(op_id op,
                                                        const http_call_finished &finished) const = 0;
    virtual call_http encodeOrder(const order_weights &order) const = 0;
    virtual call_ended decodeOrder(op_id op, const http_call_finished &finished) const = 0;
    /// The caller sets the target.
    virtual call_http encodeDuty(const call_duty &call) const = 0;
    virtual call_ended decodeDuty(op_id op, const http_call_finished &finished) const = 0;
};

} // namespace jacinthvale::node
