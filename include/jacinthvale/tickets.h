/// Tickets: at-most-once runs without the store, recorded in the memory of the gate that issued the ticket.
#pragma once

#include <jacinthvale/types.h>

#include <map>
#include <optional>
#include <string>

namespace jacinthvale {

/// Fields of a ticket.
struct ticket_fields
{
    /// Address at which the issuing gate receives messages of peers.
    endpoint peer;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    /// Random number that proves that the ticket was issued.
    std::uint64_t secret = 0;

    auto operator<=>(const ticket_fields &) const = default;
};

std::string toString(const ticket_fields &ticket);

/// @returns nothing if the text is not a ticket.
std::optional<ticket_fields> parseTicket(const std::string &text);

enum class redemption_result : std::uint8_t {
    /// The request may run now; the ticket is used.
    granted,
    /// The ticket was used before; that run decides the answer.
    used,
    /// The ticket expired unused; no request ran or will run with it.
    expired,
    /// This process did not issue the ticket, or has removed it since.
    unknown,
};

/// Registry of the tickets that this process has issued.
class ticket_registry
{
public:
    /// @returns nothing if maxOutstanding tickets are registered.
    std::optional<ticket_fields> issue(const endpoint &peer, incarnation_id incarnation, std::uint64_t random,
                                       instant expiresAt, std::size_t maxOutstanding);

    /// Marks a ticket as used if it is valid.
    redemption_result redeem(const ticket_fields &ticket, instant now);

    /// Removes tickets whose expiry is at least the retention ago.
    void removeExpired(instant now, milliseconds retention);

    /// @returns true while a ticket can still be redeemed.
    bool hasRedeemable(instant now) const;

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
