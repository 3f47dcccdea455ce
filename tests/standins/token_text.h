/// Text that a stand-in engine generates, made so that a test can tell where each token came from.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale::standin {

/// One generated token: hash of its prompt, position, and the weight version that truly made it.
struct token_text
{
    std::uint32_t promptHash = 0;
    int position = 0;
    std::uint64_t weightVersion = 0;

    auto operator<=>(const token_text &) const = default;
};

std::uint32_t hashPrompt(const std::string &prompt);

/// @returns for example "5f3a07c1-12@7 ".
std::string toString(const token_text &token);

/// @returns the tokens of a generated text; nothing where it is no such text.
std::optional<std::vector<token_text>> parseTokens(const std::string &text);

/// Run of tokens that one weight version made.
struct version_run
{
    std::uint64_t weightVersion = 0;
    int tokens = 0;

    auto operator<=>(const version_run &) const = default;
};

/// @returns the weight versions of the tokens, neighbours of the same version joined.
std::vector<version_run> versionRuns(const std::vector<token_text> &tokens);

/// @returns true where the text holds the prompt's tokens 0, 1, 2... without a gap or a repetition.
bool isWholeAnswer(const std::string &prompt, const std::string &text);

} // namespace jacinthvale::standin
