// HTTP paths that every daemon answers itself, and the check of bearer tokens.
#include "daemon.h"

#include "json_tree.h"
#include "keyed_hash.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpTooLarge = 413;
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
const std::string kPrincipalHeader = "Jacinthvale-Principal";

/// Who may make a request.
enum class required_principal : std::uint8_t { anyone, operators, trainers };

required_principal requiredPrincipal(const http_request_received &request)
{
    if (request.path.starts_with("/v1/trainers")) {
        return required_principal::trainers;
    }
    const bool operators = request.path.starts_with("/v1/config") || request.path.starts_with("/v1/upstreams")
                           || request.path.starts_with("/v1/fleet");
    return operators && request.method != "GET" ? required_principal::operators : required_principal::anyone;
}

const principal *findPrincipal(const std::vector<principal> &known, const http_request_received &request)
{
    const auto header = request.headers.find("Authorization");
    if (header == request.headers.end() || !header->second.starts_with(kBearerPrefix)) {
        return nullptr;
    }
    const std::string hash = sha256Hex(header->second.substr(kBearerPrefix.size()));
    const auto found = std::ranges::find_if(
            known, [&](const principal &who) { return equalInConstantTime(who.tokenSha256, hash); });
    return found == known.end() ? nullptr : &*found;
}

std::string queryValue(const http_request_received &request, const std::string &key)
{
    const auto found = request.query.find(key);
    return found == request.query.end() ? std::string() : found->second;
}

} // namespace

void daemon::onRequest(http_request_received request)
{
    if (answerBuiltIn(request) || !authorize(request)) {
        return;
    }
    // Bodies for plain services go on unread.
    if (!request.path.starts_with(kServicePrefix)
        && !fitsAsTree(request.body, treeBytesFor(static_cast<double>(m_settings.memoryMb)))) {
        answer(request.exchange, kHttpTooLarge,
               toJson(request_error{kHttpTooLarge, "document-too-large",
                                    "The values of the document take more memory than there is.",
                                    verdict::not_run, 0}));
        return;
    }
    post(std::move(request));
}

bool daemon::answerBuiltIn(const http_request_received &request)
{
    if (request.path == "/healthz") {
        answer(request.exchange, kHttpOk, R"({"healthy":true})");
    } else if (request.path == "/readyz") {
        const bool ready = m_notReady.empty() && !m_stopRequested;
        const std::string reason = m_stopRequested ? "stopping" : (ready ? "" : m_notReady.begin()->second);
        answer(request.exchange, ready ? kHttpOk : kHttpUnavailable,
               nlohmann::json{{"ready", ready}, {"reason", reason}}.dump());
    } else if (request.path == "/metrics") {
        answer(request.exchange, kHttpOk, renderMetrics(), "text/plain; version=0.0.4");
    } else if (request.path == "/v1/status") {
        answer(request.exchange, kHttpOk, renderStatus());
    } else if (request.path == "/v1/timeline") {
        answer(request.exchange, kHttpOk, renderTimeline(request));
    } else {
        return false;
    }
    return true;
}

bool daemon::authorize(http_request_received &request)
{
    request.headers.erase(kPrincipalHeader);
    const required_principal required = requiredPrincipal(request);
    if (required == required_principal::anyone) {
        return true;
    }
    const auto &known
            = required == required_principal::operators ? m_settings.operators : m_settings.trainers;
    const principal *who = findPrincipal(known, request);
    if (who == nullptr) {
        m_metrics.count("http_unauthorized_total", 1);
        answer(request.exchange, kHttpUnauthorized,
               toJson(request_error{kHttpUnauthorized, "unauthorized",
                                    "A known bearer token is required for this path.", verdict::not_run, 0}));
        return false;
    }
    request.headers[kPrincipalHeader] = who->name;
    return true;
}

std::string daemon::renderMetrics()
{
    m_metrics.setGauge("connections", static_cast<double>(m_guard.connections()));
    m_metrics.setGauge("connection_bytes", static_cast<double>(m_guard.usedBytes()));
    return m_metrics.render();
}

std::string daemon::renderStatus()
{
    const context at = makeContext();
    const process_identity &self = m_settings.identity;
    const nlohmann::json status = {
            {"host", self.host.value},
            {"role", toString(self.role)},
            {"deployment", self.deployment.value},
            {"availabilityZone", self.availabilityZone.value},
            {"incarnation", self.incarnation.value},
            {"stopping", m_stopRequested},
            {"requests", nlohmann::json::parse(describeRequests(m_state.requests, at))},
            {"samples", nlohmann::json::parse(describeSamples(m_state.samples, at))},
            {"fleet", nlohmann::json::parse(describeFleet(m_state.fleet, at))},
            {"config", nlohmann::json::parse(describeConfig(m_state.config, at))},
            {"membership", nlohmann::json::parse(describeMembership(m_state.membership, at))},
    };
    return status.dump();
}

std::string daemon::renderTimeline(const http_request_received &request) const
{
    std::uint64_t after = 0;
    if (!absl::SimpleAtoi(queryValue(request, "after"), &after)) {
        after = 0;
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const timeline_entry &entry : m_timeline.read(after, queryValue(request, "id"))) {
        entries.push_back(nlohmann::json::parse(toJson(entry)));
    }
    return nlohmann::json{{"host", m_settings.identity.host.value},
                          {"incarnation", m_settings.identity.incarnation.value},
                          {"lost", m_timeline.droppedAfter(after)},
                          {"lastSequence", m_timeline.lastSequence()},
                          {"entries", std::move(entries)}}
            .dump();
}

void daemon::answer(exchange_id exchange, int status, const std::string &body, const std::string &contentType)
{
    m_server->reply({exchange, status, {{"Content-Type", contentType}}, body});
}

} // namespace jacinthvale
