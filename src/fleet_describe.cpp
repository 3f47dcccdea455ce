#include "fleet_reducer.h"

#include <nlohmann/json.hpp>

namespace jacinthvale {

std::string describeFleet(const fleet_state &state, const context &at)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const fleet_shard &shard : state.shards) {
        const std::optional<lease_record> &record = shard.holding.lastRecord();
        shards.push_back({{"lease", shard.holding.key()},
                          {"held", shard.holding.mayAct(at.now)},
                          {"holder", record && !record->released ? record->holder.value : ""},
                          {"epoch", record ? record->epoch.value : 0}});
    }
    nlohmann::json wanted = nlohmann::json::object();
    for (const auto &[model, weights] : state.wanted) {
        wanted[model.value] = weights.version.value;
    }
    nlohmann::json drains = nlohmann::json::array();
    for (const auto &[upstream, record] : state.drains) {
        drains.push_back({{"upstream", upstream.value},
                          {"incarnation", record.incarnation.value},
                          {"author", record.author},
                          {"reason", record.reason}});
    }
    return nlohmann::json{{"shards", std::move(shards)},
                          {"wantedWeights", std::move(wanted)},
                          {"drains", std::move(drains)}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace jacinthvale
