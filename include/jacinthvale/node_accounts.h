/// Client accounts of a configuration: which key belongs to which account.
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

struct client_account
{
    account_id name;
    /// 0 is the highest; goes before the priority of the route.
    unsigned priority = 0;

    auto operator<=>(const client_account &) const = default;
};

/// Accounts and the digests of their keys.
class account_table
{
public:
    class builder;

    /// @returns the account of a key; nullptr if no account has it.
    const client_account *find(const key_digest &key) const;
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

class account_table::builder
{
public:
    /// Adds an account. @returns false if its name is empty or known, or another account has one of the keys.
    bool add(client_account account, const std::vector<std::string> &keys);
    account_table build() &&;

private:
    account_table m_table;
};

} // namespace jacinthvale::node
