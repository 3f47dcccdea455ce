// Taking documents into force: from the store, from peers, at the start; never a lower revision.
#include "config_domain.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

std::string_view toString(config_problem problem)
{
    switch (problem) {
    case config_problem::none:
        return "none";
    case config_problem::store_behind:
        return "store-behind";
    case config_problem::diverged:
        return "diverged";
    }
    return "none";
}

void config_domain::pollHead()
{
    const auto fifth = static_cast<std::uint64_t>(kHeadPollPeriod.count() / 5);
    const auto jitter = static_cast<std::int64_t>(draw() % (2 * fifth));
    m_state.nextPoll = m_at.now + kHeadPollPeriod - milliseconds{static_cast<std::int64_t>(fifth) - jitter};
    const bool running = std::ranges::any_of(m_state.operations, [](const auto &entry) {
        return std::holds_alternative<config_head_poll>(entry.second);
    });
    if (!running) {
        callStore(config_head_poll{m_state.inForce->revision}, store_get{kConfigHeadKey},
                  kConfigReadDeadline);
    }
}

void config_domain::onHeadPolled(const config_head_poll &poll, const store_outcome &outcome)
{
    const auto *found = std::get_if<store_rows>(&outcome);
    if (found == nullptr) {
        return;
    }
    if (found->rows.empty()) {
        m_state.storeAnswered = true;
        m_state.storeEmpty = true;
        if (poll.inForceBefore.value > 0) {
            setProblem(config_problem::store_behind, "the store holds no configuration");
        }
        return;
    }
    m_state.storeEmpty = false;
    if (const auto head = decodeHeadRow(found->rows.front().value); head.ok()) {
        onHeadRow(poll, *head);
    } else {
        m_out.emplace_back(count_metric{"config_documents_refused_total", 1});
    }
}

void config_domain::onHeadRow(const config_head_poll &poll, const config_head_row &head)
{
    if (head.revision > m_state.inForce->revision || !m_state.hasDocument) {
        m_state.highestSeen = std::max(m_state.highestSeen, head.revision);
        readDocumentRow(head.revision);
        return;
    }
    if (m_state.problem == config_problem::diverged) {
        // Lasts until a higher revision comes into force.
        return;
    }
    if (head.revision < poll.inForceBefore) {
        setProblem(config_problem::store_behind,
                   absl::StrCat("the store's head is revision ", head.revision.value, ", in force is ",
                                m_state.inForce->revision.value));
    } else if (head.revision == m_state.inForce->revision) {
        const bool same = head.hash == m_state.inForce->hash;
        setProblem(same ? config_problem::none : config_problem::diverged,
                   same ? "" : "the store's head has the same revision and other content");
    }
}

void config_domain::readDocumentRow(config_revision revision)
{
    callStore(config_document_read{revision}, store_get{revisionKey(revision)}, kConfigReadDeadline);
}

void config_domain::onDocumentRead(const config_document_read &read, const store_outcome &outcome)
{
    const auto *found = std::get_if<store_rows>(&outcome);
    if (found == nullptr) {
        return;
    }
    if (found->rows.empty()) {
        record("config-row-missing", revisionKey(read.revision), "");
        m_out.emplace_back(count_metric{"config_documents_refused_total", 1});
        return;
    }
    m_state.storeAnswered = true;
    take(found->rows.front().value, "store");
}

void config_domain::take(const std::string &text, const std::string &source)
{
    const absl::StatusOr<config_document> document = decodeDocument(text);
    if (document.ok()) {
        take(*document, source);
        return;
    }
    m_out.emplace_back(count_metric{"config_documents_refused_total", 1});
    record("config-document-refused", source, std::string(document.status().message()));
}

void config_domain::take(const config_document &document, const std::string &source)
{
    m_state.highestSeen = std::max(m_state.highestSeen, document.revision);
    if (!m_state.hasDocument) {
        if (!m_state.candidate || document.revision > m_state.candidate->revision) {
            m_state.candidate = document;
        }
        tryStart();
        return;
    }
    if (document.revision > m_state.inForce->revision) {
        putInForce(document, source);
    } else if (document.revision == m_state.inForce->revision && document.hash != m_state.inForce->hash) {
        setProblem(config_problem::diverged,
                   absl::StrCat(source, " has another document of revision ", document.revision.value));
    }
}

void config_domain::putInForce(const config_document &document, const std::string &source)
{
    m_state.inForce = std::make_shared<const config_document>(document);
    m_state.highestSeen = std::max(m_state.highestSeen, document.revision);
    if (m_state.problem == config_problem::diverged) {
        setProblem(config_problem::none, "");
    }
    m_out.emplace_back(raise_domain_event{config_activated{m_state.inForce}});
    m_out.emplace_back(gauge_metric{"config_revision", static_cast<double>(document.revision.value)});
    m_out.emplace_back(count_metric{absl::StrCat("config_taken_total{source=\"", source, "\"}"), 1});
    record("config-in-force", document.changeId,
           absl::StrCat("revision ", document.revision.value, " from ", source));
    tellRandomPeers();
}

/// Waits for both sides, the store and a peer, but no longer than kStartGrace once one has given a document.
void config_domain::tryStart()
{
    const bool peerAnswered = std::ranges::any_of(
            m_state.peers, [](const auto &entry) { return entry.second.revision.has_value(); });
    const bool waited = m_at.now - m_state.startedAt >= kStartGrace;
    if (!waited && !(m_state.storeAnswered && (peerAnswered || isAlone()))) {
        return;
    }
    if (!m_state.candidate && m_state.storeEmpty) {
        m_state.candidate = builtInDocument();
    }
    if (!m_state.candidate) {
        return;
    }
    m_state.hasDocument = true;
    const config_document first = std::move(*m_state.candidate);
    m_state.candidate.reset();
    putInForce(first, "start");
    m_out.emplace_back(set_ready{domain::config, true, ""});
}

void config_domain::setProblem(config_problem problem, const std::string &detail)
{
    if (problem == m_state.problem) {
        return;
    }
    m_state.problem = problem;
    const auto gauge = [&](config_problem which) {
        m_out.emplace_back(
                gauge_metric{absl::StrCat("config_problem{kind=\"", std::string(toString(which)), "\"}"),
                             problem == which ? 1.0 : 0.0});
    };
    gauge(config_problem::store_behind);
    gauge(config_problem::diverged);
    record(problem == config_problem::none ? "config-problem-over" : "config-problem",
           m_state.inForce->changeId, absl::StrCat(std::string(toString(problem)), " ", detail));
}

/// Somebody has a higher revision: the store is read soon in case that peer's offer does not arrive.
void config_domain::noteHigher(config_revision revision)
{
    if (revision > m_state.highestSeen) {
        m_state.highestSeen = revision;
        m_state.nextPoll = std::min(m_state.nextPoll, m_at.now + kPushPeriod);
    }
}

} // namespace jacinthvale
