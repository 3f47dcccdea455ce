// Stand-in for a model engine: continuous batching, streams with weight versions, swaps, drains, KV transfer.
#include "engine_answers.h"
#include "service_loop.h"
#include "standin_main.h"
#include "token_batch.h"
#include "token_text.h"
#include "weight_loader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale::standin {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooMany = 429;
constexpr int kHttpUnavailable = 503;
constexpr int kPercent = 100;
constexpr std::size_t kMaxOrdersKept = 1000;

struct engine_options
{
    token_batch_limits batch;
    endpoint platform;
    milliseconds tokenTime{5};
    int batchCostPercent = 50;
    milliseconds swapTime{200};
    milliseconds fetchLimit{10000};
    bool checksFencing = false;
    std::string orderToken;
};

class engine
{
public:
    explicit engine(const engine_options &options)
        : m_options(options)
        , m_batch(options.batch)
        , m_weights(m_loop, options.platform, options.swapTime, options.fetchLimit)
    {
        m_loop.onRequest([this](const http_request_received &request) { handle(request); });
        m_loop.onAbandoned([this](exchange_id exchange) { abandoned(exchange); });
        m_loop.onControl("/counters", [this](const json &, json &answer) { return describe(answer); });
        m_loop.onFault("leave", [this](const json &body, json &) {
            m_leaving = body.value("on", true);
            return kHttpOk;
        });
        m_loop.onFault("fail_swap", [this](const json &body, json &) {
            m_weights.failNext({body.value("count", 1), body.value("unclear", false),
                                body.value("applied", false),
                                milliseconds{body.value("clearAfterMs", 2000)}});
            return kHttpOk;
        });
        m_loop.onFault("token_time", [this](const json &body, json &) {
            m_options.tokenTime = milliseconds{body.at("ms").get<int>()};
            return kHttpOk;
        });
        m_loop.onFault("cut_streams", [this](const json &, json &) { return cutStreams(); });
    }

    void addModel(const std::string &model, std::uint64_t version) { m_weights.addModel(model, version); }
    int run(const std::string &http, const std::string &control) { return m_loop.run(http, control); }

private:
    void handle(const http_request_received &request)
    {
        try {
            route(request);
        } catch (const json::exception &) {
            m_loop.refuse(request.exchange, kHttpBadRequest, "bad-request");
        }
    }

    void route(const http_request_received &request)
    {
        const json body = parseObject(request.body);
        if (request.path == "/status") {
            m_loop.reply(request.exchange, kHttpOk, status());
        } else if (request.path == "/v1/completions") {
            complete(request.exchange, body);
        } else if (request.path == "/orders/weights") {
            orderWeights(request, body);
        } else if (request.path == "/orders/drain") {
            orderDrain(request, body);
        } else if (request.path == "/kv/export") {
            exportCache(request.exchange, body);
        } else if (request.path == "/kv/import") {
            m_batch.importCache(body.at("request_id").get<std::string>());
            m_loop.reply(request.exchange, kHttpOk, json::object());
        } else {
            m_loop.refuse(request.exchange, kHttpNotFound, "unknown-path");
        }
    }

    json status() const
    {
        json models = json::array();
        for (const auto &[name, weights] : m_weights.models()) {
            models.push_back({{"model", name}, {"version", weights.reported}, {"clear", weights.clear}});
        }
        return {{"incarnation", m_loop.incarnation()},
                {"swapCounter", m_weights.swapCounter()},
                {"running", m_batch.running()},
                {"queued", m_batch.queued()},
                {"leaving", m_leaving},
                {"models", std::move(models)}};
    }

    void complete(exchange_id exchange, const json &body)
    {
        const std::string model = body.at("model").get<std::string>();
        if (m_leaving) {
            ++m_arrivalsWhileLeaving;
            m_loop.refuse(exchange, kHttpUnavailable, "leaving");
            return;
        }
        if (!m_weights.hasModel(model)) {
            m_loop.refuse(exchange, kHttpNotFound, "unknown-model");
            return;
        }
        const generation_request request{exchange,
                                         body.value("request_id", ""),
                                         body.at("prompt").get<std::string>(),
                                         std::max(body.value("max_tokens", 16), 1),
                                         std::max(body.value("resume_tokens", 0), 0),
                                         body.value("priority", 0),
                                         body.value("stream", false)};
        if (!m_batch.submit(request)) {
            ++m_refused;
            m_loop.refuse(exchange, kHttpTooMany, "queue-full");
            return;
        }
        m_answers.open(request, model);
        if (request.streamed) {
            m_loop.begin({exchange, kHttpOk, {{"Content-Type", "text/event-stream"}}});
        }
        scheduleStep();
    }

    void scheduleStep()
    {
        if (m_stepScheduled || m_batch.empty()) {
            return;
        }
        m_stepScheduled = true;
        const auto base = m_options.tokenTime * m_options.batch.tokensPerStep;
        const auto extra
                = base * m_options.batchCostPercent * m_batch.running() / (kPercent * m_options.batch.slots);
        m_loop.after(base + extra, [this] {
            m_stepScheduled = false;
            if (!m_weights.pausesGeneration()) {
                std::ranges::for_each(m_batch.step(), [this](const generation_step &s) { emitStep(s); });
            }
            scheduleStep();
        });
    }

    void emitStep(const generation_step &step)
    {
        const exchange_id exchange = step.request.exchange;
        const held_weights &weights = m_weights.weights(m_answers.modelOf(exchange));
        const std::string event = m_answers.append(step, weights.held, weights.reported);
        m_tokens += step.tokens;
        if (step.request.streamed) {
            m_loop.chunk({exchange, event});
        }
        if (!step.finished) {
            return;
        }
        ++m_completions;
        if (step.request.streamed) {
            m_loop.chunk({exchange, "data: [DONE]\n\n"});
            m_loop.end({exchange, false});
        } else {
            m_loop.reply(exchange, kHttpOk, m_answers.whole(exchange));
        }
        m_answers.close(exchange);
    }

    void abandoned(exchange_id exchange)
    {
        if (m_batch.cancel(exchange)) {
            ++m_cancelled;
        }
        m_answers.close(exchange);
    }

    int cutStreams()
    {
        for (const exchange_id exchange : m_answers.exchanges()) {
            m_batch.cancel(exchange);
            m_answers.close(exchange);
            m_loop.end({exchange, true});
        }
        return kHttpOk;
    }

    bool mayOrder(const http_request_received &request)
    {
        const auto header = request.headers.find("Authorization");
        const bool allowed
                = m_options.orderToken.empty()
                  || (header != request.headers.end() && header->second == "Bearer " + m_options.orderToken);
        if (!allowed) {
            m_loop.refuse(request.exchange, kHttpUnauthorized, "unauthorized");
        }
        return allowed;
    }

    /// @returns false after having refused an order with an old fencing number.
    bool admitOrder(const http_request_received &request, const json &body)
    {
        if (!mayOrder(request)) {
            return false;
        }
        const auto fencing = body.at("fencing").get<std::uint64_t>();
        m_staleOrders += fencing < m_highestFencing ? 1 : 0;
        if (m_options.checksFencing && fencing < m_highestFencing) {
            m_loop.reply(request.exchange, kHttpConflict, {{"highestFencing", m_highestFencing}});
            return false;
        }
        m_highestFencing = std::max(m_highestFencing, fencing);
        if (m_orders.size() < kMaxOrdersKept) {
            m_orders.push_back({{"path", request.path}, {"body", body}});
        }
        return true;
    }

    void orderWeights(const http_request_received &request, const json &body)
    {
        const std::string model = body.at("model").get<std::string>();
        const auto version = body.at("version").get<std::uint64_t>();
        if (!m_weights.hasModel(model)) {
            m_loop.refuse(request.exchange, kHttpNotFound, "unknown-model");
            return;
        }
        if (!admitOrder(request, body)) {
            return;
        }
        m_weights.swap(model, version, [this, exchange = request.exchange](bool inForce) {
            m_loop.reply(exchange, inForce ? kHttpOk : kHttpUnavailable,
                         {{"swapCounter", m_weights.swapCounter()}});
        });
    }

    void orderDrain(const http_request_received &request, const json &body)
    {
        if (admitOrder(request, body)) {
            m_leaving = true;
            m_loop.reply(request.exchange, kHttpOk, json::object());
        }
    }

    void exportCache(exchange_id exchange, const json &body)
    {
        const auto id = body.at("request_id").get<std::string>();
        const int tokens = m_batch.tokensOf(id);
        if (tokens < 0) {
            m_loop.refuse(exchange, kHttpNotFound, "unknown-request");
        } else {
            m_loop.reply(exchange, kHttpOk, {{"request_id", id}, {"tokens", tokens}});
        }
    }

    int describe(json &answer) const
    {
        json held = json::object();
        for (const auto &[name, weights] : m_weights.models()) {
            held[name] = weights.held;
        }
        answer = {{"completions", m_completions},
                  {"cancelled", m_cancelled},
                  {"refused", m_refused},
                  {"tokens", m_tokens},
                  {"cacheHits", m_batch.cacheHits()},
                  {"arrivalsWhileLeaving", m_arrivalsWhileLeaving},
                  {"staleOrders", m_staleOrders},
                  {"highestFencing", m_highestFencing},
                  {"orders", m_orders},
                  {"held", held}};
        return kHttpOk;
    }

    engine_options m_options;
    service_loop m_loop;
    token_batch m_batch;
    weight_loader m_weights;
    engine_answers m_answers;
    bool m_stepScheduled = false;
    bool m_leaving = false;
    std::uint64_t m_highestFencing = 0;
    json m_orders = json::array();
    int m_staleOrders = 0;
    int m_completions = 0;
    int m_cancelled = 0;
    int m_refused = 0;
    int m_arrivalsWhileLeaving = 0;
    std::int64_t m_tokens = 0;
};

engine_options readOptions(const cxxopts::ParseResult &parsed)
{
    engine_options options;
    options.batch.slots = parsed["slots"].as<int>();
    options.batch.maxQueued = parsed["max-queued"].as<int>();
    options.batch.tokensPerStep = parsed["tokens-per-step"].as<int>();
    options.batch.prefillSteps = parsed["prefill-steps"].as<int>();
    options.batch.stragglerOneIn = parsed["straggler-one-in"].as<int>();
    options.batch.stragglerFactor = parsed["straggler-factor"].as<int>();
    options.batchCostPercent = parsed["batch-cost-percent"].as<int>();
    options.platform = parseEndpoint(parsed["platform"].as<std::string>());
    options.tokenTime = milliseconds{parsed["token-ms"].as<int>()};
    options.swapTime = milliseconds{parsed["swap-ms"].as<int>()};
    options.checksFencing = parsed.count("checks-fencing") > 0;
    options.orderToken = parsed["order-token"].as<std::string>();
    return options;
}

int serve(const cxxopts::ParseResult &parsed)
{
    engine service(readOptions(parsed));
    for (const std::string &model : parsed["model"].as<std::vector<std::string>>()) {
        service.addModel(model, parsed["version"].as<std::uint64_t>());
    }
    return service.run(parsed["http"].as<std::string>(), parsed["control"].as<std::string>());
}

void addEngineOptions(cxxopts::Options &options)
{
    options.add_options()("model", "models, with commas between",
                          cxxopts::value<std::vector<std::string>>()->default_value("assessment"))(
            "version", "weights at the start", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "slots", "generations that run at a time", cxxopts::value<int>()->default_value("8"))(
            "max-queued", "generations that wait", cxxopts::value<int>()->default_value("64"))(
            "token-ms", "time of one token", cxxopts::value<int>()->default_value("5"))(
            "tokens-per-step", "tokens in one event", cxxopts::value<int>()->default_value("4"))(
            "prefill-steps", "steps before the first token", cxxopts::value<int>()->default_value("2"))(
            "batch-cost-percent", "how much slower a full batch is",
            cxxopts::value<int>()->default_value("50"))("straggler-one-in",
                                                        "one in so many generations is slow; 0: none",
                                                        cxxopts::value<int>()->default_value("0"))(
            "straggler-factor", "how much slower it is", cxxopts::value<int>()->default_value("8"))(
            "swap-ms", "pause of a swap", cxxopts::value<int>()->default_value("200"))(
            "platform", "IP:port of the weight store; none: no fetch",
            cxxopts::value<std::string>()->default_value(""))("checks-fencing",
                                                              "refuse orders with an old fencing number")(
            "order-token", "bearer token that orders must carry",
            cxxopts::value<std::string>()->default_value(""));
}

} // namespace

} // namespace jacinthvale::standin

int main(int argc, char **argv)
{
    cxxopts::Options options = jacinthvale::standin::makeOptions("standin_engine");
    jacinthvale::standin::addEngineOptions(options);
    return jacinthvale::standin::parseAndServe(options, argc, argv, jacinthvale::standin::serve);
}
