/// Leases: a row of the store names the one daemon that may act.
///
/// Every write of the row is conditional on the version that its writer has read, so that the row has one
/// holder at any time. A holder acts only for a limited time after the start of its last successful write; a
/// successor waits for longer than that.
#pragma once

#include <jacinthvale/node_event.h>

namespace jacinthvale::node {

/// A lease is valid for this long after the start of a renewal. It is renewed every kLeaseRenewPeriod; a
/// renewal without an answer fails after kLeaseRenewDeadline.
inline constexpr milliseconds kLeaseValidity{1400};
inline constexpr milliseconds kLeaseRenewPeriod{500};
inline constexpr milliseconds kLeaseRenewDeadline{1200};

/// A successor acquires a lease that was not renewed for kLeaseValidity plus this margin: the row is read at
/// intervals, and the clocks of two hosts run at slightly different speeds.
inline constexpr milliseconds kLeaseSuccessorMargin{400};

/// What the row of a lease says of its holder.
struct lease_claim
{
    host_id holder;
    incarnation_id incarnation;
    /// Increases with each acquisition.
    fencing_number epoch;
    /// The holder released the lease and acts no more.
    bool released = false;

    auto operator<=>(const lease_claim &) const = default;
};

/// The last known row of a lease, and the progress of this process's writes.
struct lease_state
{
    lease_claim claim;
    std::uint64_t rowVersion = 0;
    bool rowKnown = false;
    /// When this process observed the last change of the row.
    instant changedAt{};
    /// This process holds the lease.
    bool held = false;
    /// The holder does not act after this time unless the lease is renewed.
    instant heldUntil{};
    instant renewSentAt{};
    instant nextAt{};
    /// The write in progress, and the claim that it writes.
    op_id op;
    lease_claim writing;
};

/// How a row or the answer to a write changed who holds a lease.
enum class lease_change : std::uint8_t { none, taken, lost, released };

/// @returns true if the lease has no holder, or one that can act no more. @param self this process. @param
/// replacement incarnation that the holder's host reported after the row was written, if any.
bool mayAcquire(const lease_state &lease, const host_id &self, incarnation_id incarnation,
                std::optional<incarnation_id> replacement, instant now);

/// @returns true if this process holds the lease for at least this time from now on.
bool isHeldFor(const lease_state &lease, milliseconds margin, instant now);

/// Begins a write of the row. @returns the claim to write.
lease_claim beginLeaseWrite(lease_state &lease, op_id op, const host_id &self, incarnation_id incarnation,
                            bool release, instant now);

/// Applies a row that was read. Rows that are not newer than the known one change nothing.
lease_change applyLeaseRow(lease_state &lease, const lease_claim &row, std::uint64_t version,
                           const host_id &self, incarnation_id incarnation, instant now);

/// The write in progress was committed.
lease_change applyLeaseCommit(lease_state &lease, std::uint64_t version, instant now);

/// The write in progress failed, or another write came before it.
void applyLeaseFailure(lease_state &lease, instant now, milliseconds delay);

/// Ends the lease of this process if it was not renewed in time.
lease_change expireLease(lease_state &lease, instant now);

} // namespace jacinthvale::node
