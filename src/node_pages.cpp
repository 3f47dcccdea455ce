#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <numeric>

namespace jacinthvale::node {

namespace {

/// Interval at which the store is polled for a reader that waits at a daemon that does not own the batch.
/// Half of the usual poll interval of readers (0.5 s), at a small share of the store's read rate.
constexpr milliseconds kPagePollInterval{250};

/// Retry delay sent to a reader when the items cannot be read from the store; about the reader's own retry
/// delay.
constexpr milliseconds kReaderRetryAfter{300};

/// Maximum bytes of the results in one page as they are sent. The platform's page allows 1 MB.
constexpr std::size_t kMaxPageBytes = 700'000;

/// Bytes of a result in a page beside its texts and versions, and of one version.
constexpr std::size_t kPageResultOverhead = 64;
constexpr std::size_t kPageVersionBytes = 21;

/// Time that the read of a page from the store should take. The transfer to the reader takes about as long,
/// and readers without a wait time give up after 1.5 s.
constexpr double kPageReadMs = 300;

/// Minimum size of a read that measures the pace; smaller ones measure the latency. Weight of a new sample.
constexpr std::size_t kMinPaceSampleBytes = 64'000;
constexpr double kPaceSampleWeight = 0.4;

/// Maximum number of results of a page; their rows exceed what the store returns at once.
constexpr std::size_t kMaxPageResults = 500;

/// @returns the number of results that can be read from the store in time.
std::size_t resultLimitOf(const page_pace &pace)
{
    const double results = kPageReadMs * pace.bytesPerMs / std::max(1.0, pace.bytesPerResult);
    return std::clamp<std::size_t>(static_cast<std::size_t>(results), 1, kMaxPageResults);
}

/// Updates the pace with a read of results.
void recordPageRead(step &s, const page_read &page, std::size_t results, std::size_t bytes)
{
    if (results == 0) {
        return;
    }
    page_pace &pace = s.state.pagePace;
    const auto smooth = [](double &value, double sample) { value += kPaceSampleWeight * (sample - value); };
    smooth(pace.bytesPerResult, static_cast<double>(bytes) / static_cast<double>(results));
    if (bytes >= kMinPaceSampleBytes || results >= page.resultLimit) {
        const auto durationMs = static_cast<double>((s.ctx.now - page.readAt).count());
        smooth(pace.bytesPerMs, static_cast<double>(bytes) / std::max(1.0, durationMs));
    }
}

/// @returns the most bytes that a text takes as a JSON string.
std::size_t escapedBytes(const std::string &text)
{
    return std::accumulate(text.begin(), text.end(), std::size_t{0}, [](std::size_t bytes, char c) {
        constexpr std::size_t kUnicodeEscape = 6;
        constexpr std::size_t kReplacementCharacter = 3;
        if (c == '"' || c == '\\' || (c >= '\b' && c <= '\r' && c != '\v')) {
            return bytes + 2;
        }
        const auto code = static_cast<unsigned char>(c);
        return bytes + (code < ' ' ? kUnicodeEscape : code > '~' ? kReplacementCharacter : 1);
    });
}

std::size_t pageBytes(const item_result &result)
{
    return kPageResultOverhead + result.id.value.size() + escapedBytes(result.text)
           + escapedBytes(result.score) + result.versions.size() * kPageVersionBytes;
}

/// @returns the results from `first` on that fit a page; at least one if there is one, however long.
std::vector<item_result> cutToPage(const std::vector<item_result> &results, std::size_t first)
{
    const auto begin = results.begin() + static_cast<std::ptrdiff_t>(std::min(first, results.size()));
    std::size_t bytes = 0;
    const auto end = std::find_if(begin, results.end(), [&](const item_result &result) {
        bytes += pageBytes(result);
        return bytes > kMaxPageBytes;
    });
    return {begin, end == begin && end != results.end() ? end + 1 : end};
}

/// Answers a reader and logs which results it got.
void answerPage(step &s, const batch_id &id, answer_page answer)
{
    if (!answer.results.empty()) {
        s.log("page-answered", id.value, {},
              {{"after", static_cast<std::int64_t>(answer.after)},
               {"count", static_cast<std::int64_t>(answer.results.size())},
               {"total", static_cast<std::int64_t>(answer.total)}});
    }
    s.emit(std::move(answer));
}

/// Answers a reader from an owned batch. @returns false if the reader has to wait for further results.
bool answerReader(step &s, owned_batch &batch, const waiting_reader &reader)
{
    const bool complete = batch.committedResults.size() >= batch.items.size();
    if (reader.after >= batch.committedResults.size() && !complete && reader.until > s.ctx.now) {
        return false;
    }
    answerPage(s, batch.spec.id,
               {reader.exchange, batch.items.size(), reader.after,
                cutToPage(batch.committedResults, reader.after)});
    return true;
}

/// Reads the head row of a batch, or the results of a page, from the store.
void requestPageRows(step &s, page_read &page, bool readHead)
{
    page.running = true;
    page.op = s.open(page_operation{page.exchange, readHead});
    if (readHead) {
        requestHeadRow(s, page.op, page.batch);
        return;
    }
    page.readAt = s.ctx.now;
    page.resultLimit = resultLimitOf(s.state.pagePace);
    page.assembler = {};
    s.emit(read_rows{page.op, table_id::results, batchPartition(page.batch),
                     resultKey(page.batch, page.after, 0),
                     resultKey(page.batch, page.after + page.resultLimit, 0)});
}

} // namespace

void answerReaders(step &s, owned_batch &batch)
{
    std::erase_if(batch.readers,
                  [&](const waiting_reader &reader) { return answerReader(s, batch, reader); });
}

void logPageLost(step &s, const std::string &eventName, const page_read &page, const std::string &reason)
{
    s.log(eventName, page.batch.value,
          reason + "; position " + std::to_string(page.after) + ", after "
                  + std::to_string((s.ctx.now - page.requestedAt).count()) + " ms, "
                  + (page.running ? "reading up to " + std::to_string(page.resultLimit) + " results"
                                  : "waiting for results"));
}

void onPageRequested(step &s, const page_requested &request)
{
    const auto account = admitBatchRequest(s, request.exchange, request.batch, request.key);
    if (!account || !takesStoreRequest(s, request.exchange, request.batch.value)) {
        return;
    }
    const instant until = s.state.stopping ? s.ctx.now : s.ctx.now + request.wait;
    if (const auto owned = s.state.owned.find(request.batch); owned != s.state.owned.end()) {
        if (!mayAccess(owned->second.spec.account, *account)) {
            refuseForeignBatch(s, request.exchange, request.batch, *account);
            return;
        }
        const waiting_reader reader{request.exchange, request.after, until};
        if (!answerReader(s, owned->second, reader)) {
            owned->second.readers.push_back(reader);
        }
        return;
    }
    const auto head = s.state.heads.find(request.batch);
    if (head != s.state.heads.end() && !mayAccess(head->second.spec.account, *account)) {
        refuseForeignBatch(s, request.exchange, request.batch, *account);
        return;
    }
    page_read page{request.exchange, request.batch, *account, request.after, until, s.ctx.now, false, {}};
    page.requestedAt = s.ctx.now;
    page_read &stored = s.state.pages.insert_or_assign(request.exchange, page).first->second;
    requestPageRows(s, stored, head == s.state.heads.end());
}

void onPageRows(step &s, const page_operation &operation, const rows_received &rows)
{
    const auto found = s.state.pages.find(operation.exchange);
    if (found == s.state.pages.end()) {
        return;
    }
    page_read &page = found->second;
    page.running = false;
    if (operation.readingHead) {
        for (const row_change &change : rows.rows) {
            onHeadRow(s, change.row);
        }
        const auto head = s.state.heads.find(page.batch);
        if (head == s.state.heads.end()) {
            s.log("page-of-unknown-batch", page.batch.value,
                  "the store has no head row; the reader is refused");
            s.emit(refuse_call{page.exchange, refusal::not_found, {}});
            s.state.pages.erase(found);
            return;
        }
        if (!mayAccess(head->second.spec.account, page.account)) {
            refuseForeignBatch(s, page.exchange, page.batch, page.account);
            s.state.pages.erase(found);
            return;
        }
        requestPageRows(s, page, false);
        return;
    }
    std::size_t bytes = 0;
    for (const row_change &change : rows.rows) {
        page.assembler.add(change.row);
        bytes += change.row.value.size();
    }
    std::vector<item_result> results = page.assembler.takeComplete();
    if (results.empty() && rows.truncated && !rows.rows.empty()) {
        // The first result is larger than what the store returns at once.
        page.running = true;
        page.op = s.open(page_operation{page.exchange});
        s.emit(read_rows{page.op, table_id::results, batchPartition(page.batch),
                         rows.rows.back().row.key.key + '\1', resultKey(page.batch, page.after + 1, 0)});
        return;
    }
    recordPageRead(s, page, results.size(), bytes);
    const std::size_t total = s.state.heads.at(page.batch).total;
    if (results.empty() && page.after < total && page.until > s.ctx.now) {
        page.nextAt = s.ctx.now + kPagePollInterval;
        return;
    }
    answerPage(s, page.batch, {page.exchange, total, page.after, cutToPage(results, 0)});
    s.state.pages.erase(found);
}

void pollPages(step &s)
{
    for (auto &[exchange, page] : s.state.pages) {
        if (!page.running && page.nextAt <= s.ctx.now) {
            requestPageRows(s, page, !s.state.heads.contains(page.batch));
        }
    }
    for (auto &[id, batch] : s.state.owned) {
        answerReaders(s, batch);
    }
}

namespace {

/// Answers with the body of an item, or reads what is needed for that.
void findItem(step &s, const item_operation &request)
{
    const auto owned = s.state.owned.find(request.batch);
    const auto head = s.state.heads.find(request.batch);
    const batch *spec = owned != s.state.owned.end()  ? &owned->second.spec
                        : head != s.state.heads.end() ? &head->second.spec
                                                      : nullptr;
    if (spec != nullptr && !mayAccess(spec->account, request.account)) {
        refuseForeignBatch(s, request.exchange, request.batch, request.account);
        return;
    }
    if (owned != s.state.owned.end()) {
        const auto &items = owned->second.items;
        const auto item = std::ranges::find_if(
                items, [&](const owned_item &candidate) { return candidate.item.id == request.item; });
        if (item != items.end()) {
            s.emit(answer_item{request.exchange, item->item.body});
            return;
        }
    }
    item_operation reading = request;
    reading.readingHead = head == s.state.heads.end();
    const op_id op = s.open(reading);
    if (reading.readingHead) {
        requestHeadRow(s, op, request.batch);
        return;
    }
    s.emit(read_rows{op, table_id::items, batchPartition(request.batch), itemsKeyPrefix(request.batch),
                     progressKeyPrefix(request.batch)});
}

void requestItemSections(step &s, item_operation operation, const std::string &from)
{
    const batch_id id = operation.batch;
    const store_attempt_id attempt = operation.sections->manifest.attempt;
    const op_id op = s.open(std::move(operation));
    s.emit(read_rows{op, table_id::items, batchPartition(id), from, sectionRowsEnd(id, attempt)});
}

/// Searches an item in the sections of its batch; keeps only the section that is not complete yet.
void onItemSections(step &s, item_operation operation, const rows_received &rows)
{
    section_reader &reader = *operation.sections;
    readSectionRows(reader, rows.rows);
    const auto item = std::ranges::find(reader.items, operation.item, &batch_item::id);
    if (item != reader.items.end()) {
        s.emit(answer_item{operation.exchange, item->body});
        return;
    }
    reader.items.clear();
    if (isComplete(reader)) {
        s.emit(refuse_call{operation.exchange, refusal::not_found, {}});
        return;
    }
    if (reader.damaged || rows.rows.empty() || !rows.truncated) {
        s.log("items-unreadable", operation.batch.value, "sections are missing or damaged");
        s.emit(refuse_call{operation.exchange, refusal::not_run, kReaderRetryAfter});
        return;
    }
    requestItemSections(s, std::move(operation), rows.rows.back().row.key.key + '\1');
}

} // namespace

void onItemRequested(step &s, const item_requested &request)
{
    const auto account = admitBatchRequest(s, request.exchange, request.batch, request.key);
    if (account && takesStoreRequest(s, request.exchange, request.item.value)) {
        findItem(s, {request.exchange, request.batch, request.item, *account, {}, false});
    }
}

void onItemRows(step &s, item_operation operation, const rows_received &rows)
{
    if (operation.readingHead) {
        for (const row_change &change : rows.rows) {
            onHeadRow(s, change.row);
        }
        if (!s.state.heads.contains(operation.batch)) {
            s.log("item-of-unknown-batch", operation.item.value, operation.batch.value);
            s.emit(refuse_call{operation.exchange, refusal::not_found, {}});
            return;
        }
        findItem(s, operation);
        return;
    }
    if (operation.sections) {
        onItemSections(s, std::move(operation), rows);
        return;
    }
    for (const row_change &change : rows.rows) {
        operation.bytes += change.row.value;
    }
    if (rows.truncated && !rows.rows.empty()) {
        const std::string from = rows.rows.back().row.key.key + '\1';
        const batch_id id = operation.batch;
        const op_id op = s.open(std::move(operation));
        s.emit(read_rows{op, table_id::items, batchPartition(id), from, progressKeyPrefix(id)});
        return;
    }
    if (auto manifest = decodeManifest(operation.bytes)) {
        operation.bytes.clear();
        const std::string from = sectionRowsBegin(operation.batch, manifest->attempt);
        operation.sections = section_reader{*std::move(manifest)};
        requestItemSections(s, std::move(operation), from);
        return;
    }
    const auto items = decodeItems(operation.bytes);
    if (!items) {
        s.log("items-unreadable", operation.batch.value);
        s.emit(refuse_call{operation.exchange, refusal::not_run, kReaderRetryAfter});
        return;
    }
    const auto item = std::ranges::find(*items, operation.item, &batch_item::id);
    if (item == items->end()) {
        s.emit(refuse_call{operation.exchange, refusal::not_found, {}});
        return;
    }
    s.emit(answer_item{operation.exchange, item->body});
}

} // namespace jacinthvale::node
