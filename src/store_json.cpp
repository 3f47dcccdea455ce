#include "store_json.h"

#include "overloaded.h"

#include <algorithm>
#include <event2/http.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

std::string encodePath(const std::string &text)
{
    char *encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result(encoded);
    free(encoded);
    return result;
}

json toJson(const store_check &check)
{
    return {{"key", check.key}, {"expectedVersion", check.expectedVersion}};
}

json toJson(const store_write &write)
{
    return {{"key", write.key},
            {"expectedVersion", write.expectedVersion},
            {"value", write.value},
            {"remove", write.remove}};
}

template <typename Item>
json toJsonList(const std::vector<Item> &items)
{
    json list = json::array();
    std::ranges::transform(items, std::back_inserter(list), [](const Item &item) { return toJson(item); });
    return list;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

store_row readRow(const json &row)
{
    return {row.at("key").get<std::string>(), row.at("version").get<std::uint64_t>(),
            row.at("writeId").get<std::string>(), row.at("value").get<std::string>()};
}

std::vector<store_row> readRows(const json &answer)
{
    std::vector<store_row> rows;
    std::ranges::transform(answer.at("rows"), std::back_inserter(rows), readRow);
    return rows;
}

std::optional<store_outcome> readTransact(int status, const std::string &body)
{
    if (status == kHttpOk) {
        return store_committed{json::parse(body).at("versions").get<std::vector<std::uint64_t>>()};
    }
    if (status == kHttpConflict) {
        return store_conflict{readRows(json::parse(body)), false};
    }
    return std::nullopt;
}

std::optional<store_outcome> readObject(int status, const std::string &body)
{
    if (status == kHttpOk) {
        return object_read{body};
    }
    return status == kHttpNotFound ? std::optional<store_outcome>(object_read{std::nullopt}) : std::nullopt;
}

std::optional<store_outcome> readChecked(const store_operation &operation, int status,
                                         const std::string &body)
{
    const auto rows = [&]() -> std::optional<store_outcome> {
        return status == kHttpOk ? std::optional<store_outcome>(store_rows{readRows(json::parse(body))})
                                 : std::nullopt;
    };
    return std::visit(overloaded{
                              [&](const store_get &) { return rows(); },
                              [&](const store_scan &) { return rows(); },
                              [&](const store_transact &) { return readTransact(status, body); },
                              [&](const object_put &) -> std::optional<store_outcome> {
                                  return status == kHttpNoContent
                                                 ? std::optional<store_outcome>(object_stored{})
                                                 : std::nullopt;
                              },
                              [&](const object_get &) { return readObject(status, body); },
                      },
                      operation);
}

} // namespace

store_http_request toHttpRequest(const store_operation &operation)
{
    return std::visit(
            overloaded{
                    [](const store_get &get) {
                        return store_http_request{"POST", "/table/get", dump({{"key", get.key}})};
                    },
                    [](const store_scan &scan) {
                        return store_http_request{"POST", "/table/scan",
                                                  dump({{"prefix", scan.prefix},
                                                        {"after", scan.after},
                                                        {"limit", scan.limit}})};
                    },
                    [](const store_transact &transact) {
                        return store_http_request{"POST", "/table/transact",
                                                  dump({{"writeId", transact.writeId},
                                                        {"checks", toJsonList(transact.checks)},
                                                        {"writes", toJsonList(transact.writes)}})};
                    },
                    [](const object_put &put) {
                        return store_http_request{"PUT", "/objects/" + encodePath(put.key), put.bytes};
                    },
                    [](const object_get &get) {
                        return store_http_request{"GET", "/objects/" + encodePath(get.key), ""};
                    },
            },
            operation);
}

std::optional<store_outcome> parseStoreResponse(const store_operation &operation, int status,
                                                const std::string &body)
{
    try {
        return readChecked(operation, status, body);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace jacinthvale
