/// Tickets: at most one run without the store, from the memory of the gate that issued the ticket.
#pragma once

#include <jacinthvale/types.h>

#include <map>
#include <optional>
#include <string>

namespace jacinthvale {

/// What a ticket says.
struct ticket_text
{
    /// Where the issuing gate takes messages of peers.
    endpoint peer;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    /// Random; only a ticket that was really issued bears the right one.
    std::uint64_t secret = 0;

    auto operator<=>(const ticket_text &) const = default;
};

std::string toString(const ticket_text &ticket);

/// @returns nothing where the text is no ticket.
std::optional<ticket_text> parseTicket(const std::string &text);

enum class redemption : std::uint8_t {
    /// The bearer may run its request now; the ticket is used up.
    granted,
    /// Used before: its run decides the answer.
    used,
    /// Expired without use: nothing ran and nothing will.
    expired,
    /// Not issued here, or forgotten since.
    unknown,
};

/// Tickets that this process has issued.
class ticket_book
{
public:
    /// @returns nothing where too many are out.
    std::optional<ticket_text> issue(const endpoint &peer, incarnation_id incarnation, std::uint64_t random,
                                     instant expiresAt, std::size_t maxOut);

    /// Uses up a ticket.
    redemption redeem(const ticket_text &ticket, instant now);

    /// Forgets tickets that expired more than keep ago.
    void forget(instant now, milliseconds keep);

    /// @returns true while a ticket could still be redeemed.
    bool anyValid(instant now) const;

    std::size_t size() const { return m_tickets.size(); }

private:
    struct entry
    {
        std::uint64_t secret = 0;
        instant expiresAt{};
        bool used = false;
    };

    std::map<std::uint64_t, entry> m_tickets;
    std::uint64_t m_lastNumber = 0;
};

} // namespace jacinthvale
