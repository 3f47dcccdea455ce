#include "process_harness.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace jacinthvale::testing {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};
constexpr int kExecFailed = 127;
constexpr int kOutputMode = 0600;

std::string readWhole(const std::filesystem::path &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream content;
    content << in.rdbuf();
    return std::move(content).str();
}

/// Runs in the forked child: only async-signal-safe calls.
[[noreturn]] void becomeBinary(const char *path, char *const *arguments, const char *outputFile)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(outputFile, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kOutputMode);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(path, arguments);
    _exit(kExecFailed);
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(kPollPeriod);
    }
    return true;
}

std::filesystem::path binaryFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

temporary_folder::temporary_folder()
{
    std::string name = (std::filesystem::temp_directory_path() / "jacinthvale-test-XXXXXX").string();
    m_path = mkdtemp(name.data());
}

temporary_folder::~temporary_folder()
{
    if (std::getenv("JACINTHVALE_KEEP_TEST_FILES") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

std::filesystem::path temporary_folder::write(const std::string &name, const std::string &content) const
{
    const std::filesystem::path file = m_path / name;
    std::ofstream(file, std::ios::binary) << content;
    return file;
}

child_process::child_process(const std::string &binary, const std::vector<std::string> &arguments,
                             const std::filesystem::path &outputFile)
    : m_outputFile(outputFile)
{
    const std::string path = (binaryFolder() / binary).string();
    std::vector<std::string> all = {path};
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    for (std::string &argument : all) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    const std::string output = outputFile.string();
    m_pid = fork();
    if (m_pid == 0) {
        becomeBinary(path.c_str(), pointers.data(), output.c_str());
    }
}

child_process::~child_process()
{
    if (running()) {
        signal(SIGKILL);
        wait();
    }
}

bool child_process::running()
{
    if (m_exitCode) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return !m_exitCode;
}

void child_process::signal(int number) const
{
    if (!m_exitCode) {
        kill(m_pid, number);
    }
}

std::optional<int> child_process::wait()
{
    waitUntil([this] { return !running(); });
    return m_exitCode;
}

bool child_process::waitForAddresses()
{
    return waitUntil([this] { return readAddresses() || !running(); }) && !m_http.empty();
}

bool child_process::readAddresses()
{
    std::istringstream lines(output());
    std::string line;
    while (std::getline(lines, line)) {
        const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
        if (!lines.eof() && entry.is_object() && entry.value("what", "") == "listening") {
            m_http = parseEndpoint(entry.value("http", ""));
            m_control = parseEndpoint(entry.value("control", ""));
            m_peer = parseEndpoint(entry.value("peer", ""));
            m_incarnation = entry.value("incarnation", std::uint64_t{0});
            return true;
        }
    }
    return false;
}

std::string child_process::output() const
{
    return readWhole(m_outputFile);
}

} // namespace jacinthvale::testing
