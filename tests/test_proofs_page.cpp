// docs/PROOFS.md and docs/proofs.json name only tests and code that exist.
#include "json_checker.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>

using namespace jacinthvale;

namespace {

const std::filesystem::path kRoot = JACINTHVALE_SOURCE_FOLDER;

std::string contentOf(const std::filesystem::path &path)
{
    return readFile(path.string()).value_or("");
}

/// Names of all tests, as "suite.name".
std::set<std::string> knownTests()
{
    static const std::regex kTest(R"((?:TEST|TEST_F|RC_GTEST_PROP)\(\s*(\w+),\s*(\w+))");
    std::set<std::string> names;
    for (const auto &file : std::filesystem::directory_iterator(kRoot / "tests")) {
        if (file.path().extension() != ".cpp") {
            continue;
        }
        const std::string text = contentOf(file.path());
        for (std::sregex_iterator found(text.begin(), text.end(), kTest), end; found != end; ++found) {
            names.insert((*found)[1].str() + "." + (*found)[2].str());
        }
    }
    return names;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

} // namespace

TEST(proofs_page, namesOnlyTestsThatExist)
{
    static const std::regex kName(R"(`(\w+\.[a-z]\w+)`)");
    const std::set<std::string> known = knownTests();
    const std::string page = contentOf(kRoot / "docs" / "PROOFS.md");
    std::size_t named = 0;
    for (std::sregex_iterator found(page.begin(), page.end(), kName), end; found != end; ++found) {
        EXPECT_TRUE(known.contains((*found)[1].str())) << (*found)[1].str();
        ++named;
    }
    EXPECT_GT(named, 0U);
}

TEST(proofs_page, everyMechanismToTakeOutIsThereOnce)
{
    const std::set<std::string> known = knownTests();
    const auto entries = nlohmann::json::parse(contentOf(kRoot / "docs" / "proofs.json"));
    for (const auto &entry : entries) {
        const std::string name = entry.at("name");
        const std::string text = contentOf(kRoot / entry.at("file").get<std::string>());
        EXPECT_EQ(countOf(text, entry.at("find").get<std::string>()), 1U) << name;
        for (const std::string test : entry.at("tests")) {
            EXPECT_TRUE(known.contains(test)) << name << ": " << test;
        }
    }
}
