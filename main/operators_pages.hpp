#ifndef POMELOHINGE_MAIN_OPERATORS_PAGES_HPP
#define POMELOHINGE_MAIN_OPERATORS_PAGES_HPP

#include "core/name_table.hpp"

namespace pomelohinge {

/// The pages that the operators' port serves, named by their path.
enum class operators_page { metrics, healthz, readyz, status, histograms };

template <>
inline constexpr auto
    name_table<operators_page> = make_name_table<operators_page>({
        {operators_page::metrics, "metrics"},
        {operators_page::healthz, "healthz"},
        {operators_page::readyz, "readyz"},
        {operators_page::status, "status"},
        {operators_page::histograms, "histograms"},
    });
static_assert(is_ordered<operators_page>());

} // namespace pomelohinge

#endif
