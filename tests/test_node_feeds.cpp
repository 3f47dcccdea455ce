// Rows of other writers in the table of upstreams that cannot be used.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using namespace test;

namespace {

/// One daemon that reads the table of upstreams; the test answers in place of the store.
class upstream_reader
{
public:
    upstream_reader() { apply(started{{1}}); }

    void apply(node::event incoming)
    {
        for (const effect &emitted : reduce(m_state, incoming, {m_now, {}, 1})) {
            if (const auto *read = std::get_if<read_rows>(&emitted)) {
                m_reads[read->table] = read->op;
            } else if (const auto *changes = std::get_if<read_changes>(&emitted)) {
                m_reads[changes->table] = changes->op;
            } else if (const auto *line = std::get_if<log_decision>(&emitted)) {
                m_lines.push_back(*line);
            } else if (const auto *counted = std::get_if<count>(&emitted)) {
                m_counts[counted->name] += counted->amount;
            }
        }
    }

    /// Answers the next read of the table of upstreams.
    void read(const std::vector<std::pair<std::string, decoded_row>> &rows)
    {
        while (!m_reads.contains(table_id::upstreams)) {
            m_now += milliseconds{100};
            apply(node::tick{});
        }
        rows_received answer{m_reads.extract(table_id::upstreams).mapped(), {}, ++m_version, 1, false};
        for (const auto &[id, decoded] : rows) {
            const bool isRemoved = std::holds_alternative<std::monostate>(decoded);
            answer.rows.push_back({{{table_id::upstreams, "", id}, m_version, "", isRemoved}, decoded});
        }
        apply(std::move(answer));
    }

    bool knows(const std::string &id) const { return m_state.upstreams.contains({id}); }
    std::vector<log_decision> lines(const std::string &eventName) const
    {
        std::vector<log_decision> found;
        std::ranges::copy_if(m_lines, std::back_inserter(found),
                             [&](const log_decision &line) { return line.eventName == eventName; });
        return found;
    }
    double counted(const std::string &name) const
    {
        const auto found = m_counts.find(name);
        return found == m_counts.end() ? 0 : found->second;
    }

private:
    node_state m_state = makeNodeState({});
    instant m_now{milliseconds{1000}};
    std::uint64_t m_version = 1;
    std::map<table_id, op_id> m_reads;
    std::vector<log_decision> m_lines;
    std::map<std::string, double> m_counts;
};

upstream_entry entryOf(const std::string &id)
{
    upstream_entry entry;
    entry.id = {id};
    entry.service = {"s"};
    entry.address = {"10.0.0.1", 80};
    entry.zone = {"z"};
    entry.slots = 4;
    entry.startedAtMs = 1;
    return entry;
}

const std::string kCounter = "upstreams_unreadable_total{field=\"zone\"}";

} // namespace

// Guards against a row of another writer that nobody notices, and against one that fills the log with each of
// its heartbeats.
TEST(node_feeds, rowThatCannotBeUsedIsLoggedAndCountedOnce)
{
    upstream_reader reader;
    const unreadable_row withoutZone{"zone"};
    for (int i = 0; i < 3; ++i) {
        reader.read({{"i-1", withoutZone}, {"i-2", entryOf("i-2")}});
    }
    EXPECT_FALSE(reader.knows("i-1"));
    EXPECT_TRUE(reader.knows("i-2"));
    ASSERT_EQ(reader.lines("upstream-unreadable").size(), 1U);
    const log_decision line = reader.lines("upstream-unreadable").front();
    EXPECT_EQ(line.subject, "i-1");
    EXPECT_NE(line.detail.find("zone"), std::string::npos) << line.detail;
    EXPECT_EQ(reader.counted(kCounter), 1);
    // A sound row in between makes the next one new.
    reader.read({{"i-1", entryOf("i-1")}});
    EXPECT_TRUE(reader.knows("i-1"));
    reader.read({{"i-1", withoutZone}});
    EXPECT_FALSE(reader.knows("i-1"));
    EXPECT_EQ(reader.counted(kCounter), 2);
    EXPECT_EQ(reader.lines("upstream-removed").size(), 1U);
}

// Guards against a removed row that counts as one of another writer.
TEST(node_feeds, removedRowIsNotUnreadable)
{
    upstream_reader reader;
    reader.read({{"i-1", entryOf("i-1")}});
    reader.read({{"i-1", std::monostate{}}});
    EXPECT_FALSE(reader.knows("i-1"));
    EXPECT_TRUE(reader.lines("upstream-unreadable").empty());
}

// Guards against work that is lost because another writer replaced the rows of all upstreams at once: it is
// no sign that they died. Their next heartbeats bring them back.
TEST(node_feeds, workGoesOnAfterAllRowsWereUnreadableForAWhile)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        node_simulation simulation(seed);
        simulation.run(milliseconds{1500});
        const batch submitted = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(24, 150));
        simulation.submitBatch(0, submitted);
        simulation.run(milliseconds{400});
        const exchange_id early = simulation.sendCall(1, "c1");
        const auto setUnreadable = [&](bool unreadable) {
            for (std::size_t i = 0; i < 6; ++i) {
                simulation.upstream(i).rowUnreadable = unreadable;
            }
        };
        setUnreadable(true);
        simulation.run(milliseconds{3000});
        EXPECT_NE(simulation.answerAs<answer_call>(early), nullptr) << seed;
        setUnreadable(false);
        simulation.run(milliseconds{2500});
        const exchange_id late = simulation.sendCall(2, "c2");
        EXPECT_TRUE(simulation.runUntil(
                [&] {
                    return simulation.allCommitted(submitted)
                           && simulation.answerAs<answer_call>(late) != nullptr;
                },
                milliseconds{20'000}))
                << seed;
        EXPECT_EQ(simulation.violationText(), "") << seed;
    }
}

} // namespace jacinthvale
