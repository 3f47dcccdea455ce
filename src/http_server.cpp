#include <jacinthvale/http_server.h>

#include "connection_guard.h"
#include "http_connection.h"
#include "socket_address.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <event2/event.h>
#include <event2/listener.h>
#include <map>
#include <unordered_map>

namespace jacinthvale {

namespace {

/// Budget of a server that faces no strangers.
constexpr connection_budget kOwnBudget{1024UL * 1024 * 1024, 4096};
constexpr int kSystemBacklog = -1;

} // namespace

class http_server::implementation final
    : public http_connection_owner
    , public connection_group
{
public:
    implementation(event_base *base, connection_guard *guard, std::string name, http_server_limits limits,
                   http_server_listener listener)
        : m_base(base)
        , m_ownGuard(guard == nullptr ? std::make_unique<connection_guard>(base, kOwnBudget) : nullptr)
        , m_guard(guard == nullptr ? *m_ownGuard : *guard)
        , m_name(std::move(name))
        , m_limits(std::move(limits))
        , m_listener(std::move(listener))
        , m_reaper(base, [this] { m_closed.clear(); })
    {
        m_guard.add(*this);
    }

    ~implementation() override
    {
        m_guard.remove(*this);
        if (m_acceptor != nullptr) {
            evconnlistener_free(m_acceptor);
        }
        m_closed.clear();
        m_connections.clear();
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    absl::Status listen(const endpoint &where)
    {
        socket_address address = toSocketAddress(where);
        m_acceptor
                = evconnlistener_new_bind(m_base, &implementation::accepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                          kSystemBacklog, address.get(), static_cast<int>(address.size));
        if (m_acceptor == nullptr) {
            return absl::UnavailableError(absl::StrCat("cannot listen on ", toString(where)));
        }
        evconnlistener_set_error_cb(m_acceptor, &implementation::acceptFailed);
        return absl::OkStatus();
    }

    std::uint16_t port() const { return boundPort(evconnlistener_get_fd(m_acceptor)); }

    void setLimits(const http_server_limits &limits) { m_limits = limits; }

    bool reply(const reply_http &answer)
    {
        http_connection *connection = find(answer.exchange);
        if (connection == nullptr) {
            return true;
        }
        if (m_begun.contains(answer.exchange)) {
            // The reader would take a second head for a part of the stream.
            giveUp(answer.exchange, false);
            return false;
        }
        finish(answer.exchange, *connection);
        connection->reply(answer.status, answer.headers, answer.body);
        return true;
    }

    void begin(const begin_reply &answer)
    {
        if (http_connection *connection = find(answer.exchange)) {
            m_begun.insert(answer.exchange);
            connection->begin(answer.status, answer.headers);
        }
    }

    void chunk(const reply_chunk &answer)
    {
        http_connection *connection = find(answer.exchange);
        if (connection == nullptr || answer.bytes.empty()) {
            return;
        }
        connection->chunk(answer.bytes);
        if (connection->unsentBytes() > m_limits.maxUnreadBytes) {
            m_guard.reportEnd(m_name, "unread_stream");
            giveUp(answer.exchange, true);
        }
    }

    void end(const end_reply &answer)
    {
        http_connection *connection = find(answer.exchange);
        if (connection == nullptr) {
            return;
        }
        if (answer.aborted) {
            giveUp(answer.exchange, false);
            return;
        }
        finish(answer.exchange, *connection);
        connection->end();
    }

    std::size_t openExchanges() const { return m_exchanges.size(); }

    bool hasUnsentBytes() const { return !m_flushing.empty(); }

    std::vector<unsent_answer> unsentAnswers() const
    {
        std::vector<unsent_answer> answers;
        const auto add = [&](exchange_id id, const http_connection &connection, bool repeatable) {
            if (const std::size_t bytes = connection.unsentBytes(); bytes > 0) {
                answers.push_back({id, bytes, repeatable});
            }
        };
        for (const auto &[connection, id] : m_flushing) {
            add(id, *m_connections.at(connection), m_connections.at(connection)->isRepeatable());
        }
        for (const auto &[id, connection] : m_exchanges) {
            add(id, *connection, false);
        }
        return answers;
    }

    void drop(exchange_id id)
    {
        if (find(id) != nullptr) {
            giveUp(id, true);
            return;
        }
        const auto found = std::ranges::find(m_flushing, id, [](const auto &entry) { return entry.second; });
        if (found != m_flushing.end()) {
            m_connections.at(found->first)->close();
        }
    }

    // http_connection_owner

    void onRequest(http_connection &connection) override
    {
        const exchange_id id{++m_lastId};
        m_exchanges[id] = &connection;
        m_exchangeOf[connection.id()] = id;
        m_listener.onRequest(connection.takeRequest(id));
    }

    void onAbandoned(http_connection &connection) override
    {
        const auto found = m_exchangeOf.find(connection.id());
        if (found == m_exchangeOf.end()) {
            return;
        }
        const exchange_id id = found->second;
        forget(id, connection);
        if (!m_givingUp) {
            m_listener.onAbandoned({id});
        }
    }

    void onAnswered(http_connection &connection) override { m_flushing.erase(connection.id()); }

    void onClosed(http_connection &connection) override
    {
        m_flushing.erase(connection.id());
        if (auto node = m_connections.extract(connection.id())) {
            m_closed.push_back(std::move(node.mapped()));
            m_reaper.start(milliseconds{0});
        }
    }

    const http_server_limits &limits() const override { return m_limits; }
    connection_guard &guard() override { return m_guard; }
    const std::string &listenerName() const override { return m_name; }

    // connection_group

    const std::string &name() const override { return m_name; }
    connection_times times() const override { return m_limits.times; }

    std::vector<connection_view> views() const override
    {
        std::vector<connection_view> views;
        views.reserve(m_connections.size());
        std::ranges::transform(m_connections, std::back_inserter(views),
                               [](const auto &entry) { return entry.second->view(); });
        return views;
    }

    void carryOut(const connection_verdict &verdict) override
    {
        const auto found = m_connections.find(verdict.id);
        if (found == m_connections.end()) {
            return;
        }
        constexpr int kRequestTimeout = 408;
        constexpr int kUnavailable = 503;
        http_connection &connection = *found->second;
        switch (verdict.action) {
        case connection_action::close:
            m_guard.reportEnd(m_name, verdict.reason);
            connection.close();
            break;
        case connection_action::refuse_slow:
            connection.refuse(kRequestTimeout, verdict.reason);
            break;
        case connection_action::refuse_no_room:
            connection.refuse(kUnavailable, verdict.reason);
            break;
        }
    }

    void resumeWaiting() override
    {
        std::vector<connection_id> waiting;
        for (const auto &[id, connection] : m_connections) {
            if (connection->view().stage == connection_stage::waiting) {
                waiting.push_back(id);
            }
        }
        for (const connection_id id : waiting) {
            if (const auto found = m_connections.find(id); found != m_connections.end()) {
                found->second->resumeWaiting();
            }
        }
    }

    void resumeAccepting() override
    {
        if (m_paused && m_guard.makePlace(*this, m_connections.size())) {
            m_paused = false;
            evconnlistener_enable(m_acceptor);
        }
    }

private:
    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        auto *server = static_cast<implementation *>(self);
        auto connection = std::make_unique<http_connection>(server->m_base, socket, *server);
        const connection_id id = connection->id();
        server->m_connections.emplace(id, std::move(connection));
        if (!server->m_guard.makePlace(*server, server->m_connections.size())) {
            server->pause();
        }
    }

    static void acceptFailed(evconnlistener *, void *self)
    {
        auto *server = static_cast<implementation *>(self);
        server->m_guard.reportEnd(server->m_name, "accept_failed");
        server->pause();
    }

    void pause()
    {
        m_paused = true;
        evconnlistener_disable(m_acceptor);
        m_guard.lookSoon();
    }

    http_connection *find(exchange_id id)
    {
        const auto found = m_exchanges.find(id);
        return found == m_exchanges.end() ? nullptr : found->second;
    }

    void forget(exchange_id id, const http_connection &connection)
    {
        m_exchanges.erase(id);
        m_exchangeOf.erase(connection.id());
        m_begun.erase(id);
    }

    /// The whole answer is about to be handed over.
    void finish(exchange_id id, const http_connection &connection)
    {
        forget(id, connection);
        m_flushing[connection.id()] = id;
    }

    /// Closes the connection of an exchange.
    void giveUp(exchange_id id, bool tell)
    {
        m_givingUp = true;
        m_exchanges.at(id)->close();
        m_givingUp = false;
        if (tell) {
            m_listener.onAbandoned({id});
        }
    }

    event_base *m_base;
    std::unique_ptr<connection_guard> m_ownGuard;
    connection_guard &m_guard;
    std::string m_name;
    http_server_limits m_limits;
    http_server_listener m_listener;
    evconnlistener *m_acceptor = nullptr;
    bool m_paused = false;
    bool m_givingUp = false;
    std::uint64_t m_lastId = 0;
    std::map<connection_id, std::unique_ptr<http_connection>> m_connections;
    std::unordered_map<exchange_id, http_connection *> m_exchanges;
    std::map<connection_id, exchange_id> m_exchangeOf;
    std::set<exchange_id> m_begun;
    std::map<connection_id, exchange_id> m_flushing;
    std::vector<std::unique_ptr<http_connection>> m_closed;
    event_timer m_reaper;
};

http_server::http_server(event_base *base, connection_guard &guard, std::string name,
                         http_server_limits limits, http_server_listener listener)
    : m_impl(std::make_unique<implementation>(base, &guard, std::move(name), std::move(limits),
                                              std::move(listener)))
{}

http_server::http_server(event_base *base, http_server_limits limits, http_server_listener listener)
    : m_impl(std::make_unique<implementation>(base, nullptr, "http", std::move(limits), std::move(listener)))
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

void http_server::setLimits(const http_server_limits &limits)
{
    m_impl->setLimits(limits);
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
