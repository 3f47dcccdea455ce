#include <jacinthvale/metrics.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <sstream>

namespace jacinthvale {

namespace acc = boost::accumulators;

namespace {

constexpr std::array kQuantiles = {0.5, 0.9, 0.99};

using accumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square>>;

} // namespace

struct metrics_registry::distribution
{
    accumulator values{acc::extended_p_square_probabilities = kQuantiles};
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

void metrics_registry::count(const std::string &name, double amount)
{
    m_counters[name] += amount;
}

void metrics_registry::setGauge(const std::string &name, double value)
{
    m_gauges[name] = value;
}

void metrics_registry::observe(const std::string &name, double value)
{
    auto &slot = m_distributions[name];
    if (slot == nullptr) {
        slot = std::make_unique<distribution>();
    }
    slot->values(value);
}

std::string metrics_registry::render() const
{
    std::ostringstream out;
    for (const auto &[name, value] : m_counters) {
        out << "jacinthvale_" << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_gauges) {
        out << "jacinthvale_" << name << ' ' << value << '\n';
    }
    for (const auto &[name, slot] : m_distributions) {
        for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
            out << "jacinthvale_" << name << "{quantile=\"" << kQuantiles.at(i) << "\"} "
                << acc::extended_p_square(slot->values)[static_cast<std::ptrdiff_t>(i)] << '\n';
        }
        out << "jacinthvale_" << name << "_sum " << acc::sum(slot->values) << '\n';
        out << "jacinthvale_" << name << "_count " << acc::count(slot->values) << '\n';
        out << "jacinthvale_" << name << "_max " << acc::max(slot->values) << '\n';
    }
    return out.str();
}

} // namespace jacinthvale
