#include "main/status_page.hpp"

#include "core/invariant.hpp"
#include "core/log.hpp"
#include "servers/exchange/remote_bytes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pomelohinge {
namespace {

nlohmann::ordered_json members_json(fleet_members const& members)
{
    auto data_centres = nlohmann::ordered_json::object();
    for (auto const& it : members)
        data_centres[it.record.data_centre.text()].push_back(
            {{"vm", it.record.vm.text()},
                {"callers", it.record.callers_address},
                {"standing", to_name(it.record.standing)}, {"alive", it.alive},
                {"entry", it.entry}});
    return data_centres;
}

nlohmann::ordered_json rollouts_json(
    std::vector<rollout_decision> const& rollouts)
{
    auto list = nlohmann::ordered_json::array();
    for (auto const& it : rollouts)
        list.push_back({{"service", it.service.text()}, {"version", it.version},
            {"state", to_name(it.state)}, {"share", it.share},
            {"canaries", it.canaries.size()}});
    return list;
}

void append_rollouts(
    std::string& text, std::vector<rollout_decision> const& rollouts)
{
    if (rollouts.empty())
        return;
    text += "# TYPE pomelohinge_rollout gauge\n";
    for (auto const& it : rollouts)
        text += fmt::format("pomelohinge_rollout{{service=\"{}\","
                            "version=\"{}\",state=\"{}\"}} {}\n",
            it.service.text(), it.version, to_name(it.state), it.share);
}

void append_gauge(std::string& text, std::string_view name, double value)
{
    text += fmt::format(
        "# TYPE pomelohinge_{} gauge\npomelohinge_{} {}\n", name, name, value);
}

} // namespace

std::string to_json(control_status const& status, vm_id const& vm,
    bool stopping, std::map<load_key, double> const& transfers)
{
    nlohmann::ordered_json body{{"vm", vm.text()},
        {"standing", to_name(status.standing)}, {"stopping", stopping},
        {"configuration_version", status.configuration_version},
        {"targets_revision", status.targets_revision},
        {"targets", status.targets},
        {"hub", status.hub.empty() ? vm.text() : status.hub},
        {"reads_store", status.reads_store}};
    if (status.read_age != duration::max())
        body["read_age_ms"] = to_milliseconds(status.read_age);
    if (!status.rollouts.empty())
        body["rollouts"] = rollouts_json(status.rollouts);
    auto shares = nlohmann::ordered_json::object();
    for (auto const& [key, share] : transfers)
        shares[key.service][key.data_centre] = share;
    body["transfers"] = std::move(shares);
    body["data_centres"] = members_json(status.members);
    body["invariant_violations"] = invariant_violations();
    return body.dump();
}

std::string control_metrics(control_status const& status)
{
    std::string text;
    auto const& members = status.members;
    auto const count = [&](auto predicate) {
        return static_cast<double>(
            std::count_if(members.begin(), members.end(), predicate));
    };
    append_gauge(text, "configuration_version",
        static_cast<double>(status.configuration_version));
    append_gauge(text, "targets", static_cast<double>(status.targets));
    append_gauge(text, "members", static_cast<double>(members.size()));
    append_gauge(
        text, "members_alive", count([](auto const& it) { return it.alive; }));
    append_gauge(
        text, "entries", count([](auto const& it) { return it.entry; }));
    append_gauge(text, "reads_store", status.reads_store ? 1 : 0);
    if (status.read_age != duration::max())
        append_gauge(text, "read_age_seconds", to_seconds(status.read_age));
    append_rollouts(text, status.rollouts);
    text += "# TYPE pomelohinge_remote_bytes_total counter\n";
    for (auto const& it : name_table<exchange_part>)
        text +=
            fmt::format("pomelohinge_remote_bytes_total{{part=\"{}\"}} {}\n",
                it.name, remote_bytes(it.value));
    text += "# TYPE pomelohinge_log_lines_dropped_total counter\n";
    for (auto const& it : name_table<log_event>)
        if (auto const n = dropped_lines(it.value); n > 0)
            text += fmt::format(
                "pomelohinge_log_lines_dropped_total{{event=\"{}\"}} {}\n",
                it.name, n);
    text += "# TYPE pomelohinge_invariant_violations_total counter\n";
    for (auto const& it : name_table<invariant>)
        text += fmt::format(
            "pomelohinge_invariant_violations_total{{invariant=\"{}\"}} {}\n",
            it.name, invariant_violations(it.value));
    return text;
}

} // namespace pomelohinge
