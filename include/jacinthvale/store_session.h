/// Carries operations to the platform's store through slow, lost and unclear answers.
///
/// A transaction whose answer was lost is sent again unchanged: every write is conditional, so at most one
/// copy takes effect. When a later copy meets a conflict, the write id in the rows tells whether an earlier
/// copy won. A breaker fails operations at once while the store does not answer, and lets one through to
/// probe it.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/store.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Names one HTTP attempt of an operation.
using store_attempt_id = number_id<struct store_attempt_tag>;

/// Send this request to the store.
struct store_attempt
{
    store_attempt_id id;
    std::string method;
    std::string path;
    std::string body;
    milliseconds timeout{0};

    auto operator<=>(const store_attempt &) const = default;
};

/// What a store_session asks its owner to do: make an attempt, or hand an outcome to the operation's owner.
using store_action = std::variant<store_attempt, store_answered>;

/// Pace of attempts and breaker.
struct store_pace
{
    milliseconds attemptTimeout{2000};
    milliseconds firstBackoff{50};
    milliseconds maxBackoff{2000};
    /// Attempts in a row without an answer that open the breaker.
    int breakerFailures = 5;
    milliseconds breakerPause{1000};
};

/// State machine of all store operations of a process. Pure: time and results come in, actions go out.
class store_session
{
public:
    explicit store_session(store_pace pace = {})
        : m_pace(pace)
    {}

    /// Begins an operation.
    std::vector<store_action> submit(const call_store &call, const context &at);

    /// Takes in how an attempt ended.
    std::vector<store_action> finished(store_attempt_id attempt, const http_call_finished &result,
                                       const context &at);

    /// Sends what has waited long enough and ends what is past its deadline. Call it every kTickPeriod.
    std::vector<store_action> advance(const context &at);

    /// @returns true while the breaker keeps new operations away from the store.
    bool isOpen(instant now) const
    {
        return m_consecutiveFailures >= m_pace.breakerFailures && now < m_openUntil;
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
        /// Some copy was sent and got no answer.
        bool lostAnswer = false;
    };
    using running_map = std::map<std::uint64_t, running_operation>;

    store_attempt makeAttempt(running_operation &running, const context &at);
    void noteAnswer(bool answered, instant now);
    void scheduleRetry(running_operation &running, const context &at) const;
    static store_outcome outcomeWithoutAnswer(const running_operation &running, const std::string &reason);
    std::optional<store_outcome> judge(const running_operation &running,
                                       const http_call_finished &result) const;

    store_pace m_pace;
    running_map m_running;
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_lastAttempt = 0;
    int m_consecutiveFailures = 0;
    instant m_openUntil{};
};

} // namespace jacinthvale
