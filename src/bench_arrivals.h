/// Open-loop arrivals: Poisson, fixed by a seed, independent of answers.
#pragma once

#include "bench_experiment.h"

#include <optional>
#include <random>

namespace jacinthvale::bench {

/// One intended start.
struct arrival
{
    /// Microseconds since the start of the run.
    std::int64_t atMicroseconds = 0;
    std::size_t phase = 0;
    std::uint64_t number = 0;

    auto operator<=>(const arrival &) const = default;
};

/// Arrivals of one class of callers over all phases.
class arrival_schedule
{
public:
    arrival_schedule(std::vector<load_phase> phases, double ratePerSecond, std::uint64_t seed);

    /// @returns the next arrival; nothing after the last phase.
    std::optional<arrival> next();

private:
    std::vector<load_phase> m_phases;
    double m_ratePerSecond;
    std::mt19937_64 m_random;
    std::size_t m_phase = 0;
    double m_phaseStart = 0;
    double m_at = 0;
    std::uint64_t m_number = 0;
};

} // namespace jacinthvale::bench
