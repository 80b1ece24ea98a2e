#ifndef POMELOHINGE_CHARTS_CHART_LIST_HPP
#define POMELOHINGE_CHARTS_CHART_LIST_HPP

#include "core/chart.hpp"
#include "servers/health/target_chart.hpp"
#include "servers/requests/request_chart.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The one list of all charts.
namespace pomelohinge {

/// A chart file as it is carried in the binary.
struct embedded_chart
{
    std::string_view name;
    std::string_view text;
};

/// All charts that are carried in the binary.
std::vector<embedded_chart> const& embedded_charts();

/// All charts, bound to code.
struct chart_list
{
    chart<target_chart> target;
    chart<request_chart> request;
};

/// Loads all charts, from `folder` or, if that is empty, from the binary.
/// All problems are added to `found`.
std::optional<chart_list> load_charts(
    std::string const& folder, findings& found);

} // namespace pomelohinge

#endif
