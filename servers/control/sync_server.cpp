#include "servers/control/sync_server.hpp"

#include "core/log.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Two estimates of the time of one read differ by less than this, and two
/// reads by more.
constexpr duration min_read_interval = std::chrono::milliseconds(400);

/// Encoded size of a member in a reply.
constexpr double approximate_member_bytes = 100;

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
    add_report(question, now);
    answer_long_polls(now);
    if (question.long_poll_timeout <= duration::zero() ||
        has_updates(question, now))
        return reply(make_reply(question, now));
    auto const due = now + question.long_poll_timeout;
    long_polls_.push_back({std::move(question), due, std::move(reply)});
}

void sync_server::add_report(sync_question& question, time_point now)
{
    auto const source = source_of(question);
    if (!is_remote(question.relation))
        reports_.add_report(source, false, std::move(question.report), now);
    else if (auto report = remote_reports_.take_report(question, now))
        reports_.add_report(source, true, std::move(*report), now);
    question.report = {};
}

bool sync_server::has_updates(
    sync_question const& question, time_point now) const
{
    return question.configuration_version < fleet_state_.document().version ||
        fleet_state_.targets().has_changes_after(question.targets) ||
        question.closures.is_before(fleet_state_.closures()) ||
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

sync_reply sync_server::make_store_reply(
    sync_question const& question, time_point now) const
{
    sync_reply reply;
    reply.reached = true;
    auto const& document = fleet_state_.document();
    reply.configuration.version = document.version;
    if (question.configuration_version < document.version)
        reply.configuration.text = document.text;
    reply.read_age = fleet_state_.read_age(now);
    reply.store_reached = store_reached_;
    reply.targets = fleet_state_.targets().changes_after(question.targets);
    if (question.closures.is_before(fleet_state_.closures()))
        reply.closures = fleet_state_.closures();
    if (has_newer(fleet_state_.rollouts(), question.rollouts, now))
        reply.rollouts = fleet_state_.rollouts();
    return reply;
}

sync_reply sync_server::make_probe_reply() const
{
    sync_reply reply;
    reply.reached = true;
    reply.read_age = duration::zero();
    reply.members = fleet_members{*members_.find(self_.vm)};
    return reply;
}

sync_reply sync_server::make_reply(
    sync_question const& question, time_point now)
{
    auto reply = make_store_reply(question, now);
    replied_reads_[question.from.vm] = fleet_state_.read_at();
    write_members(question, reply);
    write_others(question, reply, now);
    return reply;
}

void sync_server::write_members(
    sync_question const& question, sync_reply& reply)
{
    reply.members_source = self_.incarnation;
    if (is_remote(question.relation) && remote_reports_.has_budget()) {
        auto const rows =
            remote_members_.write(question, members_, self_.data_centre, reply);
        remote_reports_.charge(question.from.data_centre,
            static_cast<double>(rows) * approximate_member_bytes);
        return;
    }
    reply.members_sequence = members_.sequence();
    if (question.members_source != self_.incarnation ||
        question.members_sequence < members_.sequence())
        reply.members = members_.members();
}

void sync_server::write_others(
    sync_question const& question, sync_reply& reply, time_point now)
{
    if (question.changes)
        reply.confirmed = remote_reports_.position_of(question.from.vm);
    reply.report_omitted = is_remote(question.relation) &&
        remote_reports_.omits_report(question, now);
    if (!reply.report_omitted)
        reply.others = reports_.report_for(
            source_of(question), is_remote(question.relation));
    // Only hubs judge versions.
    if (!is_remote(question.relation))
        reply.others.rollouts.clear();
    // A VM without traffic does not use observations of targets.
    if (question.is_idle)
        reply.others.targets.clear();
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

organisation_usage sync_server::usage_of(std::string const& organisation) const
{
    auto const& configured = fleet_state_.index()->source;
    auto const* const rate = configured.find<rate_object>(organisation);
    if (rate == nullptr || rate->requests_per_second <= 0)
        return {};
    return {reports_.granted(organisation),
        rate->requests_per_second * to_seconds(limit_window) +
            static_cast<double>(rate->burst)};
}

void sync_server::write_remote_report(sync_question& question,
    data_centre_id const& data_centre, vm_id const& hub, time_point now)
{
    remote_reports_.write(
        question, data_centre, hub,
        reports_.report_for(source_of(data_centre), true),
        [this](std::string const& it) { return usage_of(it); }, now);
}

bool sync_server::record_remote_reply(
    data_centre_id const& data_centre, sync_reply const& reply, time_point now)
{
    bool const asks_again =
        remote_reports_.record_reply(data_centre, reply, now);
    if (reply.reached && !reply.report_omitted)
        reports_.add_report(source_of(data_centre), true, reply.others, now);
    answer_long_polls(now);
    return asks_again;
}

void sync_server::choose_entries(time_point now)
{
    auto const& members = members_.members();
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
    remote_reports_.expire(now);
    std::erase_if(replied_reads_,
        [&](auto const& it) { return members_.find(it.first) == nullptr; });
}

} // namespace pomelohinge
