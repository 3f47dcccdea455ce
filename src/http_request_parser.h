/// Incremental parser of one HTTP/1.1 request, on Boost.Beast. It keeps nothing of what it has not accepted.
#pragma once

#include <jacinthvale/event.h>

#include <memory>
#include <optional>
#include <string_view>

namespace jacinthvale {

/// Parser of one request. Feed it until it is complete or has failed.
class http_request_parser
{
public:
    explicit http_request_parser(std::size_t maxHeaderBytes);
    ~http_request_parser();
    http_request_parser(const http_request_parser &) = delete;
    http_request_parser &operator=(const http_request_parser &) = delete;

    enum class status : std::uint8_t { incomplete, head_complete, complete, failed };

    struct result
    {
        status reached = status::incomplete;
        /// Bytes that are not needed again.
        std::size_t consumed = 0;
    };

    /// Takes the next bytes up to the end of the head, then up to the end of the body. Bytes that were not
    /// consumed are passed again, with more behind them.
    result feed(std::string_view bytes);

    /// Status for the caller of a request that failed.
    int errorStatus() const;

    const std::string &method() const;
    const std::string &target() const;
    const http_headers &headers() const;
    const std::set<std::string, header_less> &repeatedHeaders() const;
    /// Length of the body; nullopt if it comes in chunks.
    std::optional<std::size_t> bodyLength() const;
    /// The caller waits for an interim answer before it sends the body.
    bool expectsContinue() const;
    bool keepsAlive() const;
    bool isHttp11() const;

    /// Body so far. The owner reserves its capacity.
    std::string &body();

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jacinthvale
