/// Memory held for callers that read their answers slowly.
#pragma once

#include <jacinthvale/event.h>

#include <map>
#include <vector>

namespace jacinthvale::node {

/// Bytes of an answer that its caller has not read yet.
struct unread_answer
{
    exchange_id exchange;
    std::size_t bytes = 0;
    /// The caller may ask for the same answer again.
    bool repeatable = false;

    auto operator<=>(const unread_answer &) const = default;
};

/// An unread answer and how fast its caller reads.
struct paced_answer
{
    unread_answer answer;
    double bytesPerSecond = 0;

    auto operator<=>(const paced_answer &) const = default;
};

/// First measurement of each unread answer.
struct answer_pace
{
    std::size_t firstBytes = 0;
    instant firstAt{};
};
using answer_paces = std::map<exchange_id, answer_pace>;

/// Updates the first measurements. @returns the answers with the speed of their readers since then.
std::vector<paced_answer> paceAnswers(answer_paces &paces, const std::vector<unread_answer> &answers,
                                      instant now);

/// @returns the answers to end so that the others fit in the budget with room to spare; none if all fit.
/// Answers that the caller may ask for again come first, then those that would take longest to be read.
/// @param budget bytes.
std::vector<paced_answer> answersToEnd(std::vector<paced_answer> answers, std::size_t budget);

} // namespace jacinthvale::node
