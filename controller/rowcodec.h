// Strict JSON codec for table rows, shared by the row types of this directory.
//
//   Result<HostRow> row = detail::parseRow<HostRow>(document, "host row");
//
// A row type must have to_json() and from_json(). A parsed row is encoded again and rejected if the
// result differs from the document (unknown or missing member, wrong type, unknown enumerator).
#pragma once

#include "sequoiapier/boundedjson.h"
#include "sequoiapier/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace sequoiapier::detail {

// Fails with RowMalformed, naming `kind`, unless `document` is exactly what toJson() writes for
// some row.
template<typename Row>
Result<Row> parseRow(std::string_view document, std::string_view kind)
{
    const auto json = parseJson(document);
    const Error malformed{ResultCode::RowMalformed, std::string(kind) + " is malformed"};
    if (json.is_discarded())
        return malformed;
    try {
        Row row = json.get<Row>();
        if (nlohmann::json(row).dump() != json.dump())
            return malformed;
        return row;
    } catch (const nlohmann::json::exception &) {
        return malformed;
    }
}

} // namespace sequoiapier::detail
