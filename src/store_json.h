/// HTTP and JSON encoding of store operations (docs/PROTOCOLS.md, "Platform").
#pragma once

#include <jacinthvale/store.h>

#include <optional>
#include <string>

namespace jacinthvale {

/// HTTP request for one store operation.
struct store_http_request
{
    std::string method;
    std::string path;
    std::string body;

    auto operator<=>(const store_http_request &) const = default;
};

store_http_request toHttpRequest(const store_operation &operation);

/// Parses the response of the store to an operation.
/// @returns std::nullopt if the response is neither a result nor a conflict of this operation.
std::optional<store_outcome> parseStoreResponse(const store_operation &operation, int status,
                                                const std::string &body);

} // namespace jacinthvale
