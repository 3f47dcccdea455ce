/// HTTP client: pooled connections, and the truth about whether a byte of a request was sent.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>

#include <functional>
#include <memory>
#include <string_view>

struct event_base;

namespace jacinthvale {

class connection_guard;

/// Receives what becomes of one call. onFinished comes exactly once, unless the call is cancelled. All
/// functions are called from the event loop, never from within start() or cancel(): callers hold references
/// meanwhile.
struct http_call_listener
{
    /// Optional; receives the head of the response before anything else of it.
    std::function<void(int status, http_headers headers)> onHead;
    /// Only for streamed calls.
    std::function<void(std::string bytes)> onChunk;
    std::function<void(http_call_finished)> onFinished;
    /// Optional, for streamed calls; bytes of the answer that the receiver keeps for this call.
    std::function<std::size_t()> heldBytes = {};
};

/// Where an answer breaks HTTP.
struct answer_fault
{
    /// Constant word for the log and the label of a counter, such as "field_name".
    std::string_view rule;
    /// Offset of the element that breaks the rule, in bytes from the beginning of the answer.
    std::size_t offset = 0;

    auto operator<=>(const answer_fault &) const = default;
};

/// @returns the counter of malformed answers with the rule as label.
std::string malformedAnswersMetric(const answer_fault &fault);

/// Told of each answer that breaks HTTP.
using answer_fault_observer = std::function<void(const endpoint &sender, const answer_fault &fault)>;

/// Told of each request that cannot be written as HTTP. @param field "method", "path" or the name of a
/// header, with other characters than those of a name left out.
using request_fault_observer = std::function<void(const endpoint &target, const std::string &field)>;

/// @returns the counter of such requests, with the label "method", "path" or "header".
std::string invalidRequestsMetric(const std::string &field);

/// Bounds of the connection pool and of answers.
struct http_client_limits
{
    std::size_t maxIdlePerTarget = 64;
    /// Idle connections older than this are closed: a server may be about to close them.
    milliseconds maxIdleAge{4000};
    /// A call whose answer is larger ends as malformed, and its connection is closed.
    std::size_t maxHeaderBytes = 64 * 1024;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

/// Handle of a running call.
using http_call_handle = number_id<struct http_call_tag>;

/// Makes calls. A request is never sent twice: a failed call is reported, not repeated. A request whose
/// method, path or headers would not arrive as they are ends as invalid_request; no part of it is sent.
class http_client
{
public:
    /// @param guard account of the process. An answer that it has no room for is not read on for a while;
    /// then calls end as displaced, by their rank.
    /// @remarks base and guard must outlive the client.
    http_client(event_base *base, connection_guard &guard, http_client_limits limits = {},
                answer_fault_observer onFault = {}, request_fault_observer onRequestFault = {});
    /// Client with an account of its own, for processes without listeners.
    explicit http_client(event_base *base, http_client_limits limits = {},
                         answer_fault_observer onFault = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call; the operation in it is copied to the events. Must not be called from a listener.
    http_call_handle start(const call_http &call, http_call_listener listener);

    /// Ends a call without further events. Must not be called from a listener.
    void cancel(http_call_handle handle);

    std::size_t runningCalls() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jacinthvale
