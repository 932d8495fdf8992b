// Report: the rows that a benchmark measured, as a text table on standard output and as JSON lines.
//
//   Report report("lending", argc, argv);
//   report.add("members=8", {{"messages_per_s", 16.0}, {"cpu_us", 3.1}});
//   return report.finish();
//
// With --out DIR the rows go to DIR/<name>.jsonl, one object a row, and charts may be written
// there.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct Measure
{
    std::string name; // with its unit, "cpu_us"
    double value = 0;
};

class Report
{
public:
    Report(std::string name, int argc, char **argv);

    void add(std::string label, std::vector<Measure> measures);
    // DIR/<file> for a chart, or an empty string without --out.
    std::string outputPath(std::string_view file) const;
    // Prints the table and writes the rows; the exit status.
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
