/// Values as bytes, for rows and for messages between daemons.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <jacinthvale/types.h>
#include <sstream>
#include <string>

namespace jacinthvale {

template <typename Archive, typename Tag>
void serialize(Archive &archive, text_id<Tag> &id)
{
    archive(id.value);
}

template <typename Archive, typename Tag>
void serialize(Archive &archive, number_id<Tag> &id)
{
    archive(id.value);
}

} // namespace jacinthvale

namespace jacinthvale::node {

/// First number of all bytes; a daemon ignores those of another version.
inline constexpr std::uint8_t kFormat = 1;

/// @returns the values in the order given.
template <typename... Values>
std::string pack(const Values &...values)
{
    std::ostringstream stream(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(kFormat, values...);
    return std::move(stream).str();
}

/// Bytes behind the values are left alone where they may be left from a longer copy.
enum class behind : std::uint8_t { nothing, anything };

/// Reads what pack() made. @returns false, with the values undefined, where the bytes are no such thing; the
/// caller logs what they were.
template <behind Rest = behind::nothing, typename... Values>
bool unpack(const std::string &bytes, Values &...values)
{
    try {
        std::istringstream stream(bytes, std::ios::binary);
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t format = 0;
        archive(format);
        if (format != kFormat) {
            return false;
        }
        archive(values...);
        return Rest == behind::anything || stream.peek() == std::istringstream::traits_type::eof();
    } catch (const std::exception &) {
        // Lengths in damaged bytes: cereal and the allocator throw.
        return false;
    }
}

} // namespace jacinthvale::node
