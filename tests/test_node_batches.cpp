// Batches over several daemons: handed in, run, listed, read, ended, and owned anew when daemons and the
// store fail.
#include "node_rows.h"
#include "node_world.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_world;

namespace {

constexpr milliseconds kStart{1500};
constexpr milliseconds kLong{20'000};

std::vector<unsigned> pieces(std::size_t number, unsigned each)
{
    return std::vector<unsigned>(number, each);
}

} // namespace

TEST(node_batches, calmBatchIsAcceptedRunListedReadAndEnded)
{
    node_world world(1);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, {5, 9, 3, 20, 7, 7});
    const exchange_id handedIn = world.handIn(0, what);
    ASSERT_TRUE(
            world.runUntil([&] { return world.got<accept_batch>(handedIn) != nullptr; }, milliseconds{200}));
    ASSERT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    for (std::size_t daemon = 0; daemon < world.daemons(); ++daemon) {
        const exchange_id page = world.askPage(daemon, what.id, 2);
        world.run(milliseconds{100});
        ASSERT_NE(world.got<answer_page>(page), nullptr);
        EXPECT_EQ(world.got<answer_page>(page)->total, 6U);
        EXPECT_EQ(world.got<answer_page>(page)->results.size(), 4U);
    }
    const exchange_id end = world.end(1, what.id);
    world.run(milliseconds{200});
    EXPECT_NE(world.got<answer_batch_ended>(end), nullptr);
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, waitingReaderIsAnsweredWhenTheFirstResultIsListed)
{
    node_world world(2);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, {10, 40});
    world.handIn(0, what);
    world.run(milliseconds{50});
    const exchange_id atOwner = world.askPage(0, what.id, 0, milliseconds{1000});
    const exchange_id elsewhere = world.askPage(1, what.id, 0, milliseconds{1000});
    world.run(milliseconds{200});
    EXPECT_EQ(world.got<answer_page>(atOwner), nullptr);
    world.run(milliseconds{700});
    ASSERT_NE(world.got<answer_page>(atOwner), nullptr);
    EXPECT_EQ(world.got<answer_page>(atOwner)->results.size(), 1U);
    ASSERT_NE(world.got<answer_page>(elsewhere), nullptr);
    EXPECT_EQ(world.got<answer_page>(elsewhere)->results.size(), 1U);
}

TEST(node_batches, sameBatchAtAnotherDaemonIsAcceptedOnce)
{
    node_world world(3);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 5));
    const exchange_id first = world.handIn(0, what);
    const exchange_id second = world.handIn(1, what);
    ASSERT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    EXPECT_NE(world.got<accept_batch>(first), nullptr);
    EXPECT_NE(world.got<accept_batch>(second), nullptr);
    EXPECT_EQ(world.runsStarted(), 4U);
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, refusedBatchNeverRuns)
{
    node_world world(4);
    world.run(kStart);
    world.setStoreDown(true);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 5));
    const exchange_id handedIn = world.handIn(0, what);
    world.run(milliseconds{5000});
    ASSERT_NE(world.got<refuse_call>(handedIn), nullptr);
    EXPECT_EQ(world.got<refuse_call>(handedIn)->reason, refusal::not_run);
    EXPECT_GT(world.got<refuse_call>(handedIn)->retryAfter.count(), 0);
    world.setStoreDown(false);
    world.run(milliseconds{10'000});
    EXPECT_EQ(world.runsStarted(), 0U);
}

TEST(node_batches, whileTheStoreIsKnownToBeAwayABatchIsRefusedAtOnce)
{
    // Pattern: the store is away for seven seconds and a trainer has two tries; the first must not use up the
    // time of the second.
    node_world world(14);
    world.run(kStart);
    world.setStoreDown(true);
    world.run(milliseconds{1500});
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 5));
    const exchange_id first = world.handIn(0, what);
    world.run(milliseconds{50});
    ASSERT_NE(world.got<refuse_call>(first), nullptr);
    EXPECT_EQ(world.got<refuse_call>(first)->reason, refusal::not_run);
    world.run(world.got<refuse_call>(first)->retryAfter);
    world.setStoreDown(false);
    world.run(milliseconds{800});
    const exchange_id second = world.handIn(1, what);
    world.run(milliseconds{100});
    EXPECT_NE(world.got<accept_batch>(second), nullptr);
}

TEST(node_batches, lateWriteIsNotCalledNotRun)
{
    node_world world(5);
    world.run(kStart);
    world.setLateShare(1);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 5));
    const exchange_id handedIn = world.handIn(0, what);
    world.run(milliseconds{8000});
    if (const auto *refused = world.got<refuse_call>(handedIn)) {
        EXPECT_EQ(refused->reason, refusal::may_have_run);
    }
    world.setLateShare(0);
    // The write took effect after all: the batch is run like any other.
    EXPECT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, batchOfAKilledOwnerGoesOnElsewhereAndKeepsItsPieces)
{
    node_world world(6);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, {150, 150, 4, 4, 4, 4});
    world.handIn(0, what);
    world.run(milliseconds{4000});
    world.kill(world.ownerIndex(what.id));
    const instant killed = world.now();
    ASSERT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    // From the beginning the long items would take six seconds.
    EXPECT_LT(world.now() - killed, milliseconds{6000});
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, gracefulStopHandsOverAtOnce)
{
    node_world world(7);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(8, 100));
    world.handIn(0, what);
    world.run(milliseconds{2000});
    const std::size_t before = world.ownerIndex(what.id);
    world.stop(before);
    EXPECT_TRUE(world.runUntil(
            [&] {
                return world.ownerIndex(what.id) != before && world.owner(what.id).owned.contains(what.id);
            },
            milliseconds{1500}));
    EXPECT_TRUE(world.runUntil([&] { return !world.isUp(before); }, milliseconds{7000}));
    EXPECT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, aBatchThatComesBackToAFormerOwnerGoesOn)
{
    // Found by the soak (seed 1032): claimed, lost while frozen, then handed over to the same daemon again.
    node_world world(12, 3);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 300));
    world.handIn(0, what);
    world.run(milliseconds{1000});
    const auto ownedBy = [&](std::size_t daemon) {
        return world.isUp(daemon) && world.state(daemon).owned.contains(what.id);
    };
    const auto ownerOtherThan = [&](std::size_t before) {
        for (std::size_t i = 0; i < world.daemons(); ++i) {
            if (i != before && ownedBy(i)) {
                return i;
            }
        }
        return before;
    };
    const std::size_t first = world.ownerIndex(what.id);
    world.kill(first);
    ASSERT_TRUE(world.runUntil([&] { return ownerOtherThan(first) != first; }, kLong));
    const std::size_t second = ownerOtherThan(first);
    world.freeze(second, milliseconds{5000});
    ASSERT_TRUE(world.runUntil([&] { return ownerOtherThan(second) != second; }, kLong));
    const std::size_t third = ownerOtherThan(second);
    ASSERT_TRUE(world.runUntil([&] { return !ownedBy(second); }, kLong));
    world.stop(third);
    ASSERT_TRUE(world.runUntil([&] { return world.allListed(what); }, milliseconds{40'000}));
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, nobodyIsTakenForDeadWhileTheStoreIsAway)
{
    node_world world(8, 5);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 200));
    world.handIn(0, what);
    world.run(milliseconds{1000});
    world.setStoreDown(true);
    world.run(milliseconds{6000});
    world.setStoreDown(false);
    ASSERT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    EXPECT_EQ(world.claims(), 0U);
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, nobodyIsTakenForDeadWhileBeatsCannotBeWritten)
{
    // Part of the store's tables is away: rows are read, but no daemon's beat gets through.
    node_world world(9, 5);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(4, 200));
    world.handIn(0, what);
    world.run(milliseconds{1000});
    world.turnWritesAway(table_id::daemons, true);
    world.run(milliseconds{5000});
    world.turnWritesAway(table_id::daemons, false);
    ASSERT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    EXPECT_EQ(world.claims(), 0U);
}

TEST(node_batches, answersOfAnOlderLoadAreNotForANewerOne)
{
    // Two loads of one batch at once added their rows up, so that listed items ran and were listed again.
    node_state state
            = makeNodeState({{"h"}, {"z"}, {"10.0.0.1", 1}, {}, milliseconds{3000}, milliseconds{8000}});
    reduce(state, started{{7}}, {});
    batch_head head;
    head.owner = {{"h"}, {7}};
    head.epoch = 2;
    head.total = 2;
    const batch what = node_world::makeBatch("b1", "m0", 1, {3, 3});
    head.spec = what;
    head.rowVersion = 5;
    const row headRow{{table_id::heads, partOf(what.id), "b1"}, 5, encodeHead(head), false};
    state.heads[what.id] = *decodeHead(headRow);
    state.configKnown = true;
    state.feeds[2].synced = true;
    const auto reads = [&](const node::effects &out) {
        std::vector<op_id> ops;
        for (const node::effect &each : out) {
            const auto *read = std::get_if<read_rows>(&each);
            if (read != nullptr && read->table == table_id::items) {
                ops.push_back(read->op);
            }
        }
        return ops;
    };
    const auto first = reads(reduce(state, node::tick{}, {}));
    ASSERT_EQ(first.size(), 1U);
    state.loading.clear();
    const auto second = reads(reduce(state, node::tick{}, {}));
    ASSERT_EQ(second.size(), 1U);
    rows_received rows{first.front(), {}, 9, 100, false};
    rows.rows.push_back(
            {{{table_id::items, partOf(what.id), itemsKey(what.id, 0)}, 4, encodeItems(what.items), false},
             std::monostate{}});
    reduce(state, rows, {});
    EXPECT_EQ(state.loading.at(what.id).itemBytes, "");
    rows.op = second.front();
    reduce(state, rows, {});
    EXPECT_EQ(state.loading.at(what.id).itemBytes, encodeItems(what.items));
}

TEST(node_batches, unknownBatchIsUnknownOnlyWhenTheStoreSaidSo)
{
    node_world world(10);
    world.run(kStart);
    const exchange_id known = world.askPage(0, {"none"}, 0);
    world.run(milliseconds{100});
    ASSERT_NE(world.got<refuse_call>(known), nullptr);
    EXPECT_EQ(world.got<refuse_call>(known)->reason, refusal::not_found);
    world.setStoreDown(true);
    const exchange_id unsure = world.askPage(0, {"none"}, 0);
    const exchange_id body = world.askItem(0, {"none"}, {"i"});
    const exchange_id end = world.end(0, {"none"});
    world.run(milliseconds{5000});
    for (const exchange_id each : {unsure, body, end}) {
        ASSERT_NE(world.got<refuse_call>(each), nullptr);
        EXPECT_EQ(world.got<refuse_call>(each)->reason, refusal::not_run);
    }
}

TEST(node_batches, bodyOfAnItemComesFromAnyDaemonAlsoAfterAllWereKilled)
{
    node_world world(11);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, {31, 32, 33});
    world.handIn(0, what);
    world.run(milliseconds{100});
    for (std::size_t i = 0; i < world.daemons(); ++i) {
        world.kill(i);
        world.start(i);
    }
    world.run(milliseconds{1000});
    for (std::size_t i = 0; i < world.daemons(); ++i) {
        const exchange_id asked = world.askItem(i, what.id, what.items[1].id);
        world.run(milliseconds{100});
        ASSERT_NE(world.got<answer_item>(asked), nullptr);
        EXPECT_EQ(world.got<answer_item>(asked)->body, "32");
    }
    EXPECT_TRUE(world.runUntil([&] { return world.allListed(what); }, kLong));
    EXPECT_EQ(world.faultText(), "");
}

TEST(node_batches, aReaderThatLeftLeavesNoTrace)
{
    node_world world(13);
    world.run(kStart);
    world.setStoreDown(true);
    const exchange_id page = world.askPage(0, {"b1"}, 0);
    world.leave(0, page);
    world.run(milliseconds{5000});
    EXPECT_EQ(world.got<refuse_call>(page), nullptr);
    EXPECT_TRUE(world.state(0).pages.empty());
}

TEST(node_batches, endedBatchStartsNothingMore)
{
    node_world world(12);
    world.run(kStart);
    const batch what = node_world::makeBatch("b1", "m0", 1, pieces(60, 60));
    world.handIn(0, what);
    world.run(milliseconds{500});
    const exchange_id end = world.end(1, what.id);
    ASSERT_TRUE(
            world.runUntil([&] { return world.got<answer_batch_ended>(end) != nullptr; }, milliseconds{500}));
    world.run(milliseconds{1500});
    const std::size_t runs = world.runsStarted();
    world.run(milliseconds{5000});
    EXPECT_EQ(world.runsStarted(), runs);
    EXPECT_FALSE(world.owner(what.id).owned.contains(what.id));
}

TEST(node_batches, rowsOfADaemonAndOfTheLeaseAreReadAsTheyWereWritten)
{
    const member who{{7}, {"10.0.0.1", 80}, true, 9, {{"e1", 40.5}}, 0.12, {}, 0};
    const auto read = decodeMember({{table_id::daemons, "", "h"}, 3, encodeMember(who), false});
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->incarnation, who.incarnation);
    EXPECT_EQ(read->peer, who.peer);
    EXPECT_TRUE(read->leaving);
    EXPECT_EQ(read->interChunkLatencies, who.interChunkLatencies);
    EXPECT_EQ(read->processorShare, 0.12);
    const lease_row lease{{"h"}, {7}, {4}, true, {{"e1", 12}}, {{{"e1"}, {"m0"}, {5}, 9}}};
    const auto readLease = decodeLease({{table_id::leases, "", "weights"}, 3, encodeLease(lease), false});
    ASSERT_TRUE(readLease.has_value());
    EXPECT_EQ(readLease->epoch, lease.epoch);
    EXPECT_TRUE(readLease->released);
    EXPECT_EQ(readLease->planned, lease.planned);
    EXPECT_EQ(readLease->loaded, lease.loaded);
}

TEST(node_batches, longTextIsListedInFragmentsAndReadWhole)
{
    const std::string text(200'000, 'x');
    const item_result result{{"i"}, item_state::succeeded, text, {3}};
    result_reader reader;
    const auto fragments = fragmentsOf(encodeResult(result));
    ASSERT_GT(fragments.size(), 3U);
    for (std::size_t i = 0; i < fragments.size(); ++i) {
        EXPECT_LE(fragments[i].size(), kRowBytes);
        reader.add({{table_id::results, "p", resultKey({"b"}, 0, i)}, 1, fragments[i], false});
    }
    ASSERT_EQ(reader.finish().size(), 1U);
    EXPECT_EQ(reader.finish().front(), result);
}

namespace {

/// Random series of faults, one after another and overlapping, while trainers hand in batches.
void playSeries(std::uint64_t seed)
{
    node_world world(seed, 4, 5);
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t end) { return static_cast<std::size_t>(random() % end); };
    world.run(kStart);
    std::vector<batch> batches;
    std::uint64_t version = 1;
    for (int round = 0; round < 8; ++round) {
        const std::string model = draw(2) == 0 ? "m0" : "m1";
        std::vector<unsigned> lengths;
        for (int i = 0; i < 12; ++i) {
            lengths.push_back(1 + static_cast<unsigned>(draw(60)));
        }
        const std::size_t daemon = draw(world.daemons());
        if (world.isUp(daemon)) {
            batches.push_back(node_world::makeBatch("b" + std::to_string(round), model,
                                                    version > 1 ? version - 1 : 1, lengths));
            const exchange_id handedIn = world.handIn(daemon, batches.back());
            world.run(milliseconds{static_cast<int>(draw(200))});
            if (world.got<accept_batch>(handedIn) == nullptr) {
                batches.pop_back();
            }
        }
        const std::size_t other = draw(world.daemons());
        switch (draw(9)) {
        case 0:
            world.kill(other);
            break;
        case 1:
            world.setStoreDown(true);
            break;
        case 2:
            world.cutFromStore(other, true);
            break;
        case 3:
            world.setLostShare(0.3);
            break;
        case 4:
            world.setLateShare(0.2);
            break;
        case 5:
            world.crashUpstream(draw(5));
            break;
        case 6:
            world.freeze(other, milliseconds{4000});
            break;
        case 7:
            world.dropHistory();
            break;
        default:
            ++version;
            world.nameVersion("m0", version);
            world.nameVersion("m1", version);
            break;
        }
        world.run(milliseconds{static_cast<int>(draw(4000))});
        world.setStoreDown(false);
        world.setLostShare(0);
        world.setLateShare(0);
        for (std::size_t i = 0; i < world.daemons(); ++i) {
            world.cutFromStore(i, false);
            if (!world.isUp(i)) {
                world.start(i);
            }
        }
        for (std::size_t i = 0; i < 5; ++i) {
            if (!world.upstream(i).up) {
                world.restoreUpstream(i);
            }
        }
        world.run(milliseconds{static_cast<int>(draw(1500))});
    }
    const bool done = world.runUntil(
            [&] {
                return std::ranges::all_of(batches, [&](const batch &each) { return world.allListed(each); });
            },
            milliseconds{40'000});
    EXPECT_TRUE(done) << "seed " << seed;
    EXPECT_EQ(world.faultText(), "") << "seed " << seed;
}

void playSeries(std::uint64_t first, std::uint64_t end)
{
    for (std::uint64_t seed = first; seed < end; ++seed) {
        playSeries(seed);
    }
}

} // namespace

// A hundred series in four tests, so that they run side by side.
TEST(node_batches, everyItemIsListedOnceAndWholeUnderRandomFaults)
{
    playSeries(1, 26);
}

TEST(node_batches, everyItemIsListedOnceAndWholeUnderRandomFaultsSecondQuarter)
{
    playSeries(26, 51);
}

TEST(node_batches, everyItemIsListedOnceAndWholeUnderRandomFaultsThirdQuarter)
{
    playSeries(51, 76);
}

TEST(node_batches, everyItemIsListedOnceAndWholeUnderRandomFaultsLastQuarter)
{
    playSeries(76, 101);
}

} // namespace jacinthvale
