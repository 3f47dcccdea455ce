#include "foreign_fields.h"

#include <algorithm>

namespace jacinthvale {

const char *findFault(const nlohmann::json &object, std::span<const foreign_field> fields)
{
    const auto fault = std::ranges::find_if(fields, [&](const foreign_field &field) {
        const auto found = object.find(field.name);
        return found == object.end() ? field.need == field_need::required : !((*found).*field.isOfType)();
    });
    return fault == fields.end() ? nullptr : fault->name;
}

const char *findFault(std::span<const field_check> checks)
{
    const auto failed = std::ranges::find(checks, false, &field_check::second);
    return failed == checks.end() ? nullptr : failed->first;
}

} // namespace jacinthvale
