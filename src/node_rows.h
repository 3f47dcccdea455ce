/// How the daemon's own rows are written: keys, parts and the bytes of their values.
#pragma once

#include <jacinthvale/node.h>

namespace jacinthvale::node {

/// Parts over which batches are spread: one part takes a bounded number of transactions a second, and all
/// rows of a batch must be in one part for one transaction to decide about them. 8 parts carry 8 times that
/// number.
inline constexpr std::size_t kBatchParts = 8;

/// Largest value of one row before its encoding; the platform's bound is 65536 bytes.
inline constexpr std::size_t kRowBytes = 60'000;

/// Part of a batch's rows.
std::string partOf(const batch_id &id);

/// Parts over which the daemons' rows are spread: their beats must not fill the part of the lease. 300
/// daemons write 167 rows a second, and one part takes 200.
inline constexpr std::size_t kMemberParts = 4;
std::string memberPart(const host_id &host);

/// All parts of a table.
std::vector<std::string> partsOf(table_id table);

/// Key of a fragment of a batch's items, of its progress, or of a listed result.
std::string itemsKey(const batch_id &id, std::size_t fragment);
std::string progressKey(const batch_id &id, std::size_t fragment);
std::string resultKey(const batch_id &id, std::size_t position, std::size_t fragment);
/// First key behind all of a batch's keys.
std::string endKey(const batch_id &id);
/// First keys of the two kinds of rows in the table of items.
std::string firstItemsKey(const batch_id &id);
std::string firstProgressKey(const batch_id &id);
/// Position in the key of a result; none where the key is not one.
std::optional<std::size_t> positionOf(const std::string &key);
bool isProgressKey(const batch_id &id, const std::string &key);

/// Cuts bytes into fragments that fit a row; at least one.
std::vector<std::string> fragmentsOf(const std::string &bytes);

/// What is kept of an item that has begun.
struct item_progress
{
    item_id id;
    std::string text;
    std::uint64_t pieces = 0;
    std::vector<std::uint64_t> versions;
    unsigned failures = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id.value, text, pieces, versions, failures);
    }
};

std::string encodeHead(const batch_head &head);
std::optional<batch_head> decodeHead(const row &what);
std::string encodeItems(const std::vector<batch_item> &items);
std::optional<std::vector<batch_item>> decodeItems(const std::string &bytes);
std::string encodeProgress(const std::vector<item_progress> &items);
std::optional<std::vector<item_progress>> decodeProgress(const std::string &bytes);
std::string encodeResult(const item_result &result);
std::optional<item_result> decodeResult(const std::string &bytes);
std::string encodeMember(const member &who);
std::optional<member> decodeMember(const row &what);

/// Row of the weights lease.
struct lease_row
{
    host_id holder;
    incarnation_id incarnation;
    fencing_number epoch;
    /// The holder gave it up: it orders nothing more.
    bool released = false;
    /// Upstreams that the holder may order until its next row, and those that it may have ordered of late,
    /// each with the store's time at which it was last named for an order.
    std::map<std::string, std::uint64_t> planned;
    /// Loads that were seen to hold of late: the list of upstreams tells of them only seconds later.
    std::vector<loaded_weights> loaded;
};
inline const std::string kWeightsLeaseKey = "weights";

std::string encodeLease(const lease_row &lease);
std::optional<lease_row> decodeLease(const row &what);

/// Puts the fragments of listed results back together, from a whole position on.
/// @param bytes keeps what is left of a result whose fragments have not all come.
class result_reader
{
public:
    void add(const row &what);
    /// Ends the reading; @returns the results in order of position.
    std::vector<item_result> finish();

private:
    std::map<std::size_t, std::string> m_bytes;
};

} // namespace jacinthvale::node
