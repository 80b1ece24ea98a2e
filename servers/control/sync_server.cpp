#include "servers/control/sync_server.hpp"

#include "core/log.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Two estimates of the time of one read differ by less than this, and two
/// reads by more.
constexpr duration min_read_interval = std::chrono::milliseconds(400);

bool is_remote(sync_relation relation)
{
    return relation == sync_relation::hub;
}

/// All reports of another data centre belong to one source, also after its hub
/// has changed.
std::string source_of(data_centre_id const& data_centre)
{
    return "data centre " + data_centre.text();
}

std::string source_of(sync_question const& question)
{
    return is_remote(question.relation) ? source_of(question.from.data_centre)
                                        : question.from.vm.text();
}

} // namespace

void sync_server::answer(
    sync_question question, time_point now, reply_callback reply)
{
    if (!is_remote(question.relation))
        last_question_at_ = now;
    members_.update_from_vm(
        question.from, question.report.load, question.liveness_timeout, now);
    reports_.add_report(source_of(question), is_remote(question.relation),
        std::move(question.report), now);
    question.report = {};
    answer_long_polls(now);
    if (question.long_poll_timeout <= duration::zero() ||
        has_updates(question, now))
        return reply(make_reply(question, now));
    auto const due = now + question.long_poll_timeout;
    long_polls_.push_back({std::move(question), due, std::move(reply)});
}

bool sync_server::has_updates(
    sync_question const& question, time_point now) const
{
    return question.configuration_version < fleet_state_.document().version ||
        fleet_state_.targets().has_changes_after(question.targets) ||
        question.closures_revision < fleet_state_.closures().revision ||
        has_newer(fleet_state_.rollouts(), question.rollouts, now) ||
        question.members_source != self_.incarnation ||
        question.members_sequence < members_.sequence() ||
        (question.is_idle ? has_newer_read(question)
                          : reports_.has_failures_for(source_of(question)));
}

bool sync_server::has_newer_read(sync_question const& question) const
{
    auto const it = replied_reads_.find(question.from.vm);
    return it == replied_reads_.end() ||
        fleet_state_.read_at() - it->second > min_read_interval;
}

sync_reply sync_server::make_reply(
    sync_question const& question, time_point now)
{
    sync_reply reply;
    reply.reached = true;
    reply.members_source = self_.incarnation;
    reply.members_sequence = members_.sequence();
    if (question.members_source != self_.incarnation ||
        question.members_sequence < members_.sequence())
        reply.members = members_.members();
    auto const& document = fleet_state_.document();
    reply.configuration.version = document.version;
    if (question.configuration_version < document.version)
        reply.configuration.text = document.text;
    reply.read_age = fleet_state_.read_age(now);
    replied_reads_[question.from.vm] = fleet_state_.read_at();
    reply.store_reached = store_reached_;
    reply.targets = fleet_state_.targets().changes_after(question.targets);
    if (question.closures_revision < fleet_state_.closures().revision)
        reply.closures = fleet_state_.closures();
    if (has_newer(fleet_state_.rollouts(), question.rollouts, now))
        reply.rollouts = fleet_state_.rollouts();
    reply.others =
        reports_.report_for(source_of(question), is_remote(question.relation));
    // Only hubs judge versions.
    if (!is_remote(question.relation))
        reply.others.rollouts.clear();
    // A VM without traffic does not use observations of targets.
    if (question.is_idle)
        reply.others.targets.clear();
    return reply;
}

void sync_server::answer_long_polls(time_point now)
{
    std::list<long_poll> ready;
    for (auto it = long_polls_.begin(); it != long_polls_.end();) {
        auto const next = std::next(it);
        if (it->due <= now || has_updates(it->question, now))
            ready.splice(ready.end(), long_polls_, it);
        it = next;
    }
    for (auto& it : ready)
        it.reply(make_reply(it.question, now));
}

time_point sync_server::next_due() const
{
    auto due = time_point::max();
    for (auto const& it : long_polls_)
        due = std::min(due, it.due);
    return due;
}

traffic_report sync_server::exchange_own_report(
    traffic_report report, time_point now)
{
    auto const& name = self_.vm.text();
    reports_.add_report(name, false, std::move(report), now);
    answer_long_polls(now);
    return reports_.report_for(name, false);
}

traffic_report sync_server::report_for_remote(data_centre_id const& data_centre)
{
    return reports_.report_for(source_of(data_centre), true);
}

void sync_server::add_remote_report(
    data_centre_id const& data_centre, traffic_report report, time_point now)
{
    reports_.add_report(source_of(data_centre), true, std::move(report), now);
    answer_long_polls(now);
}

void sync_server::choose_entries(time_point now)
{
    auto const members = members_.members();
    auto const chosen =
        entries_.choose(hub_order(members, self_.data_centre), now);
    if (!members_.set_entries(self_.data_centre, chosen))
        return;
    std::string names;
    for (auto const& it : chosen)
        names += (names.empty() ? "" : " ") + it.text();
    log(log_event::entries_chosen, {{"entries", names}});
}

void sync_server::expire(time_point now)
{
    reports_.expire(now);
    std::erase_if(replied_reads_,
        [&](auto const& it) { return members_.find(it.first) == nullptr; });
}

} // namespace pomelohinge
