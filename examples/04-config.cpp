/// Applies a change to the configuration and explains what a look-up gives.
#include <jacinthvale/config_change.h>

#include <iostream>

using namespace jacinthvale;

int main()
{
    const config_change_reading reading = readChange(R"({
        "changeId": "example-1",
        "baseRevision": 0,
        "reason": "an audit needs fresher samples",
        "set": {"samples.maxStalenessVersions": 3},
        "except": [{"key": "samples.maxStalenessVersions", "value": 1,
                    "scope": {"trainer": "trainer-0"}, "reason": "under audit"}]
    })");
    const wall_time now{milliseconds{1}};
    const config_application applied = applyChange(builtInDocument(), reading.change, "an operator", now);
    if (!reading.faults.empty() || !applied.faults.empty()) {
        std::cerr << toText(reading.faults) << toText(applied.faults) << '\n';
        return 1;
    }
    config_scope scope;
    scope.trainer = "trainer-0";
    const config_explanation why = explain(applied.document, "samples.maxStalenessVersions", scope, now);
    std::cout << "trainer-0 may lag by " << std::get<std::int64_t>(why.value) << " versions, by "
              << toString(why.decidedBy) << ": " << why.rule->reason << '\n';
    return 0;
}
