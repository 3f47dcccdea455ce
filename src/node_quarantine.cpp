// Calls whose content crashes the upstreams that run them: once enough upstreams have ended under a content,
// no daemon sends it any more.
#include "node_step.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <range/v3/view/map.hpp>

namespace jacinthvale::node {

namespace {

/// Upstream processes that have to end under calls with the same content before it is quarantined. One or two
/// may end by chance while they run a call.
constexpr std::size_t kCrashesToQuarantine = 3;

/// Time for which a suspected crash counts.
constexpr std::uint64_t kSuspicionTimeMs = 3'600'000;

/// Maximum number of suspected crashes in the advisory of a daemon; the oldest are dropped.
constexpr std::size_t kMaxSuspectedCrashes = 256;

std::string hexOf(content_hash content)
{
    return absl::StrFormat("%016x", content.value);
}

bool isQuarantined(const suspected_content &content)
{
    return content.crashed.size() >= kCrashesToQuarantine;
}

/// The suspicions of the own advisory have changed.
void publishSuspicions(step &s)
{
    s.state.advisoryPublication.changed = true;
    updateSuspectedContents(s);
}

void publishCrash(step &s, const suspected_crash &crash)
{
    std::vector<suspected_crash> &crashes = s.state.ownAdvisory.crashes;
    crashes.push_back(crash);
    if (crashes.size() > kMaxSuspectedCrashes) {
        crashes.erase(crashes.begin());
    }
    publishSuspicions(s);
    const content_hash content{crash.content};
    const auto known = s.state.suspectedContents.find(content);
    const std::size_t crashed = known == s.state.suspectedContents.end() ? 0 : known->second.crashed.size();
    s.log("content-suspected", hexOf(content),
          crash.upstream + " broke off while it ran a call with it; upstreams so far "
                  + std::to_string(crashed));
    // Single broken calls are frequent and wait for the regular heartbeat.
    s.state.advisoryUrgent |= crashed > 1;
}

/// Removes crashes that a later answer explains, and answers that no daemon needs any more.
/// @returns true if the advisory has changed.
bool dropExplained(daemon_advisory &advisory, const std::map<content_hash, suspected_content> &suspected)
{
    const auto crashes = std::erase_if(advisory.crashes, [&](const suspected_crash &crash) {
        return crash.brokeAtMs <= suspected.at(content_hash{crash.content}).answeredAtMs;
    });
    const auto answers = std::erase_if(advisory.answeredContents, [&](const auto &entry) {
        return !suspected.contains(content_hash{entry.first});
    });
    return crashes + answers > 0;
}

void logChange(step &s, content_hash content, const suspected_content &known)
{
    std::string upstreams;
    for (const auto &[id, startedAtMs] : known.crashed) {
        upstreams += (upstreams.empty() ? "" : ", ") + id;
    }
    s.log(isQuarantined(known) ? "content-quarantined" : "content-released", hexOf(content),
          "upstreams that ended under it: " + (upstreams.empty() ? "none" : upstreams)
                  + "; last answered at store time " + std::to_string(known.answeredAtMs));
}

} // namespace

content_hash contentOf(const client_call &call)
{
    return content_hash{
            stableHash(call.body, stableHash(call.method + '\n' + call.host + '\n' + call.target))};
}

log_fields contentField(content_hash content)
{
    return {{"content", hexOf(content)}};
}

bool isQuarantined(const node_state &state, content_hash content)
{
    const auto found = state.suspectedContents.find(content);
    return found != state.suspectedContents.end() && isQuarantined(found->second);
}

void suspectCrash(step &s, content_hash content, const upstream_id &upstream)
{
    const auto view = s.state.upstreams.find(upstream);
    const std::uint64_t startedAtMs = view == s.state.upstreams.end() ? 0 : view->second.entry.startedAtMs;
    const suspected_crash crash{content.value, upstream.value, startedAtMs, storeTime(s.state, s.ctx.now)};
    if (isPathDoubtful(s.state)) {
        // Whether the upstream or the path to it failed is known once an upstream is heard.
        s.state.path.heldSuspicions.push_back(crash);
        return;
    }
    publishCrash(s, crash);
}

void releaseSuspicions(step &s)
{
    for (const suspected_crash &crash : std::exchange(s.state.path.heldSuspicions, {})) {
        publishCrash(s, crash);
    }
}

void recordContentAnswered(step &s, content_hash content)
{
    const auto known = s.state.suspectedContents.find(content);
    if (known != s.state.suspectedContents.end() && !known->second.crashed.empty()) {
        s.state.ownAdvisory.answeredContents[content.value] = storeTime(s.state, s.ctx.now);
        publishSuspicions(s);
    }
}

void recordSignOfLife(step &s, const upstream_id &upstream, instant at)
{
    if (const auto view = s.state.upstreams.find(upstream); view != s.state.upstreams.end()) {
        view->second.aliveAt = std::max(view->second.aliveAt, at);
    }
}

void withdrawSuspicions(step &s)
{
    node_state &state = s.state;
    const std::size_t withdrawn = std::erase_if(state.ownAdvisory.crashes, [&](const suspected_crash &crash) {
        const auto view = state.upstreams.find({crash.upstream});
        return view != state.upstreams.end() && view->second.entry.startedAtMs == crash.startedAtMs
               && view->second.aliveAt != instant{}
               && storeTime(state, view->second.aliveAt) > crash.brokeAtMs;
    });
    if (withdrawn > 0) {
        publishSuspicions(s);
    }
}

void updateSuspectedContents(step &s)
{
    node_state &state = s.state;
    const std::uint64_t nowMs = storeTime(state, s.ctx.now);
    std::map<content_hash, suspected_content> suspected;
    const auto forEachAdvisory = [&](const auto &apply) {
        apply(state.ownAdvisory);
        std::ranges::for_each(state.peerAdvisories | ranges::views::values, apply);
    };
    forEachAdvisory([&](const daemon_advisory &advisory) {
        for (const suspected_crash &crash : advisory.crashes) {
            suspected[content_hash{crash.content}];
        }
    });
    forEachAdvisory([&](const daemon_advisory &advisory) {
        for (const auto &[content, answeredAtMs] : advisory.answeredContents) {
            if (const auto known = suspected.find(content_hash{content}); known != suspected.end()) {
                known->second.answeredAtMs = std::max(known->second.answeredAtMs, answeredAtMs);
            }
        }
    });
    forEachAdvisory([&](const daemon_advisory &advisory) {
        for (const suspected_crash &crash : advisory.crashes) {
            suspected_content &known = suspected[content_hash{crash.content}];
            if (crash.brokeAtMs > known.answeredAtMs && nowMs < crash.brokeAtMs + kSuspicionTimeMs) {
                known.crashed.emplace(crash.upstream, crash.startedAtMs);
            }
        }
    });
    state.advisoryPublication.changed |= dropExplained(state.ownAdvisory, suspected);
    for (const auto &[content, known] : suspected) {
        if (isQuarantined(known) != isQuarantined(state, content)) {
            logChange(s, content, known);
        }
    }
    for (const auto &[content, known] : state.suspectedContents) {
        if (isQuarantined(known) && !suspected.contains(content)) {
            logChange(s, content, {});
        }
    }
    state.suspectedContents = std::move(suspected);
}

} // namespace jacinthvale::node
