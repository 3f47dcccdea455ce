/// Reducer of the configuration domain, in parts: events, taking documents, spreading, changes, questions.
#pragma once

#include "config_message.h"
#include "config_rows.h"

#include <jacinthvale/config.h>

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale {

/// Mean time between two reads of the head row; each is drawn from 80 % to 120 % of it.
inline constexpr milliseconds kHeadPollPeriod{2500};
/// Pace of asking a random peer, and of asking several while none has been heard lately.
inline constexpr milliseconds kPeerProbePeriod{2500};
inline constexpr milliseconds kUrgentProbePeriod{500};
/// A starting daemon takes the best document it has after this time, if only one side has answered.
inline constexpr milliseconds kStartGrace{1000};
/// Pace and duration of asking unconfirmed peers after a document came into force by a change made here.
inline constexpr milliseconds kPushPeriod{500};
inline constexpr milliseconds kPushDuration{10'000};
/// Least time between two offers of one document to one peer.
inline constexpr milliseconds kOfferSpacing{300};
/// Longest time that the author of an accepted change waits for confirmations.
inline constexpr milliseconds kConfirmationWait{1500};
/// A change needs a peer heard within this time, so that a store that went back does not pass unseen.
inline constexpr milliseconds kPeerEvidenceAge{10'000};
/// A peer unheard for this time is forgotten unless membership vouches for it.
inline constexpr milliseconds kPeerForgetAge{60'000};
inline constexpr milliseconds kConfigReadDeadline{2000};
inline constexpr milliseconds kConfigWriteDeadline{5000};

/// A final answer to an operator that is not an acceptance.
struct config_refusal
{
    int status = 400;
    /// "refused", "conflict" or "unknown".
    std::string_view result = "refused";
    std::string_view code;
    std::string message;
    std::string_view verdict = "not-run";
};

/// Handles one event.
class config_domain
{
public:
    config_domain(config_state &state, const context &at)
        : m_state(state)
        , m_at(at)
    {}

    effects handle(const event &what);

private:
    // Events: config_reduce.cpp
    void onStarted();
    void onTick();
    void onNotice(const domain_event &what);
    void onAbandoned(exchange_id exchange);
    void onStore(const store_call_finished &answer);
    void updateIsolation();
    void finishStop();

    // Taking documents: config_take.cpp
    void pollHead();
    void onHeadPolled(const config_head_poll &poll, const store_outcome &outcome);
    void onHeadRow(const config_head_poll &poll, const config_head_row &head);
    void readDocumentRow(config_revision revision);
    void onDocumentRead(const config_document_read &read, const store_outcome &outcome);
    void take(const std::string &text, const std::string &source);
    void take(const config_document &document, const std::string &source);
    void putInForce(const config_document &document, const std::string &source);
    void tryStart();
    void setProblem(config_problem problem, const std::string &detail);
    void noteHigher(config_revision revision);

    // Spreading: config_spread.cpp
    void onPeerMessage(const peer_message_received &received);
    void notePeer(const peer_message_received &received, const config_message &message);
    void answerPeer(const endpoint &peer, const config_message &message);
    void onPeerChanged(const peer_view &view);
    void send(const endpoint &target, config_message_kind kind, peer_transport transport);
    void offer(const endpoint &target);
    void probePeers();
    void tellRandomPeers();
    std::vector<endpoint> pickPeers(std::size_t count, bool withSeeds);
    void pushToUnconfirmed();
    void forgetPeers();
    void answerConfirmed();
    bool hasUnconfirmedPeers(config_revision revision) const;
    bool isAlone() const;

    // Changes: config_commit.cpp
    void startChange(const http_request_received &request, bool repair);
    void continueChange(std::uint64_t id, const store_outcome &outcome);
    void onChangeLookedUp(std::uint64_t id, const store_rows &found);
    void onChangeHead(std::uint64_t id, const store_rows &found);
    void onChangeBase(std::uint64_t id, const store_rows &found);
    void readHeadFor(std::uint64_t id);
    void applyAndCommit(std::uint64_t id);
    bool baseStillHolds(std::uint64_t id);
    void commitRepair(std::uint64_t id);
    void commit(std::uint64_t id, config_document next);
    void onCommitEnded(std::uint64_t id, const store_outcome &outcome);
    void onCommitConflict(std::uint64_t id, const store_conflict &conflict);
    void accepted(std::uint64_t id);
    void answerKnown(std::uint64_t id, const config_change_row &row);
    void refuse(std::uint64_t id, const config_refusal &refusal);
    void refuseLost(std::uint64_t id, const config_head_row &winner);
    void checkHead(std::uint64_t id, const config_head_row &head);
    std::optional<config_refusal> objection(const config_running_change &change) const;
    std::optional<config_refusal> evidenceObjection(const config_running_change &change) const;
    config_running_change &changeOf(std::uint64_t id) { return m_state.changes.at(id); }

    // Questions: config_http.cpp
    void onRequest(const http_request_received &request);
    void onGet(const http_request_received &request);
    void explainKey(const http_request_received &request);
    void ask(exchange_id exchange, config_question::kind kind, store_operation what);
    void onQuestionAnswered(const config_question &question, const store_outcome &outcome);
    void reply(exchange_id exchange, int status, const nlohmann::json &body);
    void replyRefusal(exchange_id exchange, const config_refusal &refusal, const std::string &changeId,
                      const std::vector<config_fault> &faults = {});
    void replyAccepted(exchange_id exchange, const std::string &changeId, config_revision revision);

    void callStore(config_store_purpose purpose, store_operation what, milliseconds deadline);
    void record(std::string what, std::string subject, std::string detail);
    std::uint64_t draw() { return mixRandom(m_at.random, ++m_draws); }

    config_state &m_state;
    const context &m_at;
    effects m_out;
    std::uint64_t m_draws = 0;
};

} // namespace jacinthvale
