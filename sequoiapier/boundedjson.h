// Reading JSON and CBOR that another process wrote.
//
//   const nlohmann::json json = parseJson(text);
//   if (json.is_discarded()) ...                     // not JSON, or nested too deeply
//
// Values are copied, compared and written by recursion, and CBOR is read by it, so that a document
// of some hundred KB can exhaust the stack. Documents nested deeper than MaxJsonDepth are refused
// before anything is built from them.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace sequoiapier {

inline constexpr int MaxJsonDepth = 32; // our own documents reach 8

// Both give a discarded value for a malformed or too deeply nested document; parseCbor() may throw
// nlohmann::json::exception for lengths beyond all memory.
nlohmann::json parseJson(std::string_view text);
nlohmann::json parseCbor(std::string_view bytes);

} // namespace sequoiapier
