/// Input archive for cereal's portable binary format that tolerates damaged data.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <span>
#include <string_view>

namespace jacinthvale {

/// Reads from bytes in memory. cereal allocates as many elements as a length field says before it reads them,
/// so a damaged length could use up the memory of the process; here a length that exceeds the remaining bytes
/// throws cereal::Exception first.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    /// @remarks bytes must outlive the archive.
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this)
        , m_rest(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        (*this)(isLittleEndian);
        m_swapsBytes = (isLittleEndian != 0) != (std::endian::native == std::endian::little);
    }

    bool isAtEnd() const { return m_rest.empty(); }

    /// Reads elements of the given size.
    void readElements(void *data, std::size_t elementSize, std::size_t size)
    {
        requireBytes(size);
        const std::span<char> target(static_cast<char *>(data), size);
        std::copy_n(m_rest.begin(), size, target.begin());
        m_rest.remove_prefix(size);
        for (std::size_t i = 0; m_swapsBytes && elementSize > 1 && i < size; i += elementSize) {
            std::ranges::reverse(target.subspan(i, elementSize));
        }
    }

    /// Each element takes a byte or more.
    void requireBytes(std::uint64_t count) const
    {
        if (count > m_rest.size()) {
            throw cereal::Exception("a length exceeds the data that is left");
        }
    }

private:
    std::string_view m_rest;
    bool m_swapsBytes = false;
};

// Functions by which cereal reads from the archive.

template <typename Number>
requires std::is_arithmetic_v<Number>
void load(bounded_input_archive &archive, Number &value)
{
    if constexpr (std::is_same_v<Number, bool>) {
        std::uint8_t byte = 0;
        archive.readElements(&byte, sizeof(byte), sizeof(byte));
        if (byte > 1) {
            throw cereal::Exception("neither true nor false");
        }
        value = byte == 1;
    } else {
        archive.readElements(&value, sizeof(value), sizeof(value));
    }
}

template <typename Value>
void serialize(bounded_input_archive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template <typename Size>
void serialize(bounded_input_archive &archive, cereal::SizeTag<Size> &tag)
{
    archive(tag.size);
    archive.requireBytes(tag.size);
}

template <typename Data>
void load(bounded_input_archive &archive, cereal::BinaryData<Data> &data)
{
    archive.readElements(data.data, sizeof(std::remove_pointer_t<Data>), static_cast<std::size_t>(data.size));
}

} // namespace jacinthvale

/// cereal looks up by the matching output archive how a type is written.
template <>
struct cereal::traits::detail::get_output_from_input<jacinthvale::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
