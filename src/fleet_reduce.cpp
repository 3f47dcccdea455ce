#include <jacinthvale/fleet.h>

namespace jacinthvale {

effects reduceFleet(fleet_state &state, const event &what, const context &at)
{
    static_cast<void>(state);
    static_cast<void>(at);
    const auto *raised = std::get_if<notice_raised>(&what);
    if (raised != nullptr && std::holds_alternative<stopping>(raised->what)) {
        return {raise_notice{domain_drained{domain::fleet}}};
    }
    return {};
}

std::string describeFleet(const fleet_state &state, const context &at)
{
    static_cast<void>(state);
    static_cast<void>(at);
    return "{}";
}

} // namespace jacinthvale
