#include "servers/membership/evidence_summary.hpp"

#include <algorithm>
#include <vector>

namespace pomelohinge {
namespace {

/// The class of an age, rounded up.
std::size_t class_of(duration age)
{
    auto const n = static_cast<std::size_t>(
        std::max<duration::rep>(0, age / age_class_width));
    return std::min(n, age_classes - 1);
}

/// The largest age in a class; the last class has none.
duration upper_age(std::size_t n)
{
    if (n + 1 >= age_classes)
        return duration::max();
    return age_class_width * static_cast<duration::rep>(n + 1);
}

/// An age with the number of VMs that it holds for.
struct counted_age
{
    duration age;
    std::size_t vms;
};

/// The least age that covers `count` VMs.
duration age_of(std::vector<counted_age> ages, std::size_t count)
{
    if (count == 0)
        return duration::zero();

    std::sort(
        ages.begin(), ages.end(), [](auto const& left, auto const& right) {
            return left.age < right.age;
        });
    std::size_t covered = 0;
    for (auto const& it : ages) {
        covered += it.vms;
        if (covered >= count)
            return it.age;
    }
    return duration::max();
}

void add_ages(std::vector<counted_age>& ages,
    std::array<std::uint32_t, age_classes> const& counts, duration older_by)
{
    for (std::size_t it = 0; it + 1 < age_classes; ++it)
        if (counts[it] > 0)
            ages.push_back({upper_age(it) + older_by, counts[it]});
}

} // namespace

void evidence_book::heard(vm_id const& vm, std::uint64_t view_digest,
    duration read_age, time_point said_after)
{
    reports_[vm] = {view_digest, read_age, said_after};
}

void evidence_book::follow(data_centre_view const& view)
{
    absl::erase_if(reports_, [&](auto const& it) {
        return std::none_of(view.vms.begin(), view.vms.end(),
            [&](auto const& record) { return record.vm == it.first; });
    });
}

evidence_summary evidence_book::summarise(
    std::uint64_t view_digest, time_point now) const
{
    evidence_summary summary;
    summary.view_digest = view_digest;
    for (auto const& [vm, it] : reports_) {
        auto const report_age = now - it.said_after;
        bool const never_read = it.read_age == duration::max();
        auto const read_class =
            never_read ? age_classes - 1 : class_of(it.read_age + report_age);
        ++summary.read_ages[read_class];
        bool const stale = never_read || it.read_age > freshness_lease;
        if (stale && it.view_digest == view_digest)
            ++summary.hold_ages[class_of(report_age)];
    }
    return summary;
}

void fleet_evidence::put(data_centre_id const& data_centre,
    evidence_summary const& summary, time_point made_at)
{
    auto& held = summaries_[data_centre];
    if (held.made_at > made_at)
        return;
    held = {summary, made_at};
}

duration fleet_evidence::read_age_of(std::size_t count, time_point now) const
{
    std::vector<counted_age> ages;
    for (auto const& [data_centre, it] : summaries_)
        add_ages(ages, it.summary.read_ages, now - it.made_at);
    return age_of(std::move(ages), count);
}

hold_evidence fleet_evidence::majority_hold(
    std::size_t vms, std::uint64_t view_digest, time_point now) const
{
    std::vector<counted_age> ages;
    for (auto const& [data_centre, it] : summaries_)
        if (it.summary.view_digest == view_digest)
            add_ages(ages, it.summary.hold_ages, now - it.made_at);
    return {view_digest, age_of(std::move(ages), vms / 2 + 1)};
}

} // namespace pomelohinge
