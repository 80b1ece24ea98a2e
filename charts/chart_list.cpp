#include "charts/chart_list.hpp"

#include <fstream>
#include <sstream>

namespace pomelohinge {
namespace {

/// Reads the text of a chart from the folder, or from the binary if `folder` is
/// empty.
std::optional<std::string> read_chart(
    std::string const& folder, std::string_view name, findings& found)
{
    if (folder.empty()) {
        for (auto const& it : embedded_charts())
            if (it.name == name)
                return std::string(it.text);
        found.add({}, "", "the binary has no embedded chart of this name");
        return std::nullopt;
    }
    std::ifstream file(folder + "/" + std::string(name) + ".jsonc");
    if (!file) {
        found.add({}, "", "the file cannot be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <ChartDefinition Definition>
std::optional<chart<Definition>> load_chart(
    std::string const& folder, std::string_view name, findings& found)
{
    findings chart_findings(std::string(name) + ".jsonc");
    std::optional<chart<Definition>> bound;
    if (auto const text = read_chart(folder, name, chart_findings))
        if (auto const parsed = parse_chart(*text, chart_findings))
            bound = chart<Definition>::bind(*parsed, chart_findings);
    for (auto const& it : chart_findings.items())
        found.add(
            it.position, std::string(name) + ".jsonc" + it.path, it.message);
    return bound;
}

} // namespace

std::optional<chart_list> load_charts(
    std::string const& folder, findings& found)
{
    auto health = load_chart<target_chart>(folder, "target", found);
    auto path = load_chart<path_chart>(folder, "path", found);
    auto pause = load_chart<pause_chart>(folder, "pause", found);
    auto replacement =
        load_chart<replacement_chart>(folder, "replacement", found);
    auto request = load_chart<request_chart>(folder, "request", found);
    auto process = load_chart<process_chart>(folder, "process", found);
    auto rollout = load_chart<rollout_chart>(folder, "rollout", found);
    auto hub_candidate =
        load_chart<hub_candidate_chart>(folder, "hub_candidate", found);
    if (!health || !path || !pause || !replacement || !request || !process ||
        !rollout || !hub_candidate)
        return std::nullopt;
    return chart_list{{std::move(*health), std::move(*path), std::move(*pause),
                          std::move(*replacement)},
        std::move(*request), std::move(*process), std::move(*rollout),
        std::move(*hub_candidate)};
}

} // namespace pomelohinge
