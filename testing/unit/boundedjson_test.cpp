#include "sequoiapier/boundedjson.h"

#include <gtest/gtest.h>

#include <string>

namespace sequoiapier {
namespace {

std::string nestedText(int depth)
{
    return std::string(std::size_t(depth), '[') + std::string(std::size_t(depth), ']');
}

std::string nestedCbor(int depth)
{
    return std::string(std::size_t(depth - 1), '\x81')
        + '\x80'; // arrays of one element around an empty array
}

TEST(BoundedJson, ReadsUpToItsDepth)
{
    EXPECT_TRUE(parseJson(nestedText(MaxJsonDepth)).is_array());
    EXPECT_TRUE(parseJson(nestedText(MaxJsonDepth + 1)).is_discarded());
    EXPECT_TRUE(parseCbor(nestedCbor(MaxJsonDepth)).is_array());
    EXPECT_TRUE(parseCbor(nestedCbor(MaxJsonDepth + 1)).is_discarded());
}

TEST(BoundedJson, RefusesWhatWouldExhaustTheStack)
{
    constexpr int Deep = 1'000'000;
    EXPECT_TRUE(parseJson(nestedText(Deep)).is_discarded());
    EXPECT_TRUE(parseJson(std::string(Deep, '[')).is_discarded());
    EXPECT_TRUE(parseCbor(nestedCbor(Deep)).is_discarded());
    EXPECT_TRUE(parseCbor(std::string(Deep, '\xbf')).is_discarded()); // maps of indefinite length
}

TEST(BoundedJson, BracketsInStringsAndSiblingsDoNotCount)
{
    std::string text = R"({"a":")" + std::string(100, '[') + R"(\"[\\","b":[)";
    for (int i = 0; i < 100; ++i)
        text += "[1],";
    text += "{}]}";
    const nlohmann::json json = parseJson(text);
    ASSERT_TRUE(json.is_object());
    EXPECT_EQ(json["b"].size(), 101U);
}

TEST(BoundedJson, MalformedDocumentsAreDiscarded)
{
    for (const char *text : {"", "{", "]", "\"", "\"\\", "1e999", "nul"})
        EXPECT_TRUE(parseJson(text).is_discarded()) << text;
    EXPECT_TRUE(parseCbor("").is_discarded());
    EXPECT_TRUE(parseCbor("\x82\x01").is_discarded());
}

} // namespace
} // namespace sequoiapier
