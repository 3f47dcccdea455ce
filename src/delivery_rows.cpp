// Keys and values of a trainer's rows.
#include "delivery_rows.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const std::vector<sample_segment> &segments)
{
    json list = json::array();
    std::ranges::transform(segments, std::back_inserter(list), [](const sample_segment &s) {
        return json::array({s.version.value, s.tokens});
    });
    return list;
}

std::vector<sample_segment> readSegments(const json &list)
{
    std::vector<sample_segment> segments;
    std::ranges::transform(list, std::back_inserter(segments), [](const json &item) {
        return sample_segment{{item.at(0).get<std::uint64_t>()}, item.at(1).get<std::uint64_t>()};
    });
    return segments;
}

/// Runs a reader of trusted rows; a row that was damaged becomes a status.
template <typename Reader>
absl::Status readGuarded(const store_row &row, Reader reader)
{
    try {
        reader(json::parse(row.value));
        return absl::OkStatus();
    } catch (const json::exception &problem) {
        return absl::InvalidArgumentError(absl::StrCat(row.key, ": ", problem.what()));
    }
}

std::uint64_t numberOf(const json &value, const char *key)
{
    return value.at(key).get<std::uint64_t>();
}

} // namespace

std::string headKey(const trainer_id &trainer)
{
    return absl::StrCat(std::string(kHeadPrefix), trainer.value);
}

std::string groupPrefix(const trainer_id &trainer)
{
    return absl::StrCat("rollout/groups/", trainer.value, "/");
}

std::string sequencePrefix(const trainer_id &trainer)
{
    return absl::StrCat("rollout/sequence/", trainer.value, "/");
}

std::string indexPrefix(const trainer_id &trainer)
{
    return absl::StrCat("rollout/indexes/", trainer.value, "/");
}

std::string groupKey(const trainer_id &trainer, const group_id &group)
{
    return groupPrefix(trainer) + group.value;
}

std::string sequenceKey(const trainer_id &trainer, std::uint64_t cursor)
{
    return absl::StrFormat("%s%020d", sequencePrefix(trainer), cursor);
}

std::string indexKey(const trainer_id &trainer, const sample_slot &slot)
{
    return absl::StrFormat("%s%s/%07d", indexPrefix(trainer), slot.group.value, slot.index);
}

std::uint64_t digestOf(const sample_group &group)
{
    const json content
            = {group.id.value, group.model.value, group.prompt, group.count, group.maxTokens, group.step};
    return stableHash(dump(content));
}

weight_version oldestVersion(const std::vector<sample_segment> &segments)
{
    const auto oldest = std::ranges::min_element(segments, {}, &sample_segment::version);
    return oldest == segments.end() ? weight_version{} : oldest->version;
}

bool isOverBound(const std::vector<sample_segment> &segments, weight_version current, std::uint64_t bound)
{
    return oldestVersion(segments).value + bound < current.value;
}

std::string writeHead(const trainer_head &head)
{
    json models = json::object();
    for (const auto &[model, version] : head.models) {
        models[model.value] = version.value;
    }
    return dump({{"holder", head.holder.value},
                 {"incarnation", head.incarnation.value},
                 {"peer", toString(head.peer)},
                 {"epoch", head.epoch.value},
                 {"lastCursor", head.lastCursor},
                 {"lastPull", head.lastPull},
                 {"acknowledged", head.acknowledged},
                 {"handedThrough", head.handedThrough},
                 {"version", head.version.value},
                 {"models", std::move(models)}});
}

absl::StatusOr<trainer_head> readHead(const std::string &value)
{
    trainer_head head;
    const absl::Status status = readGuarded({"head", 0, "", value}, [&](const json &row) {
        head = {{row.at("holder").get<std::string>()},
                {numberOf(row, "incarnation")},
                parseEndpoint(row.at("peer").get<std::string>()),
                {numberOf(row, "epoch")},
                numberOf(row, "lastCursor"),
                numberOf(row, "lastPull"),
                numberOf(row, "acknowledged"),
                numberOf(row, "handedThrough"),
                {numberOf(row, "version")},
                {}};
        for (const auto &item : row.at("models").items()) {
            head.models[{item.key()}] = {item.value().get<std::uint64_t>()};
        }
    });
    return status.ok() ? absl::StatusOr<trainer_head>(head) : status;
}

std::string writeGroup(const group_progress &progress, std::uint64_t forgetAfter)
{
    if (progress.delivered) {
        return dump({{"delivered", true}, {"digest", progress.digest}, {"forgetAfter", forgetAfter}});
    }
    const sample_group &group = *progress.group;
    return dump({{"model", group.model.value},
                 {"prompt", group.prompt},
                 {"count", group.count},
                 {"maxTokens", group.maxTokens},
                 {"step", group.step}});
}

absl::Status loadGroup(trainer_ledger &ledger, const store_row &row)
{
    const group_id id{row.key.substr(groupPrefix(ledger.trainer).size())};
    return readGuarded(row, [&](const json &value) {
        group_progress progress;
        progress.rowVersion = row.version;
        if (value.contains("delivered")) {
            progress.delivered = true;
            progress.digest = numberOf(value, "digest");
            progress.forgetAfter = numberOf(value, "forgetAfter");
        } else {
            const sample_group group{id,
                                     {value.at("model").get<std::string>()},
                                     value.at("prompt").get<std::string>(),
                                     value.at("count").get<std::int64_t>(),
                                     value.at("maxTokens").get<std::int64_t>(),
                                     value.at("step").get<std::int64_t>()};
            progress.digest = digestOf(group);
            progress.slots.resize(static_cast<std::size_t>(group.count));
            progress.group = std::make_shared<const sample_group>(group);
        }
        ledger.groups[id] = std::move(progress);
    });
}

slot_progress *findSlot(trainer_ledger &ledger, const sample_slot &slot)
{
    const auto found = ledger.groups.find(slot.group);
    const auto position = static_cast<std::size_t>(slot.index);
    if (found == ledger.groups.end() || slot.index < 0 || position >= found->second.slots.size()) {
        return nullptr;
    }
    return &found->second.slots[position];
}

std::string writeIndex(const slot_progress &progress, const sample_slot &slot)
{
    return dump({{"group", slot.group.value},
                 {"index", slot.index},
                 {"cursor", progress.liveCursor},
                 {"attempts", progress.attempts}});
}

absl::Status loadIndex(trainer_ledger &ledger, const store_row &row)
{
    return readGuarded(row, [&](const json &value) {
        const sample_slot slot{{value.at("group").get<std::string>()}, value.at("index").get<std::int64_t>()};
        if (slot_progress *progress = findSlot(ledger, slot)) {
            *progress = {numberOf(value, "cursor"), numberOf(value, "attempts"), row.version};
        }
    });
}

std::string writeEntry(const sequence_entry &entry)
{
    return dump({{"cursor", entry.cursor},
                 {"group", entry.slot.group.value},
                 {"index", entry.slot.index},
                 {"attempt", entry.attempt},
                 {"segments", toJson(entry.segments)},
                 {"object", entry.payload.object},
                 {"position", entry.payload.position},
                 {"expired", entry.expired}});
}

absl::Status loadEntry(trainer_ledger &ledger, const store_row &row)
{
    return readGuarded(row, [&](const json &value) {
        const sequence_entry entry{
                numberOf(value, "cursor"),
                {{value.at("group").get<std::string>()}, value.at("index").get<std::int64_t>()},
                numberOf(value, "attempt"),
                readSegments(value.at("segments")),
                {value.at("object").get<std::string>(), numberOf(value, "position")},
                value.at("expired").get<bool>(),
                row.version};
        const bool taken = entry.cursor <= ledger.head.acknowledged;
        (taken ? ledger.acknowledgedEntries : ledger.entries)[entry.cursor] = entry;
        slot_progress *progress = findSlot(ledger, entry.slot);
        if (progress != nullptr && entry.expired && progress->liveCursor == entry.cursor) {
            progress->liveCursor = 0;
        }
    });
}

} // namespace jacinthvale
