#include <jacinthvale/verdict.h>

#include <nlohmann/json.hpp>

namespace jacinthvale {

std::string_view toString(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    case verdict::ran:
        return "ran";
    }
    return "may-have-run";
}

std::string toJson(const request_error &error)
{
    const nlohmann::json body
            = {{"error",
                {{"code", error.code}, {"message", error.message}, {"verdict", toString(error.outcome)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::Status toStatus(const request_error &error)
{
    const std::string text = error.code + ": " + error.message;
    switch (error.outcome) {
    case verdict::not_run:
        return absl::UnavailableError(text);
    case verdict::may_have_run:
        return absl::UnknownError(text);
    case verdict::ran:
        return absl::InternalError(text);
    }
    return absl::UnknownError(text);
}

} // namespace jacinthvale
