// docs/SETTINGS.md lists exactly the settings and keys of the code.
#include "process_settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>
#include <jacinthvale/config_document.h>
#include <regex>
#include <set>

using namespace jacinthvale;

namespace {

const std::string kRoot = JACINTHVALE_SOURCE_FOLDER;

std::string readPage()
{
    return *readFile(kRoot + "/docs/SETTINGS.md");
}

/// Cells of all table rows below a heading; the first cell is a name in backquotes.
std::vector<std::vector<std::string>> rowsBelow(const std::string &heading)
{
    const std::string page = readPage();
    const std::size_t from = page.find("## " + heading);
    const std::string section = page.substr(from, page.find("\n## ", from + 1) - from);
    std::vector<std::vector<std::string>> rows;
    for (const std::string &line : std::vector<std::string>(absl::StrSplit(section, '\n'))) {
        if (line.starts_with("| `")) {
            rows.push_back(absl::StrSplit(line, " | "));
            rows.back()[0] = line.substr(3, line.find('`', 3) - 3);
        }
    }
    return rows;
}

std::string textOf(const config_value &value)
{
    if (const auto *flag = std::get_if<bool>(&value)) {
        return *flag ? "true" : "false";
    }
    const auto *number = std::get_if<std::int64_t>(&value);
    return number == nullptr ? std::get<std::string>(value) : absl::StrCat(*number);
}

std::string rowOf(const config_key &key)
{
    const bool bounded = !std::holds_alternative<bool>(key.builtIn);
    return absl::StrCat("| `", std::string(key.name), "` | ", textOf(key.builtIn), " | ",
                        bounded ? absl::StrCat(key.minimum, " to ", key.maximum) : std::string("true, false"),
                        " | ", std::string(key.unit), " | ", std::string(key.meaning), " |");
}

bool isFaulty(const std::string &field, const std::string &value, const std::string &problem)
{
    const process_settings settings
            = readProcessSettings("{\"" + field + "\":" + value + "}", process_role::gate);
    return std::ranges::any_of(settings.faults, [&](const json_fault &fault) {
        return fault.path == "$." + field && fault.problem.find(problem) != std::string::npos;
    });
}

} // namespace

TEST(settings_page, listsEveryConfigurationKey)
{
    const std::string page = readPage();
    for (const config_key &key : configKeys()) {
        EXPECT_NE(page.find(rowOf(key) + "\n"), std::string::npos) << "expected: " << rowOf(key);
    }
    EXPECT_EQ(rowsBelow("Configuration keys").size(), configKeys().size());
}

TEST(settings_page, listsEveryProcessSetting)
{
    const std::string source = *readFile(kRoot + "/src/process_settings.cpp");
    const std::regex read(R"re((?:checker\.\w+|readPrincipals)\((?:checker, )?"(\w+)")re");
    std::set<std::string> inCode;
    for (std::sregex_iterator found(source.begin(), source.end(), read), end; found != end; ++found) {
        inCode.insert((*found)[1]);
    }
    std::set<std::string> onPage;
    for (const auto &row : rowsBelow("Process settings")) {
        onPage.insert(row[0]);
    }
    EXPECT_EQ(inCode, onPage);
    for (const std::string &field : onPage) {
        EXPECT_FALSE(isFaulty(field, "null", "is not a known field")) << field;
    }
}

TEST(settings_page, tellsTheRangesOfProcessSettings)
{
    int checked = 0;
    for (const auto &row : rowsBelow("Process settings")) {
        std::smatch range;
        if (row.size() < 4 || !std::regex_search(row[3], range, std::regex(R"((\d+) to (\d+))"))) {
            continue;
        }
        const std::int64_t minimum = std::stoll(range[1]);
        const std::int64_t maximum = std::stoll(range[2]);
        EXPECT_TRUE(isFaulty(row[0], absl::StrCat(minimum - 1), "must be from")) << row[0];
        EXPECT_TRUE(isFaulty(row[0], absl::StrCat(maximum + 1), "must be from")) << row[0];
        EXPECT_FALSE(isFaulty(row[0], absl::StrCat(minimum), "must")) << row[0];
        EXPECT_FALSE(isFaulty(row[0], absl::StrCat(maximum), "must")) << row[0];
        ++checked;
    }
    EXPECT_EQ(checked, 5);
}
