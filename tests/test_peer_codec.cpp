// Messages between daemons: round trip, and refusal of whatever is damaged or foreign.
#include <gtest/gtest.h>
#include <jacinthvale/peer_codec.h>
#include <jacinthvale/wire.h>
#include <rapidcheck/gtest.h>

#include "keyed_hash.h"

using namespace jacinthvale;

namespace {

const std::string kKey = "a fleet key of this test";

peer_envelope makeEnvelope(std::string payload)
{
    return {{"gate-1"}, {7}, {"127.0.0.1", 9000}, {1000, 2}, domain::config, std::move(payload)};
}

struct wire_sample
{
    std::string name;
    std::vector<std::string> items;
    std::vector<std::uint64_t> numbers;
    bool flag = false;

    auto operator<=>(const wire_sample &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, items, numbers);
        serializeFlag(archive, flag);
    }
};

} // namespace

RC_GTEST_PROP(peer_codec, returnsWhatWasSent, (const std::string &payload))
{
    const peer_envelope sent = makeEnvelope(payload);
    const auto received = decodePeerMessage(encodePeerMessage(sent, kKey), kKey);
    RC_ASSERT(received.ok());
    RC_ASSERT(*received == sent);
}

RC_GTEST_PROP(peer_codec, refusesEveryDamagedByte,
              (const std::string &payload, std::size_t position, char with))
{
    std::string bytes = encodePeerMessage(makeEnvelope(payload), kKey);
    char &target = bytes.at(position % bytes.size());
    RC_PRE(target != with);
    target = with;
    RC_ASSERT(!decodePeerMessage(bytes, kKey).ok());
}

RC_GTEST_PROP(peer_codec, survivesAnyBytes, (const std::string &bytes))
{
    RC_ASSERT(!decodePeerMessage(bytes, kKey).ok());
    // Behind the keyed hash, too.
    RC_ASSERT(!decodePeerMessage(bytes + keyedHash(kKey, bytes), kKey).ok());
}

RC_GTEST_PROP(wire, survivesDamagedPayloads, (const std::string &name, std::size_t position, char with))
{
    const wire_sample sample{name, {name, "b"}, {1, 2}, true};
    std::string bytes = encodeWire(sample);
    RC_ASSERT(decodeWire<wire_sample>(bytes).value() == sample);
    bytes.at(position % bytes.size()) = with;
    static_cast<void>(decodeWire<wire_sample>(bytes).ok());
    bytes.resize(position % bytes.size());
    RC_ASSERT(!decodeWire<wire_sample>(bytes).ok());
}

TEST(wire, refusesAFlagThatIsNeitherZeroNorOne)
{
    std::string bytes = encodeWire(wire_sample{"n", {}, {}, true});
    EXPECT_TRUE(decodeWire<wire_sample>(bytes).value().flag);
    bytes.back() = 2;
    EXPECT_FALSE(decodeWire<wire_sample>(bytes).ok());
}

TEST(peer_codec, refusesAnotherKeyAndAnUnknownVersion)
{
    const std::string bytes = encodePeerMessage(makeEnvelope("x"), kKey);
    EXPECT_TRUE(absl::IsUnauthenticated(decodePeerMessage(bytes, "another key").status()));
    std::string content = bytes.substr(0, bytes.size() - kKeyedHashBytes);
    // Byte 0 is cereal's endianness mark, bytes 1 to 4 the magic, byte 5 the version.
    content.at(5) = static_cast<char>(kPeerProtocolVersion + 1);
    EXPECT_TRUE(
            absl::IsInvalidArgument(decodePeerMessage(content + keyedHash(kKey, content), kKey).status()));
}
