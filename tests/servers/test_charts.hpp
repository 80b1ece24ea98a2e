#ifndef POMELOHINGE_TESTS_SERVERS_TEST_CHARTS_HPP
#define POMELOHINGE_TESTS_SERVERS_TEST_CHARTS_HPP

#include "charts/chart_list.hpp"

namespace pomelohinge {

/// The charts that are embedded in the binary.
inline chart_list load_all_charts()
{
    findings found("charts");
    return std::move(*load_charts("", found));
}

} // namespace pomelohinge

#endif
