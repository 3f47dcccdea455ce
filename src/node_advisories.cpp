// Rows that go with the heartbeats and tell the other daemons what this one learned about upstreams.
#include "node_rows.h"
#include "node_step.h"

namespace jacinthvale::node {

bool beginPublication(row_publication &publication)
{
    publication.writing = std::exchange(publication.changed, false);
    return publication.writing;
}

void endPublication(row_publication &publication, bool committed)
{
    if (std::exchange(publication.writing, false) && !committed) {
        publication.changed = true;
    }
}

void appendAdvisoryRows(step &s, std::vector<row_put> &rows)
{
    node_state &state = s.state;
    if (beginPublication(state.leavingAdvertisement.publication)) {
        rows.push_back(leavingRow(s));
    }
    updateUsageAdvisory(s);
    if (updateOwnLimits(s)) {
        state.advisoryPublication.changed = true;
    }
    if (updateOwnWork(s)) {
        state.advisoryPublication.changed = true;
    }
    state.advisoryUrgent = false;
    if (beginPublication(state.advisoryPublication)) {
        rows.push_back({table_id::daemons, advisoryKey(state.self.host), encodeAdvisory(state.ownAdvisory)});
    }
}

void onAdvisoryRowsWritten(step &s, bool committed)
{
    endPublication(s.state.leavingAdvertisement.publication, committed);
    endPublication(s.state.advisoryPublication, committed);
}

void onAdvisoryRow(step &s, const row &received)
{
    if (received.removed) {
        return;
    }
    auto advisory = decodeAdvisory(received);
    if (!advisory) {
        s.log("advisory-unreadable", received.key.key, "its contents are not applied");
        return;
    }
    const host_id host = advisoryHost(received.key.key);
    applyReportedLimits(s, *advisory, host.value);
    node_state &state = s.state;
    if (host == state.self.host) {
        // Only the row of the former process is news.
        if (state.heartbeatCount == 0) {
            state.ownAdvisory.crashes = std::move(advisory->crashes);
            state.ownAdvisory.answeredContents = std::move(advisory->answeredContents);
            state.usage.former = std::move(advisory->usage.counts);
            updateSuspectedContents(s);
        }
        return;
    }
    daemon_advisory &known = state.peerAdvisories[host];
    const bool sameSuspicions
            = known.crashes == advisory->crashes && known.answeredContents == advisory->answeredContents;
    if (advisory->withoutUpstreams != known.withoutUpstreams) {
        s.log(advisory->withoutUpstreams ? "daemon-lost-upstreams" : "daemon-regained-upstreams", host.value);
        if (advisory->withoutUpstreams) {
            onPeerLostUpstreams(s);
        }
    }
    known = *std::move(advisory);
    recordToldWork(s, known.scaling);
    if (!sameSuspicions) {
        updateSuspectedContents(s);
    }
}

} // namespace jacinthvale::node
