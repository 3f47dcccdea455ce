/// Prompt parts that upstreams hold in memory, as far as the runs of this process tell.
///
/// An upstream does not read a part again that it holds for the same model, if it holds all parts before it,
/// too. It drops the least recently used parts when its memory is full, and all parts when it loads weights
/// or restarts.
#pragma once

#include <jacinthvale/node_types.h>

namespace jacinthvale::node {

/// Versions of the weights on an upstream, by model.
using weight_versions = std::map<model_id, weight_version>;

/// Leading part of the prompts of several requests for one model.
struct shared_prompt
{
    model_id model;
    std::vector<prompt_part> parts;

    auto operator<=>(const shared_prompt &) const = default;

    double tokens() const;
};

/// @returns what an item's prompt shares with the items of its group: all parts but the last; the whole
/// prompt if the client named no parts, and nothing if it did not tell the prompt's length either.
shared_prompt sharedPromptOf(const model_id &model, const batch_item &item);

/// Prompt parts that one process of an upstream holds. At most kMaxParts are recorded.
class held_prompts
{
public:
    static constexpr std::size_t kMaxParts = 256;

    /// @returns the leading tokens of the prompt that need not be read again under these weights.
    double tokensHeld(const shared_prompt &prompt, const weight_versions &weights) const;

    /// Records that the upstream reads the prompt or uses it again.
    /// @param capacity tokens of memory that runs leave to held parts; 0 if unknown.
    void recordUse(const shared_prompt &prompt, const weight_versions &weights, double capacity);

    bool operator==(const held_prompts &) const = default;

private:
    struct held_part
    {
        unsigned tokens = 0;
        /// Rises with each use of any part.
        std::uint64_t lastUse = 0;

        auto operator<=>(const held_part &) const = default;
    };

    void dropLeastRecentlyUsed();

    /// A load of weights drops all parts.
    weight_versions m_weights;
    std::map<std::uint64_t, held_part> m_parts;
    double m_tokens = 0;
    std::uint64_t m_useCount = 0;
};

} // namespace jacinthvale::node
