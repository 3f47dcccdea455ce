/// Delivery ledger of one trainer: accepted groups, the append-only sequence of samples, and the row that
/// carries the lease.
///
/// Every change is one transaction that rewrites the head row on condition of its version. A holder whose
/// lease was taken over has an old version and cannot change anything, however long it was paused; so at most
/// one writer exists and its copy in memory is exact.
#pragma once

#include <jacinthvale/identity.h>
#include <jacinthvale/store.h>

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Tokens that one version of the weights produced.
struct sample_segment
{
    weight_version version;
    std::uint64_t tokens = 0;

    auto operator<=>(const sample_segment &) const = default;
};

/// What a trainer asks for: count samples of one prompt.
struct sample_group
{
    group_id id;
    model_id model;
    std::string prompt;
    std::int64_t count = 0;
    std::int64_t maxTokens = 0;
    std::int64_t step = 0;

    auto operator<=>(const sample_group &) const = default;
};

/// Names one sample of a trainer.
struct sample_slot
{
    group_id group;
    std::int64_t index = 0;

    auto operator<=>(const sample_slot &) const = default;
};

/// A generated and scored sample that is not in the sequence yet.
struct finished_sample
{
    sample_slot slot;
    std::vector<sample_segment> segments;
    std::string text;
    double score = 0;

    auto operator<=>(const finished_sample &) const = default;
};

/// Where the text and score of a sample are kept.
struct payload_reference
{
    std::string object;
    std::uint64_t position = 0;

    auto operator<=>(const payload_reference &) const = default;
};

/// One entry of the sequence. An expired entry stays in its place and names the attempt that replaces it.
struct sequence_entry
{
    std::uint64_t cursor = 0;
    sample_slot slot;
    /// Counts from 1 for each slot; rises with every replacement.
    std::uint64_t attempt = 1;
    std::vector<sample_segment> segments;
    payload_reference payload;
    bool expired = false;
    std::uint64_t rowVersion = 0;

    auto operator<=>(const sequence_entry &) const = default;
};

/// Row of one trainer that names the holder and what binds all later changes.
struct trainer_head
{
    /// Empty where the lease was handed back.
    host_id holder;
    incarnation_id incarnation;
    endpoint peer;
    /// Rises with each new holder.
    fencing_number epoch;
    std::uint64_t lastCursor = 0;
    /// Highest pull number that was answered.
    std::uint64_t lastPull = 0;
    /// The trainer has taken everything up to here.
    std::uint64_t acknowledged = 0;
    /// Highest cursor that any answer contained.
    std::uint64_t handedThrough = 0;
    /// Trainer's current weight version.
    weight_version version;
    /// Weights that the trainer published, by model. Holders of engines read them here, so that a published
    /// version is never acknowledged without being wanted.
    std::map<model_id, weight_version> models;

    auto operator<=>(const trainer_head &) const = default;
};

/// Sequence position of one slot.
struct slot_progress
{
    /// Cursor of the live entry; 0 where there is none.
    std::uint64_t liveCursor = 0;
    std::uint64_t attempts = 0;
    std::uint64_t rowVersion = 0;

    auto operator<=>(const slot_progress &) const = default;
};

/// One accepted group.
struct group_progress
{
    std::shared_ptr<const sample_group> group;
    std::uint64_t rowVersion = 0;
    std::vector<slot_progress> slots;
    /// Every slot was delivered and acknowledged; the prompt is no longer kept.
    bool delivered = false;
    /// Hash of the content, to recognise the same group again.
    std::uint64_t digest = 0;
    /// A delivered group is forgotten once this cursor is acknowledged.
    std::uint64_t forgetAfter = 0;
};

/// Exact copy of a trainer's rows in the holder's memory.
struct trainer_ledger
{
    trainer_id trainer;
    trainer_head head;
    std::uint64_t headRowVersion = 0;
    std::map<group_id, group_progress> groups;
    /// Entries after the acknowledged cursor.
    std::map<std::uint64_t, sequence_entry> entries;
    /// Acknowledged entries whose rows are still to be removed, with their row versions.
    std::map<std::uint64_t, sequence_entry> acknowledgedEntries;
};

/// @returns a hash that is equal for equal content.
std::uint64_t digestOf(const sample_group &group);

/// @returns the oldest version of the segments; 0 where there is none.
weight_version oldestVersion(const std::vector<sample_segment> &segments);

/// @returns true where the sample's oldest version is more than bound versions behind current.
bool isOverBound(const std::vector<sample_segment> &segments, weight_version current, std::uint64_t bound);

/// Keys of a trainer's rows.
std::string headKey(const trainer_id &trainer);
std::string groupPrefix(const trainer_id &trainer);
std::string sequencePrefix(const trainer_id &trainer);
std::string indexPrefix(const trainer_id &trainer);
inline constexpr std::string_view kHeadPrefix = "rollout/heads/";

/// Reads rows; InvalidArgument where a value is not what this module writes.
absl::StatusOr<trainer_head> readHead(const std::string &value);
absl::Status loadGroup(trainer_ledger &ledger, const store_row &row);
absl::Status loadEntry(trainer_ledger &ledger, const store_row &row);
absl::Status loadIndex(trainer_ledger &ledger, const store_row &row);

/// @returns the transaction's value of a head row.
std::string writeHead(const trainer_head &head);

struct head_row
{};
struct removed_row
{};

/// Row that a write of a transaction concerns: head, group, index of a slot, sequence entry, or a removal.
using row_target = std::variant<head_row, group_id, sample_slot, std::uint64_t, removed_row>;

/// A planned change: the transaction, and the ledger after it.
struct ledger_change
{
    store_transact transact;
    /// One for each write of the transaction, in order.
    std::vector<row_target> targets;
    trainer_ledger next;
};

/// Puts the row versions that the store gave into the ledger after the change.
/// @param versions one for each write of the transaction, in order.
trainer_ledger applyCommit(ledger_change change, const std::vector<std::uint64_t> &versions);

/// Gathers changes of one ledger into one transaction.
class ledger_builder
{
public:
    ledger_builder(const trainer_ledger &base, std::string writeId);

    /// The trainer's current version only rises.
    ledger_builder &setVersion(weight_version version);
    /// Notes that the trainer published weights; versions only rise.
    ledger_builder &publish(const model_id &model, weight_version version);
    ledger_builder &acceptGroup(const sample_group &group);
    /// Appends a sample; does nothing where its slot is unknown or has a live entry.
    /// @returns true if the sample is in the sequence after this change.
    bool append(const finished_sample &sample, const payload_reference &payload);
    /// Turns live entries after a cursor that are over the bound into tombstones.
    /// @returns how many.
    std::size_t expireAfter(std::uint64_t cursor, std::uint64_t bound);
    /// Notes that a pull is answered with entries up to a cursor.
    ledger_builder &handOver(std::uint64_t pull, std::uint64_t after, std::uint64_t through);
    /// Removes rows of at most this many acknowledged entries, and shrinks groups that are delivered.
    ledger_builder &collect(std::size_t maxEntries);
    /// Takes the lease for this process, under the next epoch.
    ledger_builder &acquire(const process_identity &self);
    /// Hands the lease back.
    ledger_builder &release();

    const trainer_ledger &next() const { return m_next; }
    ledger_change build();

private:
    void write(row_target target, std::string key, std::uint64_t expectedVersion, std::string value);
    void remove(std::string key, std::uint64_t expectedVersion);
    void writeEntryRow(const sequence_entry &entry);
    void writeIndexRow(const sample_slot &slot, const slot_progress &progress);
    void acknowledge(std::uint64_t through);
    void shrinkIfDelivered(const group_id &id, group_progress &progress);
    void forgetOldGroups();

    trainer_ledger m_next;
    store_transact m_transact;
    std::vector<row_target> m_targets;
};

} // namespace jacinthvale
