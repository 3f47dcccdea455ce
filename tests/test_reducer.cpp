// Tests of the top-level reducer: dispatch of events to domains, and the graceful shutdown.
#include <gtest/gtest.h>
#include <jacinthvale/reducer.h>

#include <algorithm>

using namespace jacinthvale;

namespace {

bool exits(const effects &produced)
{
    return std::ranges::any_of(produced,
                               [](const effect &e) { return std::holds_alternative<exit_process>(e); });
}

} // namespace

TEST(reducer, exitsAfterAllDomainsHaveDrained)
{
    daemon_state state = makeDaemonState({});
    EXPECT_TRUE(exits(reduce(state, shutdown_requested{}, {})));
}

TEST(reducer, dispatchesPathsToTheirDomains)
{
    EXPECT_EQ(ownerOfPath("/v1/trainers/t1/groups"), domain::samples);
    EXPECT_EQ(ownerOfPath("/v1/config/changes"), domain::config);
    EXPECT_EQ(ownerOfPath("/v1/completions"), domain::requests);
}
