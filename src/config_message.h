/// Message by which daemons spread the configuration among themselves.
#pragma once

#include <jacinthvale/wire.h>

#include <string>

namespace jacinthvale {

enum class config_message_kind : std::uint8_t {
    /// Carries the sender's document.
    offer = 1,
    /// Asks for the receiver's state; the receiver answers with an offer if its revision is higher.
    ask = 2,
    /// Says what is in force at the sender.
    state = 3,
};

/// One message; every kind tells the sender's own state.
struct config_message
{
    std::uint8_t kind = 0;
    /// "host/role" of the sender.
    std::string name;
    bool hasDocument = false;
    std::uint64_t revision = 0;
    std::string hash;
    /// JSON of the document; only in an offer.
    std::string document;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, name, revision, hash, document);
        serializeFlag(archive, hasDocument);
    }
};

} // namespace jacinthvale
