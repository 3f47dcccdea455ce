/// Simulation of several gates with one table and one service, for state tests. Every message, store
/// operation and call waits until the test decides its outcome.
#pragma once

#include <jacinthvale/requests.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale::testing {

/// A caller's request to a gate, with its answer.
struct submission
{
    std::size_t gate = 0;
    std::string key;
    std::string body;
    bool isNewKey = false;
    /// Increases with each submission.
    std::uint64_t sequence = 0;
    std::optional<reply_http> answer;
    int answerCount = 0;
    /// True if the gate crashed before it answered.
    bool lostInCrash = false;
};

/// How the table handles an operation, and what it reports.
enum class store_behavior { answer, applied_unknown, unknown, applied_later, unavailable };

/// How the service handles a call, and what the gate observes.
enum class call_behavior { served, served_answer_lost, lost_unserved, refused, nothing_sent, served_later };

/// Gates, table and service, with the pending operations, calls and messages between them.
class gate_simulation
{
public:
    static constexpr std::size_t kGateCount = 3;

    gate_simulation();

    void submit(std::size_t gate, const std::string &key, const std::string &body, const std::string &ticket);
    /// @returns the ticket, or an empty string if the gate is paused or refused.
    std::string requestTicket(std::size_t gate);
    void finishStoreCall(std::size_t index, store_behavior behavior);
    void finishUpstreamCall(std::size_t index, call_behavior behavior);
    void finishMessage(std::size_t index, bool shouldDeliver);
    /// Applies a delayed transaction or, if there is none, serves a delayed request.
    void applyDelayedRequest(std::size_t index);
    void crash(std::size_t gate);
    void setPaused(std::size_t gate, bool paused);
    void advance(milliseconds by);
    /// Delivers the current state of one gate to another as a peer change.
    void sendPeerView(std::size_t to, std::size_t about);
    /// Ends all failures, then completes all operations and calls until all deadlines have passed. Records a
    /// violation if a submission has no answer.
    void recoverAndFinish();

    void setStoreDown(bool down) { m_storeDown = down; }
    void startShutdown(std::size_t gate);
    bool drained(std::size_t gate) const { return m_gates.at(gate).drained; }
    const requests_state &state(std::size_t gate) const { return m_gates.at(gate).state; }

    const std::vector<submission> &submissions() const { return m_submissions; }
    int runCount(const std::string &key) const;
    /// @returns the first violated guarantee, or an empty string.
    const std::string &violation() const { return m_violation; }
    int transactionCount() const { return m_transactionCount; }

private:
    struct gate_process
    {
        requests_state state;
        bool paused = false;
        bool drained = false;
        std::deque<event> inbox;
        std::map<exchange_id, std::size_t> exchanges;
    };
    struct pending_store
    {
        std::size_t gate;
        incarnation_id incarnation;
        call_store call;
    };
    struct pending_call
    {
        std::size_t gate;
        incarnation_id incarnation;
        call_http call;
    };
    struct pending_message
    {
        endpoint from;
        incarnation_id incarnation;
        send_peer message;
    };
    /// A request that an upstream has received, or may still receive.
    struct sent_request
    {
        /// Sequence number of the submission that caused the request.
        std::uint64_t causeSequence;
    };

    void startProcess(std::size_t gate);
    void deliver(std::size_t gate, const event &incoming);
    void handleEvent(std::size_t gate, const event &incoming);
    void perform(std::size_t gate, const effect &requested);
    void onReply(std::size_t gate, const reply_http &reply);
    void checkAnswer(submission &answered);
    void recordSentRequest(std::size_t gate, const std::string &body);
    std::string serve(const std::string &body);
    store_outcome apply(const store_operation &operation);
    store_outcome applyTransaction(const store_transact &transaction);
    void deliverCallResult(const pending_call &call, http_call_finished result);
    void recordViolation(const std::string &description);

    std::vector<gate_process> m_gates;
    std::vector<submission> m_submissions;
    std::vector<pending_store> m_pendingStoreCalls;
    std::vector<pending_call> m_pendingCalls;
    std::vector<pending_message> m_pendingMessages;
    std::vector<store_transact> m_delayedTransactions;
    std::vector<std::string> m_delayedBodies;
    std::map<std::string, store_row> m_table;
    std::uint64_t m_lastVersion = 0;
    std::map<std::string, int> m_runs;
    std::map<std::string, std::vector<sent_request>> m_sent;
    std::uint64_t m_lastIncarnation = 100;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_random = 1;
    instant m_now{milliseconds{1000}};
    bool m_storeDown = false;
    int m_transactionCount = 0;
    std::string m_violation;
    std::optional<reply_http> m_ticketReply;
    exchange_id m_ticketExchange;
};

} // namespace jacinthvale::testing
