/// Keeps all connections of a process within one budget of bytes and one number of descriptors.
#pragma once

#include <jacinthvale/connection_policy.h>
#include <jacinthvale/event_timer.h>

#include <functional>
#include <string>
#include <vector>

struct event_base;

namespace jacinthvale {

/// What the connections of a process may hold together.
struct connection_budget
{
    /// Bytes of bodies, of heads and of unread answers.
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

/// @param memoryMb memory of the process.
/// @param maxConnections of the settings; never more than half of the descriptors that the process may open,
/// so that upstreams, the store and peers can be reached.
connection_budget budgetFor(double memoryMb, std::size_t maxConnections);

/// Connections of one kind: those of a listening socket, or those of a client to other processes.
class connection_group
{
public:
    virtual ~connection_group() = default;
    virtual const std::string &name() const = 0;
    virtual std::vector<connection_view> views() const = 0;
    virtual connection_times times() const { return {}; }
    /// Closes or refuses one of its connections; ids of others are ignored.
    virtual void carryOut(const connection_verdict &verdict) = 0;
    /// Lets the connections that wait for room try again.
    virtual void resumeWaiting() = 0;
    virtual void resumeAccepting() {}
};

/// What a claim may use of the budget.
enum class claim_class : std::uint8_t {
    /// Three quarters.
    ordinary,
    /// All of it: small bodies, and those that the service itself needs.
    essential,
};

/// Account of the connections of a process. Single-threaded.
class connection_guard
{
public:
    /// Told of each connection that is ended; the reason is a constant word.
    using end_observer = std::function<void(const std::string &listener, std::string_view reason)>;

    connection_guard(event_base *base, connection_budget budget, end_observer onEnded = {});
    connection_guard(const connection_guard &) = delete;
    connection_guard &operator=(const connection_guard &) = delete;

    void add(connection_group &listener);
    void remove(const connection_group &listener);

    /// @returns an id for a connection that is not accepted by a listener.
    connection_id nextId() { return {++m_lastId}; }
    /// Registers a new connection of a listener.
    connection_id open();
    /// @param bytes that it held.
    void closed(std::size_t bytes);

    /// @returns the most bytes that one body may have.
    std::size_t largestClaim(claim_class kind = claim_class::ordinary) const;
    /// @returns the class of a body of so many bytes: a part of the budget is kept for small ones.
    claim_class classOf(std::size_t bodyBytes) const;
    bool hasRoom(std::size_t bytes, claim_class kind) const { return m_used + bytes <= largestClaim(kind); }
    /// Takes bytes for a body. @returns false without room.
    bool claim(std::size_t bytes, claim_class kind);
    /// Takes bytes for a whole body.
    bool claim(std::size_t bytes) { return claim(bytes, classOf(bytes)); }
    /// Takes bytes that are held already.
    void hold(std::size_t bytes);
    void release(std::size_t bytes);
    std::size_t usedBytes() const { return m_used; }
    std::size_t connections() const { return m_connections; }

    /// Makes place for one more connection of the listener. @returns false if accepting has to pause.
    bool makePlace(connection_group &listener, std::size_t itsConnections);
    /// A connection waits for room, or a listener has paused.
    void lookSoon();
    void reportEnd(const std::string &listener, std::string_view reason) const;

    static instant now();

private:
    void look();
    void makeRoomForResponses();
    std::vector<connection_view> allViews() const;
    void carryOut(const std::vector<connection_verdict> &verdicts) const;

    connection_budget m_budget;
    end_observer m_onEnded;
    std::vector<connection_group *> m_groups;
    std::size_t m_used = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_lastId = 0;
    bool m_soon = false;
    event_timer m_timer;
};

} // namespace jacinthvale
