/// One step of the samples reducer: the state, the time, and the effects gathered so far.
#pragma once

#include <jacinthvale/samples.h>

#include <string>
#include <string_view>

namespace jacinthvale {

/// Passed to every function of the samples domain.
struct samples_step
{
    samples_state &state;
    const context &at;
    effects produced;

    void emit(effect what) { produced.push_back(std::move(what)); }
    void count(std::string name, double amount = 1) { emit(count_metric{std::move(name), amount}); }
    void record(std::string what, std::string subject, std::string detail = "")
    {
        emit(record_entry{std::move(what), std::move(subject), std::move(detail)});
    }

    /// Draws the id of a new operation.
    operation_id begin(samples_operation what)
    {
        const std::uint64_t number = ++state.lastNumber;
        state.operations.emplace(number, std::move(what));
        return {domain::samples, number};
    }

    std::int64_t setting(std::string_view key, const trainer_id &trainer = {}) const
    {
        return lookupInteger(*state.config, key, scopeOf(trainer), at.wallNow);
    }
    bool enabled(std::string_view key, const trainer_id &trainer = {}) const
    {
        const config_value value = lookup(*state.config, key, scopeOf(trainer), at.wallNow);
        const bool *flag = std::get_if<bool>(&value);
        return flag != nullptr && *flag;
    }
    milliseconds duration(std::string_view key) const { return milliseconds{setting(key)}; }
    std::uint64_t stalenessBound(const trainer_id &trainer) const
    {
        return static_cast<std::uint64_t>(setting("samples.maxStalenessVersions", trainer));
    }

    /// @returns an id for a transaction or object that no other process or moment uses.
    std::string uniqueId();

private:
    config_scope scopeOf(const trainer_id &trainer) const
    {
        return {state.self.deployment.value, state.self.availabilityZone.value, "", trainer.value, ""};
    }
};

} // namespace jacinthvale
