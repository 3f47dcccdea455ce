#include "http_response_parser.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <array>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace jacinthvale {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr int kInterimClass = 1;
constexpr int kStatusesPerClass = 100;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kHttp11 = 11;
/// Framing that a byte of a body may cost: chunks of one byte need five.
constexpr std::size_t kFramingPerBodyByte = 16;
/// Length of a status line up to the end of its code.
constexpr std::size_t kStatusCodeEnd = std::string_view("HTTP/1.1 200").size();
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @returns the rule of the grammar that is broken, as a word for logs and the label of a counter.
std::string_view ruleOf(const error_code &error)
{
    static const std::array<std::pair<http::error, std::string_view>, 11> kRules{{
            {http::error::bad_version, "status_line"},
            {http::error::bad_status, "status_code"},
            {http::error::bad_reason, "reason"},
            {http::error::bad_line_ending, "line_end"},
            {http::error::bad_field, "field_name"},
            {http::error::bad_value, "field_value"},
            {http::error::bad_content_length, "content_length"},
            {http::error::bad_transfer_encoding, "transfer_encoding"},
            {http::error::bad_chunk, "chunk_size"},
            {http::error::bad_chunk_extension, "chunk_extension"},
            {http::error::header_limit, "head_too_large"},
    }};
    const auto *const found
            = std::ranges::find_if(kRules, [&](const auto &rule) { return error == error_code(rule.first); });
    return found == kRules.end() ? "other" : found->second;
}

/// One interim or final response.
class message_parser final : public http::basic_parser<false>
{
public:
    explicit message_parser(std::size_t maxHeaderBytes)
    {
        header_limit(static_cast<std::uint32_t>(
                std::min<std::size_t>(maxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
        // The owner bounds bodies; without a limit, this parser refuses any length.
        body_limit(std::numeric_limits<std::uint64_t>::max());
        eager(false);
    }

    bool isInterim() const { return m_code / kStatusesPerClass == kInterimClass; }

    int m_code = 0;
    int m_version = kHttp11;
    http_headers m_headers;
    std::string m_body;
    std::size_t m_bodyBytes = 0;

private:
    void on_request_impl(http::verb, boost::beast::string_view, boost::beast::string_view, int,
                         error_code &) override
    {}
    void on_response_impl(int code, boost::beast::string_view, int version, error_code &error) override
    {
        m_code = code;
        m_version = version;
        // No request asks for another protocol.
        if (code < kFirstStatus || code > kLastStatus || code == kSwitchingProtocols) {
            error = http::error::bad_status;
        }
    }
    void on_field_impl(http::field, boost::beast::string_view name, boost::beast::string_view value,
                       error_code &) override
    {
        // Trailers are dropped.
        if (!is_header_done()) {
            m_headers.emplace(std::string(viewOf(name)), std::string(viewOf(value)));
        }
    }
    void on_header_impl(error_code &error) override
    {
        const auto coding = m_headers.find("Transfer-Encoding");
        if (coding == m_headers.end()) {
            return;
        }
        // Of other codings neither the end nor the meaning of the body can be told.
        const bool isPlainChunks = chunked() && absl::EqualsIgnoreCase(coding->second, "chunked");
        if (m_version < kHttp11 || !isPlainChunks) {
            error = http::error::bad_transfer_encoding;
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override {}
    std::size_t on_body_impl(boost::beast::string_view bytes, error_code &) override { return add(bytes); }
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, error_code &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view bytes, error_code &) override
    {
        return add(bytes);
    }
    void on_finish_impl(error_code &) override {}

    std::size_t add(boost::beast::string_view bytes)
    {
        m_body.append(bytes.data(), bytes.size());
        m_bodyBytes += bytes.size();
        return bytes.size();
    }
};

} // namespace

class http_response_parser::implementation
{
public:
    implementation(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
        : m_maxHeaderBytes(maxHeaderBytes)
        , m_maxBodyBytes(maxBodyBytes)
        , m_message(std::in_place, maxHeaderBytes)
    {}

    bool hasHead() const { return m_message->is_header_done() && !m_message->isInterim(); }

    result feed(std::string_view bytes)
    {
        result fed;
        const bool hadHead = hasHead();
        while (fed.consumed < bytes.size() && !isDone() && !m_failed) {
            error_code error;
            const std::size_t count = put(bytes.substr(fed.consumed), error);
            fed.consumed += count;
            m_consumed += count;
            const std::size_t pending = bytes.size() - fed.consumed;
            checkSizes(error == http::error::need_more ? pending : 0);
            if (error == http::error::need_more) {
                break;
            }
            if (error) {
                fail(ruleOf(error));
            } else if (m_message->is_done() && m_message->isInterim()) {
                m_message.emplace(m_maxHeaderBytes);
            } else if (!hadHead && hasHead()) {
                takeHead();
                break;
            }
        }
        fed.reached = m_failed                ? status::failed
                      : isDone()              ? status::complete
                      : !hadHead && hasHead() ? status::head_complete
                                              : status::incomplete;
        return fed;
    }

    bool endsWithConnection()
    {
        if (m_failed || !hasHead()) {
            return false;
        }
        error_code error;
        if (!m_message->is_done()) {
            m_message->put_eof(error);
        }
        return !error && m_message->is_done();
    }

    std::size_t m_maxHeaderBytes;
    std::size_t m_maxBodyBytes;
    std::optional<message_parser> m_message;
    std::size_t m_consumed = 0;
    /// Bytes of all heads; set with the end of the final one.
    std::size_t m_headBytes = 0;
    bool m_failed = false;
    answer_fault m_fault;

private:
    bool isDone() const { return m_message->is_done() && !m_message->isInterim(); }

    /// @returns the number of bytes that were read.
    std::size_t put(std::string_view bytes, error_code &error)
    {
        // The library expects a last chunk to be whole where it is the first one, too.
        const bool isFirstChunk = hasHead() && m_message->chunked() && m_consumed == m_headBytes;
        if (isFirstChunk && bytes.size() < kLastChunk.size()) {
            error = http::error::need_more;
            return 0;
        }
        if (m_message->got_some()) {
            return m_message->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        }
        if (bytes.size() < kStatusCodeEnd + kLineEnd.size()) {
            error = http::error::need_more;
            return 0;
        }
        // Servers without a reason leave out the blank before it as well, which the library insists on.
        std::string line(bytes.substr(0, kStatusCodeEnd));
        if (bytes.substr(kStatusCodeEnd, kLineEnd.size()) != kLineEnd) {
            return m_message->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        }
        line += ' ';
        line += kLineEnd;
        m_message->put(boost::asio::const_buffer(line.data(), line.size()), error);
        if (error == http::error::need_more) {
            error = {};
        }
        return error ? 0 : kStatusCodeEnd + kLineEnd.size();
    }

    /// @param pending bytes that only make sense together with further ones.
    void checkSizes(std::size_t pending)
    {
        if (!hasHead()) {
            if (m_consumed + pending > m_maxHeaderBytes) {
                fail("head_too_large");
            }
            return;
        }
        const std::size_t headBytes = m_headBytes == 0 ? m_consumed : m_headBytes;
        const std::size_t bodyBytes = m_message->m_bodyBytes;
        const std::size_t framing = m_consumed + pending - headBytes - bodyBytes;
        if (headBytes > m_maxHeaderBytes) {
            fail("head_too_large");
        } else if (bodyBytes > m_maxBodyBytes) {
            fail("body_too_large");
        } else if (framing > m_maxHeaderBytes + kFramingPerBodyByte * bodyBytes) {
            fail("framing_too_large");
        }
    }

    void takeHead()
    {
        m_headBytes = m_consumed;
        m_message->eager(true);
        if (!m_message->is_done() && m_message->content_length().value_or(0) > m_maxBodyBytes) {
            fail("body_too_large");
        }
    }

    void fail(std::string_view rule)
    {
        if (!m_failed) {
            m_failed = true;
            m_fault = {rule, m_consumed};
        }
    }
};

http_response_parser::http_response_parser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : m_impl(std::make_unique<implementation>(maxHeaderBytes, maxBodyBytes))
{}

http_response_parser::~http_response_parser() = default;

http_response_parser::result http_response_parser::feed(std::string_view bytes)
{
    return m_impl->feed(bytes);
}

bool http_response_parser::endsWithConnection()
{
    return m_impl->endsWithConnection();
}

bool http_response_parser::hasHead() const
{
    return m_impl->hasHead();
}

int http_response_parser::statusCode() const
{
    return m_impl->m_message->m_code;
}

const http_headers &http_response_parser::headers() const
{
    return m_impl->m_message->m_headers;
}

std::optional<std::size_t> http_response_parser::bodyLength() const
{
    const auto length = m_impl->m_message->content_length();
    return length ? std::optional<std::size_t>(*length) : std::nullopt;
}

bool http_response_parser::keepsAlive() const
{
    return m_impl->m_message->keep_alive();
}

std::string &http_response_parser::body()
{
    return m_impl->m_message->m_body;
}

const answer_fault &http_response_parser::fault() const
{
    return m_impl->m_fault;
}

} // namespace jacinthvale
