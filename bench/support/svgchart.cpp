#include "bench/support/svgchart.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace sequoiapier {

namespace {

constexpr double Width = 640;
constexpr double Height = 400;
constexpr double LeftMargin = 70;
constexpr double RightMargin = 20;
constexpr double TopMargin = 40;
constexpr double BottomMargin = 90;
constexpr int TickCount = 5;
constexpr std::size_t LegendColumns = 3;
constexpr std::array<const char *, 6> Colors{"#1b6ca8", "#c2410c", "#15803d",
                                             "#7e22ce", "#a16207", "#475569"};

struct Scale
{
    double maxX = 1;
    double maxY = 1;

    double x(double value) const
    {
        return LeftMargin + value / maxX * (Width - LeftMargin - RightMargin);
    }
    double y(double value) const
    {
        return Height - BottomMargin - value / maxY * (Height - TopMargin - BottomMargin);
    }
};

Scale findScale(std::span<const ChartSeries> series)
{
    Scale scale{0, 0};
    for (const ChartSeries &line : series) {
        for (const ChartPoint &point : line.points) {
            scale.maxX = std::max(scale.maxX, point.x);
            scale.maxY = std::max(scale.maxY, point.y);
        }
    }
    return {scale.maxX > 0 ? scale.maxX : 1, scale.maxY > 0 ? scale.maxY : 1};
}

std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '<')
            escaped += "&lt;";
        else if (c == '&')
            escaped += "&amp;";
        else
            escaped += c;
    }
    return escaped;
}

void writeText(std::ostream &out, double x, double y, const char *anchor, const std::string &text)
{
    out << "<text x='" << x << "' y='" << y << "' text-anchor='" << anchor << "'>" << escape(text)
        << "</text>\n";
}

void writeAxes(std::ostream &out, const Scale &scale, const ChartText &text)
{
    for (int tick = 0; tick <= TickCount; ++tick) {
        const double x = scale.maxX * tick / TickCount;
        const double y = scale.maxY * tick / TickCount;
        std::ostringstream xText;
        std::ostringstream yText;
        xText << x;
        yText << y;
        out << "<line x1='" << LeftMargin << "' x2='" << Width - RightMargin << "' y1='"
            << scale.y(y) << "' y2='" << scale.y(y) << "' stroke='#ddd'/>\n";
        writeText(out, scale.x(x), Height - BottomMargin + 18, "middle", xText.str());
        writeText(out, LeftMargin - 6, scale.y(y) + 4, "end", yText.str());
    }
    writeText(out, Width / 2, Height - BottomMargin + 36, "middle", text.xLabel);
    writeText(out, LeftMargin, TopMargin - 8, "middle", text.yLabel);
    writeText(out, Width / 2, 18, "middle", text.title);
}

} // namespace

std::string svgChart(const ChartText &text, std::span<const ChartSeries> series)
{
    const Scale scale = findScale(series);
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width << "' height='" << Height
        << "' font-family='sans-serif' font-size='12'>\n<rect width='100%' height='100%' "
           "fill='white'/>\n";
    writeAxes(out, scale, text);
    for (std::size_t i = 0; i < series.size(); ++i) {
        const char *color = Colors[i % Colors.size()];
        out << "<polyline fill='none' stroke-width='2' stroke='" << color << "' points='";
        for (const ChartPoint &point : series[i].points)
            out << scale.x(point.x) << "," << scale.y(point.y) << " ";
        out << "'/>\n";
        const std::size_t legendRow = i / LegendColumns;
        const double legendX = LeftMargin + double(i % LegendColumns) * 190;
        const double legendY = Height - 30 + double(legendRow) * 16;
        out << "<rect x='" << legendX << "' y='" << legendY - 9 << "' width='10' height='10' fill='"
            << color << "'/>\n";
        writeText(out, legendX + 14, legendY, "start", series[i].name);
    }
    out << "</svg>\n";
    return out.str();
}

void writeSvgChart(const std::string &path, const ChartText &text,
                   std::span<const ChartSeries> series)
{
    if (!path.empty())
        std::ofstream(path) << svgChart(text, series);
}

} // namespace sequoiapier
