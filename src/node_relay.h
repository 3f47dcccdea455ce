/// Encoding of calls that one daemon relays to another, and of their answers. Daemons of two versions run
/// side by side, so that both must read each message.
#pragma once

#include "node_port.h"

namespace jacinthvale::node {

std::string packRelay(const relay_call &relayed);
/// @returns nullopt if the request is malformed or of another format.
std::optional<relayed_call_received> unpackRelay(exchange_id exchange, const std::string &body);

/// @returns the reply that bears an answer. The answer to a stream that has begun is the stream itself.
reply_http relayedReply(exchange_id exchange, const relayed_answer &answer);
/// True if a reply bears an answer. Others are streams, or errors of a daemon that did not take the call.
bool isRelayedAnswer(const http_headers &headers);
/// @param streamDecoder decoder of the reply if a stream was asked for, otherwise nullptr.
relayed_call_ended decodeRelayEnd(op_id op, const http_call_finished &finished,
                                  stream_decoder *streamDecoder);

} // namespace jacinthvale::node
