/// Fields of JSON objects that other programs write.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

namespace jacinthvale {

enum class field_need : std::uint8_t { required, optional };

struct foreign_field
{
    const char *name;
    bool (nlohmann::json::*isOfType)() const noexcept;
    field_need need = field_need::required;
};

/// @returns the name of the first field that is missing or of another type; null if there is none.
const char *findFault(const nlohmann::json &object, std::span<const foreign_field> fields);

/// Name of a field, and whether its value may be used.
using field_check = std::pair<const char *, bool>;

/// @returns the name of the first field whose value may not be used; null if there is none.
const char *findFault(std::span<const field_check> checks);

} // namespace jacinthvale
