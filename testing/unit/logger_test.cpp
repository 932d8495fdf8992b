#include "cli/logger.h"

#include <gtest/gtest.h>

#include <array>

namespace sequoiapier {
namespace {

const Logger::Options Gateway{.process = "gateway-1", .zone = "zone-1"};

TEST(Logger, KeyValueLineQuotesOnlyWhatNeedsIt)
{
    const std::array<LogField, 2> fields{{{"queue", "prices"}, {"detail", "two words\n"}}};
    EXPECT_EQ(
        Logger::formatLine(LogFormat::KeyValue, "T", "info", Gateway, "request.refused", fields),
        "time=T level=info process=gateway-1 zone=zone-1 event=request.refused queue=prices "
        "detail=\"two words\\n\"");
}

TEST(Logger, JsonLineIsOneObject)
{
    const std::array<LogField, 1> fields{{{"queue", "a\"b"}}};
    EXPECT_EQ(Logger::formatLine(LogFormat::Json, "T", "warn", Gateway, "e", fields),
              R"({"time":"T","level":"warn","process":"gateway-1","zone":"zone-1","event":"e",)"
              R"("queue":"a\"b"})");
}

} // namespace
} // namespace sequoiapier
