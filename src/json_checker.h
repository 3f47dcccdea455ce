/// Reads JSON objects strictly: every fault is gathered with the JSON path where it stands.
#pragma once

#include <jacinthvale/types.h>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinthvale {

/// One fault of a JSON document.
struct json_fault
{
    /// For example "$.http.port".
    std::string path;
    std::string problem;

    auto operator<=>(const json_fault &) const = default;
};

/// Reads one JSON object. Each reader notes a fault and returns a neutral value where the field is wrong.
/// Call finish() last: it notes fields that nobody read.
class json_checker
{
public:
    json_checker(const nlohmann::json &value, std::string path, std::vector<json_fault> &faults);

    std::string text(const std::string &key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(const std::string &key, double minimum, double maximum,
                  std::optional<double> fallback = std::nullopt);
    bool boolean(const std::string &key, std::optional<bool> fallback = std::nullopt);
    std::string oneOf(const std::string &key, const std::vector<std::string> &allowed,
                      std::optional<std::string> fallback = std::nullopt);
    /// "IP:port" as text.
    endpoint address(const std::string &key, bool required = true);
    /// "IP:port" to listen on; port 0 lets the system choose.
    endpoint listenAddress(const std::string &key);
    std::vector<endpoint> addresses(const std::string &key);
    std::vector<std::string> texts(const std::string &key);
    /// A nested object; an absent one reads as empty.
    json_checker object(const std::string &key);
    /// A list of objects; an absent one is empty.
    std::vector<json_checker> objects(const std::string &key);
    /// A field of any type; null where it is absent.
    const nlohmann::json *any(const std::string &key, bool required);
    bool has(const std::string &key) const;
    void finish();
    void fault(const std::string &key, const std::string &problem);

private:
    const nlohmann::json *find(const std::string &key, bool required);

    const nlohmann::json *m_value;
    std::string m_path;
    std::vector<json_fault> *m_faults;
    std::set<std::string> m_read;
};

/// Parses a JSON text; a syntax error becomes a fault at "$".
nlohmann::json parseJson(const std::string &text, std::vector<json_fault> &faults);

/// @returns the whole content of a file.
absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace jacinthvale
