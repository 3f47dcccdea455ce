#include "bench_targets.h"

namespace jacinthvale::bench {

namespace {

target_process readProcess(json_checker &item)
{
    target_process process;
    process.name = item.text("name");
    process.pid = item.integer("pid", 2, INT32_MAX);
    process.http = item.address("http", false);
    item.finish();
    return process;
}

target_set readSet(json_checker &item)
{
    target_set set;
    set.name = item.text("name");
    set.gates = item.addresses("gates");
    set.rollouts = item.addresses("rollouts");
    set.services = item.addresses("services");
    set.engines = item.addresses("engines");
    set.runCounters = item.addresses("runCounters");
    for (json_checker &process : item.objects("processes")) {
        set.processes.push_back(readProcess(process));
    }
    item.finish();
    return set;
}

} // namespace

bench_targets readTargets(const std::string &text)
{
    bench_targets targets;
    const nlohmann::json document = parseJson(text, targets.problems);
    json_checker checker(document, "$", targets.problems);
    for (json_checker &item : checker.objects("sets")) {
        targets.sets.push_back(readSet(item));
    }
    checker.finish();
    return targets;
}

} // namespace jacinthvale::bench
