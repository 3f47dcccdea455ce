#include <jacinthvale/ctl_main.h>

#include "ctl_commands.h"
#include "json_checker.h"

#include <absl/strings/ascii.h>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace jacinthvale {

namespace {

constexpr std::string_view kCommandsText = R"(
Commands:
  config show | history | status | diff REVISION REVISION | change CHANGE-ID
  config set KEY VALUE          --reason TEXT
  config unset KEY              --reason TEXT [--scope ...]
  config except KEY VALUE       --scope FIELD=VALUE,... --reason TEXT [--expires-in SECONDS]
  config repair                 --reason TEXT
  explain KEY                   [--scope FIELD=VALUE,...]
  status
  upstream drain UPSTREAM       --reason TEXT
  timeline                      [--id ID]
  steps LOG...                  [--plot FILE]  where the time of each training step went, from logs of jvnode
Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 unknown.
)";

std::string environment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("jvctl", "Changes and watches a fleet of jacinthvale daemons");
    options.positional_help("COMMAND");
    options.add_options()("daemons", "IP:port,... of daemons; else JACINTHVALE_DAEMONS",
                          cxxopts::value<std::vector<std::string>>())(
            "token-file", "file with the bearer token; else JACINTHVALE_TOKEN",
            cxxopts::value<std::string>())("json", "print JSON")("reason", "written reason",
                                                                 cxxopts::value<std::string>())(
            "change-id", "repeat a change under its id", cxxopts::value<std::string>())(
            "base", "revision the change was decided on", cxxopts::value<std::string>())(
            "scope", "FIELD=VALUE pairs, comma-separated",
            cxxopts::value<std::vector<std::string>>())("expires-in", "seconds until the exception ends",
                                                        cxxopts::value<std::int64_t>()->default_value("0"))(
            "limit", "most revisions listed", cxxopts::value<std::int64_t>()->default_value("20"))(
            "timeout-ms", "longest wait for one answer",
            cxxopts::value<std::int64_t>()->default_value("8000"))("id", "only entries of this subject",
                                                                   cxxopts::value<std::string>())(
            "plot", "write a page with a lane for each model",
            cxxopts::value<std::string>())("alone", "commit although the daemon hears no peer")(
            "help", "print this text")("command", "command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command"});
    return options;
}

std::string textOf(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) == 0 ? std::string() : parsed[name].as<std::string>();
}

/// cxxopts splits list values at commas.
std::string listOf(const cxxopts::ParseResult &parsed, const std::string &name)
{
    std::string text;
    if (parsed.count(name) > 0) {
        for (const std::string &item : parsed[name].as<std::vector<std::string>>()) {
            text += (text.empty() ? "" : ",") + item;
        }
    }
    return text;
}

/// @returns false where an address is wrong or none is given.
bool readDaemons(const std::string &text, ctl_request &request)
{
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');) {
        request.daemons.push_back(parseEndpoint(item));
        if (request.daemons.back().empty()) {
            std::cerr << "\"" << item << "\" is not IP:port\n";
            return false;
        }
    }
    if (request.daemons.empty()) {
        std::cerr << "--daemons or JACINTHVALE_DAEMONS must name at least one daemon\n";
    }
    return !request.daemons.empty();
}

bool readToken(const cxxopts::ParseResult &parsed, ctl_request &request)
{
    request.token = environment("JACINTHVALE_TOKEN");
    if (parsed.count("token-file") > 0) {
        const auto content = readFile(parsed["token-file"].as<std::string>());
        if (!content.ok()) {
            std::cerr << content.status() << '\n';
            return false;
        }
        request.token = *content;
    }
    absl::StripAsciiWhitespace(&request.token);
    return true;
}

int parseAndRun(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help() << kCommandsText;
        return static_cast<int>(ctl_exit::done);
    }
    ctl_request request;
    if (parsed.count("command") > 0) {
        request.words = parsed["command"].as<std::vector<std::string>>();
    }
    request.json = parsed.count("json") > 0;
    if (!request.words.empty() && request.words.front() == "steps") {
        const std::vector<std::string> logs(request.words.begin() + 1, request.words.end());
        return static_cast<int>(runStepsCommand({logs, request.json, textOf(parsed, "plot")}));
    }
    const std::string daemons = listOf(parsed, "daemons");
    if (!readDaemons(daemons.empty() ? environment("JACINTHVALE_DAEMONS") : daemons, request)
        || !readToken(parsed, request)) {
        return static_cast<int>(ctl_exit::usage);
    }
    request.alone = parsed.count("alone") > 0;
    request.reason = textOf(parsed, "reason");
    request.changeId = textOf(parsed, "change-id");
    request.baseRevision = textOf(parsed, "base");
    request.timelineId = textOf(parsed, "id");
    request.scope = listOf(parsed, "scope");
    request.expiresInSeconds = parsed["expires-in"].as<std::int64_t>();
    request.limit = parsed["limit"].as<std::int64_t>();
    request.timeoutMs = parsed["timeout-ms"].as<std::int64_t>();
    return static_cast<int>(runCommand(request));
}

} // namespace

int ctlMain(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return parseAndRun(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return static_cast<int>(ctl_exit::usage);
    }
}

} // namespace jacinthvale
