// Usage: counts of this daemon, and reports of the holder of the duties.
//
// A request counts when its first attempt is sent, and no more if all its attempts turn out not to have run.
// One that breaks off after it was sent probably ran, and counts. A stream counts with its first event; a
// request that takes a stream up again does not count, nor do items and their reward calls.
#include "node_step.h"

#include <algorithm>
#include <numeric>

namespace jacinthvale::node {

namespace {

/// Change of the clock's offset that is told to the others on its own.
constexpr std::int64_t kOffsetStepMs = 20;

/// Time in which an upstream answers that it did not run a request.
constexpr milliseconds kRefusalTime{300};

/// Part of the time until a report is due that is kept for sending it, also if a successor has to.
constexpr int kSendPart = 3;
constexpr int kSendParts = 10;

std::uint64_t toMs(milliseconds time)
{
    return static_cast<std::uint64_t>(time.count());
}

std::uint64_t endOf(std::uint64_t window, const duty_settings &settings)
{
    return (window + 1) * toMs(settings.usageWindow);
}

bool reportsUsage(const node_state &state)
{
    return state.self.duties && state.self.duties->reportsUsage;
}

std::optional<std::uint64_t> trueTime(const node_state &state, instant now)
{
    const std::uint64_t store = storeTime(state, now);
    if (store == 0 || !state.usage.clockOffsetMs) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(static_cast<std::int64_t>(store) + *state.usage.clockOffsetMs);
}

/// Reads the own clock, and computes the common offset from those of all known hosts. Also from those that
/// are down: what they told stays as true as it was, and without them the wrong clocks could be half of the
/// rest.
void updateClock(step &s)
{
    node_state &state = s.state;
    const std::uint64_t store = storeTime(state, s.ctx.now);
    if (store == 0) {
        return;
    }
    const std::int64_t own = s.ctx.wallNow.time_since_epoch().count() - static_cast<std::int64_t>(store);
    std::optional<std::int64_t> &told = state.ownAdvisory.usage.clockOffsetMs;
    if (!told || std::abs(*told - own) > kOffsetStepMs) {
        told = own;
        state.advisoryPublication.changed = true;
    }
    std::vector<std::int64_t> offsets{*told};
    for (const auto &[host, advisory] : state.peerAdvisories) {
        if (advisory.usage.clockOffsetMs && host != state.self.host) {
            offsets.push_back(*advisory.usage.clockOffsetMs);
        }
    }
    state.usage.clockOffsetMs = medianOffset(std::move(offsets));
}

/// True if most daemons have told their clocks: the first window follows from them.
bool isClockCommon(const node_state &state)
{
    const auto known = std::ranges::count_if(state.peerAdvisories, [](const auto &entry) {
        return entry.second.usage.clockOffsetMs.has_value();
    });
    return 2 * (static_cast<std::size_t>(known) + 1) > state.members.size();
}

std::size_t usageBytes(const std::map<std::uint64_t, usage_counts> &counts)
{
    return std::accumulate(
            counts.begin(), counts.end(), std::size_t{0},
            [](std::size_t sum, const auto &entry) { return sum + node::usageBytes(entry.second); });
}

std::size_t usageBytes(const std::vector<usage_report> &reports)
{
    return std::accumulate(reports.begin(), reports.end(), std::size_t{0},
                           [](std::size_t sum, const usage_report &report) {
                               return sum + node::usageBytes(report.counts);
                           });
}

/// @returns the daemons whose counts for a window may still arrive.
std::vector<host_id> missingHosts(const step &s, std::uint64_t window, std::uint64_t trueMs)
{
    // The counts in a heartbeat are as old as the heartbeat when it was sent.
    const milliseconds age = kRefusalTime + 2 * s.state.heartbeatDuration;
    std::vector<host_id> missing;
    for (const auto &[host, peer] : s.state.members) {
        const usage_evidence evidence{trueMs - toMs(s.ctx.now - peer.changedAt + age),
                                      isAlive(s.state, {host, peer.incarnation}, s.ctx.now)};
        if (host != s.state.self.host && !isAccountedFor(evidence, window, *s.state.self.duties)) {
            missing.push_back(host);
        }
    }
    return missing;
}

usage_counts countsOf(const node_state &state, std::uint64_t window)
{
    usage_counts total;
    const auto add = [&](const daemon_advisory &advisory) {
        if (const auto found = advisory.usage.counts.find(window); found != advisory.usage.counts.end()) {
            addUsage(total, found->second);
        }
    };
    add(state.ownAdvisory);
    for (const auto &[host, advisory] : state.peerAdvisories) {
        if (host != state.self.host) {
            add(advisory);
        }
    }
    return total;
}

std::uint64_t sumOf(const usage_counts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto &entry) { return sum + entry.second; });
}

/// Gives up reports that are overdue.
void dropOverdue(step &s, std::uint64_t firstDue)
{
    const duty_record &wanted = s.state.duties.wanted;
    if (wanted.nextWindow < firstDue) {
        s.log("usage-given-up", std::to_string(wanted.nextWindow),
              std::to_string(firstDue - wanted.nextWindow)
                      + " windows were overdue before they were counted");
        s.emit(count{"usage_reports_total{end=\"overdue\"}",
                     static_cast<double>(firstDue - wanted.nextWindow)});
        dutyRecord(s).nextWindow = firstDue;
    }
    const auto isOverdue = [&](const usage_report &report) { return report.window < firstDue; };
    for (const usage_report &report : wanted.fixedReports) {
        if (isOverdue(report)) {
            s.log("usage-given-up", std::to_string(report.window), "not accepted before it was overdue");
            s.emit(count{"usage_reports_total{end=\"overdue\"}"});
        }
    }
    if (std::ranges::any_of(wanted.fixedReports, isOverdue)) {
        std::erase_if(dutyRecord(s).fixedReports, isOverdue);
    }
}

/// Fixes the reports of windows whose counts are complete, or can wait no longer.
void fixReports(step &s, std::uint64_t trueMs)
{
    const duty_settings &settings = *s.state.self.duties;
    const duty_record &wanted = s.state.duties.wanted;
    const std::uint64_t current = windowAt(trueMs, settings);
    if (wanted.nextWindow == 0) {
        if (isClockCommon(s.state)) {
            s.log("usage-begun", std::to_string(current));
            dutyRecord(s).nextWindow = current;
        }
        return;
    }
    dropOverdue(s, firstWindowDue(trueMs, settings));
    while (wanted.nextWindow < current) {
        const std::uint64_t window = wanted.nextWindow;
        const std::vector<host_id> missing = missingHosts(s, window, trueMs);
        if (!missing.empty() && !isPressing(window, trueMs, settings)) {
            return;
        }
        usage_report report{window, countsOf(s.state, window)};
        if (!wanted.fixedReports.empty()
            && usageBytes(wanted.fixedReports) + node::usageBytes(report.counts) > kMaxUsageBytes) {
            // The row has room for it once a report before it is accepted or overdue.
            return;
        }
        s.log("usage-fixed", std::to_string(window),
              std::to_string(sumOf(report.counts)) + " requests of " + std::to_string(report.counts.size())
                      + " accounts, " + std::to_string(trueMs - endOf(window, settings))
                      + " ms after the window, daemons missing " + std::to_string(missing.size())
                      + (missing.empty() ? "" : ", first " + missing.front().value));
        s.emit(count{"usage_counts_missing_total", static_cast<double>(missing.size())});
        dutyRecord(s).fixedReports.push_back(std::move(report));
        dutyRecord(s).nextWindow = window + 1;
    }
}

} // namespace

std::size_t usageBytes(const usage_counts &counts)
{
    constexpr std::size_t kBytesPerAccount = 16;
    return std::accumulate(
            counts.begin(), counts.end(), std::size_t{0},
            [](std::size_t sum, const auto &entry) { return sum + entry.first.size() + kBytesPerAccount; });
}

std::optional<std::int64_t> medianOffset(std::vector<std::int64_t> offsets)
{
    if (offsets.empty()) {
        return std::nullopt;
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle;
}

std::uint64_t windowAt(std::uint64_t trueMs, const duty_settings &settings)
{
    return trueMs / toMs(settings.usageWindow);
}

std::uint64_t firstWindowDue(std::uint64_t trueMs, const duty_settings &settings)
{
    const std::uint64_t due = toMs(settings.usageDue);
    return trueMs < due ? 0 : windowAt(trueMs - due, settings);
}

bool isAccountedFor(const usage_evidence &daemon, std::uint64_t window, const duty_settings &settings)
{
    const bool endedBefore = !daemon.isAlive && daemon.toldUntilMs < window * toMs(settings.usageWindow);
    return endedBefore || daemon.toldUntilMs >= endOf(window, settings);
}

bool isPressing(std::uint64_t window, std::uint64_t trueMs, const duty_settings &settings)
{
    return trueMs
           >= endOf(window, settings) + toMs(settings.usageDue * (kSendParts - kSendPart) / kSendParts);
}

void addUsage(usage_counts &total, const usage_counts &added)
{
    for (const auto &[account, requests] : added) {
        total[account] += requests;
    }
}

std::optional<std::uint64_t> countUsage(step &s, const client_call &call)
{
    if (!reportsUsage(s.state) || !call.account || call.account->empty()) {
        return std::nullopt;
    }
    if (!s.state.usage.clockOffsetMs) {
        updateClock(s);
    }
    const auto trueMs = trueTime(s.state, s.ctx.now);
    if (!trueMs) {
        s.log("usage-not-counted", call.id.value, "the store's time is not known yet");
        return std::nullopt;
    }
    const std::uint64_t window = windowAt(*trueMs, *s.state.self.duties);
    auto &counts = s.state.ownAdvisory.usage.counts;
    if (!counts[window].contains(call.account->value) && usageBytes(counts) > kMaxUsageBytes) {
        s.log("usage-not-counted", call.id.value, "requests of too many accounts");
        s.emit(count{"usage_not_counted_total"});
        return std::nullopt;
    }
    ++counts[window][call.account->value];
    s.state.advisoryPublication.changed = true;
    return window;
}

void uncountUsage(step &s, const client_call &call, std::uint64_t window)
{
    auto &counts = s.state.ownAdvisory.usage.counts;
    const auto found = counts.find(window);
    if (found == counts.end()) {
        return;
    }
    const auto entry = found->second.find(call.account->value);
    if (entry != found->second.end() && --entry->second == 0) {
        found->second.erase(entry);
    }
    s.state.advisoryPublication.changed = true;
}

void updateUsageAdvisory(step &s)
{
    node_state &state = s.state;
    if (!reportsUsage(state)) {
        return;
    }
    updateClock(s);
    auto &counts = state.ownAdvisory.usage.counts;
    for (const auto &[window, former] : std::exchange(state.usage.former, {})) {
        addUsage(counts[window], former);
    }
    const auto trueMs = trueTime(state, s.ctx.now);
    const std::uint64_t firstDue = trueMs ? firstWindowDue(*trueMs, *state.self.duties) : 0;
    // What is no longer needed leaves the row when it is next written.
    const std::uint64_t first = std::max(firstDue, committedDutyRecord(state).nextWindow);
    counts.erase(counts.begin(), counts.lower_bound(first));
}

bool isUsageTold(const node_state &state)
{
    return !reportsUsage(state) || (!state.advisoryPublication.changed && !state.advisoryPublication.writing);
}

void reportUsage(step &s)
{
    const auto trueMs = reportsUsage(s.state) ? trueTime(s.state, s.ctx.now) : std::nullopt;
    if (!trueMs) {
        return;
    }
    fixReports(s, *trueMs);
    const std::vector<usage_report> &wanted = s.state.duties.wanted.fixedReports;
    const std::vector<usage_report> &committed = committedDutyRecord(s.state).fixedReports;
    const auto next = std::ranges::find_if(
            committed, [&](const usage_report &report) { return std::ranges::count(wanted, report) > 0; });
    if (next != committed.end()) {
        callDuty(s, *next);
    }
}

void onUsageReported(step &s, const usage_report &report, const call_ended &ended)
{
    const bool isAccepted = ended.end == call_end::complete;
    const auto trueMs = trueTime(s.state, s.ctx.now);
    const std::uint64_t end = endOf(report.window, *s.state.self.duties);
    const std::uint64_t delayMs = trueMs && *trueMs > end ? *trueMs - end : 0;
    s.log(isAccepted ? "usage-accepted" : "usage-refused", std::to_string(report.window),
          (ended.status == 0 ? std::string("no answer") : "status " + std::to_string(ended.status)) + ", "
                  + std::to_string(delayMs) + " ms after the window");
    s.emit(count{std::string("usage_reports_total{end=\"") + (isAccepted ? "accepted" : "refused") + "\"}"});
    if (isAccepted) {
        s.emit(observe{"usage_report_delay_ms", static_cast<double>(delayMs)});
        // The next renewal of the lease writes it; a successor that does not know repeats the same report.
        std::erase(s.state.duties.wanted.fixedReports, report);
    }
}

} // namespace jacinthvale::node
