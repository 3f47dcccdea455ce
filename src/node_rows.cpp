#include "node_rows.h"

#include "node_pack.h"

#include <algorithm>
#include <cereal/types/optional.hpp>
#include <cstring>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

namespace jacinthvale::node {

namespace {

/// Format of progress rows with complete texts and of result rows with a score; format 1 has neither.
constexpr std::uint8_t kScoredFormat = 2;

/// Format of progress rows that name the build of each text.
constexpr std::uint8_t kBuildFormat = 3;

/// Format of the row of the lease of the duties.
constexpr std::uint8_t kDutyFormat = 4;

/// Ends the key of a row that advertises leaving upstreams. Names of hosts contain no slash.
constexpr const char *kLeavingKeySuffix = "/leaving-upstreams";

constexpr const char *kAdvisoryKeySuffix = "/advisory";

/// Fields of a batch_item that its row lacks.
struct item_extension
{
    unsigned promptTokens = 0;
    std::optional<reward_call> reward;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(promptTokens, reward);
    }
};

/// Fields of an item_progress that format 1 lacks.
struct progress_extension
{
    bool complete = false;
    std::string score;
    unsigned rewardFailures = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(complete, score, rewardFailures);
    }
};

} // namespace

std::string batchPartition(const batch_id &id)
{
    return absl::StrFormat("b%d", stableHash(id.value) % kBatchPartitions);
}

std::string memberPartition(const host_id &host)
{
    return absl::StrFormat("m%d", stableHash(host.value) % kMemberPartitions);
}

std::vector<std::string> tablePartitions(table_id table)
{
    const auto numbered = [](char prefix, std::size_t number) {
        std::vector<std::string> partitions;
        for (std::size_t i = 0; i < number; ++i) {
            partitions.push_back(absl::StrFormat("%c%d", prefix, i));
        }
        return partitions;
    };
    switch (table) {
    case table_id::daemons:
        return numbered('m', kMemberPartitions);
    case table_id::heads:
    case table_id::items:
    case table_id::results:
        return numbered('b', kBatchPartitions);
    default:
        return {""};
    }
}

std::string extensionsKeyPrefix(const batch_id &id)
{
    return id.value + "/e";
}

std::string itemsKeyPrefix(const batch_id &id)
{
    return id.value + "/i";
}

std::string progressKeyPrefix(const batch_id &id)
{
    return id.value + "/p";
}

std::string itemsKey(const batch_id &id, std::size_t fragment)
{
    return absl::StrFormat("%s%04d", itemsKeyPrefix(id), fragment);
}

std::string progressKey(const batch_id &id, std::size_t fragment)
{
    return absl::StrFormat("%s%04d", progressKeyPrefix(id), fragment);
}

std::string extensionsKey(const batch_id &id, std::size_t fragment)
{
    return absl::StrFormat("%s%04d", extensionsKeyPrefix(id), fragment);
}

std::string resultKey(const batch_id &id, std::size_t position, std::size_t fragment)
{
    return absl::StrFormat("%s/%08d.%04d", id.value, position, fragment);
}

std::string batchKeysEnd(const batch_id &id)
{
    // Every key continues the id with '/'; '0' is the next byte value.
    return id.value + "0";
}

std::optional<std::size_t> resultPosition(const std::string &key)
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
    return key.starts_with(progressKeyPrefix(id));
}

bool isExtensionsKey(const batch_id &id, const std::string &key)
{
    return key.starts_with(extensionsKeyPrefix(id));
}

std::vector<std::string> splitIntoFragments(const std::string &bytes)
{
    std::vector<std::string> result;
    for (std::size_t offset = 0; offset < bytes.size(); offset += kMaxRowBytes) {
        result.push_back(bytes.substr(offset, kMaxRowBytes));
    }
    if (result.empty()) {
        result.emplace_back();
    }
    return result;
}

std::string encodeHead(const batch_head &head)
{
    const batch &spec = head.spec;
    const auto packWith = [&](const auto &...appended) {
        return pack(head.owner.host.value, head.owner.incarnation.value, head.epoch, head.ended, head.total,
                    head.acceptedAtMs, head.workTokens, spec.host, spec.path, spec.model.value, spec.step,
                    spec.minVersion.value, spec.groupsWanted, appended...);
    };
    // Rows of batches without an account keep the format of older builds.
    return spec.account.empty() ? packWith() : packWith(spec.account.value);
}

std::optional<batch_head> decodeHead(const row &source)
{
    batch_head head;
    batch &spec = head.spec;
    const auto unpackWith = [&](auto &...appended) {
        return unpack(source.value, head.owner.host.value, head.owner.incarnation.value, head.epoch,
                      head.ended, head.total, head.acceptedAtMs, head.workTokens, spec.host, spec.path,
                      spec.model.value, spec.step, spec.minVersion.value, spec.groupsWanted, appended...);
    };
    if (!unpackWith() && !unpackWith(spec.account.value)) {
        return std::nullopt;
    }
    spec.id.value = source.key.key;
    head.rowVersion = source.version;
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

std::string encodeExtensions(const std::vector<batch_item> &items)
{
    std::vector<item_extension> extensions;
    std::ranges::transform(items, std::back_inserter(extensions), [](const batch_item &item) {
        return item_extension{item.promptTokens, item.reward};
    });
    return pack(extensions);
}

bool applyExtensions(const std::string &bytes, std::vector<batch_item> &items)
{
    std::vector<item_extension> extensions;
    if (!unpack(bytes, extensions) || extensions.size() != items.size()) {
        return false;
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        items[i].promptTokens = extensions[i].promptTokens;
        items[i].reward = std::move(extensions[i].reward);
    }
    return true;
}

std::string encodeProgress(const std::vector<item_progress> &items)
{
    std::vector<progress_extension> extensions;
    std::vector<upstream_build> builds;
    for (const item_progress &item : items) {
        extensions.push_back({item.complete, item.score, item.rewardFailures});
        builds.push_back(item.build);
    }
    return packAs(kBuildFormat, items, extensions, builds);
}

std::optional<std::vector<item_progress>> decodeProgress(const std::string &bytes)
{
    std::vector<item_progress> items;
    if (unpack<trailing_bytes::ignore>(bytes, items)) {
        return items;
    }
    std::vector<progress_extension> extensions;
    std::vector<upstream_build> builds;
    items.clear();
    if (!unpackAs<trailing_bytes::ignore>(kBuildFormat, bytes, items, extensions, builds)) {
        items.clear();
        extensions.clear();
        if (!unpackAs<trailing_bytes::ignore>(kScoredFormat, bytes, items, extensions)) {
            return std::nullopt;
        }
        builds.assign(items.size(), {});
    }
    if (extensions.size() != items.size() || builds.size() != items.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        items[i].complete = extensions[i].complete;
        items[i].score = std::move(extensions[i].score);
        items[i].rewardFailures = extensions[i].rewardFailures;
        items[i].build = std::move(builds[i]);
    }
    return items;
}

std::string encodeResult(const item_result &result)
{
    return result.score.empty() ? pack(result) : packAs(kScoredFormat, result, result.score);
}

std::optional<item_result> decodeResult(const std::string &bytes)
{
    item_result result;
    if (unpack(bytes, result)) {
        return result;
    }
    return unpackAs<trailing_bytes::reject>(kScoredFormat, bytes, result, result.score)
                   ? std::optional(std::move(result))
                   : std::nullopt;
}

std::string encodeMember(const member &daemon)
{
    return pack(daemon.incarnation.value, daemon.peer.address, daemon.peer.port, daemon.leaving,
                daemon.heartbeatCount, daemon.interChunkLatencies, daemon.processorShare);
}

std::optional<member> decodeMember(const row &source)
{
    member daemon;
    if (!unpack(source.value, daemon.incarnation.value, daemon.peer.address, daemon.peer.port, daemon.leaving,
                daemon.heartbeatCount, daemon.interChunkLatencies, daemon.processorShare)) {
        return std::nullopt;
    }
    daemon.rowVersion = source.version;
    return daemon;
}

std::string leavingKey(const host_id &host)
{
    return host.value + kLeavingKeySuffix;
}

bool isLeavingKey(const std::string &key)
{
    return key.ends_with(kLeavingKeySuffix);
}

std::string encodeLeaving(const leaving_upstreams &upstreams)
{
    return pack(upstreams);
}

std::optional<leaving_upstreams> decodeLeaving(const row &source)
{
    leaving_upstreams upstreams;
    return unpack(source.value, upstreams) ? std::optional(std::move(upstreams)) : std::nullopt;
}

std::string advisoryKey(const host_id &host)
{
    return host.value + kAdvisoryKeySuffix;
}

bool isAdvisoryKey(const std::string &key)
{
    return key.ends_with(kAdvisoryKeySuffix);
}

host_id advisoryHost(const std::string &key)
{
    return {key.substr(0, key.size() - std::strlen(kAdvisoryKeySuffix))};
}

std::string encodeAdvisory(const daemon_advisory &advisory)
{
    return pack(advisory.limits, advisory.demand, advisory.crashes, advisory.answeredContents,
                advisory.withoutUpstreams, advisory.usage, advisory.scaling);
}

std::optional<daemon_advisory> decodeAdvisory(const row &source)
{
    daemon_advisory advisory;
    if (unpack<trailing_bytes::ignore>(source.value, advisory.limits, advisory.demand, advisory.crashes,
                                       advisory.answeredContents, advisory.withoutUpstreams, advisory.usage,
                                       advisory.scaling)) {
        return advisory;
    }
    // Rows of older builds.
    daemon_advisory former;
    if (unpack(source.value, former.limits, former.demand, former.crashes, former.answeredContents,
               former.withoutUpstreams)) {
        return former;
    }
    former = {};
    return unpack(source.value, former.limits, former.demand, former.crashes, former.answeredContents)
                   ? std::optional(std::move(former))
                   : std::nullopt;
}

std::string encodeLease(const lease_row &lease)
{
    return pack(lease.holder.value, lease.incarnation.value, lease.epoch.value, lease.released, lease.planned,
                lease.loaded);
}

std::optional<lease_row> decodeLease(const row &source)
{
    lease_row lease;
    return unpack(source.value, lease.holder.value, lease.incarnation.value, lease.epoch.value,
                  lease.released, lease.planned, lease.loaded)
                   ? std::optional(std::move(lease))
                   : std::nullopt;
}

std::string encodeDutyLease(const duty_lease_row &lease)
{
    const lease_claim &claim = lease.claim;
    return packAs(kDutyFormat, claim.holder, claim.incarnation, claim.epoch, claim.released,
                  lease.acquiredAtMs, lease.record);
}

std::optional<duty_lease_row> decodeDutyLease(const row &source)
{
    duty_lease_row lease;
    lease_claim &claim = lease.claim;
    return unpackAs<trailing_bytes::ignore>(kDutyFormat, source.value, claim.holder, claim.incarnation,
                                            claim.epoch, claim.released, lease.acquiredAtMs, lease.record)
                   ? std::optional(std::move(lease))
                   : std::nullopt;
}

void result_assembler::add(const row &fragment)
{
    if (const auto position = resultPosition(fragment.key.key)) {
        m_bytes[*position] += fragment.value;
    }
}

std::vector<item_result> result_assembler::finish()
{
    std::vector<item_result> results;
    for (const auto &[position, bytes] : m_bytes) {
        auto result = decodeResult(bytes);
        if (!result) {
            // Fragments of this result are missing or damaged; the results before it are complete.
            break;
        }
        results.push_back(*std::move(result));
    }
    return results;
}

} // namespace jacinthvale::node
