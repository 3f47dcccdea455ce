// Stand-in for a plain service: runs calls on a few workers and counts the runs of each key and body.
#include "service_loop.h"
#include "standin_main.h"
#include "worker_pool.h"

#include <nlohmann/json.hpp>

namespace jacinthvale::standin {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
const std::string kServicePrefix = "/v1/services/";

class plain_service
{
public:
    explicit plain_service(const worker_pool_limits &limits)
        : m_pool(m_loop, limits)
    {
        m_loop.onRequest([this](const http_request_received &request) { handle(request); });
        m_loop.onAbandoned([this](exchange_id exchange) { m_pool.cancelQueued(exchange); });
        m_loop.onControl("/counters", [this](const json &, json &answer) { return describe(answer); });
        m_loop.onFault("leave", [this](const json &body, json &) {
            m_leaving = body.value("on", true);
            return kHttpOk;
        });
    }

    int run(const std::string &http, const std::string &control) { return m_loop.run(http, control); }

private:
    void handle(const http_request_received &request)
    {
        if (request.path == "/status") {
            m_loop.reply(request.exchange, kHttpOk, status());
        } else if (request.method == "POST" && request.path.starts_with(kServicePrefix)) {
            call(request);
        } else {
            m_loop.reply(request.exchange, kHttpNotFound, {{"error", "unknown path"}});
        }
    }

    json status() const
    {
        return {{"incarnation", m_loop.incarnation()}, {"swapCounter", 0},     {"running", m_pool.running()},
                {"queued", m_pool.queued()},           {"leaving", m_leaving}, {"models", json::array()}};
    }

    void call(const http_request_received &request)
    {
        if (m_leaving) {
            ++m_arrivalsWhileLeaving;
            m_loop.refuse(request.exchange, kHttpUnavailable, "leaving");
            return;
        }
        const auto key = request.headers.find("Idempotency-Key");
        const std::string name = key == request.headers.end() ? request.body.str() : key->second;
        m_pool.submit(request.exchange, [this, request, name] { begin(request, name); });
    }

    /// The run counts from its first moment, whether or not its answer arrives.
    void begin(const http_request_received &request, const std::string &name)
    {
        const int runs = ++m_runs[name];
        ++m_bodies[request.body];
        ++m_totalRuns;
        m_pool.finishLater([this, request, runs] {
            m_loop.reply(request.exchange, kHttpOk,
                         {{"service", request.path.substr(kServicePrefix.size())},
                          {"body", request.body},
                          {"run", runs}},
                         {{"Content-Type", "application/json"}});
        });
    }

    int describe(json &answer) const
    {
        answer = {{"totalRuns", m_totalRuns},
                  {"runs", m_runs},
                  {"bodies", m_bodies},
                  {"arrivalsWhileLeaving", m_arrivalsWhileLeaving},
                  {"refused", m_pool.refused()}};
        return kHttpOk;
    }

    service_loop m_loop;
    worker_pool m_pool;
    /// By idempotency key, or by body where there is none.
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_bodies;
    int m_totalRuns = 0;
    int m_arrivalsWhileLeaving = 0;
    bool m_leaving = false;
};

int serve(const cxxopts::ParseResult &parsed)
{
    plain_service service(readPoolLimits(parsed));
    return service.run(parsed["http"].as<std::string>(), parsed["control"].as<std::string>());
}

} // namespace

} // namespace jacinthvale::standin

int main(int argc, char **argv)
{
    cxxopts::Options options = jacinthvale::standin::makeOptions("standin_service");
    jacinthvale::standin::addPoolOptions(options);
    return jacinthvale::standin::parseAndServe(options, argc, argv, jacinthvale::standin::serve);
}
