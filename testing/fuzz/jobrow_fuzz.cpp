// A row of the table either is refused or is exactly what toJson() writes for it.
#include "controller/jobrow.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<JobRow> row = parseJobRow(input);
    if (!row)
        return;
    const Result<JobRow> again = parseJobRow(toJson(row.value()));
    require(bool(again) && again.value() == row.value(), "a job's row survives a round trip");
}
