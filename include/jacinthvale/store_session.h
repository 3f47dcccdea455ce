/// Retries operations on the store of the platform when answers are slow, lost or ambiguous.
///
/// A transaction whose answer was lost is repeated unchanged: every write is conditional, so at most one
/// attempt takes effect. If a later one gets a conflict, the write id in the rows shows whether an earlier
/// one committed. A circuit breaker fails operations immediately while the store does not answer. After
/// breakerOpenTime it lets operations through as probes; the next failed attempt opens it again.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/store.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Identifies one HTTP attempt of an operation.
using store_attempt_id = number_id<struct store_attempt_tag>;

/// HTTP request to be sent to the store.
struct store_attempt
{
    store_attempt_id id;
    std::string method;
    std::string path;
    std::string body;
    milliseconds timeout{0};

    auto operator<=>(const store_attempt &) const = default;
};

/// Output of a store_session: an attempt to send, or an outcome to deliver to the owner of the operation.
using store_action = std::variant<store_attempt, store_call_finished>;

/// Timeouts and limits of retries and of the circuit breaker.
struct store_retry_policy
{
    milliseconds attemptTimeout{2000};
    milliseconds initialBackoff{50};
    milliseconds maxBackoff{2000};
    /// Consecutive attempts without an answer that open the breaker.
    int breakerFailureThreshold = 5;
    milliseconds breakerOpenTime{1000};
};

/// State machine of all store operations of a process. It does no I/O and reads no clock: the caller passes
/// times and results in and executes the returned actions.
class store_session
{
public:
    explicit store_session(store_retry_policy retryPolicy = {})
        : m_retryPolicy(retryPolicy)
    {}

    /// Starts an operation, or fails it immediately while the breaker is open.
    std::vector<store_action> submit(const call_store &call, const context &ctx);

    /// Processes the result of an attempt.
    std::vector<store_action> finished(store_attempt_id attempt, const http_call_finished &result,
                                       const context &ctx);

    /// Retries operations whose backoff has elapsed and ends those past their deadline. Must be called every
    /// kTickPeriod.
    std::vector<store_action> advance(const context &ctx);

    /// @returns true while the breaker rejects new operations.
    bool isBreakerOpen(instant now) const
    {
        return m_consecutiveFailures >= m_retryPolicy.breakerFailureThreshold && now < m_openUntil;
    }

    std::size_t runningOperations() const { return m_running.size(); }

private:
    struct running_operation
    {
        call_store call;
        instant deadline{};
        instant notBefore{};
        std::optional<store_attempt_id> attempt;
        int attempts = 0;
        /// True if an attempt was sent and got no answer.
        bool lostAnswer = false;
    };
    using running_map = std::map<std::uint64_t, running_operation>;

    store_attempt startAttempt(running_operation &running, const context &ctx);
    void updateBreaker(bool answered, instant now);
    void scheduleRetry(running_operation &running, const context &ctx) const;
    static store_outcome outcomeWithoutAnswer(const running_operation &running, const std::string &reason);
    std::optional<store_outcome> interpretResponse(const running_operation &running,
                                                   const http_call_finished &result) const;

    store_retry_policy m_retryPolicy;
    running_map m_running;
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_lastAttempt = 0;
    int m_consecutiveFailures = 0;
    instant m_openUntil{};
};

} // namespace jacinthvale
