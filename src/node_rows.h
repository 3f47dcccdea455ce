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
/// Returns the result's position in its batch, or nullopt if the key is not a result key.
std::optional<std::size_t> resultPosition(const std::string &key);
bool isProgressKey(const batch_id &id, const std::string &key);
bool isExtensionsKey(const batch_id &id, const std::string &key);

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
std::string encodeProgress(const std::vector<item_progress> &items);
std::optional<std::vector<item_progress>> decodeProgress(const std::string &bytes);
std::string encodeResult(const item_result &result);
std::optional<item_result> decodeResult(const std::string &bytes);
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

/// Reassembles committed results from their fragments. The first row added must be the first fragment of a
/// result.
class result_assembler
{
public:
    /// Adds a fragment. Rows of other kinds are ignored.
    void add(const row &fragment);
    /// Returns the results in order of position, up to the first one that is incomplete or damaged.
    std::vector<item_result> finish();

private:
    std::map<std::size_t, std::string> m_bytes;
};

} // namespace jacinthvale::node
