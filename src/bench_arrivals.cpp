#include "bench_arrivals.h"

#include <cmath>

namespace jacinthvale::bench {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kUnusedRandomBits = 11;
constexpr double kLowestUniformBit = 0x1.0p-53;

} // namespace

arrival_schedule::arrival_schedule(std::vector<load_phase> phases, double ratePerSecond, std::uint64_t seed)
    : m_phases(std::move(phases))
    , m_ratePerSecond(ratePerSecond)
    , m_random(seed)
{}

std::optional<arrival> arrival_schedule::next()
{
    while (m_phase < m_phases.size()) {
        const load_phase &phase = m_phases[m_phase];
        const double end
                = m_phaseStart + static_cast<double>(phase.length.count()) * kMicrosecondsPerMillisecond;
        const double rate = m_ratePerSecond * phase.rateFactor;
        if (rate > 0) {
            // Drawn by hand: distributions of the standard library differ between implementations.
            const double uniform = static_cast<double>(m_random() >> kUnusedRandomBits) * kLowestUniformBit;
            const double at = m_at - std::log1p(-uniform) / rate * kMicrosecondsPerSecond;
            if (at < end) {
                m_at = at;
                return arrival{static_cast<std::int64_t>(at), m_phase, ++m_number};
            }
        }
        // Memoryless: the draw starts anew at the phase's end.
        m_phaseStart = end;
        m_at = end;
        ++m_phase;
    }
    return std::nullopt;
}

} // namespace jacinthvale::bench
