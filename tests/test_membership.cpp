// Gossip facts, and the membership reducer over simulated time.
#include <gtest/gtest.h>
#include <jacinthvale/membership.h>
#include <jacinthvale/peer_codec.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>

using namespace jacinthvale;

namespace {

const upstream_id kEngine{"engine-0"};

upstream_observed report(std::uint64_t incarnation, std::uint64_t epoch, std::uint64_t sequence, bool leaving)
{
    upstream_observed seen;
    seen.upstream = kEngine;
    seen.incarnation = {incarnation};
    seen.order = {{epoch}, sequence};
    seen.draining = leaving;
    seen.models = {{{"assessment"}, {sequence}, true}};
    return seen;
}

rc::Gen<upstream_observed> anyReport()
{
    return rc::gen::apply(report, rc::gen::inRange<std::uint64_t>(1, 4),
                          rc::gen::inRange<std::uint64_t>(1, 4), rc::gen::inRange<std::uint64_t>(1, 20),
                          rc::gen::weightedElement<bool>({{4, false}, {1, true}}));
}

nlohmann::json hostEntry(const std::string &host, const std::string &role, int port,
                         std::uint64_t incarnation, const std::string &state)
{
    return {{"host", host},
            {"role", role},
            {"service", ""},
            {"http", "127.0.0.1:" + std::to_string(port)},
            {"peer", "127.0.0.1:" + std::to_string(port)},
            {"availabilityZone", "delta-a"},
            {"incarnation", incarnation},
            {"state", state},
            {"checksFencing", true}};
}

std::string hostList(const std::string &state, std::uint64_t incarnation, std::size_t daemons = 0)
{
    nlohmann::json hosts = nlohmann::json::array();
    hosts.push_back(hostEntry(kEngine.value, "engine", 9000, incarnation, state));
    for (std::size_t i = 0; i < daemons; ++i) {
        hosts.push_back(
                hostEntry("h" + std::to_string(i), "gate", static_cast<int>(3000 + i), i + 1, "live"));
    }
    return nlohmann::json{{"hosts", hosts}}.dump();
}

/// One daemon without sockets; it keeps what it told about the engine.
struct simulated_daemon
{
    membership_state state;
    upstream_view told;
    bool everTold = false;
    /// Entries of the host list that it recorded as unreadable.
    std::vector<std::string> unreadableHosts;
};

/// Daemons whose datagrams arrive one tick later, or never.
class simulated_network
{
public:
    simulated_network(std::size_t size, int lossPercent)
        : m_daemons(size)
        , m_lossPercent(lossPercent)
    {
        for (std::size_t i = 0; i < size; ++i) {
            process_identity &self = m_daemons[i].state.self;
            self.host = {"h" + std::to_string(i)};
            self.incarnation = {i + 1};
            self.http = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            self.peer = {"127.0.0.1", static_cast<std::uint16_t>(3000 + i)};
        }
    }

    simulated_daemon &at(std::size_t i) { return m_daemons[i]; }

    context makeContext() { return {m_now, wall_time{}, m_random = mixRandom(m_random, 1)}; }

    void deliver(std::size_t i, const event &what)
    {
        for (const effect &one : reduceMembership(m_daemons[i].state, what, makeContext())) {
            perform(i, one);
        }
    }

    void giveList(std::size_t i, const std::string &body)
    {
        if (!m_daemons[i].state.hostList.call) {
            m_daemons[i].state.hostList.call
                    = operation_id{domain::membership, ++m_daemons[i].state.lastOperation};
        }
        http_call_finished list;
        list.operation = *m_daemons[i].state.hostList.call;
        list.status = 200;
        list.body = body;
        deliver(i, list);
    }

    void passTick()
    {
        m_now += kTickPeriod;
        std::deque<std::pair<std::size_t, peer_message_received>> arriving;
        arriving.swap(m_onTheWay);
        for (auto &[target, message] : arriving) {
            deliver(target, message);
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            deliver(i, tick{});
        }
    }

    bool allTold(upstream_condition condition) const
    {
        return std::ranges::all_of(m_daemons, [&](const simulated_daemon &one) {
            return one.everTold && one.told.condition == condition;
        });
    }

    milliseconds now() const { return m_now.time_since_epoch(); }
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    void perform(std::size_t from, const effect &what)
    {
        if (const auto *raised = std::get_if<raise_domain_event>(&what)) {
            if (const auto *changed = std::get_if<upstream_changed>(&raised->payload)) {
                m_daemons[from].told = changed->view;
                m_daemons[from].everTold = true;
            }
        } else if (const auto *sent = std::get_if<send_peer>(&what)) {
            send(from, *sent);
        } else if (const auto *entry = std::get_if<record_entry>(&what);
                   entry != nullptr && entry->eventName == "host-unreadable") {
            m_daemons[from].unreadableHosts.push_back(entry->subject);
        }
    }

    void send(std::size_t from, const send_peer &message)
    {
        m_sentBytes += message.payload.size();
        EXPECT_LE(message.payload.size(), kMaxDatagramPayload);
        m_random = mixRandom(m_random, 2);
        if (static_cast<int>(m_random % 100) < m_lossPercent) {
            return;
        }
        const process_identity &self = m_daemons[from].state.self;
        m_onTheWay.emplace_back(message.target.port - 3000U,
                                peer_message_received{domain::membership, self.host, self.incarnation,
                                                      self.peer, message.payload});
    }

    std::vector<simulated_daemon> m_daemons;
    std::deque<std::pair<std::size_t, peer_message_received>> m_onTheWay;
    int m_lossPercent;
    instant m_now{milliseconds{1}};
    std::uint64_t m_random = 7;
    std::size_t m_sentBytes = 0;
};

} // namespace

RC_GTEST_PROP(membership, factsDoNotDependOnTheOrderOfMessages, ())
{
    std::vector<upstream_observed> reports = *rc::gen::container<std::vector<upstream_observed>>(anyReport());
    // An order names one observation only.
    std::map<observation_order, upstream_observed> unique;
    for (const upstream_observed &one : reports) {
        unique.emplace(one.order, one);
    }
    gossip_facts forward;
    gossip_facts backward;
    for (const auto &[order, one] : unique) {
        forward.merge(one);
    }
    for (auto one = unique.rbegin(); one != unique.rend(); ++one) {
        backward.merge(one->second);
        backward.merge(one->second);
    }
    if (!unique.empty()) {
        RC_ASSERT(*forward.find(kEngine) == unique.rbegin()->second);
        RC_ASSERT(*backward.find(kEngine) == unique.rbegin()->second);
    }
    for (std::uint64_t i = 1; i < 4; ++i) {
        const bool left = std::ranges::any_of(
                unique, [&](const auto &e) { return e.second.draining && e.second.incarnation.value == i; });
        RC_ASSERT(left == forward.isLeaving(kEngine, {i}));
        RC_ASSERT(left == backward.isLeaving(kEngine, {i}));
    }
}

RC_GTEST_PROP(membership, leavingIsNeverUndoneForAnIncarnation, ())
{
    simulated_network one(1, 0);
    one.giveList(0, hostList("live", 1));
    std::set<std::uint64_t> left;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    std::uint64_t sequence = 0;
    for (const int step : steps) {
        const std::uint64_t incarnation = *rc::gen::inRange<std::uint64_t>(1, 3);
        const std::uint64_t current = one.at(0).told.incarnation.value;
        switch (step) {
        case 0:
            one.giveList(0, hostList("live", incarnation));
            break;
        case 1:
            one.giveList(0, hostList("leaving", incarnation));
            left.insert(incarnation);
            break;
        case 2:
            one.deliver(0, domain_event_raised{domain::fleet, drain_requested{kEngine, "op", "disk"}});
            left.insert(current);
            break;
        default:
            one.deliver(0, domain_event_raised{domain::fleet, report(incarnation, 1, ++sequence, false)});
            one.passTick();
        }
        const upstream_view &told = one.at(0).told;
        RC_ASSERT(!left.contains(told.incarnation.value) || told.condition == upstream_condition::draining);
    }
}

RC_GTEST_PROP(membership, decoderSurvivesMutatedBytes, (std::size_t where, std::uint8_t change, bool cut))
{
    gossip_message message;
    message.header.role = "gate";
    message.marks = {{kEngine, {1}}};
    message.reports = {report(1, 1, 1, true)};
    std::string bytes = encodeGossip(message);
    RC_ASSERT(*decodeGossip(bytes) == message);
    bytes[where % bytes.size()] = static_cast<char>(bytes[where % bytes.size()] ^ change);
    static_cast<void>(decodeGossip(bytes));
    if (cut) {
        RC_ASSERT(!decodeGossip(bytes.substr(0, where % bytes.size())).ok());
    }
}

TEST(membership, oldObservationDoesNotReplaceANewIncarnation)
{
    simulated_network one(1, 0);
    one.giveList(0, hostList("live", 1));
    one.deliver(0, domain_event_raised{domain::fleet, report(2, 5, 1, false)});
    one.giveList(0, hostList("live", 1));
    EXPECT_EQ(one.at(0).told.incarnation.value, 2U);
    gossip_message old;
    old.header.role = "fleet";
    old.reports = {report(1, 4, 900, false)};
    one.deliver(
            0, peer_message_received{domain::membership, {"x"}, {9}, {"127.0.0.1", 3001}, encodeGossip(old)});
    EXPECT_EQ(one.at(0).told.incarnation.value, 2U);
}

TEST(membership, leavingReachesEveryDaemonInThreeSecondsAlthoughTheListLags)
{
    constexpr std::size_t kDaemons = 60;
    simulated_network all(kDaemons, 20);
    for (std::size_t i = 0; i < kDaemons; ++i) {
        all.giveList(i, hostList("live", 1, kDaemons));
    }
    for (int i = 0; i < 100; ++i) {
        all.passTick();
    }
    const milliseconds before = all.now();
    all.deliver(0, domain_event_raised{domain::fleet, drain_requested{kEngine, "op", "disk"}});
    while (!all.allTold(upstream_condition::draining) && all.now() < before + milliseconds{10'000}) {
        all.passTick();
    }
    EXPECT_LE((all.now() - before).count(), 3000);
    RecordProperty("milliseconds", static_cast<int>((all.now() - before).count()));
    for (std::size_t i = 0; i < kDaemons; ++i) {
        all.giveList(i, hostList("live", 1, kDaemons));
    }
    EXPECT_TRUE(all.allTold(upstream_condition::draining));
}

TEST(membership, readsOnlyWellFormedHosts)
{
    EXPECT_FALSE(parseHostList("{").has_value());
    EXPECT_FALSE(parseHostList(R"({"hosts": 3})").has_value());
    const nlohmann::json unknownRole = hostEntry("b", "x", 9001, 1, "live");
    const nlohmann::json hosts = {3, hostEntry("a", "engine", 9000, 1, "live"), unknownRole};
    const auto list = parseHostList(nlohmann::json{{"hosts", hosts}}.dump());
    ASSERT_TRUE(list.has_value());
    ASSERT_EQ(list->hosts.size(), 1U);
    EXPECT_EQ(list->hosts.front().host, "a");
    EXPECT_EQ(list->unreadable, (std::vector<unreadable_host>{{"", ""}, {"b", "role"}}));
    EXPECT_FALSE(parseUpstreamStatus("{}").has_value());
}

// Guards against an entry of the host list that is used although one of its fields is missing.
TEST(membership, usesNoHostWithoutARequiredField)
{
    const nlohmann::json whole = hostEntry("a", "engine", 9000, 1, "live");
    for (const auto &[field, unused] : whole.items()) {
        const bool isRequired = field != "checksFencing";
        nlohmann::json odd = whole;
        odd.erase(field);
        const auto without = parseHostList(nlohmann::json{{"hosts", nlohmann::json::array({odd})}}.dump());
        EXPECT_EQ(without->hosts.empty(), isRequired) << field;
        for (const nlohmann::json &value :
             {nlohmann::json(), nlohmann::json(-1), nlohmann::json::array({"a"})}) {
            odd[field] = value;
            const auto list = parseHostList(nlohmann::json{{"hosts", nlohmann::json::array({odd})}}.dump());
            EXPECT_TRUE(list->hosts.empty()) << odd.dump();
            ASSERT_EQ(list->unreadable.size(), 1U) << odd.dump();
            EXPECT_EQ(list->unreadable.front().field, field);
        }
    }
    nlohmann::json odd = whole;
    odd["state"] = "resting";
    EXPECT_TRUE(parseHostList(nlohmann::json{{"hosts", nlohmann::json::array({odd})}}.dump())->hosts.empty());
    nlohmann::json newer = whole;
    newer["rack"] = 7;
    EXPECT_EQ(parseHostList(nlohmann::json{{"hosts", nlohmann::json::array({newer})}}.dump())->hosts.size(),
              1U);
}

// Guards against an entry that nobody notices, and against one that fills the time line with each list.
TEST(membership, recordsAHostThatCannotBeReadOnce)
{
    simulated_network one(1, 0);
    nlohmann::json odd = hostEntry("b", "engine", 9001, 1, "live");
    odd.erase("availabilityZone");
    const auto listOf = [](const nlohmann::json &entry) {
        return nlohmann::json{{"hosts", nlohmann::json::array({entry})}}.dump();
    };
    for (int i = 0; i < 3; ++i) {
        one.giveList(0, listOf(odd));
    }
    EXPECT_EQ(one.at(0).unreadableHosts, (std::vector<std::string>{"b"}));
    EXPECT_FALSE(one.at(0).everTold);
    one.giveList(0, listOf(hostEntry("b", "engine", 9001, 1, "live")));
    EXPECT_TRUE(one.at(0).everTold);
    one.giveList(0, listOf(odd));
    EXPECT_EQ(one.at(0).unreadableHosts.size(), 2U);
}

// Guards against a status without its number of loads, or of work, that counts as one of zero.
TEST(membership, takesNoStatusWithoutARequiredField)
{
    const nlohmann::json whole
            = {{"incarnation", 1}, {"swapCounter", 2}, {"running", 3},
               {"queued", 4},      {"leaving", false}, {"models", nlohmann::json::array()}};
    EXPECT_TRUE(parseUpstreamStatus(whole.dump()).has_value());
    for (const auto &[field, unused] : whole.items()) {
        nlohmann::json odd = whole;
        odd.erase(field);
        EXPECT_FALSE(parseUpstreamStatus(odd.dump()).has_value()) << field;
        for (const nlohmann::json &value : {nlohmann::json(), nlohmann::json(-1), nlohmann::json("1")}) {
            odd[field] = value;
            EXPECT_FALSE(parseUpstreamStatus(odd.dump()).has_value()) << odd.dump();
        }
    }
}

TEST(membership, keepsToItsBudgetOfBytesWhileEveryLoadChanges)
{
    constexpr int kUpstreams = 600;
    constexpr std::size_t kPeers = 20;
    constexpr int kSeconds = 60;
    constexpr std::size_t kTicksPerSecond = 10;
    // Half of the 30 kB a second that a daemon may move: as much comes in as goes out.
    constexpr std::size_t kMaxBytesPerSecond = 15'000;
    constexpr int kAllLost = 100;
    simulated_network net(1, kAllLost);
    auto hosts = nlohmann::json::parse(hostList("live", 1, kPeers));
    for (int i = 0; i < kUpstreams; ++i) {
        hosts["hosts"].push_back(hostEntry("e" + std::to_string(i), "engine", 10'000 + i, 1, "live"));
    }
    net.giveList(0, hosts.dump());
    for (std::uint64_t second = 1; second <= kSeconds; ++second) {
        for (int i = 0; i < kUpstreams; ++i) {
            upstream_observed seen = report(1, 1, second, false);
            seen.upstream = {"e" + std::to_string(i)};
            seen.models = {{{"assessment"}, {1}, true}};
            seen.running = second % 2 == 0 ? 0 : 100;
            net.deliver(0, domain_event_raised{domain::fleet, seen});
        }
        for (std::size_t i = 0; i < kTicksPerSecond; ++i) {
            net.passTick();
        }
    }
    EXPECT_LE(net.sentBytes(), kSeconds * kMaxBytesPerSecond);
}
