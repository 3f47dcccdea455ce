/// Samples for trainers: groups, scoring, staleness, stragglers and exactly-once delivery.
#pragma once

#include <jacinthvale/config.h>
#include <jacinthvale/delivery.h>
#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>
#include <jacinthvale/sample_sources.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// A caller of this process waits for the answer.
struct local_caller
{
    exchange_id exchange;

    auto operator<=>(const local_caller &) const = default;
};

/// A peer that forwarded a request waits for the answer.
struct forwarding_peer
{
    endpoint replyTo;
    std::uint64_t number = 0;

    auto operator<=>(const forwarding_peer &) const = default;
};

using request_origin = std::variant<local_caller, forwarding_peer>;

/// One request of a trainer. All of them are idempotent, so another holder may handle it again.
struct trainer_call
{
    request_origin origin;
    trainer_id trainer;
    std::string method;
    /// Last part of the path: "groups", "samples" or "weights".
    std::string resource;
    std::map<std::string, std::string> query;
    std::string body;
    /// The caller is answered by then.
    instant deadline{};
    /// Number under which this process forwarded it to the holder; 0 while it is here.
    std::uint64_t forwardedAs = 0;
    /// A transaction or another holder may have carried it out already.
    bool uncertain = false;
};

/// A checked request for a group.
struct pending_group
{
    trainer_call call;
    sample_group group;
};

/// A checked announcement of new weights.
struct pending_version
{
    trainer_call call;
    model_id model;
    weight_version version;
};

/// A checked request for samples.
struct pending_pull
{
    trainer_call call;
    std::uint64_t number = 0;
    std::uint64_t after = 0;
    std::size_t maxEntries = 0;
    /// Answered without samples then.
    instant waitUntil{};
};

/// Whether this process holds a trainer's lease.
enum class lease_phase : std::uint8_t {
    /// Nothing is known; the head row must be read.
    unknown,
    reading,
    acquiring,
    /// Holds the lease and reads the rows.
    loading,
    holding,
    /// Another process holds it.
    elsewhere,
};

/// A sample whose payload is stored, ready for the sequence.
struct stored_sample
{
    finished_sample sample;
    payload_reference payload;
};

/// Text and score of the samples of one object.
struct payload_batch
{
    struct item
    {
        std::string text;
        double score = 0;
    };
    std::vector<item> items;
    std::size_t bytes = 0;
};

/// A transaction that was sent, with what its outcome decides.
struct running_commit
{
    ledger_change change;
    std::vector<pending_group> groups;
    std::vector<pending_version> versions;
    std::vector<stored_sample> samples;
    std::optional<pending_pull> pull;
    std::uint64_t through = 0;
    bool release = false;
    /// A copy got no answer and may have taken effect: only the same transaction may be sent again.
    bool uncertain = false;
    /// When it is sent again; none while a copy is under way.
    std::optional<instant> resendAt;
};

/// Samples whose payload is being stored.
struct running_put
{
    std::string object;
    std::vector<finished_sample> samples;
};

/// Slot that needs a generation; ordered by urgency.
struct queued_slot
{
    std::int64_t step = 0;
    sample_slot slot;

    auto operator<=>(const queued_slot &) const = default;
};

/// Everything of one trainer.
struct trainer_session
{
    trainer_id trainer;
    lease_phase phase = lease_phase::unknown;
    /// Head row as last read, and since when its version has not changed.
    std::optional<store_row> observed;
    trainer_head observedHead;
    instant observedSince{};
    /// Nothing is asked of the store before this time.
    instant notBefore{};

    trainer_ledger ledger;
    /// Trainer's current version as far as this process knows; the head row follows.
    weight_version version;
    std::optional<ledger_change> acquiring;
    std::string loadingPrefix;

    std::deque<trainer_call> waiting;
    std::deque<pending_group> groups;
    std::deque<pending_version> versions;
    std::optional<pending_pull> pull;
    std::set<std::string> loadingPayloads;

    std::deque<finished_sample> ready;
    std::deque<stored_sample> stored;
    std::size_t uncommittedBytes = 0;
    std::set<sample_slot> uncommitted;
    std::optional<running_put> putting;
    std::optional<running_commit> committing;
    instant lastCommitAt{};
    instant putNotBefore{};
    std::map<std::string, payload_batch> payloads;
    std::size_t payloadBytes = 0;

    std::set<queued_slot> queue;
    std::map<sample_slot, std::set<std::uint64_t>> running;
    std::map<sample_slot, partial_sample> partials;
    /// Mean time of a generation, exponentially weighted; 0 before the first.
    double meanDurationMs = 0;
    bool releasing = false;
};

struct head_scan
{};
struct head_read
{
    trainer_id trainer;
};
struct lease_acquisition
{
    trainer_id trainer;
};
struct row_load
{
    trainer_id trainer;
    std::string after;
};
struct payload_put
{
    trainer_id trainer;
};
struct payload_read
{
    trainer_id trainer;
    std::string object;
};
struct ledger_commit
{
    trainer_id trainer;
};
struct generation_stream
{
    std::uint64_t generation = 0;
};
struct generation_scoring
{
    std::uint64_t generation = 0;
};
struct engine_probe
{
    upstream_id engine;
};

/// What an operation of this domain is for.
using samples_operation
        = std::variant<head_scan, head_read, lease_acquisition, row_load, payload_put, payload_read,
                       ledger_commit, generation_stream, generation_scoring, engine_probe>;

/// State of the samples domain.
struct samples_state
{
    process_identity self;
    std::shared_ptr<const config_document> config = std::make_shared<config_document>();
    std::map<trainer_id, trainer_session> sessions;
    std::map<upstream_id, engine_record> engines;
    std::map<upstream_id, scorer_record> scorers;
    std::map<std::uint64_t, generation> generations;
    std::map<host_id, peer_view> peers;
    std::map<std::uint64_t, samples_operation> operations;
    /// Requests that were forwarded to a holder, by number.
    std::map<std::uint64_t, trainer_call> forwarded;
    std::uint64_t lastNumber = 0;
    /// When a trainer's version rose last.
    std::optional<instant> versionMovedAt;
    instant nextScanAt{};
    bool scanning = false;
    bool stopping = false;
    bool drained = false;
    instant stopDeadline{};
};

/// Handles one event of the samples domain.
effects reduceSamples(samples_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeSamples(const samples_state &state, const context &at);

} // namespace jacinthvale
