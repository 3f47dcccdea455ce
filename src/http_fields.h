/// What the parts of a request's head may hold (RFC 9110, section 5; RFC 9112, section 3), and the header
/// fields that HTTP connections write themselves or leave out.
#pragma once

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <string_view>

namespace jacinthvale {

/// A field with a line end in it would begin another one.
inline bool hasLineEnd(std::string_view text)
{
    return text.find_first_of("\r\n") != std::string_view::npos;
}

/// True for a token, such as a method or the name of a header.
inline bool isHttpToken(std::string_view text)
{
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || kMarks.find(c) != std::string_view::npos;
    });
}

/// True if the text can be the value of a header: no control characters but tabs.
inline bool isFieldValue(std::string_view text)
{
    return std::ranges::none_of(
            text, [](char c) { return c != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(c)); });
}

/// True if the text arrives as it is in the value of a header: recipients strip blanks at both ends.
inline bool isWholeFieldValue(std::string_view text)
{
    return !text.empty() && isFieldValue(text)
           && absl::StripAsciiWhitespace({text.data(), text.size()}).size() == text.size();
}

/// True if the text holds neither blanks nor control characters, which would end a word of the request line.
inline bool isRequestLineWord(std::string_view text)
{
    return !text.empty() && std::ranges::none_of(text, [](char c) {
        return c == ' ' || absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

/// True for a path, with or without a query, as a request line bears it.
inline bool isRequestTarget(std::string_view text)
{
    return text.starts_with('/') && isRequestLineWord(text);
}

/// Headers that describe the framing of one connection; the connection writes its own.
inline bool isFraming(const std::string &name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length")
           || absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

} // namespace jacinthvale
