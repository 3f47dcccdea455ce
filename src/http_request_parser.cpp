#include "http_request_parser.h"

#include <absl/strings/match.h>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace jacinthvale {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;
constexpr int kHttp11 = 11;
/// Framing that a byte of a body may cost: chunks of one byte need five.
constexpr std::size_t kFramingPerBodyByte = 16;
const std::set<std::string_view> kMethods = {"GET", "POST", "PUT", "DELETE"};

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

class http_request_parser::implementation final : public http::basic_parser<true>
{
public:
    explicit implementation(std::size_t maxHeaderBytes)
        : m_maxHeaderBytes(maxHeaderBytes)
    {
        header_limit(static_cast<std::uint32_t>(
                std::min<std::size_t>(maxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
        // The owner bounds bodies; without a limit, this parser refuses any length.
        body_limit(std::numeric_limits<std::uint64_t>::max());
        eager(false);
    }

    result feed(std::string_view bytes)
    {
        result fed;
        const bool headWasComplete = is_header_done();
        while (fed.consumed < bytes.size() && !is_done() && m_status == 0) {
            error_code error;
            const std::size_t count
                    = put(boost::asio::const_buffer(bytes.data() + fed.consumed, bytes.size() - fed.consumed),
                          error);
            fed.consumed += count;
            m_bytesAfterHead += headWasComplete ? count : 0;
            if (error == http::error::need_more) {
                // A part that has to be whole to be read: a head, the size of a chunk, trailers.
                if (bytes.size() - fed.consumed > m_maxHeaderBytes) {
                    fail(kBadRequest);
                }
                break;
            }
            if (error) {
                fail(kBadRequest);
            } else if (!headWasComplete && is_header_done()) {
                checkHead();
                eager(true);
                break;
            }
        }
        const std::size_t framing = m_bytesAfterHead - std::min(m_bytesAfterHead, m_body.size());
        if (!is_done() && framing > m_maxHeaderBytes + kFramingPerBodyByte * m_body.size()) {
            fail(kBadRequest);
        }
        fed.reached = m_status != 0                          ? status::failed
                      : is_done()                            ? status::complete
                      : !headWasComplete && is_header_done() ? status::head_complete
                                                             : status::incomplete;
        return fed;
    }

    std::size_t m_maxHeaderBytes;
    std::size_t m_bytesAfterHead = 0;
    int m_status = 0;
    std::string m_method;
    std::string m_target;
    http_headers m_headers;
    std::set<std::string, header_less> m_repeated;
    std::string m_body;
    int m_version = kHttp11;

private:
    void fail(int status) { m_status = m_status == 0 ? status : m_status; }

    void checkHead()
    {
        // A body whose end cannot be told would be taken for the next request.
        if (m_headers.contains("Transfer-Encoding") && !chunked()) {
            fail(kBadRequest);
        }
        if (!kMethods.contains(m_method)) {
            fail(kNotImplemented);
        }
    }

    void on_request_impl(http::verb, boost::beast::string_view method, boost::beast::string_view target,
                         int version, error_code &) override
    {
        m_method = viewOf(method);
        m_target = viewOf(target);
        m_version = version;
    }
    void on_response_impl(int, boost::beast::string_view, int, error_code &) override {}
    void on_field_impl(http::field, boost::beast::string_view name, boost::beast::string_view value,
                       error_code &) override
    {
        // Trailers are dropped.
        if (is_header_done()) {
            return;
        }
        if (!m_headers.emplace(std::string(viewOf(name)), std::string(viewOf(value))).second) {
            m_repeated.emplace(viewOf(name));
        }
    }
    void on_header_impl(error_code &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override {}
    std::size_t on_body_impl(boost::beast::string_view bytes, error_code &) override
    {
        m_body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, error_code &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view bytes, error_code &) override
    {
        m_body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code &) override {}
};

http_request_parser::http_request_parser(std::size_t maxHeaderBytes)
    : m_impl(std::make_unique<implementation>(maxHeaderBytes))
{}

http_request_parser::~http_request_parser() = default;

http_request_parser::result http_request_parser::feed(std::string_view bytes)
{
    return m_impl->feed(bytes);
}

int http_request_parser::errorStatus() const
{
    return m_impl->m_status;
}

const std::string &http_request_parser::method() const
{
    return m_impl->m_method;
}

const std::string &http_request_parser::target() const
{
    return m_impl->m_target;
}

const http_headers &http_request_parser::headers() const
{
    return m_impl->m_headers;
}

const std::set<std::string, header_less> &http_request_parser::repeatedHeaders() const
{
    return m_impl->m_repeated;
}

std::optional<std::size_t> http_request_parser::bodyLength() const
{
    if (m_impl->chunked()) {
        return std::nullopt;
    }
    const auto length = m_impl->content_length();
    return length ? static_cast<std::size_t>(*length) : 0;
}

bool http_request_parser::expectsContinue() const
{
    const auto found = m_impl->m_headers.find("Expect");
    return found != m_impl->m_headers.end() && absl::EqualsIgnoreCase(found->second, "100-continue");
}

bool http_request_parser::keepsAlive() const
{
    return m_impl->keep_alive();
}

bool http_request_parser::isHttp11() const
{
    return m_impl->m_version >= kHttp11;
}

std::string &http_request_parser::body()
{
    return m_impl->m_body;
}

} // namespace jacinthvale
