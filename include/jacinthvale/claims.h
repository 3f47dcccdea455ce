/// Claims: one run per idempotency key, decided by the platform's table.
///
/// Whoever inserts the claim row owns the run; nobody else ever runs it. The row names the owner's
/// incarnation, so that a later caller finds whom to wait for, and takes the recorded answer once the run is
/// over.
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

/// Whole answer to a call, as recorded and replayed.
struct final_answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    verdict outcome = verdict::ran;
    int retryAfterSeconds = 0;

    auto operator<=>(const final_answer &) const = default;
};

/// @returns the answer that tells of a refusal or failure.
final_answer toAnswer(const request_error &error);

/// Value of a claim row.
struct claim_record
{
    /// Owner: the gate that inserted the row.
    incarnation_id incarnation;
    /// Where the owner takes messages of peers.
    endpoint peer;
    /// Number of the claim at its owner.
    std::uint64_t number = 0;
    /// Hash of the request that the key stands for.
    std::uint64_t requestHash = 0;
    std::optional<final_answer> answer;

    auto operator<=>(const claim_record &) const = default;
};

/// @returns the row's value: JSON, with bytes that are not UTF-8 in base64.
std::string encodeClaim(const claim_record &record);

/// @returns nothing where the value is no claim.
std::optional<claim_record> decodeClaim(const std::string &value);

/// @returns the key of the row for an idempotency key of one service or model.
std::string claimRowKey(const std::string &target, const std::string &idempotencyKey);

/// Gathers writes of many claims into few transactions. What comes while one is on its way shares the next
/// one, which waits for it unless kEagerWrites have come or the caller says that it has waited long enough. A
/// conflict of one write does not fail the others: they are sent again.
class claim_batcher
{
public:
    /// How one write ended.
    struct committed
    {
        std::uint64_t version = 0;
    };
    /// The row is not as expected.
    struct conflict
    {
        /// None where the row is absent.
        std::optional<store_row> row;
    };
    /// The write may have taken effect, or may still do so.
    struct unknown
    {};
    /// Proved without effect.
    struct unavailable
    {};
    using outcome = std::variant<committed, conflict, unknown, unavailable>;

    struct result
    {
        store_write write;
        outcome how;
    };

    static constexpr std::size_t kMaxTransactions = 4;
    static constexpr std::size_t kMaxWritesPerTransaction = 200;
    static constexpr std::size_t kEagerWrites = 32;

    /// Queues a write. No other write of the same row may be on its way.
    void add(store_write write) { m_waiting.push_back(std::move(write)); }

    /// @param overdue do not wait for a transaction that is on its way
    /// @returns the next transaction to send under this operation number, if one is due.
    std::optional<store_transact> next(std::uint64_t operation, const std::string &writeId,
                                       bool overdue = false);

    /// Takes in how a transaction ended.
    /// @returns the writes that are decided; the others wait for the next transaction.
    std::vector<result> finished(std::uint64_t operation, const store_outcome &how);

    /// @returns the number of writes that are not decided.
    std::size_t pending() const;

private:
    std::vector<result> settleConflict(std::vector<store_write> writes, const store_conflict &how);

    std::vector<store_write> m_waiting;
    std::map<std::uint64_t, std::vector<store_write>> m_sent;
};

enum class run_phase : std::uint8_t {
    /// The claim is on its way to the store.
    claiming,
    /// The claim's outcome is not known, and nothing ran.
    doubtful,
    /// This process owns the run; it is queued or in flight.
    running,
    /// The run is over.
    answered,
    /// Nothing ran; the claim row is being removed.
    releasing,
};

/// One run that must happen at most once: of an idempotency key or of a ticket.
struct keyed_run
{
    run_phase phase = run_phase::claiming;
    std::uint64_t requestHash = 0;
    /// Number of the claim, the same when it is sent again.
    std::uint64_t claimNumber = 0;
    /// Version of the claim row; 0 for tickets.
    std::uint64_t rowVersion = 0;
    /// Row of the claim; empty for tickets.
    std::string rowKey;
    /// Call that runs or will run it; 0 for none.
    std::uint64_t call = 0;
    std::optional<final_answer> answer;
    /// The answer still has to be written to the row.
    bool recording = false;
    /// When a write without proof is sent again; far in the future while one is on its way.
    instant writeAgainAt = instant::max();
    /// When it may be forgotten.
    instant keepUntil = instant::max();
};

/// Runs by name.
using run_table = std::map<std::string, keyed_run>;

} // namespace jacinthvale
