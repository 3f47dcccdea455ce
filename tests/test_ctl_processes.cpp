// jvctl against real daemons: outcomes, lost answers, explanation and the merged time line.
#include "process_harness.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

/// Two gates, and a command line that knows both and the operator's token.
struct ctl_processes : ::testing::Test
{
    fleet processes{[] {
        fleet_shape shape;
        shape.gates = 2;
        return shape;
    }()};
    temporary_folder folder;
    int runs = 0;
    std::string output;

    void SetUp() override
    {
        ASSERT_TRUE(processes.started());
        ASSERT_TRUE(processes.waitReady());
        const std::string bearer = processes.operatorHeaders().at("Authorization");
        folder.write("token", bearer.substr(bearer.find(' ') + 1) + "\n");
    }

    std::string bothGates()
    {
        return absl::StrCat(toString(processes.gate(0).http()), ",", toString(processes.gate(1).http()));
    }

    /// @returns the exit code.
    int run(const std::vector<std::string> &arguments) { return runAt(bothGates(), arguments); }

    int runAt(const std::string &daemons, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--daemons", daemons, "--token-file", folder.path() / "token"});
        child_process ctl("jvctl", arguments, folder.path() / absl::StrCat("run-", ++runs));
        const int code = ctl.wait().value_or(-1);
        output = ctl.output();
        return code;
    }

    bool printed(const std::string &text) const { return output.find(text) != std::string::npos; }
};

const std::string kKey = "samples.maxStalenessVersions";

} // namespace

TEST_F(ctl_processes, changesAndExplainsTheConfiguration)
{
    EXPECT_EQ(run({"config", "set", kKey, "3", "--reason", "trial"}), 0) << output;
    EXPECT_TRUE(printed("accepted: revision 1")) << output;
    EXPECT_EQ(
            run({"config", "except", kKey, "1", "--scope", "trainer=t,deployment=misr", "--reason", "audit"}),
            0)
            << output;
    EXPECT_EQ(run({"explain", kKey, "--scope", "trainer=t,deployment=misr"}), 0);
    EXPECT_TRUE(printed("1 by exception at revision 2")) << output;
    EXPECT_EQ(run({"config", "diff", "1", "2"}), 0);
    EXPECT_TRUE(printed("audit")) << output;
    EXPECT_EQ(run({"config", "history"}), 0);
    EXPECT_TRUE(printed("trial")) << output;
    EXPECT_EQ(run({"config", "status"}), 0);
    EXPECT_EQ(run({"status"}), 0);
    EXPECT_TRUE(printed("gate-1")) << output;
}

TEST_F(ctl_processes, tellsRefusalsAndConflictsByExitCode)
{
    EXPECT_EQ(run({"config", "set", kKey, "-1", "--reason", "trial"}), 2) << output;
    EXPECT_EQ(run({"config", "set", kKey, "5000", "--reason", "trial"}), 3) << output;
    EXPECT_EQ(run({"config", "set", kKey, "4", "--reason", " "}), 3) << output;
    EXPECT_EQ(run({"config", "set", kKey, "4", "--reason", "trial"}), 0) << output;
    EXPECT_EQ(run({"config", "set", kKey, "5", "--reason", "trial", "--base", "0"}), 4) << output;
    EXPECT_EQ(run({"config", "sing"}), 2);
}

TEST_F(ctl_processes, commitsOnceThoughTheStoresAnswerIsLost)
{
    ASSERT_TRUE(
            processes.fault(processes.platform(), {{"kind", "drop_answer"}, {"path", "/table/transact"}}));
    EXPECT_EQ(run({"config", "set", kKey, "4", "--reason", "trial", "--change-id", "c1"}), 0) << output;
    EXPECT_EQ(run({"config", "set", kKey, "4", "--reason", "trial", "--change-id", "c1", "--base", "0"}), 0)
            << output;
    EXPECT_TRUE(printed("accepted: revision 1")) << output;
    EXPECT_EQ(run({"config", "change", "c1"}), 0) << output;
}

TEST_F(ctl_processes, mergesTheTimeLineOfAChange)
{
    ASSERT_EQ(run({"config", "set", kKey, "4", "--reason", "trial", "--change-id", "c1"}), 0) << output;
    ASSERT_TRUE(waitUntil([&] {
        return processes.status(processes.gate(1)).value("/config/revision"_json_pointer, 0) == 1;
    }));
    ASSERT_EQ(run({"timeline", "--id", "c1", "--json"}), 0);
    const json merged = json::parse(output);
    std::vector<std::string> steps;
    for (const json &entry : merged["entries"]) {
        steps.push_back(entry["what"]);
    }
    ASSERT_EQ(steps, (std::vector<std::string>{"config-change-received", "config-change-accepted",
                                               "config-in-force", "config-in-force"}));
}

// Guards against a command line that ends in a fault because a connection fails at once.
TEST_F(ctl_processes, daemonWithoutARouteIsAFailureLikeOthers)
{
    const std::string noRoute = "127.255.255.255:8144";
    EXPECT_EQ(runAt(noRoute, {"config", "history"}), 1) << output;
    EXPECT_EQ(runAt(noRoute, {"config", "set", kKey, "3", "--reason", "trial"}), 1) << output;
    EXPECT_EQ(runAt(noRoute + "," + bothGates(), {"config", "set", kKey, "3", "--reason", "trial"}), 0)
            << output;
    EXPECT_TRUE(printed("accepted: revision 1")) << output;
}
