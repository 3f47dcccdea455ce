/// The platform's table: rows with versions from one rising counter, and conditional transactions.
#pragma once

#include <jacinthvale/store.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale::standin {

/// Table in memory. Each operation is atomic.
class versioned_table
{
public:
    std::vector<store_row> get(const std::string &key) const;
    std::vector<store_row> scan(const store_scan &what) const;

    /// Applies all writes, or none where any expected version differs.
    std::variant<store_committed, store_conflict> transact(const store_transact &what);

    /// Goes back to an earlier copy. The counter keeps rising unless it is told to go back, too.
    void restore(const versioned_table &copy, bool withCounter);

    std::size_t size() const { return m_rows.size(); }

private:
    std::uint64_t versionOf(const std::string &key) const;
    std::vector<store_row> presentRows(const store_transact &what) const;

    std::map<std::string, store_row> m_rows;
    std::uint64_t m_lastVersion = 0;
};

} // namespace jacinthvale::standin
