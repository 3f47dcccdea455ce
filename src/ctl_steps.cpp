#include "ctl_steps.h"

#include "ctl_output.h"
#include <jacinthvale/node_timeline.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <istream>
#include <numeric>
#include <set>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr const char *kNotAccepted = "notAccepted";
constexpr const char *kOwnerChange = "ownerChange";
constexpr const char *kPageRead = "pageRead";

/// Lines that are shown as marks: changes of processes, of the store, or of the upstreams.
const std::set<std::string> kMarkedLines{"start",           "stopping",         "not-ready",
                                         "lease-lost",      "batch-taken-over", "upstream-removed",
                                         "config-in-force", "upstream-leaving"};

/// A position of a result, and when a page with it was answered.
struct answered_page
{
    std::int64_t storeMs = 0;
    std::int64_t after = 0;
    std::int64_t count = 0;
};

/// Lines about one batch.
struct batch_lines
{
    std::vector<const step_log_line *> refused;
    const step_log_line *accepted = nullptr;
    std::vector<const step_log_line *> timelines;
    std::vector<answered_page> pages;
};

std::int64_t fieldOf(const step_log_line &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

std::string textOf(const step_log_line &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Groups the lines by batch. Counts repeated timelines, which are not used.
std::map<std::string, batch_lines> linesByBatch(const std::vector<step_log_line> &lines, unused_lines &unused)
{
    std::map<std::string, batch_lines> batches;
    for (const step_log_line &line : lines) {
        if (line.what == "batch-refused" || line.what == "batch-not-stored") {
            batches[line.subject].refused.push_back(&line);
        } else if (line.what == "batch-accepted") {
            const step_log_line *&accepted = batches[line.subject].accepted;
            accepted = accepted == nullptr || line.storeMs < accepted->storeMs ? &line : accepted;
        } else if (line.what == "page-answered") {
            batches[line.subject].pages.push_back(
                    {line.storeMs, fieldOf(line, "after"), fieldOf(line, "count")});
        } else if (line.what == "step-timeline") {
            auto &timelines = batches[line.subject].timelines;
            const bool isRepeated = std::ranges::any_of(timelines, [&](const step_log_line *earlier) {
                return earlier->storeMs == line.storeMs && earlier->fields == line.fields;
            });
            unused.repeated += isRepeated ? 1 : 0;
            if (!isRepeated) {
                timelines.push_back(&line);
            }
        }
    }
    return batches;
}

/// Lower bound of the time of a step: its longest item on the fastest upstream, and the work of the groups
/// that the trainer waits for on all upstreams together; the reward call follows.
std::optional<std::int64_t> limitOf(const step_log_line &timeline)
{
    const std::int64_t chunkUs = fieldOf(timeline, "fastestChunkUs");
    const std::int64_t chunksPerSecond = fieldOf(timeline, "chunksPerSecond");
    const std::int64_t longest = fieldOf(timeline, "longestChunks");
    if (chunkUs <= 0 || chunksPerSecond <= 0 || longest <= 0) {
        return std::nullopt;
    }
    constexpr std::int64_t kUsPerMs = 1000;
    constexpr std::int64_t kMsPerSecond = 1000;
    return std::max(longest * chunkUs / kUsPerMs,
                    fieldOf(timeline, "neededChunks") * kMsPerSecond / chunksPerSecond)
           + fieldOf(timeline, "scoreMs");
}

/// Times from the acceptance on, by the timeline of the owner under which the step was decided.
void addTimeline(step_record &record, const step_log_line &timeline, const std::vector<answered_page> &pages)
{
    const std::int64_t ownedMs = fieldOf(timeline, "ownedMs");
    record.model = textOf(timeline, "model");
    record.step = fieldOf(timeline, "step");
    record.groupsComplete = fieldOf(timeline, "groupsComplete");
    record.groupsWanted = fieldOf(timeline, "groupsWanted");
    record.decidingGroup = textOf(timeline, "group");
    record.decidingItem = textOf(timeline, "item");
    record.limitMs = limitOf(timeline);
    if (record.acceptedMs && ownedMs > *record.acceptedMs) {
        record.stages.push_back({kOwnerChange, ownedMs - *record.acceptedMs});
    }
    for (const std::string_view name : node::kItemStageNames) {
        record.stages.push_back({std::string(name), fieldOf(timeline, std::string(name))});
    }
    const std::int64_t decidedMs = fieldOf(timeline, "decidedMs");
    if (decidedMs <= 0) {
        return;
    }
    record.decidedMs = decidedMs;
    const std::int64_t position = fieldOf(timeline, "position");
    for (const answered_page &page : pages) {
        const bool holdsPosition = page.after <= position && position < page.after + page.count;
        if (holdsPosition && (!record.pageMs || page.storeMs < *record.pageMs)) {
            record.pageMs = page.storeMs;
        }
    }
    if (record.pageMs) {
        record.stages.push_back({kPageRead, std::max<std::int64_t>(0, *record.pageMs - decidedMs)});
    }
}

step_record makeRecord(const std::string &id, const batch_lines &lines, std::vector<std::string> &missing)
{
    step_record record;
    record.batch = id;
    record.refusals = static_cast<unsigned>(lines.refused.size());
    std::vector<std::int64_t> seen;
    std::ranges::transform(lines.refused, std::back_inserter(seen), &step_log_line::storeMs);
    if (lines.accepted != nullptr) {
        record.acceptedMs = lines.accepted->storeMs;
        record.model = textOf(*lines.accepted, "model");
        record.step = fieldOf(*lines.accepted, "step");
        seen.push_back(lines.accepted->storeMs - fieldOf(*lines.accepted, "receivedAgoMs"));
    } else {
        missing.push_back(id + ": batch-accepted");
    }
    record.firstSeenMs = seen.empty() ? 0 : *std::ranges::min_element(seen);
    if (record.acceptedMs) {
        record.stages.push_back({kNotAccepted, *record.acceptedMs - record.firstSeenMs});
    }
    if (lines.timelines.empty()) {
        missing.push_back(id + ": step-timeline");
        return record;
    }
    // An owner that handed the batch over before the step was decided wrote a timeline, too.
    const auto deciding = std::ranges::max_element(lines.timelines, {}, [](const step_log_line *line) {
        return std::pair(fieldOf(*line, "decidedMs") > 0, line->storeMs);
    });
    record.ownerChanges = static_cast<unsigned>(lines.timelines.size() - 1);
    addTimeline(record, **deciding, lines.pages);
    if (record.decidedMs && !record.pageMs) {
        missing.push_back(id + ": page-answered");
    }
    return record;
}

/// Sets the time between a step and the next one of its model. @param steps by model and step.
void addTrainingTimes(std::vector<step_record> &steps)
{
    for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
        const step_record &next = steps[i + 1];
        if (steps[i].pageMs && next.model == steps[i].model && next.step == steps[i].step + 1) {
            steps[i].trainingMs = next.firstSeenMs - *steps[i].pageMs;
        }
    }
}

std::string numberOrDash(const std::optional<std::int64_t> &ms)
{
    return ms ? absl::StrCat(*ms) : "-";
}

std::string ratioOf(double totalMs, double limitMs)
{
    return limitMs > 0 ? absl::StrFormat("%.2f", totalMs / limitMs) : "-";
}

/// The largest stages of a step, as text.
std::string largestStages(std::vector<stage_time> stages)
{
    constexpr std::size_t kShownStages = 4;
    std::ranges::stable_sort(stages, std::greater<>{}, &stage_time::ms);
    stages.resize(std::min(stages.size(), kShownStages));
    std::string text;
    for (const stage_time &stage : stages) {
        if (stage.ms > 0) {
            absl::StrAppend(&text, text.empty() ? "" : ", ", stage.stage, " ", stage.ms);
        }
    }
    return text;
}

/// Sums over the steps of one model.
struct model_summary
{
    std::size_t steps = 0;
    std::size_t undecided = 0;
    /// Over the steps with both a total and a limit.
    std::size_t compared = 0;
    std::int64_t totalMs = 0;
    std::int64_t limitMs = 0;
    std::map<std::string, std::int64_t> stageMs;
};

std::map<std::string, model_summary> summarize(const step_report &report)
{
    std::map<std::string, model_summary> models;
    for (const step_record &record : report.steps) {
        model_summary &summary = models[record.model];
        ++summary.steps;
        summary.undecided += record.decidedMs ? 0 : 1;
        const auto total = record.totalMs();
        if (!total || !record.limitMs) {
            continue;
        }
        ++summary.compared;
        summary.totalMs += *total;
        summary.limitMs += *record.limitMs;
        for (const stage_time &stage : record.stages) {
            summary.stageMs[stage.stage] += stage.ms;
        }
    }
    return models;
}

/// Mean times of a model's stages.
std::vector<stage_time> meanStages(const model_summary &summary)
{
    std::vector<stage_time> stages;
    for (const auto &[stage, ms] : summary.stageMs) {
        stages.push_back({stage, ms / static_cast<std::int64_t>(std::max<std::size_t>(1, summary.compared))});
    }
    return stages;
}

std::string unusedText(const step_report &report)
{
    std::string text;
    const auto append = [&](std::size_t number, const std::string &reason) {
        if (number > 0) {
            absl::StrAppend(&text, number, " lines ", reason, "\n");
        }
    };
    append(report.unused.garbled, "are no readable log lines");
    append(report.unused.withoutStoreTime, "have no time of the store's clock");
    append(report.unused.repeated, "repeat a timeline");
    for (const std::string &line : report.missing) {
        absl::StrAppend(&text, "missing line: ", line, "\n");
    }
    return text;
}

} // namespace

std::optional<std::int64_t> step_record::totalMs() const
{
    const std::optional<std::int64_t> end = pageMs ? pageMs : decidedMs;
    return end && firstSeenMs > 0 ? std::optional(*end - firstSeenMs) : std::nullopt;
}

void step_log_reader::read(std::istream &log)
{
    for (std::string line; std::getline(log, line);) {
        readLine(line);
    }
}

void step_log_reader::readLine(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
        m_unused.garbled += line.empty() ? 0 : 1;
        return;
    }
    const json object
            = json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
    const auto isText
            = [&](const char *name) { return object.contains(name) && object.at(name).is_string(); };
    if (!object.is_object() || !isText("what") || !isText("subject")
        || (object.contains("fields") && !object.at("fields").is_object())) {
        ++m_unused.garbled;
        return;
    }
    const auto time = object.find("storeMs");
    if (time == object.end() || !time->is_number_integer()) {
        ++m_unused.withoutStoreTime;
        return;
    }
    m_lines.push_back({time->get<std::int64_t>(), object.at("what").get<std::string>(),
                       object.at("subject").get<std::string>(),
                       isText("detail") ? object.at("detail").get<std::string>() : "",
                       object.value("fields", json::object())});
}

step_report step_log_reader::makeReport() const
{
    step_report report;
    report.unused = m_unused;
    for (const auto &[id, lines] : linesByBatch(m_lines, report.unused)) {
        const bool onlyPages = lines.refused.empty() && lines.accepted == nullptr && lines.timelines.empty();
        if (!onlyPages) {
            report.steps.push_back(makeRecord(id, lines, report.missing));
        }
    }
    std::ranges::sort(report.steps, {}, [](const step_record &record) {
        return std::tuple(record.model, record.step, record.firstSeenMs, record.batch);
    });
    addTrainingTimes(report.steps);
    for (const step_log_line &line : m_lines) {
        if (kMarkedLines.contains(line.what)) {
            report.marks.push_back(
                    {line.storeMs, absl::StrCat(line.what, " ", line.subject, " ", line.detail)});
        }
    }
    std::ranges::sort(report.marks, {}, &step_mark::storeMs);
    return report;
}

std::string renderSteps(const step_report &report)
{
    std::vector<table_row> rows;
    for (const step_record &record : report.steps) {
        const auto total = record.totalMs();
        rows.push_back({record.model, absl::StrCat(record.step), record.batch, absl::StrCat(record.refusals),
                        absl::StrCat(record.groupsComplete, "/", record.groupsWanted), numberOrDash(total),
                        numberOrDash(record.limitMs),
                        ratioOf(static_cast<double>(total.value_or(0)),
                                total ? static_cast<double>(record.limitMs.value_or(0)) : 0),
                        numberOrDash(record.trainingMs), largestStages(record.stages)});
    }
    std::vector<table_row> modelRows;
    for (const auto &[model, summary] : summarize(report)) {
        const auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, summary.compared));
        modelRows.push_back(
                {model, absl::StrCat(summary.steps), absl::StrCat(summary.undecided),
                 absl::StrCat(summary.totalMs / count), absl::StrCat(summary.limitMs / count),
                 ratioOf(static_cast<double>(summary.totalMs), static_cast<double>(summary.limitMs)),
                 largestStages(meanStages(summary))});
    }
    return renderTable({"model", "step", "batch", "refused", "groups", "ms", "limit ms", "ratio",
                        "until next ms", "largest stages, ms"},
                       rows)
           + "\n"
           + renderTable(
                   {"model", "steps", "undecided", "mean ms", "mean limit ms", "ratio", "mean stages, ms"},
                   modelRows)
           + unusedText(report);
}

json stepsToJson(const step_report &report)
{
    const auto orNull = [](const std::optional<std::int64_t> &ms) { return ms ? json(*ms) : json(); };
    json steps = json::array();
    for (const step_record &record : report.steps) {
        json stages = json::object();
        for (const stage_time &stage : record.stages) {
            stages[stage.stage] = stage.ms;
        }
        steps.push_back({{"batch", record.batch},
                         {"model", record.model},
                         {"step", record.step},
                         {"refusals", record.refusals},
                         {"ownerChanges", record.ownerChanges},
                         {"firstSeenMs", record.firstSeenMs},
                         {"acceptedMs", orNull(record.acceptedMs)},
                         {"decidedMs", orNull(record.decidedMs)},
                         {"pageMs", orNull(record.pageMs)},
                         {"totalMs", orNull(record.totalMs())},
                         {"limitMs", orNull(record.limitMs)},
                         {"trainingMs", orNull(record.trainingMs)},
                         {"decidingGroup", record.decidingGroup},
                         {"decidingItem", record.decidingItem},
                         {"groupsComplete", record.groupsComplete},
                         {"groupsWanted", record.groupsWanted},
                         {"stagesMs", stages}});
    }
    json models = json::object();
    for (const auto &[model, summary] : summarize(report)) {
        models[model] = {{"steps", summary.steps},       {"undecided", summary.undecided},
                         {"compared", summary.compared}, {"totalMs", summary.totalMs},
                         {"limitMs", summary.limitMs},   {"stagesMs", summary.stageMs}};
    }
    json marks = json::array();
    for (const step_mark &mark : report.marks) {
        marks.push_back({{"storeMs", mark.storeMs}, {"text", mark.text}});
    }
    return {{"steps", steps},
            {"models", models},
            {"marks", marks},
            {"unusedLines",
             {{"garbled", report.unused.garbled},
              {"withoutStoreTime", report.unused.withoutStoreTime},
              {"repeated", report.unused.repeated}}},
            {"missing", report.missing}};
}

} // namespace jacinthvale
