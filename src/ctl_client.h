/// Calls to daemons for the operators' command line.
#pragma once

#include <jacinthvale/http_client.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

struct event_base;

namespace jacinthvale {

/// How one call ended.
struct ctl_answer
{
    endpoint daemon;
    transfer_outcome outcome = transfer_outcome::nothing_sent;
    int status = 0;
    /// An empty object where the body is not JSON.
    nlohmann::json body = nlohmann::json::object();

    bool arrived() const { return outcome == transfer_outcome::complete; }
};

/// Makes blocking calls on its own event loop.
class ctl_client
{
public:
    /// @param token bearer token; empty for none.
    /// @param timeout longest wait for a connection, and for an answer.
    ctl_client(std::string token, milliseconds timeout);
    ~ctl_client();
    ctl_client(const ctl_client &) = delete;
    ctl_client &operator=(const ctl_client &) = delete;

    ctl_answer get(const endpoint &daemon, const std::string &path);
    ctl_answer post(const endpoint &daemon, const std::string &path, const nlohmann::json &body);

    /// Asks all daemons side by side; the answers come in the order of the daemons.
    std::vector<ctl_answer> getAll(const std::vector<endpoint> &daemons, const std::string &path);

private:
    call_http makeCall(const endpoint &daemon, const std::string &method, const std::string &path) const;
    void start(const call_http &call, ctl_answer &answer);
    void finish();

    std::string m_token;
    milliseconds m_timeout;
    event_base *m_base;
    std::unique_ptr<http_client> m_client;
    std::size_t m_running = 0;
};

/// Percent-encodes a path segment or query value.
std::string encodeUri(const std::string &text);

} // namespace jacinthvale
