/// Incremental parser of the answer to one request, on Boost.Beast: any number of interim responses, then the
/// final one. It accepts what RFC 9112 allows a server to send, sections 4 to 7, and nothing else.
#pragma once

#include <jacinthvale/event.h>
#include <jacinthvale/http_client.h>

#include <memory>
#include <optional>
#include <string_view>

namespace jacinthvale {

/// Parser of one answer. Feed it until it is complete or has failed.
class http_response_parser
{
public:
    /// @param maxHeaderBytes of all heads of the answer together, and of the framing of its chunks.
    http_response_parser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    ~http_response_parser();
    http_response_parser(const http_response_parser &) = delete;
    http_response_parser &operator=(const http_response_parser &) = delete;

    enum class status : std::uint8_t { incomplete, head_complete, complete, failed };

    struct result
    {
        status reached = status::incomplete;
        /// Bytes that are not needed again.
        std::size_t consumed = 0;
    };

    /// Takes the next bytes up to the end of the final head, then up to the end of the body. Bytes that were
    /// not consumed are passed again, with more behind them.
    result feed(std::string_view bytes);

    /// The server has closed the connection in order. @returns true if that is the end of a whole answer.
    bool endsWithConnection();

    /// The head of the final response has been read.
    bool hasHead() const;
    int statusCode() const;
    const http_headers &headers() const;
    /// Length of the body; nullopt if only its end tells.
    std::optional<std::size_t> bodyLength() const;
    /// The connection can take another request after this answer.
    bool keepsAlive() const;

    /// Body so far. The owner may take bytes out of it.
    std::string &body();

    /// Why the answer was refused. Only after it has failed.
    const answer_fault &fault() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jacinthvale
