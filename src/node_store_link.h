/// Client of the platform's store that sends calls directly or relays them through a peer with a working
/// connection to it.
#pragma once

#include "node_port.h"

#include <functional>
#include <jacinthvale/event_timer.h>
#include <jacinthvale/http_client.h>
#include <map>
#include <memory>

namespace jacinthvale::node {

/// Outcome of one attempt to call the store. Sent between peers by value (relay_response).
enum class attempt_outcome : std::uint8_t {
    /// The store sent an answer.
    answered,
    /// The call was not executed: the store was not reached, or it rejected the call as overloaded.
    not_executed,
    /// No usable answer: the call may have been executed.
    indeterminate,
};

/// Peer that relays an attempt; nullopt for a direct call to the store.
using relay_peer = std::optional<endpoint>;

/// Selects between a direct call and a relaying peer for each attempt. The caller supplies the time.
class relay_selector
{
public:
    void setPeers(std::vector<endpoint> peers);
    /// Returns the peer for the next attempt, or nullopt for a direct call. The first attempt of an operation
    /// is direct, or uses the peer that answered last while direct calls are suspended.
    /// @param attemptCount number of earlier attempts of the same operation.
    relay_peer select(unsigned attemptCount, instant now, std::uint64_t random);
    void recordOutcome(const relay_peer &peer, attempt_outcome outcome, instant now);
    /// True unless direct calls are suspended after a failure.
    bool isDirectAvailable(instant now) const { return m_directBackoffUntil <= now; }

private:
    std::vector<endpoint> m_peers;
    relay_peer m_preferredPeer;
    instant m_directBackoffUntil{};
    unsigned m_consecutiveDirectFailures = 0;
};

/// Call that a peer relays to the store.
struct relay_request
{
    std::string method;
    std::string path;
    std::string body;
    std::uint32_t timeoutMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(method, path, body, timeoutMs);
    }
};

struct relay_response
{
    attempt_outcome outcome = attempt_outcome::not_executed;
    std::int32_t status = 0;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, status, body);
    }
};

/// Path at a peer that accepts calls to relay.
inline constexpr const char *kRelayPath = "/node/relay";

/// Final result of a store operation.
struct store_answer
{
    /// HTTP status; 0 if there was no answer before the deadline.
    int status = 0;
    std::string body;
    /// An earlier attempt of this write got no answer and may have been executed.
    bool afterLostAnswer = false;
    /// No attempt was answered, and at least one of this write may have been executed.
    bool outcomeUnknown = false;
};

/// Retries store operations until they are answered or their deadline passes.
class store_link
{
public:
    using clock = std::function<instant()>;

    store_link(event_base *base, http_client &client, endpoint store, clock now);
    store_link(const store_link &) = delete;
    store_link &operator=(const store_link &) = delete;
    ~store_link();

    void setPeers(std::vector<endpoint> peers) { m_relaySelector.setPeers(std::move(peers)); }
    /// Starts an operation. Calls `done` once: with the answer, or with status 0 after the deadline. Not
    /// called if the link is destroyed first.
    void start(store_request request, milliseconds deadline, std::function<void(store_answer)> done);
    /// Makes one direct attempt on behalf of a peer. Takes a packed relay_request; passes a packed
    /// relay_response to `done`.
    void relay(const std::string &bytes, std::function<void(std::string)> done);

private:
    struct operation;

    void attempt(const std::shared_ptr<operation> &op);
    void onAttemptEnded(const std::shared_ptr<operation> &op, const relay_peer &peer, attempt_outcome outcome,
                        int status, std::string body);
    call_http makeCall(const endpoint &target, milliseconds timeout) const;

    event_base *m_base;
    http_client *m_client;
    endpoint m_store;
    clock m_now;
    relay_selector m_relaySelector;
    std::uint64_t m_selectionCount = 0;
    /// Operations that wait for an answer or for their next attempt.
    std::map<std::uint64_t, std::shared_ptr<operation>> m_operations;
    std::uint64_t m_lastOperation = 0;
};

} // namespace jacinthvale::node
