/// What a run measured: outcomes of calls, quantiles, and the fate of each sample.
#pragma once

#include <jacinthvale/types.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace jacinthvale::bench {

/// How a call ended for its caller.
enum class call_outcome : std::uint8_t {
    /// A whole answer within the deadline.
    answered,
    /// A whole answer after the deadline.
    answered_late,
    /// Refused with the verdict not-run.
    not_run,
    /// Told that it may have run.
    may_have_run,
    /// The connection ended without an answer or a verdict.
    broken,
    /// An answer that is not whole, or not that of the request.
    wrong,
    /// Nothing came until the end of the run.
    unanswered,
};

inline constexpr std::size_t kCallOutcomes = 7;

/// @returns for example "may-have-run".
std::string_view toString(call_outcome outcome);

/// Exact quantiles of up to some hundred thousand values, then of the largest ones.
class quantile_tally
{
public:
    quantile_tally();
    ~quantile_tally();
    quantile_tally(quantile_tally &&) noexcept;
    quantile_tally &operator=(quantile_tally &&) noexcept;

    void add(double value);
    std::size_t count() const;
    double mean() const;
    double max() const;
    /// @param share from 0.5 to 1.
    double quantile(double share) const;

private:
    struct accumulator;
    std::unique_ptr<accumulator> m_values;
};

/// Calls of one class in one phase.
struct call_tally
{
    std::array<std::uint64_t, kCallOutcomes> outcomes{};
    std::uint64_t arrivals = 0;
    std::uint64_t retries = 0;
    /// Milliseconds from the intended start to the end, of answered calls.
    quantile_tally latency;
    /// Milliseconds from the intended start to the first byte, of streamed calls.
    quantile_tally firstByte;
    /// Milliseconds by which calls left later than intended.
    quantile_tally startDelay;

    std::uint64_t of(call_outcome outcome) const { return outcomes.at(static_cast<std::size_t>(outcome)); }
    void note(call_outcome outcome) { ++outcomes.at(static_cast<std::size_t>(outcome)); }
};

/// One trainer's run.
struct trainer_tally
{
    int stepsWhole = 0;
    int stepsWanted = 0;
    std::uint64_t samplesExpected = 0;
    std::uint64_t samplesDelivered = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t unknownSamples = 0;
    std::uint64_t overBound = 0;
    std::uint64_t tombstones = 0;
    std::uint64_t outOfOrder = 0;
    std::uint64_t malformed = 0;
    std::uint64_t failedCalls = 0;
    milliseconds idle{0};
    milliseconds elapsed{0};
    /// Weight versions by which a sample was behind its trainer when it was handed over.
    quantile_tally staleness;
    /// Milliseconds from a step's first group to its last sample.
    quantile_tally stepTime;

    bool accountedFor() const;
};

} // namespace jacinthvale::bench
