#include "http_connection.h"

#include "http_fields.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthvale {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr std::size_t kHeadReadBytes = 16 * 1024;
constexpr std::size_t kBodyReadBytes = 64 * 1024;
/// Line ends that are skipped before a request.
constexpr std::size_t kMaxEmptyBytes = 8;
/// A body in chunks claims room in steps, each twice the one before.
constexpr std::size_t kFirstClaimBytes = 64 * 1024;
/// Bytes that are read and dropped after a refusal.
constexpr std::size_t kMaxDroppedBytes = 64 * 1024 * 1024;

std::string reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

std::string decodePercent(const char *text)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(text, 0, &size);
    if (decoded == nullptr) {
        return {};
    }
    std::string result(decoded, size);
    free(decoded);
    return result;
}

} // namespace

http_connection::http_connection(event_base *base, evutil_socket_t socket, http_connection_owner &owner)
    : m_base(base)
    , m_socket(socket)
    , m_owner(owner)
    , m_id(owner.guard().open())
    , m_since(connection_guard::now())
    , m_progressAt(m_since)
    , m_inputEvent(
              event_new(base, socket, EV_READ | EV_CLOSED | EV_PERSIST, &http_connection::inputReady, this))
    , m_outputEvent(event_new(base, socket, EV_WRITE, &http_connection::outputReady, this))
    , m_output(evbuffer_new())
{
    event_add(m_inputEvent, nullptr);
}

http_connection::~http_connection()
{
    if (isOpen()) {
        m_owner.guard().closed(m_claimed + m_held);
        ::close(m_socket);
    }
    event_free(m_inputEvent);
    event_free(m_outputEvent);
    evbuffer_free(m_output);
}

connection_view http_connection::view() const
{
    connection_view view{m_id, m_stage, m_claimed + m_held, 0, m_moved, m_since, m_progressAt, m_repeatable};
    switch (m_stage) {
    case connection_stage::waiting:
        view.bytes = m_wanted;
        break;
    case connection_stage::body: {
        const std::size_t expected = m_parser->bodyLength().value_or(m_claimed);
        view.remaining = expected - std::min(expected, m_parser->body().size());
        break;
    }
    case connection_stage::exchange:
    case connection_stage::answering:
        view.remaining = unsentBytes();
        break;
    default:
        break;
    }
    return view;
}

std::size_t http_connection::unsentBytes() const
{
    return evbuffer_get_length(m_output);
}

http_request_received http_connection::takeRequest(exchange_id exchange)
{
    http_request_received request;
    request.exchange = exchange;
    request.method = m_parser->method();
    request.target = m_parser->target();
    request.headers = m_parser->headers();
    request.repeatedHeaders = m_parser->repeatedHeaders();
    request.body = std::move(m_parser->body());
    if (evhttp_uri *uri = evhttp_uri_parse_with_flags(request.target.c_str(), EVHTTP_URI_NONCONFORMANT)) {
        const char *path = evhttp_uri_get_path(uri);
        request.path = decodePercent(path == nullptr ? "" : path);
        evkeyvalq list{};
        const char *query = evhttp_uri_get_query(uri);
        if (query != nullptr && evhttp_parse_query_str(query, &list) == 0) {
            for (evkeyval *item = list.tqh_first; item != nullptr; item = item->next.tqe_next) {
                request.query.emplace(item->key, item->value);
            }
            evhttp_clear_headers(&list);
        }
        evhttp_uri_free(uri);
    }
    m_parser.reset();
    return request;
}

void http_connection::inputReady(evutil_socket_t, short what, void *self)
{
    auto *connection = static_cast<http_connection *>(self);
    if (!connection->isOpen()) {
        return;
    }
    connection->m_peerClosed = connection->m_peerClosed || (what & EV_CLOSED) != 0;
    switch (connection->m_stage) {
    case connection_stage::exchange:
    case connection_stage::waiting:
        if (connection->m_peerClosed) {
            connection->close();
        } else {
            // What a caller sends ahead stays in the socket until its turn.
            connection->watchInput(watch::close_only);
        }
        break;
    case connection_stage::answering:
        // The answer goes on to a caller that has closed its sending side.
        connection->watchInput(connection->m_peerClosed ? watch::none : watch::close_only);
        break;
    case connection_stage::closing:
        connection->dropInput();
        break;
    default:
        connection->read();
        break;
    }
}

void http_connection::enter(connection_stage stage)
{
    m_stage = stage;
    m_since = connection_guard::now();
    m_progressAt = m_since;
    m_moved = 0;
}

void http_connection::watchInput(watch wanted)
{
    if (m_watch == wanted) {
        return;
    }
    m_watch = wanted;
    event_del(m_inputEvent);
    if (wanted == watch::none) {
        return;
    }
    const short what = wanted == watch::input ? EV_READ | EV_CLOSED | EV_PERSIST : EV_CLOSED | EV_PERSIST;
    event_assign(m_inputEvent, m_base, m_socket, what, &http_connection::inputReady, this);
    event_add(m_inputEvent, nullptr);
}

void http_connection::read()
{
    static thread_local std::array<char, kBodyReadBytes> bytes;
    const std::size_t most = m_stage == connection_stage::body ? kBodyReadBytes : kHeadReadBytes;
    // Input that was left over goes first; the rest stays in the socket.
    if (m_input.empty() || m_stage == connection_stage::head || m_stage == connection_stage::body) {
        const ssize_t size = ::recv(m_socket, bytes.data(), most, MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
            close();
            return;
        }
        if (size > 0) {
            m_progressAt = connection_guard::now();
            m_moved += static_cast<std::size_t>(size);
            m_input.append(bytes.data(), static_cast<std::size_t>(size));
        }
    }
    advance();
}

void http_connection::dropInput()
{
    static thread_local std::array<char, kBodyReadBytes> bytes;
    const ssize_t size = ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    m_dropped += size > 0 ? static_cast<std::size_t>(size) : 0;
    if (size <= 0 || m_dropped > kMaxDroppedBytes) {
        close();
    }
}

/// Goes on with the input as far as it reaches.
void http_connection::advance()
{
    if (m_stage == connection_stage::idle && !skipEmptyLines()) {
        updateHeld();
        return;
    }
    if (m_stage == connection_stage::idle) {
        enter(connection_stage::head);
        m_parser = std::make_unique<http_request_parser>(m_owner.limits().maxHeaderBytes);
    }
    if (m_stage == connection_stage::head) {
        takeHead();
    } else if (m_stage == connection_stage::body) {
        feedBody();
    }
    if (isOpen()) {
        updateHeld();
    }
}

/// @returns false while no byte of a request has arrived.
bool http_connection::skipEmptyLines()
{
    const std::size_t begin = std::min(m_input.find_first_not_of("\r\n"), m_input.size());
    m_input.erase(0, begin);
    m_emptyBytes += begin;
    if (m_emptyBytes > kMaxEmptyBytes) {
        refuse(kBadRequest, "malformed");
        return false;
    }
    return !m_input.empty();
}

void http_connection::takeHead()
{
    const auto fed = m_parser->feed(m_input);
    m_input.erase(0, fed.consumed);
    if (fed.reached == http_request_parser::status::incomplete) {
        return;
    }
    if (fed.reached == http_request_parser::status::failed) {
        refuse(m_parser->errorStatus(), "malformed");
        return;
    }
    m_repeatable = m_parser->method() == "GET";
    m_http11 = m_parser->isHttp11();
    m_keepAlive = m_parser->keepsAlive();
    if (fed.reached == http_request_parser::status::complete) {
        complete();
        return;
    }
    const auto length = m_parser->bodyLength();
    if (length.value_or(0) > std::min(m_owner.limits().maxBodyBytes, m_owner.guard().largestClaim())) {
        refuse(kTooLarge, "body_too_large");
        return;
    }
    enter(connection_stage::body);
    if (!claimBody(length.value_or(kFirstClaimBytes))) {
        return;
    }
    if (m_parser->expectsContinue()) {
        constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        evbuffer_add(m_output, kContinue.data(), kContinue.size());
        flush();
        if (!isOpen()) {
            return;
        }
    }
    feedBody();
}

/// Claims room for a body of so many bytes in all. @returns false if it has to wait.
bool http_connection::claimBody(std::size_t bytes)
{
    if (!m_owner.guard().claim(bytes)) {
        m_wanted = bytes;
        enter(connection_stage::waiting);
        watchInput(watch::close_only);
        m_owner.guard().lookSoon();
        return false;
    }
    m_parser->body().reserve(bytes);
    m_owner.guard().release(m_claimed);
    m_claimed = bytes;
    return true;
}

void http_connection::resumeWaiting()
{
    if (m_stage != connection_stage::waiting) {
        return;
    }
    const std::size_t moved = m_parser->body().size();
    const instant since = m_since;
    if (!claimBody(m_wanted)) {
        // It has waited since before.
        m_since = since;
        return;
    }
    enter(connection_stage::body);
    m_moved = moved;
    watchInput(watch::input);
    if (moved == 0 && m_parser->expectsContinue()) {
        constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        evbuffer_add(m_output, kContinue.data(), kContinue.size());
        flush();
    }
    if (isOpen() && !m_input.empty()) {
        advance();
    }
}

/// Claims more room for a body in chunks. @returns false if it is refused, or has to wait.
bool http_connection::growBody(std::size_t arriving)
{
    const std::size_t most = std::min(m_owner.limits().maxBodyBytes, m_owner.guard().largestClaim());
    const std::size_t wanted = m_parser->body().size() + arriving;
    if (m_parser->bodyLength() || wanted <= m_claimed) {
        return true;
    }
    if (m_parser->body().size() > most) {
        refuse(kTooLarge, "body_too_large");
        return false;
    }
    // Framing that arrives with the last bytes of a body at the limit needs no room.
    return claimBody(std::max(std::min(most + kBodyReadBytes, m_claimed * 2), wanted));
}

void http_connection::feedBody()
{
    if (!growBody(m_input.size())) {
        return;
    }
    const auto fed = m_parser->feed(m_input);
    m_input.erase(0, fed.consumed);
    if (fed.reached == http_request_parser::status::failed) {
        refuse(m_parser->errorStatus(), "malformed");
    } else if (!m_parser->bodyLength() && m_parser->body().size() > m_owner.limits().maxBodyBytes) {
        refuse(kTooLarge, "body_too_large");
    } else if (fed.reached == http_request_parser::status::complete) {
        complete();
    }
}

void http_connection::complete()
{
    enter(connection_stage::exchange);
    m_emptyBytes = 0;
    m_closeAfterAnswer = !m_keepAlive;
    if (m_input.empty()) {
        m_input.shrink_to_fit();
    }
    m_owner.onRequest(*this);
}

void http_connection::writeHead(int status, const http_headers &headers, const std::string &framing)
{
    std::string head = absl::StrCat("HTTP/1.1 ", status, " ", reasonPhrase(status), "\r\n");
    for (const auto &[name, value] : headers) {
        if (isFraming(name) || hasLineEnd(name) || hasLineEnd(value)) {
            continue;
        }
        if (absl::EqualsIgnoreCase(name, "Connection")) {
            m_closeAfterAnswer = m_closeAfterAnswer || absl::EqualsIgnoreCase(value, "close");
            continue;
        }
        absl::StrAppend(&head, name, ": ", value, "\r\n");
    }
    if (!headers.contains("Content-Type") && status != kNoContent && status != kNotModified) {
        absl::StrAppend(&head, "Content-Type: application/json\r\n");
    }
    if (!headers.contains("Date")) {
        absl::StrAppend(&head, "Date: ",
                        absl::FormatTime("%a, %d %b %Y %H:%M:%S GMT", absl::Now(), absl::UTCTimeZone()),
                        "\r\n");
    }
    if (m_closeAfterAnswer) {
        absl::StrAppend(&head, "Connection: close\r\n");
    } else if (!m_http11) {
        absl::StrAppend(&head, "Connection: keep-alive\r\n");
    }
    absl::StrAppend(&head, framing, "\r\n");
    evbuffer_add(m_output, head.data(), head.size());
}

void http_connection::reply(int status, const http_headers &headers, const std::string &body)
{
    const bool hasBody = status != kNoContent && status != kNotModified;
    startProgress();
    writeHead(status, headers, hasBody ? absl::StrCat("Content-Length: ", body.size(), "\r\n") : "");
    if (hasBody) {
        evbuffer_add(m_output, body.data(), body.size());
    }
    end();
}

/// The time without progress of a reader runs from the first byte that it leaves unread.
void http_connection::startProgress()
{
    if (unsentBytes() == 0) {
        m_progressAt = connection_guard::now();
    }
}

void http_connection::begin(int status, const http_headers &headers)
{
    m_chunkedAnswer = m_http11;
    // A caller of HTTP/1.0 learns of the end by the close.
    m_closeAfterAnswer = m_closeAfterAnswer || !m_http11;
    writeHead(status, headers, m_chunkedAnswer ? "Transfer-Encoding: chunked\r\n" : "");
    flush();
}

void http_connection::chunk(const std::string &bytes)
{
    startProgress();
    if (m_chunkedAnswer) {
        evbuffer_add_printf(m_output, "%zx\r\n", bytes.size());
    }
    evbuffer_add(m_output, bytes.data(), bytes.size());
    if (m_chunkedAnswer) {
        evbuffer_add(m_output, "\r\n", 2);
    }
    flush();
}

void http_connection::end()
{
    if (std::exchange(m_chunkedAnswer, false)) {
        constexpr std::string_view kLastChunk = "0\r\n\r\n";
        evbuffer_add(m_output, kLastChunk.data(), kLastChunk.size());
    }
    m_owner.guard().release(std::exchange(m_claimed, 0));
    enter(connection_stage::answering);
    flush();
}

void http_connection::refuse(int status, std::string_view reason)
{
    m_owner.guard().reportEnd(m_owner.listenerName(), reason);
    m_parser.reset();
    m_input = {};
    m_refused = true;
    m_closeAfterAnswer = true;
    http_headers headers = m_owner.limits().refusalHeaders;
    if (status == kUnavailable) {
        headers["Retry-After"] = "1";
    }
    // What the caller still sends is dropped from now on.
    reply(status, headers, absl::StrCat(R"({"error":")", std::string(reason), "\"}"));
}

void http_connection::outputReady(evutil_socket_t, short, void *self)
{
    auto *connection = static_cast<http_connection *>(self);
    if (connection->isOpen()) {
        connection->flush();
    }
}

void http_connection::flush()
{
    while (unsentBytes() > 0) {
        const int size = evbuffer_write(m_output, m_socket);
        if (size < 0 && errno != EAGAIN && errno != EINTR) {
            close();
            return;
        }
        if (size <= 0) {
            event_add(m_outputEvent, nullptr);
            break;
        }
        m_progressAt = connection_guard::now();
        m_moved += static_cast<std::size_t>(size);
    }
    updateHeld();
    if (m_stage == connection_stage::answering && unsentBytes() == 0) {
        answered();
    }
}

void http_connection::answered()
{
    m_owner.onAnswered(*this);
    if (!m_closeAfterAnswer) {
        enter(connection_stage::idle);
        watchInput(watch::input);
        if (!m_input.empty() || m_peerClosed) {
            // From the loop: others get their turn between requests that were sent ahead.
            event_active(m_inputEvent, EV_READ, 0);
        }
        return;
    }
    if (!m_refused && m_input.empty() && m_watch == watch::input) {
        close();
        return;
    }
    // Closing with unread bytes would reset the connection, and the caller might lose the answer.
    m_input = {};
    enter(connection_stage::closing);
    updateHeld();
    shutdown(m_socket, SHUT_WR);
    watchInput(watch::input);
}

void http_connection::close()
{
    if (!isOpen()) {
        return;
    }
    const bool abandoned = m_stage == connection_stage::exchange;
    event_del(m_inputEvent);
    event_del(m_outputEvent);
    m_owner.guard().closed(m_claimed + m_held);
    ::close(std::exchange(m_socket, -1));
    evbuffer_drain(m_output, unsentBytes());
    if (abandoned) {
        m_owner.onAbandoned(*this);
    }
    m_owner.onClosed(*this);
}

void http_connection::setHeld(std::size_t bytes)
{
    if (bytes > m_held) {
        m_owner.guard().hold(bytes - m_held);
    } else {
        m_owner.guard().release(m_held - bytes);
    }
    m_held = bytes;
}

void http_connection::updateHeld()
{
    setHeld(unsentBytes() + m_input.size());
}

} // namespace jacinthvale
