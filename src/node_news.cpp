#include "node_step.h"

#include <algorithm>
#include <range/v3/view/map.hpp>

namespace jacinthvale::node {

namespace {

/// Daemons that read the table of upstreams for a large fleet. Each row changes with each beat of its
/// upstream: 3,000 upstreams make 2,500 changes a second, five reads and a twentieth of a core for each that
/// reads them. Eight of them are 40 reads a second, and two zones may be lost.
constexpr std::size_t kReaders = 8;

/// Daemons asked in vain before the store is read directly: two of eight may be gone.
constexpr unsigned kAskedInVain = 3;

/// Daemons that read for the others, largest first.
std::vector<const member *> readersOf(const node_state &state, instant now)
{
    std::vector<std::pair<const member *, const host_id *>> living;
    for (const auto &[host, who] : state.members) {
        if (!who.leaving && isAlive(state, {host, who.incarnation}, now)) {
            living.emplace_back(&who, &host);
        }
    }
    std::ranges::sort(living, [](const auto &left, const auto &right) {
        return std::pair(right.first->processorShare, stableHash(left.second->value))
               < std::pair(left.first->processorShare, stableHash(right.second->value));
    });
    living.resize(std::min(living.size(), kReaders));
    std::vector<const member *> readers;
    std::ranges::copy(living | ranges::views::keys, std::back_inserter(readers));
    return readers;
}

} // namespace

std::optional<endpoint> newsSource(const step &s, const table_feed &feed)
{
    const node_state &state = s.state;
    if (feed.table != table_id::upstreams || state.members.size() < state.self.sharedReadingFrom
        || feed.askedInVain >= kAskedInVain) {
        return std::nullopt;
    }
    const auto readers = readersOf(state, s.at.now);
    if (readers.empty() || std::ranges::find(readers, state.self.peer, &member::peer) != readers.end()) {
        return std::nullopt;
    }
    return readers[(s.at.random + feed.askedInVain) % readers.size()]->peer;
}

void onNewsAsked(step &s, const news_asked &what)
{
    const table_feed &feed = feedOf(s.state, table_id::upstreams);
    upstream_news news;
    news.known = feed.synced && !readingWhole(feed) && s.at.now - feed.answeredAt <= steadyGap(feed.pace);
    if (news.known) {
        const auto &gone = s.state.goneUpstreams;
        news.version = feed.version;
        news.whole
                = what.after == 0 || (gone.size() >= kMostGoneUpstreams && what.after < gone.front().first);
        for (const auto &[id, view] : s.state.upstreams) {
            if (news.whole || view.listedVersion > what.after) {
                news.changed.push_back(view.listed);
            }
        }
        for (const auto &[version, id] : gone) {
            if (!news.whole && version > what.after && !s.state.upstreams.contains(id)) {
                news.gone.push_back(id);
            }
        }
    }
    s.emit(answer_news{what.exchange, std::move(news)});
}

void onNewsArrived(step &s, const news_arrived &what)
{
    table_feed &feed = feedOf(s.state, table_id::upstreams);
    const upstream_news &news = what.news;
    feed.running = {};
    if (!news.known) {
        ++feed.askedInVain;
        feed.nextAt = s.at.now + (feed.askedInVain < kAskedInVain ? kTickPeriod * 2 : milliseconds{0});
        return;
    }
    feed.askedInVain = 0;
    feed.version = std::max(feed.version, news.version);
    const auto change = [&](const upstream_id &id, foreign_row row, bool removed) {
        onUpstreamRow(s, {{{table_id::upstreams, "", id.value}, news.version, {}, removed}, std::move(row)});
    };
    for (const upstream_entry &entry : news.changed) {
        change(entry.id, entry, false);
    }
    for (const upstream_id &id : news.gone) {
        change(id, std::monostate{}, true);
    }
    if (news.whole) {
        std::set<std::string> named;
        std::ranges::transform(news.changed, std::inserter(named, named.end()),
                               [](const upstream_entry &entry) { return entry.id.value; });
        keepUpstreams(s, named);
    }
    feed.part = feed.parts.size();
    feed.seen.clear();
    noteRead(s, feed, news.version);
}

} // namespace jacinthvale::node
