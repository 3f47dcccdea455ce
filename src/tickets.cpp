#include <jacinthvale/tickets.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <vector>

namespace jacinthvale {

namespace {

constexpr char kSeparator = '/';
constexpr std::size_t kParts = 4;

} // namespace

std::string toString(const ticket_text &ticket)
{
    return absl::StrCat(toString(ticket.peer), "/", absl::Hex(ticket.incarnation.value), "/", ticket.number,
                        "/", absl::Hex(ticket.secret));
}

std::optional<ticket_text> parseTicket(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, kSeparator);
    ticket_text ticket;
    if (parts.size() != kParts || !absl::SimpleHexAtoi(parts[1], &ticket.incarnation.value)
        || !absl::SimpleAtoi(parts[2], &ticket.number) || !absl::SimpleHexAtoi(parts[3], &ticket.secret)) {
        return std::nullopt;
    }
    ticket.peer = parseEndpoint(parts[0]);
    return ticket.peer.empty() ? std::nullopt : std::optional(ticket);
}

std::optional<ticket_text> ticket_book::issue(const endpoint &peer, incarnation_id incarnation,
                                              std::uint64_t random, instant expiresAt, std::size_t maxOut)
{
    if (m_tickets.size() >= maxOut) {
        return std::nullopt;
    }
    const std::uint64_t number = ++m_lastNumber;
    m_tickets[number] = {random, expiresAt, false};
    return ticket_text{peer, incarnation, number, random};
}

redemption ticket_book::redeem(const ticket_text &ticket, instant now)
{
    const auto found = m_tickets.find(ticket.number);
    if (found == m_tickets.end() || found->second.secret != ticket.secret) {
        return redemption::unknown;
    }
    entry &known = found->second;
    if (known.used) {
        return redemption::used;
    }
    if (now >= known.expiresAt) {
        return redemption::expired;
    }
    known.used = true;
    return redemption::granted;
}

void ticket_book::forget(instant now, milliseconds keep)
{
    std::erase_if(m_tickets, [&](const auto &item) { return now >= item.second.expiresAt + keep; });
}

bool ticket_book::anyValid(instant now) const
{
    return std::ranges::any_of(
            m_tickets, [&](const auto &item) { return !item.second.used && now < item.second.expiresAt; });
}

} // namespace jacinthvale
