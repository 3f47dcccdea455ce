/// Header fields that HTTP connections write themselves or leave out.
#pragma once

#include <absl/strings/match.h>
#include <string_view>

namespace jacinthvale {

/// A field with a line end in it would begin another one.
inline bool hasLineEnd(std::string_view text)
{
    return text.find_first_of("\r\n") != std::string_view::npos;
}

/// Headers that describe the framing of one connection; the connection writes its own.
inline bool isFraming(const std::string &name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length")
           || absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

} // namespace jacinthvale
