#include "json_tree.h"

#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr double kBytesPerMb = 1024 * 1024;
constexpr double kTreeShare = 0.2;
/// A shorter text fits in any process that can read it.
constexpr std::size_t kShortText = 64 * 1024;
/// A value in a growing array, with the copy of the array that grows.
constexpr std::size_t kValueBytes = 48;
constexpr std::size_t kStringBytes = 64;
constexpr std::size_t kKeyBytes = 96;
constexpr std::size_t kContainerBytes = 64;

/// Adds up what a parser would allocate, and ends the parse above a limit.
class tree_counter final : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit tree_counter(std::size_t maxBytes)
        : m_left(maxBytes)
    {}

    bool exceeded() const { return m_exceeded; }

    bool null() override { return take(kValueBytes); }
    bool boolean(bool) override { return take(kValueBytes); }
    bool number_integer(number_integer_t) override { return take(kValueBytes); }
    bool number_unsigned(number_unsigned_t) override { return take(kValueBytes); }
    bool number_float(number_float_t, const string_t &) override { return take(kValueBytes); }
    bool string(string_t &text) override { return take(kValueBytes + kStringBytes + text.size()); }
    bool binary(binary_t &bytes) override { return take(kValueBytes + bytes.size()); }
    bool start_object(std::size_t) override { return take(kValueBytes + kContainerBytes); }
    bool key(string_t &text) override { return take(kKeyBytes + text.size()); }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return take(kValueBytes + kContainerBytes); }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool take(std::size_t bytes)
    {
        m_exceeded = bytes > m_left;
        m_left -= m_exceeded ? 0 : bytes;
        return !m_exceeded;
    }

    std::size_t m_left;
    bool m_exceeded = false;
};

} // namespace

bool fitsAsTree(const std::string &text, std::size_t maxBytes)
{
    if (text.size() <= kShortText) {
        return true;
    }
    tree_counter counter(maxBytes);
    nlohmann::json::sax_parse(text, &counter);
    return !counter.exceeded();
}

std::size_t treeBytesFor(double memoryMb)
{
    return static_cast<std::size_t>(memoryMb * kBytesPerMb * kTreeShare);
}

} // namespace jacinthvale
