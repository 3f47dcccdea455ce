// Answers to pulls: payloads of entries, and what is handed over.
#include "samples_pull.h"

#include "samples_calls.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpConflict = 409;
constexpr std::uint64_t kMaxEntriesPerPull = 1024;
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr milliseconds kMaxPullWait{60'000};

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Reads a number of the query.
/// @returns false where it is there and not a number.
bool readNumber(const trainer_call &call, const std::string &name, std::uint64_t &value)
{
    const auto found = call.query.find(name);
    return found == call.query.end() || absl::SimpleAtoi(found->second, &value);
}

std::optional<request_error> checkPull(const trainer_session &session, const pending_pull &pull)
{
    const trainer_head &head = session.ledger.head;
    std::uint64_t highest = head.lastPull;
    if (session.committing && session.committing->pull) {
        highest = std::max(highest, session.committing->pull->number);
    }
    if (session.pull) {
        highest = std::max(highest, session.pull->number);
    }
    if (pull.number <= highest) {
        return notRun(kHttpConflict, "pull-out-of-order",
                      absl::StrCat("The highest pull number is ", highest, "."));
    }
    if (pull.after < head.acknowledged) {
        return notRun(kHttpConflict, "cursor-acknowledged",
                      absl::StrCat("Everything up to ", head.acknowledged, " was acknowledged."));
    }
    if (pull.after > head.handedThrough) {
        return notRun(kHttpConflict, "cursor-not-handed-over",
                      absl::StrCat("Nothing after ", head.handedThrough, " was handed over."));
    }
    return std::nullopt;
}

json entryJson(const sequence_entry &entry, const payload_batch *batch)
{
    json value = {{"cursor", entry.cursor},
                  {"groupId", entry.slot.group.value},
                  {"index", entry.slot.index},
                  {"attempt", entry.attempt}};
    if (entry.expired) {
        value["expired"] = true;
        value["replacedBy"] = entry.attempt + 1;
        return value;
    }
    json segments = json::array();
    std::ranges::transform(entry.segments, std::back_inserter(segments), [](const sample_segment &one) {
        return json{{"weightVersion", one.version.value}, {"tokens", one.tokens}};
    });
    const payload_batch::item &item = batch->items.at(entry.payload.position);
    value["text"] = item.text;
    value["score"] = item.score;
    value["segments"] = std::move(segments);
    return value;
}

const payload_batch *findPayload(const trainer_session &session, const sequence_entry &entry)
{
    const auto found = session.payloads.find(entry.payload.object);
    const bool whole = found != session.payloads.end() && entry.payload.position < found->second.items.size();
    return whole ? &found->second : nullptr;
}

void requestPayload(samples_step &step, trainer_session &session, const std::string &object)
{
    if (session.loadingPayloads.insert(object).second) {
        step.emit(call_store{step.begin(payload_read{session.trainer, object}), object_get{object}});
    }
}

payload_batch parsePayload(const std::string &bytes)
{
    payload_batch batch;
    const json list = json::parse(bytes, nullptr, false);
    if (!list.is_array()) {
        return batch;
    }
    for (const json &one : list) {
        if (!one.is_object() || !one.contains("text") || !one["text"].is_string() || !one.contains("score")
            || !one["score"].is_number()) {
            return {};
        }
        batch.items.push_back({one["text"].get<std::string>(), one["score"].get<double>()});
        batch.bytes += batch.items.back().text.size();
    }
    return batch;
}

} // namespace

void acceptPull(samples_step &step, trainer_session &session, const trainer_call &call)
{
    pending_pull pull;
    pull.call = call;
    std::uint64_t most = kMaxEntriesPerPull;
    std::uint64_t wait = 0;
    weight_version version;
    const bool readable = readNumber(call, "after", pull.after) && readNumber(call, "pull", pull.number)
                          && readNumber(call, "max", most) && readNumber(call, "wait_ms", wait)
                          && readNumber(call, "version", version.value);
    if (!readable || pull.number == 0 || most == 0) {
        refuseCall(step, call,
                   {kHttpBadRequest, "invalid-query", "pull and max are numbers from 1; the others numbers.",
                    verdict::not_run, 0});
        return;
    }
    if (const auto error = checkPull(session, pull)) {
        refuseCall(step, call, *error);
        return;
    }
    pull.maxEntries = std::min(most, kMaxEntriesPerPull);
    pull.waitUntil = step.at.now + std::min(milliseconds{wait}, kMaxPullWait);
    raiseVersion(step, session, version);
    if (session.pull) {
        refuseCall(step, session.pull->call,
                   notRun(kHttpConflict, "pull-superseded", "A pull with a higher number came."));
    }
    session.pull = std::move(pull);
}

std::uint64_t preparePull(samples_step &step, trainer_session &session, const trainer_ledger &ledger)
{
    std::uint64_t through = 0;
    std::size_t count = 0;
    std::size_t bytes = 0;
    for (auto found = ledger.entries.upper_bound(session.pull->after);
         found != ledger.entries.end() && count < session.pull->maxEntries; ++found) {
        const sequence_entry &entry = found->second;
        if (!entry.expired) {
            const payload_batch *batch = findPayload(session, entry);
            if (batch == nullptr) {
                requestPayload(step, session, entry.payload.object);
                break;
            }
            bytes += batch->items[entry.payload.position].text.size();
        }
        if (count > 0 && bytes > kMaxAnswerBytes) {
            break;
        }
        through = entry.cursor;
        ++count;
    }
    return through;
}

void answerPull(samples_step &step, trainer_session &session, const pending_pull &pull, std::uint64_t through)
{
    const std::uint64_t bound = step.stalenessBound(session.trainer);
    json samples = json::array();
    std::uint64_t last = pull.after;
    for (auto found = session.ledger.entries.upper_bound(pull.after);
         found != session.ledger.entries.end() && found->first <= through; ++found) {
        const sequence_entry &entry = found->second;
        const payload_batch *batch = findPayload(session, entry);
        // The trainer's version may have moved while the transaction was under way.
        const bool tooOld = !entry.expired && isOverBound(entry.segments, session.version, bound);
        if (tooOld || (!entry.expired && batch == nullptr)) {
            break;
        }
        samples.push_back(entryJson(entry, batch));
        last = entry.cursor;
        if (!entry.expired) {
            step.emit(observe_metric{"samples_staleness_versions",
                                     static_cast<double>(session.version.value)
                                             - static_cast<double>(oldestVersion(entry.segments).value)});
        }
    }
    step.count("samples_handed_over_total", static_cast<double>(samples.size()));
    answerCall(step, pull.call, kHttpOk, dump({{"samples", std::move(samples)}, {"cursor", last}}));
}

void answerEmpty(samples_step &step, const pending_pull &pull)
{
    answerCall(step, pull.call, kHttpOk, dump({{"samples", json::array()}, {"cursor", pull.after}}));
}

void finishPayloadRead(samples_step &step, trainer_session &session, const std::string &object,
                       const store_outcome &outcome)
{
    session.loadingPayloads.erase(object);
    const auto *read = std::get_if<object_read>(&outcome);
    if (read == nullptr) {
        return;
    }
    if (!read->bytes) {
        step.count("samples_payloads_missing_total");
        step.record("payload-missing", session.trainer.value, object);
        return;
    }
    keepPayload(step, session, object, parsePayload(*read->bytes));
}

void keepPayload(samples_step &step, trainer_session &session, const std::string &object, payload_batch batch)
{
    session.payloadBytes += batch.bytes;
    session.payloads[object] = std::move(batch);
    trimPayloads(step, session);
}

void trimPayloads(samples_step &step, trainer_session &session)
{
    const auto limit = static_cast<std::size_t>(step.setting("samples.maxPayloadBytes"));
    std::map<std::string, payload_batch> kept;
    std::size_t bytes = 0;
    const auto keep = [&](const std::string &object) {
        const auto found = session.payloads.find(object);
        if (found == session.payloads.end() || kept.contains(object)
            || (bytes > 0 && bytes + found->second.bytes > limit)) {
            return;
        }
        bytes += found->second.bytes;
        kept.emplace(object, std::move(found->second));
    };
    // Entries are taken in order: payloads of late entries are read again when it is their turn.
    const std::uint64_t from = session.pull ? session.pull->after : session.ledger.head.acknowledged;
    for (auto item = session.ledger.entries.upper_bound(from); item != session.ledger.entries.end(); ++item) {
        if (!item->second.expired) {
            keep(item->second.payload.object);
        }
    }
    if (session.committing) {
        std::ranges::for_each(session.committing->samples,
                              [&](const stored_sample &one) { keep(one.payload.object); });
    }
    std::ranges::for_each(session.stored, [&](const stored_sample &one) { keep(one.payload.object); });
    session.payloads = std::move(kept);
    session.payloadBytes = bytes;
}

std::string writePayload(const std::vector<finished_sample> &samples)
{
    json list = json::array();
    std::ranges::transform(samples, std::back_inserter(list), [](const finished_sample &one) {
        return json{{"text", one.text}, {"score", one.score}};
    });
    return dump(list);
}

payload_batch makePayloadBatch(const std::vector<finished_sample> &samples)
{
    return parsePayload(writePayload(samples));
}

} // namespace jacinthvale
