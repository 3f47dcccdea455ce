/// Client accounts of a configuration: which key belongs to which account, and who may send a request.
#pragma once

#include <jacinthvale/types.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jacinthvale::node {

using account_id = text_id<struct account_tag>;

/// SHA-256 of a key. The key itself is dropped as soon as it is read.
using key_digest = std::array<std::uint8_t, 32>;

key_digest digestOf(std::string_view key);

/// @returns a short hash of the key for log lines, from which the key cannot be found.
std::string logNameOf(const key_digest &key);

/// The request bears no key.
struct no_key
{
    auto operator<=>(const no_key &) const = default;
};

/// The request bears something that cannot be a key, or several keys.
struct unusable_key
{
    auto operator<=>(const unusable_key &) const = default;
};

/// What a request bears to prove its account.
using credential = std::variant<no_key, unusable_key, key_digest>;

/// @returns the credential as named in log lines.
std::string toString(const credential &presented);

struct client_account
{
    account_id name;
    /// 0 is the highest; goes before the priority of the route. nullopt leaves that in force.
    std::optional<unsigned> priority = {};

    auto operator<=>(const client_account &) const = default;
};

/// Accounts and the digests of their keys.
class account_table
{
public:
    class builder;

    /// @returns the account of a key; nullptr if no account has it.
    const client_account *find(const key_digest &key) const;
    /// @returns the account with a name; nullptr if there is none.
    const client_account *find(const account_id &name) const;
    /// Sorted by name.
    const std::vector<client_account> &accounts() const { return m_accounts; }

    auto operator<=>(const account_table &) const = default;

private:
    struct entry
    {
        key_digest key{};
        std::size_t account = 0;

        auto operator<=>(const entry &) const = default;
    };

    std::vector<client_account> m_accounts;
    /// Sorted by key.
    std::vector<entry> m_keys;
};

/// Collects accounts in any order.
class account_table::builder
{
public:
    void add(client_account account, const std::vector<std::string> &keys);
    /// @returns nullopt if a name or a key is empty, or two accounts share a name or a key.
    std::optional<account_table> build() &&;

private:
    std::vector<std::pair<client_account, std::vector<key_digest>>> m_added;
    bool m_hasEmptyKey = false;
};

/// A request and what is known about its key.
struct access_query
{
    credential key;
    /// The request needs no key.
    bool isPublic = false;
    bool configKnown = false;
    /// Accounts of the configuration; nullptr where requests need no key.
    const account_table *accounts = nullptr;
    /// Time since which the configuration may have changed without this daemon knowing; nullopt if nothing
    /// has proven it current yet.
    std::optional<milliseconds> evidenceAge;
    /// Evidence up to this age admits keys; nullopt if any does.
    std::optional<milliseconds> admissionLimit;
};

/// The request may be sent. Empty for a request that needs no key.
struct access_granted
{
    account_id account;

    auto operator<=>(const access_granted &) const = default;
};

/// The request has no key of an account.
struct access_denied
{
    auto operator<=>(const access_denied &) const = default;
};

/// This daemon cannot tell whether the key is in force; others may.
struct access_undecided
{
    milliseconds retryAfter{0};

    auto operator<=>(const access_undecided &) const = default;
};

using access_verdict = std::variant<access_granted, access_denied, access_undecided>;

/// Decides whether a request may be sent, and for which account.
access_verdict authenticate(const access_query &query);

/// @returns the verdict as named in log lines and counters.
std::string toString(const access_verdict &verdict);

/// True if a batch exists for an account: it is the account's own, or was accepted without a key.
inline bool mayAccess(const account_id &owner, const account_id &account)
{
    return owner.empty() || owner == account;
}

/// @returns the rank of an account's requests on a route; 0 is the highest.
inline unsigned rankOf(const client_account *account, unsigned routePriority)
{
    return account == nullptr ? routePriority : account->priority.value_or(routePriority);
}

/// @returns the latest start of an item, in ms, by which waiting items of all accounts are ordered. Each rank
/// counts as a fixed delay, so that items of a low rank go first once they are late enough: no account
/// starves.
double rankedStartMs(double latestStartMs, unsigned rank);

} // namespace jacinthvale::node
