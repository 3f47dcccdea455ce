// Hybrid logical clock and the ring of entries.
#include <gtest/gtest.h>
#include <jacinthvale/timeline.h>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;

// Clocks that differ by less than hybrid_clock::kMaxAheadMilliseconds.
RC_GTEST_PROP(hybrid_clock, causedEventsComeLater, ())
{
    const auto wall = rc::gen::inRange<std::int64_t>(0, hybrid_clock::kMaxAheadMilliseconds);
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, std::int64_t>>>(
            rc::gen::pair(rc::gen::arbitrary<bool>(), wall));
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

TEST(hybrid_clock, ignoresAClockFarAhead)
{
    hybrid_clock clock;
    const wall_time now{milliseconds{1000}};
    clock.observe({1000 + hybrid_clock::kMaxAheadMilliseconds + 1, 0}, now);
    EXPECT_EQ(clock.next(now).wallMilliseconds, 1000);
}

TEST(timeline_ring, saysHowManyEntriesItLost)
{
    timeline_ring ring(2);
    for (int i = 0; i < 5; ++i) {
        ring.append({{}, 0, {"h"}, "gate", {1}, "e", i % 2 == 0 ? "even" : "odd", ""});
    }
    EXPECT_EQ(ring.lostAfter(0), 3U);
    EXPECT_EQ(ring.lostAfter(3), 0U);
    EXPECT_EQ(ring.read(0, "").size(), 2U);
    EXPECT_EQ(ring.read(0, "even").size(), 1U);
}
