#include "keyed_hash.h"

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace jacinthvale {

namespace {

const unsigned char *bytesOf(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string keyedHash(const std::string &key, const std::string &bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(bytes), bytes.size(), digest.data(),
         &size);
    return {reinterpret_cast<const char *>(digest.data()), kKeyedHashBytes};
}

std::string sha256Hex(const std::string &bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(bytesOf(bytes), bytes.size(), digest.data());
    return absl::BytesToHexString(
            absl::string_view(reinterpret_cast<const char *>(digest.data()), digest.size()));
}

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace jacinthvale
