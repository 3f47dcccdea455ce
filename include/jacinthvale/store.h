/// Operations on the platform's table service and object store, and their outcomes.
///
/// Every write is conditional on row versions and carries a write id. Sending the same transaction again is
/// therefore idempotent: a row version is never used twice by the service, so at most one copy commits, and
/// the write id in the row tells whether it was this one.
#pragma once

#include <jacinthvale/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthvale {

/// One row of the table. Version 0 stands for an absent row.
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
    /// Version that the row must have; 0 for "must be absent".
    std::uint64_t expectedVersion = 0;
    std::string value;
    bool remove = false;

    auto operator<=>(const store_write &) const = default;
};

/// Row that a transaction only compares.
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

/// Reads rows in key order, those with key > after and beginning with prefix.
struct store_scan
{
    std::string prefix;
    std::string after;
    int limit = 1000;
    auto operator<=>(const store_scan &) const = default;
};

/// All checks and writes hold and take effect together, or none does.
struct store_transact
{
    /// Unique for this transaction; stays the same when it is sent again.
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

/// The rows read, in key order. A get of an absent row gives no row.
struct store_rows
{
    std::vector<store_row> rows;
    auto operator<=>(const store_rows &) const = default;
};

/// The transaction took effect; versions are those of its writes, in their order.
struct store_committed
{
    std::vector<std::uint64_t> versions;
    auto operator<=>(const store_committed &) const = default;
};

/// The transaction did not take effect; rows are the present ones of all its keys.
struct store_conflict
{
    std::vector<store_row> rows;
    /// True where an earlier copy of the transaction got no answer. That copy may have taken effect if its
    /// rows were overwritten since; a row that is never overwritten rules this out.
    bool afterLostAnswer = false;
    auto operator<=>(const store_conflict &) const = default;
};

/// No proof by the deadline: the write may have taken effect, or may still do so.
struct store_unknown
{
    auto operator<=>(const store_unknown &) const = default;
};

/// Proved without effect: the service was not reached or refused the operation. Reads end this way too.
struct store_unavailable
{
    std::string reason;
    auto operator<=>(const store_unavailable &) const = default;
};

struct object_stored
{
    auto operator<=>(const object_stored &) const = default;
};

/// Bytes of an object; none where it does not exist.
struct object_read
{
    std::optional<std::string> bytes;
    auto operator<=>(const object_read &) const = default;
};

using store_outcome = std::variant<store_rows, store_committed, store_conflict, store_unknown,
                                   store_unavailable, object_stored, object_read>;

} // namespace jacinthvale
