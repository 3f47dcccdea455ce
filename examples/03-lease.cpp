// A lease over one row of a conditional store: two contenders, one of them at a time.
#include <iostream>
#include <jacinthvale/lease.h>

using namespace jacinthvale;

namespace {

/// A table of one row, enough for the example.
struct one_row_table
{
    std::optional<store_row> row;
    std::uint64_t lastVersion = 0;

    store_outcome apply(const store_transact &transact)
    {
        const store_write &write = transact.writes.at(0);
        const std::uint64_t present = row ? row->version : 0;
        if (write.expectedVersion != present) {
            return store_conflict{row ? std::vector{*row} : std::vector<store_row>{}, false};
        }
        row = store_row{write.key, ++lastVersion, transact.writeId, write.value};
        return store_committed{{lastVersion}};
    }
};

void tryToHold(lease &contender, one_row_table &table, instant now, const char *name)
{
    contender.observe(table.row, now, now);
    if (const auto transact = contender.acquire(now)) {
        contender.settle(table.apply(*transact), now);
    }
    std::cout << name << (contender.mayAct(now) ? " holds epoch " : " does not hold; last epoch ")
              << contender.epoch().value << '\n';
}

} // namespace

int main()
{
    one_row_table table;
    const lease_terms terms;
    lease first("shards/1", {"host-1"}, {1}, terms);
    lease second("shards/1", {"host-2"}, {2}, terms);
    instant now{milliseconds{1000}};
    tryToHold(first, table, now, "first");
    tryToHold(second, table, now, "second");
    // The first one stops renewing; the second one waits for a whole lease that it watched itself.
    now += terms.duration;
    tryToHold(second, table, now, "second");
    std::cout << "first may act: " << std::boolalpha << first.mayAct(now) << '\n';
    return 0;
}
