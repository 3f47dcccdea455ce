#include <jacinthvale/reducer.h>

#include "overloaded.h"

#include <algorithm>
#include <deque>
#include <iterator>

namespace jacinthvale {

namespace {

constexpr std::array kAllDomains
        = {domain::membership, domain::config, domain::fleet, domain::requests, domain::samples};

effects reduceIn(domain which, daemon_state &state, const event &what, const context &at)
{
    switch (which) {
    case domain::requests:
        return reduceRequests(state.requests, what, at);
    case domain::samples:
        return reduceSamples(state.samples, what, at);
    case domain::fleet:
        return reduceFleet(state.fleet, what, at);
    case domain::config:
        return reduceConfig(state.config, what, at);
    case domain::membership:
        return reduceMembership(state.membership, what, at);
    }
    return {};
}

/// Domains that one event concerns.
std::vector<domain> targetsOf(const event &what)
{
    const std::vector<domain> all(kAllDomains.begin(), kAllDomains.end());
    return std::visit(overloaded{
                              [](const timer_fired &e) { return std::vector{e.operation.owner}; },
                              [](const http_request_received &e) { return std::vector{ownerOfPath(e.path)}; },
                              [](const http_response_head &e) { return std::vector{e.operation.owner}; },
                              [](const http_response_chunk &e) { return std::vector{e.operation.owner}; },
                              [](const http_call_finished &e) { return std::vector{e.operation.owner}; },
                              [](const store_answered &e) { return std::vector{e.operation.owner}; },
                              [](const peer_message_received &e) { return std::vector{e.target}; },
                              [&](const notice_raised &e) {
                                  std::vector<domain> others;
                                  std::ranges::copy_if(all, std::back_inserter(others),
                                                       [&](domain d) { return d != e.from; });
                                  return others;
                              },
                              [](const shutdown_requested &) { return std::vector<domain>{}; },
                              [&](const auto &) { return all; },
                      },
                      what);
}

/// Work that one call of reduce() still has to hand to a domain.
struct pending_event
{
    domain target;
    event what;
};

class dispatcher
{
public:
    dispatcher(daemon_state &state, const context &at)
        : m_state(state)
        , m_at(at)
    {}

    effects run(const event &first)
    {
        queue(first);
        while (!m_pending.empty()) {
            const pending_event next = std::move(m_pending.front());
            m_pending.pop_front();
            collect(next.target, reduceIn(next.target, m_state, next.what, m_at));
        }
        return std::move(m_effects);
    }

    /// Tells every domain, as no domain raised it.
    void tellAll(const notice &what)
    {
        for (const domain target : kAllDomains) {
            m_pending.push_back({target, notice_raised{target, what}});
        }
    }

private:
    void queue(const event &what)
    {
        for (const domain target : targetsOf(what)) {
            m_pending.push_back({target, what});
        }
    }

    void collect(domain from, effects produced)
    {
        for (effect &e : produced) {
            auto *raised = std::get_if<raise_notice>(&e);
            if (raised == nullptr) {
                m_effects.push_back(std::move(e));
            } else if (const auto *drained = std::get_if<domain_drained>(&raised->what)) {
                markDrained(drained->which);
            } else {
                queue(notice_raised{from, std::move(raised->what)});
            }
        }
    }

    void markDrained(domain which)
    {
        auto &flags = m_state.drained;
        const bool before = std::ranges::all_of(flags, std::identity{});
        flags.at(static_cast<std::size_t>(which)) = true;
        if (!before && std::ranges::all_of(flags, std::identity{})) {
            m_effects.emplace_back(exit_process{0});
        }
    }

    daemon_state &m_state;
    const context &m_at;
    std::deque<pending_event> m_pending;
    effects m_effects;
};

} // namespace

daemon_state makeDaemonState(const process_identity &self)
{
    daemon_state state;
    state.self = self;
    state.requests.self = self;
    state.samples.self = self;
    state.fleet.self = self;
    state.config.self = self;
    state.membership.self = self;
    return state;
}

domain ownerOfPath(std::string_view path)
{
    struct route
    {
        std::string_view prefix;
        domain owner;
    };
    static constexpr std::array kRoutes = {
            route{"/v1/trainers", domain::samples},      route{"/v1/config", domain::config},
            route{"/v1/upstreams", domain::fleet},       route{"/v1/fleet", domain::fleet},
            route{"/v1/membership", domain::membership}, route{"/v1/samples", domain::samples},
    };
    const auto *found
            = std::ranges::find_if(kRoutes, [&](const route &r) { return path.starts_with(r.prefix); });
    return found == kRoutes.end() ? domain::requests : found->owner;
}

effects reduce(daemon_state &state, const event &what, const context &at)
{
    dispatcher dispatch(state, at);
    if (std::holds_alternative<shutdown_requested>(what)) {
        if (state.stopping) {
            return {};
        }
        state.stopping = true;
        dispatch.tellAll(stopping{});
    }
    return dispatch.run(what);
}

} // namespace jacinthvale
