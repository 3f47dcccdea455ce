// State test of claims and tickets. Any interleaving of submissions, deliveries and failures must keep the
// guarantees that gate_simulation checks: at most one run per key, each answer belongs to its request, the
// verdict "not-run" only if nothing ran, and exactly one answer per request.
#include "gate_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <array>

namespace jacinthvale::testing {

namespace {

constexpr int kKeyCount = 3;
constexpr int kMaxIndex = 8;

enum class step_kind {
    submit_key,
    submit_ticket,
    store,
    call,
    message,
    delayed_request,
    crash,
    pause,
    resume,
    advance,
    peer_update,
    outage
};

struct test_context
{
    gate_simulation simulation;
    std::map<std::string, std::string> tickets;
};

struct empty_model
{};

std::string bodyFor(const std::string &key, int variant)
{
    return key + "|" + std::to_string(variant);
}

/// One step of the simulation. The gate, index and behavior choose what it affects.
struct simulation_step : rc::state::Command<empty_model, test_context>
{
    step_kind kind = step_kind::advance;
    int gate = 0;
    int index = 0;
    int behavior = 0;

    void run(const empty_model &, test_context &tested) const override
    {
        perform(tested);
        RC_ASSERT(tested.simulation.violation() == "");
    }

    void perform(test_context &tested) const
    {
        gate_simulation &simulation = tested.simulation;
        const auto gateIndex = static_cast<std::size_t>(gate);
        const auto position = static_cast<std::size_t>(index);
        switch (kind) {
        case step_kind::submit_key: {
            const std::string key = "k" + std::to_string(index % kKeyCount);
            return simulation.submit(gateIndex, key, bodyFor(key, behavior == 0 ? 1 : 0), "");
        }
        case step_kind::submit_ticket:
            return submitTicket(tested);
        case step_kind::store:
            return simulation.finishStoreCall(position,
                                              kStoreBehaviors.at(static_cast<std::size_t>(behavior)));
        case step_kind::call:
            return simulation.finishUpstreamCall(position,
                                                 kCallBehaviors.at(static_cast<std::size_t>(behavior)));
        case step_kind::message:
            return simulation.finishMessage(position, behavior != 0);
        case step_kind::delayed_request:
            return simulation.applyDelayedRequest(position);
        case step_kind::crash:
            return simulation.crash(gateIndex);
        case step_kind::pause:
            return simulation.setPaused(gateIndex, true);
        case step_kind::resume:
            return simulation.setPaused(gateIndex, false);
        case step_kind::advance:
            return simulation.advance(milliseconds{200 * (1 + index * behavior)});
        case step_kind::peer_update:
            return simulation.sendPeerView(gateIndex, position % gate_simulation::kGateCount);
        case step_kind::outage:
            return simulation.setStoreDown(behavior % 2 == 0);
        }
    }

    void submitTicket(test_context &tested) const
    {
        const std::string key = "t" + std::to_string(index % kKeyCount);
        std::string &ticket = tested.tickets[key];
        if (ticket.empty()) {
            ticket = tested.simulation.requestTicket(static_cast<std::size_t>(gate));
        }
        if (!ticket.empty()) {
            tested.simulation.submit(static_cast<std::size_t>((gate + behavior) % 3), key, bodyFor(key, 0),
                                     ticket);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "step " << static_cast<int>(kind) << " gate " << gate << " index " << index << " behavior "
           << behavior;
    }

    static constexpr std::array kStoreBehaviors
            = {store_behavior::answer,          store_behavior::answer,  store_behavior::answer,
               store_behavior::applied_unknown, store_behavior::unknown, store_behavior::applied_later,
               store_behavior::unavailable,     store_behavior::answer};
    static constexpr std::array kCallBehaviors
            = {call_behavior::served,       call_behavior::served,
               call_behavior::served,       call_behavior::served_answer_lost,
               call_behavior::refused,      call_behavior::nothing_sent,
               call_behavior::served_later, call_behavior::lost_unserved};
};

using step_pointer = std::shared_ptr<const rc::state::Command<empty_model, test_context>>;

rc::Gen<step_pointer> generateStep(const empty_model &)
{
    return rc::gen::exec([]() -> step_pointer {
        auto step = std::make_shared<simulation_step>();
        step->kind = *rc::gen::weightedElement<step_kind>({{6, step_kind::submit_key},
                                                           {3, step_kind::submit_ticket},
                                                           {9, step_kind::store},
                                                           {6, step_kind::call},
                                                           {5, step_kind::message},
                                                           {1, step_kind::delayed_request},
                                                           {1, step_kind::crash},
                                                           {1, step_kind::pause},
                                                           {2, step_kind::resume},
                                                           {3, step_kind::advance},
                                                           {1, step_kind::peer_update},
                                                           {1, step_kind::outage}});
        step->gate = *rc::gen::inRange(0, static_cast<int>(gate_simulation::kGateCount));
        step->index = *rc::gen::inRange(0, kMaxIndex);
        step->behavior = *rc::gen::inRange(0, static_cast<int>(simulation_step::kStoreBehaviors.size()));
        return step;
    });
}

} // namespace

RC_GTEST_PROP(requests_state, runsAtMostOnceWithCorrectVerdicts, ())
{
    const auto steps = *rc::state::gen::commands(empty_model{}, generateStep);
    test_context tested;
    rc::state::runAll(steps, empty_model{}, tested);
    tested.simulation.recoverAndFinish();
    RC_ASSERT(tested.simulation.violation() == "");
}

TEST(requests_state, dropsAnswersAddressedToPreviousIncarnation)
{
    gate_simulation simulation;
    for (const char *key : {"a", "b"}) {
        simulation.submit(0, key, bodyFor(key, 0), "");
        simulation.finishStoreCall(0, store_behavior::answer);
    }
    simulation.submit(1, "a", bodyFor("a", 0), "");
    simulation.finishStoreCall(0, store_behavior::answer);
    simulation.finishMessage(0, true);
    simulation.finishMessage(0, false);
    simulation.crash(1);
    // The restarted gate assigns its first call the same number as the call before the crash.
    simulation.submit(1, "b", bodyFor("b", 0), "");
    simulation.finishStoreCall(0, store_behavior::answer);
    ASSERT_EQ(simulation.state(1).calls.begin()->second.phase, call_phase::awaiting_owner);
    simulation.finishUpstreamCall(0, call_behavior::served);
    simulation.finishMessage(1, true);
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_FALSE(simulation.submissions().back().answer);
}

} // namespace jacinthvale::testing
