#include "servers/control/probe_schedule.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// Limit on the probes of one VM. A probe and its answer take at most 260
/// bytes, so they cost at most 9 KB in any second.
constexpr bucket_rate max_probe_rate{25, 9};

/// Size of the first round of a search, and the factor by which each round is
/// larger than the one before.
constexpr std::size_t first_round = 4;
constexpr std::size_t round_growth = 4;

/// Probes in flight of a hub that hears of other VMs.
constexpr std::size_t max_hub_probes = 4;

/// More than the time in which a successor probes a VM that returns. All VMs
/// then leave it for that one at the same time, so callers keep their entries.
constexpr duration unheard_delay = std::chrono::milliseconds(2500);

/// `members`, as if those that have left were back.
fleet_members restore_left(fleet_members members)
{
    for (auto& it : members)
        if (!it.alive && it.record.standing == vm_standing::leaving)
            it.record.standing = vm_standing::serving;
    return members;
}

} // namespace

std::vector<vm_record> probe_schedule::begin(fleet_members const& members,
    vm_record const& self, bool is_hub, time_point now)
{
    now_ = now;
    if (!rate_)
        rate_ = token_bucket(max_probe_rate, max_probe_rate.burst, now);
    if (self.standing != vm_standing::serving)
        serving_since_ = now;
    auto const& own = self.data_centre;
    if (!is_hub) {
        search_hub(members, {own, hub_order(members, own), &self});
        return std::exchange(probes_, {});
    }
    auto const restored = restore_left(members);
    probe_unheard({own, hub_order(restored, own), &self});
    std::set<data_centre_id> others;
    for (auto const& it : members)
        if (it.record.data_centre != own)
            others.insert(it.record.data_centre);
    for (auto const& it : others)
        search_hub(members, {it, hub_order(members, it), nullptr});
    return std::exchange(probes_, {});
}

/// Probes the VMs of the own data centre that this hub does not hear of.
void probe_schedule::probe_unheard(data_centre_view const& it)
{
    bool const is_alone =
        std::none_of(it.order.begin(), it.order.end(), [&](auto const* member) {
            return member->alive && member->record.vm != it.self_id();
        });
    auto const in_flight = count_in_flight(it.order);
    auto free = max_hub_probes - std::min(max_hub_probes, in_flight);
    if (!is_alone)
        rounds_.erase(it.data_centre);
    auto& left = is_alone ? probes_left(it) : free;
    bool const is_new = now_ - serving_since_ < unheard_delay;
    bool is_after_self = false;
    for (std::size_t n = 0; n < it.order.size() && left > 0; ++n) {
        auto const& vm = it.order[n]->record;
        if (vm.vm == it.self_id()) {
            is_after_self = true;
            continue;
        }
        bool const failed = selector_.is_unreachable(vm.vm);
        // A VM that comes before this one and sends it questions is reached
        // only once it answers.
        bool const is_heard = it.order[n]->alive && (is_after_self || !failed);
        if (is_heard || (is_after_self && is_new))
            continue;
        // The VM that this hub has replaced was among the first ones.
        auto const max_delay = is_after_self && n > likely_hub_count
            ? hub_candidate::max_probe_delay
            : hub_candidate::min_probe_delay;
        bool const is_due =
            !failed || selector_.candidate(vm.vm).is_probe_due(max_delay, now_);
        if (is_due && add(vm))
            --left;
    }
}

/// Probes the VMs that come next while the hub of a data centre does not
/// answer, or else those that were skipped.
void probe_schedule::search_hub(
    fleet_members const& members, data_centre_view const& it)
{
    auto const chosen = it.is_own()
        ? selector_.choose(members, *it.self)
        : selector_.choose_remote(members, it.data_centre, now_);
    auto const hub = chosen ? chosen->vm : it.self_id();
    bool const is_searching = chosen &&
        selector_.candidate(hub).state() == hub_candidate_state::untried &&
        hub != it.order.front()->record.vm;
    if (is_searching)
        return probe_next(it, hub);
    rounds_.erase(it.data_centre);
    probe_skipped(it, hub);
}

/// Probes unreachable VMs that come before the hub and may be back: those that
/// others hear of, and the first ones, which all follow when they return.
/// Without a hub, each VM of another data centre may be the next one.
void probe_schedule::probe_skipped(data_centre_view const& it, vm_id const& hub)
{
    for (std::size_t n = 0; n < it.order.size(); ++n) {
        auto const& vm = it.order[n]->record;
        if (vm.vm == hub)
            return;
        bool const is_likely = it.order[n]->alive || n < likely_hub_count;
        if (!is_likely && hub != vm_id())
            continue;
        auto const max_delay = is_likely ? hub_candidate::min_probe_delay
                                         : hub_candidate::max_probe_delay;
        if (selector_.candidate(vm.vm).is_probe_due(max_delay, now_))
            add(vm);
    }
}

/// Probes the next VMs that were not tried; the hub gets the next sync.
void probe_schedule::probe_next(data_centre_view const& it, vm_id const& hub)
{
    auto& left = probes_left(it);
    for (auto const* member : it.order) {
        auto const& vm = member->record;
        if (left == 0 || vm.vm == it.self_id())
            return;
        bool const is_untried =
            selector_.candidate(vm.vm).state() == hub_candidate_state::untried;
        if (is_untried && vm.vm != hub && add(vm))
            --left;
    }
}

bool probe_schedule::add(vm_record const& vm)
{
    if (in_flight_.contains(vm.vm) || !rate_->take(now_))
        return false;
    in_flight_.insert(vm.vm);
    probes_.push_back(vm);
    return true;
}

std::size_t probe_schedule::count_in_flight(vm_order const& order) const
{
    return static_cast<std::size_t>(std::count_if(order.begin(), order.end(),
        [&](auto const* it) { return in_flight_.contains(it->record.vm); }));
}

std::size_t& probe_schedule::probes_left(data_centre_view const& it)
{
    auto& round = rounds_[it.data_centre];
    if (count_in_flight(it.order) == 0) {
        round.size = std::min(
            std::max(first_round, round.size * round_growth), it.order.size());
        round.left = round.size;
    }
    return round.left;
}

} // namespace pomelohinge
