/// Encoding of the answers to requests for changes of the table of upstreams. Daemons of two builds run side
/// by side, so that both must read each message.
#pragma once

#include "node_port.h"

namespace jacinthvale::node {

reply_http upstreamDeltaReply(exchange_id exchange, const upstream_delta &delta);
/// @returns a delta that is not available if there is no valid answer; the reducer then asks another daemon
/// or the store.
upstream_delta decodeUpstreamDelta(const http_call_finished &finished);

} // namespace jacinthvale::node
