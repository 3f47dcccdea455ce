/// Several daemons of node.h over a stand-in of the platform's table and of upstreams, on a virtual clock.
///
/// The table keeps rows, a feed of changes and conditional transactions; answers may be lost and writes may
/// come late. Upstreams make pieces of streams, take orders for weights and crash. The world checks the
/// promises while it runs; broken ones are in faults().
#pragma once

#include <jacinthvale/node.h>

#include <functional>
#include <memory>
#include <random>

namespace jacinthvale::test {

/// An upstream's side of the world.
struct world_upstream
{
    node::upstream_entry entry;
    milliseconds pace{40};
    bool up = true;
    bool listed = true;
    /// Accepted orders.
    std::uint64_t orders = 0;
    instant busyUntil{};
    instant lastOrderAt{};
    host_id lastOrderBy;
    std::uint64_t lastFencing = 0;
    unsigned running = 0;
    unsigned mostRunning = 0;
};

/// What a caller got.
using world_answer = std::variant<std::monostate, node::answer_call, node::refuse_call, node::accept_batch,
                                  node::answer_page, node::answer_item, node::answer_batch_ended>;

/// Lease time that all daemons of the world are told.
inline constexpr milliseconds kWorldLease{3000};

/// Fleets of this size read the table of upstreams together.
inline constexpr std::size_t kWorldSharedReading = 20;

/// Data of an item's piece; the world checks texts against it.
std::string worldPiece(const node::item_id &id, std::uint64_t number);

class node_world
{
public:
    /// @param storeReads reads a second that all daemons are told they may make together.
    explicit node_world(std::uint64_t seed, std::size_t daemons = 3, std::size_t upstreams = 4,
                        double storeReads = 2000);

    /// Lets this much time pass.
    void run(milliseconds time);
    /// @returns false where the condition does not hold within the time.
    bool runUntil(const std::function<bool()> &condition, milliseconds atMost);

    // Callers.
    exchange_id handIn(std::size_t daemon, const node::batch &what);
    exchange_id askPage(std::size_t daemon, const node::batch_id &id, std::size_t after,
                        milliseconds wait = {});
    exchange_id askItem(std::size_t daemon, const node::batch_id &id, const node::item_id &item);
    exchange_id end(std::size_t daemon, const node::batch_id &id);
    exchange_id call(std::size_t daemon, const std::string &id, const std::string &path = "/plain/1");
    /// The caller of an exchange goes away.
    void leave(std::size_t daemon, exchange_id exchange);
    const world_answer &answer(exchange_id exchange) { return m_answers[exchange]; }
    template <typename Answer>
    const Answer *got(exchange_id exchange)
    {
        return std::get_if<Answer>(&m_answers[exchange]);
    }

    // Faults.
    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    void stop(std::size_t daemon);
    void freeze(std::size_t daemon, milliseconds time);
    /// The table answers nothing to this daemon, or to all.
    void cutFromStore(std::size_t daemon, bool cut) { m_daemons.at(daemon).cut = cut; }
    void setStoreDown(bool down) { m_storeDown = down; }
    /// Writes to one part of one table are turned away, while all is read.
    void turnWritesAway(node::table_id table, bool away);
    void setLostShare(double share) { m_lostShare = share; }
    void setLateShare(double share) { m_lateShare = share; }
    void dropHistory()
    {
        m_changes.clear();
        m_historyFrom = m_version;
    }
    void crashUpstream(std::size_t upstream);
    /// An upstream without memory puts its newest run back. @returns false where it has none.
    bool stallNewestRun(std::size_t upstream, milliseconds time);
    void restoreUpstream(std::size_t upstream);
    /// Share of calls and runs that break off.
    void setBreakShare(double share) { m_breakShare = share; }
    void nameVersion(const std::string &model, std::uint64_t version);
    void putConfig(const node::route_table &table);

    /// A batch of items that make the given numbers of pieces.
    static node::batch makeBatch(const std::string &id, const std::string &model, std::uint64_t minVersion,
                                 const std::vector<unsigned> &pieces);

    world_upstream &upstream(std::size_t index) { return m_upstreams.at(index); }
    const node::node_state &state(std::size_t daemon) const { return *m_daemons.at(daemon).state; }
    /// State of the daemon that owns a batch, or of the first one.
    const node::node_state &owner(const node::batch_id &id) const;
    std::size_t ownerIndex(const node::batch_id &id) const;
    bool isUp(std::size_t daemon) const { return m_daemons.at(daemon).up; }
    std::size_t daemons() const { return m_daemons.size(); }
    instant now() const { return m_now; }
    /// Whole listed results of a batch as the table holds them.
    std::vector<node::item_result> listed(const node::batch_id &id) const;
    bool allListed(const node::batch &what) const { return listed(what.id).size() >= what.items.size(); }
    /// Reads of rows and of changes that daemons made.
    std::size_t reads() const { return m_reads; }
    std::size_t runsStarted() const { return m_runsStarted; }
    std::size_t claims() const { return m_claims; }
    std::size_t ordersSent() const { return m_ordersSent; }
    /// Share of runs and calls on each upstream.
    const std::map<upstream_id, std::size_t> &runsAt() const { return m_runsAt; }
    const std::vector<std::string> &faults() const { return m_faults; }
    std::string faultText() const;

private:
    struct process
    {
        std::unique_ptr<node::node_state> state;
        bool up = false;
        bool cut = false;
        instant frozenUntil{};
        /// Rises with each start; events of an earlier process are dropped.
        std::uint64_t life = 0;
    };
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    void at(instant when, std::function<void()> what);
    void tell(std::size_t daemon, std::uint64_t life, node::event what);
    void later(std::size_t daemon, milliseconds after, node::event what);
    void perform(std::size_t daemon, node::effect &what);
    void askNews(std::size_t daemon, const node::request_upstream_delta &what);
    void readRows(std::size_t daemon, const node::read_rows &what);
    void readChanges(std::size_t daemon, const node::read_changes &what, instant asked);
    void commit(std::size_t daemon, const node::commit_rows &what, instant until, bool lostBefore);
    bool apply(const node::commit_rows &what);
    bool holds(const node::commit_rows &what) const;
    void put(const node::row_key &key, const std::string &value);
    node::row_change change(const node::row_key &key) const;
    void startRun(std::size_t daemon, const node::run_item &what);
    void makePiece(std::size_t daemon, node::op_id op, std::uint64_t life);
    void forward(std::size_t daemon, const node::forward_call &what);
    void order(std::size_t daemon, const node::order_weights &what);
    void report(std::size_t daemon, const node::request_upstream_status &what);
    void beatUpstreams();
    void checkResults(const node::commit_rows &what);
    void fault(const std::string &what) { m_faults.push_back(what); }
    bool storeAnswers(std::size_t daemon) const { return !m_storeDown && !m_daemons.at(daemon).cut; }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    milliseconds draw(int from, int to);
    world_upstream *find(const upstream_id &id);

    struct running_run
    {
        node::run_item what;
        std::uint64_t made = 0;
        instant stalledUntil{};
    };

    std::mt19937_64 m_random;
    instant m_now{milliseconds{1000}};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_schedule;
    std::vector<process> m_daemons;
    std::vector<world_upstream> m_upstreams;
    std::map<node::row_key, stored_row> m_rows;
    std::vector<std::pair<std::uint64_t, node::row_key>> m_changes;
    std::map<node::row_key, node::decoded_row> m_foreign;
    std::uint64_t m_version = 1;
    std::uint64_t m_historyFrom = 0;
    bool m_storeDown = false;
    std::set<node::table_id> m_turnedAway;
    double m_lostShare = 0;
    double m_lateShare = 0;
    double m_breakShare = 0;
    std::map<std::pair<std::size_t, node::op_id>, running_run> m_runs;
    std::map<exchange_id, world_answer> m_answers;
    std::uint64_t m_lastExchange = 0;
    /// Who asked another daemon for news, by the exchange there.
    std::map<exchange_id, std::pair<std::size_t, node::op_id>> m_news;
    double m_storeReads = 0;
    std::size_t m_reads = 0;
    std::size_t m_runsStarted = 0;
    std::size_t m_claims = 0;
    std::size_t m_ordersSent = 0;
    std::map<upstream_id, std::size_t> m_runsAt;
    std::map<std::string, unsigned> m_pieces;
    std::map<std::string, std::uint64_t> m_minVersions;
    std::vector<std::shared_ptr<std::function<void()>>> m_keptTicks;
    std::vector<std::string> m_faults;
};

} // namespace jacinthvale::test
