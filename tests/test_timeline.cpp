// Tests of the hybrid logical clock and of the ring of timeline entries.
#include <gtest/gtest.h>
#include <jacinthvale/timeline.h>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;

// The wall times of any two steps differ by less than hybrid_clock::kMaxAheadMilliseconds, so observe()
// ignores no timestamp.
RC_GTEST_PROP(hybrid_clock, causedEventsHaveLaterTimestamps, ())
{
    const auto wallMilliseconds = rc::gen::inRange<std::int64_t>(0, hybrid_clock::kMaxAheadMilliseconds);
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, std::int64_t>>>(
            rc::gen::pair(rc::gen::arbitrary<bool>(), wallMilliseconds));
    hybrid_clock left;
    hybrid_clock right;
    for (const auto &[toRight, wallMs] : steps) {
        hybrid_clock &sender = toRight ? left : right;
        hybrid_clock &receiver = toRight ? right : left;
        const wall_time now{milliseconds{wallMs}};
        const hybrid_time sent = sender.next(now);
        receiver.observe(sent, now);
        const hybrid_time received = receiver.next(now);
        RC_ASSERT(received > sent);
    }
}

TEST(hybrid_clock, ignoresTimestampsFarAhead)
{
    hybrid_clock clock;
    const wall_time now{milliseconds{1000}};
    clock.observe({1000 + hybrid_clock::kMaxAheadMilliseconds + 1, 0}, now);
    EXPECT_EQ(clock.next(now).wallMilliseconds, 1000);
}

TEST(timeline_ring, countsDroppedEntries)
{
    timeline_ring ring(2);
    for (int i = 0; i < 5; ++i) {
        ring.append({{}, 0, {"h"}, "gate", {1}, "e", i % 2 == 0 ? "even" : "odd", ""});
    }
    EXPECT_EQ(ring.droppedAfter(0), 3U);
    EXPECT_EQ(ring.droppedAfter(3), 0U);
    EXPECT_EQ(ring.read(0, "").size(), 2U);
    EXPECT_EQ(ring.read(0, "even").size(), 1U);
}
