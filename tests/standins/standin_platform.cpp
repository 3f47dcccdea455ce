// Stand-in for the platform: table, object store, host list with a lag, and a rate-limited weight store.
#include "service_loop.h"
#include "standin_main.h"
#include "token_bucket.h"
#include "versioned_table.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace jacinthvale::standin {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooMany = 429;
constexpr int kMaxScanRows = 1000;
const std::string kObjectPrefix = "/objects/";
const std::string kWeightPrefix = "/weights/";

struct platform_options
{
    double readsPerSecond = 0;
    double writesPerSecond = 0;
    double weightBytesPerSecond = 0;
    int weightBytes = 0;
    milliseconds hostLag{0};
};

json toJson(const std::vector<store_row> &rows)
{
    json list = json::array();
    for (const store_row &row : rows) {
        list.push_back(
                {{"key", row.key}, {"version", row.version}, {"writeId", row.writeId}, {"value", row.value}});
    }
    return {{"rows", std::move(list)}};
}

store_transact readTransact(const json &body)
{
    store_transact what;
    what.writeId = body.at("writeId").get<std::string>();
    for (const json &check : body.value("checks", json::array())) {
        what.checks.push_back({check.at("key"), check.at("expectedVersion")});
    }
    for (const json &write : body.value("writes", json::array())) {
        what.writes.push_back({write.at("key"), write.at("expectedVersion"), write.value("value", ""),
                               write.value("remove", false)});
    }
    return what;
}

class platform
{
public:
    explicit platform(const platform_options &options)
        : m_options(options)
        , m_reads(options.readsPerSecond)
        , m_writes(options.writesPerSecond)
        , m_weightRate(options.weightBytesPerSecond)
        , m_hostLag(options.hostLag)
    {
        m_loop.onRequest([this](const http_request_received &request) { handle(request); });
        m_loop.onControl("/hosts",
                         [this](const json &body, json &answer) { return editHosts(body, answer); });
        m_loop.onControl("/counters", [this](const json &, json &answer) {
            answer = m_counters;
            answer["rows"] = m_table.size();
            return kHttpOk;
        });
        addFaults();
    }

    int run(const std::string &http, const std::string &control) { return m_loop.run(http, control); }

private:
    void addFaults()
    {
        m_loop.onFault("save_copy", [this](const json &, json &) {
            m_copy = m_table;
            return kHttpOk;
        });
        m_loop.onFault("restore_copy", [this](const json &body, json &) {
            m_table.restore(m_copy, body.value("withCounter", false));
            return kHttpOk;
        });
        m_loop.onFault("host_list_lag", [this](const json &body, json &) {
            m_hostLag = milliseconds{body.at("ms").get<int>()};
            return kHttpOk;
        });
        m_loop.onFault("weight_rate", [this](const json &body, json &) {
            m_weightRate = token_bucket(body.at("bytesPerSecond").get<double>());
            return kHttpOk;
        });
    }

    void count(const std::string &name) { m_counters[name] = m_counters.value(name, 0) + 1; }

    void handle(const http_request_received &request)
    {
        try {
            route(request);
        } catch (const json::exception &problem) {
            m_loop.reply(request.exchange, kHttpBadRequest, {{"error", problem.what()}});
        }
    }

    void route(const http_request_received &request)
    {
        const bool post = request.method == "POST";
        if (post && request.path == "/table/get") {
            readTable(request, [this](const json &body) { return m_table.get(body.at("key")); });
        } else if (post && request.path == "/table/scan") {
            readTable(request, [this](const json &body) {
                const int limit = std::min(body.value("limit", kMaxScanRows), kMaxScanRows);
                return m_table.scan({body.at("prefix"), body.value("after", ""), limit});
            });
        } else if (post && request.path == "/table/transact") {
            transact(request);
        } else if (request.path.starts_with(kObjectPrefix)) {
            handleObject(request);
        } else if (request.method == "GET" && request.path == "/hosts") {
            count("hostReads");
            m_loop.reply(request.exchange, kHttpOk, {{"hosts", visibleHosts()}});
        } else if (request.method == "GET" && request.path.starts_with(kWeightPrefix)) {
            serveWeights(request);
        } else {
            m_loop.reply(request.exchange, kHttpNotFound, {{"error", "unknown path"}});
        }
    }

    template <typename Read>
    void readTable(const http_request_received &request, Read read)
    {
        if (!m_reads.take(1, m_loop.now())) {
            overRate(request.exchange);
            return;
        }
        count("reads");
        m_loop.reply(request.exchange, kHttpOk, toJson(read(json::parse(request.body.str()))));
    }

    void transact(const http_request_received &request)
    {
        const store_transact what = readTransact(json::parse(request.body.str()));
        if (what.writeId.empty()) {
            m_loop.reply(request.exchange, kHttpBadRequest, {{"error", "writeId is required"}});
            return;
        }
        if (!m_writes.take(1, m_loop.now())) {
            overRate(request.exchange);
            return;
        }
        count("transactions");
        const auto outcome = m_table.transact(what);
        if (const auto *committed = std::get_if<store_committed>(&outcome)) {
            m_loop.reply(request.exchange, kHttpOk, {{"versions", committed->versions}});
        } else {
            count("conflicts");
            m_loop.reply(request.exchange, kHttpConflict, toJson(std::get<store_conflict>(outcome).rows));
        }
    }

    void overRate(exchange_id exchange)
    {
        count("overRate");
        m_loop.reply(exchange, kHttpTooMany, {{"error", "over the rate"}}, {{"Retry-After", "1"}});
    }

    void handleObject(const http_request_received &request)
    {
        const std::string key = request.path.substr(kObjectPrefix.size());
        if (request.method == "PUT") {
            count("objectWrites");
            m_objects[key] = request.body;
            m_loop.replyBytes(request.exchange, kHttpNoContent, "");
            return;
        }
        count("objectReads");
        const auto found = m_objects.find(key);
        if (found == m_objects.end()) {
            m_loop.reply(request.exchange, kHttpNotFound, {{"error", "no such object"}});
        } else {
            m_loop.replyBytes(request.exchange, kHttpOk, found->second);
        }
    }

    void serveWeights(const http_request_received &request)
    {
        if (!m_weightRate.take(m_options.weightBytes, m_loop.now())) {
            overRate(request.exchange);
            return;
        }
        count("weightReads");
        m_loop.replyBytes(request.exchange, kHttpOk,
                          std::string(static_cast<std::size_t>(m_options.weightBytes), 'w'),
                          {{"Content-Type", "application/octet-stream"}});
    }

    /// POST /hosts {"hosts"} replaces the list; {"upsert"} and {"remove"} change entries by host.
    int editHosts(const json &body, json &answer)
    {
        if (body.contains("hosts")) {
            m_hosts = json::object();
        }
        for (const char *const field : {"hosts", "upsert"}) {
            for (const json &entry : body.value(field, json::array())) {
                m_hosts[entry.at("host").get<std::string>()] = entry;
            }
        }
        for (const json &name : body.value("remove", json::array())) {
            m_hosts.erase(name.get<std::string>());
        }
        answer["hosts"] = m_hosts;
        if (!body.empty()) {
            m_hostHistory.push_back({m_loop.now() + m_hostLag, m_hosts});
        }
        return kHttpOk;
    }

    json visibleHosts()
    {
        while (!m_hostHistory.empty() && m_hostHistory.front().visibleFrom <= m_loop.now()) {
            m_visibleHosts = std::move(m_hostHistory.front().hosts);
            m_hostHistory.pop_front();
        }
        json list = json::array();
        for (const auto &item : m_visibleHosts.items()) {
            list.push_back(item.value());
        }
        return list;
    }

    struct host_edit
    {
        milliseconds visibleFrom;
        json hosts;
    };

    platform_options m_options;
    service_loop m_loop;
    versioned_table m_table;
    versioned_table m_copy;
    std::map<std::string, std::string> m_objects;
    json m_hosts = json::object();
    json m_visibleHosts = json::object();
    std::deque<host_edit> m_hostHistory;
    json m_counters = json::object();
    token_bucket m_reads;
    token_bucket m_writes;
    token_bucket m_weightRate;
    milliseconds m_hostLag;
};

int serve(const cxxopts::ParseResult &parsed)
{
    platform_options options;
    options.readsPerSecond = parsed["reads-per-second"].as<double>();
    options.writesPerSecond = parsed["writes-per-second"].as<double>();
    options.weightBytes = parsed["weight-bytes"].as<int>();
    options.weightBytesPerSecond = parsed["weight-bytes-per-second"].as<double>();
    options.hostLag = milliseconds{parsed["host-lag-ms"].as<int>()};
    platform service(options);
    return service.run(parsed["http"].as<std::string>(), parsed["control"].as<std::string>());
}

} // namespace

} // namespace jacinthvale::standin

int main(int argc, char **argv)
{
    cxxopts::Options options = jacinthvale::standin::makeOptions("standin_platform");
    options.add_options()("reads-per-second", "table reads; 0: no limit",
                          cxxopts::value<double>()->default_value("0"))(
            "writes-per-second", "transactions; 0: no limit", cxxopts::value<double>()->default_value("0"))(
            "weight-bytes", "size of one set of weights", cxxopts::value<int>()->default_value("65536"))(
            "weight-bytes-per-second", "rate of the weight store; 0: no limit",
            cxxopts::value<double>()->default_value("0"))("host-lag-ms", "age of the host list",
                                                          cxxopts::value<int>()->default_value("0"));
    return jacinthvale::standin::parseAndServe(options, argc, argv, jacinthvale::standin::serve);
}
