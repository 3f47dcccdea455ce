// Page with a lane for each model: one bar a step, divided into the stages of its deciding item.
#include "ctl_steps.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr double kPageWidth = 1400;
constexpr double kLabelWidth = 180;
constexpr double kRowHeight = 22;
constexpr double kBarHeight = 14;
constexpr double kTopMargin = 40;

const std::map<std::string, std::string> kStageColours{
        {"notAccepted", "#7f3b08"}, {"ownerChange", "#b35806"},  {"slotWait", "#e08214"},
        {"weightsWait", "#fdb863"}, {"ejectionWait", "#d6604d"}, {"prompt", "#92c5de"},
        {"generation", "#4393c3"},  {"stall", "#b2182b"},        {"rerun", "#f4a582"},
        {"scorerWait", "#c2a5cf"},  {"scoring", "#9970ab"},      {"commit", "#5aae61"},
        {"pageRead", "#1b7837"}};

std::string escaped(const std::string &text)
{
    return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string rectangle(double x, double y, double width, const std::string &colour, const std::string &title)
{
    return absl::StrFormat(
            "<rect x='%.1f' y='%.1f' width='%.1f' height='%.0f' fill='%s'><title>%s</title></rect>\n", x, y,
            std::max(width, 0.5), kBarHeight, colour, escaped(title));
}

/// Maps times of the store's clock to the width of the page.
class time_scale
{
public:
    explicit time_scale(const step_report &report)
    {
        for (const step_record &record : report.steps) {
            if (record.firstSeenMs <= 0) {
                continue;
            }
            const std::int64_t end = record.pageMs.value_or(record.decidedMs.value_or(record.firstSeenMs));
            m_firstMs = m_firstMs == 0 ? record.firstSeenMs : std::min(m_firstMs, record.firstSeenMs);
            m_lastMs = std::max(m_lastMs, end);
        }
    }
    double x(std::int64_t ms) const { return kLabelWidth + width(ms - m_firstMs); }
    double width(std::int64_t ms) const
    {
        return static_cast<double>(ms) * (kPageWidth - kLabelWidth)
               / static_cast<double>(std::max<std::int64_t>(1, m_lastMs - m_firstMs));
    }
    bool contains(std::int64_t ms) const { return ms >= m_firstMs && ms <= m_lastMs; }
    std::int64_t firstMs() const { return m_firstMs; }

private:
    std::int64_t m_firstMs = 0;
    std::int64_t m_lastMs = 0;
};

std::string renderBar(const step_record &record, const time_scale &scale, double y)
{
    std::string bar;
    std::int64_t at = record.firstSeenMs;
    for (const stage_time &stage : record.stages) {
        if (stage.ms > 0) {
            const auto colour = kStageColours.find(stage.stage);
            bar += rectangle(scale.x(at), y, scale.width(stage.ms),
                             colour == kStageColours.end() ? "#999999" : colour->second,
                             absl::StrCat(record.model, " step ", record.step, ": ", stage.stage, " ",
                                          stage.ms, " ms"));
            at += stage.ms;
        }
    }
    if (record.limitMs) {
        const double x = scale.x(record.firstSeenMs + *record.limitMs);
        absl::StrAppendFormat(&bar, "<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' stroke='black'/>\n", x, x,
                              y - 2, y + kBarHeight + 2);
    }
    return bar;
}

} // namespace

std::string renderStepsPage(const step_report &report)
{
    const time_scale scale(report);
    std::string drawing;
    double y = kTopMargin;
    for (const step_record &record : report.steps) {
        if (record.firstSeenMs <= 0) {
            continue;
        }
        absl::StrAppendFormat(&drawing, "<text x='0' y='%.1f'>%s %d</text>\n", y + kBarHeight - 2,
                              escaped(record.model), record.step);
        drawing += renderBar(record, scale, y);
        y += kRowHeight;
    }
    for (const step_mark &mark : report.marks) {
        if (scale.contains(mark.storeMs)) {
            const double x = scale.x(mark.storeMs);
            absl::StrAppendFormat(
                    &drawing,
                    "<line x1='%.1f' x2='%.1f' y1='%.0f' y2='%.1f' stroke='#cccccc'><title>%s at %d ms"
                    "</title></line>\n",
                    x, x, kTopMargin - 10, y, escaped(mark.text), mark.storeMs - scale.firstMs());
        }
    }
    std::string legend;
    for (const auto &[stage, colour] : kStageColours) {
        absl::StrAppendFormat(&legend, "<span style='background:%s'>&emsp;</span> %s ", colour, stage);
    }
    return absl::StrFormat(
            "<!doctype html><meta charset='utf-8'><title>Steps</title>\n"
            "<style>body{font:12px sans-serif}text{font-size:11px}</style>\n"
            "<h1>Steps by model</h1><p>%s</p>"
            "<p>A black line marks the shortest possible time of a step; grey lines mark changes of the "
            "system.</p>\n"
            "<svg width='%.0f' height='%.0f'>\n%s</svg>\n",
            legend, kPageWidth, y + kRowHeight, drawing);
}

} // namespace jacinthvale
