/// Small fakes around the samples domain: a store, engines that know the truth, a trainer, and faults.
///
/// Each token's text is the version that truly produced it, so that a sample's labels can be checked.
#pragma once

#include <jacinthvale/samples.h>

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jacinthvale {

/// Table and objects, with the same conditions as the platform's.
class fake_store
{
public:
    store_outcome perform(const store_operation &operation);
    const std::map<std::string, store_row> &rows() const { return m_rows; }

private:
    store_outcome transact(const store_transact &what);

    std::map<std::string, store_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_lastVersion = 0;
};

/// One stream on an engine.
struct fake_stream
{
    std::size_t daemon = 0;
    std::uint64_t life = 0;
    operation_id operation;
    std::int64_t tokensLeft = 0;
};

/// Engine with the weights that it truly holds and those that it reports.
struct fake_engine
{
    upstream_view view;
    std::uint64_t swapCounter = 0;
    std::uint64_t held = 1;
    std::uint64_t reported = 1;
    bool clear = true;
    std::deque<fake_stream> streams;
};

/// One daemon process; a new life after each kill.
struct fake_daemon
{
    samples_state state;
    std::uint64_t life = 0;
    bool paused = false;
    bool stopping = false;
    bool drained = false;
    /// Events that arrive while it is paused.
    std::deque<event> inbox;
};

struct pending_store
{
    std::size_t daemon = 0;
    std::uint64_t life = 0;
    call_store call;
};

/// What the trainer holds of one cursor.
struct taken_entry
{
    sample_slot slot;
    bool expired = false;
    std::uint64_t attempt = 0;
    std::string text;

    auto operator<=>(const taken_entry &) const = default;
};

/// Trainer that follows the rules: rising pull numbers, answers to abandoned pulls thrown away.
struct fake_trainer
{
    std::uint64_t version = 1;
    std::uint64_t pull = 0;
    /// Cursor up to which it has kept everything.
    std::uint64_t cursor = 0;
    /// Cursor that the last pull acknowledged.
    std::uint64_t checkpoint = 0;
    exchange_id outstanding;
    std::map<std::uint64_t, taken_entry> taken;
    /// Accepted groups and their counts.
    std::map<std::string, std::int64_t> accepted;
    std::map<std::uint64_t, std::string> posted;
};

class samples_world
{
public:
    samples_world();

    // Faults and progress; each takes a number that chooses its target.
    void passTime(milliseconds time);
    /// How the store treats the oldest operation.
    enum class store_treatment { answer, lose_answer, refuse, delay };
    void serveStore(std::size_t which, store_treatment treatment);
    /// Writes that were delayed take effect now, if they still can; nobody hears of it.
    void applyDelayed();
    void generateTokens();
    void crashEngine(std::size_t which);
    void swapEngine(std::size_t which);
    void confuseEngine(std::size_t which, bool taken);
    void clearEngine(std::size_t which);
    /// A failed swap, tokens from the unclear engine, and its recovery, all between two status reads.
    void confuseBriefly(std::size_t which, bool taken);
    void pauseDaemon(std::size_t which);
    void wakeDaemon(std::size_t which);
    void killDaemon(std::size_t which);
    void stopDaemon(std::size_t which);
    void postGroup(std::size_t which, std::int64_t count);
    void publishWeights(std::size_t which);
    void pull(std::size_t which);
    /// Another pull goes out with the cursor of the last checkpoint.
    void abandonPull(std::size_t which);
    /// The trainer restarts from its last checkpoint.
    void restartTrainer(std::size_t which);
    /// A copy of an old pull arrives late.
    void repeatOldPull(std::size_t which);

    /// A little time with everything at work, and a pull if the number is 0.
    void work(std::size_t which);

    /// Ends all faults and runs until every accepted group is whole.
    /// @returns true if that was reached.
    bool heal();

    /// Faults that the trainer saw; empty while all promises hold.
    const std::vector<std::string> &broken() const { return m_broken; }
    const fake_trainer &trainer() const { return m_trainer; }
    std::uint64_t expiredSeen() const { return m_expiredSeen; }
    static constexpr std::uint64_t kBound = 2;

private:
    void startDaemon(std::size_t which);
    void send(std::size_t which, const event &what);
    void process(std::size_t which, const event &what);
    void perform(std::size_t which, const effect &what);
    void startCall(std::size_t which, const call_http &call);
    void announceEngine(const fake_engine &engine);
    void takeReply(std::size_t which, const reply_http &reply);
    void checkCommit(const store_transact &what);
    void checkKnownVersion(std::size_t which, const nlohmann::json &body);
    void takeSamples(const nlohmann::json &body);
    void checkEntry(const nlohmann::json &entry);
    void emitToken(fake_engine &engine, fake_stream &stream);
    exchange_id request(std::size_t which, const std::string &method, const std::string &resource,
                        const std::map<std::string, std::string> &query, const std::string &body);
    void sendTo(std::size_t daemon, std::uint64_t life, const event &what);

    fake_store m_store;
    std::vector<fake_daemon> m_daemons;
    std::vector<fake_engine> m_engines;
    upstream_view m_scorer;
    std::deque<pending_store> m_pendingStore;
    std::vector<store_transact> m_delayed;
    fake_trainer m_trainer;
    /// Daemon that got the request of an exchange.
    std::map<std::uint64_t, std::size_t> m_postedTo;
    std::map<std::string, std::string> m_lastPullQuery;
    /// Last pull that was answered with samples.
    std::map<std::string, std::string> m_deliveredPullQuery;
    instant m_now{milliseconds{1000}};
    std::uint64_t m_random = 1;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_lastGroup = 0;
    std::uint64_t m_expiredSeen = 0;
    std::vector<std::string> m_broken;
};

} // namespace jacinthvale
