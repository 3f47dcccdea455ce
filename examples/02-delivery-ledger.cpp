// Keeps a delivery ledger: two holders change the same rows, and the one that lost its lease cannot.
#include <jacinthvale/delivery.h>

#include <algorithm>
#include <iostream>
#include <map>

using namespace jacinthvale;

namespace {

/// Table in memory with conditional writes; an embedder's own store takes its place.
class memory_table
{
public:
    /// @returns the versions of the writes; none where a condition did not hold.
    std::optional<std::vector<std::uint64_t>> transact(const store_transact &what)
    {
        const bool holds = std::ranges::all_of(what.writes, [&](const store_write &write) {
            return m_versions[write.key] == write.expectedVersion;
        });
        if (!holds) {
            return std::nullopt;
        }
        std::vector<std::uint64_t> versions;
        for (const store_write &write : what.writes) {
            versions.push_back(++m_last);
            m_versions[write.key] = write.remove ? 0 : m_last;
        }
        return versions;
    }

private:
    std::map<std::string, std::uint64_t> m_versions;
    std::uint64_t m_last = 0;
};

bool commit(memory_table &table, trainer_ledger &ledger, ledger_builder &builder)
{
    ledger_change change = builder.build();
    const auto versions = table.transact(change.transact);
    if (versions) {
        ledger = applyCommit(std::move(change), *versions);
    }
    return versions.has_value();
}

} // namespace

int main()
{
    memory_table table;
    trainer_ledger first;
    first.trainer = {"trainer-1"};
    process_identity host;
    host.host = {"host-a"};

    ledger_builder take(first, "write-1");
    take.acquire(host).acceptGroup({{"group-1"}, {"model"}, "prompt", 1, 16, 1});
    std::cout << "first holder takes the lease: " << commit(table, first, take) << '\n';

    trainer_ledger second = first;
    host.host = {"host-b"};
    ledger_builder takeOver(second, "write-2");
    takeOver.acquire(host);
    std::cout << "second holder takes it over: " << commit(table, second, takeOver) << '\n';

    const finished_sample sample{{{"group-1"}, 0}, {{{1}, 16}}, "text", 0.5};
    ledger_builder late(first, "write-3");
    late.append(sample, {"object-1", 0});
    std::cout << "first holder appends a sample: " << commit(table, first, late) << '\n';

    ledger_builder append(second, "write-4");
    append.append(sample, {"object-2", 0});
    std::cout << "second holder appends it: " << commit(table, second, append) << '\n';
    return second.entries.size() == 1 ? 0 : 1;
}
