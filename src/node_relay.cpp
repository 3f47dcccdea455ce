#include "node_relay.h"

#include "node_pack.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

constexpr int kOk = 200;

/// Marks a reply that bears an answer.
constexpr const char *kRelayedAnswerType = "application/x-jacinthvale-answer";

/// Request of relay_call.
struct relayed_request
{
    std::string id;
    std::string method;
    std::string host;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::int64_t remainingMs = 0;
    std::uint64_t resumeAfter = 0;
    std::string resumes;
    std::uint32_t attempts = 1;
    std::vector<std::string> tried;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, method, host, target, headers, body, remainingMs, resumeAfter, resumes, attempts, tried);
    }
};

std::optional<relayed_answer> unpackAnswer(const std::string &body)
{
    relayed_answer answer;
    std::int32_t status = 0;
    std::uint8_t reason = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    if (!unpack(body, answer.answered, status, headers, answer.body, reason, answer.withoutPath)
        || reason > static_cast<std::uint8_t>(refusal::unauthorized)) {
        return std::nullopt;
    }
    answer.status = status;
    answer.headers = {headers.begin(), headers.end()};
    answer.reason = static_cast<refusal>(reason);
    return answer;
}

} // namespace

std::string packRelay(const relay_call &relayed)
{
    const client_call &call = relayed.call;
    std::vector<std::string> tried;
    std::ranges::transform(relayed.tried, std::back_inserter(tried), &upstream_id::value);
    const relayed_request request{call.id.value,
                                  call.method,
                                  call.host,
                                  call.target,
                                  {call.headers.begin(), call.headers.end()},
                                  call.body,
                                  relayed.remainingTimeout.count(),
                                  call.resumeAfter,
                                  call.resumes.value,
                                  relayed.attempts,
                                  std::move(tried)};
    // Older builds read calls without an account.
    return call.account ? pack(request, call.account->value) : pack(request);
}

std::optional<relayed_call_received> unpackRelay(exchange_id exchange, const std::string &body)
{
    relayed_request request;
    std::optional<account_id> account;
    if (!unpack(body, request) && !unpack(body, request, account.emplace().value)) {
        return std::nullopt;
    }
    client_call call{exchange,
                     {request.id},
                     request.method,
                     request.host,
                     request.target,
                     {request.headers.begin(), request.headers.end()},
                     request.body,
                     milliseconds{request.remainingMs},
                     request.resumeAfter,
                     {request.resumes}};
    call.account = std::move(account);
    relayed_call_received received{std::move(call), request.attempts};
    std::ranges::transform(request.tried, std::back_inserter(received.tried),
                           [](const std::string &id) { return upstream_id{id}; });
    return received;
}

reply_http relayedReply(exchange_id exchange, const relayed_answer &answer)
{
    const std::vector<std::pair<std::string, std::string>> headers(answer.headers.begin(),
                                                                   answer.headers.end());
    return {exchange,
            kOk,
            {{"Content-Type", kRelayedAnswerType}},
            pack(answer.answered, static_cast<std::int32_t>(answer.status), headers, answer.body,
                 static_cast<std::uint8_t>(answer.reason), answer.withoutPath)};
}

bool isRelayedAnswer(const http_headers &headers)
{
    const auto type = headers.find("Content-Type");
    return type != headers.end() && type->second == kRelayedAnswerType;
}

relayed_call_ended decodeRelayEnd(op_id op, const http_call_finished &finished, stream_decoder *streamDecoder)
{
    relayed_call_ended ended{op, callEndOf(finished.outcome), std::nullopt};
    call_ended stream;
    if (streamDecoder != nullptr) {
        stream = streamDecoder->onFinished(op, finished);
    }
    if (ended.end != call_end::complete) {
        return ended;
    }
    if (isRelayedAnswer(finished.headers)) {
        ended.answer = unpackAnswer(streamDecoder != nullptr ? stream.body : finished.body);
        return ended;
    }
    const bool isWholeStream
            = streamDecoder != nullptr && finished.status == kOk && stream.end == call_end::complete;
    ended.end = isWholeStream ? call_end::complete : call_end::incomplete;
    return ended;
}

} // namespace jacinthvale::node
