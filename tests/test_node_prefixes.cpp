// Prompt parts that upstreams hold. "Pattern" names the load that a test answers.
#include "node_placement.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;

namespace {

const model_id kModel{"m0"};
const weight_versions kWeights{{kModel, {3}}};

shared_prompt prompt(std::vector<prompt_part> parts)
{
    return {kModel, std::move(parts)};
}

batch_item makeItem(std::vector<prompt_part> parts, unsigned promptTokens, const std::string &group = "g")
{
    batch_item item;
    item.group = group;
    item.promptTokens = promptTokens;
    item.promptParts = std::move(parts);
    return item;
}

} // namespace

// Pattern: a group of 16 items with 1,000 shared tokens and 16 of their own.
TEST(node_prefixes, sharesAllPartsButTheLast)
{
    EXPECT_EQ(sharedPromptOf(kModel, makeItem({{7, 1000}, {8, 16}}, 1016)), prompt({{7, 1000}}));
    EXPECT_TRUE(sharedPromptOf(kModel, makeItem({{8, 16}}, 16)).parts.empty());
}

// Pattern: a batch that was taken over, or a client that names no parts.
TEST(node_prefixes, sharesWholePromptInGroupWithoutNamedParts)
{
    const shared_prompt first = sharedPromptOf(kModel, makeItem({}, 1016));
    EXPECT_EQ(first.tokens(), 1016);
    EXPECT_EQ(first, sharedPromptOf(kModel, makeItem({}, 1016)));
    EXPECT_NE(first, sharedPromptOf(kModel, makeItem({}, 900)));
    EXPECT_NE(first, sharedPromptOf(kModel, makeItem({}, 1016, "h")));
    EXPECT_TRUE(sharedPromptOf(kModel, makeItem({}, 0)).parts.empty());
    EXPECT_TRUE(sharedPromptOf(kModel, makeItem({}, 1016, "")).parts.empty());
}

// Pattern: prompts that begin alike and differ from their second part on.
TEST(node_prefixes, holdsPartOnlyWithAllPartsBeforeIt)
{
    held_prompts held;
    held.recordUse(prompt({{1, 500}, {2, 300}}), kWeights, 0);
    EXPECT_EQ(held.tokensHeld(prompt({{1, 500}, {2, 300}}), kWeights), 800);
    EXPECT_EQ(held.tokensHeld(prompt({{1, 500}, {3, 300}}), kWeights), 500);
    EXPECT_EQ(held.tokensHeld(prompt({{3, 300}, {2, 300}}), kWeights), 0);
    EXPECT_EQ(held.tokensHeld({{"m1"}, {{1, 500}}}, kWeights), 0);
}

// Pattern: more prompts than the memory of an upstream holds.
TEST(node_prefixes, dropsLeastRecentlyUsedPartsWhereMemoryIsFull)
{
    held_prompts held;
    held.recordUse(prompt({{1, 1000}}), kWeights, 3000);
    held.recordUse(prompt({{2, 1000}}), kWeights, 3000);
    held.recordUse(prompt({{1, 1000}}), kWeights, 3000);
    held.recordUse(prompt({{3, 1500}}), kWeights, 3000);
    EXPECT_EQ(held.tokensHeld(prompt({{1, 1000}}), kWeights), 1000);
    EXPECT_EQ(held.tokensHeld(prompt({{2, 1000}}), kWeights), 0);
    EXPECT_EQ(held.tokensHeld(prompt({{3, 1500}}), kWeights), 1500);
    held.recordUse(prompt({{4, 6000}}), kWeights, 3000);
    EXPECT_EQ(held, held_prompts(held));
    EXPECT_EQ(held.tokensHeld(prompt({{4, 6000}}), kWeights), 0);
}

// Pattern: short prompts for days on an upstream of unknown memory.
TEST(node_prefixes, recordsBoundedNumberOfParts)
{
    held_prompts held;
    for (std::uint64_t id = 0; id <= held_prompts::kMaxParts; ++id) {
        held.recordUse(prompt({{id, 1}}), kWeights, 0);
    }
    EXPECT_EQ(held.tokensHeld(prompt({{0, 1}}), kWeights), 0);
    EXPECT_EQ(held.tokensHeld(prompt({{1, 1}}), kWeights), 1);
}

// Pattern: a version is named every few seconds, and a load of weights drops what the upstream holds for all
// models.
TEST(node_prefixes, holdsNothingAfterLoadOfWeights)
{
    const weight_versions loaded{{kModel, {4}}};
    held_prompts held;
    held.recordUse(prompt({{1, 1000}}), kWeights, 0);
    EXPECT_EQ(held.tokensHeld(prompt({{1, 1000}}), loaded), 0);
    held.recordUse(prompt({{2, 10}}), loaded, 0);
    EXPECT_EQ(held.tokensHeld(prompt({{1, 1000}}), loaded), 0);
    EXPECT_EQ(held.tokensHeld(prompt({{2, 10}}), loaded), 10);
}

} // namespace jacinthvale
