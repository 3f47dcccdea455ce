/// Command line that all stand-ins share.
#pragma once

#include <cxxopts.hpp>
#include <iostream>
#include <string>

namespace jacinthvale::standin {

/// Adds the options of every stand-in.
inline cxxopts::Options makeOptions(const std::string &name)
{
    cxxopts::Options options(name, "stand-in for tests and the demo");
    options.add_options()("http", "IP:port to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
            "control", "IP:port that takes faults",
            cxxopts::value<std::string>()->default_value("127.0.0.1:0"))("help", "print this text");
    return options;
}

/// Parses the command line and runs the stand-in.
/// @param serve takes the parsed options and returns the exit code.
template <typename Serve>
int parseAndServe(cxxopts::Options &options, int argc, char **argv, Serve serve)
{
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return serve(parsed);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}

} // namespace jacinthvale::standin
