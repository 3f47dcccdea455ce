// Simulated upstreams: runs, forwarded calls, weight orders, heartbeats and crashes.
#include "node_simulation.h"

#include <algorithm>
#include <sstream>

namespace jacinthvale::test {

using namespace node;

namespace {

constexpr milliseconds kUpstreamHeartbeatInterval{1200};
constexpr milliseconds kLoadTime{900};
/// Time after which a daemon gives up a connection.
constexpr milliseconds kConnectTimeout{500};
/// Time until the head of a response arrives.
constexpr milliseconds kHeadLatency{1};
/// Time after which a limit that an upstream names holds for all daemons, and the time that one daemon has.
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kLimitReactionTime{500};
/// An upstream may receive this multiple of its limit and a burst of requests beyond it in any such window.
constexpr milliseconds kLimitWindow{4000};
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitBurst = 5;
/// Time until a call crashes its upstream, and until the upstream is back.
constexpr milliseconds kCrashDelay{20};
constexpr milliseconds kRestartTime{3000};
/// Time after the end of a batch within which the daemons must stop its work.
constexpr milliseconds kCancelTime{3000};

} // namespace

std::string chunkText(const item_id &id, std::uint64_t number, const std::string &softwareVersion)
{
    const std::string text = id.value + "." + std::to_string(number);
    return softwareVersion.empty() ? text : text + "@" + softwareVersion;
}

std::string node_simulation::paddedChunk(const item_id &id, std::uint64_t number,
                                         const std::string &softwareVersion) const
{
    std::string text = chunkText(id, number, softwareVersion);
    text.resize(std::max(text.size(), m_chunkBytes), m_chunkFill);
    return text;
}

void node_simulation::checkText(const item_result &result)
{
    const auto version = result.text.find('@');
    const std::string softwareVersion
            = version == std::string::npos
                      ? std::string()
                      : result.text.substr(version + 1, result.text.find('\n') - version - 1);
    std::string expected;
    for (unsigned i = 1; i <= m_chunkCounts[result.id.value]; ++i) {
        expected += (i > 1 ? "\n" : "") + paddedChunk(result.id, i, softwareVersion);
    }
    if (expected != result.text) {
        addViolation("text of " + result.id.value
                     + " is not the output of one software version: " + result.text);
    }
}

void node_simulation::setUpstreamCut(std::size_t daemon, upstream_cut cut)
{
    simulated_process &self = m_daemons.at(daemon);
    self.cut = cut;
    if (cut != upstream_cut::refuses && cut != upstream_cut::silent) {
        return;
    }
    // Requests in progress end, or are never heard of again.
    const auto endAll = [&](auto &requests, const auto &makeEvent) {
        std::vector<op_id> ops;
        std::erase_if(requests, [&](const auto &entry) {
            const bool own = entry.first.first == daemon;
            if (own) {
                ops.push_back(entry.first.second);
            }
            return own;
        });
        for (const op_id op : ops) {
            if (cut == upstream_cut::refuses) {
                deliverAfter(daemon, milliseconds{1}, makeEvent(op));
            }
        }
    };
    for (const auto &[key, run] : m_runs) {
        if (key.first == daemon) {
            --findUpstream(run.request.upstream)->running;
        }
    }
    for (const auto &[key, upstream] : m_calls) {
        if (key.first == daemon) {
            --findUpstream(upstream)->calls;
        }
    }
    const auto callBroke = [](op_id op) { return call_ended{op, call_end::incomplete, 0, {}, {}}; };
    endAll(m_runs, [](op_id op) { return run_ended{op, call_end::incomplete}; });
    endAll(m_streamRuns, callBroke);
    endAll(m_calls, callBroke);
}

bool node_simulation::failsToConnect(std::size_t daemon, const node::event &unreachable)
{
    const upstream_cut cut = m_daemons.at(daemon).cut;
    if (cut == upstream_cut::none) {
        return false;
    }
    deliverAfter(daemon, cut == upstream_cut::silent ? kConnectTimeout : milliseconds{1}, unreachable);
    return true;
}

bool node_simulation::failsToWrite(std::size_t daemon, const std::string &id, const node::event &unsendable)
{
    if (!m_unsendable.contains(id)) {
        return false;
    }
    ++m_unsendableRequests;
    deliverAfter(daemon, milliseconds{0}, unsendable);
    return true;
}

simulated_upstream *node_simulation::findUpstream(const upstream_id &id)
{
    const auto found = std::ranges::find_if(m_upstreams,
                                            [&](const simulated_upstream &u) { return u.entry.id == id; });
    return found == m_upstreams.end() ? nullptr : &*found;
}

void node_simulation::deliverHead(std::size_t daemon, std::uint64_t generation, op_id op,
                                  const upstream_id &upstream)
{
    simulated_upstream *target = findUpstream(upstream);
    const simulated_process &receiver = m_daemons.at(daemon);
    if (receiver.generation != generation) {
        return;
    }
    if (receiver.frozenUntil > m_now) {
        schedule(receiver.frozenUntil, [=, this] { deliverHead(daemon, generation, op, upstream); });
        return;
    }
    if (target->namedLimit) {
        target->limitToldAt.try_emplace({daemon, generation}, m_now);
    }
    const auto view = receiver.state->upstreams.find(upstream);
    const bool isLimited = view != receiver.state->upstreams.end() && view->second.limit.perSecond > 0;
    if (target->namedLimit || isLimited) {
        deliver(daemon, generation, upstream_limit_read{op, upstream, target->namedLimit});
    }
    if (target->announcesLeave) {
        target->announcedTo.emplace(daemon, generation);
        deliver(daemon, generation, upstream_leave_announced{op, upstream});
    }
}

void node_simulation::runTwoVersions()
{
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        m_upstreams[i].entry.softwareVersion = i % 2 == 0 ? "1a" : "2b";
    }
}

void node_simulation::setLimit(std::size_t upstream, std::optional<double> perSecond)
{
    simulated_upstream &target = m_upstreams.at(upstream);
    target.namedLimit = perSecond;
    target.limitNamedAt = m_now;
    target.limitToldAt.clear();
    target.limitedRequests.clear();
}

void node_simulation::checkLimit(std::size_t daemon, const upstream_id &upstream)
{
    simulated_upstream *target = findUpstream(upstream);
    const auto told = target->limitToldAt.find({daemon, m_daemons.at(daemon).generation});
    if (!target->namedLimit || told == target->limitToldAt.end()
        || m_now - told->second < kLimitReactionTime) {
        return;
    }
    target->limitedRequests.push_back(m_now);
    while (m_now - target->limitedRequests.front() > kLimitWindow) {
        target->limitedRequests.pop_front();
    }
    const double windowSeconds = std::chrono::duration<double>(kLimitWindow).count();
    const double allowed = kLimitTolerance * *target->namedLimit * windowSeconds + kLimitBurst;
    if (m_now - target->limitNamedAt >= kContactTime
        && static_cast<double>(target->limitedRequests.size()) > allowed) {
        addViolation(upstream.value + " received " + std::to_string(target->limitedRequests.size())
                     + " requests in 4 s, its limit is " + std::to_string(*target->namedLimit)
                     + " per second");
    }
}

void node_simulation::scheduleHead(std::size_t daemon, op_id op, const upstream_id &upstream)
{
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + kHeadLatency, [=, this] { deliverHead(daemon, generation, op, upstream); });
}

void node_simulation::checkNotLeaving(std::size_t daemon, const upstream_id &upstream,
                                      const std::string &request)
{
    if (findUpstream(upstream)->announcedTo.contains({daemon, m_daemons.at(daemon).generation})) {
        addViolation(request + " was sent to " + upstream.value + ", which had announced that it is leaving");
    }
}

void node_simulation::startRun(std::size_t daemon, const run_item &request)
{
    if (failsToWrite(daemon, request.item.id.value, run_ended{request.op, call_end::unsendable})
        || failsToConnect(daemon, run_ended{request.op, call_end::unreachable})) {
        return;
    }
    m_accountsSeen[request.item.id.value] = request.account;
    checkNotLeaving(daemon, request.upstream, "run of " + request.item.id.value);
    checkLimit(daemon, request.upstream);
    ++m_runsStarted;
    ++m_runsPerUpstream[request.upstream];
    simulated_upstream *target = findUpstream(request.upstream);
    if (!target->up) {
        deliverAfter(daemon, milliseconds{2}, run_ended{request.op, call_end::unreachable});
        return;
    }
    ++target->running;
    target->maxRunning = std::max(target->maxRunning, target->running);
    m_runs[{daemon, request.op}] = {request, request.after, target->entry.startedAtMs};
    scheduleHead(daemon, request.op, request.upstream);
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + target->interChunkLatency, [=, this] { produceChunk(daemon, request.op, generation); });
}

void node_simulation::produceChunk(std::size_t daemon, op_id op, std::uint64_t generation)
{
    const auto found = m_runs.find({daemon, op});
    if (found == m_runs.end() || m_daemons.at(daemon).generation != generation) {
        return;
    }
    simulated_run &run = found->second;
    simulated_upstream *target = findUpstream(run.request.upstream);
    const auto endRun = [&](call_end how) {
        --target->running;
        m_runs.erase(found);
        deliver(daemon, generation, run_ended{op, how});
    };
    const bool processEnded = !target->up || target->entry.startedAtMs != run.startedAtMs;
    if (processEnded || chance(m_brokenCallShare / 10)) {
        endRun(processEnded ? call_end::incomplete : m_brokenCallEnd);
        return;
    }
    if (run.stalledUntil > m_now) {
        schedule(run.stalledUntil, [=, this] { produceChunk(daemon, op, generation); });
        return;
    }
    const item_id id = run.request.item.id;
    ++run.producedChunks;
    std::uint64_t version = 0;
    for (const auto &[name, value] : run.request.item.headers) {
        if (name == "model") {
            version = target->entry.weights[{value}].value;
        }
    }
    const bool complete = run.producedChunks >= m_chunkCounts[id.value];
    if (complete) {
        m_completeTexts.insert(id.value);
    }
    const std::uint64_t produced = run.producedChunks;
    if (!complete) {
        schedule(m_now + target->interChunkLatency, [=, this] { produceChunk(daemon, op, generation); });
    }
    deliver(daemon, generation,
            run_progressed{op,
                           {{produced, paddedChunk(id, produced, target->entry.softwareVersion), version}}});
    // The daemon may have cancelled the run on the delivery of the chunk.
    const auto remaining = m_runs.find({daemon, op});
    if (complete && remaining != m_runs.end()) {
        --target->running;
        m_runs.erase(remaining);
        deliver(daemon, generation, run_ended{op, call_end::complete});
    }
}

void node_simulation::forwardCall(std::size_t daemon, const forward_call &request)
{
    if (failsToWrite(daemon, request.call.id.value, call_ended{request.op, call_end::unsendable, 0, {}, {}})
        || failsToConnect(daemon, call_ended{request.op, call_end::unreachable, 0, {}, {}})) {
        return;
    }
    ++m_runsPerUpstream[request.upstream];
    m_accountsSeen[request.call.id.value] = request.call.account;
    checkNotLeaving(daemon, request.upstream, "call " + request.call.id.value);
    checkLimit(daemon, request.upstream);
    checkRewardCall(request);
    simulated_upstream *target = findUpstream(request.upstream);
    if (target->up && target->callBehaviour == call_behaviour::refuses) {
        scheduleHead(daemon, request.op, request.upstream);
    }
    if (!target->up || target->callBehaviour == call_behaviour::refuses) {
        deliverAfter(
                daemon, milliseconds{2},
                call_ended{request.op, target->up ? call_end::not_run : call_end::unreachable, 0, {}, {}});
        return;
    }
    crashUnder(request);
    recordBegun(request.call);
    ++target->calls;
    target->maxCalls = std::max(target->maxCalls, target->calls);
    m_calls[{daemon, request.op}] = request.upstream;
    if (target->callBehaviour == call_behaviour::hangs) {
        return;
    }
    m_rewardCallsRun += m_rewards.contains(request.call.id.value) ? 1 : 0;
    schedule(m_now + target->interChunkLatency, [=, this] { answerForwardedCall(daemon, request); });
}

void node_simulation::crashUnder(const forward_call &request)
{
    const auto found = m_crashingCalls.find(request.call.target);
    if (found == m_crashingCalls.end()) {
        return;
    }
    crashing_call &crashing = found->second;
    crashing.sentLate += crashing.crashes >= 3 && m_now - crashing.thirdCrashAt > kContactTime ? 1 : 0;
    schedule(m_now + kCrashDelay, [this, id = request.upstream, &crashing] {
        simulated_upstream *target = findUpstream(id);
        if (!target->up) {
            return;
        }
        if (++crashing.crashes == 3) {
            crashing.thirdCrashAt = m_now;
        }
        const auto index = static_cast<std::size_t>(target - m_upstreams.data());
        crashUpstream(index);
        schedule(m_now + kRestartTime, [this, index] { restoreUpstream(index); });
    });
}

void node_simulation::answerForwardedCall(std::size_t daemon, const forward_call &request)
{
    if (!m_calls.contains({daemon, request.op})) {
        return;
    }
    cancelForwardedCall(daemon, request.op);
    const simulated_upstream *target = findUpstream(request.upstream);
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    if (!target->up || chance(m_brokenCallShare)) {
        const call_end end = target->up ? m_brokenCallEnd : call_end::incomplete;
        deliver(daemon, generation, call_ended{request.op, end, 0, {}, {}});
        return;
    }
    deliverHead(daemon, generation, request.op, request.upstream);
    if (target->callBehaviour == call_behaviour::fails || m_failingCalls.contains(request.call.id.value)) {
        deliver(daemon, generation, call_ended{request.op, call_end::failed, 500, {}, {}});
        return;
    }
    if (target->callBehaviour == call_behaviour::answers_without_seal) {
        // The adapter reports a success without a seal as incomplete.
        deliver(daemon, generation, call_ended{request.op, call_end::incomplete, 200, {}, {}});
        return;
    }
    const std::string seal = "seal-" + std::to_string(++m_sequence);
    if (const auto reward = m_rewards.find(request.call.id.value); reward != m_rewards.end()) {
        reward->second.seals.insert(seal);
    }
    deliver(daemon, generation,
            call_ended{request.op, call_end::complete, 200, {}, request.call.id.value, seal});
}

void node_simulation::forwardStream(std::size_t daemon, const forward_stream &request)
{
    if (failsToWrite(daemon, request.call.id.value, call_ended{request.op, call_end::unsendable, 0, {}, {}})
        || failsToConnect(daemon, call_ended{request.op, call_end::unreachable, 0, {}, {}})) {
        return;
    }
    const simulated_upstream *target = findUpstream(request.upstream);
    if (!target->up) {
        deliverAfter(daemon, milliseconds{2}, call_ended{request.op, call_end::unreachable, 0, {}, {}});
        return;
    }
    if (target->streamStatus != 0) {
        const call_end end = target->streamStatus >= 500   ? call_end::failed
                             : target->streamStatus == 422 ? call_end::permanently_rejected
                                                           : call_end::complete;
        deliverAfter(daemon, milliseconds{2},
                     call_ended{request.op, end, target->streamStatus, {{"seal", "s"}}, "error text"});
        return;
    }
    ++m_streamRunCount;
    m_accountsSeen[request.call.id.value] = request.call.account;
    m_streamRuns[{daemon, request.op}] = {request, request.after, target->entry.startedAtMs};
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + target->interChunkLatency, [=, this] { produceEvent(daemon, request.op, generation); });
}

void node_simulation::produceEvent(std::size_t daemon, op_id op, std::uint64_t generation)
{
    const auto found = m_streamRuns.find({daemon, op});
    if (found == m_streamRuns.end() || m_daemons.at(daemon).generation != generation) {
        return;
    }
    simulated_stream_run &run = found->second;
    const simulated_upstream *target = findUpstream(run.request.upstream);
    const bool processEnded = !target->up || target->entry.startedAtMs != run.startedAtMs;
    if (processEnded || chance(m_brokenCallShare / 10)) {
        m_streamRuns.erase(found);
        deliver(daemon, generation,
                call_ended{op, processEnded ? call_end::incomplete : m_brokenCallEnd, 0, {}, {}});
        return;
    }
    if (run.producedEvents == run.request.after) {
        deliver(daemon, generation, stream_started{op, {{"seal", "s"}}});
    }
    const std::uint64_t number = ++run.producedEvents;
    const bool last = number >= kStreamEvents;
    schedule(m_now + target->interChunkLatency, [=, this] { produceEvent(daemon, op, generation); });
    deliver(daemon, generation,
            stream_progressed{
                    op,
                    {{number, {}, 1, std::to_string(number) + "@" + target->entry.softwareVersion + "\n"}}});
    if (last && m_streamRuns.erase({daemon, op}) > 0) {
        deliver(daemon, generation, call_ended{op, call_end::complete, 200, {}, {}});
    }
}

void node_simulation::receiveEvents(const send_stream &sent)
{
    simulated_stream &stream = m_streams[sent.exchange];
    std::istringstream lines(sent.bytes);
    for (std::string line; std::getline(lines, line);) {
        const auto at = line.find('@');
        const std::uint64_t number = std::stoull(line.substr(0, at));
        if (number != stream.lastEvent + 1) {
            addViolation("stream " + stream.stream.value + ": event " + line + " follows event "
                         + std::to_string(stream.lastEvent));
        }
        stream.lastEvent = number;
        m_streamVersions[stream.stream].insert(line.substr(at + 1));
    }
    if (m_streamVersions[stream.stream].size() > 1) {
        addViolation("stream " + stream.stream.value + " holds events of two software versions");
    }
}

void node_simulation::cancelForwardedCall(std::size_t daemon, op_id op)
{
    if (const auto found = m_calls.find({daemon, op}); found != m_calls.end()) {
        --findUpstream(found->second)->calls;
        m_calls.erase(found);
    }
}

void node_simulation::checkRewardCall(const forward_call &request)
{
    const auto found = m_rewards.find(request.call.id.value);
    if (found == m_rewards.end()) {
        return;
    }
    ++m_rewardCallsReceived;
    const auto &[item, batch, seals] = found->second;
    if (!m_completeTexts.contains(item.value)) {
        addViolation("reward call of " + item.value + " was sent before its last chunk was produced");
    }
    if (const auto ended = m_batchEndedAt.find(batch);
        ended != m_batchEndedAt.end() && m_now - ended->second > kCancelTime) {
        addViolation("reward call of " + item.value + " was sent after the end of its batch");
    }
}

void node_simulation::checkScore(const item_result &result)
{
    const auto found = std::ranges::find_if(
            m_rewards, [&](const auto &reward) { return reward.second.item == result.id; });
    const bool valid
            = found == m_rewards.end() ? result.score.empty() : found->second.seals.contains(result.score);
    if (!valid) {
        addViolation("score of " + result.id.value
                     + " is not the seal of an answer to its reward call: " + result.score);
    }
}

void node_simulation::reportStatus(std::size_t daemon, const request_upstream_status &request)
{
    if (failsToConnect(daemon, upstream_status_received{request.op, false, false, 0, std::nullopt})) {
        return;
    }
    checkNotLeaving(daemon, request.upstream, "status request");
    scheduleHead(daemon, request.op, request.upstream);
    const simulated_upstream *target = findUpstream(request.upstream);
    upstream_status_received reported;
    reported.op = request.op;
    reported.answered = target->up;
    reported.reached = target->up;
    reported.startedAtMs = target->entry.startedAtMs;
    if (target->reportsLoads) {
        reported.loads = {target->busyUntil > m_now, target->orders, target->entry.weights};
    }
    deliverAfter(daemon, milliseconds{3}, std::move(reported));
}

void node_simulation::orderWeights(std::size_t daemon, const order_weights &request)
{
    if (failsToConnect(daemon, call_ended{request.op, call_end::unreachable, 0, {}, {}})) {
        return;
    }
    ++m_ordersSent;
    checkNotLeaving(daemon, request.upstream, "order");
    scheduleHead(daemon, request.op, request.upstream);
    simulated_upstream *target = findUpstream(request.upstream);
    if (!target->lastOrderBy.empty() && target->lastOrderBy != request.holder
        && m_now - target->lastOrderAt < kSimulationLeaseTime) {
        addViolation(request.upstream.value + " received orders of " + target->lastOrderBy.value + " and "
                     + request.holder.value + " within the lease time");
    }
    if (request.fencing.value < target->lastFencing) {
        addViolation(request.upstream.value + " received an order with a lower fencing number than before");
    }
    target->lastFencing = std::max(target->lastFencing, request.fencing.value);
    target->lastOrderBy = request.holder;
    target->lastOrderAt = m_now;
    if (!target->up || target->busyUntil > m_now || target->orders != request.expectedOrders) {
        deliverAfter(daemon, milliseconds{3}, call_ended{request.op, call_end::failed, 409, {}, {}});
        return;
    }
    ++target->orders;
    target->busyUntil = m_now + kLoadTime;
    schedule(m_now + kLoadTime, [this, request] {
        if (simulated_upstream *loaded = findUpstream(request.upstream); loaded->up) {
            loaded->entry.weights[request.model] = request.version;
        }
    });
    deliverAfter(daemon, milliseconds{3}, call_ended{request.op, call_end::complete, 202, {}, {}});
}

void node_simulation::writeUpstreamRow(const simulated_upstream &upstream)
{
    const row_key key{table_id::upstreams, "", upstream.entry.id.value};
    if (upstream.registered && !upstream.up && m_rows.contains(key)) {
        // A crashed upstream writes nothing; its row stays until it is deleted.
        return;
    }
    ++m_version;
    if (upstream.registered) {
        m_foreign[key] = upstream.rowUnreadable ? decoded_row(unreadable_row{"zone"}) : upstream.entry;
        put(key, "heartbeat");
    } else if (m_rows.erase(key) > 0) {
        m_changes.emplace_back(m_version, key);
    }
}

std::map<upstream_id, upstream_entry> node_simulation::usableUpstreamRows() const
{
    std::map<upstream_id, upstream_entry> usable;
    for (const auto &[key, decoded] : m_foreign) {
        const auto *entry = std::get_if<upstream_entry>(&decoded);
        if (key.table == table_id::upstreams && m_rows.contains(key) && entry != nullptr) {
            usable.emplace(entry->id, *entry);
        }
    }
    return usable;
}

void node_simulation::writeUpstreamHeartbeats()
{
    std::ranges::for_each(m_upstreams,
                          [this](const simulated_upstream &upstream) { writeUpstreamRow(upstream); });
    schedule(m_now + kUpstreamHeartbeatInterval, [this] { writeUpstreamHeartbeats(); });
}

bool node_simulation::stallNewestRun(std::size_t upstream, milliseconds time)
{
    simulated_run *newest = nullptr;
    for (auto &[key, run] : m_runs) {
        if (run.request.upstream == m_upstreams.at(upstream).entry.id) {
            newest = &run;
        }
    }
    if (newest != nullptr) {
        newest->stalledUntil = m_now + time;
    }
    return newest != nullptr;
}

void node_simulation::crashUpstream(std::size_t upstream)
{
    simulated_upstream &target = m_upstreams.at(upstream);
    target.up = false;
    schedule(m_now + kUpstreamHeartbeatInterval * 3, [this, upstream] {
        simulated_upstream &crashed = m_upstreams.at(upstream);
        crashed.registered = crashed.up;
    });
}

void node_simulation::restoreUpstream(std::size_t upstream)
{
    simulated_upstream &target = m_upstreams.at(upstream);
    target.up = true;
    target.registered = true;
    target.orders = 0;
    target.busyUntil = {};
    target.lastFencing = 0;
    target.entry.startedAtMs += 1000;
    target.announcesLeave = false;
    target.announcedTo.clear();
    target.namedLimit.reset();
    writeUpstreamRow(target);
}

} // namespace jacinthvale::test
