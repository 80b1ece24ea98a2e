#include "main/status_page.hpp"

#include "core/invariant.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pomelohinge {
namespace {

nlohmann::ordered_json view_json(fleet_view const& view)
{
    auto data_centres = nlohmann::ordered_json::object();
    for (auto const& [name, it] : view.data_centres()) {
        auto vms = nlohmann::ordered_json::array();
        for (auto const& vm : it.vms)
            vms.push_back(
                {{"vm", vm.vm.text()}, {"callers", vm.callers_address},
                    {"standing", to_name(vm.standing)}});
        data_centres[name.text()] = {
            {"epoch", it.epoch}, {"vms", std::move(vms)}};
    }
    return data_centres;
}

nlohmann::ordered_json targets_json(std::vector<target_status> const& targets)
{
    auto rows = nlohmann::ordered_json::array();
    for (auto const& it : targets)
        rows.push_back(
            {{"target", it.target.text()}, {"state", to_name(it.state)},
                {"limit", it.limit}, {"score", it.score}});
    return rows;
}

} // namespace

std::string to_json(
    control_status const& status, vm_id const& vm, bool stopping)
{
    bool const never_read = status.read_age == duration::max();
    nlohmann::ordered_json body{{"vm", vm.text()},
        {"phase", to_name(status.phase)}, {"stopping", stopping},
        {"configuration_version", status.configuration_version},
        {"view_digest", fmt::format("{:016x}", status.view_digest)},
        {"lease_holds", status.lease_holds}, {"watcher", status.watcher}};
    if (!never_read)
        body["store_read_age_ms"] = to_milliseconds(status.read_age);
    body["data_centres"] = view_json(status.view);
    body["targets"] = targets_json(status.targets);
    body["invariant_violations"] = invariant_violations();
    return body.dump();
}

std::string control_metrics(control_status const& status)
{
    std::string text;
    text += "# TYPE pomelohinge_configuration_version gauge\n";
    text += fmt::format(
        "pomelohinge_configuration_version {}\n", status.configuration_version);
    text += "# TYPE pomelohinge_view_vms gauge\n";
    text += fmt::format("pomelohinge_view_vms {}\n", status.view.size());
    text += "# TYPE pomelohinge_lease_holds gauge\n";
    text +=
        fmt::format("pomelohinge_lease_holds {}\n", status.lease_holds ? 1 : 0);
    text += "# TYPE pomelohinge_invariant_violations_total counter\n";
    for (auto const& it : name_table<invariant>)
        text += fmt::format(
            "pomelohinge_invariant_violations_total{{invariant=\"{}\"}} {}\n",
            it.name, invariant_violations(it.value));
    return text;
}

} // namespace pomelohinge
