// Changes of a trainer's ledger, each as one transaction.
#include "delivery_rows.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>

namespace jacinthvale {

namespace {

/// A delivered group is remembered until this many further samples were delivered, so that a repeated request
/// for it is recognised.
constexpr std::uint64_t kRememberedSamples = 16'384;

/// Puts one row version into the part of the ledger that it belongs to.
struct version_setter
{
    trainer_ledger &ledger;
    std::uint64_t version;

    void operator()(const head_row &) const { ledger.headRowVersion = version; }
    void operator()(const group_id &id) const { ledger.groups.at(id).rowVersion = version; }
    void operator()(const sample_slot &slot) const
    {
        if (slot_progress *progress = findSlot(ledger, slot)) {
            progress->rowVersion = version;
        }
    }
    void operator()(std::uint64_t cursor) const { ledger.entries.at(cursor).rowVersion = version; }
    void operator()(const removed_row &) const {}
};

} // namespace

trainer_ledger applyCommit(ledger_change change, const std::vector<std::uint64_t> &versions)
{
    const std::size_t count = std::min(versions.size(), change.targets.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::visit(version_setter{change.next, versions[i]}, change.targets[i]);
    }
    return std::move(change.next);
}

ledger_builder::ledger_builder(const trainer_ledger &base, std::string writeId)
    : m_next(base)
{
    m_transact.writeId = std::move(writeId);
}

void ledger_builder::write(row_target target, std::string key, std::uint64_t expectedVersion,
                           std::string value)
{
    // A transaction writes each row once: the last value counts.
    const auto same = std::ranges::find(m_transact.writes, key, &store_write::key);
    if (same != m_transact.writes.end()) {
        same->value = std::move(value);
        return;
    }
    m_transact.writes.push_back({std::move(key), expectedVersion, std::move(value), false});
    m_targets.push_back(std::move(target));
}

void ledger_builder::remove(std::string key, std::uint64_t expectedVersion)
{
    m_transact.writes.push_back({std::move(key), expectedVersion, "", true});
    m_targets.emplace_back(removed_row{});
}

void ledger_builder::writeEntryRow(const sequence_entry &entry)
{
    write(entry.cursor, sequenceKey(m_next.trainer, entry.cursor), entry.rowVersion, writeEntry(entry));
}

void ledger_builder::writeIndexRow(const sample_slot &slot, const slot_progress &progress)
{
    write(slot, indexKey(m_next.trainer, slot), progress.rowVersion, writeIndex(progress, slot));
}

ledger_builder &ledger_builder::setVersion(weight_version version)
{
    m_next.head.version = std::max(m_next.head.version, version);
    return *this;
}

ledger_builder &ledger_builder::publish(const model_id &model, weight_version version)
{
    weight_version &known = m_next.head.models[model];
    known = std::max(known, version);
    return *this;
}

ledger_builder &ledger_builder::acceptGroup(const sample_group &group)
{
    group_progress progress;
    progress.group = std::make_shared<const sample_group>(group);
    progress.digest = digestOf(group);
    progress.slots.resize(static_cast<std::size_t>(group.count));
    write(group.id, groupKey(m_next.trainer, group.id), 0, writeGroup(progress, 0));
    m_next.groups[group.id] = std::move(progress);
    return *this;
}

bool ledger_builder::append(const finished_sample &sample, const payload_reference &payload)
{
    slot_progress *progress = findSlot(m_next, sample.slot);
    if (progress == nullptr || progress->liveCursor != 0) {
        return false;
    }
    progress->liveCursor = ++m_next.head.lastCursor;
    ++progress->attempts;
    const sequence_entry entry{
            progress->liveCursor, sample.slot, progress->attempts, sample.segments, payload, false, 0};
    writeIndexRow(sample.slot, *progress);
    writeEntryRow(entry);
    m_next.entries[entry.cursor] = entry;
    return true;
}

std::size_t ledger_builder::expireAfter(std::uint64_t cursor, std::uint64_t bound)
{
    std::size_t count = 0;
    for (auto found = m_next.entries.upper_bound(cursor); found != m_next.entries.end(); ++found) {
        sequence_entry &entry = found->second;
        if (entry.expired || !isOverBound(entry.segments, m_next.head.version, bound)) {
            continue;
        }
        entry.expired = true;
        writeEntryRow(entry);
        if (slot_progress *progress = findSlot(m_next, entry.slot)) {
            // The row says so itself: the tombstone may be removed before its replacement is there.
            progress->liveCursor = 0;
            writeIndexRow(entry.slot, *progress);
        }
        ++count;
    }
    return count;
}

ledger_builder &ledger_builder::handOver(std::uint64_t pull, std::uint64_t after, std::uint64_t through)
{
    m_next.head.lastPull = std::max(m_next.head.lastPull, pull);
    m_next.head.handedThrough = std::max(m_next.head.handedThrough, through);
    acknowledge(after);
    return *this;
}

void ledger_builder::acknowledge(std::uint64_t through)
{
    m_next.head.acknowledged = std::max(m_next.head.acknowledged, through);
    const auto end = m_next.entries.upper_bound(through);
    m_next.acknowledgedEntries.insert(m_next.entries.begin(), end);
    m_next.entries.erase(m_next.entries.begin(), end);
}

ledger_builder &ledger_builder::collect(std::size_t maxEntries)
{
    std::size_t count = 0;
    auto &taken = m_next.acknowledgedEntries;
    while (!taken.empty() && count < maxEntries) {
        const sequence_entry entry = taken.begin()->second;
        remove(sequenceKey(m_next.trainer, entry.cursor), entry.rowVersion);
        taken.erase(taken.begin());
        ++count;
        if (const auto group = m_next.groups.find(entry.slot.group); group != m_next.groups.end()) {
            shrinkIfDelivered(group->first, group->second);
        }
    }
    if (count > 0) {
        forgetOldGroups();
    }
    return *this;
}

void ledger_builder::forgetOldGroups()
{
    for (auto group = m_next.groups.begin(); group != m_next.groups.end();) {
        const group_progress &progress = group->second;
        if (progress.delivered && progress.forgetAfter < m_next.head.acknowledged) {
            remove(groupKey(m_next.trainer, group->first), progress.rowVersion);
            group = m_next.groups.erase(group);
        } else {
            ++group;
        }
    }
}

void ledger_builder::shrinkIfDelivered(const group_id &id, group_progress &progress)
{
    const std::uint64_t taken = m_next.head.acknowledged;
    const bool whole = std::ranges::all_of(progress.slots, [&](const slot_progress &slot) {
        return slot.liveCursor != 0 && slot.liveCursor <= taken;
    });
    if (progress.delivered || !whole) {
        return;
    }
    for (std::size_t index = 0; index < progress.slots.size(); ++index) {
        remove(indexKey(m_next.trainer, {id, static_cast<std::int64_t>(index)}),
               progress.slots[index].rowVersion);
    }
    progress.delivered = true;
    progress.slots.clear();
    progress.group.reset();
    progress.forgetAfter = taken + kRememberedSamples;
    write(id, groupKey(m_next.trainer, id), progress.rowVersion, writeGroup(progress, progress.forgetAfter));
}

ledger_builder &ledger_builder::acquire(const process_identity &self)
{
    trainer_head &head = m_next.head;
    head.holder = self.host;
    head.incarnation = self.incarnation;
    head.peer = self.peer;
    ++head.epoch.value;
    return *this;
}

ledger_builder &ledger_builder::release()
{
    m_next.head.holder = {};
    m_next.head.incarnation = {};
    m_next.head.peer = {};
    return *this;
}

ledger_change ledger_builder::build()
{
    write(head_row{}, headKey(m_next.trainer), m_next.headRowVersion, writeHead(m_next.head));
    return {std::move(m_transact), std::move(m_targets), std::move(m_next)};
}

} // namespace jacinthvale
