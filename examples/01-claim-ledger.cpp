// Decides which of two processes may run a request, with many claims in one transaction.
#include <jacinthvale/claims.h>

#include <iostream>
#include <map>

using namespace jacinthvale;

namespace {

/// A table with conditional writes, as the platform's service offers.
class memory_table
{
public:
    store_outcome transact(const store_transact &what)
    {
        store_conflict conflict;
        bool fits = true;
        for (const store_write &write : what.writes) {
            const auto row = m_rows.find(write.key);
            fits = fits && write.expectedVersion == (row == m_rows.end() ? 0 : row->second.version);
            if (row != m_rows.end()) {
                conflict.rows.push_back(row->second);
            }
        }
        return fits ? commit(what) : store_outcome{conflict};
    }

private:
    store_outcome commit(const store_transact &what)
    {
        store_committed committed;
        for (const store_write &write : what.writes) {
            m_rows[write.key] = {write.key, ++m_lastVersion, what.writeId, write.value};
            committed.versions.push_back(m_lastVersion);
        }
        return committed;
    }

    std::map<std::string, store_row> m_rows;
    std::uint64_t m_lastVersion = 0;
};

/// Claims some keys for one process and prints which of them it may run.
void claimKeys(memory_table &table, std::uint64_t incarnation, const std::vector<std::string> &keys)
{
    claim_batcher batcher;
    for (const std::string &key : keys) {
        claim_record record;
        record.incarnation = {incarnation};
        batcher.add({claimRowKey("service/quotes", key), 0, encodeClaim(record), false});
    }
    std::uint64_t operation = 0;
    while (const auto transaction
           = batcher.nextTransaction(++operation, "write-" + std::to_string(incarnation))) {
        for (const auto &result : batcher.finishTransaction(operation, table.transact(*transaction))) {
            const bool won = std::holds_alternative<claim_batcher::committed>(result.outcome);
            std::cout << "process " << incarnation << (won ? " runs " : " does not run ") << result.write.key
                      << "\n";
        }
    }
}

} // namespace

int main()
{
    memory_table table;
    claimKeys(table, 1, {"order-1", "order-2"});
    claimKeys(table, 2, {"order-2", "order-3"});
    return 0;
}
