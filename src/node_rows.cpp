#include "node_rows.h"

#include "node_pack.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

namespace jacinthvale::node {

std::string partOf(const batch_id &id)
{
    return absl::StrFormat("b%d", stableHash(id.value) % kBatchParts);
}

std::string memberPart(const host_id &host)
{
    return absl::StrFormat("m%d", stableHash(host.value) % kMemberParts);
}

std::vector<std::string> partsOf(table_id table)
{
    const auto numbered = [](char first, std::size_t number) {
        std::vector<std::string> parts;
        for (std::size_t i = 0; i < number; ++i) {
            parts.push_back(absl::StrFormat("%c%d", first, i));
        }
        return parts;
    };
    switch (table) {
    case table_id::daemons:
        return numbered('m', kMemberParts);
    case table_id::heads:
    case table_id::items:
    case table_id::results:
        return numbered('b', kBatchParts);
    default:
        return {""};
    }
}

std::string firstItemsKey(const batch_id &id)
{
    return id.value + "/i";
}

std::string firstProgressKey(const batch_id &id)
{
    return id.value + "/p";
}

std::string itemsKey(const batch_id &id, std::size_t fragment)
{
    return absl::StrFormat("%s%04d", firstItemsKey(id), fragment);
}

std::string progressKey(const batch_id &id, std::size_t fragment)
{
    return absl::StrFormat("%s%04d", firstProgressKey(id), fragment);
}

std::string resultKey(const batch_id &id, std::size_t position, std::size_t fragment)
{
    return absl::StrFormat("%s/%08d.%04d", id.value, position, fragment);
}

std::string endKey(const batch_id &id)
{
    // The byte behind the slash that ends the id in each key.
    return id.value + "0";
}

std::optional<std::size_t> positionOf(const std::string &key)
{
    const auto slash = key.rfind('/');
    const auto dot = key.rfind('.');
    std::uint64_t position = 0;
    if (slash == std::string::npos || dot == std::string::npos || dot < slash
        || !absl::SimpleAtoi(key.substr(slash + 1, dot - slash - 1), &position)) {
        return std::nullopt;
    }
    return position;
}

bool isProgressKey(const batch_id &id, const std::string &key)
{
    return key.starts_with(firstProgressKey(id));
}

std::vector<std::string> fragmentsOf(const std::string &bytes)
{
    std::vector<std::string> result;
    for (std::size_t at = 0; at < bytes.size(); at += kRowBytes) {
        result.push_back(bytes.substr(at, kRowBytes));
    }
    if (result.empty()) {
        result.emplace_back();
    }
    return result;
}

std::string encodeHead(const batch_head &head)
{
    const batch &what = head.spec;
    return pack(head.owner.host.value, head.owner.incarnation.value, head.epoch, head.ended, head.total,
                head.acceptedAtMs, head.workTokens, what.host, what.path, what.model.value, what.step,
                what.minVersion.value, what.groupsWanted);
}

std::optional<batch_head> decodeHead(const row &what)
{
    batch_head head;
    batch &of = head.spec;
    if (!unpack(what.value, head.owner.host.value, head.owner.incarnation.value, head.epoch, head.ended,
                head.total, head.acceptedAtMs, head.workTokens, of.host, of.path, of.model.value, of.step,
                of.minVersion.value, of.groupsWanted)) {
        return std::nullopt;
    }
    of.id.value = what.key.key;
    head.rowVersion = what.version;
    return head;
}

std::string encodeItems(const std::vector<batch_item> &items)
{
    return pack(items);
}

std::optional<std::vector<batch_item>> decodeItems(const std::string &bytes)
{
    std::vector<batch_item> items;
    return unpack(bytes, items) ? std::optional(std::move(items)) : std::nullopt;
}

std::string encodeProgress(const std::vector<item_progress> &items)
{
    return pack(items);
}

std::optional<std::vector<item_progress>> decodeProgress(const std::string &bytes)
{
    std::vector<item_progress> items;
    return unpack<behind::anything>(bytes, items) ? std::optional(std::move(items)) : std::nullopt;
}

std::string encodeResult(const item_result &result)
{
    return pack(result);
}

std::optional<item_result> decodeResult(const std::string &bytes)
{
    item_result result;
    return unpack(bytes, result) ? std::optional(std::move(result)) : std::nullopt;
}

std::string encodeMember(const member &who)
{
    return pack(who.incarnation.value, who.peer.address, who.peer.port, who.leaving, who.heartbeatCount,
                who.interChunkLatencies, who.processorShare);
}

std::optional<member> decodeMember(const row &what)
{
    member who;
    if (!unpack(what.value, who.incarnation.value, who.peer.address, who.peer.port, who.leaving,
                who.heartbeatCount, who.interChunkLatencies, who.processorShare)) {
        return std::nullopt;
    }
    who.rowVersion = what.version;
    return who;
}

std::string encodeLease(const lease_row &lease)
{
    return pack(lease.holder.value, lease.incarnation.value, lease.epoch.value, lease.released, lease.planned,
                lease.loaded);
}

std::optional<lease_row> decodeLease(const row &what)
{
    lease_row lease;
    return unpack(what.value, lease.holder.value, lease.incarnation.value, lease.epoch.value, lease.released,
                  lease.planned, lease.loaded)
                   ? std::optional(std::move(lease))
                   : std::nullopt;
}

void result_reader::add(const row &what)
{
    if (const auto position = positionOf(what.key.key)) {
        m_bytes[*position] += what.value;
    }
}

std::vector<item_result> result_reader::finish()
{
    std::vector<item_result> results;
    for (const auto &[position, bytes] : m_bytes) {
        auto result = decodeResult(bytes);
        if (!result) {
            // The last fragments are still to come, or the row is damaged: what stands before it is whole.
            break;
        }
        results.push_back(*std::move(result));
    }
    return results;
}

} // namespace jacinthvale::node
