/// Binary serialization of values for store rows and for messages between daemons.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <jacinthvale/bounded_archive.h>
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

/// Default format version, the first value in all packed data. Reading rejects other versions.
inline constexpr std::uint8_t kFormatVersion = 1;

/// Serializes the values in the given order, after the format version.
template <typename... Values>
std::string packAs(std::uint8_t format, const Values &...values)
{
    std::ostringstream stream(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(format, values...);
    return std::move(stream).str();
}

template <typename... Values>
std::string pack(const Values &...values)
{
    return packAs(kFormatVersion, values...);
}

/// Handling of bytes after the last value. `ignore` is for rows where a shorter value was written over some
/// of the fragments of a longer one, so that old fragments remain.
enum class trailing_bytes : std::uint8_t { reject, ignore };

/// Reads values written by packAs(). Returns false if the bytes are malformed or of another format version;
/// the values are then undefined, and the caller logs the failure.
template <trailing_bytes Trailing, typename... Values>
bool unpackAs(std::uint8_t expectedFormat, const std::string &bytes, Values &...values)
{
    try {
        bounded_input_archive archive(bytes);
        std::uint8_t format = 0;
        archive(format);
        if (format != expectedFormat) {
            return false;
        }
        archive(values...);
        return Trailing == trailing_bytes::ignore || archive.isAtEnd();
    } catch (const std::exception &) {
        // The archive throws on an invalid length in damaged bytes.
        return false;
    }
}

template <trailing_bytes Trailing = trailing_bytes::reject, typename... Values>
bool unpack(const std::string &bytes, Values &...values)
{
    return unpackAs<Trailing>(kFormatVersion, bytes, values...);
}

} // namespace jacinthvale::node
