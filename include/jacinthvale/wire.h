/// Cereal encoding of messages between processes of this service, with limits on what a decoder allocates.
///
/// Message types include this header and no cereal container headers, so that every string and list is
/// bounded.
/// A message type defines: template <typename Archive> void serialize(Archive &archive).
#pragma once

#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <jacinthvale/types.h>
#include <sstream>
#include <string>
#include <vector>

namespace jacinthvale {

inline constexpr std::uint32_t kMaxWireTextBytes = 16 * 1024 * 1024;
inline constexpr std::uint32_t kMaxWireListItems = 1024 * 1024;

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

template <typename Archive>
void serialize(Archive &archive, endpoint &value)
{
    archive(value.address, value.port);
}

/// Serializes a bool as one byte, 0 or 1. Loading any other byte into a bool would be undefined behaviour.
/// @throws cereal::Exception for any other byte.
template <typename Archive>
void serializeFlag(Archive &archive, bool &flag)
{
    std::uint8_t byte = flag ? 1 : 0;
    archive(byte);
    if (byte > 1) {
        throw cereal::Exception("flag byte is neither 0 nor 1");
    }
    flag = byte == 1;
}

/// @returns the portable binary encoding of a message.
template <typename Message>
std::string encodeWire(const Message &message)
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
    return std::move(out).str();
}

/// Decodes one message that must occupy all bytes.
/// @returns InvalidArgument for truncated, oversized or trailing bytes.
template <typename Message>
absl::StatusOr<Message> decodeWire(const std::string &bytes)
{
    try {
        std::istringstream in(bytes, std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        if (in.peek() != std::istringstream::traits_type::eof()) {
            return absl::InvalidArgumentError("trailing bytes after the message");
        }
        return message;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace jacinthvale

namespace cereal {

template <typename Archive>
void save(Archive &archive, const std::string &text)
{
    archive(static_cast<std::uint32_t>(text.size()));
    archive(binary_data(text.data(), text.size()));
}

template <typename Archive>
void load(Archive &archive, std::string &text)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > jacinthvale::kMaxWireTextBytes) {
        throw Exception("string length exceeds the limit");
    }
    constexpr std::uint32_t kGrowthBytes = 64 * 1024;
    text.clear();
    // Grow in steps: with a forged size, reading fails at the end of the input before much is allocated.
    while (text.size() < size) {
        const std::size_t old = text.size();
        text.resize(std::min<std::size_t>(size, old + kGrowthBytes));
        archive(binary_data(text.data() + old, text.size() - old));
    }
}

template <typename Archive, typename Item>
void save(Archive &archive, const std::vector<Item> &items)
{
    archive(static_cast<std::uint32_t>(items.size()));
    for (const Item &item : items) {
        archive(item);
    }
}

template <typename Archive, typename Item>
void load(Archive &archive, std::vector<Item> &items)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > jacinthvale::kMaxWireListItems) {
        throw Exception("list length exceeds the limit");
    }
    items.clear();
    for (std::uint32_t i = 0; i < size; ++i) {
        items.emplace_back();
        archive(items.back());
    }
}

} // namespace cereal
