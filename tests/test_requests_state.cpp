// State test of claims and tickets: any interleaving of submissions, deliveries and failures keeps the
// promises of the oracle in gate_simulation: at most one run, no mixed-up answer, no false "not-run", one
// answer to each.
#include "gate_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <array>

namespace jacinthvale::testing {

namespace {

constexpr int kKeys = 3;
constexpr int kMaxIndex = 8;

enum class step_kind {
    submit_key,
    submit_ticket,
    store,
    call,
    message,
    late,
    crash,
    pause,
    wake,
    advance,
    gossip,
    outage
};

struct bench
{
    gate_simulation world;
    std::map<std::string, std::string> tickets;
};

struct nothing
{};

std::string bodyFor(const std::string &key, int variant)
{
    return key + "|" + std::to_string(variant);
}

/// One step of the outside world; the numbers choose what it touches.
struct world_step : rc::state::Command<nothing, bench>
{
    step_kind kind = step_kind::advance;
    int gate = 0;
    int index = 0;
    int fate = 0;

    void run(const nothing &, bench &sut) const override
    {
        perform(sut);
        RC_ASSERT(sut.world.fault() == "");
    }

    void perform(bench &sut) const
    {
        gate_simulation &world = sut.world;
        const auto at = static_cast<std::size_t>(gate);
        const auto which = static_cast<std::size_t>(index);
        switch (kind) {
        case step_kind::submit_key: {
            const std::string key = "k" + std::to_string(index % kKeys);
            return world.submit(at, key, bodyFor(key, fate == 0 ? 1 : 0), "");
        }
        case step_kind::submit_ticket:
            return submitTicket(sut);
        case step_kind::store:
            return world.decideStore(which, kStoreFates.at(static_cast<std::size_t>(fate)));
        case step_kind::call:
            return world.decideCall(which, kCallFates.at(static_cast<std::size_t>(fate)));
        case step_kind::message:
            return world.decideMessage(which, fate != 0);
        case step_kind::late:
            return world.releaseLate(which);
        case step_kind::crash:
            return world.crash(at);
        case step_kind::pause:
            return world.setPaused(at, true);
        case step_kind::wake:
            return world.setPaused(at, false);
        case step_kind::advance:
            return world.advance(milliseconds{200 * (1 + index * fate)});
        case step_kind::gossip:
            return world.gossip(at, which % gate_simulation::kGates);
        case step_kind::outage:
            return world.storeDown(fate % 2 == 0);
        }
    }

    void submitTicket(bench &sut) const
    {
        const std::string key = "t" + std::to_string(index % kKeys);
        std::string &ticket = sut.tickets[key];
        if (ticket.empty()) {
            ticket = sut.world.takeTicket(static_cast<std::size_t>(gate));
        }
        if (!ticket.empty()) {
            sut.world.submit(static_cast<std::size_t>((gate + fate) % 3), key, bodyFor(key, 0), ticket);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "step " << static_cast<int>(kind) << " gate " << gate << " index " << index << " fate " << fate;
    }

    static constexpr std::array kStoreFates
            = {store_fate::answer,          store_fate::answer,  store_fate::answer,
               store_fate::applied_unknown, store_fate::unknown, store_fate::applied_later,
               store_fate::unavailable,     store_fate::answer};
    static constexpr std::array kCallFates = {call_fate::served,       call_fate::served,
                                              call_fate::served,       call_fate::served_answer_lost,
                                              call_fate::refused,      call_fate::nothing_sent,
                                              call_fate::served_later, call_fate::lost_unserved};
};

using step_pointer = std::shared_ptr<const rc::state::Command<nothing, bench>>;

rc::Gen<step_pointer> anyStep(const nothing &)
{
    return rc::gen::exec([]() -> step_pointer {
        auto step = std::make_shared<world_step>();
        step->kind = *rc::gen::weightedElement<step_kind>({{6, step_kind::submit_key},
                                                           {3, step_kind::submit_ticket},
                                                           {9, step_kind::store},
                                                           {6, step_kind::call},
                                                           {5, step_kind::message},
                                                           {1, step_kind::late},
                                                           {1, step_kind::crash},
                                                           {1, step_kind::pause},
                                                           {2, step_kind::wake},
                                                           {3, step_kind::advance},
                                                           {1, step_kind::gossip},
                                                           {1, step_kind::outage}});
        step->gate = *rc::gen::inRange(0, static_cast<int>(gate_simulation::kGates));
        step->index = *rc::gen::inRange(0, kMaxIndex);
        step->fate = *rc::gen::inRange(0, static_cast<int>(world_step::kStoreFates.size()));
        return step;
    });
}

} // namespace

RC_GTEST_PROP(requests_state, runsAtMostOnceAndAnswersTruthfully, ())
{
    const auto steps = *rc::state::gen::commands(nothing{}, anyStep);
    bench sut;
    rc::state::runAll(steps, nothing{}, sut);
    sut.world.heal();
    RC_ASSERT(sut.world.fault() == "");
}

TEST(requests_state, dropsAnswersToThePredecessorOfAGate)
{
    gate_simulation world;
    for (const char *key : {"a", "b"}) {
        world.submit(0, key, bodyFor(key, 0), "");
        world.decideStore(0, store_fate::answer);
    }
    world.submit(1, "a", bodyFor("a", 0), "");
    world.decideStore(0, store_fate::answer);
    world.decideMessage(0, true);
    world.decideMessage(0, false);
    world.crash(1);
    // The new process gives its first call the same number.
    world.submit(1, "b", bodyFor("b", 0), "");
    world.decideStore(0, store_fate::answer);
    ASSERT_EQ(world.state(1).calls.begin()->second.phase, call_phase::awaiting_owner);
    world.decideCall(0, call_fate::served);
    world.decideMessage(1, true);
    EXPECT_EQ(world.fault(), "");
    EXPECT_FALSE(world.submissions().back().answer);
}

} // namespace jacinthvale::testing
