#include "measures.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace azurewell::load {

namespace {

constexpr int rowHeight = 16;
constexpr int barWidth = 220;
constexpr int labelWidth = 260;
constexpr int columnWidth = barWidth + 70;

struct Column
{
    const char *title;
    double Measures::*value;
};

constexpr std::array<Column, 5> columns{ {
        { "worst customer's share", &Measures::worstCustomerShare },
        { "load stall p95, s", &Measures::loadStallP95 },
        { "batch efficiency", &Measures::batchEfficiency },
        { "goodput, tokens/s", &Measures::goodput },
        { "first token p95, s", &Measures::firstTokenP95 },
} };

double largest(const std::vector<Measures> &all, const Column &column)
{
    double maximum = 1e-9;
    for (const Measures &measures : all)
        maximum = std::max(maximum, measures.*column.value);
    return maximum;
}

void drawColumn(std::string &svg, const std::vector<Measures> &all, const Column &column, int left)
{
    const double maximum = largest(all, column);
    auto out = std::back_inserter(svg);
    fmt::format_to(out, "<text x=\"{}\" y=\"14\" font-weight=\"bold\">{}</text>\n", left,
                   column.title);
    int top = 20;
    for (const Measures &measures : all) {
        const double value = measures.*column.value;
        const char *colour = measures.policy == "baseline" ? "#b0b0b0" : "#2060a0";
        fmt::format_to(out,
                       "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>"
                       "<text x=\"{}\" y=\"{}\">{:.2f}</text>\n",
                       left, top, value / maximum * barWidth, rowHeight - 3, colour,
                       left + barWidth + 4, top + rowHeight - 5, value);
        top += rowHeight;
    }
}

} // namespace

std::string toSvg(const std::vector<Measures> &all)
{
    const int width = labelWidth + columnWidth * static_cast<int>(columns.size());
    const int height = 30 + rowHeight * static_cast<int>(all.size());
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" "
                                  "height=\"{}\" font-family=\"sans-serif\" font-size=\"11\">\n",
                                  width, height);
    int top = 20 + rowHeight - 5;
    for (const Measures &measures : all) {
        svg += fmt::format("<text x=\"4\" y=\"{}\">{} {} {}</text>\n", top, measures.deployment,
                           measures.pattern, measures.policy);
        top += rowHeight;
    }
    int left = labelWidth;
    for (const Column &column : columns) {
        drawColumn(svg, all, column, left);
        left += columnWidth;
    }
    return svg + "</svg>\n";
}

} // namespace azurewell::load
