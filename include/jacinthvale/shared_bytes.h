/// Immutable bytes that many holders share, so that a body of any size is in memory once.
#pragma once

#include <compare>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>

namespace jacinthvale {

/// Immutable string whose copies share one buffer.
class shared_bytes
{
public:
    shared_bytes() = default;
    shared_bytes(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {}
    shared_bytes(const char *text)
        : shared_bytes(std::string(text))
    {}

    const std::string &str() const
    {
        static const std::string kNone;
        return m_bytes == nullptr ? kNone : *m_bytes;
    }
    operator const std::string &() const { return str(); }
    operator std::string_view() const { return str(); }
    const char *data() const { return str().data(); }
    std::size_t size() const { return str().size(); }
    bool empty() const { return m_bytes == nullptr; }

    bool operator==(const shared_bytes &other) const { return str() == other.str(); }
    bool operator==(const std::string &other) const { return str() == other; }
    bool operator==(const char *other) const { return str() == other; }
    std::strong_ordering operator<=>(const shared_bytes &other) const { return str() <=> other.str(); }

    friend std::ostream &operator<<(std::ostream &out, const shared_bytes &bytes)
    {
        return out << bytes.str();
    }

private:
    std::shared_ptr<const std::string> m_bytes;
};

} // namespace jacinthvale
