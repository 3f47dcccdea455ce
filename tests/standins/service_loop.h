/// Event loop that all stand-ins share: one port speaks the protocol, another one takes faults.
#pragma once

#include <jacinthvale/event_timer.h>
#include <jacinthvale/http_client.h>
#include <jacinthvale/http_server.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace jacinthvale::standin {

/// Faults that every stand-in knows. Each concerns only paths that begin with its path prefix.
struct fault_state
{
    /// Requests are refused with 503 before any effect.
    bool outage = false;
    std::string outagePath;
    /// This many requests are refused with 503 and the verdict not-run.
    int refusals = 0;
    std::string refusePath;
    /// Answers leave this much later.
    milliseconds slow{0};
    std::string slowPath;
    /// This many answers are replaced by a closed connection, after the effect.
    int droppedAnswers = 0;
    std::string dropPath;
    /// Requests get no answer for good, and have no effect.
    bool silent = false;
    /// With silent: the effect happens, only the answer never comes.
    bool silentAfterEffect = false;
    std::string silentPath;
};

/// Runs one stand-in until SIGTERM or SIGINT.
///
/// The fault port takes POST /fault {"kind": ...}: "outage" {"on"}, "refuse" {"count"}, "slow" {"ms"},
/// "drop_answer" {"count"}, "silent" {"on", "afterEffect"}, each with an optional "path" prefix, and "clear".
/// A stand-in may add kinds and paths of its own. GET /counters tells what happened so far.
class service_loop
{
public:
    using request_handler = std::function<void(const http_request_received &)>;
    /// @returns the status of the answer on the fault port.
    using control_handler = std::function<int(const nlohmann::json &body, nlohmann::json &answer)>;

    service_loop();
    ~service_loop();
    service_loop(const service_loop &) = delete;
    service_loop &operator=(const service_loop &) = delete;

    event_base *base() const { return m_base; }
    http_client &client() const { return *m_client; }
    std::uint64_t incarnation() const { return m_incarnation; }

    void onRequest(request_handler handler) { m_onRequest = std::move(handler); }
    void onAbandoned(std::function<void(exchange_id)> handler) { m_onAbandoned = std::move(handler); }
    void onFault(const std::string &kind, control_handler handler)
    {
        m_faultKinds[kind] = std::move(handler);
    }
    /// @param path of a POST or GET on the fault port.
    void onControl(const std::string &path, control_handler handler)
    {
        m_controls[path] = std::move(handler);
    }

    /// Answers whole, under the faults in force.
    void reply(exchange_id exchange, int status, const nlohmann::json &body, http_headers headers = {});
    void replyBytes(exchange_id exchange, int status, std::string body, http_headers headers = {});
    /// Refuses before any effect, with the verdict not-run.
    void refuse(exchange_id exchange, int status, const std::string &code);
    void begin(const begin_reply &answer) { m_server->begin(answer); }
    void chunk(const reply_chunk &answer) { m_server->chunk(answer); }
    void end(const end_reply &answer) { m_server->end(answer); }

    /// Calls a function once, later.
    void after(milliseconds delay, std::function<void()> action);
    milliseconds now() const;

    /// Listens, prints the addresses as one JSON line, and serves.
    /// @returns the exit code.
    int run(const std::string &httpAddress, const std::string &controlAddress);

private:
    struct open_exchange
    {
        std::string path;
        bool neverAnswered = false;
    };

    void take(http_request_received request);
    void control(const http_request_received &request);
    int applyFault(const nlohmann::json &body, nlohmann::json &answer);
    void send(exchange_id exchange, int status, const http_headers &headers, const std::string &body);
    void announce() const;

    event_base *m_base;
    std::uint64_t m_incarnation;
    std::string m_httpAddress;
    std::string m_controlAddress;
    fault_state m_faults;
    std::map<exchange_id, open_exchange> m_open;
    request_handler m_onRequest;
    std::function<void(exchange_id)> m_onAbandoned;
    std::map<std::string, control_handler> m_faultKinds;
    std::map<std::string, control_handler> m_controls;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_control;
};

/// Parses a JSON object; anything else gives an empty object.
nlohmann::json parseObject(const std::string &text);

} // namespace jacinthvale::standin
