#include "node_rows.h"

#include "node_pack.h"

#include <algorithm>
#include <cereal/types/optional.hpp>
#include <cstring>
#include <range/v3/numeric/accumulate.hpp>

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

/// Format of the manifest of a batch that is stored in sections.
constexpr std::uint8_t kManifestFormat = 4;

/// Format of the row of an attempt to store a batch; head rows have another one.
constexpr std::uint8_t kAttemptFormat = 5;

/// Approximate bytes of a section before it is encoded. Bounds the memory that encoding takes.
constexpr std::size_t kSectionBytes = 480'000;

/// Format of fragment 0 of a result that exceeds one transaction.
constexpr std::uint8_t kLongResultFormat = 6;

/// Bytes of an entry of a transaction beside its key and value.
constexpr std::size_t kEntryOverheadBytes = 120;

/// Bytes of an encoded item beside its texts.
constexpr std::size_t kItemOverheadBytes = 64;

/// Key of an attempt after the batch's id, before its number in 16 hexadecimal digits.
constexpr const char *kAttemptKeyInfix = "/a";
constexpr std::size_t kAttemptDigits = 16;

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

std::vector<item_extension> extensionsOf(const std::vector<batch_item> &items)
{
    std::vector<item_extension> extensions;
    std::ranges::transform(items, std::back_inserter(extensions), [](const batch_item &item) {
        return item_extension{item.promptTokens, item.reward};
    });
    return extensions;
}

/// @returns false if the numbers differ.
bool applyExtensions(std::vector<item_extension> extensions, std::vector<batch_item> &items)
{
    if (extensions.size() != items.size()) {
        return false;
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        items[i].promptTokens = extensions[i].promptTokens;
        items[i].reward = std::move(extensions[i].reward);
    }
    return true;
}

/// Approximate bytes of an encoded item.
std::size_t itemBytes(const batch_item &item)
{
    const std::size_t reward
            = item.reward ? item.reward->host.size() + item.reward->path.size() + item.reward->body.size()
                          : 0;
    return ranges::accumulate(item.headers, kItemOverheadBytes + item.path.size() + item.body.size() + reward,
                              [](std::size_t bytes, const auto &header) {
                                  return bytes + header.first.size() + header.second.size();
                              });
}

/// Bytes of a row's value as transferred: base64.
std::size_t transferredBytes(const std::string &value)
{
    return (value.size() + 2) / 3 * 4;
}

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

std::optional<result_fragment> resultFragment(const std::string &key)
{
    const auto slash = key.rfind('/');
    const auto dot = key.rfind('.');
    result_fragment fragment;
    if (slash == std::string::npos || dot == std::string::npos || dot < slash
        || !absl::SimpleAtoi(key.substr(slash + 1, dot - slash - 1), &fragment.position)
        || !absl::SimpleAtoi(key.substr(dot + 1), &fragment.number)) {
        return std::nullopt;
    }
    return fragment;
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
    return pack(extensionsOf(items));
}

bool applyExtensions(const std::string &bytes, std::vector<batch_item> &items)
{
    std::vector<item_extension> extensions;
    return unpack(bytes, extensions) && applyExtensions(std::move(extensions), items);
}

std::string attemptKey(const batch_id &id, store_attempt_id attempt)
{
    return absl::StrFormat("%s%s%016x", id.value, kAttemptKeyInfix, attempt.value);
}

bool isAttemptKey(const std::string &key)
{
    const std::size_t infix = key.rfind(kAttemptKeyInfix);
    const std::size_t digits = std::strlen(kAttemptKeyInfix) + kAttemptDigits;
    return infix != std::string::npos && key.size() - infix == digits
           && key.find_first_not_of("0123456789abcdef", infix + std::strlen(kAttemptKeyInfix))
                      == std::string::npos;
}

std::string encodeAttempt(const store_attempt &attempt)
{
    return packAs(kAttemptFormat, attempt.batch, attempt.attempt, attempt.acceptor.host,
                  attempt.acceptor.incarnation, attempt.abandoned);
}

std::optional<store_attempt> decodeAttempt(const row &source)
{
    store_attempt attempt;
    if (!unpackAs<trailing_bytes::ignore>(kAttemptFormat, source.value, attempt.batch, attempt.attempt,
                                          attempt.acceptor.host, attempt.acceptor.incarnation,
                                          attempt.abandoned)
        || attemptKey(attempt.batch, attempt.attempt) != source.key.key) {
        return std::nullopt;
    }
    attempt.rowVersion = source.version;
    return attempt;
}

std::string sectionRowsBegin(const batch_id &id, store_attempt_id attempt)
{
    return attemptKey(id, attempt) + "/";
}

std::string sectionRowsEnd(const batch_id &id, store_attempt_id attempt)
{
    // '0' is the next byte value after '/'.
    return attemptKey(id, attempt) + "0";
}

std::string sectionRowKey(const batch_id &id, store_attempt_id attempt, std::size_t number)
{
    return absl::StrFormat("%s%06d", sectionRowsBegin(id, attempt), number);
}

bool fitsOneTransaction(const commit_rows &commit)
{
    const std::size_t entries = commit.conditions.size() + commit.puts.size() + commit.removals.size();
    const std::size_t bytes = ranges::accumulate(
            commit.puts, entries * kEntryOverheadBytes, [](std::size_t sum, const row_put &put) {
                return sum + put.key.size() + transferredBytes(put.value);
            });
    return entries <= kMaxTransactionEntries && bytes <= kMaxTransactionBytes;
}

std::string encodeManifest(const batch_manifest &manifest)
{
    return packAs(kManifestFormat, manifest.attempt, manifest.sections);
}

std::optional<batch_manifest> decodeManifest(const std::string &bytes)
{
    batch_manifest manifest;
    return unpackAs<trailing_bytes::reject>(kManifestFormat, bytes, manifest.attempt, manifest.sections)
                   ? std::optional(std::move(manifest))
                   : std::nullopt;
}

std::size_t encodedBytes(const std::vector<batch_item> &items)
{
    return ranges::accumulate(items, std::size_t{0}, std::plus<>{}, &itemBytes);
}

std::size_t nextSectionSize(const std::vector<batch_item> &items, std::size_t first)
{
    std::size_t bytes = 0;
    const auto begin = items.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = std::find_if(begin, items.end(), [&](const batch_item &item) {
        bytes += itemBytes(item);
        return bytes > kSectionBytes;
    });
    return std::max<std::size_t>(1, static_cast<std::size_t>(end - begin));
}

std::string encodeSection(const std::vector<batch_item> &items, std::size_t first, std::size_t count)
{
    const auto begin = items.begin() + static_cast<std::ptrdiff_t>(first);
    const std::vector<batch_item> section(begin, begin + static_cast<std::ptrdiff_t>(count));
    return pack(section, extensionsOf(section));
}

void readSectionRows(section_reader &reader, const std::vector<row_change> &rows)
{
    const std::vector<batch_section> &sections = reader.manifest.sections;
    for (const row_change &change : rows) {
        if (reader.damaged || reader.section >= sections.size()) {
            return;
        }
        reader.bytes += change.row.value;
        if (++reader.fragments < sections[reader.section].fragments) {
            continue;
        }
        std::vector<batch_item> items;
        std::vector<item_extension> extensions;
        reader.damaged = !unpack(reader.bytes, items, extensions)
                         || items.size() != sections[reader.section].items
                         || !applyExtensions(std::move(extensions), items);
        std::ranges::move(items, std::back_inserter(reader.items));
        reader.bytes.clear();
        reader.fragments = 0;
        ++reader.section;
    }
}

bool isComplete(const section_reader &reader)
{
    return !reader.damaged && reader.section >= reader.manifest.sections.size();
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

std::string encodeLongResult(std::size_t fragments)
{
    return packAs(kLongResultFormat, static_cast<std::uint64_t>(fragments));
}

std::optional<std::size_t> decodeLongResult(const std::string &value)
{
    std::uint64_t fragments = 0;
    return unpackAs<trailing_bytes::reject>(kLongResultFormat, value, fragments)
                   ? std::optional<std::size_t>(fragments)
                   : std::nullopt;
}

void result_assembler::add(const row &fragment)
{
    const auto place = resultFragment(fragment.key.key);
    if (!place) {
        return;
    }
    partial_result &partial = m_partials[place->position];
    if (place->number == 0) {
        partial = {1, decodeLongResult(fragment.value)};
        if (!partial.longFragments) {
            partial.bytes = fragment.value;
        }
    } else if (place->number == partial.next && !partial.result) {
        partial.bytes += fragment.value;
        ++partial.next;
    } else {
        // Fragments without the first one belong to a result that is not committed.
        return;
    }
    if (!partial.longFragments || partial.next == *partial.longFragments + 1) {
        partial.result = decodeResult(partial.bytes);
    }
}

std::vector<item_result> result_assembler::takeComplete()
{
    std::vector<item_result> results;
    // The first one without a result misses fragments or is damaged; the results before it are complete.
    while (!m_partials.empty() && m_partials.begin()->second.result) {
        results.push_back(*std::move(m_partials.begin()->second.result));
        m_partials.erase(m_partials.begin());
    }
    return results;
}

} // namespace jacinthvale::node
