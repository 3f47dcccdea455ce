// Texts of others that would become another request than the one that was accepted.
#include "connection_guard.h"
#include "http_edges.h"
#include "http_fields.h"
#include "http_request_parser.h"
#include "node_simulation.h"
#include "platform_port.h"
#include "wire_names.h"

#include <nlohmann/json.hpp>

using namespace jacinthvale;
using namespace jacinthvale::node;
using namespace jacinthvale::test;
using nlohmann::json;

namespace {

/// A whole second request.
const std::string kSmuggled = "/p/1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /p/2";

json itemOf(const std::string &id)
{
    return {{"id", id},
            {"path", "/p/1"},
            {"body", "eA=="},
            {"tokens", 9},
            {"group", "g"},
            {"headers", {{"X-One", "1"}}},
            {"scorer", {{"id", "r-" + id}, {"host", "h.example"}, {"path", "/s/1"}, {"body", "eA=="}}}};
}

/// A batch of two items, of which the second one holds the text.
std::string batchWith(const json::json_pointer &place, const std::string &text)
{
    json second = itemOf("i2");
    second[place] = text;
    return json{{"model", "m"}, {"requests", {itemOf("i1"), second}}}.dump();
}

std::string faultIn(const std::string &body)
{
    return std::string(platform::decodeBatch(body).status().message());
}

/// What a server gets of a call, up to the end of its head.
std::string headAsWritten(const call_http &call)
{
    const test_loop loop;
    std::string seen;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &bytes) {
        seen += bytes;
        constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        bufferevent_write(connection, kAnswer.data(), kAnswer.size());
    });
    http_client client(loop.base());
    call_http sent = call;
    sent.target = server.where();
    watched_call watched;
    client.start(sent, watched.listener());
    EXPECT_TRUE(loop.runUntil([&] { return watched.finished.has_value(); }));
    return seen.substr(0, seen.find("\r\n\r\n"));
}

route_table routesWithBatches()
{
    route_table routes;
    routes.version = 1;
    route batches;
    batches.host = "h.example";
    batches.pathPrefix = "/p/";
    batches.kind = route_kind::batch;
    routes.routes = {batches};
    return routes;
}

/// @returns the entry's decision on a batch job with this id.
decoded_request submit(const std::string &id, const std::string &body)
{
    http_request_received request;
    request.method = "POST";
    request.path = request.target = "/p/b1";
    request.headers = {{"Host", "h.example"}, {platform::kRequestIdHeader, id}};
    request.body = body;
    return platform::makePlatformPort()->decodeRequest(request, routesWithBatches(), 1 << 20);
}

} // namespace

// Guards against an item that brings a request of nobody: line ends in its path end the request line.
TEST(unsendable_requests, batchIsRefusedWithTheFieldThatCannotBeSent)
{
    struct place
    {
        const char *pointer;
        const char *field;
        std::vector<std::string> texts;
    };
    const std::vector<std::string> targets = {kSmuggled, "/p/1\r",        "/p/1\n", "/p 1",
                                              " /p/1",   "/p/1 HTTP/1.0", "/p/\t1", std::string("/p/\0", 4),
                                              "/p/\x7f", "p/1",           "",       "http://h/p/1"};
    const std::vector<std::string> ids
            = {"", "a\r\nX: y", "a\n", "\ra", " a", "a ", "a\t", std::string("a\0b", 3)};
    const std::vector<std::string> values = {"a\r\nX: y", "a\n", "\r", std::string("\0", 1), "\x7f"};
    const place places[] = {
            {"/path", "requests[1].path", targets},
            {"/id", "requests[1].id", ids},
            {"/headers/X-One", "requests[1].headers", values},
            {"/headers/X:Two", "requests[1].headers", {"1"}},
            {"/headers/X Two", "requests[1].headers", {"1"}},
            {"/headers/X\r\nTwo", "requests[1].headers", {"1"}},
            {"/headers/", "requests[1].headers", {"1"}},
            {"/scorer/path", "requests[1].scorer.path", targets},
            {"/scorer/id", "requests[1].scorer.id", ids},
            {"/scorer/host", "requests[1].scorer.host", {"", "h\r\nX: y", "h h", "h\n"}},
    };
    for (const place &tried : places) {
        for (const std::string &text : tried.texts) {
            const std::string body = batchWith(json::json_pointer(tried.pointer), text);
            EXPECT_EQ(faultIn(body), tried.field) << body;
            const decoded_request decoded = submit("b1", body);
            ASSERT_TRUE(std::holds_alternative<reply_http>(decoded)) << body;
            EXPECT_EQ(std::get<reply_http>(decoded).status, 400);
            EXPECT_EQ(json::parse(std::get<reply_http>(decoded).body)["field"], tried.field);
        }
    }
}

// Guards against sound texts that are refused or arrive changed.
TEST(unsendable_requests, soundTextsArriveByteForByte)
{
    const std::vector<std::string> targets = {"/p/1?a=b&c=%20d", "/p/%0d%0a", "//p//..//1/../2",
                                              "/p/" + std::string(3000, 'x'), "/p/\xc3\xa9;=:@!$'()*+,"};
    for (const std::string &target : targets) {
        const auto decoded = platform::decodeBatch(batchWith(json::json_pointer("/path"), target));
        ASSERT_TRUE(decoded.ok()) << target;
        run_item run;
        run.item = decoded->items.at(1);
        run.host = "h.example";
        run.upstream = {"e1"};
        EXPECT_EQ(headAsWritten(platform::encodeRunCall(run)).find("POST " + target + " HTTP/1.1\r\n"), 0U)
                << target;
    }
    const std::string value = "a\tb \xc3\xa9 ~!\"";
    const auto decoded = platform::decodeBatch(batchWith(json::json_pointer("/headers/X-One"), value));
    ASSERT_TRUE(decoded.ok());
    run_item run;
    run.item = decoded->items.at(1);
    run.host = "h.example";
    run.upstream = {"e1"};
    const std::string head = headAsWritten(platform::encodeRunCall(run));
    EXPECT_NE(head.find("\r\nX-One: " + value), std::string::npos) << head;
    EXPECT_NE(head.find(std::string("\r\n") + platform::kRequestIdHeader + ": i2"), std::string::npos)
            << head;
}

// Guards against calls that are taken at the entry and cannot be sent on.
TEST(unsendable_requests, whatTheEntryAcceptsCanBeWritten)
{
    int targets = 0;
    int values = 0;
    int names = 0;
    for (int byte = 0; byte < 256; ++byte) {
        const std::string text = std::string("a") + static_cast<char>(byte) + "b";
        const auto accepted = [](const std::string &request) {
            auto parser = std::make_unique<http_request_parser>(4096);
            const auto reached = parser->feed(request).reached;
            const bool isAccepted = reached == http_request_parser::status::head_complete
                                    || reached == http_request_parser::status::complete;
            return isAccepted ? std::move(parser) : nullptr;
        };
        if (const auto parsed = accepted("GET /" + text + " HTTP/1.1\r\nHost: h\r\n\r\n")) {
            ++targets;
            EXPECT_TRUE(isRequestLineWord(parsed->target())) << byte;
        }
        if (const auto parsed = accepted("GET / HTTP/1.1\r\nHost: h\r\nX: " + text + "\r\n\r\n")) {
            ++values;
            for (const auto &[name, value] : parsed->headers()) {
                EXPECT_TRUE(isHttpToken(name) && isFieldValue(value)) << byte;
            }
        }
        if (const auto parsed = accepted("GET / HTTP/1.1\r\nHost: h\r\n" + text + ": x\r\n\r\n")) {
            ++names;
            for (const auto &[name, value] : parsed->headers()) {
                EXPECT_TRUE(isHttpToken(name)) << byte;
            }
        }
    }
    constexpr int kLettersAndDigits = 62;
    EXPECT_GE(std::min({targets, values, names}), kLettersAndDigits);
}

// Guards against a row, a configuration, a peer or another build that brings what the entry refuses: no byte
// of such a request may leave, and calls beside it go on.
TEST(unsendable_requests, clientSendsNothingOfAHeadThatItCannotWrite)
{
    const test_loop loop;
    raw_server server(loop.base(), [](bufferevent *connection, const std::string &) {
        constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        bufferevent_write(connection, kAnswer.data(), kAnswer.size());
    });
    std::vector<std::string> told;
    connection_guard guard(loop.base(), {1 << 20, 0});
    http_client client(loop.base(), guard, {}, {}, [&](const endpoint &target, const std::string &field) {
        EXPECT_EQ(target, server.where());
        told.push_back(field);
    });
    const auto with = [&](auto change) {
        call_http call = makeCall(server.where());
        change(call);
        return call;
    };
    const std::pair<call_http, std::string> unsendable[] = {
            {with([](call_http &call) { call.path = kSmuggled; }), "path"},
            {with([](call_http &call) { call.path = ""; }), "path"},
            {with([](call_http &call) { call.method = "POST /x"; }), "method"},
            {with([](call_http &call) { call.headers["X-One"] = "a\r\nX-Two: b"; }), "X-One"},
            {with([](call_http &call) { call.headers["Host"] = "h\n"; }), "Host"},
            {with([](call_http &call) { call.headers["X:\r\nTwo"] = "a"; }), "XTwo"},
    };
    for (const auto &[call, field] : unsendable) {
        watched_call watched;
        watched_call beside;
        client.start(call, watched.listener());
        client.start(makeCall(server.where()), beside.listener());
        ASSERT_FALSE(watched.finished.has_value());
        ASSERT_TRUE(loop.runUntil([&] { return watched.finished && beside.finished; }));
        EXPECT_EQ(watched.finished->outcome, transfer_outcome::invalid_request);
        EXPECT_EQ(beside.finished->outcome, transfer_outcome::complete);
        ASSERT_FALSE(told.empty());
        EXPECT_EQ(told.back(), field);
    }
    EXPECT_EQ(told.size(), std::size(unsendable));
    EXPECT_EQ(invalidRequestsMetric("path"), "requests_invalid_total{field=\"path\"}");
    EXPECT_EQ(invalidRequestsMetric("X-One"), "requests_invalid_total{field=\"header\"}");
    EXPECT_EQ(client.runningCalls(), 0U);
}

// Guards against an item of an older build that is tried again and again, and against upstreams that are
// taken for broken because of it.
TEST(unsendable_requests, itemThatCannotBeSentWaitsAndOthersGoOn)
{
    node_simulation simulation(5);
    simulation.run(milliseconds{1500});
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {12, 12, 12, 12, 12, 12});
    simulation.setUnsendable(submitted.items.at(2).id.value);
    simulation.submitBatch(0, submitted);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.committedResults({"b1"}).size() == 5; },
                                    milliseconds{10'000}));
    simulation.run(milliseconds{5000});
    EXPECT_EQ(simulation.unsendableRequests(), 1U);
    EXPECT_EQ(simulation.committedResults({"b1"}).size(), 5U);
    EXPECT_EQ(simulation.violationText(), "");
}

// Guards against a call that is tried at each upstream in turn, or answered as if it could be sent later.
TEST(unsendable_requests, callThatCannotBeSentIsRefusedAtOnce)
{
    node_simulation simulation(6);
    simulation.run(milliseconds{1500});
    simulation.setUnsendable("c1");
    const exchange_id call = simulation.sendCall(0, "c1");
    const exchange_id stream = simulation.requestStream(0, "c1", "/stream/1");
    const exchange_id beside = simulation.sendCall(0, "c2");
    simulation.run(milliseconds{1000});
    for (const exchange_id refused : {call, stream}) {
        ASSERT_NE(simulation.answerAs<refuse_call>(refused), nullptr);
        EXPECT_EQ(simulation.answerAs<refuse_call>(refused)->reason, refusal::malformed);
    }
    EXPECT_NE(simulation.answerAs<answer_call>(beside), nullptr);
    EXPECT_EQ(simulation.unsendableRequests(), 2U);
}

// Guards against one batch job that ends the process: its id becomes the key of a row, and the store's calls
// are JSON.
TEST(unsendable_requests, batchWhoseIdCannotBeAKeyIsRefused)
{
    const auto statusFor = [](const std::string &id) {
        const decoded_request decoded = submit(id, json{{"model", "m"}, {"requests", {itemOf("i1")}}}.dump());
        const auto *reply = std::get_if<reply_http>(&decoded);
        return reply == nullptr ? 0 : reply->status;
    };
    for (const std::string id : {"", "caf\xe9", "\xc3", "\xff\xfe", "\xed\xa0\x80", "a\xc0\xafz"}) {
        EXPECT_EQ(statusFor(id), 400) << id;
    }
    for (const std::string id : {"cafe", "caf\xc3\xa9", "a b", "\"\\"}) {
        EXPECT_EQ(statusFor(id), 0) << id;
    }
}
