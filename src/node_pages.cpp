#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Pause between two looks into the store for a reader who waits at a daemon that does not own the batch:
/// half of a reader's own usual pause (0.5 s) at a small share of the reading rate.
constexpr milliseconds kPageLook{250};

/// A reader waits this long when the platform's store cannot be asked; its own retry comes about as soon.
constexpr milliseconds kComeBackSoon{300};

/// Texts of one page; the platform's page allows 1 MB, and escapes make them longer.
constexpr std::size_t kPageBytes = 700'000;

std::vector<item_result> cutToPage(std::vector<item_result> results)
{
    std::size_t bytes = 0;
    const auto end = std::ranges::find_if(results, [&](const item_result &result) {
        bytes += result.text.size();
        return bytes > kPageBytes;
    });
    // At least one result, however long.
    if (end != results.end()) {
        results.erase(end == results.begin() ? end + 1 : end, results.end());
    }
    return results;
}

bool serveOwned(step &s, owned_batch &batch, const waiting_reader &reader)
{
    const bool whole = batch.listed.size() >= batch.items.size();
    if (reader.after >= batch.listed.size() && !whole && reader.until > s.at.now) {
        return false;
    }
    std::vector<item_result> results;
    if (reader.after < batch.listed.size()) {
        results.assign(batch.listed.begin() + static_cast<std::ptrdiff_t>(reader.after), batch.listed.end());
    }
    s.emit(answer_page{reader.exchange, batch.items.size(), reader.after, cutToPage(std::move(results))});
    return true;
}

void askPage(step &s, page_read &page, bool head)
{
    page.running = true;
    page.op = s.open(for_page{page.exchange, head});
    if (head) {
        readHead(s, page.op, page.batch);
        return;
    }
    s.emit(read_rows{page.op, table_id::results, batchPartition(page.batch),
                     resultKey(page.batch, page.after, 0), batchKeysEnd(page.batch)});
}

} // namespace

void serveReaders(step &s, owned_batch &batch)
{
    std::erase_if(batch.readers, [&](const waiting_reader &reader) { return serveOwned(s, batch, reader); });
}

void onPageAsked(step &s, const page_asked &what)
{
    const instant until = s.at.now + what.wait;
    if (const auto owned = s.state.owned.find(what.batch); owned != s.state.owned.end()) {
        const waiting_reader reader{what.exchange, what.after, until};
        if (!serveOwned(s, owned->second, reader)) {
            owned->second.readers.push_back(reader);
        }
        return;
    }
    page_read page{what.exchange, what.batch, what.after, until, s.at.now, false, {}};
    page_read &stored = s.state.pages.insert_or_assign(what.exchange, page).first->second;
    askPage(s, stored, !s.state.heads.contains(what.batch));
}

void onPageRows(step &s, const for_page &what, const rows_arrived &rows)
{
    const auto found = s.state.pages.find(what.exchange);
    if (found == s.state.pages.end()) {
        return;
    }
    page_read &page = found->second;
    page.running = false;
    if (what.readingHead) {
        for (const row_change &change : rows.rows) {
            onHeadRow(s, change.what);
        }
        if (!s.state.heads.contains(page.batch)) {
            s.log("page-of-unknown-batch", page.batch.value, "no head row in the store");
            s.emit(refuse_call{page.exchange, refusal::unknown, {}});
            s.state.pages.erase(found);
            return;
        }
        askPage(s, page, false);
        return;
    }
    result_assembler reader;
    for (const row_change &change : rows.rows) {
        reader.add(change.what);
    }
    std::vector<item_result> results = reader.finish();
    const std::size_t total = s.state.heads.at(page.batch).total;
    if (results.empty() && page.after < total && page.until > s.at.now) {
        page.nextAt = s.at.now + kPageLook;
        return;
    }
    s.emit(answer_page{page.exchange, total, page.after, cutToPage(std::move(results))});
    s.state.pages.erase(found);
}

void pollPages(step &s)
{
    for (auto &[exchange, page] : s.state.pages) {
        if (!page.running && page.nextAt <= s.at.now) {
            askPage(s, page, !s.state.heads.contains(page.batch));
        }
    }
    for (auto &[id, batch] : s.state.owned) {
        serveReaders(s, batch);
    }
}

void onItemAsked(step &s, const item_asked &what)
{
    if (const auto owned = s.state.owned.find(what.batch); owned != s.state.owned.end()) {
        const auto &items = owned->second.items;
        const auto item
                = std::ranges::find_if(items, [&](const owned_item &i) { return i.item.id == what.item; });
        if (item != items.end()) {
            s.emit(answer_item{what.exchange, item->item.body});
            return;
        }
    }
    if (!s.state.heads.contains(what.batch)) {
        readHead(s, s.open(for_item{what.exchange, what.batch, what.item, {}, true}), what.batch);
        return;
    }
    const op_id op = s.open(for_item{what.exchange, what.batch, what.item, {}, false});
    s.emit(read_rows{op, table_id::items, batchPartition(what.batch), itemsKeyPrefix(what.batch),
                     progressKeyPrefix(what.batch)});
}

void onItemRows(step &s, for_item what, const rows_arrived &rows)
{
    if (what.readingHead) {
        for (const row_change &change : rows.rows) {
            onHeadRow(s, change.what);
        }
        if (!s.state.heads.contains(what.batch)) {
            s.log("item-of-unknown-batch", what.item.value, what.batch.value);
            s.emit(refuse_call{what.exchange, refusal::unknown, {}});
            return;
        }
        onItemAsked(s, {what.exchange, what.batch, what.item});
        return;
    }
    for (const row_change &change : rows.rows) {
        what.bytes += change.what.value;
    }
    if (rows.more && !rows.rows.empty()) {
        const std::string from = rows.rows.back().what.key.key + '\1';
        const batch_id id = what.batch;
        const op_id op = s.open(std::move(what));
        s.emit(read_rows{op, table_id::items, batchPartition(id), from, progressKeyPrefix(id)});
        return;
    }
    const auto items = decodeItems(what.bytes);
    if (!items) {
        s.log("items-unreadable", what.batch.value);
        s.emit(refuse_call{what.exchange, refusal::not_run, kComeBackSoon});
        return;
    }
    const auto item = std::ranges::find(*items, what.item, &batch_item::id);
    if (item == items->end()) {
        s.emit(refuse_call{what.exchange, refusal::unknown, {}});
        return;
    }
    s.emit(answer_item{what.exchange, item->body});
}

} // namespace jacinthvale::node
