/// Keys, partitions and value encoding of the rows that the daemons write to the platform's store.
#pragma once

#include <jacinthvale/node.h>

namespace jacinthvale::node {

/// Number of partitions for batches. All rows of a batch are in one partition because a transaction covers a
/// single partition, and the store limits the transactions per second of each partition; 8 partitions allow 8
/// times that limit.
inline constexpr std::size_t kBatchPartitions = 8;

/// Maximum size in bytes of a row's value before base64 encoding; the platform's limit is 65536 bytes.
inline constexpr std::size_t kMaxRowBytes = 60'000;

/// Maximum entries of a transaction, and bytes of its entries as transferred.
inline constexpr std::size_t kMaxTransactionEntries = 100;
inline constexpr std::size_t kMaxTransactionBytes = 950'000;

/// Partition that holds all rows of a batch.
std::string batchPartition(const batch_id &id);

/// Number of partitions for the daemons' rows. They are separate from the partition of the weights lease so
/// that heartbeats cannot exhaust its write limit: 300 daemons write 167 rows per second, and a partition
/// accepts 200.
inline constexpr std::size_t kMemberPartitions = 4;
/// Partition that holds the row of a daemon.
std::string memberPartition(const host_id &host);

/// All partitions of a table.
std::vector<std::string> tablePartitions(table_id table);

/// Keys of a fragment of a batch's items, of its progress, and of a committed result.
std::string itemsKey(const batch_id &id, std::size_t fragment);
std::string progressKey(const batch_id &id, std::size_t fragment);
std::string extensionsKey(const batch_id &id, std::size_t fragment);
std::string resultKey(const batch_id &id, std::size_t position, std::size_t fragment);
/// Exclusive upper bound of the key range that holds all rows of a batch.
std::string batchKeysEnd(const batch_id &id);
/// Key prefixes of the kinds of rows in the items table, in ascending order; each is also the lower bound of
/// its kind. Older builds read from itemsKeyPrefix() and never see the extensions.
std::string extensionsKeyPrefix(const batch_id &id);
std::string itemsKeyPrefix(const batch_id &id);
std::string progressKeyPrefix(const batch_id &id);
/// Position of a result in its batch, and number of the fragment.
struct result_fragment
{
    std::size_t position = 0;
    std::size_t number = 0;
};
/// Returns nullopt if the key is not a result key.
std::optional<result_fragment> resultFragment(const std::string &key);
bool isProgressKey(const batch_id &id, const std::string &key);
bool isExtensionsKey(const batch_id &id, const std::string &key);

/// Key of the row of an attempt to store a batch in several transactions; it is in the table of heads.
std::string attemptKey(const batch_id &id, store_attempt_id attempt);
bool isAttemptKey(const std::string &key);
std::string encodeAttempt(const store_attempt &attempt);
/// @returns nullopt if the row is not that of an attempt.
std::optional<store_attempt> decodeAttempt(const row &source);
/// Key of a row with a part of the items, numbered through all sections of the attempt, and the bounds of the
/// keys of these rows. Takeovers and requests for items of other batches do not read them.
std::string sectionRowKey(const batch_id &id, store_attempt_id attempt, std::size_t number);
std::string sectionRowsBegin(const batch_id &id, store_attempt_id attempt);
std::string sectionRowsEnd(const batch_id &id, store_attempt_id attempt);

/// True if the transaction can be sent as it is.
bool fitsOneTransaction(const commit_rows &commit);

/// Splits bytes into fragments of at most kMaxRowBytes; returns one empty fragment for empty input.
std::vector<std::string> splitIntoFragments(const std::string &bytes);

/// Checkpointed progress of a started item.
struct item_progress
{
    item_id id;
    std::string text;
    std::uint64_t chunkCount = 0;
    std::vector<std::uint64_t> versions;
    unsigned failures = 0;
    /// The text is complete.
    bool complete = false;
    std::string score;
    unsigned rewardFailures = 0;
    /// Build that generated the text; empty in formats 1 and 2.
    upstream_build build = {};

    auto operator<=>(const item_progress &) const = default;

    /// Fields of format 1; encodeProgress() appends the others in format 3.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, text, chunkCount, versions, failures);
    }
};

std::string encodeHead(const batch_head &head);
std::optional<batch_head> decodeHead(const row &source);
std::string encodeItems(const std::vector<batch_item> &items);
std::optional<std::vector<batch_item>> decodeItems(const std::string &bytes);
/// Encodes prompt tokens and reward calls of the items.
std::string encodeExtensions(const std::vector<batch_item> &items);
/// Sets prompt tokens and reward calls of the items from encoded extensions; none for batches that an older
/// build accepted. @returns false if the bytes are malformed.
bool applyExtensions(const std::string &bytes, std::vector<batch_item> &items);
/// The manifest takes the place of the items (itemsKey()).
std::string encodeManifest(const batch_manifest &manifest);
/// @returns nullopt if the bytes are encoded items.
std::optional<batch_manifest> decodeManifest(const std::string &bytes);
/// @returns approximately the bytes of the encoded items.
std::size_t encodedBytes(const std::vector<batch_item> &items);
/// @returns the number of items from `first` on that make up the next section.
std::size_t nextSectionSize(const std::vector<batch_item> &items, std::size_t first);
std::string encodeSection(const std::vector<batch_item> &items, std::size_t first, std::size_t count);
/// Adds rows of sections in ascending order of their keys.
void readSectionRows(section_reader &reader, const std::vector<row_change> &rows);
bool isComplete(const section_reader &reader);
std::string encodeProgress(const std::vector<item_progress> &items);
std::optional<std::vector<item_progress>> decodeProgress(const std::string &bytes);
std::string encodeResult(const item_result &result);
std::optional<item_result> decodeResult(const std::string &bytes);
/// Encodes fragment 0 of a result that exceeds one transaction. The fragments after it hold the result; they
/// are written first, and those of an earlier owner may follow them.
std::string encodeLongResult(std::size_t fragments);
/// @returns the number of fragments that follow; nullopt if the result itself begins here.
std::optional<std::size_t> decodeLongResult(const std::string &value);
std::string encodeMember(const member &daemon);
std::optional<member> decodeMember(const row &source);

/// Key of the row in which a daemon advertises leaving upstreams. It has a row of its own, because older
/// builds reject additional values in the row of a daemon.
std::string leavingKey(const host_id &host);
bool isLeavingKey(const std::string &key);
std::string encodeLeaving(const leaving_upstreams &upstreams);
std::optional<leaving_upstreams> decodeLeaving(const row &source);

/// Key of the row with the advisory of a daemon.
std::string advisoryKey(const host_id &host);
bool isAdvisoryKey(const std::string &key);
/// @returns the host of the daemon that wrote the row.
host_id advisoryHost(const std::string &key);
std::string encodeAdvisory(const daemon_advisory &advisory);
/// Values that a newer build appends are ignored.
std::optional<daemon_advisory> decodeAdvisory(const row &source);

/// Row of the weights lease.
struct lease_row
{
    host_id holder;
    incarnation_id incarnation;
    fencing_number epoch;
    /// The holder released the lease and sends no more orders.
    bool released = false;
    /// Upstreams to which the holder may send orders until it writes its next row, and upstreams to which it
    /// may have sent orders recently, each with the store time in milliseconds at which it was last planned.
    std::map<std::string, std::uint64_t> planned;
    /// Recently confirmed weight loads; the table of upstreams reports them only seconds later.
    std::vector<loaded_weights> loaded;
};
inline const std::string kWeightsLeaseKey = "weights";

std::string encodeLease(const lease_row &lease);
std::optional<lease_row> decodeLease(const row &source);

/// Row of the lease of the duties. Builds without duties find its format unreadable.
struct duty_lease_row
{
    lease_claim claim;
    /// Store time at which the holder acquired the lease.
    std::uint64_t acquiredAtMs = 0;
    duty_record record;
};
inline const std::string kDutyLeaseKey = "duties";

std::string encodeDutyLease(const duty_lease_row &lease);
std::optional<duty_lease_row> decodeDutyLease(const row &source);

} // namespace jacinthvale::node
