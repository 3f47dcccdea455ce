#include "ctl_output.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

std::string renderRow(const table_row &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        const bool last = i + 1 == row.size();
        line += row[i];
        line += last ? std::string() : std::string(widths[i] - row[i].size() + 2, ' ');
    }
    return line + "\n";
}

auto causalKey(const json &entry)
{
    return std::tuple(entry.value("ms", std::int64_t{0}), entry.value("counter", std::int64_t{0}),
                      entry.value("host", ""), entry.value("incarnation", std::uint64_t{0}),
                      entry.value("sequence", std::uint64_t{0}));
}

/// Defaults and exceptions of a document by a name for people.
std::map<std::string, std::string> rulesOf(const json &document)
{
    std::map<std::string, std::string> rules;
    const json defaults = document.value("defaults", json::object());
    for (const auto &item : defaults.items()) {
        rules[item.key()] = plain(item.value());
    }
    for (const json &rule : document.value("exceptions", json::array())) {
        rules[absl::StrCat(rule.value("key", ""), " ", rule.value("scope", json::object()).dump())]
                = absl::StrCat(plain(rule.value("value", json())), " (", rule.value("reason", ""), ")");
    }
    return rules;
}

std::string valueOr(const std::map<std::string, std::string> &rules, const std::string &key)
{
    const auto found = rules.find(key);
    return found == rules.end() ? "-" : found->second;
}

} // namespace

std::string plain(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string renderTable(const table_row &head, const std::vector<table_row> &rows)
{
    std::vector<std::size_t> widths(head.size());
    const auto widen = [&](const table_row &row) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths.at(i) = std::max(widths.at(i), row[i].size());
        }
    };
    widen(head);
    std::ranges::for_each(rows, widen);
    std::string text = renderRow(head, widths);
    for (const table_row &row : rows) {
        text += renderRow(row, widths);
    }
    return text;
}

merged_timeline mergeTimelines(const std::vector<ctl_answer> &answers)
{
    merged_timeline merged;
    for (const ctl_answer &answer : answers) {
        if (!answer.arrived() || !answer.body.contains("entries")) {
            merged.gaps.push_back(absl::StrCat(toString(answer.daemon), " did not answer"));
            continue;
        }
        if (const auto lost = answer.body.value("lost", std::uint64_t{0}); lost > 0) {
            merged.gaps.push_back(absl::StrCat(answer.body.value("host", ""), " (", toString(answer.daemon),
                                               ") lost its oldest ", lost, " entries"));
        }
        const json entries = answer.body.at("entries");
        std::ranges::copy(entries, std::back_inserter(merged.entries));
    }
    std::ranges::sort(merged.entries, {}, causalKey);
    return merged;
}

std::vector<config_difference> compareDocuments(const json &before, const json &after)
{
    const auto left = rulesOf(before);
    const auto right = rulesOf(after);
    std::set<std::string> names;
    for (const auto &rules : {left, right}) {
        for (const auto &[name, value] : rules) {
            names.insert(name);
        }
    }
    std::vector<config_difference> differences;
    for (const std::string &name : names) {
        if (valueOr(left, name) != valueOr(right, name)) {
            differences.push_back({name, valueOr(left, name), valueOr(right, name)});
        }
    }
    return differences;
}

} // namespace jacinthvale
