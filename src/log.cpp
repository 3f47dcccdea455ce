#include "log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace jacinthvale {

namespace {

el::Configurations makeConfiguration(const std::string &level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    if (level == "off") {
        configuration.setGlobally(el::ConfigurationType::Enabled, "false");
    }
    return configuration;
}

} // namespace

void setUpLog(const std::string &level)
{
    el::Loggers::reconfigureAllLoggers(makeConfiguration(level));
}

void writeLogLine(const std::string &line)
{
    LOG(INFO) << line;
}

} // namespace jacinthvale
