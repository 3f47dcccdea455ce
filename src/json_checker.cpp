#include "json_checker.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace jacinthvale {

namespace {

const nlohmann::json kEmptyObject = nlohmann::json::object();

} // namespace

json_checker::json_checker(const nlohmann::json &value, std::string path, std::vector<json_fault> &faults)
    : m_value(&value)
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!value.is_object()) {
        m_faults->push_back({m_path, "must be an object"});
        m_value = &kEmptyObject;
    }
}

void json_checker::fault(const std::string &key, const std::string &problem)
{
    m_faults->push_back({m_path + "." + key, problem});
}

bool json_checker::has(const std::string &key) const
{
    return m_value->contains(key);
}

const nlohmann::json *json_checker::find(const std::string &key, bool required)
{
    m_read.insert(key);
    const auto found = m_value->find(key);
    if (found != m_value->end()) {
        return &*found;
    }
    if (required) {
        fault(key, "is required");
    }
    return nullptr;
}

const nlohmann::json *json_checker::any(const std::string &key, bool required)
{
    return find(key, required);
}

std::string json_checker::text(const std::string &key, std::optional<std::string> fallback)
{
    const nlohmann::json *value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or("");
    }
    if (!value->is_string()) {
        fault(key, "must be a text");
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

std::int64_t json_checker::integer(const std::string &key, std::int64_t minimum, std::int64_t maximum,
                                   std::optional<std::int64_t> fallback)
{
    const nlohmann::json *value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(minimum);
    }
    if (!value->is_number_integer()) {
        fault(key, "must be a whole number");
        return minimum;
    }
    const auto number = value->get<std::int64_t>();
    if (number < minimum || number > maximum) {
        fault(key, absl::StrCat("must be from ", minimum, " to ", maximum));
        return minimum;
    }
    return number;
}

double json_checker::number(const std::string &key, double minimum, double maximum,
                            std::optional<double> fallback)
{
    const nlohmann::json *value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(minimum);
    }
    if (!value->is_number()) {
        fault(key, "must be a number");
        return minimum;
    }
    const auto result = value->get<double>();
    if (!(result >= minimum && result <= maximum)) {
        fault(key, absl::StrCat("must be from ", minimum, " to ", maximum));
        return minimum;
    }
    return result;
}

bool json_checker::boolean(const std::string &key, std::optional<bool> fallback)
{
    const nlohmann::json *value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(false);
    }
    if (!value->is_boolean()) {
        fault(key, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

std::string json_checker::oneOf(const std::string &key, const std::vector<std::string> &allowed,
                                std::optional<std::string> fallback)
{
    const bool present = has(key);
    std::string value = text(key, std::move(fallback));
    if (present && std::ranges::find(allowed, value) == allowed.end()) {
        fault(key, absl::StrCat("must be one of ", absl::StrJoin(allowed, ", ")));
    }
    return value;
}

endpoint json_checker::listenAddress(const std::string &key)
{
    const endpoint where = parseEndpoint(text(key));
    if (where.empty()) {
        fault(key, "must be \"IP:port\" with an IP address and a port from 0 to 65535");
    }
    return where;
}

endpoint json_checker::address(const std::string &key, bool required)
{
    const nlohmann::json *value = find(key, required);
    if (value == nullptr) {
        return {};
    }
    const endpoint where = value->is_string() ? parseEndpoint(value->get<std::string>()) : endpoint{};
    if (where.empty() || where.port == 0) {
        fault(key, "must be \"IP:port\" with an IP address and a port from 1 to 65535");
    }
    return where;
}

std::vector<std::string> json_checker::texts(const std::string &key)
{
    std::vector<std::string> result;
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()
        || !std::ranges::all_of(*value, [](const nlohmann::json &item) { return item.is_string(); })) {
        fault(key, "must be a list of texts");
        return result;
    }
    return value->get<std::vector<std::string>>();
}

std::vector<endpoint> json_checker::addresses(const std::string &key)
{
    std::vector<endpoint> result;
    for (const std::string &item : texts(key)) {
        result.push_back(parseEndpoint(item));
        if (result.back().empty() || result.back().port == 0) {
            fault(key, absl::StrCat("\"", item, "\" is not \"IP:port\""));
        }
    }
    return result;
}

json_checker json_checker::object(const std::string &key)
{
    const nlohmann::json *value = find(key, false);
    return {value == nullptr ? kEmptyObject : *value, m_path + "." + key, *m_faults};
}

std::vector<json_checker> json_checker::objects(const std::string &key)
{
    std::vector<json_checker> result;
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        fault(key, "must be a list of objects");
        return result;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        result.emplace_back((*value)[i], absl::StrCat(m_path, ".", key, "[", i, "]"), *m_faults);
    }
    return result;
}

void json_checker::finish()
{
    for (const auto &item : m_value->items()) {
        if (!m_read.contains(item.key())) {
            fault(item.key(), "is not a known field");
        }
    }
}

nlohmann::json parseJson(const std::string &text, std::vector<json_fault> &faults)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &problem) {
        faults.push_back({"$", problem.what()});
        return nlohmann::json::object();
    }
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return absl::NotFoundError(absl::StrCat("cannot read ", path));
    }
    std::ostringstream content;
    content << in.rdbuf();
    return std::move(content).str();
}

} // namespace jacinthvale
