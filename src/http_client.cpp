#include <jacinthvale/http_client.h>

#include <jacinthvale/event_timer.h>

#include <algorithm>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <unordered_map>

namespace jacinthvale {

namespace {

/// evhttp's own timeout is only a backstop behind the timers of each call.
constexpr int kBackstopTimeoutSeconds = 24 * 3600;

/// Lowest status of a response that is not interim.
constexpr int kFirstFinalStatus = 200;

evhttp_cmd_type commandOf(const std::string &method)
{
    if (method == "GET") {
        return EVHTTP_REQ_GET;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
}

http_headers readHeaders(evhttp_request *request)
{
    http_headers headers;
    evkeyvalq *list = evhttp_request_get_input_headers(request);
    for (evkeyval *item = list->tqh_first; item != nullptr; item = item->next.tqe_next) {
        headers.emplace(item->key, item->value);
    }
    return headers;
}

std::string drain(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    return bytes;
}

/// Adds bytes without copying them; the buffer holds them until it is drained.
void addShared(evbuffer *buffer, const shared_bytes &bytes)
{
    if (bytes.empty()) {
        return;
    }
    auto holder = std::make_unique<shared_bytes>(bytes);
    const auto release
            = [](const void *, std::size_t, void *held) { delete static_cast<shared_bytes *>(held); };
    if (evbuffer_add_reference(buffer, bytes.data(), bytes.size(), release, holder.get()) == 0) {
        static_cast<void>(holder.release());
    }
}

} // namespace

class http_client::implementation
{
public:
    implementation(event_base *base, http_client_limits limits)
        : m_base(base)
        , m_limits(limits)
        , m_reaper(base, [this] { reap(); })
    {}

    ~implementation()
    {
        reap();
        for (auto &[id, running] : m_calls) {
            closeConnection(*running);
        }
        for (auto &[target, idle] : m_idle) {
            std::ranges::for_each(idle,
                                  [](const idle_connection &c) { evhttp_connection_free(c.connection); });
        }
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    http_call_handle start(const call_http &call, http_call_listener listener)
    {
        const http_call_handle handle{++m_lastHandle};
        auto running = std::make_unique<running_call>();
        running->owner = this;
        running->handle = handle;
        running->call = call;
        running->listener = std::move(listener);
        running->connection = call.freshConnection ? connect(call.target) : takeIdle(call.target);
        running->outputWatch = evbuffer_add_cb(outputOf(running->connection), &implementation::outputChanged,
                                               running.get());
        running->inputWatch
                = evbuffer_add_cb(inputOf(running->connection), &implementation::inputChanged, running.get());
        running->timer = std::make_unique<event_timer>(m_base, [this, handle] { expire(handle); });
        running->timer->start(call.connectTimeout);
        running_call &stored = *m_calls.emplace(handle, std::move(running)).first->second;
        if (!dispatch(stored) && m_calls.contains(handle)) {
            // No connection could be made at all: reported from the loop like every other end.
            stored.timer->start(milliseconds{0});
        }
        return handle;
    }

    void cancel(http_call_handle handle)
    {
        const auto found = m_calls.find(handle);
        if (found == m_calls.end()) {
            return;
        }
        closeConnection(*found->second);
        m_calls.erase(found);
    }

    std::size_t runningCalls() const { return m_calls.size(); }

private:
    struct running_call
    {
        implementation *owner = nullptr;
        http_call_handle handle;
        call_http call;
        http_call_listener listener;
        evhttp_connection *connection = nullptr;
        evbuffer_cb_entry *outputWatch = nullptr;
        evbuffer_cb_entry *inputWatch = nullptr;
        std::unique_ptr<event_timer> timer;
        /// A byte of the request may have left this process.
        bool sent = false;
        /// More unread bytes have arrived than any answer within the limits leaves.
        bool oversized = false;
    };

    struct idle_connection
    {
        evhttp_connection *connection = nullptr;
        std::chrono::steady_clock::time_point since;
    };

    static evbuffer *outputOf(evhttp_connection *connection)
    {
        return bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    }

    static evbuffer *inputOf(evhttp_connection *connection)
    {
        return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
    }

    /// After a failure the idle connections to the same target may be as dead as the one that failed.
    void dropIdle(const endpoint &target)
    {
        for (const idle_connection &idle : m_idle[target]) {
            m_dying.push_back(idle.connection);
        }
        m_idle[target].clear();
        m_reaper.start(milliseconds{0});
    }

    evhttp_connection *connect(const endpoint &target) const
    {
        evhttp_connection *connection
                = evhttp_connection_base_new(m_base, nullptr, target.address.c_str(), target.port);
        evhttp_connection_set_timeout(connection, kBackstopTimeoutSeconds);
        evhttp_connection_set_retries(connection, 0);
        evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(m_limits.maxHeaderBytes));
        evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(m_limits.maxBodyBytes));
        return connection;
    }

    evhttp_connection *takeIdle(const endpoint &target)
    {
        auto &idle = m_idle[target];
        const auto oldest = std::chrono::steady_clock::now() - m_limits.maxIdleAge;
        while (!idle.empty() && idle.front().since < oldest) {
            evhttp_connection_free(idle.front().connection);
            idle.pop_front();
        }
        while (!idle.empty()) {
            evhttp_connection *connection = idle.back().connection;
            idle.pop_back();
            if (!hasUnreadInput(connection)) {
                return connection;
            }
            evhttp_connection_free(connection);
        }
        return connect(target);
    }

    /// True if the peer of an idle connection sent bytes or closed it. The bytes are part of no response that
    /// was asked for, such as a second copy of the last one; the next response would begin with them.
    static bool hasUnreadInput(evhttp_connection *connection)
    {
        const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        char byte = 0;
        return evbuffer_get_length(inputOf(connection)) > 0
               || (socket >= 0 && recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0);
    }

    void giveBack(const endpoint &target, evhttp_connection *connection)
    {
        auto &idle = m_idle[target];
        idle.push_back({connection, std::chrono::steady_clock::now()});
        if (idle.size() > m_limits.maxIdlePerTarget) {
            evhttp_connection_free(idle.front().connection);
            idle.pop_front();
        }
    }

    /// @returns false where evhttp refused the request at once.
    static bool dispatch(running_call &running)
    {
        evhttp_request *request = evhttp_request_new(&implementation::done, &running);
        evhttp_request_set_header_cb(request, &implementation::headArrived);
        if (running.call.streamed) {
            evhttp_request_set_chunked_cb(request, &implementation::chunkArrived);
        }
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        if (!running.call.headers.contains("Host")) {
            evhttp_add_header(headers, "Host", toString(running.call.target).c_str());
        }
        for (const auto &[name, value] : running.call.headers) {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
        addShared(evhttp_request_get_output_buffer(request), running.call.body);
        const auto command = commandOf(running.call.method);
        return evhttp_make_request(running.connection, request, command, running.call.path.c_str()) == 0;
    }

    /// Output that shrinks was handed to the socket, so the request may have left.
    static void outputChanged(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        if (info->n_deleted > 0) {
            running->sent = true;
            running->timer->start(running->call.progressTimeout);
        }
    }

    /// evhttp reads the length of a chunk without a limit.
    static void inputChanged(evbuffer *input, const evbuffer_cb_info *, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        const http_client_limits &limits = running->owner->m_limits;
        if (!running->oversized && evbuffer_get_length(input) > limits.maxHeaderBytes + limits.maxBodyBytes) {
            running->oversized = true;
            running->timer->start(milliseconds{0});
        }
    }

    /// The connection goes on without this call.
    static void stopWatching(const running_call &running)
    {
        evbuffer_remove_cb_entry(outputOf(running.connection), running.outputWatch);
        evbuffer_remove_cb_entry(inputOf(running.connection), running.inputWatch);
    }

    static int headArrived(evhttp_request *request, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        if (evhttp_request_get_response_code(request) < kFirstFinalStatus) {
            // An interim response is no progress; any number of them may follow.
            return 0;
        }
        running->timer->start(running->call.progressTimeout);
        const auto &[name, value] = running->call.echo;
        if (!name.empty()) {
            const char *echoed = evhttp_find_header(evhttp_request_get_input_headers(request), name.c_str());
            if (echoed != nullptr && value != echoed) {
                return -1;
            }
        }
        if (running->listener.onHead) {
            running->listener.onHead(evhttp_request_get_response_code(request), readHeaders(request));
        }
        return 0;
    }

    static void chunkArrived(evhttp_request *request, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        if (!running->oversized) {
            running->timer->start(running->call.progressTimeout);
        }
        running->listener.onChunk(drain(request));
    }

    static void done(evhttp_request *request, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        running->owner->finish(*running, request);
    }

    void finish(const running_call &running, evhttp_request *request)
    {
        http_call_finished result{running.call.operation, transfer_outcome::complete, 0, {}, {}};
        const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
        if (status == 0) {
            result.outcome
                    = running.sent ? transfer_outcome::failed_after_send : transfer_outcome::nothing_sent;
        } else {
            result.status = status;
            result.headers = readHeaders(request);
            result.body = drain(request);
        }
        const auto node = m_calls.extract(running.handle);
        running_call &last = *node.mapped();
        stopWatching(last);
        const bool leftOver = evbuffer_get_length(inputOf(last.connection)) > 0;
        if (status == 0 || last.call.freshConnection || leftOver) {
            freeSoon(last.connection);
            if (status == 0) {
                dropIdle(last.call.target);
            }
        } else {
            giveBack(last.call.target, last.connection);
        }
        last.listener.onFinished(std::move(result));
    }

    /// evhttp still uses a connection inside its callbacks, so it is freed from the loop.
    void freeSoon(evhttp_connection *connection)
    {
        m_dying.push_back(connection);
        m_reaper.start(milliseconds{0});
    }

    void reap()
    {
        std::ranges::for_each(m_dying, evhttp_connection_free);
        m_dying.clear();
    }

    void expire(http_call_handle handle)
    {
        const auto node = m_calls.extract(handle);
        if (node.empty()) {
            return;
        }
        const running_call &running = *node.mapped();
        closeConnection(running);
        dropIdle(running.call.target);
        const auto ended
                = running.oversized ? transfer_outcome::failed_after_send : transfer_outcome::timed_out;
        const auto outcome = running.sent ? ended : transfer_outcome::nothing_sent;
        running.listener.onFinished({running.call.operation, outcome, 0, {}, {}});
    }

    static void closeConnection(const running_call &running)
    {
        stopWatching(running);
        evhttp_connection_free(running.connection);
    }

    event_base *m_base;
    http_client_limits m_limits;
    std::uint64_t m_lastHandle = 0;
    std::unordered_map<http_call_handle, std::unique_ptr<running_call>> m_calls;
    std::map<endpoint, std::deque<idle_connection>> m_idle;
    std::vector<evhttp_connection *> m_dying;
    event_timer m_reaper;
};

http_client::http_client(event_base *base, http_client_limits limits)
    : m_impl(std::make_unique<implementation>(base, limits))
{}

http_client::~http_client() = default;

http_call_handle http_client::start(const call_http &call, http_call_listener listener)
{
    return m_impl->start(call, std::move(listener));
}

void http_client::cancel(http_call_handle handle)
{
    m_impl->cancel(handle);
}

std::size_t http_client::runningCalls() const
{
    return m_impl->runningCalls();
}

} // namespace jacinthvale
