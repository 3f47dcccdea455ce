/// Decides which connections of a process are closed or refused so that it stays within its memory and
/// descriptors.
#pragma once

#include <jacinthvale/types.h>

#include <optional>
#include <string_view>
#include <vector>

namespace jacinthvale {

/// What a connection is doing.
enum class connection_stage : std::uint8_t {
    /// No byte of the next request has arrived.
    idle,
    /// The head of a request arrives.
    head,
    /// The head is complete; the body is not read before there is room for it.
    waiting,
    /// The body of a request arrives.
    body,
    /// A complete request is being worked on.
    exchange,
    /// The answer is complete, and the caller has not taken all of it.
    answering,
    /// Refused; bytes that were on their way are dropped so that the refusal is not lost in a reset.
    closing,
    /// The response to a request of this process arrives.
    response,
    /// More of a response has arrived; it is not read before there is room for it.
    response_waiting,
};

using connection_id = number_id<struct connection_id_tag>;

/// State of one connection as the decision needs it.
struct connection_view
{
    connection_id id;
    connection_stage stage = connection_stage::idle;
    /// Bytes of the budget that the connection holds, or waits for.
    std::size_t bytes = 0;
    /// Bytes of the body, or of the answer, that still have to move; room that a response waits for.
    std::size_t remaining = 0;
    /// Bytes that moved in this stage.
    std::size_t moved = 0;
    /// Start of the stage.
    instant since{};
    /// Last time that a byte moved.
    instant progressAt{};
    /// The caller may ask for the answer again; this process may ask for the response again.
    bool repeatable = false;
    /// The response never gives way.
    bool essential = false;

    auto operator<=>(const connection_view &) const = default;
};

/// Time limits of connections.
struct connection_times
{
    milliseconds head{50'000};
    milliseconds idle{50'000};
    /// Longest time without a byte of a body or of an unread answer.
    milliseconds progress{50'000};
    /// Longest time that a body waits for room, and that a response does before others give way.
    milliseconds room{1000};
    /// Longest time in which bytes after a refusal are dropped.
    milliseconds closing{2000};

    auto operator<=>(const connection_times &) const = default;
};

enum class connection_action : std::uint8_t {
    /// Closes the connection. The call of a response ends as displaced.
    close,
    /// Answers 408 and closes.
    refuse_slow,
    /// Answers 503 and closes: the request was not passed on.
    refuse_no_room,
};

struct connection_verdict
{
    connection_id id;
    connection_action action = connection_action::close;
    /// Constant text for the log and the label of the counter.
    std::string_view reason;

    auto operator<=>(const connection_verdict &) const = default;
};

/// @returns the connections that have used up their time.
std::vector<connection_verdict> expiredConnections(const std::vector<connection_view> &connections,
                                                   const connection_times &times, instant now);

/// @returns the incomplete bodies to refuse so that `wanted` bytes become free: those that would take longest
/// to arrive at their pace first. Bodies that arrived within the last second, or would within the next, stay;
/// empty if the others are not enough.
std::vector<connection_verdict> bodiesToRefuse(std::vector<connection_view> connections, std::size_t wanted,
                                               instant now);

/// @returns the unread answers to drop so that `wanted` bytes become free: those that the caller may ask for
/// again first, then those that would take longest to be read.
std::vector<connection_verdict> answersToDrop(std::vector<connection_view> connections, std::size_t wanted,
                                              instant now);

/// @returns the waiting response that others give way to: an essential one, else the one that has waited
/// longest, for its time at least.
std::optional<connection_view> responseToServe(const std::vector<connection_view> &connections,
                                               const connection_times &times, instant now);

/// @returns the responses to end so that `wanted` bytes become free: those that may be asked for again first,
/// the largest first; never essential ones.
/// @param spared the response that they give way to, if any.
std::vector<connection_verdict> responsesToDisplace(std::vector<connection_view> connections,
                                                    std::size_t wanted, connection_id spared = {});

/// @returns the connection to close so that another one can be accepted: one that is refused already, else
/// the one that is idle for longest and not new, else an incomplete request that made no progress for
/// longest, at least for a second. Empty where each connection has a request in progress.
std::vector<connection_verdict> connectionToReplace(const std::vector<connection_view> &connections,
                                                    instant now);

} // namespace jacinthvale
