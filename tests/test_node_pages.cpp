// Pages that are read from the store: where hosts are far from it, a page holds as many results as can be
// read before its reader gives up.
#include "node_rows.h"
#include "node_step.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;

namespace {

constexpr std::size_t kBatchSize = 100;

/// Daemon that knows a batch of another owner and reads its pages from a store with a given throughput.
class page_reader
{
public:
    page_reader(double bytesPerMs, std::size_t bytesPerResult)
        : m_bytesPerMs(bytesPerMs)
        , m_bytesPerResult(bytesPerResult)
    {
        apply(started{{1}});
        batch_head head;
        head.spec.id = m_batch;
        head.total = kBatchSize;
        m_state.heads[m_batch] = head;
    }

    /// Reads one page. @returns the number of its results, and sets the duration.
    std::size_t read(std::size_t after, double &durationMs)
    {
        const effects requested = apply(page_requested{exchange_id{++m_exchanges}, m_batch, after, {}});
        const auto *rows = find<read_rows>(requested);
        EXPECT_NE(rows, nullptr);
        const std::size_t end = std::min(kBatchSize, resultFragment(rows->to)->position);
        rows_received answer{rows->op, {}, 7, 1, false};
        std::size_t bytes = 0;
        for (std::size_t position = after; position < end; ++position) {
            const std::string value = encodeResult({{std::to_string(position)},
                                                    item_state::succeeded,
                                                    std::string(m_bytesPerResult, 'x'),
                                                    {1},
                                                    {}});
            bytes += value.size();
            answer.rows.push_back(
                    {{{table_id::results, "", resultKey(m_batch, position, 0)}, 1, value, false}, {}});
        }
        durationMs = static_cast<double>(bytes) / m_bytesPerMs;
        m_now += milliseconds{static_cast<std::int64_t>(durationMs)};
        const effects answered = apply(std::move(answer));
        const auto *page = find<answer_page>(answered);
        EXPECT_NE(page, nullptr);
        return page == nullptr ? 0 : page->results.size();
    }

    effects apply(node::event incoming) { return reduce(m_state, incoming, {m_now, {}, 1}); }

    template <typename Effect>
    static const Effect *find(const effects &emitted)
    {
        const auto found = std::ranges::find_if(
                emitted, [](const effect &one) { return std::holds_alternative<Effect>(one); });
        return found == emitted.end() ? nullptr : &std::get<Effect>(*found);
    }

private:
    node_state m_state = makeNodeState({});
    instant m_now{milliseconds{1000}};
    batch_id m_batch{"b1"};
    std::uint64_t m_exchanges = 0;
    double m_bytesPerMs;
    std::size_t m_bytesPerResult;
};

} // namespace

// Pattern: a batch of 100 long results, read at hosts with round trips of 60 ms to the store, so that a
// connection carries 1 kB a ms. The reader gives up after 1.5 s, which a page of the whole batch would take.
TEST(node_pages, pageOfAFarStoreIsReadBeforeItsReaderGivesUp)
{
    constexpr double kReadBoundMs = 600;
    for (const double bytesPerMs : {200.0, 500.0, 1100.0}) {
        page_reader reader(bytesPerMs, 20'000);
        double durationMs = 0;
        // The first page teaches the pace.
        std::size_t after = reader.read(0, durationMs);
        while (after < kBatchSize) {
            const std::size_t results = reader.read(after, durationMs);
            ASSERT_GT(results, 0U);
            after += results;
        }
        reader.read(0, durationMs);
        EXPECT_LT(durationMs, kReadBoundMs) << bytesPerMs;
    }
}

// Pattern: after an outage all results of a batch are committed at once, and the trainer reads twice a
// second.
TEST(node_pages, pageOfANearStoreHoldsTheWholeBatch)
{
    page_reader reader(8000, 4000);
    double durationMs = 0;
    reader.read(0, durationMs);
    EXPECT_EQ(reader.read(0, durationMs), kBatchSize);
}

TEST(node_pages, pageHoldsAtLeastOneResultHoweverSlowTheStoreIs)
{
    page_reader reader(0.5, 30'000);
    double durationMs = 0;
    for (int i = 0; i < 12; ++i) {
        EXPECT_GE(reader.read(0, durationMs), 1U);
    }
}

TEST(node_pages, readerThatLeavesIsLoggedWithItsPosition)
{
    page_reader reader(8000, 4000);
    static_cast<void>(reader.apply(page_requested{exchange_id{99}, {"b1"}, 40, {}}));
    const effects emitted = reader.apply(caller_disconnected{exchange_id{99}});
    const auto *line = page_reader::find<log_decision>(emitted);
    ASSERT_NE(line, nullptr);
    EXPECT_EQ(line->eventName, "page-abandoned");
    EXPECT_NE(line->detail.find("position 40"), std::string::npos);
}

} // namespace jacinthvale
