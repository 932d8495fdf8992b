// HostRow: everything the system has decided about one host, as one row of the table.
//
//   Result<HostRow> row = parseHostRow(tableRow.value);
//   const std::string document = toJson(row.value());
//
// The pool is one member of one row, so a host is in exactly one pool at every instant. The epoch
// grows with every change; commands to a host carry it, and a host ignores commands of a lower one.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

enum class HostState : std::uint8_t {
    Serving, // takes work of its pool
    Draining, // takes no new work; running work ends or is stopped
    Out, // empty and under maintenance
    Joining, // empty, being admitted to its pool
};

// Why a host is not serving.
enum class HostPurpose : std::uint8_t {
    None,
    Move, // to another pool
    Maintenance, // of a wave, back to the same pool
};

struct HostRow
{
    std::string host;
    std::string rack;
    std::string zone;
    std::string pool;
    HostState state = HostState::Serving;
    HostPurpose purpose = HostPurpose::None;
    std::uint64_t epoch = 1;
    std::string targetPool; // of a move, empty otherwise
    std::string operationId; // of the move, or the wave's identifier; empty while serving
    std::int64_t drainDeadline = 0; // Unix time in seconds, 0 while serving
    std::int64_t maintainedAt = 0; // Unix time in seconds of the last maintenance

    bool operator==(const HostRow &) const = default;
};

inline constexpr std::string_view HostKeyPrefix = "host/";

std::string hostKey(std::string_view host);
// As the row writes it.
std::string toString(HostState state);

// RowMalformed unless `document` is a consistent host row. O(length).
Result<HostRow> parseHostRow(std::string_view document);

std::string toJson(const HostRow &row);

} // namespace sequoiapier
