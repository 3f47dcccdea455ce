#include "versioned_table.h"

#include <algorithm>
#include <set>

namespace jacinthvale::standin {

std::vector<store_row> versioned_table::get(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::vector<store_row>{} : std::vector<store_row>{found->second};
}

std::vector<store_row> versioned_table::scan(const store_scan &what) const
{
    std::vector<store_row> rows;
    auto next = what.after < what.prefix ? m_rows.lower_bound(what.prefix) : m_rows.upper_bound(what.after);
    while (next != m_rows.end() && next->first.starts_with(what.prefix)
           && rows.size() < static_cast<std::size_t>(std::max(what.limit, 0))) {
        rows.push_back(next->second);
        ++next;
    }
    return rows;
}

std::uint64_t versioned_table::versionOf(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

std::vector<store_row> versioned_table::presentRows(const store_transact &what) const
{
    std::set<std::string> keys;
    for (const store_check &check : what.checks) {
        keys.insert(check.key);
    }
    for (const store_write &write : what.writes) {
        keys.insert(write.key);
    }
    std::vector<store_row> rows;
    for (const std::string &key : keys) {
        const std::vector<store_row> found = get(key);
        rows.insert(rows.end(), found.begin(), found.end());
    }
    return rows;
}

std::variant<store_committed, store_conflict> versioned_table::transact(const store_transact &what)
{
    const auto holds = [this](const auto &item) { return versionOf(item.key) == item.expectedVersion; };
    if (!std::ranges::all_of(what.checks, holds) || !std::ranges::all_of(what.writes, holds)) {
        return store_conflict{presentRows(what), false};
    }
    store_committed committed;
    for (const store_write &write : what.writes) {
        const std::uint64_t version = ++m_lastVersion;
        committed.versions.push_back(version);
        if (write.remove) {
            m_rows.erase(write.key);
        } else {
            m_rows[write.key] = {write.key, version, what.writeId, write.value};
        }
    }
    return committed;
}

void versioned_table::restore(const versioned_table &copy, bool withCounter)
{
    m_rows = copy.m_rows;
    if (withCounter) {
        m_lastVersion = copy.m_lastVersion;
    }
}

} // namespace jacinthvale::standin
