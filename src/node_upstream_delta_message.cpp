#include "node_upstream_delta_message.h"

#include "node_pack.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace jacinthvale::node {

namespace {

constexpr int kOk = 200;

/// Builds that do not know the digest reject bytes after the packed fields.
constexpr const char *kDigestHeader = "Jv-Table-Digest";

} // namespace

reply_http upstreamDeltaReply(exchange_id exchange, const upstream_delta &delta)
{
    reply_http reply{exchange, kOk, {}, pack(delta)};
    if (delta.digest) {
        reply.headers[kDigestHeader] = absl::StrCat(*delta.digest);
    }
    return reply;
}

upstream_delta decodeUpstreamDelta(const http_call_finished &finished)
{
    upstream_delta delta;
    if (finished.outcome != transfer_outcome::complete || finished.status != kOk
        || !unpack(finished.body, delta)) {
        return {};
    }
    if (const auto digest = finished.headers.find(kDigestHeader); digest != finished.headers.end()) {
        if (!absl::SimpleAtoi(digest->second, &delta.digest.emplace())) {
            return {};
        }
    }
    return delta;
}

} // namespace jacinthvale::node
