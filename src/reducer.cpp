#include <jacinthvale/reducer.h>

#include "overloaded.h"

#include <algorithm>
#include <deque>
#include <iterator>

namespace jacinthvale {

namespace {

constexpr std::array kAllDomains
        = {domain::membership, domain::config, domain::fleet, domain::requests, domain::samples};

effects reduceDomain(domain target, daemon_state &state, const event &incoming, const context &ctx)
{
    switch (target) {
    case domain::requests:
        return reduceRequests(state.requests, incoming, ctx);
    case domain::samples:
        return reduceSamples(state.samples, incoming, ctx);
    case domain::fleet:
        return reduceFleet(state.fleet, incoming, ctx);
    case domain::config:
        return reduceConfig(state.config, incoming, ctx);
    case domain::membership:
        return reduceMembership(state.membership, incoming, ctx);
    }
    return {};
}

/// @returns the domains that handle an event.
std::vector<domain> targetsOf(const event &incoming)
{
    const std::vector<domain> all(kAllDomains.begin(), kAllDomains.end());
    return std::visit(overloaded{
                              [](const timer_fired &e) { return std::vector{e.operation.owner}; },
                              [](const http_request_received &e) { return std::vector{ownerOfPath(e.path)}; },
                              [](const http_response_head &e) { return std::vector{e.operation.owner}; },
                              [](const http_response_chunk &e) { return std::vector{e.operation.owner}; },
                              [](const http_call_finished &e) { return std::vector{e.operation.owner}; },
                              [](const store_call_finished &e) { return std::vector{e.operation.owner}; },
                              [](const peer_message_received &e) { return std::vector{e.target}; },
                              [&](const domain_event_raised &e) {
                                  std::vector<domain> others;
                                  std::ranges::copy_if(all, std::back_inserter(others),
                                                       [&](domain d) { return d != e.source; });
                                  return others;
                              },
                              [](const shutdown_requested &) { return std::vector<domain>{}; },
                              [&](const auto &) { return all; },
                      },
                      incoming);
}

/// Event that the current call of reduce() has yet to deliver to a domain.
struct pending_event
{
    domain target;
    event incoming;
};

class dispatcher
{
public:
    dispatcher(daemon_state &state, const context &ctx)
        : m_state(state)
        , m_ctx(ctx)
    {}

    effects run(const event &first)
    {
        queue(first);
        while (!m_pending.empty()) {
            const pending_event pending = std::move(m_pending.front());
            m_pending.pop_front();
            collect(pending.target, reduceDomain(pending.target, m_state, pending.incoming, m_ctx));
        }
        return std::move(m_effects);
    }

    /// Queues a domain event that no domain raised, for every domain. Its source is set to the receiving
    /// domain.
    void broadcast(const domain_event &payload)
    {
        for (const domain target : kAllDomains) {
            m_pending.push_back({target, domain_event_raised{target, payload}});
        }
    }

private:
    void queue(const event &incoming)
    {
        for (const domain target : targetsOf(incoming)) {
            m_pending.push_back({target, incoming});
        }
    }

    void collect(domain source, effects produced)
    {
        for (effect &e : produced) {
            auto *raised = std::get_if<raise_domain_event>(&e);
            if (raised == nullptr) {
                m_effects.push_back(std::move(e));
            } else if (const auto *drained = std::get_if<domain_drained>(&raised->payload)) {
                markDrained(drained->source);
            } else {
                queue(domain_event_raised{source, std::move(raised->payload)});
            }
        }
    }

    void markDrained(domain source)
    {
        auto &flags = m_state.drained;
        const bool before = std::ranges::all_of(flags, std::identity{});
        flags.at(static_cast<std::size_t>(source)) = true;
        if (!before && std::ranges::all_of(flags, std::identity{})) {
            m_effects.emplace_back(exit_process{0});
        }
    }

    daemon_state &m_state;
    const context &m_ctx;
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

effects reduce(daemon_state &state, const event &incoming, const context &ctx)
{
    dispatcher dispatch(state, ctx);
    if (std::holds_alternative<shutdown_requested>(incoming)) {
        if (state.stopping) {
            return {};
        }
        state.stopping = true;
        dispatch.broadcast(shutdown_started{});
    }
    return dispatch.run(incoming);
}

} // namespace jacinthvale
