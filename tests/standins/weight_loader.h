/// Weights of a stand-in engine: what it truly holds, what it says it holds, and swaps that take time.
#pragma once

#include "service_loop.h"

#include <functional>
#include <map>
#include <string>

namespace jacinthvale::standin {

/// One model's weights. reported differs from truly held ones only while clear is false.
struct held_weights
{
    std::uint64_t held = 0;
    std::uint64_t reported = 0;
    bool clear = true;
    bool swapping = false;
};

/// How the next swaps fail.
struct swap_failure
{
    int count = 0;
    /// The engine no longer knows what it serves, until clearAfter has passed.
    bool unclear = false;
    /// With unclear: the new weights were in fact taken.
    bool applied = false;
    milliseconds clearAfter{2000};
};

/// Fetches weights from the weight store and puts them in force.
class weight_loader
{
public:
    using swap_finished = std::function<void(bool inForce)>;

    weight_loader(service_loop &loop, endpoint platform, milliseconds swapTime, milliseconds fetchLimit)
        : m_loop(loop)
        , m_platform(std::move(platform))
        , m_swapTime(swapTime)
        , m_fetchLimit(fetchLimit)
    {}

    void addModel(const std::string &model, std::uint64_t version);
    bool hasModel(const std::string &model) const { return m_models.contains(model); }
    const held_weights &weights(const std::string &model) const { return m_models.at(model); }
    const std::map<std::string, held_weights> &models() const { return m_models; }
    std::uint64_t swapCounter() const { return m_swapCounter; }
    void failNext(const swap_failure &how) { m_failure = how; }

    /// @returns true while tokens of no model are made.
    bool pausesGeneration() const { return m_pauses > 0; }

    /// Starts a swap. Where the version is in force already it ends at once.
    void swap(const std::string &model, std::uint64_t version, swap_finished finished);

private:
    struct running_swap
    {
        std::string model;
        std::uint64_t version = 0;
        milliseconds giveUpAt{0};
        swap_finished finished;
    };

    void fetch(const running_swap &swap);
    void fetched(const running_swap &swap, const http_call_finished &result);
    void load(const running_swap &swap);
    void finish(const running_swap &swap);
    void failLoad(const running_swap &swap);
    void becomeClear(const std::string &model);

    service_loop &m_loop;
    endpoint m_platform;
    milliseconds m_swapTime;
    milliseconds m_fetchLimit;
    std::map<std::string, held_weights> m_models;
    std::uint64_t m_swapCounter = 0;
    int m_pauses = 0;
    swap_failure m_failure;
};

} // namespace jacinthvale::standin
