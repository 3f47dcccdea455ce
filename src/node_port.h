/// What the daemon's runtime needs of an adapter: how events and effects look on a platform's wire.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/node.h>

#include <memory>

namespace jacinthvale::node {

/// Effects that are calls to the platform's store.
using store_effect = std::variant<read_rows, read_changes, commit_rows>;

/// A call to the store, ready to be sent by any way.
struct store_request
{
    std::string method;
    std::string path;
    std::string body;
    bool writes = false;
    /// Time that the store may hold its answer back.
    milliseconds wait{0};
};

/// A caller's request: an event, or an answer at once.
using decoded_request = std::variant<event, reply_http>;

/// Reads the stream of one run.
class run_decoder
{
public:
    virtual ~run_decoder() = default;
    virtual void head(int status, const http_headers &headers) = 0;
    /// @returns the pieces that are whole with these bytes.
    virtual std::vector<run_chunk> chunk(const std::string &bytes) = 0;
    virtual call_end finish(const http_call_finished &finished) = 0;
};

/// Translates between the daemon and one platform. Holds no state and decides nothing.
class wire_port
{
public:
    virtual ~wire_port() = default;

    virtual decoded_request decodeRequest(const http_request_received &request,
                                          const route_table &routes) const = 0;
    virtual reply_http encodeReply(const answer_call &answer) const = 0;
    virtual reply_http encodeReply(const refuse_call &answer) const = 0;
    virtual reply_http encodeReply(const accept_batch &answer) const = 0;
    virtual reply_http encodeReply(const answer_page &answer) const = 0;
    virtual reply_http encodeReply(const answer_item &answer) const = 0;
    virtual reply_http encodeReply(const answer_batch_ended &answer) const = 0;

    virtual store_request encodeStore(const store_effect &what) const = 0;
    /// @returns the event of a final answer; none where the store did nothing and may be asked again, or
    /// where the answer cannot be read.
    virtual std::optional<event> decodeStore(const store_effect &what, int status, const std::string &body,
                                             bool afterLostAnswer) const = 0;

    virtual call_http encodeRun(const run_item &what) const = 0;
    virtual std::unique_ptr<run_decoder> makeRunDecoder(const run_item &what) const = 0;
    virtual call_http encodeCall(const forward_call &what) const = 0;
    virtual call_ended decodeCall(op_id op, const http_call_finished &finished) const = 0;
    virtual call_http encodeAsk(const request_upstream_status &what) const = 0;
    virtual upstream_status_received decodeAsk(op_id op, const http_call_finished &finished) const = 0;
    virtual call_http encodeOrder(const order_weights &what) const = 0;
    virtual call_ended decodeOrder(op_id op, const http_call_finished &finished) const = 0;
};

} // namespace jacinthvale::node
