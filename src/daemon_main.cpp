#include <jacinthvale/daemon_main.h>

#include "daemon.h"
#include "log.h"

#include <csignal>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>

namespace jacinthvale {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr std::string_view kVersion = "0.1.0";

cxxopts::Options makeOptions(process_role role)
{
    cxxopts::Options options("jv" + std::string(toString(role)), "jacinthvale daemon");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
            "check-settings", "check the settings, print every fault, and end")(
            "version", "print the version")("help", "print this text");
    return options;
}

int runDaemon(process_settings settings)
{
    // The log stays quiet about writes to closed sockets; their connections report them.
    std::signal(SIGPIPE, SIG_IGN);
    setUpLog(settings.logLevel);
    daemon process(std::move(settings));
    if (const absl::Status status = process.start(); !status.ok()) {
        std::cerr << status << '\n';
        return kExitFailed;
    }
    return process.run();
}

int loadAndRun(process_role role, const cxxopts::ParseResult &parsed)
{
    const absl::StatusOr<std::string> text = readFile(parsed["settings"].as<std::string>());
    if (!text.ok()) {
        std::cerr << text.status() << '\n';
        return kExitUsage;
    }
    process_settings settings = readProcessSettings(*text, role);
    for (const json_fault &fault : settings.faults) {
        std::cerr << fault.path << ": " << fault.problem << '\n';
    }
    if (!settings.faults.empty()) {
        return kExitUsage;
    }
    if (parsed.count("check-settings") > 0) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return runDaemon(std::move(settings));
}

int parseAndRun(process_role role, int argc, char **argv)
{
    cxxopts::Options options = makeOptions(role);
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed.count("version") > 0) {
        std::cout << kVersion << '\n';
        return 0;
    }
    if (parsed.count("settings") == 0) {
        std::cerr << "--settings FILE is required\n";
        return kExitUsage;
    }
    return loadAndRun(role, parsed);
}

} // namespace

int daemonMain(process_role role, int argc, char **argv)
{
    try {
        return parseAndRun(role, argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return kExitUsage;
    }
}

} // namespace jacinthvale
