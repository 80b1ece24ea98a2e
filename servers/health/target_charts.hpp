#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_CHARTS_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_CHARTS_HPP

#include "core/chart.hpp"
#include "servers/health/path_chart.hpp"
#include "servers/health/pause_chart.hpp"
#include "servers/health/replacement_chart.hpp"
#include "servers/health/target_chart.hpp"

namespace pomelohinge {

/// The charts that a traffic thread follows for each target.
struct target_charts
{
    chart<target_chart> health;
    chart<path_chart> path;
    chart<pause_chart> pause;
    chart<replacement_chart> replacement;
};

} // namespace pomelohinge

#endif
