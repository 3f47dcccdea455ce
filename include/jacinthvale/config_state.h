/// State of the configuration domain.
#pragma once

#include <jacinthvale/config_change.h>
#include <jacinthvale/identity.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// A daemon that takes part in spreading the configuration, by its peer address.
struct config_peer
{
    std::string name;
    incarnation_id incarnation;
    bool alive = true;
    /// True where membership told of it; others are known by their messages only.
    bool listed = false;
    /// Highest revision that it said is in force there; none before it has a document.
    std::optional<config_revision> revision;
    instant heardAt{};
    /// When the document in force was last offered to it, and how often.
    instant offeredAt{};
    config_revision offered;
    int offers = 0;
};

/// Read of the head row for anti-entropy.
struct config_head_poll
{
    /// Revision in force when the read began: a lower head proves that the store went back.
    config_revision inForceBefore;
};

/// Read of a revision's row in order to put it in force.
struct config_document_read
{
    config_revision revision;
};

/// Read on behalf of an operator's question.
struct config_question
{
    enum class kind : std::uint8_t { change, history, revision };
    exchange_id exchange;
    kind what = kind::change;
};

/// One step of a running change.
struct config_change_step
{
    std::uint64_t change = 0;
};

/// What a store operation of this domain is for.
using config_store_purpose
        = std::variant<config_head_poll, config_document_read, config_question, config_change_step>;

/// Where a running change stands.
enum class config_change_phase : std::uint8_t { looking_up, reading_head, reading_document, committing };

/// An operator's change on its way to the store.
struct config_running_change
{
    exchange_id exchange;
    config_change what;
    std::string author;
    /// True where it carries the document in force forward over a store that went back.
    bool repair = false;
    config_change_phase phase = config_change_phase::looking_up;
    /// Revision in force when the head was asked for.
    config_revision inForceBefore;
    config_revision headRevision;
    std::uint64_t headVersion = 0;
    /// True where the head was read again, as a peer had said that it has a higher revision.
    bool headReread = false;
    config_document next;
};

/// An accepted change whose author still waits for the peers' confirmations.
struct config_confirmation_wait
{
    exchange_id exchange;
    std::string changeId;
    config_revision revision;
    instant until{};
};

/// What is wrong between the store's copy and the document in force.
enum class config_problem : std::uint8_t {
    none,
    /// The store's head is lower than what is in force: it was restored from an old copy.
    store_behind,
    /// Another document bears the revision in force.
    diverged,
};

/// @returns "none", "store-behind" or "diverged".
std::string_view toString(config_problem problem);

/// State of the configuration domain.
struct config_state
{
    process_identity self;
    std::shared_ptr<const config_document> inForce = std::make_shared<config_document>();
    /// False until a starting daemon has taken a document.
    bool hasDocument = false;
    /// Highest document seen while starting.
    std::optional<config_document> candidate;
    bool storeAnswered = false;
    bool storeEmpty = false;
    instant startedAt{};

    config_problem problem = config_problem::none;
    /// Highest revision that anybody claimed.
    config_revision highestSeen;
    std::map<endpoint, config_peer> peers;

    std::uint64_t lastOperation = 0;
    std::map<std::uint64_t, config_store_purpose> operations;
    std::uint64_t lastChange = 0;
    std::map<std::uint64_t, config_running_change> changes;
    std::vector<config_confirmation_wait> waits;

    instant nextPoll{};
    instant nextProbe{};
    instant nextPush{};
    /// The document in force is pushed to unconfirmed peers until then.
    instant pushUntil{};
    /// Last answer of the store, and last message of a peer.
    instant storeHeardAt{};
    instant peerHeardAt{};
    bool peerHeard = false;
    bool isolated = false;
    bool stopping = false;
    bool drained = false;
};

} // namespace jacinthvale
