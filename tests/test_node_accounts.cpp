// Client accounts: which key belongs to which account, who may send a request, and to whom a batch belongs.
#include "node_rows.h"
#include "node_simulation.h"

#include <chrono>
#include <gtest/gtest.h>
#include <iostream>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};

const account_id kFirst{"first"};
const account_id kSecond{"second"};
const credential kFirstKey = digestOf("first-key");
const credential kOtherFirstKey = digestOf("other-first-key");
const credential kSecondKey = digestOf("second-key");
const credential kUnknownKey = digestOf("unknown-key");

using account_list = std::vector<std::pair<std::string, std::vector<std::string>>>;

std::optional<account_table> makeAccounts(const account_list &accounts)
{
    account_table::builder builder;
    for (const auto &[name, keys] : accounts) {
        builder.add({{name}}, keys);
    }
    return std::move(builder).build();
}

const account_list kAccounts
        = {{"first", {"first-key", "other-first-key"}}, {"second", {"second-key"}}, {"idle", {}}};

/// Puts a configuration with accounts into force. The route of calls that run once needs no key.
void putAccounts(node_simulation &simulation, const account_list &accounts = kAccounts)
{
    route_table table = simulation.state(0).config;
    ++table.version;
    table.accounts = makeAccounts(accounts);
    for (route &changed : table.routes) {
        changed.isPublic = changed.name == "once";
    }
    simulation.putConfig(table);
    simulation.run(milliseconds{500});
}

std::unique_ptr<node_simulation> makeFleet(std::uint64_t seed, std::size_t daemons = 3)
{
    auto simulation = std::make_unique<node_simulation>(seed, daemons);
    simulation->run(kStartupTime);
    putAccounts(*simulation);
    return simulation;
}

/// @returns why an exchange was refused; nullopt if it was not.
std::optional<refusal> refusalOf(node_simulation &simulation, exchange_id exchange)
{
    const auto *refused = simulation.answerAs<refuse_call>(exchange);
    return refused == nullptr ? std::nullopt : std::optional(refused->reason);
}

access_query makeQuery(const account_table &accounts, const credential &key)
{
    return {key, false, true, &accounts, milliseconds{600}, milliseconds{3500}};
}

} // namespace

TEST(node_accounts, findsAccountByAnyOfItsKeys)
{
    const account_table table = *makeAccounts(kAccounts);
    EXPECT_EQ(table.find(digestOf("first-key"))->name, kFirst);
    EXPECT_EQ(table.find(digestOf("other-first-key"))->name, kFirst);
    EXPECT_EQ(table.find(digestOf("second-key"))->name, kSecond);
    EXPECT_EQ(table.find(digestOf("unknown-key")), nullptr);
    EXPECT_EQ(table.find(account_id{"idle"})->name.value, "idle");
    EXPECT_EQ(table.find(account_id{"none"}), nullptr);
}

TEST(node_accounts, rejectsAmbiguousAccounts)
{
    EXPECT_FALSE(makeAccounts({{"a", {"k"}}, {"b", {"l", "k"}}}).has_value()) << "key in two accounts";
    EXPECT_FALSE(makeAccounts({{"a", {"k"}}, {"a", {"l"}}}).has_value()) << "duplicate name";
    EXPECT_FALSE(makeAccounts({{"", {"k"}}}).has_value()) << "empty name";
    EXPECT_FALSE(makeAccounts({{"a", {""}}}).has_value()) << "empty key";
    EXPECT_TRUE(makeAccounts({{"a", {}}}).has_value()) << "an account without keys";
    EXPECT_TRUE(makeAccounts({{"a", {"k", "k"}}}).has_value()) << "a key listed twice by one account";
    EXPECT_TRUE(makeAccounts({}).has_value());
}

TEST(node_accounts, finds2000AccountsWith10KeysEach)
{
    constexpr int kAccountCount = 2000;
    constexpr int kKeysPerAccount = 10;
    account_list accounts;
    for (int i = 0; i < kAccountCount; ++i) {
        auto &[name, keys] = accounts.emplace_back("account" + std::to_string(i), std::vector<std::string>());
        for (int k = 0; k < kKeysPerAccount; ++k) {
            keys.push_back("key" + std::to_string(i) + "-" + std::to_string(k));
        }
    }
    const account_table table = *makeAccounts(accounts);
    const auto begin = std::chrono::steady_clock::now();
    for (const auto &[name, keys] : accounts) {
        for (const std::string &key : keys) {
            EXPECT_EQ(table.find(digestOf(key))->name.value, name);
        }
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    std::cout << "digest and lookup: "
              << std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count()
                         / (kAccountCount * kKeysPerAccount)
              << " ns a key\n";
}

TEST(node_accounts, accepts10000Accounts)
{
    account_list accounts;
    for (int i = 0; i < 10'000; ++i) {
        accounts.emplace_back("account" + std::to_string(i), std::vector{"key" + std::to_string(i)});
    }
    EXPECT_EQ(makeAccounts(accounts)->accounts().size(), 10'000U);
    accounts.emplace_back("last", std::vector<std::string>{"key7"});
    EXPECT_FALSE(makeAccounts(accounts).has_value());
}

TEST(node_accounts, grantsKnownKeysAndDeniesOthers)
{
    const account_table accounts = *makeAccounts(kAccounts);
    EXPECT_EQ(authenticate(makeQuery(accounts, kFirstKey)), access_verdict(access_granted{kFirst}));
    EXPECT_EQ(authenticate(makeQuery(accounts, kUnknownKey)), access_verdict(access_denied{}));
    EXPECT_EQ(authenticate(makeQuery(accounts, no_key{})), access_verdict(access_denied{}));
    EXPECT_EQ(authenticate(makeQuery(accounts, unusable_key{})), access_verdict(access_denied{}));
}

TEST(node_accounts, publicRouteNeedsNoKeyWhateverTheEvidence)
{
    const account_table accounts = *makeAccounts(kAccounts);
    for (const credential &key : {credential(no_key{}), credential(unusable_key{}), kUnknownKey}) {
        access_query query = makeQuery(accounts, key);
        query.isPublic = true;
        query.evidenceAge.reset();
        EXPECT_EQ(authenticate(query), access_verdict(access_granted{}));
    }
    access_query withKey = makeQuery(accounts, kFirstKey);
    withKey.isPublic = true;
    EXPECT_EQ(authenticate(withKey), access_verdict(access_granted{kFirst}));
}

TEST(node_accounts, withoutAccountsEveryRequestIsGranted)
{
    access_query query;
    query.configKnown = true;
    query.admissionLimit = milliseconds{3500};
    EXPECT_EQ(authenticate(query), access_verdict(access_granted{}));
    query.configKnown = false;
    EXPECT_TRUE(std::holds_alternative<access_undecided>(authenticate(query)));
}

TEST(node_accounts, keysAreAdmittedOnlyOnFreshEvidence)
{
    const account_table accounts = *makeAccounts(kAccounts);
    access_query query = makeQuery(accounts, kFirstKey);
    query.evidenceAge = query.admissionLimit;
    EXPECT_TRUE(std::holds_alternative<access_granted>(authenticate(query)));
    query.evidenceAge = *query.admissionLimit + milliseconds{1};
    EXPECT_TRUE(std::holds_alternative<access_undecided>(authenticate(query)));
    query.evidenceAge.reset();
    EXPECT_TRUE(std::holds_alternative<access_undecided>(authenticate(query)));
    query.admissionLimit.reset();
    EXPECT_TRUE(std::holds_alternative<access_granted>(authenticate(query))) << "no bound is configured";
}

TEST(node_accounts, unknownKeyIsNotDeniedOnOldEvidence)
{
    const account_table accounts = *makeAccounts(kAccounts);
    access_query query = makeQuery(accounts, kUnknownKey);
    query.evidenceAge = milliseconds{2100};
    const access_verdict verdict = authenticate(query);
    ASSERT_TRUE(std::holds_alternative<access_undecided>(verdict)) << "the key may be newer than that";
    EXPECT_GT(std::get<access_undecided>(verdict).retryAfter.count(), 0);
}

TEST(node_accounts, accountPriorityGoesBeforeThatOfRoute)
{
    EXPECT_EQ(rankOf(nullptr, 2), 2U);
    const client_account plain{kFirst};
    EXPECT_EQ(rankOf(&plain, 2), 2U);
    const client_account urgent{kFirst, 0};
    EXPECT_EQ(rankOf(&urgent, 2), 0U);
    EXPECT_LT(rankedStartMs(1000, 0), rankedStartMs(1000, 1));
    EXPECT_LT(rankedStartMs(1000, 2), rankedStartMs(9000, 0))
            << "an item of a low rank that is late goes first";
}

TEST(node_accounts, logNameTellsKeysApartButNotTheirDigest)
{
    EXPECT_NE(toString(kFirstKey), toString(kSecondKey));
    EXPECT_EQ(toString(kFirstKey).size(), 6U);
    EXPECT_EQ(toString(credential(no_key{})), "none");
}

TEST(node_accounts, headRowWithoutAccountKeepsItsFormat)
{
    batch_head head;
    head.owner = {{"h"}, {1}};
    head.spec.host = "h.example";
    const std::string before = encodeHead(head);
    head.spec.account = kFirst;
    const std::string after = encodeHead(head);
    EXPECT_EQ(after.substr(0, before.size()), before);
    const row_key key{table_id::heads, "b0", "batch"};
    EXPECT_TRUE(decodeHead({key, 1, before, false})->spec.account.empty());
    EXPECT_EQ(decodeHead({key, 1, after, false})->spec.account, kFirst);
    EXPECT_FALSE(decodeHead({key, 1, after.substr(0, after.size() - 1), false}).has_value());
}

TEST(node_accounts, callRunsUnderAccountOfItsKey)
{
    const auto simulation = makeFleet(1);
    const exchange_id first = simulation->sendCall(0, "c1", "/plain/1", kFirstKey);
    const exchange_id other = simulation->sendCall(1, "c2", "/plain/1", kOtherFirstKey);
    const exchange_id second = simulation->sendCall(2, "c3", "/plain/1", kSecondKey);
    const exchange_id stream = simulation->requestStream(0, "s1", "/stream/1", {}, 0, kSecondKey);
    simulation->run(milliseconds{300});
    for (const exchange_id call : {first, other, second}) {
        EXPECT_NE(simulation->answerAs<answer_call>(call), nullptr);
    }
    EXPECT_TRUE(simulation->stream(stream).begun);
    EXPECT_EQ(simulation->accountsSeen().at("c1"), kFirst);
    EXPECT_EQ(simulation->accountsSeen().at("c2"), kFirst);
    EXPECT_EQ(simulation->accountsSeen().at("c3"), kSecond);
    EXPECT_EQ(simulation->accountsSeen().at("s1"), kSecond);
}

TEST(node_accounts, callWithoutKnownKeyDoesNotRun)
{
    const auto simulation = makeFleet(2);
    for (const credential &key : {kUnknownKey, credential(no_key{}), credential(unusable_key{})}) {
        const exchange_id call = simulation->sendCall(0, "c1", "/plain/1", key);
        const exchange_id stream = simulation->requestStream(0, "s1", "/stream/1", {}, 0, key);
        simulation->run(milliseconds{200});
        EXPECT_EQ(refusalOf(*simulation, call), refusal::unauthorized);
        EXPECT_EQ(refusalOf(*simulation, stream), refusal::unauthorized);
    }
    EXPECT_TRUE(simulation->accountsSeen().empty());
    const exchange_id open = simulation->sendCall(0, "c2", "/once/1");
    simulation->run(milliseconds{200});
    EXPECT_NE(simulation->answerAs<answer_call>(open), nullptr);
    EXPECT_EQ(simulation->accountsSeen().at("c2"), account_id{}) << "named as without an account";
}

TEST(node_accounts, withoutAccountsUpstreamsAreToldNone)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.sendCall(0, "c1", "/plain/1", kFirstKey);
    simulation.run(milliseconds{200});
    EXPECT_EQ(simulation.accountsSeen().at("c1"), std::nullopt);
}

TEST(node_accounts, newKeyIsAcceptedAndRemovedOneIsNot)
{
    const auto simulation = makeFleet(4);
    putAccounts(*simulation, {{"first", {"new-key"}}, {"second", {"second-key"}}});
    const exchange_id added = simulation->sendCall(0, "c1", "/plain/1", digestOf("new-key"));
    const exchange_id removed = simulation->sendCall(0, "c2", "/plain/1", kFirstKey);
    simulation->run(milliseconds{200});
    EXPECT_NE(simulation->answerAs<answer_call>(added), nullptr);
    EXPECT_EQ(refusalOf(*simulation, removed), refusal::unauthorized);
}

TEST(node_accounts, batchExistsOnlyForItsAccount)
{
    const auto simulation = makeFleet(5);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {10, 12, 14, 16});
    const exchange_id accepted = simulation->submitBatch(0, submitted, kFirstKey);
    ASSERT_TRUE(
            simulation->runUntil([&] { return simulation->allCommitted(submitted); }, milliseconds{9000}));
    EXPECT_NE(simulation->answerAs<accept_batch>(accepted), nullptr);
    EXPECT_EQ(simulation->accountsSeen().at("b1-0"), kFirst);
    const item_id item = submitted.items.front().id;
    for (std::size_t daemon = 0; daemon < simulation->daemonCount(); ++daemon) {
        const exchange_id page = simulation->requestPage(daemon, submitted.id, 0, {}, kSecondKey);
        const exchange_id body = simulation->requestItem(daemon, submitted.id, item, kSecondKey);
        const exchange_id end = simulation->endBatch(daemon, submitted.id, kSecondKey);
        const exchange_id again = simulation->submitBatch(daemon, submitted, kSecondKey);
        const exchange_id unknown = simulation->requestPage(daemon, submitted.id, 0, {}, kUnknownKey);
        const exchange_id own = simulation->requestPage(daemon, submitted.id, 0, {}, kOtherFirstKey);
        const exchange_id ownBody = simulation->requestItem(daemon, submitted.id, item, kOtherFirstKey);
        const exchange_id ownAgain = simulation->submitBatch(daemon, submitted, kOtherFirstKey);
        simulation->run(milliseconds{200});
        for (const exchange_id foreign : {page, body, end, again}) {
            EXPECT_EQ(refusalOf(*simulation, foreign), refusal::not_found) << "daemon " << daemon;
        }
        EXPECT_EQ(refusalOf(*simulation, unknown), refusal::unauthorized);
        ASSERT_NE(simulation->answerAs<answer_page>(own), nullptr);
        EXPECT_EQ(simulation->answerAs<answer_page>(own)->results.size(), 4U);
        EXPECT_NE(simulation->answerAs<answer_item>(ownBody), nullptr);
        EXPECT_NE(simulation->answerAs<accept_batch>(ownAgain), nullptr);
    }
    const exchange_id end = simulation->endBatch(1, submitted.id, kOtherFirstKey);
    simulation->run(milliseconds{200});
    EXPECT_NE(simulation->answerAs<answer_batch_ended>(end), nullptr);
}

TEST(node_accounts, daemonWithoutTheHeadRowKeepsBatchFromOthers)
{
    const auto simulation = makeFleet(6, 1);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {200, 200, 200, 200});
    simulation->submitBatch(0, submitted, kFirstKey);
    simulation->run(milliseconds{100});
    // The process after a restart reads the head row first.
    simulation->kill(0);
    simulation->start(0);
    ASSERT_TRUE(simulation->runUntil([&] { return simulation->state(0).configKnown; }, milliseconds{500}));
    const exchange_id page = simulation->requestPage(0, submitted.id, 0, {}, kSecondKey);
    const exchange_id end = simulation->endBatch(0, submitted.id, kSecondKey);
    simulation->run(milliseconds{300});
    EXPECT_EQ(refusalOf(*simulation, page), refusal::not_found);
    EXPECT_EQ(refusalOf(*simulation, end), refusal::not_found);
}

TEST(node_accounts, batchOfAnAccountIsNotDeniedBeforeTheConfigurationIsKnown)
{
    const batch_id id{"b1"};
    batch_head head;
    head.total = 1;
    head.spec.account = kFirst;
    node_state state = makeNodeState({});
    const context ctx{instant{milliseconds{1000}}, {}, 1};
    // The account of the batch is told by its head row, which is read first.
    const effects reading = reduce(state, page_requested{{1}, id, 0, {}, kFirstKey}, ctx);
    const auto read = std::ranges::find_if(
            reading, [](const effect &e) { return std::holds_alternative<read_rows>(e); });
    ASSERT_NE(read, reading.end());
    const row stored{{table_id::heads, batchPartition(id), id.value}, 3, encodeHead(head), false};
    const effects answered
            = reduce(state, rows_received{std::get<read_rows>(*read).op, {{stored, {}}}, 3, 1, false}, ctx);
    const auto refused = std::ranges::find_if(
            answered, [](const effect &e) { return std::holds_alternative<refuse_call>(e); });
    ASSERT_NE(refused, answered.end());
    EXPECT_EQ(std::get<refuse_call>(*refused).reason, refusal::not_run);
    EXPECT_GT(std::get<refuse_call>(*refused).retryAfter, milliseconds{0});
}

TEST(node_accounts, sameIdOfTwoAccountsIsAcceptedOnce)
{
    const auto simulation = makeFleet(7);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {10, 10, 10, 10});
    const exchange_id first = simulation->submitBatch(0, submitted, kFirstKey);
    const exchange_id second = simulation->submitBatch(1, submitted, kSecondKey);
    const exchange_id third = simulation->submitBatch(0, submitted, kSecondKey);
    simulation->run(milliseconds{500});
    EXPECT_NE(simulation->answerAs<accept_batch>(first), nullptr);
    EXPECT_EQ(refusalOf(*simulation, second), refusal::not_found);
    EXPECT_EQ(refusalOf(*simulation, third), refusal::not_found);
}

TEST(node_accounts, batchGoesOnUnderItsAccountAfterTakeoverAndRemovalOfItsKey)
{
    const auto simulation = makeFleet(8);
    const batch submitted = node_simulation::withRewards(
            node_simulation::makeBatch("b1", "m0", 1, {60, 60, 60, 60, 60, 60, 60, 60}));
    simulation->submitBatch(0, submitted, kFirstKey);
    simulation->run(milliseconds{500});
    putAccounts(*simulation, {{"first", {"later-key"}}, {"second", {"second-key"}}});
    simulation->kill(simulation->ownerIndex(submitted.id));
    ASSERT_TRUE(
            simulation->runUntil([&] { return simulation->allCommitted(submitted); }, milliseconds{20'000}));
    EXPECT_EQ(simulation->accountsSeen().at("b1-0"), kFirst);
    EXPECT_EQ(simulation->accountsSeen().at("reward-b1-0"), kFirst);
    const std::size_t daemon = simulation->ownerIndex(submitted.id);
    const exchange_id late = simulation->requestPage(daemon, submitted.id, 0, {}, digestOf("later-key"));
    const exchange_id removed = simulation->requestPage(daemon, submitted.id, 0, {}, kFirstKey);
    simulation->run(milliseconds{200});
    EXPECT_NE(simulation->answerAs<answer_page>(late), nullptr);
    EXPECT_EQ(refusalOf(*simulation, removed), refusal::unauthorized);
    EXPECT_TRUE(simulation->violations().empty()) << simulation->violationText();
}

TEST(node_accounts, outputIsReusedOnlyByItsAccount)
{
    for (const bool same : {true, false}) {
        const auto simulation = makeFleet(11, 1);
        const batch first = node_simulation::makeBatch("b1", "m0", 1, {200, 200, 200, 200});
        simulation->submitBatch(0, first, kFirstKey);
        simulation->run(milliseconds{2000});
        simulation->endBatch(0, first.id, kFirstKey);
        simulation->run(milliseconds{100});
        EXPECT_FALSE(simulation->state(0).retainedOutputs.empty());
        batch second = first;
        second.id = {"b2"};
        simulation->submitBatch(0, second, same ? kOtherFirstKey : kSecondKey);
        ASSERT_TRUE(simulation->runUntil([&] { return simulation->state(0).owned.contains(second.id); },
                                         milliseconds{200}));
        EXPECT_EQ(simulation->state(0).owned.at(second.id).items.front().chunkCount > 0, same);
    }
}

TEST(node_accounts, relayedCallKeepsAccountWithoutItsKey)
{
    const auto simulation = makeFleet(9);
    simulation->setUpstreamCut(0, test::upstream_cut::refuses);
    // Calls find out that the path is lost.
    for (int i = 0; i < 4; ++i) {
        simulation->sendCall(0, "probe" + std::to_string(i), "/plain/1", kFirstKey);
        simulation->run(milliseconds{300});
    }
    const exchange_id call = simulation->sendCall(0, "c1", "/plain/1", kSecondKey);
    const exchange_id unknown = simulation->sendCall(0, "c2", "/plain/1", kUnknownKey);
    simulation->run(milliseconds{500});
    EXPECT_NE(simulation->answerAs<answer_call>(call), nullptr);
    EXPECT_EQ(simulation->accountsSeen().at("c1"), kSecond);
    EXPECT_EQ(refusalOf(*simulation, unknown), refusal::unauthorized);
}

TEST(node_accounts, waitingStreamIsNotSentAfterItsKeyIsRemoved)
{
    const auto simulation = makeFleet(10);
    const auto setDraining = [&](bool draining) {
        for (std::size_t i = 0; i < 4; ++i) {
            simulation->upstream(i).entry.draining = draining;
        }
        simulation->run(milliseconds{2000});
    };
    // The time to the first event is long enough for the configuration to change meanwhile.
    route_table table = simulation->state(0).config;
    ++table.version;
    for (route &changed : table.routes) {
        changed.objective = milliseconds{40'000};
    }
    simulation->putConfig(table);
    setDraining(true);
    const exchange_id removed = simulation->requestStream(0, "s1", "/stream/1", {}, 0, kFirstKey);
    const exchange_id kept = simulation->requestStream(0, "s2", "/stream/1", {}, 0, kSecondKey);
    simulation->run(milliseconds{100});
    EXPECT_EQ(refusalOf(*simulation, removed), std::nullopt) << "waits";
    putAccounts(*simulation, {{"second", {"second-key"}}});
    setDraining(false);
    EXPECT_EQ(refusalOf(*simulation, removed), refusal::unauthorized);
    EXPECT_FALSE(simulation->accountsSeen().contains("s1"));
    EXPECT_TRUE(simulation->stream(kept).begun);
}

} // namespace jacinthvale
