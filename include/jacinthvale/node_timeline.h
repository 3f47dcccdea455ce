/// Where the time of an item goes between the acceptance of its batch and the commit of its result.
#pragma once

#include <jacinthvale/types.h>

#include <array>
#include <string_view>

namespace jacinthvale::node {

enum class item_stage : std::uint8_t {
    /// Waits while all upstreams with fitting weights are full.
    slot_wait,
    /// Waits while no upstream has fitting weights, or those that have load others.
    weights_wait,
    /// Waits while all upstreams with fitting weights are ejected.
    ejection_wait,
    /// Sent to an upstream that has not produced a chunk yet: its queue and the prompt.
    prompt,
    generation,
    /// A gap between two chunks of a run that was much longer than usual.
    stall,
    /// From the end of an incomplete run to the first chunk of the next one.
    rerun,
    /// The text is complete; waits for an upstream of the reward call.
    scorer_wait,
    scoring,
    /// The outcome is known; waits for the transaction that writes it.
    commit,
};

inline constexpr std::array<std::string_view, 10> kItemStageNames{
        "slotWait", "weightsWait", "ejectionWait", "prompt",  "generation",
        "stall",    "rerun",       "scorerWait",   "scoring", "commit"};

/// Time that an item spent in each stage under its current owner.
class item_timeline
{
public:
    item_stage stage() const { return m_stage; }
    /// Time since the last change counts for the current stage; the first change starts the measurement.
    void enter(item_stage next, instant now)
    {
        if (m_since != instant{}) {
            m_spent.at(static_cast<std::size_t>(m_stage)) += now - m_since;
        }
        m_stage = next;
        m_since = now;
    }
    /// Time since the last change counts for @p passed; @p next follows.
    void enterAfter(item_stage passed, item_stage next, instant now)
    {
        m_stage = passed;
        enter(next, now);
    }
    milliseconds spent(item_stage stage) const { return m_spent.at(static_cast<std::size_t>(stage)); }

private:
    item_stage m_stage = item_stage::slot_wait;
    instant m_since{};
    std::array<milliseconds, kItemStageNames.size()> m_spent{};
};

} // namespace jacinthvale::node
