/// Operations on the table service and the object store of the platform, and their outcomes.
///
/// Every write is conditional on row versions and carries a write id. Repeating a transaction is therefore
/// idempotent: the service never reuses a row version, so at most one attempt commits, and the write id in
/// the row shows whether it was this transaction.
#pragma once

#include <jacinthvale/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// Row of the table. Version 0 denotes an absent row.
struct store_row
{
    std::string key;
    std::uint64_t version = 0;
    std::string writeId;
    std::string value;

    auto operator<=>(const store_row &) const = default;
};

/// Conditional write of one row.
struct store_write
{
    std::string key;
    /// Version that the row must have; 0 if the row must be absent.
    std::uint64_t expectedVersion = 0;
    std::string value;
    bool remove = false;

    auto operator<=>(const store_write &) const = default;
};

/// Condition on the version of a row that the transaction does not write.
struct store_check
{
    std::string key;
    std::uint64_t expectedVersion = 0;

    auto operator<=>(const store_check &) const = default;
};

struct store_get
{
    std::string key;
    auto operator<=>(const store_get &) const = default;
};

/// Reads the rows with key > after that begin with prefix, in key order.
struct store_scan
{
    std::string prefix;
    std::string after;
    int limit = 1000;
    auto operator<=>(const store_scan &) const = default;
};

/// Applies all writes atomically if all versions match; otherwise none.
struct store_transact
{
    /// Unique per transaction; unchanged when the transaction is repeated.
    std::string writeId;
    std::vector<store_check> checks;
    std::vector<store_write> writes;
    auto operator<=>(const store_transact &) const = default;
};

struct object_put
{
    std::string key;
    std::string bytes;
    auto operator<=>(const object_put &) const = default;
};

struct object_get
{
    std::string key;
    auto operator<=>(const object_get &) const = default;
};

using store_operation = std::variant<store_get, store_scan, store_transact, object_put, object_get>;

/// Rows that were read, in key order. Empty for a get of an absent row.
struct store_rows
{
    std::vector<store_row> rows;
    auto operator<=>(const store_rows &) const = default;
};

/// The transaction took effect. Holds the new row versions in the order of its writes.
struct store_committed
{
    std::vector<std::uint64_t> versions;
    auto operator<=>(const store_committed &) const = default;
};

/// The transaction did not take effect. Holds the current rows of all its keys.
struct store_conflict
{
    std::vector<store_row> rows;
    /// True if an earlier attempt of the transaction got no answer. That attempt may have taken effect
    /// if its rows were overwritten since. A row that is never overwritten rules this out.
    bool afterLostAnswer = false;
    auto operator<=>(const store_conflict &) const = default;
};

/// No proof of the outcome by the deadline: the write may have taken effect or may still do so.
struct store_unknown
{
    auto operator<=>(const store_unknown &) const = default;
};

/// Proven to have no effect: the service was unreachable or refused the operation. Also the outcome of a read
/// that got no answer.
struct store_unavailable
{
    std::string reason;
    auto operator<=>(const store_unavailable &) const = default;
};

struct object_stored
{
    auto operator<=>(const object_stored &) const = default;
};

/// Bytes of an object; std::nullopt if the object does not exist.
struct object_read
{
    std::optional<std::string> bytes;
    auto operator<=>(const object_read &) const = default;
};

using store_outcome = std::variant<store_rows, store_committed, store_conflict, store_unknown,
                                   store_unavailable, object_stored, object_read>;

} // namespace jacinthvale
