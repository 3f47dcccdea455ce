// Concurrency limiter, retry budget, circuit breaker, fair queue, router and graceful shutdown in isolation.
#include <gtest/gtest.h>
#include <jacinthvale/requests.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace jacinthvale;

namespace {

instant instantAt(std::int64_t ms)
{
    return instant{milliseconds{ms}};
}

upstream_view view(const std::string &id, upstream_kind kind = upstream_kind::service)
{
    upstream_view result;
    result.id = {id};
    result.kind = kind;
    result.service = {kind == upstream_kind::service ? "pay" : ""};
    result.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + stableHash(id) % 1000)};
    result.availabilityZone = {"a"};
    return result;
}

/// One gate, with the effects of its last event.
struct single_gate
{
    requests_state state;
    effects emittedEffects;
    instant now = instantAt(1000);
    std::uint64_t exchanges = 0;

    explicit single_gate(const std::vector<upstream_view> &upstreams)
    {
        state.self.availabilityZone = {"a"};
        state.self.incarnation = {7};
        state.self.peer = {"127.0.0.1", 7000};
        for (const upstream_view &upstream : upstreams) {
            handle(domain_event_raised{domain::membership, upstream_changed{upstream, false}});
        }
    }

    void handle(const event &incoming)
    {
        emittedEffects = reduceRequests(state, incoming, {now, {}, mixRandom(++exchanges)});
    }

    void post(const std::string &path, const std::string &body, const http_headers &headers = {})
    {
        handle(http_request_received{{++exchanges}, "POST", path, {}, headers, body});
    }

    void finish(const call_http &call, transfer_outcome outcome, int status = 0,
                const http_headers &headers = {})
    {
        handle(http_call_finished{call.operation, outcome, status, headers, "body"});
    }

    template <typename Effect>
    std::vector<Effect> effectsOf() const
    {
        std::vector<Effect> found;
        for (const effect &emitted : emittedEffects) {
            if (const auto *matching = std::get_if<Effect>(&emitted)) {
                found.push_back(*matching);
            }
        }
        return found;
    }

    /// @returns the calls to upstreams without the status probes.
    std::vector<call_http> calls() const
    {
        auto found = effectsOf<call_http>();
        std::erase_if(found, [](const call_http &c) { return c.method == "GET"; });
        return found;
    }

    std::string replyVerdict() const
    {
        const auto replies = effectsOf<reply_http>();
        return replies.size() == 1 ? replies.front().headers.at("Jacinthvale-Verdict") : "";
    }

    void setDefault(const std::string &key, std::int64_t value)
    {
        auto document = std::make_shared<config_document>(*state.config);
        document->defaults[key] = value;
        handle(domain_event_raised{domain::config, config_activated{document}});
    }
};

const http_headers kRepeatableHeaders = {{"Jacinthvale-Repeatable", "true"}};
const http_headers kNotRunHeaders = {{"Jacinthvale-Verdict", "not-run"}};

route_candidate candidate(const upstream_view &upstream, int inFlight = 0)
{
    return {&upstream, inFlight, true, true};
}

} // namespace

TEST(limiter, growsUnderLoadAndShrinksWhenLatencyRises)
{
    concurrency_limiter limiter;
    for (int i = 0; i < 100; ++i) {
        limiter.recordLatency(milliseconds{20});
    }
    const int initialLimit = limiter.limit();
    for (int i = 0; i < 16; ++i) {
        limiter.acquire();
    }
    for (int i = 0; i < 5; ++i) {
        limiter.recordLatency(milliseconds{20});
    }
    EXPECT_GT(limiter.limit(), initialLimit);
    for (int i = 0; i < 100; ++i) {
        limiter.recordLatency(milliseconds{500});
    }
    EXPECT_LT(limiter.limit(), 10);
}

RC_GTEST_PROP(retry_budget, limitsRetriesToReserveAndShareOfFirstAttempts, (const std::vector<bool> &isRetry))
{
    constexpr double kShare = 0.1;
    constexpr double kReserve = 10;
    retry_budget budget(kReserve);
    int firstAttempts = 0;
    int retries = 0;
    for (const bool retry : isRetry) {
        if (retry) {
            retries += budget.tryRetry() ? 1 : 0;
        } else {
            budget.recordFirstAttempt(kShare);
            ++firstAttempts;
        }
    }
    RC_ASSERT(retries <= kReserve + kShare * firstAttempts + 1e-6);
}

TEST(circuit_breaker, opensAfterFailuresAndClosesAfterProbeAndRequestSucceed)
{
    circuit_breaker breaker;
    breaker.recordFailure(instantAt(0), 2);
    EXPECT_TRUE(breaker.allows(5));
    breaker.recordFailure(instantAt(0), 2);
    EXPECT_FALSE(breaker.allows(0));
    EXPECT_FALSE(breaker.isProbeDue(instantAt(100)));
    EXPECT_TRUE(breaker.isProbeDue(instantAt(600)));
    breaker.recordProbeSuccess();
    EXPECT_TRUE(breaker.allows(0));
    EXPECT_FALSE(breaker.allows(1));
    breaker.recordSuccess();
    EXPECT_TRUE(breaker.allows(1));
}

RC_GTEST_PROP(fair_queue, servesClassesInProportionToTheirShares, ())
{
    const int share = *rc::gen::inRange(1, 10);
    fair_queue queue;
    for (std::uint64_t i = 0; i < 200; ++i) {
        queue.push({i}, {i % 2 == 0 ? "clerks" : "batch"}, i % 2 == 0 ? share : 1);
    }
    int clerks = 0;
    constexpr int kDispatchCount = 60;
    for (int dispatched = 0; dispatched < kDispatchCount; ++dispatched) {
        clerks += queue.front()->value % 2 == 0 ? 1 : 0;
        queue.popFront();
    }
    RC_ASSERT(std::abs(clerks - kDispatchCount * share / (share + 1)) <= share + 1);
}

TEST(router, prefersOwnZoneAndExcludesDrainingUpstreams)
{
    upstream_view near = view("near");
    upstream_view far = view("far");
    far.availabilityZone = {"b"};
    upstream_view draining = view("draining");
    draining.condition = upstream_condition::draining;
    const std::vector all = {candidate(near, 9), candidate(far), candidate(draining)};
    EXPECT_EQ(chooseUpstream(all, {{"a"}, "", {}, {}}, instantAt(0), 1).upstream.value, "near");
    EXPECT_EQ(chooseUpstream(std::vector{candidate(draining)}, {{"a"}, "", {}, {}}, instantAt(0), 1).outcome,
              route_outcome::none);
}

TEST(router, ignoresHealthWhenMostUpstreamsAreDown)
{
    std::vector<upstream_view> views = {view("a"), view("b"), view("c"), view("d")};
    std::vector<route_candidate> all;
    for (std::size_t i = 0; i < views.size(); ++i) {
        views[i].condition = i < 3 ? upstream_condition::down : upstream_condition::serving;
        all.push_back(candidate(views[i], i == 3 ? 50 : 0));
    }
    EXPECT_NE(chooseUpstream(all, {{"a"}, "", {}, {}}, instantAt(0), 1).upstream.value, "d");
    views[2].condition = upstream_condition::serving;
    for (std::uint64_t random = 0; random < 20; ++random) {
        const auto chosen = chooseUpstream(all, {{"a"}, "", {}, {}}, instantAt(0), random).upstream.value;
        EXPECT_TRUE(chosen == "c" || chosen == "d");
    }
}

TEST(router, prefersEnginesWithKnownWeightVersion)
{
    upstream_view known = view("known", upstream_kind::engine);
    known.models = {{{"m"}, {3}, true}};
    upstream_view indeterminate = view("indeterminate", upstream_kind::engine);
    indeterminate.models = {{{"m"}, {3}, false}};
    const upstream_view without = view("without", upstream_kind::engine);
    const std::vector all = {candidate(indeterminate), candidate(without), candidate(known, 9)};
    EXPECT_EQ(chooseUpstream(all, {{"a"}, "m", {}, {}}, instantAt(0), 1).upstream.value, "known");
    const std::vector onlyIndeterminate = {candidate(indeterminate)};
    EXPECT_EQ(chooseUpstream(onlyIndeterminate, {{"a"}, "m", {}, {}}, instantAt(0), 1).upstream.value,
              "indeterminate");
}

RC_GTEST_PROP(router, routesPrefixToOneEngineUntilItIsOverloaded,
              (std::uint64_t prefix, std::uint64_t random))
{
    std::vector<upstream_view> views;
    for (int i = 0; i < 6; ++i) {
        views.push_back(view("e" + std::to_string(i), upstream_kind::engine));
    }
    std::vector<route_candidate> all;
    std::ranges::transform(views, std::back_inserter(all),
                           [](const upstream_view &v) { return candidate(v); });
    const route_request request{{"a"}, "", prefix, {}};
    const upstream_id preferred = chooseUpstream(all, request, instantAt(0), random).upstream;
    RC_ASSERT(chooseUpstream(all, request, instantAt(0), random + 1).upstream == preferred);
    std::ranges::for_each(all, [&](route_candidate &c) { c.inFlight = c.view->id == preferred ? 40 : 4; });
    RC_ASSERT(chooseUpstream(all, request, instantAt(0), random).upstream != preferred);
}

TEST(router, discountsOldLoadReports)
{
    upstream_view busy = view("busy");
    busy.running = 8;
    EXPECT_DOUBLE_EQ(effectiveLoad(candidate(busy), instantAt(0)), 8);
    EXPECT_DOUBLE_EQ(effectiveLoad(candidate(busy, 1), instantAt(1000)), 5);
}

TEST(requests, doesNotResendNonRepeatableRequestAfterBytesWereSent)
{
    single_gate gate({view("s1"), view("s2")});
    gate.post("/v1/services/pay", "p");
    const call_http call = gate.calls().at(0);
    EXPECT_TRUE(call.freshConnection);
    gate.finish(call, transfer_outcome::failed_after_send);
    EXPECT_TRUE(gate.calls().empty());
    EXPECT_EQ(gate.replyVerdict(), "may-have-run");
}

// The head of the answer says that the request was refused, and its body breaks HTTP.
TEST(requests, believesNothingOfAMalformedAnswer)
{
    single_gate gate({view("s1"), view("s2")});
    gate.post("/v1/services/pay", "p");
    gate.finish(gate.calls().at(0), transfer_outcome::malformed, 503, kNotRunHeaders);
    EXPECT_TRUE(gate.calls().empty());
    EXPECT_EQ(gate.replyVerdict(), "may-have-run");
}

TEST(requests, displacedAnswerMayHaveRun)
{
    single_gate gate({view("s1"), view("s2")});
    gate.post("/v1/services/pay", "p");
    EXPECT_EQ(gate.calls().at(0).rank, answer_rank::single);
    gate.finish(gate.calls().at(0), transfer_outcome::displaced);
    EXPECT_TRUE(gate.calls().empty());
    EXPECT_EQ(gate.replyVerdict(), "may-have-run");
}

TEST(requests, retriesAtAnotherUpstreamIfRequestDidNotRun)
{
    single_gate gate({view("s1"), view("s2")});
    gate.post("/v1/services/pay", "p");
    const call_http first = gate.calls().at(0);
    gate.finish(first, transfer_outcome::complete, 503, kNotRunHeaders);
    const call_http second = gate.calls().at(0);
    EXPECT_NE(second.target, first.target);
    gate.finish(second, transfer_outcome::nothing_sent);
    const call_http third = gate.calls().at(0);
    gate.finish(third, transfer_outcome::complete, 503);
    EXPECT_EQ(gate.replyVerdict(), "may-have-run");
}

TEST(requests, answersWithoutRetryWhenRetryBudgetIsEmpty)
{
    single_gate gate({view("s1"), view("s2")});
    gate.state.budget = retry_budget(0);
    gate.post("/v1/services/pay", "p", kRepeatableHeaders);
    gate.finish(gate.calls().at(0), transfer_outcome::nothing_sent);
    EXPECT_EQ(gate.replyVerdict(), "not-run");
    EXPECT_EQ(gate.effectsOf<reply_http>().at(0).headers.count("Retry-After"), 1U);
}

TEST(requests, probesTimedOutUpstreamOnNewConnectionBeforeOpeningBreaker)
{
    single_gate gate({view("s1")});
    gate.post("/v1/services/pay", "p", kRepeatableHeaders);
    const call_http call = gate.calls().at(0);
    EXPECT_FALSE(call.freshConnection);
    gate.finish(call, transfer_outcome::timed_out);
    const auto sent = gate.effectsOf<call_http>();
    const auto probe = std::ranges::find(sent, "/status", &call_http::path);
    ASSERT_NE(probe, sent.end());
    EXPECT_TRUE(probe->freshConnection);
    ASSERT_EQ(gate.calls().size(), 1U);
    EXPECT_TRUE(gate.calls().at(0).freshConnection);
    const upstream_record &upstream = gate.state.upstreams.begin()->second;
    gate.finish(*probe, transfer_outcome::complete, 200);
    EXPECT_EQ(upstream.breaker.state(), breaker_state::closed);
}

TEST(requests, opensBreakerWhenProbeFailsAfterTimeout)
{
    single_gate gate({view("s1")});
    gate.post("/v1/services/pay", "p");
    gate.finish(gate.calls().at(0), transfer_outcome::timed_out);
    const call_http probe = gate.effectsOf<call_http>().at(0);
    gate.finish(probe, transfer_outcome::timed_out);
    EXPECT_EQ(gate.state.upstreams.begin()->second.breaker.state(), breaker_state::open);
}

TEST(requests, forwardsRemainingTimeAsDeadline)
{
    single_gate gate({view("s1")});
    gate.post("/v1/services/pay", "p", {{"Jacinthvale-Deadline-Ms", "500"}});
    EXPECT_EQ(gate.calls().at(0).headers.at("Jacinthvale-Deadline-Ms"), "500");
}

TEST(requests, refusesRequestOnArrivalIfDeadlineCannotBeMet)
{
    single_gate gate({view("s1")});
    gate.post("/v1/services/pay", "warm up");
    gate.now += milliseconds{1000};
    gate.finish(gate.calls().at(0), transfer_outcome::complete, 200);
    const int limit = gate.state.upstreams.begin()->second.limiter.limit();
    for (int i = 0; i < 3 * limit; ++i) {
        gate.post("/v1/services/pay", "p");
    }
    gate.post("/v1/services/pay", "urgent", {{"Jacinthvale-Deadline-Ms", "1500"}});
    EXPECT_EQ(gate.effectsOf<reply_http>().at(0).status, 429);
    EXPECT_EQ(gate.replyVerdict(), "not-run");
    gate.setDefault("requests.maxQueued", 1);
    gate.post("/v1/services/pay", "one too many");
    EXPECT_EQ(gate.effectsOf<reply_http>().at(0).status, 429);
}

TEST(requests, cancelsStreamWhenCallerDisconnects)
{
    single_gate gate({view("e1", upstream_kind::engine)});
    gate.post("/v1/completions", R"({"model":"m","prompt":"p","stream":true})");
    const operation_id running = gate.calls().at(0).operation;
    gate.handle(http_exchange_abandoned{{gate.exchanges - 1}});
    ASSERT_EQ(gate.effectsOf<cancel_http>().size(), 1U);
    EXPECT_EQ(gate.effectsOf<cancel_http>().at(0).operation, running);
    EXPECT_EQ(gate.state.upstreams.begin()->second.limiter.inFlight(), 0);
    EXPECT_TRUE(gate.state.calls.empty());
}

TEST(requests, resumesBrokenStreamFromReceivedTokens)
{
    single_gate gate({view("e1", upstream_kind::engine), view("e2", upstream_kind::engine)});
    gate.post("/v1/completions", R"({"model":"m","prompt":"p","stream":true})");
    const call_http first = gate.calls().at(0);
    gate.handle(http_response_head{first.operation, 200, {}});
    gate.handle(http_response_chunk{
            first.operation, "data: {\"id\":\"x\",\"choices\":[{\"text\":\"ab\"}],\"tokens\":2}\n\ndata: "
                             "{\"id\":\"x\",\"cho"});
    EXPECT_EQ(gate.effectsOf<begin_reply>().size(), 1U);
    gate.finish(first, transfer_outcome::failed_after_send);
    const call_http second = gate.calls().at(0);
    EXPECT_NE(second.target, first.target);
    auto body = nlohmann::json::parse(second.body.str());
    EXPECT_EQ(body["resume_text"], "ab");
    EXPECT_EQ(body["resume_tokens"], 2);
}

TEST(requests, shutdownRefusesNewRequestsAndWaitsForRunningOnes)
{
    single_gate gate({view("s1")});
    gate.post("/v1/services/pay", "p");
    const call_http running = gate.calls().at(0);
    gate.handle(domain_event_raised{domain::membership, shutdown_started{}});
    EXPECT_TRUE(gate.effectsOf<raise_domain_event>().empty());
    gate.post("/v1/services/pay", "new");
    EXPECT_EQ(gate.replyVerdict(), "not-run");
    EXPECT_TRUE(gate.calls().empty());
    gate.finish(running, transfer_outcome::complete, 200);
    EXPECT_EQ(gate.replyVerdict(), "ran");
    EXPECT_EQ(gate.effectsOf<raise_domain_event>().size(), 1U);
}

TEST(requests, isolationRefusesOnlyNonRepeatableRequests)
{
    single_gate gate({view("s1")});
    gate.handle(domain_event_raised{domain::config, isolation_changed{true}});
    gate.post("/v1/services/pay", "p");
    EXPECT_EQ(gate.replyVerdict(), "not-run");
    EXPECT_TRUE(gate.calls().empty());
    gate.post("/v1/services/pay", "q", {{"Jacinthvale-Repeatable", "true"}});
    EXPECT_EQ(gate.calls().size(), 1U);
    gate.handle(domain_event_raised{domain::config, isolation_changed{false}});
    gate.post("/v1/services/pay", "r");
    EXPECT_EQ(gate.calls().size(), 1U);
}

TEST(requests, shutdownWaitsUntilTicketsAreRedeemedOrExpired)
{
    single_gate gate({view("s1")});
    gate.post("/v1/tickets", "");
    const auto ticket = nlohmann::json::parse(gate.effectsOf<reply_http>().at(0).body);
    gate.handle(domain_event_raised{domain::membership, shutdown_started{}});
    EXPECT_TRUE(gate.effectsOf<raise_domain_event>().empty());
    gate.post("/v1/services/pay", "p", {{"Jacinthvale-Ticket", ticket["ticket"].get<std::string>()}});
    EXPECT_EQ(gate.replyVerdict(), "not-run");
    EXPECT_EQ(gate.effectsOf<raise_domain_event>().size(), 1U);
}

TEST(claims, batchesClaimsAndConflictFailsOnlyItsClaim)
{
    claim_batcher batcher;
    for (const char *key : {"a", "b", "c"}) {
        batcher.add({key, 0, "v", false});
    }
    const auto first = batcher.nextTransaction(1, "w1");
    ASSERT_EQ(first->writes.size(), 3U);
    const auto decided = batcher.finishTransaction(1, store_conflict{{{"b", 9, "other", "row"}}, false});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.at(0).write.key, "b");
    EXPECT_EQ(batcher.nextTransaction(2, "w2")->writes.size(), 2U);
}

RC_GTEST_PROP(claims, encodingRoundTripsRecords, (const std::string &body, std::uint64_t number))
{
    const claim_record record{
            {number}, {"127.0.0.1", 80}, 3, 4, final_answer{201, "a/b", body, verdict::ran, 0}};
    RC_ASSERT(decodeClaim(encodeClaim(record)) == record);
}

RC_GTEST_PROP(claims, rejectsMalformedRecords, (const std::string &value))
{
    RC_ASSERT(!decodeClaim(value));
}

RC_GTEST_PROP(tickets, encodingRoundTripsTickets, (std::uint64_t number, std::uint64_t secret))
{
    const ticket_fields ticket{{"127.0.0.1", 9}, {number}, secret, number};
    RC_ASSERT(parseTicket(toString(ticket)) == ticket);
}
