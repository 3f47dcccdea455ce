#include "connection_guard.h"

#include <algorithm>
#include <sys/resource.h>

namespace jacinthvale {

namespace {

constexpr double kBytesPerMb = 1024 * 1024;
/// Share of the memory of the process that connections may hold.
constexpr double kConnectionShare = 0.4;
constexpr std::size_t kMinBudgetBytes = 1024 * 1024;
/// A body of up to this part of the budget is small; large ones leave a quarter of the budget to small ones.
constexpr std::size_t kSmallPart = 64;
/// One listener leaves a quarter of the connections to the others.
constexpr std::size_t kListenerQuarters = 3;
constexpr std::size_t kQuarters = 4;
constexpr milliseconds kLookPeriod{500};
constexpr milliseconds kLookSoonPeriod{50};
constexpr milliseconds kOverBudgetPeriod{5};

std::size_t quarters(std::size_t whole, std::size_t count)
{
    return whole / kQuarters * count;
}

} // namespace

connection_budget budgetFor(double memoryMb, std::size_t maxConnections)
{
    const auto bytes = static_cast<std::size_t>(memoryMb * kBytesPerMb * kConnectionShare);
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
        maxConnections = std::min(maxConnections, static_cast<std::size_t>(descriptors.rlim_cur / 2));
    }
    return {std::max(bytes, kMinBudgetBytes), std::max(maxConnections, kQuarters)};
}

connection_guard::connection_guard(event_base *base, connection_budget budget, end_observer onEnded)
    : m_budget(budget)
    , m_onEnded(std::move(onEnded))
    , m_timer(base, [this] { look(); })
{}

void connection_guard::add(connection_group &listener)
{
    m_groups.push_back(&listener);
}

void connection_guard::remove(const connection_group &listener)
{
    std::erase(m_groups, &listener);
}

connection_id connection_guard::open()
{
    if (++m_connections == 1) {
        m_timer.start(kLookPeriod);
    }
    return {++m_lastId};
}

void connection_guard::closed(std::size_t bytes)
{
    --m_connections;
    release(bytes);
}

std::size_t connection_guard::largestClaim(claim_class kind) const
{
    return kind == claim_class::essential ? m_budget.bytes : quarters(m_budget.bytes, kListenerQuarters);
}

claim_class connection_guard::classOf(std::size_t bodyBytes) const
{
    return bodyBytes <= m_budget.bytes / kSmallPart ? claim_class::essential : claim_class::ordinary;
}

bool connection_guard::claim(std::size_t bytes, claim_class kind)
{
    const bool fits = hasRoom(bytes, kind);
    m_used += fits ? bytes : 0;
    return fits;
}

void connection_guard::hold(std::size_t bytes)
{
    m_used += bytes;
    if (bytes > 0 && m_used > m_budget.bytes && !m_soon) {
        m_soon = true;
        m_timer.start(kOverBudgetPeriod);
    }
}

void connection_guard::release(std::size_t bytes)
{
    m_used -= bytes;
    if (bytes > 0 && m_soon) {
        m_timer.start(milliseconds{0});
    }
}

bool connection_guard::makePlace(connection_group &listener, std::size_t itsConnections)
{
    const bool listenerFull = itsConnections >= quarters(m_budget.connections, kListenerQuarters);
    if (!listenerFull && m_connections < m_budget.connections) {
        return true;
    }
    const auto replaced = connectionToReplace(listenerFull ? listener.views() : allViews(), now());
    carryOut(replaced);
    if (replaced.empty()) {
        lookSoon();
    }
    return !replaced.empty();
}

void connection_guard::lookSoon()
{
    if (!m_soon) {
        m_soon = true;
        m_timer.start(kLookSoonPeriod);
    }
}

void connection_guard::reportEnd(const std::string &listener, std::string_view reason) const
{
    if (m_onEnded) {
        m_onEnded(listener, reason);
    }
}

instant connection_guard::now()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return instant{std::chrono::duration_cast<milliseconds>(sinceEpoch)};
}

void connection_guard::look()
{
    m_soon = false;
    for (connection_group *listener : m_groups) {
        for (const connection_verdict &verdict :
             expiredConnections(listener->views(), listener->times(), now())) {
            listener->carryOut(verdict);
        }
    }
    if (m_used > m_budget.bytes) {
        carryOut(answersToDrop(allViews(), m_used - m_budget.bytes, now()));
    }
    if (m_used > m_budget.bytes) {
        carryOut(responsesToDisplace(allViews(), m_used - m_budget.bytes));
    }
    const auto resume = [this] {
        std::ranges::for_each(m_groups, [](connection_group *one) { one->resumeWaiting(); });
    };
    resume();
    const std::vector<connection_view> views = allViews();
    const auto isWaiting
            = [](const connection_view &view) { return view.stage == connection_stage::waiting; };
    if (const auto waiting = std::ranges::find_if(views, isWaiting); waiting != views.end()) {
        carryOut(bodiesToRefuse(views, waiting->bytes, now()));
        resume();
        lookSoon();
    }
    makeRoomForResponses();
    std::ranges::for_each(m_groups, [](connection_group *one) { one->resumeAccepting(); });
    if (!m_soon && m_connections > 0) {
        m_timer.start(kLookPeriod);
    }
}

void connection_guard::makeRoomForResponses()
{
    const std::vector<connection_view> views = allViews();
    if (std::ranges::find(views, connection_stage::response_waiting, &connection_view::stage)
        == views.end()) {
        return;
    }
    if (const auto next = responseToServe(views, connection_times{}, now())) {
        const std::size_t limit
                = largestClaim(next->essential ? claim_class::essential : claim_class::ordinary);
        const std::size_t wanted = m_used + next->remaining - std::min(limit, m_used + next->remaining);
        carryOut(responsesToDisplace(views, wanted, next->id));
        std::ranges::for_each(m_groups, [](connection_group *one) { one->resumeWaiting(); });
    }
    lookSoon();
}

std::vector<connection_view> connection_guard::allViews() const
{
    std::vector<connection_view> all;
    for (const connection_group *listener : m_groups) {
        const std::vector<connection_view> views = listener->views();
        all.insert(all.end(), views.begin(), views.end());
    }
    return all;
}

void connection_guard::carryOut(const std::vector<connection_verdict> &verdicts) const
{
    for (const connection_verdict &verdict : verdicts) {
        std::ranges::for_each(m_groups, [&](connection_group *one) { one->carryOut(verdict); });
    }
}

} // namespace jacinthvale
