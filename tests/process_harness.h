/// Starts daemons and stand-ins as processes of a test, and talks to them. Every process ends with the test.
#pragma once

#include <jacinthvale/http_client.h>
#include <jacinthvale/types.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

struct event_base;

namespace jacinthvale::testing {

/// Longest time that a test waits for a condition. Generous: only a broken test meets it.
inline constexpr std::chrono::seconds kWaitLimit{60};

/// Waits until the condition holds, looking every few milliseconds.
/// @returns false where it did not hold within kWaitLimit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = kWaitLimit);

/// Folder of the built binaries: that of the running test.
std::filesystem::path binaryFolder();

/// Folder that is removed with its content. With JACINTHVALE_KEEP_TEST_FILES set it stays.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    const std::filesystem::path &path() const { return m_path; }
    std::filesystem::path write(const std::string &name, const std::string &content) const;

private:
    std::filesystem::path m_path;
};

/// One process. It is killed when this object goes away or the test dies.
class child_process
{
public:
    /// Starts a binary; its output goes to a file in the folder.
    child_process(const std::string &binary, const std::vector<std::string> &arguments,
                  const std::filesystem::path &outputFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    pid_t pid() const { return m_pid; }
    bool running();
    void signal(int number) const;

    /// Waits for the end.
    /// @returns the exit code, minus the signal's number for a killed process, or nothing after kWaitLimit.
    std::optional<int> wait();

    /// Waits for the line that tells the addresses.
    /// @returns false where the process ended or was silent.
    bool waitForAddresses();

    const endpoint &http() const { return m_http; }
    /// Port of a stand-in that takes faults; empty for daemons.
    const endpoint &control() const { return m_control; }
    /// Port for peers of a daemon; empty for stand-ins.
    const endpoint &peer() const { return m_peer; }
    /// Incarnation that a stand-in printed.
    std::uint64_t incarnation() const { return m_incarnation; }
    std::string output() const;

private:
    bool readAddresses();

    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
    std::filesystem::path m_outputFile;
    endpoint m_http;
    endpoint m_control;
    endpoint m_peer;
    std::uint64_t m_incarnation = 0;
};

/// What became of a call. With outcome complete the status is that of the answer.
struct http_answer
{
    transfer_outcome outcome = transfer_outcome::nothing_sent;
    int status = 0;
    http_headers headers;
    std::string body;

    std::string header(const std::string &name) const;
    /// The body as JSON; an empty object where it is none.
    nlohmann::json json() const;
};

/// HTTP client for tests: blocking calls, and calls that run side by side.
class test_client
{
public:
    test_client();
    ~test_client();
    test_client(const test_client &) = delete;
    test_client &operator=(const test_client &) = delete;

    http_answer get(const endpoint &target, const std::string &path, const http_headers &headers = {});
    http_answer post(const endpoint &target, const std::string &path, const nlohmann::json &body,
                     const http_headers &headers = {});
    http_answer call(const call_http &what);

    /// Starts a call without waiting. For streamed calls the body grows while chunks arrive.
    std::size_t begin(const call_http &what);
    bool finished(std::size_t call) const;
    const http_answer &answerOf(std::size_t call) const;
    /// Closes the connection of a running call.
    void abandon(std::size_t call);
    /// Lets calls go on until the condition holds.
    bool pumpUntil(const std::function<bool()> &condition);

private:
    struct started_call
    {
        http_answer answer;
        bool finished = false;
        http_call_handle handle;
    };

    event_base *m_base;
    std::unique_ptr<http_client> m_client;
    std::vector<std::unique_ptr<started_call>> m_calls;
};

/// Shape of a fleet of processes on loopback.
struct fleet_shape
{
    std::string deployment = "misr";
    std::vector<std::string> zones = {"delta-a", "delta-b", "delta-c"};
    int engines = 0;
    int services = 0;
    int scorers = 0;
    int gates = 0;
    int rollouts = 0;
    int fleets = 0;
    std::string serviceName = "quotation";
    std::vector<std::string> platformOptions;
    std::vector<std::string> engineOptions;
    std::vector<std::string> serviceOptions;
    std::vector<std::string> scorerOptions;
    /// Fields that replace those of every daemon's settings.
    nlohmann::json daemonSettings = nlohmann::json::object();
    /// Entries of the host list without a process of this fleet.
    nlohmann::json otherHosts = nlohmann::json::array();
};

/// Role of a process in a fleet, as in the platform's host list.
enum class fleet_role : std::uint8_t { engine, service, scorer, gate, rollout, fleet };

/// One process of a fleet with its entry in the host list.
struct fleet_member
{
    std::string host;
    fleet_role role = fleet_role::gate;
    std::string zone;
    std::string state = "live";
    std::unique_ptr<child_process> process;
    std::uint64_t incarnation = 0;
};

/// A platform, upstreams and daemons, all running.
class fleet
{
public:
    /// Starts everything and publishes the host list. Look at started() first.
    explicit fleet(fleet_shape shape);

    bool started() const { return m_started; }
    test_client &client() { return m_client; }
    child_process &platform() { return *m_platform; }
    child_process &engine(std::size_t i) { return *member(fleet_role::engine, i).process; }
    child_process &service(std::size_t i) { return *member(fleet_role::service, i).process; }
    child_process &scorer(std::size_t i) { return *member(fleet_role::scorer, i).process; }
    child_process &gate(std::size_t i) { return *member(fleet_role::gate, i).process; }
    child_process &rollout(std::size_t i) { return *member(fleet_role::rollout, i).process; }
    child_process &watcher(std::size_t i) { return *member(fleet_role::fleet, i).process; }
    fleet_member &member(fleet_role role, std::size_t i);
    std::vector<fleet_member *> daemons();

    /// Sends the present members to the platform's host list.
    void publishHosts();
    /// Kills a member and starts its successor: same host, new ports and incarnation. Publishes the list.
    bool replace(fleet_role role, std::size_t i);
    /// Starts one more member. Publishes the list.
    /// @returns nothing where the process did not start.
    fleet_member *add(fleet_role role);

    /// Posts a fault to a stand-in. @returns true where it took it.
    bool fault(const child_process &standin, const nlohmann::json &what);
    /// GET /counters of a stand-in.
    nlohmann::json counters(const child_process &standin);
    /// GET /v1/status of a daemon.
    nlohmann::json status(const child_process &daemon);
    bool ready(const child_process &daemon);
    /// Waits until every daemon answers 200 on /readyz.
    bool waitReady();

    http_headers operatorHeaders() const;
    /// Trainers "trainer-0" to "trainer-5" are known.
    http_headers trainerHeaders(const std::string &trainer) const;

private:
    bool startPlatform();
    bool launch(fleet_member &member);
    bool startAll(fleet_role role, int count);
    std::vector<std::string> argumentsOf(const fleet_member &member);
    std::filesystem::path writeSettings(const fleet_member &member);
    nlohmann::json hostEntry(const fleet_member &member) const;

    fleet_shape m_shape;
    temporary_folder m_folder;
    test_client m_client;
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<fleet_member>> m_members;
    int m_startedProcesses = 0;
    bool m_started = false;
};

/// @returns the lower-case hex digits of a SHA-256, as settings want them for tokens.
std::string sha256Digits(const std::string &text);

} // namespace jacinthvale::testing
