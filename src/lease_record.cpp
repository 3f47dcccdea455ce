// The JSON text of a lease's row.
#include <jacinthvale/lease.h>

#include <nlohmann/json.hpp>

namespace jacinthvale {

std::string encodeLease(const lease_record &record)
{
    const nlohmann::json object = {{"holder", record.holder.value},
                                   {"incarnation", record.incarnation.value},
                                   {"epoch", record.epoch.value},
                                   {"released", record.released}};
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<lease_record> decodeLease(const std::string &text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    const auto has = [&](const char *key, auto check) { return object.contains(key) && check(object[key]); };
    const auto isText = [](const nlohmann::json &v) { return v.is_string(); };
    const auto isNumber = [](const nlohmann::json &v) { return v.is_number_unsigned(); };
    const auto isFlag = [](const nlohmann::json &v) { return v.is_boolean(); };
    if (!object.is_object() || !has("holder", isText) || !has("incarnation", isNumber)
        || !has("epoch", isNumber) || !has("released", isFlag)) {
        return std::nullopt;
    }
    return lease_record{{object["holder"].get<std::string>()},
                        {object["incarnation"].get<std::uint64_t>()},
                        {object["epoch"].get<std::uint64_t>()},
                        object["released"].get<bool>()};
}

} // namespace jacinthvale
