#include <jacinthvale/http_server.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <map>
#include <ranges>
#include <sys/socket.h>
#include <unordered_map>

namespace jacinthvale {

namespace {

constexpr int kAllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE;

std::string methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

std::string decodePercent(const char *text, bool plusIsSpace)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(text, plusIsSpace ? 1 : 0, &size);
    if (decoded == nullptr) {
        return {};
    }
    std::string result(decoded, size);
    free(decoded);
    return result;
}

http_headers readHeaders(evkeyvalq *list)
{
    http_headers headers;
    for (evkeyval *item = list->tqh_first; item != nullptr; item = item->next.tqe_next) {
        headers.emplace(item->key, item->value);
    }
    return headers;
}

std::set<std::string, header_less> findRepeatedHeaders(evkeyvalq *list)
{
    std::set<std::string, header_less> seen;
    std::set<std::string, header_less> repeated;
    for (evkeyval *item = list->tqh_first; item != nullptr; item = item->next.tqe_next) {
        if (!seen.emplace(item->key).second) {
            repeated.emplace(item->key);
        }
    }
    return repeated;
}

std::map<std::string, std::string> readQuery(const char *query)
{
    std::map<std::string, std::string> result;
    evkeyvalq list{};
    if (query == nullptr || evhttp_parse_query_str(query, &list) != 0) {
        return result;
    }
    for (evkeyval *item = list.tqh_first; item != nullptr; item = item->next.tqe_next) {
        result.emplace(item->key, item->value);
    }
    evhttp_clear_headers(&list);
    return result;
}

std::string readBody(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

void addHeaders(evhttp_request *request, const http_headers &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : headers) {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

/// Owns an evbuffer for the length of one call.
class scratch_buffer
{
public:
    explicit scratch_buffer(const std::string &bytes)
        : m_buffer(evbuffer_new())
    {
        evbuffer_add(m_buffer, bytes.data(), bytes.size());
    }
    ~scratch_buffer() { evbuffer_free(m_buffer); }
    scratch_buffer(const scratch_buffer &) = delete;
    scratch_buffer &operator=(const scratch_buffer &) = delete;

    evbuffer *get() const { return m_buffer; }

private:
    evbuffer *m_buffer;
};

} // namespace

class http_server::implementation
{
public:
    implementation(event_base *base, http_server_limits limits, http_server_listener listener)
        : m_base(base)
        , m_limits(limits)
        , m_listener(std::move(listener))
        , m_http(evhttp_new(base))
    {
        evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(m_limits.maxHeaderBytes));
        evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(m_limits.maxBodyBytes));
        evhttp_set_allowed_methods(m_http, kAllowedMethods);
        evhttp_set_default_content_type(m_http, "application/json");
        evhttp_set_gencb(m_http, &implementation::handle, this);
    }

    ~implementation()
    {
        for (auto &[id, open] : m_exchanges) {
            evhttp_connection_set_closecb(open.connection, nullptr, nullptr);
            event_free(open.hangUp);
        }
        evhttp_free(m_http);
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    absl::Status listen(const endpoint &where)
    {
        m_socket = evhttp_bind_socket_with_handle(m_http, where.address.c_str(), where.port);
        if (m_socket == nullptr) {
            return absl::UnavailableError(absl::StrCat("cannot listen on ", toString(where)));
        }
        return absl::OkStatus();
    }

    std::uint16_t port() const
    {
        sockaddr_storage address{};
        socklen_t size = sizeof(address);
        getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&address), &size);
        if (address.ss_family == AF_INET6) {
            return ntohs(reinterpret_cast<sockaddr_in6 *>(&address)->sin6_port);
        }
        return ntohs(reinterpret_cast<sockaddr_in *>(&address)->sin_port);
    }

    bool reply(const reply_http &answer)
    {
        if (exchange *open = find(answer.exchange); open != nullptr && open->begun) {
            // The reader would take a second head for a part of the stream.
            giveUp(*open);
            return false;
        }
        evhttp_request *request = release(answer.exchange);
        if (request == nullptr) {
            return true;
        }
        addHeaders(request, answer.headers);
        const scratch_buffer body(answer.body);
        evhttp_send_reply(request, answer.status, nullptr, body.get());
        return true;
    }

    void begin(const begin_reply &answer)
    {
        if (exchange *open = find(answer.exchange)) {
            open->begun = true;
            addHeaders(open->request, answer.headers);
            evhttp_send_reply_start(open->request, answer.status, nullptr);
        }
    }

    void chunk(const reply_chunk &answer)
    {
        exchange *open = find(answer.exchange);
        if (open == nullptr || answer.bytes.empty()) {
            return;
        }
        const scratch_buffer bytes(answer.bytes);
        evhttp_send_reply_chunk(open->request, bytes.get());
        if (unsentBytes(open->connection) > m_limits.maxUnreadBytes) {
            giveUp(*open);
            m_listener.onAbandoned({answer.exchange});
        }
    }

    void end(const end_reply &answer)
    {
        if (!answer.aborted) {
            if (evhttp_request *request = release(answer.exchange)) {
                evhttp_send_reply_end(request);
            }
            return;
        }
        if (exchange *open = find(answer.exchange)) {
            giveUp(*open);
        }
    }

    std::size_t openExchanges() const { return m_exchanges.size(); }

    bool hasUnsentBytes() const { return !m_flushing.empty(); }

    std::vector<unsent_answer> unsentAnswers() const
    {
        std::vector<unsent_answer> answers;
        const auto add = [&](exchange_id id, evhttp_connection *connection, bool repeatable) {
            if (const std::size_t bytes = unsentBytes(connection); bytes > 0) {
                answers.push_back({id, bytes, repeatable});
            }
        };
        for (const auto &[connection, flushing] : m_flushing) {
            add(flushing.id, connection, flushing.repeatable);
        }
        for (const auto &[id, open] : m_exchanges) {
            add(id, open.connection, false);
        }
        return answers;
    }

    void drop(exchange_id id)
    {
        if (exchange *open = find(id)) {
            giveUp(*open);
            m_listener.onAbandoned({id});
            return;
        }
        const auto found
                = std::ranges::find(m_flushing, id, [](const auto &entry) { return entry.second.id; });
        if (found == m_flushing.end()) {
            return;
        }
        evhttp_connection *connection = found->first;
        m_flushing.erase(found);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_free(connection);
    }

private:
    struct exchange
    {
        implementation *owner = nullptr;
        exchange_id id;
        evhttp_request *request = nullptr;
        evhttp_connection *connection = nullptr;
        /// Fires when the caller closes, and when we give the connection up. evhttp itself does not read, and
        /// so does not notice a close, between a request and its answer.
        ::event *hangUp = nullptr;
        /// We gave the connection up; its close is no news.
        bool givenUp = false;
        /// The head of a streamed answer is sent.
        bool begun = false;
    };

    /// An answer that was handed over to evhttp as a whole and is not written yet.
    struct flushing_answer
    {
        exchange_id id;
        bool repeatable = false;
    };

    static void handle(evhttp_request *request, void *self)
    {
        static_cast<implementation *>(self)->accept(request);
    }

    void accept(evhttp_request *request)
    {
        const exchange_id id{++m_lastId};
        exchange &open = m_exchanges[id];
        evhttp_connection *connection = evhttp_request_get_connection(request);
        const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        ::event *hangUp = event_new(m_base, socket, EV_CLOSED, &implementation::hungUp, &open);
        open = {this, id, request, connection, hangUp};
        event_add(hangUp, nullptr);
        evhttp_connection_set_closecb(connection, &implementation::closed, &open);
        const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
        const char *path = evhttp_uri_get_path(uri);
        evkeyvalq *headers = evhttp_request_get_input_headers(request);
        m_listener.onRequest({id, methodName(evhttp_request_get_command(request)),
                              decodePercent(path == nullptr ? "" : path, false),
                              readQuery(evhttp_uri_get_query(uri)), readHeaders(headers), readBody(request),
                              evhttp_request_get_uri(request), findRepeatedHeaders(headers)});
    }

    /// evhttp closes the connection of an unfinished exchange.
    static void closed(evhttp_connection *, void *argument)
    {
        const auto *open = static_cast<exchange *>(argument);
        // evhttp detaches an unanswered request from a connection that fails, and leaves it to us.
        if (evhttp_request_get_connection(open->request) == nullptr) {
            evhttp_request_free(open->request);
        }
        open->owner->forget(*open);
    }

    static void hungUp(evutil_socket_t, short, void *argument)
    {
        const auto *open = static_cast<exchange *>(argument);
        evhttp_connection *connection = open->connection;
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        open->owner->forget(*open);
        // Frees the unanswered request, too.
        evhttp_connection_free(connection);
    }

    void forget(const exchange &open)
    {
        const exchange_id id = open.id;
        const bool tell = !open.givenUp;
        event_free(open.hangUp);
        m_exchanges.erase(id);
        if (tell) {
            m_listener.onAbandoned({id});
        }
    }

    /// The connection is closed from the event loop: evhttp may be using it now.
    static void giveUp(exchange &open)
    {
        open.givenUp = true;
        event_active(open.hangUp, EV_CLOSED, 1);
    }

    exchange *find(exchange_id id)
    {
        const auto found = m_exchanges.find(id);
        return found == m_exchanges.end() || found->second.givenUp ? nullptr : &found->second;
    }

    /// Takes an exchange off the books because its whole answer is about to be handed over.
    evhttp_request *release(exchange_id id)
    {
        exchange *open = find(id);
        if (open == nullptr) {
            return nullptr;
        }
        evhttp_request *request = open->request;
        watchFlush(*open);
        event_free(open->hangUp);
        m_exchanges.erase(id);
        return request;
    }

    /// The connection counts as flushing until evhttp has written the answer or closed the connection.
    void watchFlush(const exchange &open)
    {
        m_flushing[open.connection] = {open.id, evhttp_request_get_command(open.request) == EVHTTP_REQ_GET};
        evhttp_connection_set_closecb(open.connection, &implementation::flushClosed, this);
        evhttp_request_set_on_complete_cb(open.request, &implementation::flushed, this);
    }

    static void flushed(evhttp_request *request, void *self)
    {
        auto *server = static_cast<implementation *>(self);
        evhttp_connection *connection = evhttp_request_get_connection(request);
        server->m_flushing.erase(connection);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }

    static void flushClosed(evhttp_connection *connection, void *self)
    {
        static_cast<implementation *>(self)->m_flushing.erase(connection);
    }

    static std::size_t unsentBytes(evhttp_connection *connection)
    {
        bufferevent *buffer = evhttp_connection_get_bufferevent(connection);
        return evbuffer_get_length(bufferevent_get_output(buffer));
    }

    event_base *m_base;
    http_server_limits m_limits;
    http_server_listener m_listener;
    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    std::uint64_t m_lastId = 0;
    std::unordered_map<exchange_id, exchange> m_exchanges;
    std::map<evhttp_connection *, flushing_answer> m_flushing;
};

http_server::http_server(event_base *base, http_server_limits limits, http_server_listener listener)
    : m_impl(std::make_unique<implementation>(base, limits, std::move(listener)))
{}

http_server::~http_server() = default;

absl::Status http_server::listen(const endpoint &where)
{
    return m_impl->listen(where);
}

std::uint16_t http_server::port() const
{
    return m_impl->port();
}

bool http_server::reply(const reply_http &answer)
{
    return m_impl->reply(answer);
}

void http_server::begin(const begin_reply &answer)
{
    m_impl->begin(answer);
}

void http_server::chunk(const reply_chunk &answer)
{
    m_impl->chunk(answer);
}

void http_server::end(const end_reply &answer)
{
    m_impl->end(answer);
}

std::size_t http_server::openExchanges() const
{
    return m_impl->openExchanges();
}

bool http_server::hasUnsentBytes() const
{
    return m_impl->hasUnsentBytes();
}

std::vector<http_server::unsent_answer> http_server::unsentAnswers() const
{
    return m_impl->unsentAnswers();
}

void http_server::drop(exchange_id exchange)
{
    m_impl->drop(exchange);
}

} // namespace jacinthvale
