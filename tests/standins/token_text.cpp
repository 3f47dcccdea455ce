#include "token_text.h"

#include <jacinthvale/types.h>

#include <cinttypes>
#include <cstdio>
#include <sstream>

namespace jacinthvale::standin {

std::uint32_t hashPrompt(const std::string &prompt)
{
    return static_cast<std::uint32_t>(stableHash(prompt));
}

std::string toString(const token_text &token)
{
    constexpr std::size_t kMaxLength = 64;
    std::string text(kMaxLength, '\0');
    const int size = std::snprintf(text.data(), text.size(), "%08" PRIx32 "-%d@%" PRIu64 " ",
                                   token.promptHash, token.position, token.weightVersion);
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::vector<token_text>> parseTokens(const std::string &text)
{
    std::vector<token_text> tokens;
    std::istringstream words(text);
    std::string word;
    while (words >> word) {
        token_text token;
        std::istringstream fields(word);
        char dash = 0;
        char at = 0;
        fields >> std::hex >> token.promptHash >> dash >> std::dec >> token.position >> at
                >> token.weightVersion;
        if (fields.fail() || dash != '-' || at != '@' || toString(token) != word + " ") {
            return std::nullopt;
        }
        tokens.push_back(token);
    }
    return tokens;
}

std::vector<version_run> versionRuns(const std::vector<token_text> &tokens)
{
    std::vector<version_run> runs;
    for (const token_text &token : tokens) {
        if (runs.empty() || runs.back().weightVersion != token.weightVersion) {
            runs.push_back({token.weightVersion, 0});
        }
        ++runs.back().tokens;
    }
    return runs;
}

bool isWholeAnswer(const std::string &prompt, const std::string &text)
{
    const auto tokens = parseTokens(text);
    if (!tokens || tokens->empty()) {
        return false;
    }
    int next = 0;
    for (const token_text &token : *tokens) {
        if (token.promptHash != hashPrompt(prompt) || token.position != next) {
            return false;
        }
        ++next;
    }
    return true;
}

} // namespace jacinthvale::standin
