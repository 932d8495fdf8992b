// HostRow: the desired state of one host, stored as one row of the table.
//
//   Result<HostRow> row = parseHostRow(tableRow.value);
//   const std::string document = toJson(row.value());
//
// The pool is a single member of a single row, so a host is in exactly one pool at any time. The
// epoch increases with state changes (see hostmove.cpp); commands to a host carry it, and a host
// ignores commands with a lower epoch than it has seen.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

enum class HostState : std::uint8_t {
    Serving, // accepts work of its pool
    Draining, // accepts no new work; running work ends or is stopped
    Out, // empty and under maintenance
    Joining, // empty, being admitted to its pool
};

// Why a host is not serving.
enum class HostPurpose : std::uint8_t {
    None,
    Move, // to another pool
    Maintenance, // by a wave; the host returns to the same pool
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
    std::string targetPool; // set while draining for a move, empty otherwise
    std::string operationId; // identifies the move or the wave; empty while serving
    std::int64_t drainDeadline = 0; // Unix time in seconds, 0 while serving
    std::int64_t maintainedAt = 0; // Unix time in seconds of the last maintenance

    bool operator==(const HostRow &) const = default;
};

inline constexpr std::string_view HostKeyPrefix = "host/";

std::string hostKey(std::string_view host);
// The name of `state` as stored in the row.
std::string toString(HostState state);

// Fails with RowMalformed unless `document` is a consistent host row. O(length).
Result<HostRow> parseHostRow(std::string_view document);

std::string toJson(const HostRow &row);

} // namespace sequoiapier
