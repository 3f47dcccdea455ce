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
    const bool whole = batch.committedResults.size() >= batch.items.size();
    if (reader.after >= batch.committedResults.size() && !whole && reader.until > s.ctx.now) {
        return false;
    }
    std::vector<item_result> results;
    if (reader.after < batch.committedResults.size()) {
        results.assign(batch.committedResults.begin() + static_cast<std::ptrdiff_t>(reader.after),
                       batch.committedResults.end());
    }
    s.emit(answer_page{reader.exchange, batch.items.size(), reader.after, cutToPage(std::move(results))});
    return true;
}

void askPage(step &s, page_read &page, bool head)
{
    page.running = true;
    page.op = s.open(page_operation{page.exchange, head});
    if (head) {
        readHead(s, page.op, page.batch);
        return;
    }
    s.emit(read_rows{page.op, table_id::results, partOf(page.batch), resultKey(page.batch, page.after, 0),
                     endKey(page.batch)});
}

} // namespace

void serveReaders(step &s, owned_batch &batch)
{
    std::erase_if(batch.readers, [&](const waiting_reader &reader) { return serveOwned(s, batch, reader); });
}

void onPageAsked(step &s, const page_requested &what)
{
    const instant until = s.ctx.now + what.wait;
    if (const auto owned = s.state.owned.find(what.batch); owned != s.state.owned.end()) {
        const waiting_reader reader{what.exchange, what.after, until};
        if (!serveOwned(s, owned->second, reader)) {
            owned->second.readers.push_back(reader);
        }
        return;
    }
    page_read page{what.exchange, what.batch, what.after, until, s.ctx.now, false, {}};
    page_read &stored = s.state.pages.insert_or_assign(what.exchange, page).first->second;
    askPage(s, stored, !s.state.heads.contains(what.batch));
}

void onPageRows(step &s, const page_operation &what, const rows_received &rows)
{
    const auto found = s.state.pages.find(what.exchange);
    if (found == s.state.pages.end()) {
        return;
    }
    page_read &page = found->second;
    page.running = false;
    if (what.readingHead) {
        for (const row_change &change : rows.rows) {
            onHeadRow(s, change.row);
        }
        if (!s.state.heads.contains(page.batch)) {
            s.log("page-of-unknown-batch", page.batch.value, "no head row in the store");
            s.emit(refuse_call{page.exchange, refusal::not_found, {}});
            s.state.pages.erase(found);
            return;
        }
        askPage(s, page, false);
        return;
    }
    result_reader reader;
    for (const row_change &change : rows.rows) {
        reader.add(change.row);
    }
    std::vector<item_result> results = reader.finish();
    const std::size_t total = s.state.heads.at(page.batch).total;
    if (results.empty() && page.after < total && page.until > s.ctx.now) {
        page.nextAt = s.ctx.now + kPageLook;
        return;
    }
    s.emit(answer_page{page.exchange, total, page.after, cutToPage(std::move(results))});
    s.state.pages.erase(found);
}

void pollPages(step &s)
{
    for (auto &[exchange, page] : s.state.pages) {
        if (!page.running && page.nextAt <= s.ctx.now) {
            askPage(s, page, !s.state.heads.contains(page.batch));
        }
    }
    for (auto &[id, batch] : s.state.owned) {
        serveReaders(s, batch);
    }
}

void onItemAsked(step &s, const item_requested &what)
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
        readHead(s, s.open(item_operation{what.exchange, what.batch, what.item, {}, true}), what.batch);
        return;
    }
    const op_id op = s.open(item_operation{what.exchange, what.batch, what.item, {}, false});
    s.emit(read_rows{op, table_id::items, partOf(what.batch), firstItemsKey(what.batch),
                     firstProgressKey(what.batch)});
}

void onItemRows(step &s, item_operation what, const rows_received &rows)
{
    if (what.readingHead) {
        for (const row_change &change : rows.rows) {
            onHeadRow(s, change.row);
        }
        if (!s.state.heads.contains(what.batch)) {
            s.log("item-of-unknown-batch", what.item.value, what.batch.value);
            s.emit(refuse_call{what.exchange, refusal::not_found, {}});
            return;
        }
        onItemAsked(s, {what.exchange, what.batch, what.item});
        return;
    }
    for (const row_change &change : rows.rows) {
        what.bytes += change.row.value;
    }
    if (rows.truncated && !rows.rows.empty()) {
        const std::string from = rows.rows.back().row.key.key + '\1';
        const batch_id id = what.batch;
        const op_id op = s.open(std::move(what));
        s.emit(read_rows{op, table_id::items, partOf(id), from, firstProgressKey(id)});
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
        s.emit(refuse_call{what.exchange, refusal::not_found, {}});
        return;
    }
    s.emit(answer_item{what.exchange, item->body});
}

} // namespace jacinthvale::node
