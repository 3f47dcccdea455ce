// Entries that another writer left in tables that the daemons read: none of them ends a process, and none
// keeps it from following the others.
#include "http_edges.h"
#include "node_rows.h"
#include "node_simulation.h"
#include "platform_port.h"

#include <absl/strings/escaping.h>

namespace jacinthvale {

using namespace node;
using namespace test;

namespace {

using nlohmann::json;

/// Longest value of a row in bytes.
constexpr std::size_t kRowBytes = 65'536;

const json kEntry = json::parse(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready",)"
        R"("cold_left_ms":0,"models":[{"name":"m","version":1,"adapters":[]}],"seq_no":4,"born":1764900000000})");

std::string withField(const char *name, const std::string &value)
{
    json entry = kEntry;
    entry[name] = "@";
    std::string text = entry.dump();
    const std::size_t at = text.find("\"@\"");
    return text.replace(at, 3, value);
}

std::string nested(const std::string &open, const std::string &close, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes / (open.size() + close.size()); ++i) {
        text += open;
    }
    const std::size_t depth = text.size() / open.size();
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

/// Values that no field of an entry has, or only some fields. @param room bytes of the longest ones.
std::vector<std::string> oddValues(std::size_t room = kRowBytes - kEntry.dump().size() - 64)
{
    return {nested("[", "]", room),
            nested("{\"a\":[", "]}", room - 16),
            std::string(room, '['),
            "1e400",
            "-1e400",
            "1e300",
            "-1",
            "0.5",
            "9223372036854775808",
            "18446744073709551616",
            "4294967297",
            "4294967300",
            "null",
            "[]",
            "{}",
            "\"\"",
            "\"10.0.0.1\"",
            "\"10.0.0.1:0\"",
            "\"10.0.0.1:65536\"",
            "\"10.0.0.1:-1\"",
            "\"10.0.0.1:4294967376\"",
            "\"10.0.0.1:99999999999999999999\"",
            "\"host.example:80\"",
            "\"\\ud800\"",
            "\"\xff\xfe\""};
}

decoded_row decodedUpstream(const std::string &value, const std::string &id = "i-1")
{
    return platform::decodeForeignRow({{table_id::upstreams, "", id}, 1, value, false});
}

bool isUsed(const decoded_row &decoded)
{
    return std::holds_alternative<upstream_entry>(decoded);
}

/// @returns the field for which an entry is not used.
std::string faultOf(const decoded_row &decoded)
{
    const auto *unreadable = std::get_if<unreadable_row>(&decoded);
    return unreadable == nullptr ? "none" : unreadable->field;
}

/// Field of an entry, and values of types that it does not have.
struct entry_field
{
    const char *name;
    bool isRequired;
    std::vector<json> otherTypes;
};

const std::vector<json> kNoTexts = {5, 0.5, true, json::array(), json::object()};
const std::vector<json> kNoCounts = {"4", -1, 0.5, true, json::array({4}), json::object()};

const std::vector<entry_field> kEntryFields = {
        {"service", true, kNoTexts},
        {"address", true, kNoTexts},
        {"zone", true, kNoTexts},
        {"version", true, kNoTexts},
        {"state", true, kNoTexts},
        {"slots", true, kNoCounts},
        {"seq_no", true, kNoCounts},
        {"cold_left_ms", true, {"0", true, json::array({0}), json::object()}},
        {"born", false, kNoCounts},
        {"leaves_ms", false, kNoCounts},
        {"spot", false, {"true", 1, json::array({true}), json::object()}},
        {"models", false, {"m", 1, true, json::object(), json::array({"m"}), json::array({json::array()})}},
};

} // namespace

// Guards against an odd entry that names a server to use, and against one that ends the process: very deeply
// nested, with a number too large, with a port out of range, with a field of another type.
TEST(odd_entries, nameNoUpstreamToUse)
{
    ASSERT_TRUE(std::holds_alternative<upstream_entry>(decodedUpstream(kEntry.dump())));
    for (const char *field :
         {"service", "address", "slots", "state", "born", "version", "zone", "models", "seq_no"}) {
        for (const std::string &value : oddValues()) {
            const decoded_row decoded = decodedUpstream(withField(field, value));
            const auto *entry = std::get_if<upstream_entry>(&decoded);
            if (entry == nullptr) {
                continue;
            }
            // What is of the right type may be used; the others hold.
            EXPECT_GT(entry->slots, 0U) << field << value.substr(0, 40);
            EXPECT_LE(entry->slots, 100'000U) << field << value.substr(0, 40);
            EXPECT_NE(entry->address.port, 0) << field << value.substr(0, 40);
            EXPECT_NE(entry->address.address, "") << field << value.substr(0, 40);
            const json parsed = json::parse(withField(field, value), nullptr, false);
            EXPECT_TRUE(parsed[field].type() == kEntry[field].type()) << field << value.substr(0, 40);
        }
    }
    for (const std::string &value : oddValues()) {
        EXPECT_TRUE(std::holds_alternative<unreadable_row>(decodedUpstream(value))) << value.substr(0, 40);
    }
    for (const char *id : {"", "i 1", "i-1\r\nX: y", "i-\x01", "i-\xff"}) {
        EXPECT_EQ(faultOf(decodedUpstream(kEntry.dump(), id)), "id") << id;
    }
}

// Guards against an entry of another writer that is used as an upstream although one of its fields is
// missing.
TEST(odd_entries, withoutARequiredFieldNameNoUpstream)
{
    for (const entry_field &field : kEntryFields) {
        json entry = kEntry;
        entry.erase(field.name);
        EXPECT_EQ(isUsed(decodedUpstream(entry.dump())), !field.isRequired) << field.name;
        for (const json &value : field.otherTypes) {
            entry[field.name] = value;
            EXPECT_FALSE(isUsed(decodedUpstream(entry.dump()))) << entry.dump();
        }
        entry[field.name] = nullptr;
        EXPECT_FALSE(isUsed(decodedUpstream(entry.dump()))) << field.name;
    }
}

TEST(odd_entries, nameTheFieldThatIsAtFault)
{
    for (const entry_field &field : kEntryFields) {
        json entry = kEntry;
        entry[field.name] = nullptr;
        EXPECT_EQ(faultOf(decodedUpstream(entry.dump())), field.name);
    }
    for (const char *field : {"name", "version"}) {
        json entry = kEntry;
        entry["models"][0].erase(field);
        EXPECT_EQ(faultOf(decodedUpstream(entry.dump())), "models") << field;
    }
    EXPECT_EQ(faultOf(decodedUpstream("[]")), "");
}

// Guards against a sound entry that is left out for fields that its deployment does not write, or that this
// build does not know.
TEST(odd_entries, soundEntriesOfEachDeploymentAreUsed)
{
    // Model servers, before and after their start is told; plain servers; upstreams that leave; fields to
    // come.
    const std::string head
            = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"delta-a","version":"v1",)"
              R"("slots":12,"cold_left_ms":0,"seq_no":4)";
    const std::string models = R"("stage":"both","models":[{"name":"daka510000","version":1,"adapters":[]}])";
    for (const std::string &rest :
         {R"("state":"ready",)" + models, R"("state":"ready","born":1764900000000,)" + models,
          std::string(R"("state":"ready")"), std::string(R"("state":"draining","models":[])"),
          std::string(R"("state":"draining","spot":true,"leaves_ms":4000)"),
          std::string(R"("state":"ready","region":"nile-delta","weights":{"a":[1]},"load":0.5)")}) {
        std::string entry = head;
        entry.append(",").append(rest).append("}");
        EXPECT_TRUE(isUsed(decodedUpstream(entry))) << entry;
    }
    json slow = kEntry;
    slow["cold_left_ms"] = 812.5;
    EXPECT_TRUE(isUsed(decodedUpstream(slow.dump())));
}

// Guards against an order that names a number of accepted orders which its upstream never reported.
TEST(odd_entries, reportWithoutARequiredFieldTellsNothingOfLoads)
{
    const json report = json::parse(
            R"({"busy":false,"seq_no":2,"models":[{"name":"m","version":1}],"born":5,"queue_depth":1})");
    const auto decoded = [](const json &body) {
        return platform::decodeStatusAnswer({1}, {{}, transfer_outcome::complete, 200, {}, body.dump()});
    };
    ASSERT_TRUE(decoded(report).loads.has_value());
    EXPECT_EQ(*decoded(report).loads, (load_status{false, 2, {{{"m"}, {1}}}}));
    for (const char *field : {"busy", "seq_no", "models"}) {
        json odd = report;
        odd.erase(field);
        EXPECT_FALSE(decoded(odd).loads.has_value()) << field;
        for (const json &value : {json(), json("1"), json(-1), json(0.5), json::object(), json::array({1})}) {
            odd[field] = value;
            EXPECT_FALSE(decoded(odd).loads.has_value()) << odd.dump();
        }
        // The upstream's process is still known by its start.
        EXPECT_TRUE(decoded(odd).answered);
        EXPECT_EQ(decoded(odd).startedAtMs, 5U);
    }
    json withoutStart = report;
    withoutStart.erase("born");
    EXPECT_TRUE(decoded(withoutStart).loads.has_value());
}

// Guards against a whole answer of the store that cannot be read because of one row in it.
TEST(odd_entries, doNotKeepTheOthersFromBeingRead)
{
    for (const std::string &value : oddValues()) {
        json answer = {{"ver", 9}, {"now_ms", 5}, {"has_more", false}, {"rows", json::array()}};
        for (const std::string &bytes : {kEntry.dump(), withField("models", value), value, kEntry.dump()}) {
            answer["rows"].push_back({{"table", "servers"},
                                      {"part", ""},
                                      {"key", "i-" + std::to_string(answer["rows"].size())},
                                      {"ver", 3},
                                      {"value", absl::Base64Escape(bytes)}});
        }
        const auto decoded = platform::decodeStoreAnswer(read_changes{{1}, table_id::upstreams}, 200,
                                                         answer.dump(), false);
        ASSERT_TRUE(decoded.has_value());
        const auto *rows = std::get_if<rows_received>(&*decoded);
        ASSERT_NE(rows, nullptr);
        ASSERT_EQ(rows->rows.size(), 4U);
        EXPECT_TRUE(std::holds_alternative<upstream_entry>(rows->rows.front().decodedRow));
        EXPECT_TRUE(std::holds_alternative<unreadable_row>(rows->rows.at(2).decodedRow));
        EXPECT_TRUE(std::holds_alternative<upstream_entry>(rows->rows.back().decodedRow));
    }
}

// The same values where upstreams and the operator speak: status reports, configurations, batches.
TEST(odd_entries, inReportsConfigurationsAndBatchesEndNothing)
{
    const json report
            = json::parse(R"({"busy":false,"seq_no":2,"models":[{"name":"m","version":1}],"born":5})");
    const json config = json::parse(
            R"({"version":7,"limits":{"max_body_bytes":5},"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
            R"("route_type":"safe","timeout_ms":800,"slo_ms":150,"retention_s":40.0,"service":"s","max_attempts":2}],)"
            R"("services":[{"name":"s","engine":{"kv_cap_tokens":9,"stride":3,"models":[{"name":"m"}]}}]})");
    const json submitted = json::parse(
            R"({"train_step":7,"model":"m","min_version":6,"group_count":1,"requests":[{"id":"i","path":"/p/1",)"
            R"("headers":{"Jacinthvale-Token-Count":"5,4"},"body":"q83v","tokens":9,"group":"g"}]})");
    constexpr std::size_t kShortBytes = 600;
    for (const std::string &value : oddValues()) {
        platform::decodeStatusAnswer({1}, {{}, transfer_outcome::complete, 200, {}, value});
        platform::decodeForeignRow({{table_id::operators, "", "config"}, 1, value, false});
        EXPECT_FALSE(platform::decodeBatch(value).ok());
    }
    for (const std::string &value : oddValues(kShortBytes)) {
        const auto bodiesOf = [&](const json &whole) {
            std::vector<std::string> bodies;
            const json flat = whole.flatten();
            for (const auto &[path, unused] : flat.items()) {
                for (json::json_pointer at(path); !at.empty(); at = at.parent_pointer()) {
                    json odd = whole;
                    odd[at] = "@";
                    std::string text = odd.dump();
                    bodies.push_back(text.replace(text.find("\"@\""), 3, value));
                }
            }
            return bodies;
        };
        for (const std::string &body : bodiesOf(report)) {
            platform::decodeStatusAnswer({1}, {{}, transfer_outcome::complete, 200, {}, body});
        }
        for (const std::string &body : bodiesOf(config)) {
            const decoded_row decoded
                    = platform::decodeForeignRow({{table_id::operators, "", "config"}, 1, body, false});
            if (const auto *table = std::get_if<route_table>(&decoded)) {
                for (const route &decodedRoute : table->routes) {
                    EXPECT_GE(decodedRoute.timeout.count(), 0);
                    EXPECT_GE(decodedRoute.retention.count(), 0);
                    EXPECT_GT(instant{} + decodedRoute.timeout + decodedRoute.retention,
                              instant{} - milliseconds{1});
                }
            }
        }
        for (const std::string &body : bodiesOf(submitted)) {
            platform::decodeBatch(body);
        }
    }
}

// Guards against a reducer that computes with the numbers of an odd entry.
TEST(odd_entries, extremeNumbersOfAnEntryDoNotDisturbTheFleet)
{
    node_simulation simulation(1);
    simulation.run(milliseconds{1500});
    simulated_upstream &odd = simulation.upstream(5);
    odd.entry.draining = true;
    odd.entry.leavesInMs = std::numeric_limits<std::uint64_t>::max() / 2;
    odd.entry.startedAtMs = std::numeric_limits<std::uint64_t>::max();
    odd.entry.weights[{"m0"}] = {std::numeric_limits<std::uint64_t>::max()};
    simulation.run(milliseconds{3000});
    const exchange_id call = simulation.sendCall(0, "c1");
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(8, 20));
    simulation.submitBatch(1, submitted);
    EXPECT_TRUE(
            simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{20'000}));
    EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr);
    EXPECT_EQ(simulation.violationText(), "");
}

// Guards against a row of another writer in the tables of the daemons themselves.
TEST(odd_entries, damagedRowsOfDaemonsEndNothing)
{
    constexpr std::size_t kRows = 40;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        node_simulation simulation(seed);
        simulation.run(milliseconds{1500});
        const batch first = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(8, 20));
        simulation.submitBatch(0, first);
        simulation.run(milliseconds{500});
        for (const table_id table : {table_id::daemons, table_id::heads, table_id::leases}) {
            simulation.addDamagedRows(table, kRows);
        }
        simulation.run(milliseconds{2000});
        // A daemon that starts reads all of them at once.
        simulation.kill(2);
        simulation.start(2);
        const batch second = node_simulation::makeBatch("b2", "m1", 1, std::vector<unsigned>(8, 20));
        simulation.submitBatch(1, second);
        EXPECT_TRUE(simulation.runUntil(
                [&] { return simulation.allCommitted(first) && simulation.allCommitted(second); },
                milliseconds{40'000}))
                << seed;
    }
}

// Guards against a lease that nobody can take any more: a row under another key was taken for it, with a
// version that its own row never reached.
TEST(odd_entries, rowBesideTheLeasesDoesNotStopLoadsOfWeights)
{
    constexpr std::size_t kRows = 40;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        node_simulation simulation(seed);
        simulation.run(milliseconds{4000});
        simulation.addDamagedRows(table_id::leases, kRows);
        simulation.run(milliseconds{1000});
        simulation.kill(2);
        simulation.start(2);
        simulation.setNamedVersion("m0", 2);
        // Half of the upstreams serve this model.
        const auto loaded = [&] {
            return std::ranges::count_if(std::array{0U, 1U, 2U, 3U}, [&](unsigned upstream) {
                const auto &weights = simulation.upstream(upstream).entry.weights;
                const auto found = weights.find({"m0"});
                return found != weights.end() && found->second.value == 2;
            });
        };
        EXPECT_TRUE(simulation.runUntil([&] { return loaded() == 2; }, milliseconds{20'000})) << seed;
        EXPECT_EQ(simulation.violationText(), "");
    }
}

// Addresses to which no connection can be made at all are an end like others.
TEST(odd_entries, addressesWithoutAConnectionAreUnreachable)
{
    const test_loop loop;
    http_client client(loop.base());
    for (const endpoint &target :
         {endpoint{"127.0.0.1", 0}, endpoint{"255.255.255.255", 80}, endpoint{"0.0.0.0", 0}}) {
        watched_call call;
        client.start(makeCall(target), call.listener());
        ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
        EXPECT_EQ(call.finished->outcome, transfer_outcome::nothing_sent);
    }
}

} // namespace jacinthvale
