#include "bench/support/report.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

namespace sequoiapier {

Report::Report(std::string name, int argc, char **argv)
    : m_name(std::move(name))
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (std::string_view(argv[i]) == "--out")
            m_directory = argv[i + 1];
    }
    if (!m_directory.empty())
        std::filesystem::create_directories(m_directory);
}

void Report::add(std::string label, std::vector<Measure> measures)
{
    m_rows.push_back({std::move(label), std::move(measures)});
}

std::string Report::outputPath(std::string_view file) const
{
    return m_directory.empty() ? std::string() : m_directory + "/" + std::string(file);
}

int Report::finish() const
{
    std::printf("== %s\n", m_name.c_str());
    for (const Row &row : m_rows) {
        std::printf("%-44s", row.label.c_str());
        for (const Measure &measure : row.measures)
            std::printf("  %s=%.4g", measure.name.c_str(), measure.value);
        std::printf("\n");
    }
    if (m_directory.empty())
        return 0;
    std::ofstream stream(outputPath(m_name + ".jsonl"));
    for (const Row &row : m_rows) {
        nlohmann::ordered_json json{{"bench", m_name}, {"label", row.label}};
        for (const Measure &measure : row.measures)
            json[measure.name] = measure.value;
        stream << json.dump() << "\n";
    }
    return stream ? 0 : 1;
}

} // namespace sequoiapier
