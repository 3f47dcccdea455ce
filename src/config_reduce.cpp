// Events of the configuration domain.
#include "config_domain.h"
#include "overloaded.h"

namespace jacinthvale {

effects reduceConfig(config_state &state, const event &what, const context &at)
{
    return config_domain(state, at).handle(what);
}

effects config_domain::handle(const event &what)
{
    std::visit(overloaded{
                       [&](const process_started &) { onStarted(); },
                       [&](const tick &) { onTick(); },
                       [&](const http_request_received &e) { onRequest(e); },
                       [&](const http_exchange_abandoned &e) { onAbandoned(e.exchange); },
                       [&](const store_call_finished &e) { onStore(e); },
                       [&](const peer_message_received &e) { onPeerMessage(e); },
                       [&](const domain_event_raised &e) { onNotice(e.payload); },
                       [](const auto &) {},
               },
               what);
    return std::move(m_out);
}

void config_domain::onStarted()
{
    m_state.startedAt = m_at.now;
    m_state.storeHeardAt = m_at.now;
    m_state.peerHeardAt = m_at.now;
    m_state.nextPoll = m_at.now;
    m_state.nextProbe = m_at.now;
    m_state.inForce = std::make_shared<config_document>(builtInDocument());
    m_out.emplace_back(set_ready{domain::config, false, "waiting for a configuration document"});
    onTick();
}

void config_domain::onTick()
{
    if (m_at.now >= m_state.nextPoll) {
        pollHead();
    }
    if (m_at.now >= m_state.nextProbe) {
        probePeers();
    }
    if (m_at.now >= m_state.nextPush && m_at.now < m_state.pushUntil) {
        pushToUnconfirmed();
    }
    if (!m_state.hasDocument) {
        tryStart();
    }
    forgetPeers();
    answerConfirmed();
    updateIsolation();
    finishStop();
}

void config_domain::onNotice(const domain_event &what)
{
    if (const auto *changed = std::get_if<peer_changed>(&what)) {
        onPeerChanged(changed->view);
    } else if (std::holds_alternative<shutdown_started>(what)) {
        m_state.stopping = true;
        finishStop();
    }
}

/// The change itself goes on: its author can ask for it by its id.
void config_domain::onAbandoned(exchange_id exchange)
{
    std::erase_if(m_state.waits, [&](const auto &wait) { return wait.exchange == exchange; });
}

void config_domain::onStore(const store_call_finished &answer)
{
    const auto node = m_state.operations.extract(answer.operation.number);
    if (node.empty()) {
        return;
    }
    const bool answered = !std::holds_alternative<store_unavailable>(answer.outcome)
                          && !std::holds_alternative<store_unknown>(answer.outcome);
    if (answered) {
        m_state.storeHeardAt = m_at.now;
    }
    std::visit(overloaded{
                       [&](const config_head_poll &poll) { onHeadPolled(poll, answer.outcome); },
                       [&](const config_document_read &read) { onDocumentRead(read, answer.outcome); },
                       [&](const config_question &asked) { onQuestionAnswered(asked, answer.outcome); },
                       [&](const config_change_step &step) { continueChange(step.change, answer.outcome); },
               },
               node.mapped());
    updateIsolation();
    finishStop();
}

/// Alone without a store is an outage of the store, not a cut, for a daemon that has no peers at all.
void config_domain::updateIsolation()
{
    const milliseconds bound{lookupInteger(
            *m_state.inForce, "config.isolationBoundMs",
            {m_state.self.deployment.value, m_state.self.availabilityZone.value, "", "", ""}, m_at.wallNow)};
    const bool isolated
            = !isAlone() && m_at.now - m_state.storeHeardAt > bound && m_at.now - m_state.peerHeardAt > bound;
    if (isolated == m_state.isolated) {
        return;
    }
    m_state.isolated = isolated;
    m_out.emplace_back(raise_domain_event{isolation_changed{isolated}});
    m_out.emplace_back(gauge_metric{"config_isolated", isolated ? 1.0 : 0.0});
    record(isolated ? "config-isolated" : "config-reconnected", m_state.self.host.value,
           isolated ? "neither the store nor any peer answers" : "");
}

void config_domain::finishStop()
{
    if (m_state.stopping && !m_state.drained && m_state.changes.empty() && m_state.waits.empty()) {
        m_state.drained = true;
        m_out.emplace_back(raise_domain_event{domain_drained{domain::config}});
    }
}

void config_domain::callStore(config_store_purpose purpose, store_operation what, milliseconds deadline)
{
    const operation_id operation{domain::config, ++m_state.lastOperation};
    m_state.operations.emplace(operation.number, purpose);
    m_out.emplace_back(call_store{operation, std::move(what), deadline});
    m_out.emplace_back(count_metric{"config_store_operations_total", 1});
}

void config_domain::record(std::string what, std::string subject, std::string detail)
{
    m_out.emplace_back(record_entry{std::move(what), std::move(subject), std::move(detail)});
}

} // namespace jacinthvale
