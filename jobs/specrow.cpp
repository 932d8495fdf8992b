// Encoded as the CBOR array [format, specification, terms], in which the specification is a byte
// string. Version 1 of the format was the specification alone.
#include "jobs/specrow.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sequoiapier::jobs {

namespace {

using nlohmann::json;

constexpr int RowFormat = 2;
constexpr std::size_t RowFields = 3;
constexpr std::size_t TermFields = 8;

json encodeTerms(const JobTerms &terms)
{
    return json::array({terms.priority, terms.maxAttempts, terms.stretch,
                        terms.objectiveMilliseconds, terms.isBeyondShare, terms.advice.isNeeded,
                        terms.advice.baseMilliseconds, terms.advice.perRunnerMilliseconds});
}

JobTerms parseTerms(const json &row)
{
    JobTerms terms;
    std::size_t field = 0;
    const auto next = [&](auto &target) { row.at(field++).get_to(target); };
    next(terms.priority);
    next(terms.maxAttempts);
    next(terms.stretch);
    next(terms.objectiveMilliseconds);
    next(terms.isBeyondShare);
    next(terms.advice.isNeeded);
    next(terms.advice.baseMilliseconds);
    next(terms.advice.perRunnerMilliseconds);
    terms.maxAttempts = std::max(terms.maxAttempts, 1U);
    return terms;
}

} // namespace

std::string encodeSpecRow(const JobSpec &spec, const JobTerms &terms)
{
    const std::string specBytes = encodeJobSpec(spec);
    const json document = json::array(
        {RowFormat, json::binary({specBytes.begin(), specBytes.end()}), encodeTerms(terms)});
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

Result<SpecRow> parseSpecRow(std::string_view bytes)
{
    const Error malformed{ResultCode::RowMalformed, "not the row of a job's specification"};
    try {
        // Throws for lengths that exceed the available memory even when exceptions are turned off.
        const json document = parseCbor(bytes);
        if (!document.is_array() || document.empty())
            return malformed;
        const bool hasTerms = document[0] == RowFormat;
        if (!hasTerms) {
            Result<JobSpec> spec = parseJobSpec(bytes);
            if (!spec)
                return spec.error();
            return SpecRow{.spec = std::move(spec.value())};
        }
        if (document.size() != RowFields || !document[1].is_binary()
            || document[2].size() != TermFields) {
            return malformed;
        }
        const json::binary_t &specBytes = document[1].get_binary();
        Result<JobSpec> spec = parseJobSpec(std::string(specBytes.begin(), specBytes.end()));
        if (!spec)
            return spec.error();
        return SpecRow{.spec = std::move(spec.value()), .terms = parseTerms(document[2])};
    } catch (const json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    }
}

} // namespace sequoiapier::jobs
