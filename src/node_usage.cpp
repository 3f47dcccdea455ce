#include "node_step.h"

namespace jacinthvale::node {

void reportUsage(step &) {}

void onUsageReported(step &s, const usage_report &report, const call_ended &ended)
{
    s.log("usage-reported", std::to_string(report.window), "status " + std::to_string(ended.status));
}

} // namespace jacinthvale::node
