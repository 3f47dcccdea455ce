#include <jacinthvale/connection_policy.h>

#include <algorithm>

namespace jacinthvale {

namespace {

/// A sender that moved a byte this recently is not taken for stalled.
constexpr milliseconds kStall{1000};

constexpr double kForever = 1e12;
/// A new connection has this long to send its first byte before it can give way.
constexpr milliseconds kFresh{100};

bool isIncompleteBody(const connection_view &view)
{
    return view.stage == connection_stage::body;
}

/// Time to move the remaining bytes at the pace so far; for ever where nothing moves.
double secondsLeft(const connection_view &view, instant now)
{
    if (now - view.progressAt >= kStall) {
        return kForever;
    }
    const double seconds = std::max(0.001, std::chrono::duration<double>(now - view.since).count());
    const double pace = static_cast<double>(view.moved) / seconds;
    return static_cast<double>(view.remaining) / std::max(1.0, pace);
}

std::optional<connection_verdict> expire(const connection_view &view, const connection_times &times,
                                         instant now)
{
    const milliseconds stage = now - view.since;
    const milliseconds silence = now - view.progressAt;
    switch (view.stage) {
    case connection_stage::idle:
        return stage > times.idle
                       ? std::optional(connection_verdict{view.id, connection_action::close, "idle"})
                       : std::nullopt;
    case connection_stage::head:
        return stage > times.head ? std::optional(
                       connection_verdict{view.id, connection_action::refuse_slow, "slow_head"})
                                  : std::nullopt;
    case connection_stage::waiting:
        return stage > times.room ? std::optional(
                       connection_verdict{view.id, connection_action::refuse_no_room, "no_room"})
                                  : std::nullopt;
    case connection_stage::body:
        return silence > times.progress ? std::optional(
                       connection_verdict{view.id, connection_action::refuse_slow, "stalled_body"})
                                        : std::nullopt;
    case connection_stage::exchange:
    case connection_stage::answering:
        return view.remaining > 0 && silence > times.progress
                       ? std::optional(connection_verdict{view.id, connection_action::close, "unread_answer"})
                       : std::nullopt;
    case connection_stage::closing:
        return stage > times.closing
                       ? std::optional(connection_verdict{view.id, connection_action::close, "refused"})
                       : std::nullopt;
    case connection_stage::response:
    case connection_stage::response_waiting:
        // Each call has timeouts of its own.
        break;
    }
    return std::nullopt;
}

/// Takes connections in order until they hold enough.
std::vector<connection_verdict> takeUntil(const std::vector<connection_view> &ordered, std::size_t wanted,
                                          connection_action action, std::string_view reason)
{
    std::vector<connection_verdict> taken;
    std::size_t freed = 0;
    for (const connection_view &view : ordered) {
        if (freed >= wanted) {
            break;
        }
        freed += view.bytes;
        taken.push_back({view.id, action, reason});
    }
    return taken;
}

} // namespace

std::vector<connection_verdict> expiredConnections(const std::vector<connection_view> &connections,
                                                   const connection_times &times, instant now)
{
    std::vector<connection_verdict> verdicts;
    for (const connection_view &view : connections) {
        if (const auto verdict = expire(view, times, now)) {
            verdicts.push_back(*verdict);
        }
    }
    return verdicts;
}

std::vector<connection_verdict> bodiesToRefuse(std::vector<connection_view> connections, std::size_t wanted,
                                               instant now)
{
    std::erase_if(connections, [&](const connection_view &view) {
        return !isIncompleteBody(view) || now - view.since < kStall
               || secondsLeft(view, now) < std::chrono::duration<double>(kStall).count();
    });
    std::ranges::sort(connections, std::greater<>{}, [&](const connection_view &view) {
        return std::make_tuple(secondsLeft(view, now), view.bytes, view.id);
    });
    auto taken = takeUntil(connections, wanted, connection_action::refuse_no_room, "displaced");
    std::size_t freed = 0;
    for (std::size_t i = 0; i < taken.size(); ++i) {
        freed += connections[i].bytes;
    }
    return freed >= wanted ? taken : std::vector<connection_verdict>{};
}

std::vector<connection_verdict> answersToDrop(std::vector<connection_view> connections, std::size_t wanted,
                                              instant now)
{
    std::erase_if(connections, [&](const connection_view &view) {
        const bool answered
                = view.stage == connection_stage::answering || view.stage == connection_stage::exchange;
        return !answered || view.remaining == 0 || now - view.progressAt < kStall;
    });
    std::ranges::sort(connections, std::greater<>{}, [&](const connection_view &view) {
        return std::make_tuple(view.repeatable, secondsLeft(view, now), view.id);
    });
    return takeUntil(connections, wanted, connection_action::close, "unread_answer");
}

std::optional<connection_view> responseToServe(const std::vector<connection_view> &connections,
                                               const connection_times &times, instant now)
{
    const connection_view *first = nullptr;
    for (const connection_view &view : connections) {
        const bool isDue = view.essential || now - view.since > times.room;
        if (view.stage != connection_stage::response_waiting || !isDue) {
            continue;
        }
        if (first == nullptr
            || std::make_tuple(!view.essential, view.since, view.id)
                       < std::make_tuple(!first->essential, first->since, first->id)) {
            first = &view;
        }
    }
    return first == nullptr ? std::nullopt : std::optional(*first);
}

std::vector<connection_verdict> responsesToDisplace(std::vector<connection_view> connections,
                                                    std::size_t wanted, connection_id spared)
{
    std::erase_if(connections, [&](const connection_view &view) {
        const bool isResponse = view.stage == connection_stage::response
                                || view.stage == connection_stage::response_waiting;
        return !isResponse || view.essential || view.bytes == 0 || view.id == spared;
    });
    std::ranges::sort(connections, std::greater<>{}, [](const connection_view &view) {
        return std::make_tuple(view.repeatable, view.bytes, view.id);
    });
    return takeUntil(connections, wanted, connection_action::close, "displaced_response");
}

std::vector<connection_verdict> connectionToReplace(const std::vector<connection_view> &connections,
                                                    instant now)
{
    const auto rank = [](connection_stage stage) {
        return stage == connection_stage::closing ? 0 : stage == connection_stage::idle ? 1 : 2;
    };
    const connection_view *best = nullptr;
    for (const connection_view &view : connections) {
        const bool incomplete = view.stage == connection_stage::head || view.stage == connection_stage::body;
        const bool replaceable = view.stage == connection_stage::closing
                                 || (view.stage == connection_stage::idle && now - view.since >= kFresh)
                                 || (incomplete && now - view.progressAt >= kStall);
        if (!replaceable) {
            continue;
        }
        if (best == nullptr
            || std::make_tuple(rank(view.stage), view.progressAt, view.id)
                       < std::make_tuple(rank(best->stage), best->progressAt, best->id)) {
            best = &view;
        }
    }
    if (best == nullptr) {
        return {};
    }
    const auto action = rank(best->stage) == 2 ? connection_action::refuse_slow : connection_action::close;
    return {{best->id, action, "replaced"}};
}

} // namespace jacinthvale
