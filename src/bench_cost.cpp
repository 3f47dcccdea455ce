#include "bench_cost.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <sstream>
#include <unistd.h>

namespace jacinthvale::bench {

namespace {

constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr double kBytesPerKilobyte = 1024.0;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kPercent = 100;
constexpr int kHttpOk = 200;
/// Fields of /proc/PID/stat after the name in parentheses, counted from its state.
constexpr std::size_t kUserTimeField = 11;
constexpr std::size_t kSystemTimeField = 12;
constexpr std::size_t kResidentPagesField = 21;

double secondsBetween(const process_cost &cost)
{
    return static_cast<double>((cost.last.at - cost.first.at).count()) / kMillisecondsPerSecond;
}

} // namespace

std::optional<process_reading> parseProcessStat(const std::string &stat)
{
    const std::size_t nameEnd = stat.rfind(')');
    if (nameEnd == std::string::npos) {
        return std::nullopt;
    }
    std::istringstream words(stat.substr(nameEnd + 1));
    std::vector<std::string> fields;
    for (std::string word; words >> word;) {
        fields.push_back(word);
    }
    double user = 0;
    double system = 0;
    double pages = 0;
    if (fields.size() <= kResidentPagesField || !absl::SimpleAtod(fields[kUserTimeField], &user)
        || !absl::SimpleAtod(fields[kSystemTimeField], &system)
        || !absl::SimpleAtod(fields[kResidentPagesField], &pages)) {
        return std::nullopt;
    }
    const auto ticksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
    const auto pageBytes = static_cast<double>(sysconf(_SC_PAGESIZE));
    return process_reading{milliseconds{0}, (user + system) / ticksPerSecond,
                           pages * pageBytes / kBytesPerMegabyte};
}

double sumOfCounters(const std::string &metrics, const std::string &prefix)
{
    std::istringstream lines(metrics);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        double value = 0;
        const std::size_t space = line.rfind(' ');
        if (line.starts_with(prefix) && space != std::string::npos
            && absl::SimpleAtod(line.substr(space + 1), &value)) {
            sum += value;
        }
    }
    return sum;
}

double process_cost::cpuPercent() const
{
    const double seconds = secondsBetween(*this);
    return seconds <= 0 ? 0 : (last.cpuSeconds - first.cpuSeconds) / seconds * kPercent;
}

double process_cost::peerKilobytesPerSecond() const
{
    const double seconds = secondsBetween(*this);
    if (seconds <= 0 || !firstPeerBytes || !lastPeerBytes) {
        return 0;
    }
    return (*lastPeerBytes - *firstPeerBytes) / seconds / kBytesPerKilobyte;
}

cost_sampler::cost_sampler(bench_loop &loop, const std::vector<target_process> &processes,
                           milliseconds period)
    : m_loop(loop)
    , m_period(period)
{
    for (const target_process &process : processes) {
        process_cost cost;
        cost.process = process;
        m_costs.push_back(std::move(cost));
    }
}

void cost_sampler::sample()
{
    if (m_stopped) {
        return;
    }
    std::ranges::for_each(m_costs, [this](process_cost &cost) { read(cost); });
    for (std::size_t i = 0; i < m_costs.size(); ++i) {
        readMetrics(i);
    }
    m_loop.after(m_period, [this] { sample(); });
}

void cost_sampler::finish()
{
    m_stopped = true;
    std::ranges::for_each(m_costs, [this](process_cost &cost) { read(cost); });
}

void cost_sampler::read(process_cost &cost)
{
    const auto stat = readFile(absl::StrCat("/proc/", cost.process.pid, "/stat"));
    if (!stat.ok()) {
        return;
    }
    std::optional<process_reading> reading = parseProcessStat(*stat);
    if (!reading) {
        return;
    }
    reading->at = m_loop.now();
    if (cost.maxResidentMegabytes == 0) {
        cost.first = *reading;
    }
    cost.last = *reading;
    cost.maxResidentMegabytes = std::max(cost.maxResidentMegabytes, reading->residentMegabytes);
}

void cost_sampler::readMetrics(std::size_t i)
{
    if (m_costs[i].process.http.empty()) {
        return;
    }
    call_http call;
    call.target = m_costs[i].process.http;
    call.method = "GET";
    call.path = "/metrics";
    http_call_listener listener;
    listener.onFinished = [this, i](const http_call_finished &result) {
        if (result.status != kHttpOk) {
            return;
        }
        process_cost &cost = m_costs[i];
        cost.lastPeerBytes = sumOfCounters(result.body, "jacinthvale_peer_bytes_");
        if (!cost.firstPeerBytes) {
            cost.firstPeerBytes = cost.lastPeerBytes;
        }
    };
    m_loop.call(call, std::move(listener));
}

} // namespace jacinthvale::bench
