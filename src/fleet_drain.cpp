// Operators' drains: kept in the table, told to all daemons, ordered at the upstream.
#include "fleet_reducer.h"

#include "overloaded.h"

#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpNotAllowed = 405;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;
constexpr std::size_t kMaxReasonBytes = 1000;
constexpr milliseconds kDrainRetry{2000};
constexpr milliseconds kTableDeadline{5000};
constexpr std::string_view kUpstreamsPath = "/v1/upstreams/";
constexpr std::string_view kDrainSuffix = "/drain";
const std::string kDrainPrefix = "drains/";

std::string dump(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string encodeDrain(const drain_record &record)
{
    return dump({{"upstream", record.upstream.value},
                 {"incarnation", record.incarnation.value},
                 {"author", record.author},
                 {"reason", record.reason}});
}

std::optional<drain_record> decodeDrain(const std::string &text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    const auto isText = [&](const char *key) { return object.contains(key) && object[key].is_string(); };
    if (!object.is_object() || !isText("upstream") || !isText("author") || !isText("reason")
        || !object.contains("incarnation") || !object["incarnation"].is_number_unsigned()) {
        return std::nullopt;
    }
    return drain_record{{object["upstream"].get<std::string>()},
                        {object["incarnation"].get<std::uint64_t>()},
                        object["author"].get<std::string>(),
                        object["reason"].get<std::string>()};
}

void refuse(fleet_run &run, exchange_id exchange, const request_error &error)
{
    http_headers headers{{"Content-Type", "application/json"},
                         {"Jacinthvale-Verdict", std::string(toString(error.outcome))}};
    if (error.retryAfterSeconds > 0) {
        headers["Retry-After"] = std::to_string(error.retryAfterSeconds);
    }
    run.out.emplace_back(reply_http{exchange, error.httpStatus, std::move(headers), toJson(error)});
}

void accept(fleet_run &run, const drain_exchange &drain)
{
    run.state.drains[drain.record.upstream] = drain.record;
    run.out.emplace_back(record_entry{"drain-accepted", drain.record.upstream.value, drain.record.reason});
    run.out.emplace_back(raise_domain_event{
            drain_requested{drain.record.upstream, drain.record.author, drain.record.reason}});
    run.out.emplace_back(reply_http{drain.exchange,
                                    kHttpAccepted,
                                    {{"Content-Type", "application/json"}},
                                    encodeDrain(drain.record)});
}

void writeDrain(fleet_run &run, drain_exchange drain, std::uint64_t expectedVersion)
{
    const operation_id operation = run.nextOperation();
    const std::string key = kDrainPrefix + drain.record.upstream.value;
    const std::string writeId = key + "/" + std::to_string(run.state.self.incarnation.value) + "/"
                                + std::to_string(operation.number);
    run.out.emplace_back(call_store{
            operation,
            store_transact{writeId, {}, {{key, expectedVersion, encodeDrain(drain.record), false}}},
            kTableDeadline});
    run.state.drainExchanges[operation.number] = std::move(drain);
}

/// A row for this incarnation is as good as an own one; another one is replaced.
void writeOver(fleet_run &run, const drain_exchange &drain, const std::vector<store_row> &rows)
{
    const std::optional<drain_record> present = rows.empty() ? std::nullopt : decodeDrain(rows.front().value);
    if (present && present->incarnation == drain.record.incarnation) {
        accept(run, {drain.exchange, *present});
    } else {
        writeDrain(run, drain, rows.empty() ? 0 : rows.front().version);
    }
}

/// @returns the upstream named by /v1/upstreams/{upstream}/drain, or an empty id.
upstream_id upstreamInPath(const std::string &path)
{
    if (!path.starts_with(kUpstreamsPath) || !path.ends_with(kDrainSuffix)
        || path.size() <= kUpstreamsPath.size() + kDrainSuffix.size()) {
        return {};
    }
    return {path.substr(kUpstreamsPath.size(), path.size() - kUpstreamsPath.size() - kDrainSuffix.size())};
}

std::string reasonIn(const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    const bool valid = document.is_object() && document.size() == 1 && document.contains("reason")
                       && document["reason"].is_string();
    const std::string reason = valid ? document["reason"].get<std::string>() : std::string();
    return reason.size() <= kMaxReasonBytes ? reason : std::string();
}

std::optional<request_error> checkRequest(const fleet_run &run, const http_request_received &request)
{
    const upstream_id upstream = upstreamInPath(request.path);
    if (upstream.empty() || !run.state.upstreams.contains(upstream)) {
        return request_error{kHttpNotFound, "unknown-upstream", "No such path or upstream.", verdict::not_run,
                             0};
    }
    if (request.method != "POST") {
        return request_error{kHttpNotAllowed, "method-not-allowed", "Use POST.", verdict::not_run, 0};
    }
    if (reasonIn(request.body).empty()) {
        return request_error{kHttpBadRequest, "reason-missing",
                             "The body is {\"reason\": TEXT} with 1 to 1000 bytes of text.", verdict::not_run,
                             0};
    }
    if (run.state.stopping) {
        return request_error{kHttpUnavailable, "stopping", "This daemon stops; ask another one.",
                             verdict::not_run, 1};
    }
    return std::nullopt;
}

bool isDrained(const fleet_run &run, const fleet_upstream &known)
{
    const auto drain = run.state.drains.find(known.view.id);
    return drain != run.state.drains.end() && drain->second.incarnation == known.view.incarnation;
}

void orderDrain(fleet_run &run, fleet_upstream &known)
{
    const lease &holding = run.leaseOf(known.view.id);
    const bool allowed
            = known.view.checksFencing ? holding.mayAct(run.at.now) : holding.mayOrderUnfenced(run.at.now);
    if (!allowed || known.drainCall || run.at.now < known.nextDrain) {
        return;
    }
    known.drainCall = run.nextOperation();
    known.nextDrain = run.at.now + kDrainRetry;
    call_http call;
    call.operation = *known.drainCall;
    call.target = known.view.address;
    call.path = "/orders/drain";
    call.headers["Content-Type"] = "application/json";
    call.body = dump({{"fencing", holding.epoch().value}});
    call.progressTimeout = kTableDeadline;
    call.freshConnection = true;
    run.out.emplace_back(std::move(call));
}

} // namespace

void advanceDrains(fleet_run &run)
{
    for (auto &[id, known] : run.state.upstreams) {
        if (known.status && !known.status->leaving && isDrained(run, known)) {
            orderDrain(run, known);
        }
    }
}

bool finishDrainOrder(fleet_run &run, const http_call_finished &result)
{
    for (auto &[id, known] : run.state.upstreams) {
        if (known.drainCall == result.operation) {
            known.drainCall.reset();
            return true;
        }
    }
    return false;
}

void takeDrainRows(fleet_run &run, const store_outcome &outcome)
{
    const auto *rows = std::get_if<store_rows>(&outcome);
    if (rows == nullptr) {
        return;
    }
    for (const store_row &row : rows->rows) {
        const std::optional<drain_record> record = decodeDrain(row.value);
        const auto known = record ? run.state.upstreams.find(record->upstream) : run.state.upstreams.end();
        if (known == run.state.upstreams.end()) {
            continue;
        }
        run.state.drains[record->upstream] = *record;
        if (isDrained(run, known->second) && known->second.view.condition == upstream_condition::serving) {
            run.out.emplace_back(
                    raise_domain_event{drain_requested{record->upstream, record->author, record->reason}});
        }
    }
}

void answerUpstreamRequest(fleet_run &run, const http_request_received &request)
{
    if (const std::optional<request_error> error = checkRequest(run, request)) {
        refuse(run, request.exchange, *error);
        return;
    }
    const upstream_id upstream = upstreamInPath(request.path);
    const auto author = request.headers.find("Jacinthvale-Principal");
    const drain_record record{upstream, run.state.upstreams.at(upstream).view.incarnation,
                              author == request.headers.end() ? "" : author->second, reasonIn(request.body)};
    writeDrain(run, {request.exchange, record}, 0);
}

void settleDrain(fleet_run &run, operation_id operation, const store_outcome &outcome)
{
    const auto found = run.state.drainExchanges.find(operation.number);
    if (found == run.state.drainExchanges.end()) {
        return;
    }
    const drain_exchange drain = std::move(found->second);
    run.state.drainExchanges.erase(found);
    std::visit(overloaded{
                       [&](const store_committed &) { accept(run, drain); },
                       [&](const store_conflict &conflict) { writeOver(run, drain, conflict.rows); },
                       [&](const store_unknown &) {
                           refuse(run, drain.exchange,
                                  {kHttpGatewayTimeout, "unknown",
                                   "The drain may have been recorded; asking again is safe.",
                                   verdict::may_have_run, 1});
                       },
                       [&](const auto &) {
                           refuse(run, drain.exchange,
                                  {kHttpUnavailable, "store-unavailable", "The drain was not recorded.",
                                   verdict::not_run, 1});
                       },
               },
               outcome);
}

} // namespace jacinthvale
