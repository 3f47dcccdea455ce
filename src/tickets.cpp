#include <jacinthvale/tickets.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <vector>

namespace jacinthvale {

namespace {

constexpr char kSeparator = '/';
constexpr std::size_t kFieldCount = 4;

} // namespace

std::string toString(const ticket_fields &ticket)
{
    return absl::StrCat(toString(ticket.peer), "/", absl::Hex(ticket.incarnation.value), "/", ticket.number,
                        "/", absl::Hex(ticket.secret));
}

std::optional<ticket_fields> parseTicket(const std::string &text)
{
    const std::vector<std::string> fields = absl::StrSplit(text, kSeparator);
    ticket_fields ticket;
    if (fields.size() != kFieldCount || !absl::SimpleHexAtoi(fields[1], &ticket.incarnation.value)
        || !absl::SimpleAtoi(fields[2], &ticket.number) || !absl::SimpleHexAtoi(fields[3], &ticket.secret)) {
        return std::nullopt;
    }
    ticket.peer = parseEndpoint(fields[0]);
    return ticket.peer.empty() ? std::nullopt : std::optional(ticket);
}

std::optional<ticket_fields> ticket_registry::issue(const endpoint &peer, incarnation_id incarnation,
                                                    std::uint64_t random, instant expiresAt,
                                                    std::size_t maxOutstanding)
{
    if (m_tickets.size() >= maxOutstanding) {
        return std::nullopt;
    }
    const std::uint64_t number = ++m_lastNumber;
    m_tickets[number] = {random, expiresAt, false};
    return ticket_fields{peer, incarnation, number, random};
}

redemption_result ticket_registry::redeem(const ticket_fields &ticket, instant now)
{
    const auto found = m_tickets.find(ticket.number);
    if (found == m_tickets.end() || found->second.secret != ticket.secret) {
        return redemption_result::unknown;
    }
    entry &issued = found->second;
    if (issued.used) {
        return redemption_result::used;
    }
    if (now >= issued.expiresAt) {
        return redemption_result::expired;
    }
    issued.used = true;
    return redemption_result::granted;
}

void ticket_registry::removeExpired(instant now, milliseconds retention)
{
    std::erase_if(m_tickets, [&](const auto &item) { return now >= item.second.expiresAt + retention; });
}

bool ticket_registry::hasRedeemable(instant now) const
{
    return std::ranges::any_of(
            m_tickets, [&](const auto &item) { return !item.second.used && now < item.second.expiresAt; });
}

} // namespace jacinthvale
