#include "ctl_commands.h"

#include "ctl_change.h"
#include "ctl_output.h"
#include "ctl_steps.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;

std::string wordAt(const ctl_request &request, std::size_t index)
{
    return index < request.words.size() ? request.words[index] : std::string();
}

ctl_exit failWith(const std::string &message, ctl_exit code)
{
    std::cerr << message << '\n';
    return code;
}

/// The first daemon's whole answer; nothing where none answered.
std::optional<json> askAny(ctl_client &client, const ctl_request &request, const std::string &path)
{
    for (const endpoint &daemon : request.daemons) {
        const ctl_answer answer = client.get(daemon, path);
        if (answer.arrived() && answer.status == kHttpOk) {
            return answer.body;
        }
        std::cerr << toString(daemon) << ": "
                  << (answer.arrived() ? answer.body.dump() : std::string("did not answer")) << '\n';
    }
    return std::nullopt;
}

/// Asks any daemon and prints its answer by the function, or as JSON.
ctl_exit show(ctl_client &client, const ctl_request &request, const std::string &path,
              const std::function<std::string(const json &)> &render)
{
    const std::optional<json> answer = askAny(client, request, path);
    if (!answer) {
        return ctl_exit::failed;
    }
    std::cout << (request.json ? answer->dump() + "\n" : render(*answer));
    return ctl_exit::done;
}

std::string renderDocument(const json &document)
{
    std::vector<table_row> rows;
    const json defaults = document.value("defaults", json::object());
    for (const auto &item : defaults.items()) {
        rows.push_back({item.key(), "default", plain(item.value()), ""});
    }
    for (const json &rule : document.value("exceptions", json::array())) {
        rows.push_back({rule.value("key", ""), rule.value("scope", json::object()).dump(),
                        plain(rule.value("value", json())), rule.value("reason", "")});
    }
    return absl::StrCat("revision ", document.value("revision", std::uint64_t{0}), " by ",
                        document.value("author", ""), ": ", document.value("reason", ""), "\n",
                        renderTable({"KEY", "SCOPE", "VALUE", "REASON"}, rows));
}

std::string renderHistory(const json &history)
{
    std::vector<table_row> rows;
    for (const json &one : history.value("revisions", json::array())) {
        rows.push_back({plain(one.value("revision", json(0))), one.value("author", ""),
                        one.value("changeId", ""), one.value("reason", "")});
    }
    return renderTable({"REVISION", "AUTHOR", "CHANGE", "REASON"}, rows);
}

std::string renderExplanation(const json &why)
{
    std::string text = absl::StrCat(plain(why.value("value", json())), " by ", why.value("decidedBy", ""),
                                    " at revision ", why.value("revision", std::uint64_t{0}), "\n");
    if (why.contains("rule")) {
        const json &rule = why["rule"];
        absl::StrAppend(&text, "  ", rule.value("scope", json::object()).dump(), ": ",
                        rule.value("reason", ""), " (", rule.value("author", ""), ")\n");
    }
    for (const json &other : why.value("passedOver", json::array())) {
        const json rule = other.value("rule", json::object());
        absl::StrAppend(&text, "  not ", plain(rule.value("value", json())), " of ",
                        rule.value("scope", json::object()).dump(), ": it ", other.value("because", ""),
                        "\n");
    }
    return text;
}

ctl_exit showStatus(ctl_client &client, const ctl_request &request, const std::string &path,
                    const std::function<table_row(const ctl_answer &)> &rowOf, const table_row &head)
{
    const std::vector<ctl_answer> answers = client.getAll(request.daemons, path);
    std::vector<table_row> rows;
    json list = json::array();
    bool whole = true;
    for (const ctl_answer &answer : answers) {
        whole = whole && answer.arrived();
        list.push_back({{"daemon", toString(answer.daemon)},
                        {"answered", answer.arrived()},
                        {"status", answer.body}});
        rows.push_back(answer.arrived() ? rowOf(answer)
                                        : table_row{toString(answer.daemon), "did not answer"});
    }
    std::cout << (request.json ? list.dump() + "\n" : renderTable(head, rows));
    return whole ? ctl_exit::done : ctl_exit::failed;
}

ctl_exit showConfigStatus(ctl_client &client, const ctl_request &request)
{
    return showStatus(client, request, "/v1/config/status",
                      [](const ctl_answer &answer) {
                          const json &body = answer.body;
                          return table_row{toString(answer.daemon), plain(body.value("revision", json())),
                                           plain(body.value("ready", json())), body.value("problem", ""),
                                           plain(body.value("isolated", json()))};
                      },
                      {"DAEMON", "REVISION", "READY", "PROBLEM", "ISOLATED"});
}

ctl_exit showFleetStatus(ctl_client &client, const ctl_request &request)
{
    return showStatus(client, request, "/v1/status",
                      [](const ctl_answer &answer) {
                          const json &body = answer.body;
                          const json config = body.value("config", json::object());
                          return table_row{toString(answer.daemon),
                                           body.value("host", ""),
                                           body.value("role", ""),
                                           body.value("availabilityZone", ""),
                                           plain(body.value("stopping", json())),
                                           plain(config.value("revision", json()))};
                      },
                      {"DAEMON", "HOST", "ROLE", "ZONE", "STOPPING", "REVISION"});
}

ctl_exit showDifference(ctl_client &client, const ctl_request &request)
{
    const auto before = askAny(client, request, "/v1/config/revisions/" + encodeUri(wordAt(request, 2)));
    const auto after = askAny(client, request, "/v1/config/revisions/" + encodeUri(wordAt(request, 3)));
    if (!before || !after) {
        return ctl_exit::failed;
    }
    std::vector<table_row> rows;
    json list = json::array();
    for (const config_difference &one : compareDocuments(*before, *after)) {
        rows.push_back({one.what, one.before, one.after});
        list.push_back({{"what", one.what}, {"before", one.before}, {"after", one.after}});
    }
    std::cout << (request.json ? list.dump() + "\n" : renderTable({"RULE", "BEFORE", "AFTER"}, rows));
    return ctl_exit::done;
}

ctl_exit showTimeline(ctl_client &client, const ctl_request &request)
{
    const std::string path
            = "/v1/timeline" + (request.timelineId.empty() ? "" : "?id=" + encodeUri(request.timelineId));
    const merged_timeline merged = mergeTimelines(client.getAll(request.daemons, path));
    std::vector<table_row> rows;
    for (const json &entry : merged.entries) {
        rows.push_back(
                {absl::StrCat(plain(entry.value("ms", json(0))), ".", plain(entry.value("counter", json(0)))),
                 absl::StrCat(entry.value("host", ""), "/", entry.value("role", "")), entry.value("what", ""),
                 entry.value("subject", ""), entry.value("detail", "")});
    }
    if (request.json) {
        std::cout << json{{"entries", merged.entries}, {"gaps", merged.gaps}}.dump() << '\n';
    } else {
        std::cout << renderTable({"TIME", "PROCESS", "WHAT", "SUBJECT", "DETAIL"}, rows);
        std::ranges::for_each(merged.gaps,
                              [](const std::string &gap) { std::cout << "gap: " << gap << '\n'; });
    }
    return ctl_exit::done;
}

ctl_exit changeException(ctl_client &client, const ctl_request &request, bool drop)
{
    std::string problem;
    json rule = {{"key", wordAt(request, 2)}, {"scope", parseScope(request.scope, problem)}};
    if (!problem.empty()) {
        return failWith(problem, ctl_exit::usage);
    }
    if (drop) {
        return commitChange(client, request, "/v1/config/changes", {{"dropExceptions", json::array({rule})}});
    }
    rule["value"] = parseValue(wordAt(request, 3));
    rule["reason"] = request.reason;
    if (request.expiresInSeconds > 0) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto expires = now + std::chrono::seconds(request.expiresInSeconds);
        rule["expiresAt"] = std::chrono::duration_cast<milliseconds>(expires).count();
    }
    return commitChange(client, request, "/v1/config/changes", {{"except", json::array({rule})}});
}

ctl_exit explainKey(ctl_client &client, const ctl_request &request)
{
    std::string problem;
    const json scope = parseScope(request.scope, problem);
    if (!problem.empty()) {
        return failWith(problem, ctl_exit::usage);
    }
    std::string path = "/v1/config/explain?key=" + encodeUri(wordAt(request, 1));
    for (const auto &item : scope.items()) {
        path += "&" + item.key() + "=" + encodeUri(item.value().get<std::string>());
    }
    return show(client, request, path, renderExplanation);
}

ctl_exit drainUpstream(ctl_client &client, const ctl_request &request)
{
    const std::string path = "/v1/upstreams/" + encodeUri(wordAt(request, 2)) + "/drain";
    const ctl_answer answer = postChange(client, request.daemons, path, {{"reason", request.reason}});
    std::cout << answer.body.dump() << '\n';
    return answer.arrived() && answer.status < 300 ? ctl_exit::done : exitOf(answer);
}

struct ctl_command
{
    std::vector<std::string> words;
    std::size_t arguments = 0;
    std::function<ctl_exit(ctl_client &, const ctl_request &)> run;
};

const std::vector<ctl_command> &commands()
{
    static const std::string kChanges = "/v1/config/changes";
    static const std::vector<ctl_command> kCommands = {
            {{"config", "show"},
             0,
             [](auto &c, const auto &r) { return show(c, r, "/v1/config", renderDocument); }},
            {{"config", "set"},
             2,
             [](auto &c, const auto &r) {
                 return commitChange(c, r, kChanges, {{"set", {{r.words[2], parseValue(r.words[3])}}}});
             }},
            {{"config", "unset"},
             1,
             [](auto &c, const auto &r) {
                 return r.scope.empty() ? commitChange(c, r, kChanges, {{"unset", json::array({r.words[2]})}})
                                        : changeException(c, r, true);
             }},
            {{"config", "except"}, 2, [](auto &c, const auto &r) { return changeException(c, r, false); }},
            {{"config", "repair"},
             0,
             [](auto &c, const auto &r) { return commitChange(c, r, "/v1/config/repair", json::object()); }},
            {{"config", "history"},
             0,
             [](auto &c, const auto &r) {
                 return show(c, r, absl::StrCat("/v1/config/history?limit=", r.limit), renderHistory);
             }},
            {{"config", "change"},
             1,
             [](auto &c, const auto &r) {
                 return show(c, r, kChanges + "/" + encodeUri(r.words[2]),
                             [](const json &answer) { return answer.dump() + "\n"; });
             }},
            {{"config", "diff"}, 2, showDifference},
            {{"config", "status"}, 0, showConfigStatus},
            {{"explain"}, 1, explainKey},
            {{"status"}, 0, showFleetStatus},
            {{"upstream", "drain"}, 1, drainUpstream},
            {{"timeline"}, 0, showTimeline},
    };
    return kCommands;
}

} // namespace

json parseScope(const std::string &text, std::string &problem)
{
    static constexpr std::array<std::string_view, 5> kFields
            = {"deployment", "availabilityZone", "upstream", "trainer", "callerClass"};
    json scope = json::object();
    for (const absl::string_view part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::vector<std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.size() != 2 || std::ranges::find(kFields, pair[0]) == kFields.end() || pair[1].empty()) {
            problem = "--scope takes FIELD=VALUE,... with the fields "
                      + absl::StrJoin(std::vector<std::string>(kFields.begin(), kFields.end()), ", ");
            return json::object();
        }
        scope[pair[0]] = pair[1];
    }
    return scope;
}

json parseValue(const std::string &text)
{
    std::int64_t number = 0;
    if (text == "true" || text == "false") {
        return text == "true";
    }
    return absl::SimpleAtoi(text, &number) ? json(number) : json(text);
}

ctl_exit exitOf(const ctl_answer &answer)
{
    const std::string result = answer.body.value("result", "");
    if (result == "unknown") {
        return ctl_exit::unknown;
    }
    if (!answer.arrived()) {
        return ctl_exit::failed;
    }
    if (result == "accepted") {
        return ctl_exit::done;
    }
    if (result == "conflict") {
        return ctl_exit::conflict;
    }
    constexpr int kHttpBadRequest = 400;
    return answer.status >= kHttpBadRequest ? ctl_exit::refused : ctl_exit::failed;
}

ctl_exit runCommand(const ctl_request &request)
{
    const auto matches = [&](const ctl_command &command) {
        return request.words.size() == command.words.size() + command.arguments
               && std::equal(command.words.begin(), command.words.end(), request.words.begin());
    };
    const auto found = std::ranges::find_if(commands(), matches);
    if (found == commands().end()) {
        return failWith("no such command, or a wrong number of arguments; see jvctl --help", ctl_exit::usage);
    }
    ctl_client client(request.token, milliseconds{request.timeoutMs});
    return found->run(client, request);
}

ctl_exit runStepsCommand(const ctl_steps_request &request)
{
    if (request.logs.empty()) {
        std::cerr << "steps: name at least one log file\n";
        return ctl_exit::usage;
    }
    step_log_reader reader;
    for (const std::string &name : request.logs) {
        std::ifstream log(name);
        if (!log) {
            std::cerr << "steps: cannot open " << name << '\n';
            return ctl_exit::failed;
        }
        reader.read(log);
    }
    const step_report report = reader.makeReport();
    if (!request.plotFile.empty()) {
        std::ofstream page(request.plotFile);
        page << renderStepsPage(report);
        if (!page.flush()) {
            std::cerr << "steps: cannot write " << request.plotFile << '\n';
            return ctl_exit::failed;
        }
    }
    std::cout << (request.json ? stepsToJson(report).dump() + "\n" : renderSteps(report));
    return ctl_exit::done;
}

} // namespace jacinthvale
