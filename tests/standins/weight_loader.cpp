#include "weight_loader.h"

#include <absl/strings/str_cat.h>

namespace jacinthvale::standin {

namespace {

constexpr int kHttpOk = 200;
constexpr milliseconds kFetchRetry{50};

} // namespace

void weight_loader::addModel(const std::string &model, std::uint64_t version)
{
    m_models[model] = {version, version, true, false};
}

void weight_loader::swap(const std::string &model, std::uint64_t version, swap_finished finished)
{
    held_weights &weights = m_models.at(model);
    if (weights.clear && weights.held == version) {
        finished(true);
        return;
    }
    if (weights.swapping) {
        finished(false);
        return;
    }
    weights.swapping = true;
    fetch({model, version, m_loop.now() + m_fetchLimit, std::move(finished)});
}

void weight_loader::fetch(const running_swap &swap)
{
    if (m_platform.empty()) {
        load(swap);
        return;
    }
    call_http call;
    call.target = m_platform;
    call.method = "GET";
    call.path = absl::StrCat("/weights/", swap.model, "/", swap.version);
    http_call_listener listener;
    listener.onFinished = [this, swap](const http_call_finished &result) { fetched(swap, result); };
    m_loop.client().start(call, std::move(listener));
}

/// The weight store refuses over its rate; the fetch is tried again until its time is over.
void weight_loader::fetched(const running_swap &swap, const http_call_finished &result)
{
    if (result.outcome == transfer_outcome::complete && result.status == kHttpOk) {
        load(swap);
    } else if (m_loop.now() < swap.giveUpAt) {
        m_loop.after(kFetchRetry, [this, swap] { fetch(swap); });
    } else {
        m_models.at(swap.model).swapping = false;
        swap.finished(false);
    }
}

void weight_loader::load(const running_swap &swap)
{
    ++m_pauses;
    m_loop.after(m_swapTime, [this, swap] {
        --m_pauses;
        m_models.at(swap.model).swapping = false;
        ++m_swapCounter;
        if (m_failure.count > 0) {
            --m_failure.count;
            failLoad(swap);
        } else {
            finish(swap);
        }
    });
}

void weight_loader::finish(const running_swap &swap)
{
    m_models.at(swap.model) = {swap.version, swap.version, true, false};
    swap.finished(true);
}

/// After an unclear failure the report names the version that is not the held one.
void weight_loader::failLoad(const running_swap &swap)
{
    if (m_failure.unclear) {
        held_weights &weights = m_models.at(swap.model);
        const std::uint64_t old = weights.held;
        weights.held = m_failure.applied ? swap.version : old;
        weights.reported = m_failure.applied ? old : swap.version;
        weights.clear = false;
        m_loop.after(m_failure.clearAfter, [this, model = swap.model] { becomeClear(model); });
    }
    swap.finished(false);
}

void weight_loader::becomeClear(const std::string &model)
{
    held_weights &weights = m_models.at(model);
    if (weights.clear) {
        return;
    }
    weights.reported = weights.held;
    weights.clear = true;
    ++m_swapCounter;
}

} // namespace jacinthvale::standin
