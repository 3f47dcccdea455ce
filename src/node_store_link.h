/// Reaches the store by one of several ways: directly, or through a peer that the store serves.
#pragma once

#include "node_port.h"

#include <functional>
#include <jacinthvale/event_timer.h>
#include <jacinthvale/http_client.h>
#include <map>
#include <memory>

namespace jacinthvale::node {

/// How one attempt ended.
enum class attempt_end : std::uint8_t {
    /// The store gave an answer.
    answered,
    /// Nothing was done: not reached, or turned away.
    nothing_done,
    /// No answer: it may have been done.
    unclear,
};

/// Way of an attempt: a peer, or none for the direct way.
using way = std::optional<endpoint>;

/// Decides which way the next attempt goes. Times come from the caller.
class way_chooser
{
public:
    void setPeers(std::vector<endpoint> peers);
    /// @param tried number of attempts that the same operation has made.
    way next(unsigned tried, instant now, std::uint64_t random);
    void note(const way &by, attempt_end end, instant now);
    bool directIsGood(instant now) const { return m_directBadUntil <= now; }

private:
    std::vector<endpoint> m_peers;
    way m_goodPeer;
    instant m_directBadUntil{};
    unsigned m_directFailures = 0;
};

/// What a peer is asked to send on.
struct relayed_call
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

struct relayed_answer
{
    attempt_end end = attempt_end::nothing_done;
    std::int32_t status = 0;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(end, status, body);
    }
};

/// Path at a peer's address that takes relayed calls.
inline constexpr const char *kRelayPath = "/node/relay";

/// Final outcome of a store operation.
struct store_answer
{
    int status = 0;
    std::string body;
    /// An attempt before the answered one got no answer.
    bool afterLostAnswer = false;
    /// No answer at all; an attempt may have been done.
    bool outcomeUnknown = false;
};

/// Carries store operations until they are answered or out of time.
class store_link
{
public:
    using clock = std::function<instant()>;

    store_link(event_base *base, http_client &client, endpoint store, clock now);
    store_link(const store_link &) = delete;
    store_link &operator=(const store_link &) = delete;
    ~store_link();

    void setPeers(std::vector<endpoint> peers) { m_chooser.setPeers(std::move(peers)); }
    /// Status 0 in the answer: out of time.
    void start(store_request request, milliseconds deadline, std::function<void(store_answer)> done);
    /// One direct attempt for a peer.
    void relay(const std::string &bytes, std::function<void(std::string)> done);

private:
    struct operation;

    void attempt(const std::shared_ptr<operation> &op);
    void ended(const std::shared_ptr<operation> &op, const way &by, attempt_end end, int status,
               std::string body);
    call_http makeCall(const endpoint &target, milliseconds timeout) const;

    event_base *m_base;
    http_client *m_client;
    endpoint m_store;
    clock m_now;
    way_chooser m_chooser;
    std::uint64_t m_draw = 0;
    /// Those that wait for an answer or for the next attempt.
    std::map<std::uint64_t, std::shared_ptr<operation>> m_operations;
    std::uint64_t m_lastOperation = 0;
};

} // namespace jacinthvale::node
