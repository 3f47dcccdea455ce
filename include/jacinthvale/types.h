/// Identifier, endpoint and clock types shared by all other headers.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jacinthvale {

/// String identifier. Identifiers with different tags do not convert into each other.
template <typename Tag>
struct text_id
{
    std::string value;

    auto operator<=>(const text_id &) const = default;
    bool empty() const { return value.empty(); }
};

/// Numeric identifier. Identifiers with different tags do not convert into each other.
template <typename Tag>
struct number_id
{
    std::uint64_t value = 0;

    auto operator<=>(const number_id &) const = default;
};

using deployment_id = text_id<struct deployment_tag>;
using availability_zone_id = text_id<struct availability_zone_tag>;
using host_id = text_id<struct host_tag>;
using upstream_id = text_id<struct upstream_tag>;
using service_id = text_id<struct service_tag>;
using model_id = text_id<struct model_tag>;
using trainer_id = text_id<struct trainer_tag>;
using caller_class_id = text_id<struct caller_class_tag>;
using group_id = text_id<struct group_tag>;
using request_id = text_id<struct request_tag>;

/// Random number drawn once per process start. Distinguishes successive processes on the same host.
using incarnation_id = number_id<struct incarnation_tag>;
/// Identifies one HTTP exchange that a caller opened with this process.
using exchange_id = number_id<struct exchange_tag>;
/// Monotonically increasing version of a set of model weights.
using weight_version = number_id<struct weight_version_tag>;
/// Monotonically increasing number of the holders of a lease. An order with a lower number is stale.
using fencing_number = number_id<struct fencing_tag>;
/// Monotonically increasing revision of the configuration document.
using config_revision = number_id<struct config_revision_tag>;

/// Steady clock. Its epoch is the start of the process.
struct monotonic_clock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// System clock. It may be adjusted and may go backwards.
struct wall_clock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;
};

using instant = monotonic_clock::time_point;
using wall_time = wall_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// IP address and port of a process.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
    bool empty() const { return address.empty(); }
};

/// @returns "address:port".
std::string toString(const endpoint &value);

/// Parses "address:port".
/// @returns an empty endpoint if the text is not an IP address and a port from 0 to 65535.
endpoint parseEndpoint(const std::string &text);

/// Component of the daemon that handles an event or produced an effect.
enum class domain : std::uint8_t { requests, samples, fleet, config, membership };

inline constexpr std::size_t kDomainCount = 5;

/// Identifies one HTTP call, store operation or timer of a domain. The domain assigns the numbers.
struct operation_id
{
    domain owner = domain::requests;
    std::uint64_t number = 0;

    auto operator<=>(const operation_id &) const = default;
};

/// Inputs of a reducer besides its state and the event.
struct context
{
    instant now{};
    wall_time wallNow{};
    /// Random number drawn anew for each event. Derive further numbers with mixRandom().
    std::uint64_t random = 0;
};

/// Derives the n-th further random number from a seed (finalizer of splitmix64).
constexpr std::uint64_t mixRandom(std::uint64_t seed, std::uint64_t n = 0)
{
    std::uint64_t z = seed + (n + 1) * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/// @returns a 64-bit hash (XXH3) of the text that is the same on every host.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace jacinthvale

template <typename Tag>
struct std::hash<jacinthvale::text_id<Tag>>
{
    std::size_t operator()(const jacinthvale::text_id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <typename Tag>
struct std::hash<jacinthvale::number_id<Tag>>
{
    std::size_t operator()(const jacinthvale::number_id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
