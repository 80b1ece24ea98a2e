#include "servers/exchange/remote_reports.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// While questions are confirmed, the last confirmation is not older than two
/// periods of the exchange. Later the replies have the report, so that it
/// arrives although this hub does not reach the other one.
constexpr duration max_confirmation_age = std::chrono::milliseconds(600);

/// A sender is forgotten after this time, as the reports of a data centre are.
constexpr duration receiver_retention = std::chrono::seconds(20);

} // namespace

void remote_reports::write(sync_question& question,
    data_centre_id const& data_centre, vm_id const& hub, traffic_report report,
    report_sender::usage_lookup const& usage, time_point now)
{
    if (!has_budget()) {
        question.report = std::move(report);
        return;
    }
    auto& it =
        peers_.try_emplace(data_centre, peer{report_sender(first_stream_), {}})
            .first->second;
    it.sender.set_rate(
        budget_ / static_cast<double>(std::max<std::size_t>(data_centres_, 1)));
    if (it.hub != hub) {
        it.sender.record_failure();
        it.hub = hub;
        it.decodes_changes = false;
    }
    question.changes = it.sender.make(report, usage, now);
    // A hub of an earlier version ignores the changes.
    if (!it.decodes_changes)
        question.report = std::move(report);
}

bool remote_reports::record_reply(
    data_centre_id const& data_centre, sync_reply const& reply, time_point now)
{
    auto const found = peers_.find(data_centre);
    if (found == peers_.end())
        return false;
    auto& it = found->second;
    if (!reply.reached) {
        it.sender.record_failure();
        return false;
    }
    it.decodes_changes = reply.confirmed.has_value();
    return it.sender.record_reply(
               reply.confirmed.value_or(report_position()), now) &&
        it.decodes_changes;
}

std::optional<traffic_report> remote_reports::take_report(
    sync_question& question, time_point now)
{
    if (question.changes)
        return receivers_[question.from.vm].apply(*question.changes, now);
    return std::move(question.report);
}

report_position remote_reports::position_of(vm_id const& sender) const
{
    auto const it = receivers_.find(sender);
    return it == receivers_.end() ? report_position() : it->second.position();
}

bool remote_reports::omits_report(
    sync_question const& question, time_point now) const
{
    auto const it = peers_.find(question.from.data_centre);
    return has_budget() && question.changes && it != peers_.end() &&
        now - it->second.sender.confirmed_at() < max_confirmation_age;
}

void remote_reports::charge(data_centre_id const& data_centre, double bytes)
{
    auto const it = peers_.find(data_centre);
    if (it != peers_.end())
        it->second.sender.charge(bytes);
}

void remote_reports::expire(time_point now)
{
    std::erase_if(receivers_, [&](auto const& it) {
        return now - it.second.received_at() > receiver_retention;
    });
}

} // namespace pomelohinge
