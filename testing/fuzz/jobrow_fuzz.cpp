// Any table row either is refused or parses as a job row that survives a round trip through
// toJson().
#include "controller/jobrow.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<JobRow> row = parseJobRow(input);
    if (!row)
        return;
    const Result<JobRow> reparsed = parseJobRow(toJson(row.value()));
    require(bool(reparsed) && reparsed.value() == row.value(), "a job's row survives a round trip");
}
