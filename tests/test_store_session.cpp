// The store session against a model of the table whose network loses, delays and repeats.
#include <algorithm>
#include <gtest/gtest.h>
#include <jacinthvale/store_session.h>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;

namespace {

const operation_id kOperation{domain::requests, 1};

/// The oracle: one table with versions that are never used twice, and a count of commits by write id.
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
        const bool holds = std::ranges::all_of(writes, [&](const auto &write) {
            return rows[write.at("key")].version == write.at("expectedVersion").template get<std::uint64_t>();
        });
        return holds ? commit(writeId, writes) : refuse(writes);
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

    http_call_finished refuse(const nlohmann::json &writes)
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

/// What the network does with one attempt.
enum class fate : std::uint8_t {
    delivered,
    not_sent,
    refused,
    lost_before,
    lost_after,
    delayed,
    rival_first
};

/// Drives one transaction to its outcome under the given fates.
struct driver
{
    model_table table;
    store_session session;
    std::vector<std::string> delayed;
    std::optional<store_outcome> outcome;
    context at;

    void handle(const std::vector<store_action> &actions, std::vector<fate> &fates)
    {
        for (const store_action &action : actions) {
            if (const auto *answered = std::get_if<store_answered>(&action)) {
                outcome = answered->outcome;
                continue;
            }
            const auto &attempt = std::get<store_attempt>(action);
            const fate next = fates.empty() ? fate::lost_before : fates.back();
            if (!fates.empty()) {
                fates.pop_back();
            }
            handle(session.finished(attempt.id, deliver(attempt, next), at), fates);
        }
    }

    http_call_finished deliver(const store_attempt &attempt, fate next)
    {
        http_call_finished failed{kOperation, transfer_outcome::timed_out, 0, {}, {}};
        switch (next) {
        case fate::delivered:
            return table.apply(attempt.body);
        case fate::rival_first:
            table.rows["k"] = {"k", ++table.lastVersion, "rival", "x"};
            return table.apply(attempt.body);
        case fate::not_sent:
            failed.outcome = transfer_outcome::nothing_sent;
            return failed;
        case fate::refused:
            return {kOperation, transfer_outcome::complete, 503, {}, ""};
        case fate::lost_after:
            static_cast<void>(table.apply(attempt.body));
            return failed;
        case fate::delayed:
            delayed.push_back(attempt.body);
            return failed;
        case fate::lost_before:
            return failed;
        }
        return failed;
    }

    void run(std::vector<fate> fates)
    {
        const store_transact transact{"mine", {}, {{"k", 0, "v", false}}};
        handle(session.submit({kOperation, transact, milliseconds{20000}}, at), fates);
        while (!outcome) {
            at.now += kTickPeriod;
            ++at.random;
            handle(session.advance(at), fates);
        }
        // Copies that the network held back arrive at the very end.
        for (const std::string &body : delayed) {
            static_cast<void>(table.apply(body));
        }
    }
};

} // namespace

RC_GTEST_PROP(store_session, tellsTheTruthAboutATransaction, ())
{
    const auto fates = *rc::gen::container<std::vector<fate>>(
            rc::gen::element(fate::delivered, fate::not_sent, fate::refused, fate::lost_before,
                             fate::lost_after, fate::delayed, fate::rival_first));
    driver run;
    run.run(fates);
    const int commits = run.table.commits["mine"];
    RC_ASSERT(commits <= 1);
    if (std::holds_alternative<store_committed>(*run.outcome)) {
        RC_ASSERT(commits == 1);
    }
    if (std::holds_alternative<store_unavailable>(*run.outcome)) {
        RC_ASSERT(commits == 0);
    }
    const auto *conflict = std::get_if<store_conflict>(&*run.outcome);
    if (conflict != nullptr && !conflict->afterLostAnswer) {
        RC_ASSERT(commits == 0);
    }
}

TEST(store_session, recognizesItsOwnWriteAfterALostAnswer)
{
    driver run;
    run.run({fate::delivered, fate::lost_after});
    EXPECT_TRUE(std::holds_alternative<store_committed>(*run.outcome));
    EXPECT_EQ(run.table.commits["mine"], 1);
}

TEST(store_session, doesNotCallALostWriteUnavailable)
{
    driver run;
    run.run({fate::lost_before});
    EXPECT_TRUE(std::holds_alternative<store_unknown>(*run.outcome));
}

TEST(store_session, breakerFailsFastAndLetsAProbeThrough)
{
    store_session session;
    context at;
    int number = 0;
    const auto submit = [&] {
        return session.submit(
                {operation_id{domain::requests, static_cast<std::uint64_t>(++number)}, store_get{"k"}}, at);
    };
    while (!session.isOpen(at.now)) {
        const auto actions = submit();
        ASSERT_TRUE(std::holds_alternative<store_attempt>(actions.at(0)));
        session.finished(std::get<store_attempt>(actions.at(0)).id,
                         {kOperation, transfer_outcome::timed_out, 0, {}, {}}, at);
        ASSERT_LT(number, 100);
    }
    EXPECT_TRUE(std::holds_alternative<store_answered>(submit().at(0)));
    at.now += milliseconds{1001};
    EXPECT_TRUE(std::holds_alternative<store_attempt>(submit().at(0)));
}
