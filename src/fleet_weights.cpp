// Reconciles the weights that engines report with those that are wanted.
#include "fleet_reducer.h"

#include <jacinthvale/wire.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr std::int64_t kTokenUnit = 1000;
constexpr std::int64_t kPercent = 100;
constexpr milliseconds kFirstBackoff{500};
constexpr milliseconds kMaxBackoff{15'000};
/// Engines that have not followed after this time no longer hold back the next ones.
constexpr milliseconds kStragglerTime{15'000};

/// Push of new weights to the daemons that order them.
struct weights_push
{
    model_id model;
    weight_version version;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(model, version);
    }
};

bool isServingEngine(const fleet_upstream &known)
{
    return known.view.kind == upstream_kind::engine && known.view.condition == upstream_condition::serving;
}

/// @returns what is known of the engine's weights: own status first, else what the holder of its shard told.
const std::vector<model_weights> &reportedModels(const fleet_upstream &known)
{
    return known.status && known.status->incarnation == known.view.incarnation ? known.status->models
                                                                               : known.view.models;
}

/// @returns true where nothing is to be ordered for this model.
bool serves(const fleet_upstream &known, const model_id &model, weight_version version)
{
    if (known.unknownModels.contains(model)) {
        return true;
    }
    const auto &models = reportedModels(known);
    const auto found = std::ranges::find(models, model, &model_weights::model);
    return found != models.end() && found->versionKnown && found->version == version
           && !known.doubts.contains(model);
}

instant newestWantedSince(const fleet_state &state)
{
    instant newest{};
    for (const auto &[model, wanted] : state.wanted) {
        newest = std::max(newest, wanted.since);
    }
    return newest;
}

/// Engines begin in the order of a hash. One may begin when fewer than the allowed share before it are
/// behind, so no more than the share swap at once although holders do not ask each other.
bool windowAllows(const fleet_run &run, const upstream_id &engine)
{
    const auto rank = [](const upstream_id &id) { return std::pair{stableHash(id.value), id}; };
    const bool stragglersCount = run.at.now < newestWantedSince(run.state) + kStragglerTime;
    std::int64_t engines = 0;
    std::int64_t behind = 0;
    for (const auto &[id, known] : run.state.upstreams) {
        if (!isServingEngine(known)) {
            continue;
        }
        ++engines;
        const bool before = rank(id) < rank(engine);
        const bool counts = known.order || stragglersCount;
        behind += before && counts && !servesWanted(run, known) ? 1 : 0;
    }
    const std::int64_t window = engines * run.setting("fleet.swapSharePercent") / kPercent;
    return behind < std::max<std::int64_t>(window, 1);
}

/// Refills this holder's part of the fleet's load rate: the part of the engines that it holds.
void refillTokens(fleet_run &run)
{
    std::int64_t all = 0;
    std::int64_t own = 0;
    for (const auto &[id, known] : run.state.upstreams) {
        if (isServingEngine(known)) {
            ++all;
            own += run.leaseOf(id).mayAct(run.at.now) ? 1 : 0;
        }
    }
    const std::int64_t elapsed = (run.at.now - run.state.loadTokensAt).count();
    run.state.loadTokensAt = run.at.now;
    if (all > 0) {
        run.state.loadTokens += elapsed * run.setting("fleet.weightLoadsPerSecond") * own / all;
        run.state.loadTokens = std::min(run.state.loadTokens, kTokenUnit);
    }
}

bool leaseAllows(fleet_run &run, const fleet_upstream &known)
{
    const lease &holding = run.leaseOf(known.view.id);
    return known.view.checksFencing ? holding.mayAct(run.at.now) : holding.mayOrderUnfenced(run.at.now);
}

void sendOrder(fleet_run &run, fleet_upstream &known, const model_id &model, weight_version version)
{
    known.order = weight_order{run.nextOperation(), model, version, known.status->swapCounter};
    run.state.loadTokens -= kTokenUnit;
    const fencing_number fencing = run.leaseOf(known.view.id).epoch();
    call_http call;
    call.operation = known.order->operation;
    call.target = known.view.address;
    call.path = "/orders/weights";
    call.headers["Content-Type"] = "application/json";
    call.body = nlohmann::json{{"model", model.value}, {"version", version.value}, {"fencing", fencing.value}}
                        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    call.progressTimeout = milliseconds{run.setting("fleet.swapTimeoutMs")};
    call.freshConnection = true;
    run.out.emplace_back(std::move(call));
    run.out.emplace_back(record_entry{"weights-ordered", known.view.id.value,
                                      model.value + " " + std::to_string(version.value) + " fencing "
                                              + std::to_string(fencing.value)});
}

/// @returns true where the last status was read after the last order that took effect.
bool hasCurrentStatus(const fleet_upstream &known)
{
    return known.status && known.failedPolls == 0
           && (known.status->incarnation != known.confirmedIncarnation
               || known.status->swapCounter >= known.confirmedSwapCounter);
}

void orderIfBehind(fleet_run &run, fleet_upstream &known)
{
    const bool current = hasCurrentStatus(known);
    if (known.order || !current || run.at.now < known.nextOrder || !isServingEngine(known)
        || run.state.loadTokens < kTokenUnit || !leaseAllows(run, known)) {
        return;
    }
    const auto behind = std::ranges::find_if(run.state.wanted, [&](const auto &entry) {
        return !serves(known, entry.first, entry.second.version);
    });
    if (behind != run.state.wanted.end() && windowAllows(run, known.view.id)) {
        sendOrder(run, known, behind->first, behind->second.version);
    }
}

void backOff(fleet_run &run, fleet_upstream &known)
{
    constexpr int kMaxDoublings = 5;
    const auto doubled = kFirstBackoff * (1 << std::min(known.failedOrders, kMaxDoublings));
    ++known.failedOrders;
    known.nextOrder = run.at.now + jittered(std::min(doubled, kMaxBackoff), run.at.random);
}

std::uint64_t numberIn(const std::string &body, const char *key)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    const bool found = answer.is_object() && answer.contains(key) && answer[key].is_number_unsigned();
    return found ? answer[key].get<std::uint64_t>() : 0;
}

void confirmOrder(fleet_run &run, fleet_upstream &known, const std::string &body)
{
    known.failedOrders = 0;
    known.confirmedSwapCounter = numberIn(body, "swapCounter");
    known.confirmedIncarnation = known.status->incarnation;
    known.nextOrder = run.at.now + kFirstBackoff;
    run.out.emplace_back(count_metric{"fleet_orders_done_total", 1});
}

void failOrder(fleet_run &run, fleet_upstream &known, const weight_order &order,
               const http_call_finished &result)
{
    const bool mayBeDone = result.outcome != transfer_outcome::complete && !isUnsent(result.outcome);
    if (mayBeDone) {
        known.doubts[order.model] = {order.swapCounter, known.status->incarnation};
        tellObservation(run, known);
    } else if (result.status == kHttpNotFound) {
        known.unknownModels.insert(order.model);
    } else if (result.status == kHttpConflict) {
        run.leaseOf(known.view.id).sawFencing({numberIn(result.body, "highestFencing")});
    }
    backOff(run, known);
    run.out.emplace_back(count_metric{"fleet_orders_failed_total", 1});
    run.out.emplace_back(record_entry{"weights-order-failed", known.view.id.value,
                                      "status " + std::to_string(result.status)});
}

/// Versions only rise: an older word that arrives late changes nothing.
void want(fleet_run &run, const model_id &model, weight_version version)
{
    wanted_weights &wanted = run.state.wanted[model];
    if (version > wanted.version) {
        wanted = {version, run.at.now};
    }
}

} // namespace

bool servesWanted(const fleet_run &run, const fleet_upstream &known)
{
    return std::ranges::all_of(run.state.wanted, [&](const auto &entry) {
        return serves(known, entry.first, entry.second.version);
    });
}

void advanceOrders(fleet_run &run)
{
    refillTokens(run);
    for (auto &[id, known] : run.state.upstreams) {
        orderIfBehind(run, known);
    }
}

bool finishOrder(fleet_run &run, const http_call_finished &result)
{
    const auto found = std::ranges::find_if(run.state.upstreams, [&](const auto &entry) {
        return entry.second.order && entry.second.order->operation == result.operation;
    });
    if (found == run.state.upstreams.end()) {
        return false;
    }
    fleet_upstream &known = found->second;
    const weight_order order = *known.order;
    known.order.reset();
    known.nextPoll = run.at.now;
    if (result.outcome == transfer_outcome::complete && result.status == kHttpOk) {
        confirmOrder(run, known, result.body);
    } else {
        failOrder(run, known, order, result);
    }
    return true;
}

void takeWeightRows(fleet_run &run, const store_outcome &outcome)
{
    const auto *rows = std::get_if<store_rows>(&outcome);
    if (rows == nullptr) {
        return;
    }
    for (const store_row &row : rows->rows) {
        const nlohmann::json head = nlohmann::json::parse(row.value, nullptr, false);
        if (!head.is_object() || !head.contains("models") || !head["models"].is_object()) {
            continue;
        }
        for (const auto &item : head["models"].items()) {
            if (item.value().is_number_unsigned()) {
                want(run, {item.key()}, {item.value().get<std::uint64_t>()});
            }
        }
    }
}

void takePublished(fleet_run &run, const weights_published &what)
{
    want(run, what.model, what.version);
    const std::string payload = encodeWire(weights_push{what.model, what.version});
    for (const auto &[key, peer] : run.state.peers) {
        if (peer.role == "fleet" && peer.alive) {
            run.out.emplace_back(send_peer{peer.peer, peer_transport::stream, domain::fleet, payload});
        }
    }
}

void takeFleetMessage(fleet_run &run, const peer_message_received &message)
{
    const absl::StatusOr<weights_push> push = decodeWire<weights_push>(message.payload);
    if (!push.ok()) {
        run.out.emplace_back(count_metric{"fleet_messages_malformed_total", 1});
        return;
    }
    want(run, push->model, push->version);
}

} // namespace jacinthvale
