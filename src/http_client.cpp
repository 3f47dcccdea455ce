#include <jacinthvale/http_client.h>

#include "connection_guard.h"
#include "http_fields.h"
#include "http_response_parser.h"
#include "socket_address.h"

#include <jacinthvale/event_timer.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unordered_map>

namespace jacinthvale {

namespace {

/// Input that is read ahead of the parser, besides a head that is not complete.
constexpr std::size_t kReadAheadBytes = 16 * 1024;
/// Step in which a body without a length claims room.
constexpr std::size_t kClaimStepBytes = 32 * 1024;
/// Step in which a body moves out of the chain of buffers, which are freed as they are emptied.
constexpr std::size_t kMoveStepBytes = 64 * 1024;
/// Account of a client in a process without listeners.
constexpr connection_budget kOwnBudget{256UL * 1024 * 1024, 0};
const std::string kGroupName = "responses";
const std::string kMethodField = "method";
const std::string kPathField = "path";

struct connection_deleter
{
    void operator()(bufferevent *connection) const { bufferevent_free(connection); }
};

struct buffer_deleter
{
    void operator()(evbuffer *buffer) const { evbuffer_free(buffer); }
};

/// A connection to a target; closed with the pointer. libevent keeps it alive through its own callbacks.
using client_connection = std::unique_ptr<bufferevent, connection_deleter>;

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

/// @returns the part of the head that cannot be written; nullopt if there is none.
std::optional<std::string> findHeadFault(const call_http &call)
{
    if (!isHttpToken(call.method)) {
        return kMethodField;
    }
    if (!isRequestLineWord(call.path)) {
        return kPathField;
    }
    const auto isSound
            = [](const auto &header) { return isHttpToken(header.first) && isFieldValue(header.second); };
    const auto fault = std::ranges::find_if_not(call.headers, isSound);
    if (fault == call.headers.end()) {
        return std::nullopt;
    }
    std::string name;
    std::ranges::copy_if(fault->first, std::back_inserter(name), [](char c) { return isHttpToken({&c, 1}); });
    return name;
}

std::string requestHead(const call_http &call)
{
    std::string head = absl::StrCat(call.method, " ", call.path, " HTTP/1.1\r\n");
    if (!call.headers.contains("Host")) {
        absl::StrAppend(&head, "Host: ", toString(call.target), "\r\n");
    }
    for (const auto &[name, value] : call.headers) {
        if (!isFraming(name)) {
            absl::StrAppend(&head, name, ": ", value, "\r\n");
        }
    }
    // Without a length the body would be taken for the next request.
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        absl::StrAppend(&head, "Content-Length: ", call.body.size(), "\r\n");
    }
    return absl::StrCat(head, "\r\n");
}

} // namespace

class http_client::implementation final : public connection_group
{
public:
    implementation(event_base *base, connection_guard *guard, http_client_limits limits,
                   answer_fault_observer onFault, request_fault_observer onRequestFault)
        : m_base(base)
        , m_ownGuard(guard == nullptr ? std::make_unique<connection_guard>(base, kOwnBudget) : nullptr)
        , m_guard(guard == nullptr ? *m_ownGuard : *guard)
        , m_limits(limits)
        , m_onFault(std::move(onFault))
        , m_onRequestFault(std::move(onRequestFault))
        , m_handOverTimer(base, [this] { m_guard.release(std::exchange(m_handedOver, 0)); })
    {
        m_guard.add(*this);
    }

    ~implementation() override
    {
        m_guard.remove(*this);
        for (auto &[id, running] : m_calls) {
            letGo(*running);
        }
        m_guard.release(m_handedOver);
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    http_call_handle start(const call_http &call, http_call_listener listener)
    {
        const http_call_handle handle{++m_lastHandle};
        auto started = std::make_unique<running_call>(*this, handle, call, std::move(listener));
        running_call &running = *m_calls.emplace(handle, std::move(started)).first->second;
        if (const auto fault = findHeadFault(call)) {
            running.isInvalid = true;
            if (m_onRequestFault) {
                m_onRequestFault(call.target, *fault);
            }
            // Reported from the loop like every other end.
            running.timer.start(milliseconds{0});
            return handle;
        }
        running.timer.start(call.connectTimeout);
        if (!call.freshConnection) {
            running.connection = takeIdle(call.target);
        }
        if (running.connection == nullptr && !connect(running)) {
            // Reported from the loop like every other end.
            running.timer.start(milliseconds{0});
            return handle;
        }
        send(running);
        return handle;
    }

    void cancel(http_call_handle handle)
    {
        if (const auto node = m_calls.extract(handle)) {
            letGo(*node.mapped());
        }
    }

    std::size_t runningCalls() const { return m_calls.size(); }

    // connection_group

    const std::string &name() const override { return kGroupName; }

    std::vector<connection_view> views() const override
    {
        std::vector<connection_view> views;
        for (const auto &[handle, running] : m_calls) {
            if (running->claimed + running->held + running->wanted > 0) {
                views.push_back(running->view());
            }
        }
        return views;
    }

    void carryOut(const connection_verdict &verdict) override
    {
        const auto found
                = std::ranges::find(m_calls, verdict.id, [](const auto &entry) { return entry.second->id; });
        if (found != m_calls.end()) {
            displace(*found->second, verdict.reason);
        }
    }

    void resumeWaiting() override
    {
        std::vector<http_call_handle> waiting;
        for (const auto &[handle, running] : m_calls) {
            if (running->wanted > 0) {
                waiting.push_back(handle);
            }
        }
        std::ranges::sort(waiting);
        for (const http_call_handle handle : waiting) {
            if (const auto found = m_calls.find(handle); found != m_calls.end()) {
                resume(*found->second);
            }
        }
    }

private:
    struct running_call
    {
        running_call(implementation &client, http_call_handle number, const call_http &what,
                     http_call_listener receiver)
            : owner(client)
            , handle(number)
            , call(what)
            , listener(std::move(receiver))
            , timer(client.m_base, [&client, number] { client.expire(number); })
            , parser(client.m_limits.maxHeaderBytes, client.m_limits.maxBodyBytes)
            , id(client.m_guard.nextId())
        {}

        connection_view view() const
        {
            connection_view view;
            view.id = id;
            view.stage = wanted > 0 ? connection_stage::response_waiting : connection_stage::response;
            view.bytes = claimed + held;
            view.remaining = wanted;
            // Bodies that wait for each other's growth have time while one grows.
            view.since = grows() ? std::max(waitingSince, owner.m_grownAt) : waitingSince;
            view.repeatable = call.rank == answer_rank::repeatable;
            view.essential = call.rank == answer_rank::essential;
            return view;
        }

        /// The body has no length, and some of it has arrived.
        bool grows() const { return claimed > 0 && !parser.bodyLength(); }

        implementation &owner;
        http_call_handle handle;
        call_http call;
        http_call_listener listener;
        client_connection connection;
        evbuffer_cb_entry *outputWatch = nullptr;
        event_timer timer;
        http_response_parser parser;
        /// Body so far, unless it is streamed: a chain of buffers grows without being copied.
        std::unique_ptr<evbuffer, buffer_deleter> body{evbuffer_new()};
        connection_id id;
        /// Room that is claimed for the body.
        std::size_t claimed = 0;
        /// Room that the call waits for; it does not read meanwhile.
        std::size_t wanted = 0;
        instant waitingSince{};
        /// Input, and bytes that the receiver keeps, that are in the account.
        std::size_t held = 0;
        /// A byte of the request may have left this process.
        bool sent = false;
        /// The request cannot be written; it has no connection.
        bool isInvalid = false;
    };

    struct idle_connection
    {
        implementation &owner;
        endpoint target;
        client_connection connection;
        std::chrono::steady_clock::time_point since;
    };

    static evbuffer *outputOf(const client_connection &connection)
    {
        return bufferevent_get_output(connection.get());
    }

    static evbuffer *inputOf(const client_connection &connection)
    {
        return bufferevent_get_input(connection.get());
    }

    /// @returns false if no connection can be made at all.
    bool connect(running_call &running) const
    {
        socket_address address = toSocketAddress(running.call.target);
        running.connection.reset(bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE));
        return address.size != 0
               && bufferevent_socket_connect(running.connection.get(), address.get(),
                                             static_cast<int>(address.size))
                          == 0;
    }

    void send(running_call &running) const
    {
        bufferevent *connection = running.connection.get();
        evbuffer *output = outputOf(running.connection);
        boundInput(running);
        running.outputWatch = evbuffer_add_cb(output, &implementation::outputChanged, &running);
        bufferevent_setcb(connection, &implementation::inputReady, nullptr,
                          &implementation::connectionChanged, &running);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        const std::string head = requestHead(running.call);
        evbuffer_add(output, head.data(), head.size());
        addShared(output, running.call.body);
    }

    /// After a failure the idle connections to the same target may be as dead as the one that failed.
    void dropIdle(const endpoint &target) { m_idle.erase(target); }

    /// @returns null if there is none that can be used.
    client_connection takeIdle(const endpoint &target)
    {
        auto &idle = m_idle[target];
        const auto oldest = std::chrono::steady_clock::now() - m_limits.maxIdleAge;
        while (!idle.empty() && idle.front()->since < oldest) {
            idle.pop_front();
        }
        while (!idle.empty()) {
            client_connection connection = std::move(idle.back()->connection);
            idle.pop_back();
            if (isQuiet(connection)) {
                return connection;
            }
        }
        return nullptr;
    }

    /// False if the peer of an idle connection sent bytes or closed it. The bytes are part of no response
    /// that was asked for, such as a second copy of the last one; the next response would begin with them.
    static bool isQuiet(const client_connection &connection)
    {
        char byte = 0;
        return recv(bufferevent_getfd(connection.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
               && (errno == EAGAIN || errno == EINTR);
    }

    void giveBack(const endpoint &target, client_connection connection)
    {
        auto &idle = m_idle[target];
        auto kept = std::make_unique<idle_connection>(
                idle_connection{*this, target, std::move(connection), std::chrono::steady_clock::now()});
        bufferevent_setcb(
                kept->connection.get(), [](bufferevent *, void *self) { dropOne(self); }, nullptr,
                [](bufferevent *, short, void *self) { dropOne(self); }, kept.get());
        idle.push_back(std::move(kept));
        if (idle.size() > m_limits.maxIdlePerTarget) {
            idle.pop_front();
        }
    }

    /// An idle connection got bytes or was closed.
    static void dropOne(void *self)
    {
        auto *dropped = static_cast<idle_connection *>(self);
        auto &idle = dropped->owner.m_idle[dropped->target];
        std::erase_if(idle, [&](const auto &one) { return one.get() == dropped; });
    }

    /// Output that shrinks was handed to the socket, so the request may have left.
    static void outputChanged(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        if (info->n_deleted > 0) {
            running->sent = true;
            running->timer.start(running->call.progressTimeout);
        }
    }

    static void inputReady(bufferevent *, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        running->owner.readInput(*running);
    }

    static void connectionChanged(bufferevent *, short what, void *argument)
    {
        auto *running = static_cast<running_call *>(argument);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            return;
        }
        const bool isWhole = (what & BEV_EVENT_EOF) != 0 && running->parser.endsWithConnection();
        running->owner.finish(*running,
                              isWhole ? transfer_outcome::complete : transfer_outcome::failed_after_send);
    }

    /// Reads on as far as the input reaches. The call may be gone afterwards.
    void readInput(running_call &running)
    {
        if (!running.sent) {
            finishMalformed(running, {"before_request", 0});
            return;
        }
        evbuffer *input = inputOf(running.connection);
        while (evbuffer_get_length(input) > 0) {
            const bool hadHead = running.parser.hasHead();
            const std::size_t size = evbuffer_get_length(input);
            if (hadHead && !claimBody(running, size)) {
                return;
            }
            const auto fed
                    = running.parser.feed({reinterpret_cast<char *>(evbuffer_pullup(input, -1)), size});
            evbuffer_drain(input, fed.consumed);
            if (fed.reached == http_response_parser::status::failed) {
                finishMalformed(running, running.parser.fault());
                return;
            }
            if (!hadHead && running.parser.hasHead() && !takeHead(running)) {
                finish(running, transfer_outcome::failed_after_send);
                return;
            }
            takeBody(running);
            if (fed.reached == http_response_parser::status::complete) {
                finish(running, transfer_outcome::complete);
                return;
            }
            boundInput(running);
            updateHeld(running);
            if (fed.reached == http_response_parser::status::incomplete) {
                return;
            }
        }
    }

    /// Claims room for the body with the bytes that arrive. @returns false if the call has to wait.
    bool claimBody(running_call &running, std::size_t arriving)
    {
        const std::size_t needed = evbuffer_get_length(running.body.get()) + arriving;
        if (running.call.streamed || needed <= running.claimed) {
            return true;
        }
        const auto length = running.parser.bodyLength();
        const std::size_t bytes = length && running.claimed == 0
                                          ? std::max<std::size_t>(*length, needed)
                                          : std::max(needed - running.claimed, kClaimStepBytes);
        if (!mayClaim(running, bytes)) {
            wait(running, bytes);
            return false;
        }
        m_guard.claim(bytes, classOf(running, bytes));
        if (running.grows()) {
            m_grownAt = connection_guard::now();
        }
        running.claimed += bytes;
        return true;
    }

    claim_class classOf(const running_call &running, std::size_t bytes) const
    {
        if (running.call.rank == answer_rank::essential) {
            return claim_class::essential;
        }
        return running.grows() ? claim_class::ordinary : m_guard.classOf(bytes);
    }

    /// Bodies without a length grow in their order, so that they never wait for each other: all but the first
    /// leave it the room that it may still need.
    bool mayClaim(const running_call &running, std::size_t bytes) const
    {
        const claim_class kind = classOf(running, bytes);
        const std::size_t most = m_guard.largestClaim(kind);
        const std::size_t reserved
                = running.grows() && !isFirstGrowing(running) ? std::min(m_limits.maxBodyBytes, most / 2) : 0;
        return m_guard.hasRoom(bytes + reserved, kind);
    }

    bool isFirstGrowing(const running_call &running) const
    {
        return std::ranges::none_of(m_calls, [&](const auto &entry) {
            const running_call &other = *entry.second;
            return other.handle < running.handle && other.grows();
        });
    }

    void wait(running_call &running, std::size_t bytes)
    {
        if (running.wanted == 0) {
            running.waitingSince = connection_guard::now();
            bufferevent_disable(running.connection.get(), EV_READ);
        }
        running.wanted = bytes;
        updateHeld(running);
        if (neverFits(running)) {
            // Reported from the loop like every other end.
            running.timer.start(milliseconds{0});
        }
        m_guard.lookSoon();
    }

    bool neverFits(const running_call &running) const
    {
        return running.wanted > 0
               && running.wanted + running.claimed > m_guard.largestClaim(classOf(running, running.wanted));
    }

    /// The call may be gone afterwards.
    void resume(running_call &running)
    {
        if (claimBody(running, evbuffer_get_length(inputOf(running.connection)))) {
            running.wanted = 0;
            bufferevent_enable(running.connection.get(), EV_READ);
            readInput(running);
        }
    }

    /// What the parser did not take has to be whole to be read: a head, the size of a chunk, trailers.
    void boundInput(const running_call &running) const
    {
        const bool isPart = evbuffer_get_length(inputOf(running.connection)) > 0;
        const std::size_t most
                = kReadAheadBytes + (isPart || !running.parser.hasHead() ? m_limits.maxHeaderBytes : 0);
        bufferevent_setwatermark(running.connection.get(), EV_READ, 0, most);
    }

    void updateHeld(running_call &running)
    {
        const auto &heldBytes = running.listener.heldBytes;
        const std::size_t bytes
                = evbuffer_get_length(inputOf(running.connection)) + (heldBytes ? heldBytes() : 0);
        const std::size_t before = std::exchange(running.held, bytes);
        if (bytes > before) {
            m_guard.hold(bytes - before);
        } else {
            m_guard.release(before - bytes);
        }
    }

    /// @returns false if the answer belongs to another request.
    static bool takeHead(running_call &running)
    {
        // Interim responses are no progress; any number of them may follow.
        running.timer.start(running.call.progressTimeout);
        const http_headers &headers = running.parser.headers();
        const auto &[name, value] = running.call.echo;
        if (!name.empty()) {
            // An answer that bears no id may be a late one to an earlier request, such as a refusal.
            const auto echoed = headers.find(name);
            if ((echoed == headers.end() ? std::string() : echoed->second) != value) {
                return false;
            }
        }
        if (running.listener.onHead) {
            running.listener.onHead(running.parser.statusCode(), headers);
        }
        return true;
    }

    static void takeBody(running_call &running)
    {
        std::string &arrived = running.parser.body();
        if (arrived.empty()) {
            return;
        }
        if (running.call.streamed) {
            running.timer.start(running.call.progressTimeout);
            running.listener.onChunk(std::exchange(arrived, {}));
        } else {
            evbuffer_add(running.body.get(), arrived.data(), arrived.size());
            arrived.clear();
        }
    }

    static std::string moveOut(evbuffer *buffer)
    {
        std::string bytes(evbuffer_get_length(buffer), '\0');
        for (std::size_t at = 0; at < bytes.size(); at += kMoveStepBytes) {
            evbuffer_remove(buffer, bytes.data() + at, std::min(kMoveStepBytes, bytes.size() - at));
        }
        return bytes;
    }

    void finishMalformed(const running_call &running, const answer_fault &fault)
    {
        if (m_onFault) {
            m_onFault(running.call.target, fault);
        }
        finish(running, transfer_outcome::malformed);
    }

    void displace(const running_call &running, std::string_view reason)
    {
        m_guard.reportEnd(kGroupName, reason);
        finish(running, transfer_outcome::displaced);
    }

    /// Ends a call. Its listener is told last and may start others.
    void finish(const running_call &running, transfer_outcome outcome)
    {
        const auto node = m_calls.extract(running.handle);
        running_call &last = *node.mapped();
        if (outcome == transfer_outcome::complete) {
            // The body is in the account until its receiver has passed it on.
            m_handedOver += std::exchange(last.claimed, 0);
            m_handOverTimer.start(milliseconds{0});
        }
        letGo(last);
        http_call_finished result{last.call.operation, outcome, 0, {}, {}};
        if (outcome == transfer_outcome::complete) {
            result.status = last.parser.statusCode();
            result.headers = last.parser.headers();
            result.body = moveOut(last.body.get());
            if (canBeReused(last)) {
                giveBack(last.call.target, std::move(last.connection));
            }
        } else if (!last.isInvalid) {
            result.outcome = last.sent ? outcome : transfer_outcome::nothing_sent;
            if (outcome != transfer_outcome::displaced) {
                dropIdle(last.call.target);
            }
        }
        last.connection.reset();
        last.listener.onFinished(std::move(result));
    }

    static bool canBeReused(const running_call &running)
    {
        return !running.call.freshConnection && running.parser.keepsAlive()
               && evbuffer_get_length(inputOf(running.connection)) == 0
               && evbuffer_get_length(outputOf(running.connection)) == 0;
    }

    /// The connection and the account go on without this call.
    void letGo(running_call &running)
    {
        m_guard.release(std::exchange(running.claimed, 0) + std::exchange(running.held, 0));
        if (running.outputWatch != nullptr) {
            evbuffer_remove_cb_entry(outputOf(running.connection), running.outputWatch);
            running.outputWatch = nullptr;
        }
        if (running.connection != nullptr) {
            bufferevent_setcb(running.connection.get(), nullptr, nullptr, nullptr, nullptr);
        }
    }

    void expire(http_call_handle handle)
    {
        const auto found = m_calls.find(handle);
        if (found == m_calls.end()) {
            return;
        }
        const running_call &running = *found->second;
        if (running.isInvalid) {
            finish(running, transfer_outcome::invalid_request);
        } else if (neverFits(running)) {
            displace(running, "response_too_large");
        } else {
            finish(running, transfer_outcome::timed_out);
        }
    }

    event_base *m_base;
    std::unique_ptr<connection_guard> m_ownGuard;
    connection_guard &m_guard;
    http_client_limits m_limits;
    answer_fault_observer m_onFault;
    request_fault_observer m_onRequestFault;
    /// Bytes of bodies whose calls ended in this turn of the event loop.
    std::size_t m_handedOver = 0;
    event_timer m_handOverTimer;
    std::uint64_t m_lastHandle = 0;
    /// Last time that a body without a length got more room.
    instant m_grownAt{};
    std::unordered_map<http_call_handle, std::unique_ptr<running_call>> m_calls;
    std::map<endpoint, std::deque<std::unique_ptr<idle_connection>>> m_idle;
};

std::string invalidRequestsMetric(const std::string &field)
{
    // The names of headers come from others; as labels they would have no bound.
    const bool isHeader = field != kMethodField && field != kPathField;
    return absl::StrCat("requests_invalid_total{field=\"", isHeader ? "header" : field, "\"}");
}

std::string malformedAnswersMetric(const answer_fault &fault)
{
    return absl::StrCat("answers_malformed_total{rule=\"", std::string(fault.rule), "\"}");
}

http_client::http_client(event_base *base, connection_guard &guard, http_client_limits limits,
                         answer_fault_observer onFault, request_fault_observer onRequestFault)
    : m_impl(std::make_unique<implementation>(base, &guard, limits, std::move(onFault),
                                              std::move(onRequestFault)))
{}

http_client::http_client(event_base *base, http_client_limits limits, answer_fault_observer onFault)
    : m_impl(std::make_unique<implementation>(base, nullptr, limits, std::move(onFault),
                                              request_fault_observer{}))
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
