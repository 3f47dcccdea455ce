// Applies the decision on keys to requests.
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

std::string ageText(const node_state &state, instant now)
{
    const auto age = state.evidence.ageAt(now);
    return age ? std::to_string(age->count()) + " ms" : std::string("unknown");
}

/// Batches of public routes exist for everybody; those of accounts are then unknown without their key.
bool hasPublicBatches(const node_state &state)
{
    return std::ranges::any_of(state.config.routes, [](const route &candidate) {
        return candidate.kind == route_kind::batch && candidate.isPublic;
    });
}

} // namespace

std::optional<milliseconds> admissionLimitOf(const node_state &state)
{
    const auto &bound = state.self.revocationBound;
    return bound ? std::optional(admissionLimit(*bound)) : std::nullopt;
}

access_verdict accessOf(const node_state &state, const credential &key, bool isPublic, instant now)
{
    return authenticate({key, isPublic, state.configKnown,
                         state.config.accounts ? &*state.config.accounts : nullptr, state.evidence.ageAt(now),
                         admissionLimitOf(state)});
}

std::optional<account_id> admitRequest(step &s, exchange_id exchange, const std::string &subject,
                                       const credential &key, bool isPublic)
{
    const access_verdict verdict = accessOf(s.state, key, isPublic, s.ctx.now);
    if (s.state.config.accounts || !s.state.configKnown) {
        s.emit(count{"access_total{verdict=\"" + toString(verdict) + "\"}"});
    }
    if (const auto *granted = std::get_if<access_granted>(&verdict)) {
        return granted->account;
    }
    s.log("access-refused", subject,
          toString(verdict) + ": key " + toString(key) + ", configuration "
                  + (s.state.configKnown ? std::to_string(s.state.config.version) : std::string("unknown"))
                  + ", its evidence " + ageText(s.state, s.ctx.now) + " old");
    const auto *undecided = std::get_if<access_undecided>(&verdict);
    s.emit(undecided == nullptr ? refuse_call{exchange, refusal::unauthorized, {}}
                                : refuse_call{exchange, refusal::not_run, undecided->retryAfter});
    return std::nullopt;
}

std::optional<account_id> admitBatchRequest(step &s, exchange_id exchange, const batch_id &id,
                                            const credential &key)
{
    // A batch that was accepted without a key exists for everybody, also while no configuration is known. Its
    // head row tells.
    const auto head = s.state.heads.find(id);
    if (!s.state.configKnown && (head == s.state.heads.end() || head->second.spec.account.empty())) {
        return account_id{};
    }
    return admitRequest(s, exchange, id.value, key, hasPublicBatches(s.state));
}

void refuseForeignBatch(step &s, exchange_id exchange, const batch_id &id, const account_id &account)
{
    s.log("batch-of-another-account", id.value,
          account.empty() ? std::string("asked without a key") : "asked with a key of " + account.value);
    s.emit(count{"foreign_batch_requests"});
    // The request came before the configuration was known: its key has not been looked at.
    if (account.empty() && (!s.state.configKnown || !hasPublicBatches(s.state))) {
        const access_verdict unknown = authenticate({});
        s.emit(refuse_call{exchange, refusal::not_run, std::get<access_undecided>(unknown).retryAfter});
        return;
    }
    s.emit(refuse_call{exchange, refusal::not_found, {}});
}

std::optional<account_id> accountForUpstream(const node_state &state, const account_id &account)
{
    return state.config.accounts || !account.empty() ? std::optional(account) : std::nullopt;
}

bool isConfigurationCurrent(const node_state &state, instant now)
{
    const auto limit = admissionLimitOf(state);
    const auto age = state.evidence.ageAt(now);
    return !state.config.accounts || !limit || (age && *age <= *limit);
}

} // namespace jacinthvale::node
