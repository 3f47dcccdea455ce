/// Report of training steps from the logs of node daemons: for each batch, where the time went until the
/// trainer could read the groups that it waits for.
#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale {

/// A line of a daemon's log.
struct step_log_line
{
    /// Time of the store's clock in ms, which all daemons share.
    std::int64_t storeMs = 0;
    std::string what;
    std::string subject;
    std::string detail;
    nlohmann::json fields;
};

/// Lines that the report could not use, by reason.
struct unused_lines
{
    /// No JSON object, or fields of a wrong type.
    std::size_t garbled = 0;
    /// Written before the daemon knew the store's clock.
    std::size_t withoutStoreTime = 0;
    /// Repeated timelines of the same batch and owner.
    std::size_t repeated = 0;

    auto operator<=>(const unused_lines &) const = default;
};

/// Time of one stage of a step.
struct stage_time
{
    std::string stage;
    std::int64_t ms = 0;

    auto operator<=>(const stage_time &) const = default;
};

/// One batch. Times are of the store's clock in ms; an empty one was not logged.
struct step_record
{
    std::string batch;
    std::string model;
    std::int64_t step = 0;
    std::int64_t firstSeenMs = 0;
    std::optional<std::int64_t> acceptedMs;
    /// The last of the groups that the trainer waits for was committed.
    std::optional<std::int64_t> decidedMs;
    /// A page with that group was answered.
    std::optional<std::int64_t> pageMs;
    /// Group and item that decided.
    std::string decidingGroup;
    std::string decidingItem;
    /// Stages of the deciding item in the order in which they are usually passed. Their sum is the time from
    /// firstSeenMs to pageMs, or to decidedMs if that is not known.
    std::vector<stage_time> stages;
    /// Shortest possible time on these upstreams, with the lengths of all items known.
    std::optional<std::int64_t> limitMs;
    /// Number of groups complete and wanted.
    std::int64_t groupsComplete = 0;
    std::int64_t groupsWanted = 0;
    /// Time from the page to the first submission of the model's next step.
    std::optional<std::int64_t> trainingMs;
    unsigned refusals = 0;
    unsigned ownerChanges = 0;

    std::optional<std::int64_t> totalMs() const;
};

/// A change of the system that may have delayed steps.
struct step_mark
{
    std::int64_t storeMs = 0;
    std::string text;
};

struct step_report
{
    /// By model, then step, then time.
    std::vector<step_record> steps;
    std::vector<step_mark> marks;
    unused_lines unused;
    /// Batches that lack a line, with the line that is missing.
    std::vector<std::string> missing;
};

/// Reads the lines of one or more logs, in any order. Text before the first brace of a line is ignored.
class step_log_reader
{
public:
    void read(std::istream &log);
    void readLine(const std::string &line);
    step_report makeReport() const;

private:
    std::vector<step_log_line> m_lines;
    unused_lines m_unused;
};

/// Table of the batches, and a summary of each model.
std::string renderSteps(const step_report &report);
nlohmann::json stepsToJson(const step_report &report);
/// One self-contained page with a lane for each model.
std::string renderStepsPage(const step_report &report);

} // namespace jacinthvale
