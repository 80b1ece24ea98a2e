#include "servers/membership/view.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pomelohinge {

bool fleet_view::adopt(data_centre_view view)
{
    auto& held = views_[view.data_centre];
    if (view.epoch <= held.epoch)
        return false;
    held = std::move(view);
    return true;
}

data_centre_view const* fleet_view::find(
    data_centre_id const& data_centre) const
{
    auto const it = views_.find(data_centre);
    return it == views_.end() ? nullptr : &it->second;
}

vm_record const* fleet_view::find(vm_id const& vm) const
{
    for (auto const& [data_centre, view] : views_)
        for (auto const& it : view.vms)
            if (it.vm == vm)
                return &it;
    return nullptr;
}

std::vector<vm_record> fleet_view::vms() const
{
    std::vector<vm_record> all;
    for (auto const& [data_centre, view] : views_)
        all.insert(all.end(), view.vms.begin(), view.vms.end());
    return all;
}

std::size_t fleet_view::size() const
{
    std::size_t sum = 0;
    for (auto const& [data_centre, view] : views_)
        sum += view.vms.size();
    return sum;
}

view_epochs fleet_view::epochs() const
{
    view_epochs all;
    for (auto const& [data_centre, view] : views_)
        all.emplace(data_centre, view.epoch);
    return all;
}

bool covers(view_epochs const& later, view_epochs const& earlier)
{
    return std::all_of(earlier.begin(), earlier.end(), [&](auto const& it) {
        auto const known = later.find(it.first);
        return known != later.end() && known->second >= it.second;
    });
}

std::uint64_t fleet_view::digest() const
{
    std::uint64_t state = 0;
    for (auto const& [data_centre, view] : views_) {
        auto const& name = data_centre.text();
        state = XXH64(name.data(), name.size(), state);
        state = XXH64(&view.epoch, sizeof view.epoch, state);
    }
    return state;
}

std::vector<vm_record> joined_between(
    fleet_view const& before, fleet_view const& after)
{
    std::vector<vm_record> joined;
    for (auto const& [data_centre, view] : after.data_centres()) {
        auto const* const old = before.find(data_centre);
        if (old != nullptr && old->epoch == view.epoch)
            continue;
        for (auto const& it : view.vms) {
            bool const known = old != nullptr &&
                std::any_of(old->vms.begin(), old->vms.end(),
                    [&](vm_record const& held) {
                        return held.incarnation == it.incarnation &&
                            held.vm == it.vm;
                    });
            if (!known)
                joined.push_back(it);
        }
    }
    return joined;
}

data_centre_view with_vm(data_centre_view view, vm_record record)
{
    auto const it = std::lower_bound(view.vms.begin(), view.vms.end(),
        record.vm,
        [](vm_record const& held, vm_id const& vm) { return held.vm < vm; });
    if (it != view.vms.end() && it->vm == record.vm)
        *it = std::move(record);
    else
        view.vms.insert(it, std::move(record));
    ++view.epoch;
    return view;
}

data_centre_view without_vm(data_centre_view view, vm_record const& record)
{
    auto const before = view.vms.size();
    std::erase_if(view.vms, [&](vm_record const& it) {
        return it.vm == record.vm && it.incarnation == record.incarnation;
    });
    if (view.vms.size() != before)
        ++view.epoch;
    return view;
}

} // namespace pomelohinge
