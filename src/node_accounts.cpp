#include <jacinthvale/node_accounts.h>

#include <algorithm>
#include <openssl/sha.h>

namespace jacinthvale::node {

key_digest digestOf(std::string_view key)
{
    static_assert(std::tuple_size_v<key_digest> == SHA256_DIGEST_LENGTH);
    key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

const client_account *account_table::find(const key_digest &key) const
{
    const auto found = std::ranges::lower_bound(m_keys, key, {}, &entry::key);
    return found == m_keys.end() || found->key != key ? nullptr : &m_accounts[found->account];
}

bool account_table::builder::add(client_account account, const std::vector<std::string> &keys)
{
    if (account.name.empty()
        || std::ranges::count(m_table.m_accounts, account.name, &client_account::name) > 0) {
        return false;
    }
    const std::size_t index = m_table.m_accounts.size();
    m_table.m_accounts.push_back(std::move(account));
    std::ranges::transform(keys, std::back_inserter(m_table.m_keys), [&](const std::string &key) {
        return entry{digestOf(key), index};
    });
    return true;
}

account_table account_table::builder::build() &&
{
    std::ranges::sort(m_table.m_keys);
    return std::move(m_table);
}

} // namespace jacinthvale::node
