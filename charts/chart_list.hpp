#ifndef POMELOHINGE_CHARTS_CHART_LIST_HPP
#define POMELOHINGE_CHARTS_CHART_LIST_HPP

#include "core/chart.hpp"
#include "servers/health/target_charts.hpp"
#include "servers/lifecycle/process_chart.hpp"
#include "servers/membership/hub_candidate_chart.hpp"
#include "servers/requests/request_chart.hpp"
#include "servers/rollouts/rollout_chart.hpp"

#include <string>
#include <string_view>
#include <vector>

/// All state charts of the project.
namespace pomelohinge {

/// A chart file that is embedded in the binary.
struct embedded_chart
{
    /// File name without its extension.
    std::string_view name;
    std::string_view text;
};

/// Returns all charts that are embedded in the binary.
std::vector<embedded_chart> const& embedded_charts();

/// All charts, bound to their states, events, guards and actions.
struct chart_list
{
    target_charts target;
    chart<request_chart> request;
    chart<process_chart> process;
    chart<rollout_chart> rollout;
    chart<hub_candidate_chart> hub_candidate;
};

/// Loads all charts from `folder`, or from the binary if `folder` is empty.
/// Adds errors to `found`; returns `nullopt` if there are any.
std::optional<chart_list> load_charts(
    std::string const& folder, findings& found);

} // namespace pomelohinge

#endif
