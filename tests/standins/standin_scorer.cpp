// Stand-in for a service that scores samples. The score depends on the text alone.
#include "service_loop.h"
#include "standin_main.h"
#include "worker_pool.h"

#include <nlohmann/json.hpp>

namespace jacinthvale::standin {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
constexpr std::uint64_t kScoreSteps = 1001;

class scorer
{
public:
    explicit scorer(const worker_pool_limits &limits)
        : m_pool(m_loop, limits)
    {
        m_loop.onRequest([this](const http_request_received &request) { handle(request); });
        m_loop.onAbandoned([this](exchange_id exchange) { m_pool.cancelQueued(exchange); });
        m_loop.onControl("/counters", [this](const json &, json &answer) {
            answer = {{"scored", m_scored}, {"refused", m_pool.refused()}};
            return kHttpOk;
        });
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
            m_loop.reply(request.exchange, kHttpOk,
                         {{"incarnation", m_loop.incarnation()},
                          {"swapCounter", 0},
                          {"running", m_pool.running()},
                          {"queued", m_pool.queued()},
                          {"leaving", m_leaving},
                          {"models", json::array()}});
        } else if (request.method == "POST" && request.path == "/score") {
            score(request);
        } else {
            m_loop.reply(request.exchange, kHttpNotFound, {{"error", "unknown path"}});
        }
    }

    void score(const http_request_received &request)
    {
        const json body = parseObject(request.body);
        if (m_leaving) {
            m_loop.refuse(request.exchange, kHttpUnavailable, "leaving");
        } else if (!body.contains("prompt") || !body.contains("text") || !body["text"].is_string()) {
            m_loop.refuse(request.exchange, kHttpBadRequest, "bad-request");
        } else {
            m_pool.submit(request.exchange, [this, exchange = request.exchange, text = body["text"]] {
                m_pool.finishLater([this, exchange, text] { answer(exchange, text); });
            });
        }
    }

    void answer(exchange_id exchange, const std::string &text)
    {
        ++m_scored;
        const auto steps = static_cast<double>(stableHash(text) % kScoreSteps);
        m_loop.reply(exchange, kHttpOk, {{"score", steps / static_cast<double>(kScoreSteps - 1)}});
    }

    service_loop m_loop;
    worker_pool m_pool;
    int m_scored = 0;
    bool m_leaving = false;
};

int serve(const cxxopts::ParseResult &parsed)
{
    scorer service(readPoolLimits(parsed));
    return service.run(parsed["http"].as<std::string>(), parsed["control"].as<std::string>());
}

} // namespace

} // namespace jacinthvale::standin

int main(int argc, char **argv)
{
    cxxopts::Options options = jacinthvale::standin::makeOptions("standin_scorer");
    jacinthvale::standin::addPoolOptions(options);
    return jacinthvale::standin::parseAndServe(options, argc, argv, jacinthvale::standin::serve);
}
