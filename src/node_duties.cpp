// Lease and calls of the duties. What is decided is in node_usage.cpp and node_scaling.cpp.
#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// A call is made only while the lease is held for this time: the call arrives or is given up before a
/// successor can make one.
constexpr milliseconds kCallMargin{500};

/// Longest time from the decision to make a call until it is sent. After it the call is dropped: its process
/// was suspended.
constexpr milliseconds kMaxCallDelay{100};

/// Margin on the time for which a holder leaves the duties alone, because the estimates of the store's time
/// on two hosts differ.
constexpr milliseconds kTurnMargin{200};

/// Share of the platform's rate that is used, so that the calls of two successive holders stay below it.
constexpr double kCallRateShare = 0.8;

/// Delay of the next call about a subject after one that was not accepted; doubles up to the maximum.
constexpr milliseconds kMinBackOff{250};
constexpr milliseconds kMaxBackOff{2000};

/// Time over which the daemons of a fleet spread their attempts to acquire the lease, for each daemon.
constexpr milliseconds kAcquireSpreadPerDaemon{4};

constexpr double kSecondMs = 1000;

duty_subject subjectOf(const duty_call &call)
{
    return std::visit(overloaded{[](const usage_report &) { return duty_subject{}; },
                                 [](const upstream_order &order) {
                                     return duty_subject{order.service, order.zone};
                                 }},
                      call);
}

std::string fencingText(const duty_state &duties)
{
    return "fencing number " + std::to_string(duties.lease.claim.epoch.value);
}

/// Daemons that find the lease available at the same time try one after the other.
milliseconds acquireDelay(const node_state &state)
{
    const auto spread = static_cast<std::uint64_t>(kAcquireSpreadPerDaemon.count()) * state.members.size();
    const std::uint64_t draw
            = stableHash(state.self.host.value, state.duties.lease.claim.epoch.value) % (spread + 1);
    return milliseconds{static_cast<std::int64_t>(draw)};
}

bool isAvailable(const step &s)
{
    const lease_state &lease = s.state.duties.lease;
    return mayAcquire(lease, s.state.self.host, s.state.incarnation, replacementOf(s.state, lease),
                      s.ctx.now - acquireDelay(s.state));
}

void dropCalls(step &s)
{
    for (const auto &[subject, progress] : s.state.duties.calls) {
        if (progress.op.value != 0) {
            s.emit(cancel_call{progress.op});
            s.state.ops.erase(progress.op);
        }
    }
    s.state.duties.calls.clear();
}

void onLeaseChanged(step &s, lease_change change, const std::string &reason)
{
    duty_state &duties = s.state.duties;
    switch (change) {
    case lease_change::none:
        return;
    case lease_change::taken: {
        s.log("duties-taken", kDutyLeaseKey,
              fencingText(duties) + ", reports fixed and not known to be accepted "
                      + std::to_string(duties.committed.fixedReports.size()));
        s.emit(count{"duty_leases_taken_total"});
        return;
    }
    case lease_change::lost:
    case lease_change::released:
        s.log(change == lease_change::lost ? "duties-lost" : "duties-released", kDutyLeaseKey,
              reason.empty() ? fencingText(duties) : fencingText(duties) + ", " + reason);
        dropCalls(s);
        duties.wanted = duties.committed;
        duties.changed = false;
        return;
    }
}

void writeDutyLease(step &s, bool release)
{
    duty_state &duties = s.state.duties;
    if (!duties.lease.held) {
        // Calls of the holder before the former one, which may be this process, are over by then.
        duties.actsFromMs = duties.acquiredAtMs == 0
                                    ? 0
                                    : duties.acquiredAtMs
                                              + static_cast<std::uint64_t>(
                                                      (s.state.self.leaseTime + kTurnMargin).count());
        duties.wanted = duties.committed;
    }
    const op_id op = s.open(lease_operation{lease_id::duties});
    duty_lease_row row;
    row.claim = beginLeaseWrite(duties.lease, op, s.state.self.host, s.state.incarnation, release, s.ctx.now);
    row.acquiredAtMs = duties.lease.held ? duties.acquiredAtMs : storeTime(s.state, s.ctx.now);
    row.record = duties.wanted;
    duties.writing = duties.wanted;
    duties.writingAcquiredAtMs = row.acquiredAtMs;
    duties.changed = false;
    s.emit(commit_rows{op,
                       "",
                       {{table_id::leases, kDutyLeaseKey, duties.lease.rowVersion}},
                       {{table_id::leases, kDutyLeaseKey, encodeDutyLease(row)}},
                       kLeaseRenewDeadline});
}

/// A write that failed may have been applied; the record is written again.
void onWriteEnded(step &s, milliseconds delay)
{
    applyLeaseFailure(s.state.duties.lease, s.ctx.now, delay);
    s.state.duties.changed = s.state.duties.lease.held;
}

bool readsTables(const step &s)
{
    return std::ranges::all_of(s.state.feeds, [](const table_feed &feed) {
        return feed.synced || (feed.table != table_id::leases && feed.table != table_id::daemons);
    });
}

} // namespace

std::optional<incarnation_id> replacementOf(const node_state &state, const lease_state &lease)
{
    const auto found = state.members.find(lease.claim.holder);
    return found != state.members.end() && found->second.rowVersion > lease.rowVersion
                   ? std::optional(found->second.incarnation)
                   : std::nullopt;
}

bool isDutyHolder(const step &s)
{
    return !s.state.stopping && isHeldFor(s.state.duties.lease, kCallMargin, s.ctx.now)
           && storeTime(s.state, s.ctx.now) >= s.state.duties.actsFromMs;
}

duty_record &dutyRecord(step &s)
{
    s.state.duties.changed = true;
    return s.state.duties.wanted;
}

const duty_record &committedDutyRecord(const node_state &state)
{
    return state.duties.committed;
}

bool callDuty(step &s, duty_call call)
{
    duty_state &duties = s.state.duties;
    if (!isDutyHolder(s) || s.ctx.now < duties.nextCallAt) {
        return false;
    }
    duty_progress &progress = duties.calls[subjectOf(call)];
    if (progress.op.value != 0 || s.ctx.now < progress.nextAt) {
        return false;
    }
    const double intervalMs = kSecondMs / (kCallRateShare * s.state.self.duties->callsPerSecond);
    duties.nextCallAt = s.ctx.now + milliseconds{static_cast<std::int64_t>(intervalMs)};
    progress.op = s.open(duty_operation{call});
    s.emit(count{"duty_calls_total"});
    s.emit(call_duty{progress.op, std::move(call), s.state.self.host, duties.lease.claim.epoch,
                     s.ctx.now + kMaxCallDelay});
    return true;
}

void runDuties(step &s)
{
    duty_state &duties = s.state.duties;
    if (!s.state.self.duties || !readsTables(s)) {
        return;
    }
    onLeaseChanged(s, expireLease(duties.lease, s.ctx.now), "not renewed in time");
    if (s.state.stopping) {
        s.state.advisoryUrgent |= !isUsageTold(s.state);
        if (duties.lease.held && duties.lease.op.value == 0) {
            writeDutyLease(s, true);
        }
        return;
    }
    if (isDutyHolder(s)) {
        reportUsage(s);
    }
    decideNumbersOfUpstreams(s);
    if (duties.lease.op.value != 0) {
        return;
    }
    const bool isDue = duties.lease.nextAt <= s.ctx.now;
    if (duties.lease.held ? duties.changed || isDue : isDue && isAvailable(s)) {
        writeDutyLease(s, false);
    }
}

void onDutyLeaseRow(step &s, const row &changed)
{
    duty_state &duties = s.state.duties;
    const auto row = changed.removed ? std::nullopt : decodeDutyLease(changed);
    if (!row) {
        s.log("lease-row-unreadable", changed.key.key);
        return;
    }
    if (changed.version <= duties.lease.rowVersion) {
        return;
    }
    duties.committed = row->record;
    duties.acquiredAtMs = row->acquiredAtMs;
    onLeaseChanged(s,
                   applyLeaseRow(duties.lease, row->claim, changed.version, s.state.self.host,
                                 s.state.incarnation, s.ctx.now),
                   "held by " + row->claim.holder.value);
    if (row->claim.released && !duties.lease.held) {
        duties.lease.nextAt = std::max(duties.lease.nextAt, s.ctx.now + acquireDelay(s.state));
    }
}

void onDutyLeaseCommitted(step &s, const rows_committed &committed)
{
    duty_state &duties = s.state.duties;
    const bool isLatest = committed.version >= duties.lease.rowVersion;
    const lease_change change = applyLeaseCommit(duties.lease, committed.version, s.ctx.now);
    if (isLatest) {
        duties.committed = duties.writing;
        duties.acquiredAtMs = duties.writingAcquiredAtMs;
    }
    onLeaseChanged(s, change, {});
    runDuties(s);
}

void onDutyLeaseConflict(step &s, const rows_conflict &conflict)
{
    onWriteEnded(s, kLeaseRenewPeriod);
    for (const row &currentRow : conflict.rows) {
        if (currentRow.key.table == table_id::leases && currentRow.version != 0) {
            onDutyLeaseRow(s, currentRow);
        }
    }
}

void onDutyLeaseFailed(step &s)
{
    onWriteEnded(s, kTickPeriod);
}

void onDutyCallEnded(step &s, const duty_call &call, const call_ended &ended)
{
    duty_progress &progress = s.state.duties.calls[subjectOf(call)];
    progress.op = {};
    const bool isAccepted = ended.end == call_end::complete;
    progress.failures = isAccepted ? 0 : progress.failures + 1;
    const unsigned doublings = std::min(progress.failures, 8U);
    progress.nextAt
            = isAccepted ? s.ctx.now : s.ctx.now + std::min(kMaxBackOff, kMinBackOff * (1U << doublings) / 2);
    s.emit(count{std::string("duty_answers_total{status=\"") + std::to_string(ended.status) + "\"}"});
    std::visit(overloaded{[&](const usage_report &report) { onUsageReported(s, report, ended); },
                          [&](const upstream_order &order) { onUpstreamsOrdered(s, order, ended); }},
               call);
}

bool areDutiesReleased(const node_state &state)
{
    return !state.self.duties || (!state.duties.lease.held && isUsageTold(state));
}

} // namespace jacinthvale::node
