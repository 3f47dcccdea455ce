// Which connections give way when time, memory or descriptors run out, and how large a document may become.
#include "json_tree.h"

#include <gtest/gtest.h>
#include <jacinthvale/connection_policy.h>

using namespace jacinthvale;

namespace {

constexpr std::size_t kMb = 1024 * 1024;

instant at(std::int64_t ms)
{
    return instant{milliseconds{ms}};
}

connection_view viewOf(std::uint64_t id, connection_stage stage, std::int64_t since, std::int64_t progressAt)
{
    return {{id}, stage, 0, 0, 0, at(since), at(progressAt)};
}

/// A body of 4 MB of which some bytes arrived, the last one at 9,900 ms.
connection_view bodyOf(std::uint64_t id, std::int64_t since, std::size_t moved)
{
    return {{id}, connection_stage::body, 4 * kMb, 4 * kMb - moved, moved, at(since), at(9900)};
}

std::vector<std::uint64_t> idsOf(const std::vector<connection_verdict> &verdicts)
{
    std::vector<std::uint64_t> ids;
    for (const connection_verdict &verdict : verdicts) {
        ids.push_back(verdict.id.value);
    }
    return ids;
}

} // namespace

TEST(connection_policy, endsWhatHasUsedUpItsTime)
{
    connection_times times;
    times.head = milliseconds{100};
    times.idle = milliseconds{200};
    times.progress = milliseconds{300};
    times.room = milliseconds{400};
    std::vector<connection_view> views
            = {viewOf(1, connection_stage::head, 0, 90),    viewOf(2, connection_stage::idle, 0, 0),
               viewOf(3, connection_stage::body, 0, 0),     viewOf(4, connection_stage::waiting, 0, 0),
               viewOf(5, connection_stage::exchange, 0, 0), viewOf(6, connection_stage::answering, 0, 0)};
    views[5].remaining = 1;
    EXPECT_TRUE(expiredConnections(views, times, at(100)).empty());
    EXPECT_EQ(idsOf(expiredConnections(views, times, at(101))), (std::vector<std::uint64_t>{1}));
    const auto all = expiredConnections(views, times, at(401));
    EXPECT_EQ(idsOf(all), (std::vector<std::uint64_t>{1, 2, 3, 4, 6}));
    EXPECT_EQ(all[0].action, connection_action::refuse_slow);
    EXPECT_EQ(all[3].action, connection_action::refuse_no_room);
    EXPECT_EQ(all[4].action, connection_action::close);
}

TEST(connection_policy, refusesTheBodyThatWouldTakeLongest)
{
    const std::vector<connection_view> views
            = {bodyOf(1, 0, 3 * kMb), bodyOf(2, 0, 100), bodyOf(3, 0, kMb), bodyOf(4, 9500, 0)};
    EXPECT_EQ(idsOf(bodiesToRefuse(views, 1, at(10'000))), (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(idsOf(bodiesToRefuse(views, 5 * kMb, at(10'000))), (std::vector<std::uint64_t>{2, 3}));
    // The one that has just begun stays; the others do not free enough.
    EXPECT_TRUE(bodiesToRefuse(views, 13 * kMb, at(10'000)).empty());
}

TEST(connection_policy, keepsABodyThatIsAboutToBeComplete)
{
    const std::vector<connection_view> views = {bodyOf(1, 0, 4 * kMb - 1000)};
    EXPECT_TRUE(bodiesToRefuse(views, 1, at(10'000)).empty());
}

// A body that stopped just short of its end counted as about to be complete.
TEST(connection_policy, refusesABodyThatStopsShortBeforeASlowOne)
{
    const std::vector<connection_view> views = {bodyOf(1, 0, 100), bodyOf(2, 0, 4 * kMb - 1000)};
    std::vector<connection_view> stopped = views;
    stopped[1].progressAt = at(8000);
    EXPECT_EQ(idsOf(bodiesToRefuse(views, 1, at(10'000))), (std::vector<std::uint64_t>{1}));
    EXPECT_EQ(idsOf(bodiesToRefuse(stopped, 1, at(10'000))), (std::vector<std::uint64_t>{2}));
}

TEST(connection_policy, dropsAnswersThatCanBeAskedForAgainFirst)
{
    std::vector<connection_view> views
            = {viewOf(1, connection_stage::answering, 0, 0), viewOf(2, connection_stage::answering, 0, 0),
               viewOf(3, connection_stage::answering, 0, 9900)};
    for (connection_view &view : views) {
        view.bytes = kMb;
        view.remaining = kMb;
    }
    views[1].repeatable = true;
    EXPECT_EQ(idsOf(answersToDrop(views, 1, at(10'000))), (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(idsOf(answersToDrop(views, 5 * kMb, at(10'000))), (std::vector<std::uint64_t>{2, 1}));
}

TEST(connection_policy, neverReplacesARequestInProgress)
{
    std::vector<connection_view> views
            = {viewOf(1, connection_stage::exchange, 0, 0), viewOf(2, connection_stage::waiting, 0, 0),
               viewOf(3, connection_stage::answering, 0, 0), viewOf(4, connection_stage::body, 0, 9500)};
    EXPECT_TRUE(connectionToReplace(views, at(10'000)).empty());
    // One that was accepted just now may be about to send.
    views.push_back(viewOf(8, connection_stage::idle, 9950, 9950));
    EXPECT_TRUE(connectionToReplace(views, at(10'000)).empty());
    views.push_back(viewOf(5, connection_stage::head, 0, 8000));
    EXPECT_EQ(idsOf(connectionToReplace(views, at(10'000))), (std::vector<std::uint64_t>{5}));
    views.push_back(viewOf(6, connection_stage::idle, 9000, 9000));
    views.push_back(viewOf(7, connection_stage::idle, 8000, 8000));
    EXPECT_EQ(idsOf(connectionToReplace(views, at(10'000))), (std::vector<std::uint64_t>{7}));
}

TEST(json_tree, countsValuesAndNotBytes)
{
    std::string flat = "[0";
    std::string nested;
    for (int i = 0; i < 100'000; ++i) {
        flat += ",0";
        nested += "[";
    }
    EXPECT_FALSE(fitsAsTree(flat, kMb));
    EXPECT_FALSE(fitsAsTree(nested, kMb));
    EXPECT_TRUE(fitsAsTree(flat, 100 * kMb));
    EXPECT_TRUE(fitsAsTree("[\"" + std::string(500'000, 'x') + "\"]", kMb));
    // No JSON: its reader says so.
    EXPECT_TRUE(fitsAsTree(std::string(500'000, 'x'), kMb));
}
