// Report: prints the rows that a benchmark measured as a text table on standard output and writes
// them as JSON lines.
//
//   Report report("lending", argc, argv);
//   report.add("members=8", {{"messages_per_s", 16.0}, {"cpu_us", 3.1}});
//   return report.finish();
//
// With --out DIR the rows are written to DIR/<name>.jsonl, one object per row, and charts may be
// written to DIR.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct Measure
{
    std::string name; // name with unit, such as "cpu_us"
    double value = 0;
};

class Report
{
public:
    Report(std::string name, int argc, char **argv);

    void add(std::string label, std::vector<Measure> measures);
    // Returns the path DIR/<file> for a chart, or an empty string without --out.
    std::string outputPath(std::string_view file) const;
    // Prints the table, writes the rows and returns the exit status.
    int finish() const;

private:
    struct Row
    {
        std::string label;
        std::vector<Measure> measures;
    };

    std::string m_name;
    std::string m_directory;
    std::vector<Row> m_rows;
};

} // namespace sequoiapier
