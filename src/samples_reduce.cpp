#include <jacinthvale/samples.h>

namespace jacinthvale {

effects reduceSamples(samples_state &state, const event &what, const context &at)
{
    static_cast<void>(state);
    static_cast<void>(at);
    const auto *raised = std::get_if<notice_raised>(&what);
    if (raised != nullptr && std::holds_alternative<stopping>(raised->what)) {
        return {raise_notice{domain_drained{domain::samples}}};
    }
    return {};
}

std::string describeSamples(const samples_state &state, const context &at)
{
    static_cast<void>(state);
    static_cast<void>(at);
    return "{}";
}

} // namespace jacinthvale
