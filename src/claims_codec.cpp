// Encoding of claim rows: JSON values and row keys.
#include <jacinthvale/claims.h>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using nlohmann::json;

constexpr std::string_view kBase64 = "base64";

bool isUtf8(const std::string &text)
{
    // A strict dump would throw on bytes that are not UTF-8. This dump drops such bytes, so
    // parsing it yields a different text.
    const std::string dumped = json(text).dump(-1, ' ', false, json::error_handler_t::ignore);
    return json::parse(dumped, nullptr, false) == json(text);
}

std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const json &object, const char *key)
{
    std::uint64_t number = 0;
    return absl::SimpleHexAtoi(textOf(object, key), &number) ? number : 0;
}

std::string hexOf(std::uint64_t number)
{
    return absl::StrCat(absl::Hex(number));
}

json encodeAnswer(const final_answer &answer)
{
    json encoded = {{"status", answer.status},
                    {"contentType", answer.contentType},
                    {"verdict", toString(answer.outcome)},
                    {"retryAfterSeconds", answer.retryAfterSeconds}};
    if (isUtf8(answer.body)) {
        encoded["body"] = answer.body;
    } else {
        encoded["encoding"] = kBase64;
        encoded["body"] = absl::Base64Escape(answer.body);
    }
    return encoded;
}

verdict verdictOf(const std::string &text)
{
    for (const verdict candidate : {verdict::not_run, verdict::ran}) {
        if (text == toString(candidate)) {
            return candidate;
        }
    }
    return verdict::may_have_run;
}

std::optional<final_answer> decodeAnswer(const json &object)
{
    final_answer answer;
    if (!object.is_object() || !object.value("status", json()).is_number_integer()) {
        return std::nullopt;
    }
    answer.status = object["status"].get<int>();
    answer.contentType = textOf(object, "contentType");
    answer.outcome = verdictOf(textOf(object, "verdict"));
    answer.body = textOf(object, "body");
    const json retryAfter = object.value("retryAfterSeconds", json(0));
    answer.retryAfterSeconds = retryAfter.is_number_integer() ? retryAfter.get<int>() : 0;
    if (textOf(object, "encoding") == kBase64) {
        std::string bytes;
        if (!absl::Base64Unescape(answer.body, &bytes)) {
            return std::nullopt;
        }
        answer.body = std::move(bytes);
    }
    return answer;
}

} // namespace

final_answer toAnswer(const request_error &error)
{
    return {error.httpStatus, "application/json", toJson(error), error.outcome, error.retryAfterSeconds};
}

std::string encodeClaim(const claim_record &record)
{
    json encoded = {{"incarnation", hexOf(record.incarnation.value)},
                    {"peer", toString(record.peer)},
                    {"number", hexOf(record.number)},
                    {"requestHash", hexOf(record.requestHash)}};
    if (record.answer) {
        encoded["answer"] = encodeAnswer(*record.answer);
    }
    return encoded.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_record> decodeClaim(const std::string &value)
{
    const json object = json::parse(value, nullptr, false);
    if (!object.is_object() || textOf(object, "incarnation").empty()) {
        return std::nullopt;
    }
    claim_record record{{numberOf(object, "incarnation")},
                        parseEndpoint(textOf(object, "peer")),
                        numberOf(object, "number"),
                        numberOf(object, "requestHash"),
                        std::nullopt};
    if (const auto answer = object.find("answer"); answer != object.end()) {
        record.answer = decodeAnswer(*answer);
        if (!record.answer) {
            return std::nullopt;
        }
    }
    return record;
}

std::string claimRowKey(const std::string &target, const std::string &idempotencyKey)
{
    return absl::StrCat("claims/", absl::BytesToHexString(target), "/",
                        absl::BytesToHexString(idempotencyKey));
}

} // namespace jacinthvale
