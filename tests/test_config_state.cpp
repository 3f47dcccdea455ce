// State tests of the configuration: whatever happens, no daemon goes back, no revision has two documents, and
// what was accepted is in force on every reachable daemon within the bound.
#include "config_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;

namespace {

constexpr std::size_t kDaemons = 5;

/// What the commands need to know of the system to be generated sensibly.
struct config_model
{
    std::uint64_t changes = 0;
    bool hasCopy = false;
};

using command = rc::state::Command<config_model, config_simulation>;

void check(const config_simulation &system)
{
    if (!system.violation.empty()) {
        RC_FAIL(system.violation);
    }
}

void heal(config_simulation &system)
{
    system.storeDown = false;
    system.losesAnswers = false;
    for (simulated_daemon &one : system.daemons) {
        one.storeCut = false;
        one.peersCut = false;
        one.frozen = false;
    }
}

std::size_t anyDaemon()
{
    return *rc::gen::inRange<std::size_t>(0, kDaemons);
}

/// One or two operators change the configuration; the second change repeats the first one's id or races it.
struct post_changes : command
{
    std::size_t first = anyDaemon();
    std::size_t second = anyDaemon();
    bool repeated = *rc::gen::arbitrary<bool>();
    bool raced = *rc::gen::arbitrary<bool>();
    int value = *rc::gen::inRange(0, 1000);

    void apply(config_model &model) const override { ++model.changes; }
    void run(const config_model &model, config_simulation &system) const override
    {
        const std::string id = absl::StrCat("change-", model.changes);
        const auto body = system.changeOf(first, id, value);
        system.post(first, "/v1/config/changes", body);
        if (repeated) {
            system.post(second, "/v1/config/changes", body);
        }
        if (raced) {
            const auto rival = system.changeOf(second, id + "-rival", value + 1);
            system.post(second, "/v1/config/changes", rival);
        }
        system.advance(milliseconds{300});
        check(system);
    }
    void show(std::ostream &out) const override
    {
        out << "post " << first << ' ' << second << " repeated " << repeated << " raced " << raced;
    }
};

struct change_cuts : command
{
    std::size_t which = anyDaemon();
    bool store = *rc::gen::arbitrary<bool>();
    bool peers = *rc::gen::arbitrary<bool>();
    bool frozen = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});

    void run(const config_model &, config_simulation &system) const override
    {
        system.daemons[which].storeCut = store;
        system.daemons[which].peersCut = peers;
        system.daemons[which].frozen = frozen;
        system.advance(milliseconds{500});
        check(system);
    }
    void show(std::ostream &out) const override
    {
        out << "cut " << which << " store " << store << " peers " << peers << " frozen " << frozen;
    }
};

struct change_store : command
{
    bool down = *rc::gen::weightedElement<bool>({{2, false}, {1, true}});
    bool losesAnswers = *rc::gen::arbitrary<bool>();

    void run(const config_model &, config_simulation &system) const override
    {
        system.storeDown = down;
        system.losesAnswers = losesAnswers;
        system.advance(milliseconds{200});
        check(system);
    }
    void show(std::ostream &out) const override { out << "store down " << down << " loses " << losesAnswers; }
};

/// A daemon's successor starts, unless it was the last one to know the newest revision.
struct restart : command
{
    std::size_t which = anyDaemon();

    void run(const config_model &, config_simulation &system) const override
    {
        const std::uint64_t revision = system.revisionOf(which);
        const bool knownElsewhere = std::ranges::any_of(system.daemons, [&](const simulated_daemon &other) {
            return &other != &system.daemons[which] && !other.peersCut && !other.frozen
                   && other.state.inForce->revision.value >= revision;
        });
        if (knownElsewhere || !system.storeRestored) {
            system.start(which);
        }
        system.advance(milliseconds{500});
        check(system);
    }
    void show(std::ostream &out) const override { out << "restart " << which; }
};

struct copy_store : command
{
    void apply(config_model &model) const override { model.hasCopy = true; }
    void run(const config_model &, config_simulation &system) const override { system.copy = system.table; }
    void show(std::ostream &out) const override { out << "copy store"; }
};

/// The store goes back to the copy while the fleet is whole; a repair follows later, in settle or repair.
struct restore_store : command
{
    void checkPreconditions(const config_model &model) const override { RC_PRE(model.hasCopy); }
    void run(const config_model &, config_simulation &system) const override
    {
        heal(system);
        system.converges();
        system.table.restore(system.copy, false);
        system.storeRestored = true;
        check(system);
    }
    void show(std::ostream &out) const override { out << "restore store"; }
};

/// Everything works again: all daemons agree within the bound, and a repair brings the store up to them.
struct settle : command
{
    void apply(config_model &model) const override { ++model.changes; }
    void run(const config_model &model, config_simulation &system) const override
    {
        heal(system);
        system.advance(kInForceBound);
        check(system);
        RC_ASSERT(system.allEqual());
        system.answers.clear();
        system.post(0, "/v1/config/repair",
                    {{"changeId", absl::StrCat("repair-", model.changes)},
                     {"baseRevision", system.revisionOf(0)},
                     {"reason", "trial"}});
        system.advance(kInForceBound);
        check(system);
        RC_ASSERT(system.allEqual());
        RC_ASSERT(system.answers.size() == 1U);
        RC_ASSERT(system.answers[0].body["result"] == "accepted");
        system.storeRestored = false;
    }
    void show(std::ostream &out) const override { out << "settle"; }
};

} // namespace

RC_GTEST_PROP(config_state, keepsItsPromisesThroughFaults, (std::uint64_t seed))
{
    config_model model;
    config_simulation system(kDaemons, seed);
    system.advance(milliseconds{2000});
    rc::state::check(model, system,
                     rc::state::gen::execOneOfWithArgs<post_changes, post_changes, change_cuts, change_store,
                                                       restart, copy_store, restore_store, settle>());
}

RC_GTEST_PROP(config_state, letsExactlyOneOfTwoRacingChangesWin, (std::uint64_t seed))
{
    config_simulation system(3, seed);
    system.lossPercent = 0;
    system.advance(milliseconds{2000});
    system.post(0, "/v1/config/changes", system.changeOf(0, "left", 3));
    system.post(1, "/v1/config/changes", system.changeOf(1, "right", 4));
    system.advance(milliseconds{2000});
    RC_ASSERT(system.answers.size() == 2U);
    const auto won = std::ranges::count_if(system.answers,
                                           [](const auto &a) { return a.body["result"] == "accepted"; });
    const auto lost = std::ranges::find_if(system.answers,
                                           [](const auto &a) { return a.body["result"] == "conflict"; });
    RC_ASSERT(won == 1);
    RC_ASSERT(lost != system.answers.end());
    const std::string winner = system.daemons[0].state.inForce->changeId;
    RC_ASSERT(lost->body["error"]["message"].get<std::string>().find(winner) != std::string::npos);
}
