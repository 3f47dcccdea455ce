#include <jacinthvale/node_accounts.h>

#include "overloaded.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <openssl/sha.h>

namespace jacinthvale::node {

namespace {

/// Requests are denied on evidence up to this age: a new key or a route that became public is due everywhere
/// within 3 s, and a feed of changes may lag by 1 s.
constexpr milliseconds kMaxDenialAge{2000};

/// Retry-After delay for callers whose key cannot be decided on. Other daemons may be able to, so it is short
/// at first; an outage that has lasted longer is likely to last on.
constexpr milliseconds kMinUndecidedRetry{200};
constexpr milliseconds kMaxUndecidedRetry{2000};

/// Delay of an item's start for each rank below the highest.
constexpr double kRankDelayMs = 1000;

access_undecided undecided(const access_query &query, milliseconds limit)
{
    const milliseconds overdue = query.evidenceAge ? *query.evidenceAge - limit : milliseconds{0};
    return {std::clamp(overdue, kMinUndecidedRetry, kMaxUndecidedRetry)};
}

bool isWithin(const std::optional<milliseconds> &age, milliseconds limit)
{
    return age && *age <= limit;
}

} // namespace

key_digest digestOf(std::string_view key)
{
    static_assert(std::tuple_size_v<key_digest> == SHA256_DIGEST_LENGTH);
    key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

std::string logNameOf(const key_digest &key)
{
    // Hashed once more: the digest itself identifies the key in the table.
    const key_digest hash
            = digestOf({reinterpret_cast<const char *>(key.data()), key.size()}); // NOLINT: bytes of a digest
    return absl::StrFormat("%02x%02x%02x", hash[0], hash[1], hash[2]);
}

std::string toString(const credential &presented)
{
    return std::visit(overloaded{[](no_key) { return std::string("none"); },
                                 [](unusable_key) { return std::string("unusable"); },
                                 [](const key_digest &key) { return logNameOf(key); }},
                      presented);
}

const client_account *account_table::find(const key_digest &key) const
{
    const auto found = std::ranges::lower_bound(m_keys, key, {}, &entry::key);
    return found == m_keys.end() || found->key != key ? nullptr : &m_accounts[found->account];
}

const client_account *account_table::find(const account_id &name) const
{
    const auto found = std::ranges::lower_bound(m_accounts, name, {}, &client_account::name);
    return found == m_accounts.end() || found->name != name ? nullptr : &*found;
}

void account_table::builder::add(client_account account, const std::vector<std::string> &keys)
{
    m_hasEmptyKey |= std::ranges::any_of(keys, &std::string::empty);
    std::vector<key_digest> digests;
    std::ranges::transform(keys, std::back_inserter(digests),
                           [](const std::string &key) { return digestOf(key); });
    m_added.emplace_back(std::move(account), std::move(digests));
}

std::optional<account_table> account_table::builder::build() &&
{
    account_table table;
    std::ranges::sort(m_added, {}, [](const auto &added) -> const account_id & { return added.first.name; });
    for (auto &[account, keys] : m_added) {
        if (account.name.empty()
            || (!table.m_accounts.empty() && table.m_accounts.back().name == account.name)) {
            return std::nullopt;
        }
        const std::size_t index = table.m_accounts.size();
        table.m_accounts.push_back(std::move(account));
        std::ranges::transform(keys, std::back_inserter(table.m_keys), [&](const key_digest &key) {
            return entry{key, index};
        });
    }
    std::ranges::sort(table.m_keys);
    // An account may list a key twice.
    table.m_keys.erase(std::unique(table.m_keys.begin(), table.m_keys.end()), table.m_keys.end());
    const bool isShared = std::ranges::adjacent_find(table.m_keys, {}, &entry::key) != table.m_keys.end();
    return m_hasEmptyKey || isShared ? std::nullopt : std::optional(std::move(table));
}

access_verdict authenticate(const access_query &query)
{
    if (!query.configKnown) {
        return undecided(query, {});
    }
    if (query.accounts == nullptr) {
        return access_granted{};
    }
    const auto *key = std::get_if<key_digest>(&query.key);
    const client_account *account = key == nullptr ? nullptr : query.accounts->find(*key);
    if (query.isPublic) {
        return access_granted{account == nullptr ? account_id{} : account->name};
    }
    if (account != nullptr) {
        if (query.admissionLimit && !isWithin(query.evidenceAge, *query.admissionLimit)) {
            return undecided(query, *query.admissionLimit);
        }
        return access_granted{account->name};
    }
    if (!isWithin(query.evidenceAge, kMaxDenialAge)) {
        return undecided(query, kMaxDenialAge);
    }
    return access_denied{};
}

std::string toString(const access_verdict &verdict)
{
    return std::visit(overloaded{[](const access_granted &granted) {
                                     return std::string(granted.account.empty() ? "public" : "granted");
                                 },
                                 [](const access_denied &) { return std::string("denied"); },
                                 [](const access_undecided &) { return std::string("undecided"); }},
                      verdict);
}

double rankedStartMs(double latestStartMs, unsigned rank)
{
    return latestStartMs + kRankDelayMs * rank;
}

} // namespace jacinthvale::node
