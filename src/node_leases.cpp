#include <jacinthvale/node_leases.h>

#include <utility>

namespace jacinthvale::node {

namespace {

bool isHolder(const lease_claim &claim, const host_id &self, incarnation_id incarnation)
{
    return claim.holder == self && claim.incarnation == incarnation;
}

} // namespace

bool mayAcquire(const lease_state &lease, const host_id &self, incarnation_id incarnation,
                std::optional<incarnation_id> replacement, instant now)
{
    if (!lease.rowKnown || lease.claim.released
        || now - lease.changedAt >= kLeaseValidity + kLeaseSuccessorMargin) {
        return true;
    }
    // The holder's process has ended if another one runs on its host.
    if (lease.claim.holder == self) {
        return lease.claim.incarnation != incarnation;
    }
    return replacement && *replacement != lease.claim.incarnation;
}

bool isHeldFor(const lease_state &lease, milliseconds margin, instant now)
{
    return lease.held && now + margin < lease.heldUntil;
}

lease_claim beginLeaseWrite(lease_state &lease, op_id op, const host_id &self, incarnation_id incarnation,
                            bool release, instant now)
{
    const std::uint64_t epoch = lease.claim.epoch.value + (lease.held ? 0 : 1);
    lease.writing = {self, incarnation, {epoch}, release};
    lease.op = op;
    lease.renewSentAt = now;
    return lease.writing;
}

lease_change applyLeaseRow(lease_state &lease, const lease_claim &row, std::uint64_t version,
                           const host_id &self, incarnation_id incarnation, instant now)
{
    if (version <= lease.rowVersion) {
        return lease_change::none;
    }
    lease.rowKnown = true;
    lease.rowVersion = version;
    lease.changedAt = now;
    lease.claim = row;
    const bool isLost = lease.held && !isHolder(row, self, incarnation);
    lease.held = lease.held && !isLost;
    return isLost ? lease_change::lost : lease_change::none;
}

lease_change applyLeaseCommit(lease_state &lease, std::uint64_t version, instant now)
{
    lease.op = {};
    lease.nextAt = lease.renewSentAt + kLeaseRenewPeriod;
    if (version < lease.rowVersion) {
        // A later write of another process is already known.
        return lease_change::none;
    }
    lease.rowVersion = version;
    lease.rowKnown = true;
    lease.changedAt = now;
    lease.claim = lease.writing;
    const bool wasHeld = std::exchange(lease.held, !lease.claim.released);
    lease.heldUntil = lease.renewSentAt + kLeaseValidity;
    if (lease.held == wasHeld) {
        return lease_change::none;
    }
    return lease.held ? lease_change::taken : lease_change::released;
}

void applyLeaseFailure(lease_state &lease, instant now, milliseconds delay)
{
    lease.op = {};
    lease.nextAt = now + delay;
}

lease_change expireLease(lease_state &lease, instant now)
{
    if (!lease.held || now < lease.heldUntil) {
        return lease_change::none;
    }
    lease.held = false;
    return lease_change::lost;
}

} // namespace jacinthvale::node
