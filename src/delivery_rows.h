/// Keys and values of a trainer's rows, for the builder of changes.
#pragma once

#include <jacinthvale/delivery.h>

namespace jacinthvale {

std::string groupKey(const trainer_id &trainer, const group_id &group);
std::string sequenceKey(const trainer_id &trainer, std::uint64_t cursor);
std::string indexKey(const trainer_id &trainer, const sample_slot &slot);

std::string writeGroup(const group_progress &progress, std::uint64_t forgetAfter);
std::string writeIndex(const slot_progress &progress, const sample_slot &slot);
std::string writeEntry(const sequence_entry &entry);

/// @returns the slot's progress; none where the ledger has no such open group or index.
slot_progress *findSlot(trainer_ledger &ledger, const sample_slot &slot);

} // namespace jacinthvale
