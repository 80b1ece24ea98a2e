#include "servers/rollouts/rollout_decision.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Order of caution between two VMs that decide at the same time: what takes
/// requests from the new version goes before what gives it some. The final
/// states come first, since only the store decides between them.
int caution(rollout_state it)
{
    switch (it) {
    case rollout_state::succeeded:
    case rollout_state::rolled_back:
        return 4;
    case rollout_state::rolling_back:
        return 3;
    case rollout_state::ordered:
        return 2;
    case rollout_state::canary:
        return 1;
    case rollout_state::switching:
        return 0;
    }
    return 0;
}

rollout_decision more_cautious(
    rollout_decision const& held, rollout_decision const& incoming)
{
    auto merged =
        caution(held.state) > caution(incoming.state) ? held : incoming;
    merged.share = std::min(held.share, incoming.share);
    merged.started_at = std::min(held.started_at, incoming.started_at);
    return merged;
}

} // namespace

rollout_decision const* rollout_decisions::find(service_id const& service) const
{
    auto const it = std::find_if(items.begin(), items.end(),
        [&](auto const& item) { return item.service == service; });
    return it == items.end() ? nullptr : &*it;
}

bool rollout_decisions::has_open() const
{
    return std::any_of(items.begin(), items.end(),
        [](auto const& it) { return !is_final(it.state); });
}

bool has_newer(
    rollout_decisions const& mine, rollout_position const& held, time_point now)
{
    if (mine.position.decider == held.decider)
        return mine.position.sequence > held.sequence;
    bool const is_fresh =
        mine.has_open() && now - mine.decided_at < max_decision_age;
    return is_fresh || mine.position.revision > held.revision;
}

bool merge_decisions(
    rollout_decisions& held, rollout_decisions incoming, time_point now)
{
    bool const is_same_decider =
        held.position.decider == incoming.position.decider;
    if (is_same_decider && incoming.position.sequence <= held.position.sequence)
        return false;
    bool const is_held_fresh =
        held.has_open() && now - held.decided_at < max_decision_age;
    for (auto& it : incoming.items) {
        auto const* const known = held.find(it.service);
        if (known == nullptr || known->version != it.version)
            continue;
        if (is_final(known->state))
            it = *known;
        else if (!is_same_decider && is_held_fresh)
            it = more_cautious(*known, it);
    }
    // An order that only the other VM has read yet.
    if (!is_same_decider && incoming.position.revision < held.position.revision)
        for (auto const& it : held.items)
            if (incoming.find(it.service) == nullptr)
                incoming.items.push_back(it);
    bool const changed = held.items != incoming.items ||
        held.position.revision < incoming.position.revision;
    incoming.position.revision =
        std::max(held.position.revision, incoming.position.revision);
    incoming.decided_at = std::max(held.decided_at, incoming.decided_at);
    held = std::move(incoming);
    return changed;
}

} // namespace pomelohinge
