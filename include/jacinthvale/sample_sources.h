/// Engines and scorers as the samples domain uses them, and generations that run on them.
///
/// An engine's word for the version of each token is taken only where status reads before and after the token
/// prove that no failed swap lay between them.
#pragma once

#include <jacinthvale/delivery.h>
#include <jacinthvale/domain_event.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinthvale {

/// Answer of an engine to GET /status.
struct engine_status
{
    incarnation_id incarnation;
    std::uint64_t swapCounter = 0;
    bool leaving = false;
    std::map<model_id, model_weights> models;

    auto operator<=>(const engine_status &) const = default;
};

/// @returns none where the body is not a status.
std::optional<engine_status> readEngineStatus(const std::string &body);

/// @returns true where this model had one known version at every moment between two status reads: same
/// incarnation, clear at both with the same version, and every counted swap shows as another model's new
/// version. A clean swap and one that was unclear for a while look alike, so both prove nothing.
bool provesVersions(const engine_status &before, const engine_status &after, const model_id &model);

/// One engine.
struct engine_record
{
    upstream_view view;
    int inFlight = 0;
    /// Last status read.
    std::optional<engine_status> status;
    /// Models that a notice called unclear since that read.
    std::set<model_id> unclear;
    bool probing = false;
    /// When the next status read is due; generations that end ask for one at once.
    instant nextProbeAt{};
    int failedProbes = 0;
    /// No new generations before this time.
    instant suspendedUntil{};
};

/// One scorer.
struct scorer_record
{
    upstream_view view;
    int inFlight = 0;
    instant suspendedUntil{};
};

/// Text that an engine produced, with the versions that produced it.
struct partial_sample
{
    std::string text;
    std::vector<sample_segment> segments;
    /// Another generation has finished it: no more tokens are needed.
    bool finished = false;

    auto operator<=>(const partial_sample &) const = default;
};

/// Adds tokens of one version.
void appendTokens(partial_sample &partial, const std::string &text, weight_version version,
                  std::uint64_t tokens);

/// @returns the number of tokens.
std::uint64_t countTokens(const partial_sample &partial);

enum class generation_stage : std::uint8_t {
    streaming,
    /// Whole; waits for a status read that proves its versions.
    verifying,
    /// Waits for a scorer.
    unscored,
    scoring,
};

/// One run of a slot on an engine.
struct generation
{
    std::uint64_t number = 0;
    trainer_id trainer;
    sample_slot slot;
    std::shared_ptr<const sample_group> group;
    upstream_id engine;
    incarnation_id engineIncarnation;
    generation_stage stage = generation_stage::streaming;
    std::uint64_t operation = 0;
    bool spare = false;
    instant startedAt{};
    /// Not sent to a scorer before this time.
    instant scoreNotBefore{};
    int scoreAttempts = 0;
    upstream_id scorer;

    int httpStatus = 0;
    /// Bytes of the stream that are not a whole line yet.
    std::string unread;
    bool malformed = false;
    partial_sample produced;
    /// What was produced before the status read under way was sent.
    std::optional<partial_sample> marked;
    /// What status reads have proved.
    partial_sample proved;
    /// The stream had ended when the status read under way was sent.
    bool markedWhole = false;
};

} // namespace jacinthvale
