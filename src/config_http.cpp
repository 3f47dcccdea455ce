// Operators' calls to the configuration domain, and its part of the status.
#include "config_domain.h"
#include "config_json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpUnavailable = 503;
constexpr int kRetryAfterSeconds = 2;
constexpr std::uint64_t kDefaultHistory = 20;
constexpr std::uint64_t kMaxHistory = 1000;
const std::string kConfigPath = "/v1/config";
const std::string kChangesPath = "/v1/config/changes";
const std::string kRevisionsPath = "/v1/config/revisions/";

std::string queryText(const http_request_received &request, const std::string &key)
{
    const auto found = request.query.find(key);
    return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t queryNumber(const http_request_received &request, const std::string &key,
                          std::uint64_t fallback)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(queryText(request, key), &value) ? value : fallback;
}

json keysToJson()
{
    json keys = json::array();
    for (const config_key &key : configKeys()) {
        keys.push_back({{"key", key.name},
                        {"builtIn", toJson(key.builtIn)},
                        {"minimum", key.minimum},
                        {"maximum", key.maximum},
                        {"unit", key.unit},
                        {"meaning", key.meaning}});
    }
    return keys;
}

/// A row of the history: the document without its content.
json summarize(const store_row &row)
{
    const auto document = decodeDocument(row.value);
    if (!document.ok()) {
        return {{"row", row.key}, {"unreadable", std::string(document.status().message())}};
    }
    json summary = toJson(*document);
    summary.erase("defaults");
    summary.erase("exceptions");
    return summary;
}

json historyToJson(const std::vector<store_row> &rows)
{
    json list = json::array();
    std::ranges::transform(rows, std::back_inserter(list), summarize);
    return {{"revisions", std::move(list)}};
}

/// Names of the alive peers that do, or do not, have at least this revision in force.
json peersByConfirmation(const config_state &state, config_revision revision, bool confirmed)
{
    json names = json::array();
    for (const auto &[where, peer] : state.peers) {
        if (peer.alive && (peer.revision.value_or(config_revision{}) >= revision) == confirmed) {
            names.push_back(peer.name);
        }
    }
    return names;
}

json peersToJson(const config_state &state)
{
    json peers = json::array();
    for (const auto &[where, peer] : state.peers) {
        peers.push_back({{"peer", toString(where)},
                         {"name", peer.name},
                         {"alive", peer.alive},
                         {"revision", peer.revision ? json(peer.revision->value) : json(nullptr)}});
    }
    return peers;
}

json statusToJson(const config_state &state, const context &at)
{
    return {{"revision", state.inForce->revision.value},
            {"hash", state.inForce->hash},
            {"changeId", state.inForce->changeId},
            {"ready", state.hasDocument},
            {"problem", toString(state.problem)},
            {"highestSeen", std::max(state.highestSeen, state.inForce->revision).value},
            {"isolated", state.isolated},
            {"storeHeardMsAgo", (at.now - state.storeHeardAt).count()},
            {"peerHeardMsAgo", (at.now - state.peerHeardAt).count()},
            {"peers", peersToJson(state)}};
}

} // namespace

std::string describeConfig(const config_state &state, const context &at)
{
    return dumpJson(statusToJson(state, at));
}

void config_domain::onRequest(const http_request_received &request)
{
    const bool isPost = request.method == "POST";
    if (isPost && request.path == kChangesPath) {
        startChange(request, false);
    } else if (isPost && request.path == "/v1/config/repair") {
        startChange(request, true);
    } else if (request.method == "GET") {
        onGet(request);
    } else {
        replyRefusal(request.exchange,
                     {kHttpMethodNotAllowed, "refused", "method-not-allowed", "Use GET or POST."}, "");
    }
}

void config_domain::onGet(const http_request_received &request)
{
    const std::string &path = request.path;
    if (path == kConfigPath) {
        reply(request.exchange, kHttpOk, toJson(*m_state.inForce));
    } else if (path == "/v1/config/status") {
        reply(request.exchange, kHttpOk, statusToJson(m_state, m_at));
    } else if (path == "/v1/config/keys") {
        reply(request.exchange, kHttpOk, {{"keys", keysToJson()}});
    } else if (path == "/v1/config/explain") {
        explainKey(request);
    } else if (path == "/v1/config/history") {
        const std::uint64_t limit = std::min(queryNumber(request, "limit", kDefaultHistory), kMaxHistory);
        const std::uint64_t newest = m_state.inForce->revision.value;
        const std::uint64_t after = queryNumber(request, "after", newest > limit ? newest - limit : 0);
        ask(request.exchange, config_question::kind::history,
            store_scan{kConfigRevisionPrefix, revisionKey({after}), static_cast<int>(limit)});
    } else if (path.starts_with(kChangesPath + "/")) {
        ask(request.exchange, config_question::kind::change,
            store_get{changeKey(path.substr(kChangesPath.size() + 1))});
    } else if (std::uint64_t number = 0; path.starts_with(kRevisionsPath)
                                         && absl::SimpleAtoi(path.substr(kRevisionsPath.size()), &number)) {
        ask(request.exchange, config_question::kind::revision, store_get{revisionKey({number})});
    } else {
        replyRefusal(request.exchange, {kHttpNotFound, "refused", "no-such-path", "No such path."}, "");
    }
}

void config_domain::explainKey(const http_request_received &request)
{
    const std::string key = queryText(request, "key");
    if (findConfigKey(key) == nullptr) {
        replyRefusal(request.exchange,
                     {kHttpBadRequest, "refused", "unknown-key", "\"" + key + "\" is not a known key."}, "");
        return;
    }
    const config_scope scope{queryText(request, "deployment"), queryText(request, "availabilityZone"),
                             queryText(request, "upstream"), queryText(request, "trainer"),
                             queryText(request, "callerClass")};
    const config_explanation why = explain(*m_state.inForce, key, scope, m_at.wallNow);
    json passedOver = json::array();
    for (const config_passed_over &other : why.passedOver) {
        passedOver.push_back({{"rule", toJson(other.rule)}, {"because", other.because}});
    }
    json answer = {{"key", key},
                   {"scope", toJson(scope)},
                   {"value", toJson(why.value)},
                   {"decidedBy", toString(why.decidedBy)},
                   {"revision", m_state.inForce->revision.value},
                   {"passedOver", std::move(passedOver)}};
    if (why.rule) {
        answer["rule"] = toJson(*why.rule);
    }
    reply(request.exchange, kHttpOk, answer);
}

void config_domain::ask(exchange_id exchange, config_question::kind kind, store_operation what)
{
    callStore(config_question{exchange, kind}, std::move(what), kConfigReadDeadline);
}

void config_domain::onQuestionAnswered(const config_question &question, const store_outcome &outcome)
{
    const auto *found = std::get_if<store_rows>(&outcome);
    if (found == nullptr) {
        replyRefusal(question.exchange,
                     {kHttpUnavailable, "unknown", "store-unavailable", "The store does not answer."}, "");
        return;
    }
    if (question.what == config_question::kind::history) {
        reply(question.exchange, kHttpOk, historyToJson(found->rows));
        return;
    }
    if (found->rows.empty()) {
        reply(question.exchange, kHttpNotFound,
              {{"result", "not-found"}, {"inForce", m_state.inForce->revision.value}});
        return;
    }
    const store_row &row = found->rows.front();
    if (question.what == config_question::kind::revision) {
        const auto document = decodeDocument(row.value);
        reply(question.exchange, document.ok() ? kHttpOk : kHttpUnavailable,
              document.ok() ? toJson(*document) : json{{"result", "unreadable"}, {"row", row.key}});
        return;
    }
    const auto change = decodeChangeRow(row.value);
    replyAccepted(question.exchange, row.key.substr(kConfigChangePrefix.size()),
                  change.ok() ? change->revision : config_revision{});
}

void config_domain::reply(exchange_id exchange, int status, const json &body)
{
    m_out.emplace_back(reply_http{exchange, status, {{"Content-Type", "application/json"}}, dumpJson(body)});
}

void config_domain::replyAccepted(exchange_id exchange, const std::string &changeId, config_revision revision)
{
    reply(exchange, kHttpOk,
          {{"result", "accepted"},
           {"changeId", changeId},
           {"revision", revision.value},
           {"inForce", m_state.inForce->revision.value},
           {"confirmed", peersByConfirmation(m_state, revision, true)},
           {"unconfirmed", peersByConfirmation(m_state, revision, false)}});
}

void config_domain::replyRefusal(exchange_id exchange, const config_refusal &refusal,
                                 const std::string &changeId, const std::vector<config_fault> &faults)
{
    json body = {
            {"result", refusal.result},
            {"changeId", changeId},
            {"inForce", m_state.inForce->revision.value},
            {"error", {{"code", refusal.code}, {"message", refusal.message}, {"verdict", refusal.verdict}}}};
    if (!faults.empty()) {
        body["faults"] = toJson(faults);
    }
    http_headers headers
            = {{"Content-Type", "application/json"}, {"Jacinthvale-Verdict", std::string(refusal.verdict)}};
    if (refusal.status == kHttpUnavailable) {
        headers["Retry-After"] = absl::StrCat(kRetryAfterSeconds);
    }
    m_out.emplace_back(reply_http{exchange, refusal.status, std::move(headers), dumpJson(body)});
    m_out.emplace_back(
            count_metric{absl::StrCat("config_refusals_total{code=\"", std::string(refusal.code), "\"}"), 1});
    record("config-refused", changeId, absl::StrCat(std::string(refusal.code), ": ", refusal.message));
}

void config_domain::answerConfirmed()
{
    std::vector<config_confirmation_wait> ended;
    std::erase_if(m_state.waits, [&](const config_confirmation_wait &wait) {
        const bool over = m_at.now >= wait.until || !hasUnconfirmedPeers(wait.revision);
        if (over) {
            ended.push_back(wait);
        }
        return over;
    });
    for (const config_confirmation_wait &wait : ended) {
        replyAccepted(wait.exchange, wait.changeId, wait.revision);
    }
}

} // namespace jacinthvale
