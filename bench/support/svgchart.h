// A line chart as an SVG file.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

struct ChartPoint
{
    double x = 0;
    double y = 0;
};

struct ChartSeries
{
    std::string name;
    std::vector<ChartPoint> points;
};

struct ChartText
{
    std::string title;
    std::string xLabel; // includes the unit
    std::string yLabel; // includes the unit
};

// Returns the SVG document. The axes run from 0 to the largest value.
std::string svgChart(const ChartText &text, std::span<const ChartSeries> series);

// Writes svgChart() to `path`; does nothing if the path is empty.
void writeSvgChart(const std::string &path, const ChartText &text,
                   std::span<const ChartSeries> series);

} // namespace sequoiapier
