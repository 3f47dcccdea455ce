/// Messages between rollout daemons: forwarded requests and their answers.
#pragma once

#include <jacinthvale/wire.h>

#include <string>
#include <vector>

namespace jacinthvale {

struct wire_parameter
{
    std::string name;
    std::string value;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

enum class wire_kind : std::uint8_t { request = 1, answer = 2 };

/// One forwarded request, or the answer to it.
struct samples_message
{
    std::uint8_t kind = 0;
    std::uint64_t number = 0;
    // Of a request.
    std::string trainer;
    std::string method;
    std::string resource;
    std::vector<wire_parameter> query;
    /// Body of the request or answer.
    std::string body;
    std::uint32_t remainingMs = 0;
    // Of an answer.
    std::uint16_t status = 0;
    std::string verdict;
    std::uint16_t retryAfterSeconds = 0;
    /// The receiver did not hold the lease.
    bool notHolder = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, number, trainer, method, resource, query, body, remainingMs, status, verdict,
                retryAfterSeconds);
        serializeFlag(archive, notHolder);
    }
};

} // namespace jacinthvale
