// Delivery ledger: one transaction a change, and rows from which a successor rebuilds the same ledger.
#include "samples_world.h"

#include <gtest/gtest.h>
#include <jacinthvale/delivery.h>
#include <jacinthvale/sample_sources.h>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;

namespace {

/// A ledger and the store that its changes are sent to.
struct ledger_bench
{
    fake_store store;
    trainer_ledger ledger;
    std::uint64_t writes = 0;

    ledger_bench() { ledger.trainer = {"t"}; }

    bool commit(ledger_builder &builder)
    {
        ledger_change change = builder.build();
        const store_outcome outcome = store.perform(change.transact);
        const auto *committed = std::get_if<store_committed>(&outcome);
        if (committed != nullptr) {
            ledger = applyCommit(std::move(change), committed->versions);
        }
        return committed != nullptr;
    }

    ledger_builder begin() { return {ledger, "w" + std::to_string(++writes)}; }

    trainer_ledger reload() const
    {
        trainer_ledger fresh;
        fresh.trainer = ledger.trainer;
        const store_row &head = store.rows().at(headKey(ledger.trainer));
        fresh.head = *readHead(head.value);
        fresh.headRowVersion = head.version;
        for (const auto &[key, row] : store.rows()) {
            if (key.starts_with(groupPrefix(ledger.trainer))) {
                EXPECT_TRUE(loadGroup(fresh, row).ok());
            }
        }
        for (const auto &[key, row] : store.rows()) {
            if (key.starts_with(indexPrefix(ledger.trainer))) {
                EXPECT_TRUE(loadIndex(fresh, row).ok());
            } else if (key.starts_with(sequencePrefix(ledger.trainer))) {
                EXPECT_TRUE(loadEntry(fresh, row).ok());
            }
        }
        return fresh;
    }
};

bool sameLedger(const trainer_ledger &left, const trainer_ledger &right)
{
    const auto sameGroup = [](const auto &a, const auto &b) {
        return a.first == b.first && a.second.rowVersion == b.second.rowVersion
               && a.second.slots == b.second.slots && a.second.delivered == b.second.delivered
               && a.second.digest == b.second.digest && a.second.forgetAfter == b.second.forgetAfter;
    };
    return left.head == right.head && left.headRowVersion == right.headRowVersion
           && left.entries == right.entries && left.acknowledgedEntries == right.acknowledgedEntries
           && std::ranges::equal(left.groups, right.groups, sameGroup);
}

sample_group makeGroup(const std::string &id)
{
    return {{id}, {"m"}, "prompt", 2, 10, 1};
}

finished_sample makeSample(const std::string &group, std::int64_t index, std::uint64_t version)
{
    return {{{group}, index}, {{{version}, 3}}, "text", 1.0};
}

/// One random change, in the order that the holder uses.
void changeSomething(ledger_bench &bench, std::uint64_t pull)
{
    ledger_builder builder = bench.begin();
    const auto group = std::to_string(*rc::gen::inRange(0, 4));
    builder.setVersion({bench.ledger.head.version.value + *rc::gen::inRange<std::uint64_t>(0, 2)});
    const trainer_head &head = bench.ledger.head;
    const auto after = *rc::gen::inRange(head.acknowledged, head.handedThrough + 1);
    builder.expireAfter(after, 1);
    if (!bench.ledger.groups.contains({group})) {
        builder.acceptGroup(makeGroup(group));
    }
    builder.append(makeSample(group, *rc::gen::inRange(0, 2), builder.next().head.version.value), {"o", 0});
    if (*rc::gen::arbitrary<bool>()) {
        builder.handOver(pull, after, builder.next().head.lastCursor);
    }
    builder.collect(3);
    RC_ASSERT(bench.commit(builder));
}

} // namespace

RC_GTEST_PROP(deliveryLedger, isRebuiltFromItsRows, ())
{
    ledger_bench bench;
    ledger_builder first = bench.begin();
    first.acquire({});
    RC_ASSERT(bench.commit(first));
    const int changes = *rc::gen::inRange(1, 40);
    for (int i = 1; i <= changes; ++i) {
        changeSomething(bench, static_cast<std::uint64_t>(i));
        RC_ASSERT(sameLedger(bench.reload(), bench.ledger));
    }
}

TEST(deliveryLedger, refusesEveryChangeOfAFormerHolder)
{
    ledger_bench bench;
    ledger_builder first = bench.begin();
    first.acquire({});
    ASSERT_TRUE(bench.commit(first));
    ledger_bench successor = bench;
    ledger_builder takeOver(successor.ledger, "successor");
    takeOver.acquire({});
    ASSERT_TRUE(successor.commit(takeOver));
    bench.store = successor.store;
    ledger_builder late = bench.begin();
    late.acceptGroup(makeGroup("late"));
    EXPECT_FALSE(bench.commit(late));
}

TEST(deliveryLedger, leavesASlotOpenWhoseTombstoneIsRemovedBeforeItsReplacement)
{
    ledger_bench bench;
    ledger_builder fill = bench.begin();
    fill.acceptGroup(makeGroup("g")).setVersion({1});
    ASSERT_TRUE(fill.append(makeSample("g", 0, 1), {"o", 0}));
    ASSERT_TRUE(bench.commit(fill));
    ledger_builder expire = bench.begin();
    expire.setVersion({9});
    EXPECT_EQ(expire.expireAfter(0, 2), 1U);
    expire.handOver(1, 0, 1);
    ASSERT_TRUE(bench.commit(expire));
    ledger_builder acknowledge = bench.begin();
    acknowledge.handOver(2, 1, 1).collect(10);
    ASSERT_TRUE(bench.commit(acknowledge));
    EXPECT_EQ(bench.reload().groups.at({"g"}).slots.at(0).liveCursor, 0U);
}

TEST(engineStatus, provesNothingAcrossASwapOfTheModel)
{
    const auto status = [](std::uint64_t incarnation, std::uint64_t swaps, std::uint64_t m, std::uint64_t n) {
        return engine_status{
                {incarnation}, swaps, false, {{{"m"}, {{"m"}, {m}, true}}, {{"n"}, {{"n"}, {n}, true}}}};
    };
    const engine_status before = status(1, 4, 7, 3);
    EXPECT_TRUE(provesVersions(before, status(1, 4, 7, 3), {"m"}));
    EXPECT_TRUE(provesVersions(before, status(1, 5, 7, 4), {"m"}));
    EXPECT_FALSE(provesVersions(before, status(1, 5, 8, 3), {"m"}));
    EXPECT_FALSE(provesVersions(before, status(1, 5, 7, 3), {"m"}));
    EXPECT_FALSE(provesVersions(before, status(2, 4, 7, 3), {"m"}));
}
