#include <jacinthvale/bench_main.h>

#include "bench_report.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace jacinthvale {

namespace {

constexpr int kExitNotAccounted = 1;
constexpr int kExitUsage = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("jvbench", "load and experiment tool of jacinthvale");
    options.add_options()("experiment", "JSON file with load, faults and seed",
                          cxxopts::value<std::string>())(
            "targets", "JSON file with addresses and process ids", cxxopts::value<std::string>())(
            "report", "file for the JSON report", cxxopts::value<std::string>()->default_value(""))(
            "check", "check both files and end")("help", "print this text");
    return options;
}

/// Reads one file and prints every fault in it.
template <typename Read>
auto load(const std::string &path, Read read)
{
    const absl::StatusOr<std::string> text = readFile(path);
    auto result = read(text.ok() ? *text : std::string());
    if (!text.ok()) {
        std::cerr << text.status() << '\n';
    }
    for (const json_fault &fault : result.problems) {
        std::cerr << path << ": " << fault.path << ": " << fault.problem << '\n';
    }
    return result;
}

bool allSetsKnown(const bench::experiment &what, const bench::bench_targets &targets)
{
    return std::ranges::all_of(what.variants, [&](const bench::experiment_variant &variant) {
        const bool known = std::ranges::find(targets.sets, variant.targetSet, &bench::target_set::name)
                           != targets.sets.end();
        if (!known) {
            std::cerr << "target set " << variant.targetSet << " is not in the targets file\n";
        }
        return known;
    });
}

int runExperiment(const bench::experiment &what, const bench::bench_targets &targets,
                  const std::string &reportPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    bench::bench_run run(what, targets, [](const std::string &line) { std::cerr << line << '\n'; });
    run.run();
    if (!reportPath.empty()) {
        std::ofstream(reportPath) << bench::renderJsonReport(run);
    }
    std::cout << bench::renderTable(run);
    return run.accountedFor() ? 0 : kExitNotAccounted;
}

int parseAndRun(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed.count("experiment") == 0 || parsed.count("targets") == 0) {
        std::cerr << "--experiment FILE and --targets FILE are required\n";
        return kExitUsage;
    }
    const auto what = load(parsed["experiment"].as<std::string>(), bench::readExperiment);
    const auto targets = load(parsed["targets"].as<std::string>(), bench::readTargets);
    if (!what.problems.empty() || !targets.problems.empty() || !allSetsKnown(what, targets)) {
        return kExitUsage;
    }
    return parsed.count("check") > 0 ? 0 : runExperiment(what, targets, parsed["report"].as<std::string>());
}

} // namespace

int benchMain(int argc, char **argv)
{
    try {
        return parseAndRun(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return kExitUsage;
    }
}

} // namespace jacinthvale
