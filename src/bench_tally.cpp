#include "bench_tally.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

namespace jacinthvale::bench {

namespace acc = boost::accumulators;

namespace {

constexpr std::size_t kKeptValues = 100'000;

} // namespace

struct quantile_tally::accumulator
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::tail_quantile<acc::right>>>
            values{acc::tag::tail<acc::right>::cache_size = kKeptValues};
};

quantile_tally::quantile_tally()
    : m_values(std::make_unique<accumulator>())
{}

quantile_tally::~quantile_tally() = default;
quantile_tally::quantile_tally(quantile_tally &&) noexcept = default;
quantile_tally &quantile_tally::operator=(quantile_tally &&) noexcept = default;

void quantile_tally::add(double value)
{
    m_values->values(value);
}

std::size_t quantile_tally::count() const
{
    return acc::count(m_values->values);
}

double quantile_tally::mean() const
{
    return count() == 0 ? 0 : acc::mean(m_values->values);
}

double quantile_tally::max() const
{
    return count() == 0 ? 0 : acc::max(m_values->values);
}

double quantile_tally::quantile(double share) const
{
    return count() == 0 ? 0 : acc::quantile(m_values->values, acc::quantile_probability = share);
}

std::string_view toString(call_outcome outcome)
{
    static constexpr std::array<std::string_view, kCallOutcomes> kNames
            = {"answered", "answered-late", "not-run", "may-have-run", "broken", "wrong", "unanswered"};
    return kNames.at(static_cast<std::size_t>(outcome));
}

bool trainer_tally::accountedFor() const
{
    return samplesDelivered == samplesExpected && duplicates == 0 && unknownSamples == 0 && overBound == 0
           && outOfOrder == 0 && malformed == 0 && stepsWhole == stepsWanted;
}

} // namespace jacinthvale::bench
