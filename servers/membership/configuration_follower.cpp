#include "servers/membership/configuration_follower.hpp"

#include "core/invariant.hpp"

namespace pomelohinge {
namespace {

/// Entries that are kept for VMs that lag behind, and the changes in all of
/// them. VMs that lag further get the whole configuration.
constexpr std::size_t most_kept_entries = 1024;
constexpr std::size_t most_kept_changes = 4096;

} // namespace

configuration_follower::configuration_follower(
    chart<configuration_chart> const& rules)
    : life_(rules)
{
}

void configuration_follower::fire(configuration_event event, time_point now)
{
    auto const before = life_.state();
    life_.fire(event, *this);
    if (life_.state() != before || event == configuration_event::still_missing)
        entered_at_ = now;
}

bool configuration_follower::offer(journal_entry const& entry, time_point now)
{
    auto const before = version_;
    offered_ = &entry;
    if (entry.version <= version_)
        fire(configuration_event::entry_known, now);
    else if (entry.version == version_ + 1)
        fire(configuration_event::entry_next, now);
    else
        fire(configuration_event::entry_ahead, now);
    offered_ = nullptr;
    return version_ != before;
}

bool configuration_follower::offer_whole(
    configuration whole, std::uint64_t version, time_point now)
{
    if (version <= version_)
        return false;
    current_ = std::move(whole);
    version_ = version;
    recent_.clear();
    recent_changes_ = 0;
    confirmed_current(now);
    return true;
}

void configuration_follower::confirmed_current(time_point now)
{
    fire(configuration_event::confirmed_current, now);
}

void configuration_follower::tick(time_point now)
{
    auto const& timeout = life_.timeout();
    if (timeout && now - entered_at_ >= timeout->after)
        fire(timeout->event, now);
}

bool configuration_follower::ready() const
{
    return state() != configuration_state::empty;
}

bool configuration_follower::keeps_after(std::uint64_t version) const
{
    return version >= version_ ||
        (!recent_.empty() && recent_.front().version <= version + 1);
}

std::vector<journal_entry> configuration_follower::entries_after(
    std::uint64_t version, std::size_t most) const
{
    std::vector<journal_entry> entries;
    if (!keeps_after(version))
        return entries;
    for (auto const& it : recent_)
        if (it.version > version && entries.size() < most)
            entries.push_back(it);
    return entries;
}

void configuration_follower::keep_recent()
{
    recent_.push_back(*offered_);
    recent_changes_ += offered_->changes.size();
    while (!recent_.empty() &&
        (recent_.size() > most_kept_entries ||
            recent_changes_ > most_kept_changes)) {
        recent_changes_ -= recent_.front().changes.size();
        recent_.pop_front();
    }
}

void configuration_follower::perform(configuration_action action)
{
    switch (action) {
    case configuration_action::apply_entry:
        assert_invariant(invariant::configuration_never_reverts,
            offered_->version == version_ + 1, offered_->write_id);
        current_ = current_.with(offered_->changes);
        version_ = offered_->version;
        return keep_recent();
    case configuration_action::ask_missing:
        missing_ = true;
        return;
    }
}

} // namespace pomelohinge
