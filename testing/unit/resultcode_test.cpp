#include "sequoiapier/resultcode.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace sequoiapier {
namespace {

TEST(ResultCode, TableIsSortedWithoutRepeats)
{
    const auto table = resultTable();
    const auto notAscending = std::adjacent_find(
        table.begin(), table.end(),
        [](const ResultInfo &a, const ResultInfo &b) { return a.code >= b.code; });
    EXPECT_EQ(notAscending, table.end());
}

TEST(ResultCode, InfoOfAnUnknownNumberIsInternalError)
{
    EXPECT_EQ(resultInfo(ResultCode(9999)).code, ResultCode::InternalError);
}

std::string pageRow(const ResultInfo &info)
{
    std::ostringstream row;
    row << "| " << int(info.code) << " | " << info.name << " | "
        << (info.httpStatus != 0 ? std::to_string(info.httpStatus) : "-") << " | "
        << toString(info.runState) << " | " << info.meaning << " |";
    return row.str();
}

TEST(ResultCode, PageListsEveryCode)
{
    std::ifstream stream(SOURCE_DIRECTORY "/docs/RESULT_CODES.md");
    std::set<std::string> rows;
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("| ") && std::isdigit(line[2]) != 0)
            rows.insert(line);
    }
    for (const ResultInfo &info : resultTable())
        EXPECT_TRUE(rows.contains(pageRow(info))) << pageRow(info);
    EXPECT_EQ(rows.size(), resultTable().size());
}

} // namespace
} // namespace sequoiapier
