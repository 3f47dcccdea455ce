// Tests of the store session against a model of the table behind a network that loses and delays requests and
// answers.
#include <algorithm>
#include <gtest/gtest.h>
#include <jacinthvale/store_session.h>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;

namespace {

const operation_id kOperation{domain::requests, 1};

/// Reference model: a table that never reuses a version, and the number of commits per write id.
struct model_table
{
    std::map<std::string, store_row> rows;
    std::map<std::string, int> commits;
    std::uint64_t lastVersion = 0;

    http_call_finished apply(const std::string &body)
    {
        const auto request = nlohmann::json::parse(body);
        const std::string writeId = request.at("writeId");
        const auto &writes = request.at("writes");
        const bool versionsMatch = std::ranges::all_of(writes, [&](const auto &write) {
            return rows[write.at("key")].version == write.at("expectedVersion").template get<std::uint64_t>();
        });
        return versionsMatch ? commit(writeId, writes) : conflict(writes);
    }

    http_call_finished commit(const std::string &writeId, const nlohmann::json &writes)
    {
        ++commits[writeId];
        auto versions = nlohmann::json::array();
        for (const auto &write : writes) {
            const std::string key = write.at("key");
            rows[key] = {key, ++lastVersion, writeId, write.at("value")};
            versions.push_back(lastVersion);
        }
        return {kOperation,
                transfer_outcome::complete,
                200,
                {},
                nlohmann::json{{"versions", versions}}.dump()};
    }

    http_call_finished conflict(const nlohmann::json &writes)
    {
        auto present = nlohmann::json::array();
        for (const auto &write : writes) {
            const store_row &row = rows[write.at("key")];
            if (row.version != 0) {
                present.push_back({{"key", row.key},
                                   {"version", row.version},
                                   {"writeId", row.writeId},
                                   {"value", row.value}});
            }
        }
        return {kOperation, transfer_outcome::complete, 409, {}, nlohmann::json{{"rows", present}}.dump()};
    }
};

/// Outcome of one attempt in the simulated network.
enum class network_outcome : std::uint8_t {
    delivered,
    not_sent,
    refused,
    request_lost,
    response_lost,
    delayed,
    conflicting_write_first
};

/// Runs one transaction to its outcome. Attempts take the network outcomes from the back of the list; once it
/// is empty, requests are lost.
struct transaction_runner
{
    model_table table;
    store_session session;
    std::vector<std::string> delayed;
    std::optional<store_outcome> outcome;
    context ctx;

    void handle(const std::vector<store_action> &actions, std::vector<network_outcome> &networkOutcomes)
    {
        for (const store_action &action : actions) {
            if (const auto *answered = std::get_if<store_call_finished>(&action)) {
                outcome = answered->outcome;
                continue;
            }
            const auto &attempt = std::get<store_attempt>(action);
            const network_outcome delivery
                    = networkOutcomes.empty() ? network_outcome::request_lost : networkOutcomes.back();
            if (!networkOutcomes.empty()) {
                networkOutcomes.pop_back();
            }
            handle(session.finished(attempt.id, deliver(attempt, delivery), ctx), networkOutcomes);
        }
    }

    http_call_finished deliver(const store_attempt &attempt, network_outcome delivery)
    {
        http_call_finished failed{kOperation, transfer_outcome::timed_out, 0, {}, {}};
        switch (delivery) {
        case network_outcome::delivered:
            return table.apply(attempt.body);
        case network_outcome::conflicting_write_first:
            table.rows["k"] = {"k", ++table.lastVersion, "rival", "x"};
            return table.apply(attempt.body);
        case network_outcome::not_sent:
            failed.outcome = transfer_outcome::nothing_sent;
            return failed;
        case network_outcome::refused:
            return {kOperation, transfer_outcome::complete, 503, {}, ""};
        case network_outcome::response_lost:
            static_cast<void>(table.apply(attempt.body));
            return failed;
        case network_outcome::delayed:
            delayed.push_back(attempt.body);
            return failed;
        case network_outcome::request_lost:
            return failed;
        }
        return failed;
    }

    void run(std::vector<network_outcome> networkOutcomes)
    {
        const store_transact transact{"mine", {}, {{"k", 0, "v", false}}};
        handle(session.submit({kOperation, transact, milliseconds{20000}}, ctx), networkOutcomes);
        while (!outcome) {
            ctx.now += kTickPeriod;
            ++ctx.random;
            handle(session.advance(ctx), networkOutcomes);
        }
        // Delayed copies of the request arrive after the operation has ended.
        for (const std::string &body : delayed) {
            static_cast<void>(table.apply(body));
        }
    }
};

} // namespace

RC_GTEST_PROP(store_session, reportedOutcomeMatchesTable, ())
{
    const auto networkOutcomes = *rc::gen::container<std::vector<network_outcome>>(
            rc::gen::element(network_outcome::delivered, network_outcome::not_sent, network_outcome::refused,
                             network_outcome::request_lost, network_outcome::response_lost,
                             network_outcome::delayed, network_outcome::conflicting_write_first));
    transaction_runner runner;
    runner.run(networkOutcomes);
    const int commits = runner.table.commits["mine"];
    RC_ASSERT(commits <= 1);
    if (std::holds_alternative<store_committed>(*runner.outcome)) {
        RC_ASSERT(commits == 1);
    }
    if (std::holds_alternative<store_unavailable>(*runner.outcome)) {
        RC_ASSERT(commits == 0);
    }
    const auto *conflict = std::get_if<store_conflict>(&*runner.outcome);
    if (conflict != nullptr && !conflict->afterLostAnswer) {
        RC_ASSERT(commits == 0);
    }
}

TEST(store_session, recognizesOwnCommitAfterLostAnswer)
{
    transaction_runner runner;
    runner.run({network_outcome::delivered, network_outcome::response_lost});
    EXPECT_TRUE(std::holds_alternative<store_committed>(*runner.outcome));
    EXPECT_EQ(runner.table.commits["mine"], 1);
}

TEST(store_session, reportsLostWriteAsUnknown)
{
    transaction_runner runner;
    runner.run({network_outcome::request_lost});
    EXPECT_TRUE(std::holds_alternative<store_unknown>(*runner.outcome));
}

TEST(store_session, openBreakerFailsFastAndAllowsProbeAfterPause)
{
    store_session session;
    context ctx;
    int number = 0;
    const auto submit = [&] {
        return session.submit(
                {operation_id{domain::requests, static_cast<std::uint64_t>(++number)}, store_get{"k"}}, ctx);
    };
    while (!session.isBreakerOpen(ctx.now)) {
        const auto actions = submit();
        ASSERT_TRUE(std::holds_alternative<store_attempt>(actions.at(0)));
        session.finished(std::get<store_attempt>(actions.at(0)).id,
                         {kOperation, transfer_outcome::timed_out, 0, {}, {}}, ctx);
        ASSERT_LT(number, 100);
    }
    EXPECT_TRUE(std::holds_alternative<store_call_finished>(submit().at(0)));
    ctx.now += milliseconds{1001};
    EXPECT_TRUE(std::holds_alternative<store_attempt>(submit().at(0)));
}
