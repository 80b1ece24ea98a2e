#include "servers/dispatch/dispatcher.hpp"

#include <algorithm>

/// The dispatcher's part in the decision which requests go to other data
/// centres.
namespace pomelohinge {

bool dispatcher::has_targets_here(service_state const& service) const
{
    return std::any_of(
        service.targets.begin(), service.targets.end(), [&](auto const* it) {
            return it->accepts_requests() &&
                it->record().data_centre == data_centre_;
        });
}

/// Removes the candidates of other data centres that the request may not be
/// sent to, and sets the cost of the others.
void dispatcher::drop_distant_candidates(
    placement_request const& request, time_point now)
{
    if (!has_transfer())
        return;
    double success_here = 0;
    for (auto const& it : candidates_)
        if (it.local)
            success_here = std::max(success_here, 1 - it.failure_probability);
    transfer_request const asked{request.service.text(), request.priority,
        request.bytes, success_here,
        has_targets_here(state_of(request.service))};
    // Asked once for each data centre, since there may be hundreds of targets.
    std::map<std::string_view, std::optional<transfer_offer>> offers;
    std::size_t kept = 0;
    for (auto it : candidates_) {
        if (!it.local) {
            auto const& data_centre =
                eligible_[it.position]->record().data_centre.text();
            auto const [found, is_new] = offers.try_emplace(data_centre);
            if (is_new)
                found->second = transfer_->offer(asked, data_centre, now);
            auto const& offer = found->second;
            if (!offer || 1 - it.failure_probability <= offer->min_success)
                continue;
            it.distance_cost = offer->cost;
        }
        candidates_[kept++] = it;
    }
    candidates_.resize(kept);
}

/// Tells the decision how many slots of this data centre work.
void dispatcher::report_capacity()
{
    if (!has_transfer())
        return;
    for (auto const& [name, service] : services_) {
        double slots = 0;
        double occupied = 0;
        for (auto const* it : service.targets) {
            bool const works = it->accepts_requests() &&
                it->record().data_centre == data_centre_ &&
                it->health().state() == target_state::trusted &&
                it->path().state() == path_state::open;
            if (!works)
                continue;
            slots += static_cast<double>(it->record().slots);
            occupied += static_cast<double>(
                it->in_flight() + it->in_flight_elsewhere());
        }
        transfer_->set_capacity(
            name, slots, occupied, static_cast<double>(service.queue.size()));
    }
}

} // namespace pomelohinge
