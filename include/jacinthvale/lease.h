/// Lease on one row of the platform's table, with a rising epoch that serves as fencing number.
///
/// Every change of the row is a conditional transaction, so of two contenders at most one wins. The holder
/// counts its time from before the write was sent, on its own monotonic clock. A contender takes a row over
/// only when it was released, or when the contender itself has seen it unchanged for a whole lease. No clocks
/// are compared between hosts. A lost answer leaves the holder with the time it had proved before.
#pragma once

#include <jacinthvale/store.h>
#include <jacinthvale/types.h>

#include <deque>
#include <optional>
#include <string>

namespace jacinthvale {

/// Times of a lease. The same on all contenders.
struct lease_terms
{
    milliseconds duration{10'000};
    milliseconds renewEvery{3'000};
    /// Time before the end in which the holder no longer acts.
    milliseconds margin{1'000};
    /// Longest time from an order's check of the lease until the order has arrived or failed.
    milliseconds orderDeadline{2'000};
};

/// Value of a lease's row.
struct lease_record
{
    host_id holder;
    incarnation_id incarnation;
    fencing_number epoch;
    /// True once the holder has given it up and has no order on its way.
    bool released = false;

    auto operator<=>(const lease_record &) const = default;
};

/// @returns the record as JSON, the row's value.
std::string encodeLease(const lease_record &record);

/// @returns nothing where the text is not a lease record.
std::optional<lease_record> decodeLease(const std::string &text);

/// One contender's view of one lease. Pure: time, rows and outcomes come in, transactions go out.
///
/// At most one transaction is under way at a time; its outcome goes to settle().
class lease
{
public:
    lease(std::string key, host_id self, incarnation_id incarnation, lease_terms terms);

    /// Takes in the row as read by a get or scan; no row stands for an absent one.
    /// @param askedAt when the read was sent; reads from before the last own write are ignored.
    void observe(const std::optional<store_row> &row, instant askedAt, instant now);

    /// @returns the transaction that takes a free row, if it is free and nothing is under way.
    std::optional<store_transact> acquire(instant now);

    /// @returns the transaction that renews, if it is held, due and nothing is under way.
    std::optional<store_transact> renew(instant now);

    /// Gives the lease up at once; orders are to be finished before.
    /// @returns the transaction that tells contenders, if nothing is under way.
    std::optional<store_transact> release(instant now);

    /// Takes in the outcome of the transaction under way.
    void settle(const store_outcome &outcome, instant now);

    /// Hears of a fencing number at an upstream: the next renewal goes above it.
    void sawFencing(fencing_number seen);

    /// @returns true while the holder may act with this time to spare, besides the margin.
    bool mayAct(instant now, milliseconds needed = milliseconds{0}) const;

    /// @returns true when orders that no fencing number protects may be sent: also waits until a former
    /// holder's last order is over.
    bool mayOrderUnfenced(instant now) const;

    /// @returns true where the row has to be read before anything else can be done.
    bool needsRead() const { return m_needsRead && !m_pending; }

    /// @returns true where the row, as last seen, may be taken over.
    bool isFree(instant now) const;

    bool busy() const { return m_pending.has_value(); }

    /// @returns true while the row names this contender as holder, as far as it knows.
    bool ownsRow() const { return m_owned; }

    fencing_number epoch() const { return m_epoch; }
    const std::string &key() const { return m_key; }
    const lease_terms &terms() const { return m_terms; }
    /// @returns what the row said when last seen.
    const std::optional<lease_record> &lastRecord() const { return m_record; }
    /// @returns a check that the row is still as last seen; to be joined to a transaction of the holder.
    store_check check() const { return {m_key, m_version}; }

private:
    /// A transaction that was sent and may have taken effect.
    struct sent_write
    {
        std::string writeId;
        std::string value;
        fencing_number epoch;
        instant sentAt{};
        bool release = false;
    };

    store_transact write(const lease_record &record, instant now);
    void takeRow(const std::optional<store_row> &row, instant now);

    std::string m_key;
    host_id m_self;
    incarnation_id m_incarnation;
    lease_terms m_terms;
    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_version = 0;
    std::optional<lease_record> m_record;
    /// When this version of the row was first seen.
    instant m_firstSeen{};
    bool m_needsRead = true;
    bool m_owned = false;
    /// Given up by release(): not acted upon again before the next acquire().
    bool m_givenUp = false;
    instant m_validUntil{};
    instant m_lastSent{};
    instant m_lastSettled{};
    instant m_firstUnfencedOrder{};
    fencing_number m_epoch;
    fencing_number m_highestSeen;
    std::optional<std::string> m_pending;
    std::deque<sent_write> m_sent;
};

} // namespace jacinthvale
