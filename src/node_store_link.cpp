#include "node_store_link.h"

#include "node_pack.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

constexpr int kTooManyCalls = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

/// Longest wait for one answer beyond what was asked for. The store answers in 5 to 10 ms, sixty times that
/// when it is slow.
constexpr milliseconds kReadTime{800};
constexpr milliseconds kWriteTime{1000};
constexpr milliseconds kConnectTime{400};

/// What a relayed attempt has more: the way to the peer and back.
constexpr milliseconds kRelayMargin{100};

/// The direct way is not asked again for this long after a failure, longer with each of a few in a row.
constexpr milliseconds kDirectPause{400};
constexpr unsigned kMostPauses = 3;

/// Pause before the next attempt of the same operation, doubled up to the longest.
constexpr milliseconds kFirstPause{20};
constexpr milliseconds kLongestPause{200};

attempt_end endOf(const http_call_finished &finished)
{
    switch (finished.outcome) {
    case transfer_outcome::nothing_sent:
        return attempt_end::nothing_done;
    case transfer_outcome::failed_after_send:
    case transfer_outcome::timed_out:
        return attempt_end::unclear;
    case transfer_outcome::complete:
        break;
    }
    if (finished.status == kTooManyCalls || finished.status == kUnavailable) {
        return attempt_end::nothing_done;
    }
    return finished.status >= kServerError ? attempt_end::unclear : attempt_end::answered;
}

} // namespace

void way_chooser::setPeers(std::vector<endpoint> peers)
{
    m_peers = std::move(peers);
    if (m_goodPeer && std::ranges::find(m_peers, *m_goodPeer) == m_peers.end()) {
        m_goodPeer.reset();
    }
}

way way_chooser::next(unsigned tried, instant now, std::uint64_t random)
{
    if (m_peers.empty() || (tried == 0 && directIsGood(now))) {
        return std::nullopt;
    }
    if (tried == 0 && m_goodPeer) {
        return m_goodPeer;
    }
    // Every third attempt goes the direct way: it may be served again, and peers may be as badly off.
    constexpr unsigned kRound = 3;
    if (tried % kRound == kRound - 1) {
        return std::nullopt;
    }
    return m_peers[random % m_peers.size()];
}

void way_chooser::note(const way &by, attempt_end end, instant now)
{
    const bool good = end == attempt_end::answered;
    if (by) {
        m_goodPeer = good ? by : way{};
        return;
    }
    m_directFailures = good ? 0 : std::min(m_directFailures + 1, kMostPauses);
    m_directBadUntil = good ? instant{} : now + kDirectPause * m_directFailures;
}

struct store_link::operation
{
    operation(event_base *base, std::function<void()> onFire)
        : timer(base, std::move(onFire))
    {}

    store_request request;
    instant deadline;
    std::function<void(store_answer)> done;
    unsigned tried = 0;
    bool unclear = false;
    event_timer timer;
};

store_link::store_link(event_base *base, http_client &client, endpoint store, clock now)
    : m_base(base)
    , m_client(&client)
    , m_store(std::move(store))
    , m_now(std::move(now))
{}

store_link::~store_link() = default;

void store_link::start(store_request request, milliseconds deadline, std::function<void(store_answer)> done)
{
    const std::uint64_t number = ++m_lastOperation;
    const auto op = std::make_shared<operation>(m_base, [this, number] {
        // A copy: the attempt may end the operation.
        attempt(std::shared_ptr(m_operations.at(number)));
    });
    op->request = std::move(request);
    op->deadline = m_now() + deadline;
    op->done = [this, number, done = std::move(done)](const store_answer &answer) {
        m_operations.erase(number);
        done(answer);
    };
    m_operations.emplace(number, op);
    attempt(op);
}

call_http store_link::makeCall(const endpoint &target, milliseconds timeout) const
{
    call_http call;
    call.target = target;
    call.connectTimeout = std::min(kConnectTime, timeout);
    call.progressTimeout = timeout;
    return call;
}

void store_link::attempt(const std::shared_ptr<operation> &op)
{
    const store_request &request = op->request;
    const milliseconds left = std::max(milliseconds{1}, op->deadline - m_now());
    const milliseconds usual = (request.writes ? kWriteTime : kReadTime) + request.wait;
    const milliseconds timeout = std::min(left, usual);
    const way by = m_chooser.next(op->tried, m_now(), mixRandom(++m_draw, stableHash(request.path)));
    ++op->tried;
    if (!by) {
        call_http call = makeCall(m_store, timeout);
        call.method = request.method;
        call.path = request.path;
        call.body = request.body;
        m_client->start(call, {{}, {}, [this, op](http_call_finished finished) {
                                   ended(op, std::nullopt, endOf(finished), finished.status,
                                         std::move(finished.body));
                               }});
        return;
    }
    call_http call = makeCall(*by, timeout + kRelayMargin);
    call.path = kRelayPath;
    call.body = pack(relayed_call{request.method, request.path, request.body,
                                  static_cast<std::uint32_t>(timeout.count())});
    m_client->start(call, {{}, {}, [this, op, by](http_call_finished finished) {
                               if (finished.outcome != transfer_outcome::complete || finished.status != kOk) {
                                   const bool none = finished.outcome == transfer_outcome::nothing_sent
                                                     || finished.status == kUnavailable;
                                   ended(op, by, none ? attempt_end::nothing_done : attempt_end::unclear, 0,
                                         {});
                                   return;
                               }
                               relayed_answer answer;
                               if (!unpack(finished.body, answer)) {
                                   ended(op, by, attempt_end::unclear, 0, {});
                                   return;
                               }
                               ended(op, by, answer.end, answer.status, std::move(answer.body));
                           }});
}

void store_link::ended(const std::shared_ptr<operation> &op, const way &by, attempt_end end, int status,
                       std::string body)
{
    m_chooser.note(by, end, m_now());
    if (end == attempt_end::answered) {
        op->done({status, std::move(body), op->unclear, false});
        return;
    }
    op->unclear = op->unclear || (end == attempt_end::unclear && op->request.writes);
    const milliseconds pause = std::min(kLongestPause, kFirstPause * (1U << std::min(op->tried, 4U)));
    if (m_now() + pause >= op->deadline) {
        op->done({0, {}, false, op->unclear});
        return;
    }
    op->timer.start(pause);
}

void store_link::relay(const std::string &bytes, std::function<void(std::string)> done)
{
    relayed_call asked;
    if (!unpack(bytes, asked) || !m_chooser.directIsGood(m_now())) {
        done(pack(relayed_answer{}));
        return;
    }
    call_http call = makeCall(m_store, milliseconds{asked.timeoutMs});
    call.method = std::move(asked.method);
    call.path = std::move(asked.path);
    call.body = std::move(asked.body);
    m_client->start(call, {{}, {}, [this, done = std::move(done)](http_call_finished finished) {
                               const attempt_end end = endOf(finished);
                               m_chooser.note(std::nullopt, end, m_now());
                               done(pack(relayed_answer{end, finished.status, std::move(finished.body)}));
                           }});
}

} // namespace jacinthvale::node
