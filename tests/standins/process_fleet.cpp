#include "process_harness.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <openssl/evp.h>

namespace jacinthvale::testing {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kTrainers = 6;
const std::string kOperatorToken = "token-of-the-operator";
const std::string kFleetKey = "key-of-this-test-fleet";

std::string roleName(fleet_role role)
{
    switch (role) {
    case fleet_role::engine:
        return "engine";
    case fleet_role::service:
        return "service";
    case fleet_role::scorer:
        return "scorer";
    case fleet_role::gate:
        return "gate";
    case fleet_role::rollout:
        return "rollout";
    case fleet_role::fleet:
        return "fleet";
    }
    return {};
}

bool isDaemon(fleet_role role)
{
    return role == fleet_role::gate || role == fleet_role::rollout || role == fleet_role::fleet;
}

std::string tokenOf(const std::string &trainer)
{
    return "token-of-" + trainer;
}

json trainerPrincipals()
{
    json list = json::array();
    for (int i = 0; i < kTrainers; ++i) {
        const std::string name = absl::StrCat("trainer-", i);
        list.push_back({{"name", name}, {"tokenSha256", sha256Digits(tokenOf(name))}});
    }
    return list;
}

} // namespace

std::string sha256Digits(const std::string &text)
{
    std::string digest(EVP_MAX_MD_SIZE, '\0');
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), reinterpret_cast<unsigned char *>(digest.data()), &size,
               EVP_sha256(), nullptr);
    std::string digits;
    for (unsigned int i = 0; i < size; ++i) {
        absl::StrAppend(&digits, absl::Hex(static_cast<unsigned char>(digest[i]), absl::kZeroPad2));
    }
    return digits;
}

fleet::fleet(fleet_shape shape)
    : m_shape(std::move(shape))
{
    m_started = startPlatform() && startAll(fleet_role::engine, m_shape.engines)
                && startAll(fleet_role::service, m_shape.services)
                && startAll(fleet_role::scorer, m_shape.scorers) && startAll(fleet_role::gate, m_shape.gates)
                && startAll(fleet_role::rollout, m_shape.rollouts)
                && startAll(fleet_role::fleet, m_shape.fleets);
    if (m_started) {
        publishHosts();
    }
}

bool fleet::startPlatform()
{
    m_platform = std::make_unique<child_process>("standin_platform", m_shape.platformOptions,
                                                 m_folder.path() / "platform.out");
    return m_platform->waitForAddresses();
}

bool fleet::startAll(fleet_role role, int count)
{
    const std::size_t first = m_members.size();
    for (int i = 0; i < count; ++i) {
        auto next = std::make_unique<fleet_member>();
        next->host = absl::StrCat(roleName(role), "-", i);
        next->role = role;
        next->zone = m_shape.zones.at(static_cast<std::size_t>(i) % m_shape.zones.size());
        m_members.push_back(std::move(next));
    }
    return std::all_of(m_members.begin() + static_cast<std::ptrdiff_t>(first), m_members.end(),
                       [this](const auto &next) { return launch(*next); });
}

bool fleet::launch(fleet_member &member)
{
    const std::string binary = (isDaemon(member.role) ? "jv" : "standin_") + roleName(member.role);
    const std::string output = absl::StrCat(member.host, "-", ++m_startedProcesses, ".out");
    member.process = std::make_unique<child_process>(binary, argumentsOf(member), m_folder.path() / output);
    if (!member.process->waitForAddresses()) {
        return false;
    }
    member.incarnation = isDaemon(member.role)
                                 ? status(*member.process).value("incarnation", std::uint64_t{0})
                                 : member.process->incarnation();
    return true;
}

std::vector<std::string> fleet::argumentsOf(const fleet_member &member)
{
    switch (member.role) {
    case fleet_role::engine: {
        std::vector<std::string> arguments = {"--platform", toString(m_platform->http())};
        arguments.insert(arguments.end(), m_shape.engineOptions.begin(), m_shape.engineOptions.end());
        return arguments;
    }
    case fleet_role::service:
        return m_shape.serviceOptions;
    case fleet_role::scorer:
        return m_shape.scorerOptions;
    default:
        return {"--settings", writeSettings(member).string()};
    }
}

std::filesystem::path fleet::writeSettings(const fleet_member &member)
{
    json seeds = json::array();
    for (const fleet_member *other : daemons()) {
        if (other->process != nullptr && other != &member && !other->process->peer().empty()) {
            seeds.push_back(toString(other->process->peer()));
        }
    }
    json settings = {{"deployment", m_shape.deployment},
                     {"host", member.host},
                     {"availabilityZone", member.zone},
                     {"httpAddress", "127.0.0.1:0"},
                     {"peerAddress", "127.0.0.1:0"},
                     {"platformAddress", toString(m_platform->http())},
                     {"seeds", seeds},
                     {"fleetKey", kFleetKey},
                     {"operators",
                      json::array({{{"name", "operator"}, {"tokenSha256", sha256Digits(kOperatorToken)}}})},
                     {"trainers", trainerPrincipals()},
                     {"balancerGraceMs", 0}};
    settings.update(m_shape.daemonSettings);
    return m_folder.write(member.host + ".json", settings.dump(2));
}

fleet_member &fleet::member(fleet_role role, std::size_t i)
{
    std::size_t seen = 0;
    const auto found = std::ranges::find_if(
            m_members, [&](const auto &one) { return one->role == role && seen++ == i; });
    return **found;
}

std::vector<fleet_member *> fleet::daemons()
{
    std::vector<fleet_member *> result;
    for (const auto &one : m_members) {
        if (isDaemon(one->role)) {
            result.push_back(one.get());
        }
    }
    return result;
}

json fleet::hostEntry(const fleet_member &member) const
{
    const bool engine = member.role == fleet_role::engine;
    const bool checksFencing
            = engine
              && std::ranges::find(m_shape.engineOptions, "--checks-fencing") != m_shape.engineOptions.end();
    return {{"host", member.host},
            {"role", roleName(member.role)},
            {"service", member.role == fleet_role::service ? m_shape.serviceName : ""},
            {"http", toString(member.process->http())},
            {"peer", isDaemon(member.role) ? toString(member.process->peer()) : ""},
            {"availabilityZone", member.zone},
            {"incarnation", member.incarnation},
            {"state", member.state},
            {"checksFencing", checksFencing}};
}

void fleet::publishHosts()
{
    json hosts = m_shape.otherHosts;
    for (const auto &one : m_members) {
        hosts.push_back(hostEntry(*one));
    }
    m_client.post(m_platform->control(), "/hosts", {{"hosts", hosts}});
}

bool fleet::replace(fleet_role role, std::size_t i)
{
    fleet_member &old = member(role, i);
    old.process->signal(SIGKILL);
    old.process->wait();
    old.state = "live";
    const bool started = launch(old);
    publishHosts();
    return started;
}

fleet_member *fleet::add(fleet_role role)
{
    const auto count = std::ranges::count_if(m_members, [&](const auto &one) { return one->role == role; });
    auto next = std::make_unique<fleet_member>();
    next->host = absl::StrCat(roleName(role), "-", count);
    next->role = role;
    next->zone = m_shape.zones.at(static_cast<std::size_t>(count) % m_shape.zones.size());
    m_members.push_back(std::move(next));
    if (!launch(*m_members.back())) {
        m_members.pop_back();
        return nullptr;
    }
    publishHosts();
    return m_members.back().get();
}

bool fleet::fault(const child_process &standin, const json &what)
{
    return m_client.post(standin.control(), "/fault", what).status == kHttpOk;
}

json fleet::counters(const child_process &standin)
{
    return m_client.get(standin.control(), "/counters").json();
}

json fleet::status(const child_process &daemon)
{
    return m_client.get(daemon.http(), "/v1/status").json();
}

bool fleet::ready(const child_process &daemon)
{
    return m_client.get(daemon.http(), "/readyz").status == kHttpOk;
}

bool fleet::waitReady()
{
    return waitUntil([this] {
        return std::ranges::all_of(daemons(),
                                   [this](const fleet_member *one) { return ready(*one->process); });
    });
}

http_headers fleet::operatorHeaders() const
{
    return {{"Authorization", "Bearer " + kOperatorToken}};
}

http_headers fleet::trainerHeaders(const std::string &trainer) const
{
    return {{"Authorization", "Bearer " + tokenOf(trainer)}};
}

} // namespace jacinthvale::testing
