#include "servers/control/sync_server.hpp"

#include "core/log.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

bool is_distant(sync_relation relation)
{
    return relation == sync_relation::hub;
}

/// A data centre is one source, whichever of its VMs is the hub.
std::string source_of(data_centre_id const& data_centre)
{
    return "data centre " + data_centre.text();
}

std::string source_of(sync_question const& question)
{
    return is_distant(question.relation) ? source_of(question.from.data_centre)
                                         : question.from.vm.text();
}

} // namespace

void sync_server::answer(
    sync_question question, time_point now, reply_callback reply)
{
    if (!is_distant(question.relation))
        last_asked_ = now;
    members_.heard(
        question.from, question.report.load, question.liveness_timeout, now);
    ledger_.take(source_of(question), is_distant(question.relation),
        std::move(question.report), now);
    question.report = {};
    answer_waiting(now);
    if (question.long_poll_timeout <= duration::zero() ||
        has_observations(question))
        return reply(make_reply(question, now));
    auto const due = now + question.long_poll_timeout;
    waiting_.push_back({std::move(question), due, std::move(reply)});
}

bool sync_server::has_observations(sync_question const& question) const
{
    return question.configuration_version < knowledge_.document().version ||
        knowledge_.targets().has_changes_after(question.targets) ||
        question.closures_revision < knowledge_.closures().revision ||
        question.members_source != self_.incarnation ||
        question.members_sequence < members_.sequence() ||
        (!question.is_idle && ledger_.has_failures_for(source_of(question)));
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
    auto const& document = knowledge_.document();
    reply.configuration.version = document.version;
    if (question.configuration_version < document.version)
        reply.configuration.text = document.text;
    reply.read_age = knowledge_.read_age(now);
    reply.store_reached = store_reached_;
    reply.targets = knowledge_.targets().changes_after(question.targets);
    if (question.closures_revision < knowledge_.closures().revision)
        reply.closures = knowledge_.closures();
    reply.others =
        ledger_.report_for(source_of(question), is_distant(question.relation));
    // A VM without traffic has no use for what is seen of targets.
    if (question.is_idle)
        reply.others.targets.clear();
    return reply;
}

void sync_server::answer_waiting(time_point now)
{
    std::list<waiting> ready;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        auto const next = std::next(it);
        if (it->due <= now || has_observations(it->question))
            ready.splice(ready.end(), waiting_, it);
        it = next;
    }
    for (auto& it : ready)
        it.reply(make_reply(it.question, now));
}

time_point sync_server::next_due() const
{
    auto due = time_point::max();
    for (auto const& it : waiting_)
        due = std::min(due, it.due);
    return due;
}

traffic_report sync_server::exchange_own(traffic_report report, time_point now)
{
    auto const& name = self_.vm.text();
    ledger_.take(name, false, std::move(report), now);
    answer_waiting(now);
    return ledger_.report_for(name, false);
}

traffic_report sync_server::for_distant(data_centre_id const& data_centre)
{
    return ledger_.report_for(source_of(data_centre), true);
}

void sync_server::take_distant(
    data_centre_id const& data_centre, traffic_report report, time_point now)
{
    ledger_.take(source_of(data_centre), true, std::move(report), now);
    answer_waiting(now);
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
    ledger_.expire(now);
}

} // namespace pomelohinge
