// Parsers for JSON and CBOR from other processes, which limit the nesting depth.
//
//   const nlohmann::json json = parseJson(text);
//   if (json.is_discarded()) ...                     // malformed, or nested too deeply
//
// The JSON library copies, compares and serializes values recursively, and parses CBOR recursively,
// so that a deeply nested document of some hundred KB can exhaust the stack. Documents nested
// deeper than MaxJsonDepth are rejected before any value is built from them. A value takes up to
// about 100 bytes with its key, so that a document of very many short fields takes many times its
// size; countJsonValues() tells how many it has without building any.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace sequoiapier {

inline constexpr int MaxJsonDepth = 32; // documents of this project reach 8

// Both return a discarded value for a malformed or too deeply nested document. parseCbor() may
// throw nlohmann::json::exception for a length that exceeds the addressable memory.
nlohmann::json parseJson(std::string_view text);
// Returns the number of values in `text`, containers included. For an empty container, or for text
// that is not JSON, it may return more.
std::size_t countJsonValues(std::string_view text);
nlohmann::json parseCbor(std::string_view bytes);

} // namespace sequoiapier
