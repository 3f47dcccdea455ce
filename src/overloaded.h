/// Builds a std::visit visitor from lambdas.
#pragma once

namespace jacinthvale {

template <typename... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};

template <typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace jacinthvale
