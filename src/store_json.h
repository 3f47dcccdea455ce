/// HTTP and JSON form of store operations (docs/PROTOCOLS.md, "Platform").
#pragma once

#include <jacinthvale/store.h>

#include <optional>
#include <string>

namespace jacinthvale {

/// HTTP request of one store operation.
struct store_http_request
{
    std::string method;
    std::string path;
    std::string body;

    auto operator<=>(const store_http_request &) const = default;
};

store_http_request toHttp(const store_operation &operation);

/// Reads the store's answer to an operation.
/// @returns none where the answer is neither a result nor a refusal that this operation can have.
std::optional<store_outcome> readStoreAnswer(const store_operation &operation, int status,
                                             const std::string &body);

} // namespace jacinthvale
