/// Bound of the memory that a JSON document takes as a tree of values.
#pragma once

#include <cstddef>
#include <string>

namespace jacinthvale {

/// @returns false if the values of the document would take more bytes than maxBytes. Reads the text without
/// building the tree; a text that is no JSON fits if its values up to the fault do.
bool fitsAsTree(const std::string &text, std::size_t maxBytes);

/// Part of a process's memory that the tree of one document may take.
std::size_t treeBytesFor(double memoryMb);

} // namespace jacinthvale
