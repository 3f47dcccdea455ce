/// Several gates around one table and one plain service, for state tests: every message, store operation and
/// call waits until the test decides what becomes of it.
#pragma once

#include <jacinthvale/requests.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale::testing {

/// A request that a caller sent to a gate.
struct submission
{
    std::size_t gate = 0;
    std::string key;
    std::string body;
    bool isNewKey = false;
    /// Sequence number; a later submission has a higher one.
    std::uint64_t sequence = 0;
    std::optional<reply_http> answer;
    int answers = 0;
    /// The gate died before it answered.
    bool lost = false;
};

/// What the table does with an operation.
enum class store_fate { answer, applied_unknown, unknown, applied_later, unavailable };

/// What becomes of a call to the service.
enum class call_fate { served, served_answer_lost, lost_unserved, refused, nothing_sent, served_later };

/// Gates, table, service, and what is on its way between them.
class gate_simulation
{
public:
    static constexpr std::size_t kGates = 3;

    gate_simulation();

    void submit(std::size_t gate, const std::string &key, const std::string &body, const std::string &ticket);
    /// @returns the ticket, empty where the gate refused.
    std::string takeTicket(std::size_t gate);
    void decideStore(std::size_t index, store_fate fate);
    void decideCall(std::size_t index, call_fate fate);
    void decideMessage(std::size_t index, bool deliver);
    /// Lets an old copy of a transaction, or of a request, take effect.
    void releaseLate(std::size_t index);
    void crash(std::size_t gate);
    void setPaused(std::size_t gate, bool paused);
    void advance(milliseconds by);
    /// Tells one gate what another one is.
    void gossip(std::size_t to, std::size_t about);
    /// Everything works again, until nothing moves and all deadlines have passed.
    void heal();

    void storeDown(bool down) { m_storeDown = down; }
    void stop(std::size_t gate);
    bool drained(std::size_t gate) const { return m_gates.at(gate).drained; }
    const requests_state &state(std::size_t gate) const { return m_gates.at(gate).state; }

    const std::vector<submission> &submissions() const { return m_submissions; }
    int runs(const std::string &key) const;
    /// First fault against the promises; empty where there is none.
    const std::string &fault() const { return m_fault; }
    int storeTransactions() const { return m_storeTransactions; }

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
    /// A request that an upstream got, or may still get.
    struct sent_request
    {
        std::uint64_t causedBy;
    };

    void boot(std::size_t gate);
    void deliver(std::size_t gate, const event &what);
    void process(std::size_t gate, const event &what);
    void perform(std::size_t gate, const effect &what);
    void onReply(std::size_t gate, const reply_http &reply);
    void checkAnswer(submission &done);
    void noteSent(std::size_t gate, const std::string &body);
    std::string serve(const std::string &body);
    store_outcome apply(const store_operation &what);
    store_outcome applyTransaction(const store_transact &what);
    void finishCall(const pending_call &call, http_call_finished result);
    void fail(const std::string &what);

    std::vector<gate_process> m_gates;
    std::vector<submission> m_submissions;
    std::vector<pending_store> m_stores;
    std::vector<pending_call> m_calls;
    std::vector<pending_message> m_messages;
    std::vector<store_transact> m_lateTransactions;
    std::vector<std::string> m_lateBodies;
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
    int m_storeTransactions = 0;
    std::string m_fault;
    std::optional<reply_http> m_ticketReply;
    exchange_id m_ticketExchange;
};

} // namespace jacinthvale::testing
