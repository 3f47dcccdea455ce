/// Calls of a daemon to upstreams, duties and peers, from their start to the event that reports their end.
#pragma once

#include "node_port.h"

#include <jacinthvale/http_client.h>

#include <functional>
#include <map>
#include <memory>

namespace jacinthvale::node {

/// Path at a peer that returns changes of the upstreams.
inline constexpr const char *kUpstreamDeltaPath = "/node/upstreams";
/// Paths at a peer that keep and return the origin of a stream.
inline constexpr const char *kShareOriginPath = "/node/stream-origins";
inline constexpr const char *kFindOriginPath = "/node/stream-origin";
/// Path at a peer that takes a call of a daemon without a path to the upstreams.
inline constexpr const char *kRelayedCallPath = "/node/call";

/// Receives what calls report, always from the event loop and never while a call is being started.
struct outgoing_call_listener
{
    std::function<void(event)> onEvent;
    /// Receives the head of each response of an upstream.
    std::function<void(op_id op, const upstream_id &sender, int status, const http_headers &headers)> onHead;
};

/// Carries out the effects that call others. Each started call ends with one event, unless it is cancelled.
class outgoing_calls
{
public:
    /// @remarks client and port must outlive this object.
    outgoing_calls(http_client &client, const wire_port &port, outgoing_call_listener listener);

    void start(const run_item &run);
    void start(const forward_call &forward);
    void start(const forward_stream &forward);
    void start(const relay_call &relayed);
    void start(const request_upstream_status &query);
    void start(const order_weights &order);
    void start(const call_duty &duty, const endpoint &duties);
    void start(const request_upstream_delta &request);
    void start(const share_stream_origin &shared);
    void start(const find_stream_origin &wanted);
    void cancel(op_id op);

    std::size_t runningCalls() const { return m_calls.size(); }

private:
    struct running_call
    {
        http_call_handle handle;
        std::unique_ptr<run_decoder> decoder;
        std::unique_ptr<stream_decoder> streamDecoder;
    };

    /// @param upstream receiver of the call, whose response may tell about itself; empty for others.
    void startCall(op_id op, const call_http &call, std::function<event(http_call_finished)> decode,
                   const upstream_id &upstream = {});
    /// Creates the decoder of a streamed call. @returns the listener that reports what it decodes.
    http_call_listener streamListener(op_id op);
    void askForOrigin(op_id op, const endpoint &peer, const char *path, std::string body);

    http_client &m_client;
    const wire_port &m_port;
    outgoing_call_listener m_listener;
    std::map<op_id, running_call> m_calls;
};

} // namespace jacinthvale::node
