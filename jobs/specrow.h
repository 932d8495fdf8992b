// SpecRow: the immutable part of a job in the store, namely what the caller asked for and what it
// was promised.
//
//   std::string bytes = encodeSpecRow(job.spec, job.terms);
//   Result<SpecRow> row = parseSpecRow(bytes);
#pragma once

#include "jobs/jobspec.h"
#include "jobs/jobterms.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiapier::jobs {

struct SpecRow
{
    JobSpec spec;
    std::optional<JobTerms> terms; // nullopt in rows written before version 2 of the format.
};

// Maximum size of a row without its specification as encodeJobSpec() writes it.
inline constexpr std::size_t SpecRowFrameBytes = 100;

std::string encodeSpecRow(const JobSpec &spec, const JobTerms &terms);
// Returns RowMalformed if `bytes` were not written by encodeSpecRow() or encodeJobSpec().
Result<SpecRow> parseSpecRow(std::string_view bytes);

} // namespace sequoiapier::jobs
