/// Claims: at most one run per idempotency key, decided by rows in the platform's table.
///
/// The process that inserts the claim row owns the run; no other process ever runs it. The row holds the
/// owner's incarnation, so that a later caller finds the process to wait for. After the run it also holds the
/// recorded answer.
#pragma once

#include <jacinthvale/store.h>
#include <jacinthvale/types.h>
#include <jacinthvale/verdict.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Complete answer to a call, as recorded and replayed.
struct final_answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    verdict outcome = verdict::ran;
    int retryAfterSeconds = 0;

    auto operator<=>(const final_answer &) const = default;
};

/// @returns the answer that reports a refusal or failure.
final_answer toAnswer(const request_error &error);

/// Value of a claim row.
struct claim_record
{
    /// Incarnation of the owner, the gate that inserted the row.
    incarnation_id incarnation;
    /// Address at which the owner receives messages of peers.
    endpoint peer;
    /// Number of the claim, unique at its owner.
    std::uint64_t number = 0;
    /// Hash of the request that the key was first used with.
    std::uint64_t requestHash = 0;
    std::optional<final_answer> answer;

    auto operator<=>(const claim_record &) const = default;
};

/// @returns the row's value as JSON; a body that is not UTF-8 is encoded in base64.
std::string encodeClaim(const claim_record &record);

/// @returns nothing if the value is not a valid claim.
std::optional<claim_record> decodeClaim(const std::string &value);

/// @returns the row key for an idempotency key of one service or model.
std::string claimRowKey(const std::string &target, const std::string &idempotencyKey);

/// Batches the writes of many claims into few transactions.
///
/// Writes that arrive while a transaction is in flight share the next one. It is sent when the one in flight
/// has ended, when kEagerSendWrites writes wait, or when the caller asks for it. A conflict of one write does
/// not fail the others: they are sent again.
class claim_batcher
{
public:
    /// The write took effect.
    struct committed
    {
        std::uint64_t version = 0;
    };
    /// The row does not have the expected version.
    struct conflict
    {
        /// Empty if the row is absent.
        std::optional<store_row> row;
    };
    /// The write may have taken effect, or may do so later.
    struct unknown
    {};
    /// The write is proved to have had no effect.
    struct unavailable
    {};
    using write_outcome = std::variant<committed, conflict, unknown, unavailable>;

    struct result
    {
        store_write write;
        write_outcome outcome;
    };

    static constexpr std::size_t kMaxTransactions = 4;
    static constexpr std::size_t kMaxWritesPerTransaction = 200;
    static constexpr std::size_t kEagerSendWrites = 32;

    /// Queues a write. No other write of the same row may be queued or in flight.
    void add(store_write write) { m_queued.push_back(std::move(write)); }

    /// @param sendNow true to not wait for the transaction in flight
    /// @returns the next transaction to send under this operation number, if one is due.
    std::optional<store_transact> nextTransaction(std::uint64_t operation, const std::string &writeId,
                                                  bool sendNow = false);

    /// Handles the end of a transaction.
    /// @returns the writes that are decided; the others wait for the next transaction.
    std::vector<result> finishTransaction(std::uint64_t operation, const store_outcome &outcome);

    /// @returns the number of writes that are queued or in flight.
    std::size_t pending() const;

private:
    std::vector<result> resolveConflict(std::vector<store_write> writes, const store_conflict &conflicting);

    std::vector<store_write> m_queued;
    std::map<std::uint64_t, std::vector<store_write>> m_inFlight;
};

enum class run_phase : std::uint8_t {
    /// The claim is being written to the store.
    claiming,
    /// The outcome of the claim is unknown, and nothing ran.
    indeterminate,
    /// This process owns the run; it is queued or in flight.
    running,
    /// The run is over.
    answered,
    /// Nothing ran; the claim row is being removed.
    releasing,
};

/// Run of an idempotency key or of a ticket, which must happen at most once.
struct keyed_run
{
    run_phase phase = run_phase::claiming;
    std::uint64_t requestHash = 0;
    /// Number of the claim; stays the same when the claim is sent again.
    std::uint64_t claimNumber = 0;
    /// Version of the claim row; 0 for tickets.
    std::uint64_t rowVersion = 0;
    /// Key of the claim row; empty for tickets.
    std::string rowKey;
    /// Number of the call that runs or will run it; 0 for none.
    std::uint64_t call = 0;
    std::optional<final_answer> answer;
    /// True while the answer is not yet confirmed in the row.
    bool answerUnwritten = false;
    /// Time at which an unconfirmed write is sent again; instant::max() while a write is in flight or none is
    /// due.
    instant retryWriteAt = instant::max();
    /// Time until which the run is kept.
    instant keepUntil = instant::max();
};

/// Runs by name: the key of the claim row, or "ticket/" and the number of the ticket.
using run_table = std::map<std::string, keyed_run>;

} // namespace jacinthvale
