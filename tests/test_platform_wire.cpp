// Tests of the platform adapter, the settings file and the client of the store: decoding and encoding of
// messages, and robustness of the decoders against malformed input.
#include "node_settings.h"
#include "node_store_link.h"
#include "platform_port.h"
#include "wire_names.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <regex>

namespace jacinthvale {

using namespace node;

namespace {

const std::string kConfig = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","path_prefix":"/x/","route_type":"rollout","timeout_ms":10000,"slo_ms":400,"service":"s1",
  "max_attempts":3,"retention_s":40.0,"due_ms":7500,"single_version":true},
 {"name":"r2","host":"a.example","path_prefix":"/x/y/","route_type":"safe","timeout_ms":2000,"slo_ms":150,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2}],
 "services":[{"name":"s1","engine":{"kv_cap_tokens":44572,"stride":61,"models":[{"name":"m1"},{"name":"m2"}]}},{"name":"s2"}]})";

const std::string kUpstream
        = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,"state":"ready","cold_left_ms":0,
 "models":[{"name":"m1","version":3}],"seq_no":4,"born":17})";

decoded_row decode(table_id table, const std::string &key, const std::string &value)
{
    return platform::decodeForeignRow({{table, "", key}, 1, value, false});
}

} // namespace

TEST(platform_wire, decodesConfiguration)
{
    const decoded_row decoded = decode(table_id::operators, "config", kConfig);
    const auto *table = std::get_if<route_table>(&decoded);
    ASSERT_NE(table, nullptr);
    EXPECT_EQ(table->version, 7U);
    const route *batch = findRoute(*table, "a.example", "/x/1");
    ASSERT_NE(batch, nullptr);
    EXPECT_EQ(batch->kind, route_kind::batch);
    EXPECT_EQ(batch->retention, milliseconds{40'000});
    EXPECT_TRUE(batch->singleVersion);
    const route *plain = findRoute(*table, "a.example", "/x/y/1");
    ASSERT_NE(plain, nullptr);
    EXPECT_EQ(plain->kind, route_kind::repeatable);
    EXPECT_EQ(plain->services.size(), 2U);
    EXPECT_EQ(findRoute(*table, "b.example", "/x/1"), nullptr);
    EXPECT_EQ(table->engines.at({"s1"}).memoryTokens, 44572U);
    EXPECT_EQ(table->engines.at({"s1"}).models.size(), 2U);
}

TEST(platform_wire, decodesUpstreamAndRejectsMalformedEntries)
{
    const decoded_row decoded = decode(table_id::upstreams, "i-1", kUpstream);
    const auto *entry = std::get_if<upstream_entry>(&decoded);
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->id.value, "i-1");
    EXPECT_EQ(entry->weights.at({"m1"}).value, 3U);
    EXPECT_FALSE(entry->draining);
    for (const std::string &bad :
         {std::string("{}"), std::string("\xff\x00", 2), std::string("[1]"), std::string(R"({"service":5})"),
          std::string(R"({"service":"s","address":"x","slots":1,"state":"ready"})"),
          std::string(R"({"service":"s","address":"10.0.0.1:1","slots":1,"state":"odd"})")}) {
        EXPECT_TRUE(std::holds_alternative<unreadable_row>(decode(table_id::upstreams, "i-2", bad))) << bad;
    }
}

TEST(platform_wire, decodesNamedVersion)
{
    const decoded_row decoded = decode(table_id::operators, "version/m1", R"({"model":"m1","version":4})");
    const auto *named = std::get_if<named_version>(&decoded);
    ASSERT_NE(named, nullptr);
    EXPECT_EQ(named->version.value, 4U);
}

RC_GTEST_PROP(platform_wire, decodersAcceptArbitraryBytes, (const std::string &bytes))
{
    decode(table_id::operators, "config", bytes);
    decode(table_id::upstreams, "i", bytes);
    platform::decodeBatch(bytes);
    platform::sse_parser parser;
    parser.add(bytes);
    platform::decodeStoreAnswer(read_rows{{1}, table_id::heads, "", "", ""}, 200, bytes, false);
}

RC_GTEST_PROP(platform_wire, decodersAcceptDamagedMessages, ())
{
    std::string damaged = *rc::gen::element(kConfig, kUpstream);
    const auto position = *rc::gen::inRange<std::size_t>(0, damaged.size());
    damaged[position] = *rc::gen::arbitrary<char>();
    decode(table_id::operators, "config", damaged);
    decode(table_id::upstreams, "i", damaged);
}

RC_GTEST_PROP(platform_wire, parsesEventsSplitAtAnyByte, ())
{
    const std::string bytes
            = "id: 1\ndata: one\n\njacinthvale-weight-versions: 4\nid: 2\ndata: two\n\nid: 3\ndata: th";
    const auto split = *rc::gen::inRange<std::size_t>(0, bytes.size());
    platform::sse_parser parser(3);
    auto chunks = parser.add(bytes.substr(0, split));
    for (run_chunk &chunk : parser.add(bytes.substr(split))) {
        chunks.push_back(std::move(chunk));
    }
    RC_ASSERT(chunks.size() == 2U);
    RC_ASSERT(chunks[0].data == "one");
    RC_ASSERT(chunks[0].version == 3U);
    RC_ASSERT(chunks[1].number == 2U);
    RC_ASSERT(chunks[1].version == 4U);
    RC_ASSERT(parser.hasPartialEvent());
}

TEST(platform_wire, doesNotForwardResponseWithoutUpstreamSeal)
{
    http_call_finished finished{
            {}, transfer_outcome::complete, 200, {{platform::kRequestIdHeader, "r"}}, "body"};
    EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::incomplete);
    finished.headers.emplace(platform::kResponseSealHeader, "s");
    EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::complete);
    finished.status = 503;
    finished.headers.emplace(platform::kNotExecutedHeader, "1");
    EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::not_run);
}

TEST(platform_wire, decodesBatchAndEncodesPage)
{
    const auto batch = platform::decodeBatch(
            R"({"train_step":7,"model":"m","min_version":6,"group_count":12,"requests":[{"id":"e5","path":"/p/1",
            "headers":{"Jacinthvale-Length-Hint":"99","X":"y"},"body":"q83vEjRWeJA=","tokens":940,"group":"g1"}]})");
    ASSERT_TRUE(batch.ok());
    EXPECT_EQ(batch->minVersion.value, 6U);
    EXPECT_EQ(batch->items.front().expectedOutput, 99U);
    EXPECT_EQ(batch->items.front().body.size(), 8U);
    EXPECT_FALSE(platform::decodeBatch(R"({"requests":[{"id":"e5"}]})").ok());
    const auto page = nlohmann::json::parse(
            platform::encodePage({{1}, 40, 12, {{{"e5"}, item_state::succeeded, "a\nb", {6, 7}}}}));
    EXPECT_EQ(page["next"], 13);
    EXPECT_EQ(page["results"][0]["versions"][1], 7);
}

TEST(platform_wire, encodesUpstreamPriorityAndResumePositionOfRun)
{
    node::run_item run;
    run.upstream = {"i-1"};
    run.host = "h.example";
    run.item.id = {"e1"};
    run.item.path = "/p/1";
    run.after = 7;
    run.urgency = 3;
    const call_http call = platform::encodeRunCall(run);
    EXPECT_EQ(call.headers.at("Jacinthvale-Expect-Instance"), "i-1");
    EXPECT_EQ(call.headers.at("Jacinthvale-Request-Priority"), "3");
    EXPECT_EQ(call.headers.at("Last-Event-Id"), "7");
    EXPECT_EQ(call.headers.at("Jacinthvale-Attempt-Id"), "e1");
    run.after = 0;
    EXPECT_FALSE(platform::encodeRunCall(run).headers.contains("Last-Event-Id"));
}

namespace {

/// A request as decoded where the configuration has accounts.
client_call decodeWithKey(const http_headers &headers, bool isRepeated = false)
{
    http_request_received request;
    request.method = "POST";
    request.path = "/x/1";
    request.headers = headers;
    request.headers.emplace("Host", "a.example");
    if (isRepeated) {
        request.repeatedHeaders.insert("authorization");
    }
    route_table table;
    table.accounts.emplace();
    const auto decoded = platform::makePlatformPort()->decodeRequest(request, table);
    return std::get<call_received>(std::get<node::event>(decoded)).call;
}

std::string withTenants(const std::string &tenants)
{
    return kConfig.substr(0, kConfig.size() - 1) + R"(,"tenants":)" + tenants + "}";
}

} // namespace

TEST(platform_wire, readsKeyAndDropsIt)
{
    const client_call call
            = decodeWithKey({{"Authorization", "bearer  k1 "}, {"Jacinthvale-Tenant", "forged"}, {"X", "y"}});
    EXPECT_EQ(call.key, credential(digestOf("k1")));
    EXPECT_FALSE(call.headers.contains("Authorization"));
    EXPECT_FALSE(call.headers.contains("Jacinthvale-Tenant"));
    EXPECT_EQ(call.headers.at("X"), "y");
}

TEST(platform_wire, readsNoKeyFromOtherAuthorization)
{
    EXPECT_EQ(decodeWithKey({}).key, credential(no_key{}));
    for (const std::string &value :
         {std::string("Basic azE6eA=="), std::string("Bearer"), std::string("Bearer "),
          std::string("Bearer k1, Bearer k2"), std::string(), "Bearer " + std::string(10'240, 'k')}) {
        EXPECT_EQ(decodeWithKey({{"Authorization", value}}).key, credential(unusable_key{}))
                << value.substr(0, 40);
    }
    EXPECT_EQ(decodeWithKey({{"Authorization", "Bearer k1"}}, true).key, credential(unusable_key{}));
}

TEST(platform_wire, namesAccountInsteadOfKeyToUpstream)
{
    forward_call forward;
    forward.call.headers = {{"authorization", "Bearer k1"}, {"jacinthvale-tenant", "forged"}};
    EXPECT_EQ(platform::encodeForwardedCall(forward).headers.at("Authorization"), "Bearer k1")
            << "requests need no key";
    forward.call.account = account_id{"first"};
    EXPECT_EQ(platform::encodeForwardedCall(forward).headers.at("Jacinthvale-Tenant"), "first");
    EXPECT_FALSE(platform::encodeForwardedCall(forward).headers.contains("Authorization"));
    forward.call.account = account_id{};
    EXPECT_FALSE(platform::encodeForwardedCall(forward).headers.contains("Jacinthvale-Tenant"));
    node::run_item run;
    run.item.headers = {{"Authorization", "Bearer k1"}, {"Jacinthvale-Tenant", "forged"}};
    run.account = account_id{"first"};
    EXPECT_EQ(platform::encodeRunCall(run).headers.at("Jacinthvale-Tenant"), "first");
    EXPECT_FALSE(platform::encodeRunCall(run).headers.contains("Authorization"));
}

TEST(platform_wire, decodesAccountsOfConfiguration)
{
    const decoded_row decoded = decode(
            table_id::operators, "config",
            withTenants(R"([{"name":"a","api_keys":["k1","k2"],"priority":3},{"name":"b","api_keys":[]}])"));
    const auto *table = std::get_if<route_table>(&decoded);
    ASSERT_NE(table, nullptr);
    ASSERT_TRUE(table->accounts.has_value());
    EXPECT_EQ(*table->accounts->find(digestOf("k2")), (client_account{{"a"}, 3U}));
    EXPECT_EQ(table->accounts->find(account_id{"b"})->priority, std::nullopt);
}

TEST(platform_wire, doesNotUseConfigurationWithAmbiguousAccounts)
{
    for (const char *tenants :
         {R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
          R"([{"name":"a","api_keys":["k"]},{"name":"a","api_keys":["l"]}])", R"([{"api_keys":["k"]}])",
          R"([{"name":"a","api_keys":[7]}])", R"(["a"])", R"({"a":["k"]})"}) {
        EXPECT_TRUE(std::holds_alternative<unreadable_row>(
                decode(table_id::operators, "config", withTenants(tenants))))
                << tenants;
    }
}

TEST(platform_wire, transactionNamesTheRowsThatItRemoves)
{
    const commit_rows commit{
            {1}, "b3", {}, {}, milliseconds{4000}, {{table_id::heads, "one"}, {table_id::items, "two"}}};
    const auto body = nlohmann::json::parse(platform::encodeStoreCall(commit).body);
    EXPECT_EQ(body["remove"], nlohmann::json::parse(R"([{"table":"heads","part":"b3","key":"one"},
                                                        {"table":"items","part":"b3","key":"two"}])"));
}

TEST(platform_wire, bodyOverTheConfiguredLimitIsRejectedWithItsReason)
{
    std::string config = kConfig;
    config.replace(config.find(R"("version":7)"), 11, R"("version":7,"limits":{"max_body_bytes":10})");
    const decoded_row decoded = decode(table_id::operators, "config", config);
    const auto *table = std::get_if<route_table>(&decoded);
    ASSERT_NE(table, nullptr);
    http_request_received request{{1}, "POST", "/x/y/1", {}, {{"Host", "a.example"}}, "0123456789", "/x/y/1"};
    const auto port = platform::makePlatformPort();
    EXPECT_TRUE(std::holds_alternative<node::event>(port->decodeRequest(request, *table)));
    request.body = request.body.str() + "0";
    const decoded_request rejected = port->decodeRequest(request, *table);
    ASSERT_TRUE(std::holds_alternative<reply_http>(rejected));
    EXPECT_EQ(std::get<reply_http>(rejected).status, 413);
    EXPECT_EQ(std::get<reply_http>(rejected).body, R"({"error":"body of 11 bytes, limit 10"})");
}

TEST(platform_wire, batchThatCannotBeStoredIsTooLargeAndDoesNotComeBack)
{
    const auto reply = platform::makePlatformPort()->encodeReply(refuse_call{{1}, refusal::not_storable, {}});
    EXPECT_EQ(reply.status, 413);
    EXPECT_FALSE(reply.headers.contains("Retry-After"));
}

TEST(platform_wire, reportsMissingRequiredSettingWithItsPath)
{
    const auto settings = readNodeSettings(R"({"host":"h"})");
    ASSERT_FALSE(settings.faults.empty());
    EXPECT_EQ(settings.faults.front().path, "$.availabilityZone");
}

TEST(platform_wire, settingsPageDocumentsEachFieldOfTemplate)
{
    const std::string page = *readFile(std::string(JACINTHVALE_SOURCE_FOLDER) + "/docs/SETTINGS.md");
    const std::string settingsTemplate
            = *readFile(std::string(JACINTHVALE_SOURCE_FOLDER) + "/deploy/jvnode.json.template");
    static const std::regex kField(R"re("(\w+)": )re");
    std::size_t fields = 0;
    for (std::sregex_iterator found(settingsTemplate.begin(), settingsTemplate.end(), kField), end;
         found != end; ++found) {
        EXPECT_NE(page.find("| `" + (*found)[1].str() + "` |"), std::string::npos) << (*found)[1].str();
        ++fields;
    }
    EXPECT_GT(fields, 0U);
}

TEST(relay_selection, selectsPeerAfterDirectCallFails)
{
    relay_selector selector;
    const endpoint peer{"10.0.0.2", 1};
    selector.setPeers({peer});
    instant now{milliseconds{1000}};
    EXPECT_EQ(selector.select(0, now, 0), std::nullopt);
    selector.recordOutcome(std::nullopt, attempt_outcome::not_executed, now);
    EXPECT_EQ(selector.select(1, now, 0), relay_peer(peer));
    selector.recordOutcome(peer, attempt_outcome::answered, now);
    // The next operation starts with the peer that answered; direct calls are tried again after the backoff.
    EXPECT_EQ(selector.select(0, now, 0), relay_peer(peer));
    EXPECT_EQ(selector.select(0, now + milliseconds{500}, 0), std::nullopt);
}

TEST(relay_selection, selectsDirectCallWithoutPeers)
{
    relay_selector selector;
    selector.recordOutcome(std::nullopt, attempt_outcome::indeterminate, instant{});
    for (unsigned attemptCount = 0; attemptCount < 5; ++attemptCount) {
        EXPECT_EQ(selector.select(attemptCount, instant{}, attemptCount), std::nullopt);
    }
}

// A link destroyed with operations waiting for a retry must free them. The leak checker at process exit
// detects an operation that is left behind.
TEST(store_link, destroysWaitingOperationsWithTheLink)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), &event_base_free);
    bool answered = false;
    {
        http_client client(base.get());
        const auto steady = [] {
            return instant{std::chrono::duration_cast<milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())};
        };
        // Nothing listens on port 1, so the operation keeps waiting for its next attempt.
        store_link link(base.get(), client, {"127.0.0.1", 1}, steady);
        link.start({"GET", "/", {}, false, {}}, milliseconds{60'000},
                   [&](const store_answer &) { answered = true; });
        for (int i = 0; i < 20; ++i) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        }
    }
    EXPECT_FALSE(answered);
}

namespace {

/// Body of a batch whose items are the given JSON objects.
std::string batchBody(const std::string &items)
{
    return R"({"train_step":1,"model":"m1","min_version":1,"group_count":1,"requests":[)" + items + "]}";
}

std::string itemWithReward(const std::string &id, const std::string &reward)
{
    return R"({"id":")" + id
           + R"(","path":"/x/1","headers":{"Jacinthvale-Token-Count":"540,400"},"body":"eA==","tokens":940,)"
             R"("group":"g","scorer":)"
           + reward + "}";
}

constexpr const char *kReward = R"({"id":"r1","host":"Pay.Example:80","path":"/s/1","body":"q83v"})";

} // namespace

TEST(platform_wire, decodesRewardCallAndPromptTokens)
{
    const auto decoded = platform::decodeBatch(batchBody(itemWithReward("i1", kReward)));
    ASSERT_TRUE(decoded.ok());
    const batch_item &item = decoded->items.at(0);
    EXPECT_EQ(item.promptTokens, 540U);
    EXPECT_EQ(item.reward, (reward_call{{"r1"}, "pay.example", "/s/1", "\xab\xcd\xef"}));
    EXPECT_FALSE(platform::decodeBatch(batchBody(itemWithReward("i1", "null")))->items.at(0).reward);
}

TEST(platform_wire, decodesPromptParts)
{
    const auto partsOf = [](const std::string &prefix) {
        const auto decoded = platform::decodeBatch(
                batchBody(R"({"id":"i1","path":"/x/1","headers":{"Jacinthvale-Prompt-Prefix":")" + prefix
                          + R"("},"body":"eA==","tokens":940,"group":"g"})"));
        return decoded->items.at(0).promptParts;
    };
    const auto parts = partsOf("9c2e41:300, 5d07b8:240");
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts[0].tokens, 300U);
    EXPECT_EQ(parts[1].tokens, 240U);
    EXPECT_EQ(parts[0], partsOf("9c2e41:300,77:1").at(0));
    EXPECT_NE(parts[0].id, parts[1].id);
    for (const char *malformed : {"", "9c2e41", "9c2e41:", ":300", "9c2e41:300,", "9c2e41:x", "9c2e41:-1"}) {
        EXPECT_TRUE(partsOf(malformed).empty()) << malformed;
    }
}

TEST(platform_wire, rejectsBatchWithMalformedOrRepeatedReward)
{
    for (const char *malformed :
         {R"({"id":"r1","host":"h","path":"/s/1","body":"no base64!"})",
          R"({"id":"","host":"h","path":"/s/1","body":"eA=="})", R"({"id":"r1","host":"h","body":"eA=="})",
          R"({"id":"r1","path":"/s/1","body":"eA=="})", R"("r1")", "[]", "7"}) {
        EXPECT_FALSE(platform::decodeBatch(batchBody(itemWithReward("i1", malformed))).ok()) << malformed;
    }
    const std::string first = itemWithReward("i1", kReward);
    EXPECT_FALSE(platform::decodeBatch(batchBody(first + "," + itemWithReward("i2", kReward))).ok());
    EXPECT_FALSE(platform::decodeBatch(batchBody(first + "," + itemWithReward("i1", "null"))).ok());
}

TEST(platform_wire, rewardCallIsForwardedWithItsIdAndDeadline)
{
    forward_call forward;
    forward.upstream = {"i-1"};
    forward.call.id = {"r1"};
    forward.call.method = "POST";
    forward.call.host = "pay.example";
    forward.call.target = "/s/1";
    forward.remainingTimeout = milliseconds{900};
    const call_http call = platform::encodeForwardedCall(forward);
    EXPECT_EQ(call.headers.at(platform::kRequestIdHeader), "r1");
    EXPECT_EQ(call.headers.at(platform::kDeadlineHeader), "900");
    EXPECT_EQ(call.headers.at(platform::kExpectInstanceHeader), "i-1");
}

TEST(platform_wire, answerCountsOnlyWithWellFormedSeal)
{
    http_call_finished finished;
    finished.outcome = transfer_outcome::complete;
    finished.status = 200;
    finished.headers = {{platform::kRequestIdHeader, "r1"}};
    EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::incomplete);
    for (const char *garbled : {"", "3e1b 07", "3e1b\x01", "\xff\xfe"}) {
        finished.headers[platform::kResponseSealHeader] = garbled;
        EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::incomplete) << garbled;
    }
    finished.headers[platform::kResponseSealHeader] = "3e1b.07.5a2";
    EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::complete);
    EXPECT_EQ(platform::decodeForwardedCall({1}, finished).seal, "3e1b.07.5a2");
}

TEST(platform_wire, pageShowsScoresOfScoredResultsOnly)
{
    const auto page = nlohmann::json::parse(platform::encodePage(
            {{},
             2,
             0,
             {{{"i1"}, item_state::succeeded, "t", {1}, "seal"}, {{"i2"}, item_state::lost, "", {}, ""}}}));
    EXPECT_EQ(page["results"][0]["score"], "seal");
    EXPECT_FALSE(page["results"][1].contains("score"));
}

// Announcements of upstreams that they are leaving, in the head of any response.
TEST(platform_wire, readsTheAnnouncementOfALeavingUpstreamInAnyResponse)
{
    const auto noticeOf = [](int status, const http_headers &headers) {
        return platform::decodeLeaveNotice(status, headers);
    };
    for (const int status : {200, 202, 409, 422, 429, 500, 503, 504}) {
        EXPECT_EQ(noticeOf(status, {{platform::kLeavingHeader, "1"}}), leave_notice::leaving) << status;
        EXPECT_EQ(noticeOf(status, {}), leave_notice::none) << status;
    }
    EXPECT_EQ(noticeOf(200, {{"server-leaving", "1"}}), leave_notice::leaving);
    // Another upstream has the address; it speaks of itself.
    EXPECT_EQ(noticeOf(421, {{platform::kLeavingHeader, "1"}}), leave_notice::none);
    for (const char *value : {"", "0", "11", "1\x01", "true"}) {
        EXPECT_EQ(noticeOf(200, {{platform::kLeavingHeader, value}}), leave_notice::malformed) << value;
    }
}

TEST(platform_wire, requestLimitIsADecimalNumber)
{
    const auto limitOf = [](int status, const http_headers &headers) {
        return platform::decodeRateLimit(status, headers).requestsPerSecond;
    };
    for (const int status : {200, 202, 409, 422, 429, 500, 503, 504}) {
        EXPECT_EQ(limitOf(status, {{platform::kRateLimitHeader, "2.5"}}), 2.5) << status;
        EXPECT_EQ(limitOf(status, {}), std::nullopt) << status;
    }
    EXPECT_EQ(limitOf(200, {{"server-limit", "0"}}), 0.0);
    // Another upstream has the address; it speaks of itself.
    EXPECT_EQ(limitOf(421, {{platform::kRateLimitHeader, "2"}}), std::nullopt);
    for (const char *value : {"", "-1", "nan", "inf", "2 per s", "1e999"}) {
        EXPECT_TRUE(platform::decodeRateLimit(200, {{platform::kRateLimitHeader, value}}).malformed) << value;
    }
}

// The parser kept an event of any size and searched it from its begin for each piece.
TEST(platform_wire, callOfADutyNamesItsHolderAndFencingNumber)
{
    const call_http usage = platform::encodeDutyCall(
            {op_id{1}, usage_report{353445120, {{"huka270", 412}, {"puhu251", 3}}}, {"h1"}, {12}});
    EXPECT_EQ(usage.path, "/usage");
    EXPECT_EQ(usage.headers.at("Jacinthvale-Duty-Holder"), "h1");
    EXPECT_EQ(usage.headers.at("Jacinthvale-Fencing-Token"), "12");
    EXPECT_EQ(nlohmann::json::parse(usage.body.str()),
              nlohmann::json::parse(R"({"window_id":353445120,"counts":{"huka270":412,"puhu251":3}})"));
    const call_http empty = platform::encodeDutyCall({op_id{1}, usage_report{7, {}}, {"h1"}, {12}});
    EXPECT_EQ(nlohmann::json::parse(empty.body.str()),
              nlohmann::json::parse(R"({"window_id":7,"counts":{}})"));
}

// Only the status of an answer counts; its body may be anything.
TEST(platform_wire, answerToACallOfADutyCountsByItsStatus)
{
    const auto endOf = [](transfer_outcome outcome, int status) {
        return platform::decodeDutyAnswer(op_id{1}, {{}, outcome, status, {}, std::string("\0{]", 3)}).end;
    };
    EXPECT_EQ(endOf(transfer_outcome::complete, 200), call_end::complete);
    EXPECT_EQ(endOf(transfer_outcome::complete, 429), call_end::failed);
    EXPECT_EQ(endOf(transfer_outcome::complete, 500), call_end::failed);
    EXPECT_EQ(endOf(transfer_outcome::timed_out, 0), call_end::timed_out);
    EXPECT_EQ(endOf(transfer_outcome::nothing_sent, 0), call_end::unreachable);
}

TEST(platform_wire, eventWithoutEndIsDropped)
{
    platform::sse_parser parser;
    const std::string piece(16 * 1024, 'x');
    ASSERT_EQ(parser.add("id: 1\ndata: a\n\nid: 2\ndata: ").size(), 1U);
    for (int i = 0; i < 10'000; ++i) {
        EXPECT_TRUE(parser.add(piece).empty());
    }
    EXPECT_TRUE(parser.add("\n\nid: 3\ndata: b\n\n").empty());
    EXPECT_TRUE(parser.hasPartialEvent());
}

TEST(platform_wire, endOfAnEventMayBeSplit)
{
    platform::sse_parser parser;
    EXPECT_TRUE(parser.add("id: 1\ndata: a\n").empty());
    EXPECT_EQ(parser.add("\nid: 2\ndata: b").size(), 1U);
    EXPECT_TRUE(parser.add("\n").empty());
    EXPECT_EQ(parser.add("\n").size(), 1U);
}

// A response without the id of its request may be a late copy of another one.
TEST(platform_wire, streamWithoutTheIdOfItsItemProducesNothing)
{
    const auto decoder = platform::makeRunDecoder({});
    const std::string bytes = "id: 1\ndata: text\n\n";
    decoder->onResponseHead(200, {});
    EXPECT_TRUE(decoder->onBodyBytes(bytes).empty());
    http_call_finished finished;
    finished.outcome = transfer_outcome::complete;
    finished.status = 200;
    EXPECT_EQ(decoder->onFinished(finished), call_end::incomplete);
    decoder->onResponseHead(200, {{platform::kRequestIdHeader, "i1"}});
    EXPECT_EQ(decoder->onBodyBytes(bytes).size(), 1U);
    EXPECT_EQ(decoder->onFinished(finished), call_end::complete);
}

// Guards against resumed streams that reach the reducer as new ones, or ask the upstream for events twice.
TEST(platform_wire, streamThatIsTakenUpNamesItsLastEventAndItsFirstRequest)
{
    route_table routes;
    route streams;
    streams.host = "a.example";
    streams.pathPrefix = "/s/";
    streams.kind = route_kind::stream;
    routes.routes = {streams};
    http_request_received request;
    request.method = "POST";
    request.path = "/s/1";
    request.target = "/s/1";
    request.headers = {{"Host", "A.example:80"},
                       {platform::kRequestIdHeader, "r2"},
                       {platform::kResumeAfterHeader, "7"},
                       {platform::kResumesHeader, "r1"}};
    const auto decoded = platform::makePlatformPort()->decodeRequest(request, routes);
    const auto *received = std::get_if<call_received>(&std::get<node::event>(decoded));
    ASSERT_NE(received, nullptr);
    EXPECT_EQ(received->call.resumeAfter, 7U);
    EXPECT_EQ(received->call.resumes, request_id{"r1"});
    forward_stream forward{{1}, {}, {"i-1"}, received->call, 9, milliseconds{500}, milliseconds{200}};
    const call_http call = platform::encodeForwardedStream(forward);
    EXPECT_TRUE(call.streamed);
    EXPECT_EQ(call.headers.at(platform::kResumeAfterHeader), "9");
    EXPECT_EQ(call.headers.at(platform::kDeadlineHeader), "500");
    EXPECT_EQ(call.headers.at(platform::kExpectInstanceHeader), "i-1");
}

// Guards against events that reach a caller cut, changed, or from a response that is not the upstream's
// stream.
TEST(platform_wire, forwardedEventsAreWholeAndUnchanged)
{
    const auto decoder = platform::makeStreamDecoder();
    const http_headers head{{platform::kRequestIdHeader, "r1"},
                            {platform::kResponseSealHeader, "s"},
                            {"Content-Length", "9"},
                            {"Content-Type", "text/event-stream"}};
    const auto forwarded = decoder->onResponseHead(200, head);
    ASSERT_TRUE(forwarded);
    EXPECT_FALSE(forwarded->contains("Content-Length"));
    EXPECT_EQ(forwarded->at("Content-Type"), "text/event-stream");
    const std::string first = "jacinthvale-weight-versions: 4\nid: 1\ndata: a\ndata: b\n\n";
    const auto events = decoder->onBodyBytes(first + "id: 2\nda");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].number, 1U);
    EXPECT_EQ(events[0].event, first);
    http_call_finished finished;
    finished.outcome = transfer_outcome::complete;
    finished.status = 200;
    finished.headers = head;
    EXPECT_EQ(decoder->onFinished({1}, finished).end, call_end::incomplete);
    EXPECT_FALSE(platform::makeStreamDecoder()->onResponseHead(200, {{platform::kRequestIdHeader, "r1"}}));
    EXPECT_FALSE(platform::makeStreamDecoder()->onResponseHead(503, head));
}

TEST(platform_wire, requestsWithoutIdRefuseResponsesWithOne)
{
    const std::pair<std::string, std::string> none{platform::kRequestIdHeader, ""};
    EXPECT_EQ(platform::encodeStatusRequestCall({}).echo, none);
    EXPECT_EQ(platform::encodeOrderCall({}).echo, none);
}

} // namespace jacinthvale
