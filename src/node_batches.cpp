#include "node_placement.h"
#include "node_rows.h"
#include "node_step.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <range/v3/algorithm/all_of.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

/// Results of one transaction: the platform takes 100 entries and 1 MB; encoded values are a third larger.
constexpr std::size_t kMostRowsListed = 80;
constexpr std::size_t kMostBytesListed = 600'000;

/// Longest try to store a batch before its trainer is told to go elsewhere: a third of the 12 s that trainers
/// wait, so that their second try still has time.
constexpr milliseconds kAcceptDeadline{3500};

/// When a batch could not be stored: the store may have turned this host away for a moment.
constexpr milliseconds kComeBackAfterStore{500};

/// Without an answer of the store by any way for this long a batch is refused at once: feeds alone ask it
/// several times a second, so this is an outage and no slow answer.
constexpr milliseconds kStoreAway{1000};

/// Outages of the store seen here last 2 to 7 s; callers keep to a third of their time, 4 s of 12.
constexpr milliseconds kComeBackAfterOutage{3500};

constexpr milliseconds kListDeadline{4000};
constexpr milliseconds kEndDeadline{3000};

std::uint64_t workOf(const batch &what)
{
    return ranges::accumulate(what.items | ranges::views::transform([](const batch_item &item) {
                                  return std::uint64_t{item.tokens};
                              }),
                              std::uint64_t{0});
}

const row *findRow(const std::vector<row> &rows, table_id table, const std::string &key)
{
    const auto found = std::ranges::find_if(rows, [&](const row &r) {
        return r.key.table == table && r.key.key == key && !r.removed && r.version != 0;
    });
    return found == rows.end() ? nullptr : &*found;
}

void answerPending(step &s, const batch_id &id, const std::function<void(exchange_id)> &answer)
{
    const auto node = s.state.pending.extract(id);
    if (!node.empty()) {
        std::ranges::for_each(node.mapped().exchanges, answer);
    }
}

void beginOwning(step &s, batch what, std::uint64_t epoch, std::uint64_t headVersion,
                 std::uint64_t acceptedAtMs)
{
    owned_batch owned;
    owned.epoch = epoch;
    owned.headVersion = headVersion;
    owned.acceptedAtMs = acceptedAtMs;
    for (const batch_item &item : what.items) {
        owned_item next;
        next.item = item;
        owned.items.push_back(std::move(next));
    }
    what.items.clear();
    owned.spec = std::move(what);
    own(s, std::move(owned));
}

/// Result of a finished item, as it is listed.
item_result resultOf(const owned_item &item)
{
    if (item.outcome != item_state::succeeded) {
        return {item.item.id, item.outcome, {}, {}};
    }
    return {item.item.id, item.outcome, item.text,
            std::vector<std::uint64_t>(item.versions.begin(), item.versions.end())};
}

} // namespace

void own(step &s, owned_batch batch)
{
    const batch_id id = batch.spec.id;
    batch.ownedAt = s.ctx.now;
    markSurplus(batch);
    s.state.owned.insert_or_assign(id, std::move(batch));
    startRuns(s);
}

void readHead(step &s, op_id op, const batch_id &id)
{
    s.emit(read_rows{op, table_id::heads, partOf(id), id.value, id.value + '\1'});
}

void onBatchReceived(step &s, const batch_received &what)
{
    node_state &state = s.state;
    const batch_id &id = what.spec.id;
    if (state.heads.contains(id)) {
        s.log("batch-known", id.value, "accepted before");
        s.emit(accept_batch{what.exchange});
        return;
    }
    if (const auto found = state.pending.find(id); found != state.pending.end()) {
        found->second.exchanges.push_back(what.exchange);
        return;
    }
    if (state.stopping || !state.configKnown) {
        s.log("batch-refused", id.value, state.stopping ? "stopping" : "no configuration yet");
        s.emit(refuse_call{what.exchange, refusal::not_run, kComeBackAfterStore});
        return;
    }
    if (s.ctx.now - state.lastStoreAnswerAt > kStoreAway) {
        s.log("batch-refused", id.value,
              "store silent for " + std::to_string((s.ctx.now - state.lastStoreAnswerAt).count()) + " ms");
        s.emit(refuse_call{what.exchange, refusal::not_run, kComeBackAfterOutage});
        return;
    }
    batch_head head;
    const auto owners = ownersInOrder(state, what.spec.model, s.ctx.now);
    head.owner = owners.empty() ? ownName(state) : owners.front();
    head.epoch = 1;
    head.total = what.spec.items.size();
    head.acceptedAtMs = storeTime(state, s.ctx.now);
    head.workTokens = workOf(what.spec);
    head.spec = what.spec;
    const op_id op = s.open(accept_operation{id});
    commit_rows commit{op, partOf(id), {{table_id::heads, id.value, 0}}, {}, kAcceptDeadline};
    const std::string headValue = encodeHead(head);
    commit.puts.push_back({table_id::heads, id.value, headValue});
    const std::vector<std::string> fragments = fragmentsOf(encodeItems(what.spec.items));
    for (std::size_t i = 0; i < fragments.size(); ++i) {
        commit.puts.push_back({table_id::items, itemsKey(id, i), fragments[i]});
    }
    state.pending[id] = {what.spec, {what.exchange}, headValue};
    s.emit(std::move(commit));
}

void onAcceptCommitted(step &s, const batch_id &id, const rows_committed &what)
{
    const auto found = s.state.pending.find(id);
    if (found == s.state.pending.end()) {
        return;
    }
    const pending_batch accepted = found->second;
    batch_head head = *decodeHead(
            {{table_id::heads, partOf(id), id.value}, what.version, accepted.ownHeadValue, false});
    s.log("batch-accepted", id.value,
          "items " + std::to_string(head.total) + " step " + std::to_string(head.spec.step) + " model "
                  + head.spec.model.value);
    answerPending(s, id, [&](exchange_id exchange) { s.emit(accept_batch{exchange}); });
    const std::uint64_t acceptedAtMs = head.acceptedAtMs;
    batch_head &known = s.state.heads[id];
    if (known.rowVersion > what.version) {
        // The feed was faster and already shows a later change, such as its end.
        return;
    }
    known = std::move(head);
    if (known.owner != ownName(s.state)) {
        return;
    }
    beginOwning(s, accepted.spec, 1, what.version, acceptedAtMs);
}

void onAcceptConflict(step &s, const batch_id &id, const rows_conflict &what)
{
    const auto found = s.state.pending.find(id);
    if (found == s.state.pending.end()) {
        return;
    }
    const row *head = findRow(what.rows, table_id::heads, id.value);
    if (head != nullptr && what.afterLostAnswer && head->value == found->second.ownHeadValue) {
        onAcceptCommitted(s, id, {what.op, head->version, 0});
        return;
    }
    if (head != nullptr) {
        onHeadRow(s, *head);
    }
    s.log("batch-known", id.value, "stored by another daemon");
    answerPending(s, id, [&](exchange_id exchange) { s.emit(accept_batch{exchange}); });
}

void onAcceptFailed(step &s, const batch_id &id, const store_failed &what)
{
    s.log("batch-not-stored", id.value,
          what.reason + (what.outcomeUnknown ? "; may be stored" : "; not stored"));
    s.emit(count{"batches_not_stored"});
    answerPending(s, id, [&](exchange_id exchange) {
        s.emit(refuse_call{exchange, what.outcomeUnknown ? refusal::may_have_run : refusal::not_run,
                           kComeBackAfterStore});
    });
}

void onHeadRow(step &s, const row &what)
{
    const batch_id id{what.key.key};
    if (what.removed) {
        s.state.heads.erase(id);
        dropOwned(s, id, "head removed");
        return;
    }
    auto head = decodeHead(what);
    if (!head) {
        s.log("head-unreadable", id.value);
        return;
    }
    batch_head &known = s.state.heads[id];
    if (known.rowVersion > head->rowVersion) {
        return;
    }
    if (known.owner == head->owner) {
        head->orphanSince = known.orphanSince;
    }
    head->claiming = known.claiming;
    known = *std::move(head);
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end() || found->second.headVersion > known.rowVersion) {
        return;
    }
    if (known.ended) {
        dropOwned(s, id, "ended");
    } else if (known.owner != ownName(s.state) || known.epoch != found->second.epoch) {
        dropOwned(s, id, "owned by " + known.owner.host.value);
    } else {
        found->second.headVersion = known.rowVersion;
    }
}

namespace {

/// One line on the items that came last: they decide the time of a step.
void logSlowest(step &s, const owned_batch &batch)
{
    constexpr std::size_t kShown = 3;
    std::vector<const owned_item *> finished;
    for (const owned_item &item : batch.items) {
        if (item.finishedAt != instant{} && item.firstStartedAt != instant{}) {
            finished.push_back(&item);
        }
    }
    std::ranges::sort(finished, std::greater<>{}, [](const owned_item *item) { return item->finishedAt; });
    finished.resize(std::min(finished.size(), kShown));
    std::string text;
    for (const owned_item *item : finished) {
        text += absl::StrFormat(
                "%s: pieces %d of %.0f expected tokens, waited %d ms, there after %d ms, moves %d%s; ",
                item->item.id.value, item->chunkCount, expectedTokens(item->item),
                (item->firstStartedAt - batch.ownedAt).count(), (item->finishedAt - batch.ownedAt).count(),
                item->moveCount, item->isSurplus ? ", spare" : "");
    }
    s.log("batch-slowest", batch.spec.id.value, text);
}

} // namespace

void dropOwned(step &s, const batch_id &id, const std::string &why)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    logSlowest(s, batch);
    const auto open = std::ranges::count_if(
            batch.items, [](const owned_item &item) { return item.phase != item_phase::committed; });
    for (owned_item &item : batch.items) {
        stopRun(s, item);
    }
    // Readers go on from the store.
    const std::vector<waiting_reader> readers = std::move(batch.readers);
    s.state.owned.erase(found);
    s.log("batch-dropped", id.value, why + "; items open " + std::to_string(open));
    for (const waiting_reader &reader : readers) {
        page_read page{reader.exchange, id, reader.after, reader.until, s.ctx.now, false, {}};
        s.state.pages.insert_or_assign(reader.exchange, page);
    }
}

void listFinished(step &s, owned_batch &batch)
{
    if (batch.commit.value != 0 || batch.handingOver) {
        return;
    }
    if (batch.committing.empty()) {
        if (batch.finished.empty()) {
            return;
        }
        std::size_t bytes = 0;
        std::size_t rows = 0;
        while (!batch.finished.empty()) {
            const owned_item &item = batch.items[batch.finished.front()];
            const std::size_t itemRows = item.text.size() / kRowBytes + 1;
            const bool first = batch.committing.empty();
            if (!first
                && (rows + itemRows > kMostRowsListed || bytes + item.text.size() > kMostBytesListed)) {
                break;
            }
            rows += itemRows;
            bytes += item.text.size();
            batch.committing.push_back(batch.finished.front());
            batch.finished.pop_front();
        }
    }
    const batch_id &id = batch.spec.id;
    const std::size_t position = batch.committedResults.size();
    batch.commit = s.open(commit_operation{id});
    commit_rows commit{batch.commit,
                       partOf(id),
                       {{table_id::heads, id.value, batch.headVersion},
                        {table_id::results, resultKey(id, position, 0), 0}},
                       {},
                       kListDeadline};
    for (std::size_t i = 0; i < batch.committing.size(); ++i) {
        const owned_item &item = batch.items[batch.committing[i]];
        const std::vector<std::string> fragments = fragmentsOf(encodeResult(resultOf(item)));
        for (std::size_t f = 0; f < fragments.size(); ++f) {
            commit.puts.push_back({table_id::results, resultKey(id, position + i, f), fragments[f]});
        }
    }
    s.emit(std::move(commit));
}

void onListed(step &s, const batch_id &id)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    batch.commit = {};
    for (const std::size_t index : batch.committing) {
        owned_item &item = batch.items[index];
        item.phase = item_phase::committed;
        batch.committedResults.push_back(resultOf(item));
        item.text.clear();
    }
    s.emit(count{"items_listed", static_cast<double>(batch.committing.size())});
    batch.committing.clear();
    serveReaders(s, batch);
    listFinished(s, batch);
}

void onListConflict(step &s, const batch_id &id, const rows_conflict &what)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    batch.commit = {};
    const row *head = findRow(what.rows, table_id::heads, id.value);
    const bool listed = findRow(what.rows, table_id::results, resultKey(id, batch.committedResults.size(), 0))
                        != nullptr;
    if (head == nullptr) {
        dropOwned(s, id, "head row gone");
        return;
    }
    onHeadRow(s, *head);
    if (!s.state.owned.contains(id)) {
        return;
    }
    if (listed) {
        // Only the owner of this epoch writes here, so an earlier copy of this transaction took effect.
        onListed(s, id);
        return;
    }
    listFinished(s, batch);
}

void onListFailed(step &s, const batch_id &id)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    // The same results go to the same positions again: an unanswered copy may still take effect.
    found->second.commit = {};
    s.log("results-not-listed", id.value, std::to_string(found->second.committing.size()) + " wait");
    listFinished(s, found->second);
}

void onBatchEndAsked(step &s, const batch_end_requested &what)
{
    continueEnd(s, {what.batch, what.exchange, false});
}

void continueEnd(step &s, const batch_end_operation &what)
{
    const auto found = s.state.heads.find(what.batch);
    if (found == s.state.heads.end()) {
        if (what.reading) {
            s.emit(refuse_call{what.exchange, refusal::not_found, {}});
            return;
        }
        readHead(s, s.open(batch_end_operation{what.batch, what.exchange, true}), what.batch);
        return;
    }
    if (found->second.ended) {
        s.emit(answer_batch_ended{what.exchange});
        return;
    }
    batch_head ended = found->second;
    ended.ended = true;
    const op_id op = s.open(batch_end_operation{what.batch, what.exchange, false});
    s.emit(commit_rows{op,
                       partOf(what.batch),
                       {{table_id::heads, what.batch.value, found->second.rowVersion}},
                       {{table_id::heads, what.batch.value, encodeHead(ended)}},
                       kEndDeadline});
}

void expireOwned(step &s)
{
    const std::uint64_t now = storeTime(s.state, s.ctx.now);
    for (auto &[id, batch] : s.state.owned) {
        const route *by = findRoute(s.state.config, batch.spec.host, batch.spec.path);
        const bool outOfTime
                = by != nullptr && by->retention.count() > 0 && batch.acceptedAtMs > 0
                  && now > batch.acceptedAtMs + static_cast<std::uint64_t>(by->retention.count());
        if (!outOfTime) {
            continue;
        }
        for (std::size_t i = 0; i < batch.items.size(); ++i) {
            owned_item &item = batch.items[i];
            if (item.phase == item_phase::waiting || item.phase == item_phase::running) {
                stopRun(s, item);
                finishItem(s, batch, i, item_state::lost);
                s.log("item-given-up", item.item.id.value, "retention passed, batch " + id.value);
            }
        }
        listFinished(s, batch);
    }
}

} // namespace jacinthvale::node
