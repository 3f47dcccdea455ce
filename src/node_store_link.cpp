#include "node_store_link.h"

#include "node_pack.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

constexpr int kTooManyCalls = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

/// Timeouts of one attempt, in addition to the requested long-poll time. The store answers in 5 to 10 ms, and
/// takes 60 times as long when it is slow.
constexpr milliseconds kReadTimeout{800};
constexpr milliseconds kWriteTimeout{1000};
constexpr milliseconds kConnectTimeout{400};

/// Additional timeout of a relayed attempt for the round trip to the peer.
constexpr milliseconds kRelayOverhead{100};

/// Time for which direct calls are suspended after a failure, multiplied by the number of consecutive
/// failures up to the maximum.
constexpr milliseconds kDirectBackoff{400};
constexpr unsigned kMaxDirectBackoffSteps = 3;

/// Delay before the next attempt of an operation: the base delay, doubled for each attempt made, up to the
/// maximum.
constexpr milliseconds kBaseRetryDelay{20};
constexpr milliseconds kMaxRetryDelay{200};

attempt_outcome outcomeOf(const http_call_finished &finished)
{
    switch (finished.outcome) {
    case transfer_outcome::nothing_sent:
    case transfer_outcome::invalid_request:
        return attempt_outcome::not_executed;
    case transfer_outcome::failed_after_send:
    case transfer_outcome::timed_out:
    case transfer_outcome::malformed:
    case transfer_outcome::displaced:
        return attempt_outcome::indeterminate;
    case transfer_outcome::complete:
        break;
    }
    if (finished.status == kTooManyCalls || finished.status == kUnavailable) {
        return attempt_outcome::not_executed;
    }
    return finished.status >= kServerError ? attempt_outcome::indeterminate : attempt_outcome::answered;
}

} // namespace

void relay_selector::setPeers(std::vector<endpoint> peers)
{
    m_peers = std::move(peers);
    if (m_preferredPeer && std::ranges::find(m_peers, *m_preferredPeer) == m_peers.end()) {
        m_preferredPeer.reset();
    }
}

relay_peer relay_selector::select(unsigned attemptCount, instant now, std::uint64_t random)
{
    if (m_peers.empty() || (attemptCount == 0 && isDirectAvailable(now))) {
        return std::nullopt;
    }
    if (attemptCount == 0 && m_preferredPeer) {
        return m_preferredPeer;
    }
    // Every third attempt is direct: the store may have recovered, and the peers may be unable to reach it
    // too.
    constexpr unsigned kDirectAttemptInterval = 3;
    if (attemptCount % kDirectAttemptInterval == kDirectAttemptInterval - 1) {
        return std::nullopt;
    }
    return m_peers[random % m_peers.size()];
}

void relay_selector::recordOutcome(const relay_peer &peer, attempt_outcome outcome, instant now)
{
    const bool answered = outcome == attempt_outcome::answered;
    if (peer) {
        m_preferredPeer = answered ? peer : relay_peer{};
        return;
    }
    m_consecutiveDirectFailures
            = answered ? 0 : std::min(m_consecutiveDirectFailures + 1, kMaxDirectBackoffSteps);
    m_directBackoffUntil = answered ? instant{} : now + kDirectBackoff * m_consecutiveDirectFailures;
}

struct store_link::operation
{
    operation(event_base *base, std::function<void()> onFire)
        : timer(base, std::move(onFire))
    {}

    store_request request;
    instant deadline;
    std::function<void(store_answer)> done;
    unsigned attemptCount = 0;
    /// A write attempt ended as indeterminate.
    bool mayHaveExecuted = false;
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
        // Copies the pointer: the attempt may erase the operation from the map.
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
    call.connectTimeout = std::min(kConnectTimeout, timeout);
    call.progressTimeout = timeout;
    return call;
}

void store_link::attempt(const std::shared_ptr<operation> &op)
{
    const store_request &request = op->request;
    const milliseconds remaining = std::max(milliseconds{1}, op->deadline - m_now());
    const milliseconds attemptLimit = (request.isWrite ? kWriteTimeout : kReadTimeout) + request.wait;
    const milliseconds timeout = std::min(remaining, attemptLimit);
    const relay_peer peer = m_relaySelector.select(op->attemptCount, m_now(),
                                                   mixRandom(++m_selectionCount, stableHash(request.path)));
    ++op->attemptCount;
    if (!peer) {
        call_http call = makeCall(m_store, timeout);
        call.method = request.method;
        call.path = request.path;
        call.body = request.body;
        m_client->start(call, {{}, {}, [this, op](http_call_finished finished) {
                                   onAttemptEnded(op, std::nullopt, outcomeOf(finished), finished.status,
                                                  std::move(finished.body));
                               }});
        return;
    }
    call_http call = makeCall(*peer, timeout + kRelayOverhead);
    call.path = kRelayPath;
    call.body = pack(relay_request{request.method, request.path, request.body,
                                   static_cast<std::uint32_t>(timeout.count())});
    m_client->start(call, {{}, {}, [this, op, peer](http_call_finished finished) {
                               if (finished.outcome != transfer_outcome::complete || finished.status != kOk) {
                                   const bool notExecuted
                                           = isUnsent(finished.outcome) || finished.status == kUnavailable;
                                   onAttemptEnded(op, peer,
                                                  notExecuted ? attempt_outcome::not_executed
                                                              : attempt_outcome::indeterminate,
                                                  0, {});
                                   return;
                               }
                               relay_response answer;
                               if (!unpack(finished.body, answer)) {
                                   onAttemptEnded(op, peer, attempt_outcome::indeterminate, 0, {});
                                   return;
                               }
                               onAttemptEnded(op, peer, answer.outcome, answer.status,
                                              std::move(answer.body));
                           }});
}

void store_link::onAttemptEnded(const std::shared_ptr<operation> &op, const relay_peer &peer,
                                attempt_outcome outcome, int status, std::string body)
{
    m_relaySelector.recordOutcome(peer, outcome, m_now());
    if (outcome == attempt_outcome::answered) {
        op->done({status, std::move(body), op->mayHaveExecuted, false});
        return;
    }
    op->mayHaveExecuted
            = op->mayHaveExecuted || (outcome == attempt_outcome::indeterminate && op->request.isWrite);
    const milliseconds delay
            = std::min(kMaxRetryDelay, kBaseRetryDelay * (1U << std::min(op->attemptCount, 4U)));
    if (m_now() + delay >= op->deadline) {
        op->done({0, {}, false, op->mayHaveExecuted});
        return;
    }
    op->timer.start(delay);
}

void store_link::relay(const std::string &bytes, std::function<void(std::string)> done)
{
    relay_request relayed;
    if (!unpack(bytes, relayed) || !m_relaySelector.isDirectAvailable(m_now())) {
        done(pack(relay_response{}));
        return;
    }
    call_http call = makeCall(m_store, milliseconds{relayed.timeoutMs});
    call.method = std::move(relayed.method);
    call.path = std::move(relayed.path);
    call.body = std::move(relayed.body);
    m_client->start(call, {{}, {}, [this, done = std::move(done)](http_call_finished finished) {
                               const attempt_outcome outcome = outcomeOf(finished);
                               m_relaySelector.recordOutcome(std::nullopt, outcome, m_now());
                               done(pack(relay_response{outcome, finished.status, std::move(finished.body)}));
                           }});
}

} // namespace jacinthvale::node
