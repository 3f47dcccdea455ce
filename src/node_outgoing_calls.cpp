#include "node_outgoing_calls.h"

#include "node_pack.h"
#include "node_relay.h"
#include "node_upstream_delta_message.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

constexpr int kOk = 200;

/// Timeouts of a request for changes of the upstreams. They leave time to ask another daemon within the 2 s
/// in which the removal of an upstream must be noticed.
constexpr milliseconds kUpstreamDeltaConnectTimeout{300};
constexpr milliseconds kUpstreamDeltaTimeout{500};

/// Timeout of the requests about the origin of a stream.
constexpr milliseconds kOriginTimeout{400};

/// Longest time in which a peer that takes a call accepts a connection.
constexpr milliseconds kRelayConnectTimeout{300};

answer_rank rankOf(bool repeatable)
{
    return repeatable ? answer_rank::repeatable : answer_rank::single;
}

call_http peerCall(const endpoint &peer, const char *path, std::string body)
{
    call_http call;
    call.target = peer;
    call.method = "POST";
    call.path = path;
    call.body = std::move(body);
    return call;
}

} // namespace

outgoing_calls::outgoing_calls(http_client &client, const wire_port &port, outgoing_call_listener listener)
    : m_client(client)
    , m_port(port)
    , m_listener(std::move(listener))
{}

void outgoing_calls::start(const run_item &run)
{
    const op_id op = run.op;
    running_call &running = m_calls[op];
    running.decoder = m_port.makeRunDecoder(run);
    run_decoder *decoder = running.decoder.get();
    call_http call = m_port.encodeRun(run);
    call.rank = answer_rank::repeatable;
    running.handle = m_client.start(
            call, {[this, op, decoder, upstream = run.upstream](int status, const http_headers &headers) {
                       m_listener.onHead(op, upstream, status, headers);
                       decoder->onResponseHead(status, headers);
                   },
                   [this, op, decoder](const std::string &bytes) {
                       auto chunks = decoder->onBodyBytes(bytes);
                       if (!chunks.empty()) {
                           m_listener.onEvent(run_progressed{op, std::move(chunks)});
                       }
                   },
                   [this, op, decoder](const http_call_finished &finished) {
                       m_listener.onEvent(run_ended{op, decoder->onFinished(finished)});
                       m_calls.erase(op);
                   },
                   [decoder] { return decoder->heldBytes(); }});
}

void outgoing_calls::start(const forward_call &forward)
{
    call_http call = m_port.encodeCall(forward);
    call.rank = rankOf(forward.repeatable);
    startCall(
            forward.op, call,
            [this, op = forward.op](const http_call_finished &f) { return m_port.decodeCall(op, f); },
            forward.upstream);
}

void outgoing_calls::start(const forward_stream &forward)
{
    const op_id op = forward.op;
    http_call_listener listener = streamListener(op);
    listener.onHead = [this, op, upstream = forward.upstream,
                       onHead = std::move(listener.onHead)](int status, const http_headers &headers) {
        m_listener.onHead(op, upstream, status, headers);
        onHead(status, headers);
    };
    call_http call = m_port.encodeStream(forward);
    call.rank = rankOf(forward.resumable);
    m_calls[op].handle = m_client.start(call, std::move(listener));
}

void outgoing_calls::start(const relay_call &relayed)
{
    const op_id op = relayed.op;
    call_http call = peerCall(relayed.peer, kRelayedCallPath, packRelay(relayed));
    call.connectTimeout = std::min(kRelayConnectTimeout, relayed.remainingTimeout);
    call.progressTimeout = relayed.progressTimeout;
    call.streamed = relayed.isStream;
    http_call_listener listener;
    if (relayed.isStream) {
        listener = streamListener(op);
        listener.onHead = [onHead = std::move(listener.onHead)](int status, const http_headers &headers) {
            if (!isRelayedAnswer(headers)) {
                onHead(status, headers);
            }
        };
    }
    listener.onFinished = [this, op, isStream = relayed.isStream](const http_call_finished &finished) {
        m_listener.onEvent(
                decodeRelayEnd(op, finished, isStream ? m_calls.at(op).streamDecoder.get() : nullptr));
        m_calls.erase(op);
    };
    m_calls[op].handle = m_client.start(call, std::move(listener));
}

void outgoing_calls::start(const request_upstream_status &query)
{
    startCall(
            query.op, m_port.encodeStatusRequest(query),
            [this, op = query.op](const http_call_finished &f) { return m_port.decodeStatusReport(op, f); },
            query.upstream);
}

void outgoing_calls::start(const order_weights &order)
{
    startCall(
            order.op, m_port.encodeOrder(order),
            [this, op = order.op](const http_call_finished &f) { return m_port.decodeOrder(op, f); },
            order.upstream);
}

void outgoing_calls::start(const call_duty &duty, const endpoint &duties)
{
    call_http call = m_port.encodeDuty(duty);
    call.target = duties;
    startCall(duty.op, call,
              [this, op = duty.op](const http_call_finished &f) { return m_port.decodeDuty(op, f); });
}

void outgoing_calls::start(const request_upstream_delta &request)
{
    call_http call = peerCall(request.peer, kUpstreamDeltaPath, pack(request.after));
    call.connectTimeout = kUpstreamDeltaConnectTimeout;
    call.progressTimeout = kUpstreamDeltaTimeout;
    startCall(request.op, call, [op = request.op](const http_call_finished &f) {
        return upstream_delta_received{op, decodeUpstreamDelta(f)};
    });
}

void outgoing_calls::start(const share_stream_origin &shared)
{
    askForOrigin(shared.op, shared.peer, kShareOriginPath, pack(shared.stream, shared.build));
}

void outgoing_calls::start(const find_stream_origin &wanted)
{
    askForOrigin(wanted.op, wanted.peer, kFindOriginPath, pack(wanted.stream, wanted.service));
}

void outgoing_calls::cancel(op_id op)
{
    const auto found = m_calls.find(op);
    if (found != m_calls.end()) {
        m_client.cancel(found->second.handle);
        m_calls.erase(found);
    }
}

void outgoing_calls::startCall(op_id op, const call_http &call,
                               std::function<event(http_call_finished)> decode, const upstream_id &upstream)
{
    http_call_listener listener;
    if (!upstream.empty()) {
        listener.onHead = [this, op, upstream](int status, const http_headers &headers) {
            m_listener.onHead(op, upstream, status, headers);
        };
    }
    listener.onFinished = [this, op, decode = std::move(decode)](const http_call_finished &finished) {
        m_listener.onEvent(decode(finished));
        m_calls.erase(op);
    };
    m_calls[op].handle = m_client.start(call, std::move(listener));
}

http_call_listener outgoing_calls::streamListener(op_id op)
{
    running_call &running = m_calls[op];
    running.streamDecoder = m_port.makeStreamDecoder();
    stream_decoder *decoder = running.streamDecoder.get();
    http_call_listener listener;
    listener.onHead = [this, op, decoder](int status, const http_headers &headers) {
        if (auto forwarded = decoder->onResponseHead(status, headers)) {
            m_listener.onEvent(stream_started{op, *std::move(forwarded)});
        }
    };
    listener.onChunk = [this, op, decoder](const std::string &bytes) {
        auto events = decoder->onBodyBytes(bytes);
        if (!events.empty()) {
            m_listener.onEvent(stream_progressed{op, std::move(events)});
        }
    };
    listener.onFinished = [this, op, decoder](const http_call_finished &finished) {
        m_listener.onEvent(decoder->onFinished(op, finished));
        m_calls.erase(op);
    };
    listener.heldBytes = [decoder] { return decoder->heldBytes(); };
    return listener;
}

void outgoing_calls::askForOrigin(op_id op, const endpoint &peer, const char *path, std::string body)
{
    call_http call = peerCall(peer, path, std::move(body));
    call.connectTimeout = kOriginTimeout;
    call.progressTimeout = kOriginTimeout;
    startCall(op, call, [op](const http_call_finished &f) {
        stream_origin origin;
        const bool valid
                = f.outcome == transfer_outcome::complete && f.status == kOk && unpack(f.body, origin);
        return stream_origin_received{op, valid ? std::optional(std::move(origin)) : std::nullopt};
    });
}

} // namespace jacinthvale::node
