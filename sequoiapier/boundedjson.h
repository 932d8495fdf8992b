// Parsers for JSON and CBOR from other processes, which limit the nesting depth.
//
//   const nlohmann::json json = parseJson(text);
//   if (json.is_discarded()) ...                     // malformed, or nested too deeply
//
// The JSON library copies, compares and serializes values recursively, and parses CBOR recursively,
// so that a deeply nested document of some hundred KB can exhaust the stack. Documents nested
// deeper than MaxJsonDepth are rejected before any value is built from them.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace sequoiapier {

inline constexpr int MaxJsonDepth = 32; // documents of this project reach 8

// Both return a discarded value for a malformed or too deeply nested document. parseCbor() may
// throw nlohmann::json::exception for a length that exceeds the addressable memory.
nlohmann::json parseJson(std::string_view text);
nlohmann::json parseCbor(std::string_view bytes);

} // namespace sequoiapier
