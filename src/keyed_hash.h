/// Keyed hashes and constant-time comparison.
#pragma once

#include <cstddef>
#include <string>

namespace jacinthvale {

inline constexpr std::size_t kKeyedHashBytes = 16;

/// @returns the first kKeyedHashBytes bytes of HMAC-SHA256.
std::string keyedHash(const std::string &key, const std::string &bytes);

/// @returns SHA-256 in lower-case hex.
std::string sha256Hex(const std::string &bytes);

/// Compares without telling by its duration where the texts differ.
bool equalInConstantTime(const std::string &left, const std::string &right);

} // namespace jacinthvale
