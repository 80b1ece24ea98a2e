#include "drivers/peers/codec.hpp"

#include "core/log.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

std::int64_t to_microseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

duration from_microseconds(std::int64_t value)
{
    return std::chrono::microseconds(value);
}

/// An age on the wire; negative stands for "never".
std::int64_t age_to_wire(duration age)
{
    return age == duration::max() ? -1 : to_microseconds(age);
}

duration age_from_wire(std::int64_t value)
{
    return value < 0 ? duration::max() : from_microseconds(value);
}

template <NamedEnum Enum>
std::uint32_t position(Enum value)
{
    return static_cast<std::uint32_t>(index_of(value));
}

/// The value at a position; `otherwise` if there is none.
template <NamedEnum Enum>
Enum at_position(std::uint32_t n, Enum otherwise)
{
    return n < enum_count<Enum> ? static_cast<Enum>(n) : otherwise;
}

template <class Repeated>
void headers_to_wire(std::vector<header_field> const& from, Repeated& to)
{
    for (auto const& it : from) {
        auto& field = *to.Add();
        field.set_name(it.name);
        field.set_value(it.value);
    }
}

template <class Repeated>
std::vector<header_field> headers_from_wire(Repeated& from)
{
    std::vector<header_field> headers;
    for (auto& it : from)
        headers.push_back(
            {std::move(*it.mutable_name()), std::move(*it.mutable_value())});
    return headers;
}

void to_wire(recorded_answer const& from, wire::Answer& to)
{
    to.set_status(static_cast<std::uint32_t>(from.status));
    to.set_content_type(from.content_type);
    to.set_body(from.body);
}

recorded_answer from_wire(wire::Answer const& from)
{
    return {static_cast<int>(from.status()), from.content_type(), from.body()};
}

void to_wire(idempotency_record const& from, wire::IdempotencyRecord& to)
{
    to.set_organisation(from.organisation);
    to.set_repeat_key(from.repeat_key);
    to.set_fingerprint(from.print);
    to.set_state(position(from.state));
    to_wire(from.answer, *to.mutable_answer());
    to.set_revision(from.revision);
    to.set_run_limit_us(to_microseconds(from.run_limit));
}

idempotency_record from_wire(wire::IdempotencyRecord const& from)
{
    idempotency_record to;
    to.organisation = from.organisation();
    to.repeat_key = from.repeat_key();
    to.print = from.fingerprint();
    to.state = at_position(from.state(), record_state::unknown);
    to.answer = from_wire(from.answer());
    to.revision = from.revision();
    to.run_limit = from_microseconds(from.run_limit_us());
    return to;
}

void to_wire(vm_record const& from, wire::Vm& to)
{
    to.set_vm(from.vm.text());
    to.set_data_centre(from.data_centre.text());
    to.set_peers_address(from.peers_address);
    to.set_callers_address(from.callers_address);
    to.set_incarnation(from.incarnation);
    to.set_standing(position(from.standing));
}

vm_record from_wire(wire::Vm const& from)
{
    vm_record to;
    to.vm = vm_id(from.vm());
    to.data_centre = data_centre_id(from.data_centre());
    to.peers_address = from.peers_address();
    to.callers_address = from.callers_address();
    to.incarnation = from.incarnation();
    to.standing = at_position(from.standing(), vm_standing::leaving);
    return to;
}

template <class Repeated>
void epochs_to_wire(std::vector<view_epoch> const& from, Repeated& to)
{
    for (auto const& it : from) {
        auto& epoch = *to.Add();
        epoch.set_data_centre(it.data_centre.text());
        epoch.set_epoch(it.epoch);
    }
}

template <class Repeated>
std::vector<view_epoch> epochs_from_wire(Repeated const& from)
{
    std::vector<view_epoch> epochs;
    for (auto const& it : from)
        epochs.push_back({data_centre_id(it.data_centre()), it.epoch()});
    return epochs;
}

void to_wire(data_centre_view const& from, wire::View& to)
{
    to.set_data_centre(from.data_centre.text());
    to.set_epoch(from.epoch);
    for (auto const& it : from.vms)
        to_wire(it, *to.add_vms());
}

data_centre_view from_wire(wire::View const& from)
{
    data_centre_view to;
    to.data_centre = data_centre_id(from.data_centre());
    to.epoch = from.epoch();
    for (auto const& it : from.vms())
        to.vms.push_back(from_wire(it));
    return to;
}

void to_wire(dated_summary const& from, wire::Summary& to)
{
    to.set_data_centre(from.data_centre.text());
    for (auto const it : from.summary.read_ages)
        to.add_read_ages(it);
    to.set_view_digest(from.summary.view_digest);
    for (auto const it : from.summary.hold_ages)
        to.add_hold_ages(it);
    to.set_age_us(to_microseconds(from.age));
}

template <class Repeated>
void copy_counts(
    Repeated const& from, std::array<std::uint32_t, age_classes>& to)
{
    auto const n = std::min<std::size_t>(
        age_classes, static_cast<std::size_t>(from.size()));
    std::copy_n(from.begin(), n, to.begin());
}

dated_summary from_wire(wire::Summary const& from)
{
    dated_summary to;
    to.data_centre = data_centre_id(from.data_centre());
    copy_counts(from.read_ages(), to.summary.read_ages);
    to.summary.view_digest = from.view_digest();
    copy_counts(from.hold_ages(), to.summary.hold_ages);
    to.age = from_microseconds(from.age_us());
    return to;
}

void take_entries(wire::SyncReply const& from, sync_reply& to)
{
    for (auto const& it : from.entries()) {
        findings found("peer");
        if (auto entry = decode_journal_entry(it, found))
            to.entries.push_back(std::move(*entry));
        else
            log(log_event::configuration_entry_refused,
                {{"findings", found.to_text()}});
    }
}

} // namespace

wire::DispatchOrder to_wire(dispatch_order const& from)
{
    wire::DispatchOrder to;
    to.set_target(from.target.text());
    to.set_service(from.service.text());
    to.set_organisation(from.organisation.text());
    if (from.key)
        to.set_key(from.key->data(), from.key->size());
    to.set_method(position(from.method));
    to.set_path(from.path);
    headers_to_wire(from.headers, *to.mutable_headers());
    to.set_body(from.body);
    to.set_request_id(from.request_id);
    to.set_remaining_us(to_microseconds(from.remaining));
    to.set_idempotent(from.idempotent);
    to.set_echoes_request_id(from.echoes_request_id);
    to.set_service_median_us(to_microseconds(from.baseline.median));
    to.set_service_failures(from.baseline.failures);
    return to;
}

dispatch_order from_wire(wire::DispatchOrder&& from)
{
    dispatch_order to;
    to.target = target_id(std::move(*from.mutable_target()));
    to.service = service_id(std::move(*from.mutable_service()));
    to.organisation = organisation_id(std::move(*from.mutable_organisation()));
    if (from.key().size() == key_hash{}.size()) {
        to.key.emplace();
        std::copy(from.key().begin(), from.key().end(), to.key->begin());
    }
    to.method = at_position(from.method(), http_method::post);
    to.path = std::move(*from.mutable_path());
    to.headers = headers_from_wire(*from.mutable_headers());
    to.body = std::move(*from.mutable_body());
    to.request_id = std::move(*from.mutable_request_id());
    to.remaining = from_microseconds(from.remaining_us());
    to.idempotent = from.idempotent();
    to.echoes_request_id = from.echoes_request_id();
    to.baseline = {
        from_microseconds(from.service_median_us()), from.service_failures()};
    return to;
}

wire::DispatchAnswer to_wire(dispatch_answer const& from)
{
    wire::DispatchAnswer to;
    to.set_result(position(from.result));
    to.set_attempt(position(from.attempt));
    to.set_status(static_cast<std::uint32_t>(from.answer.status));
    headers_to_wire(from.answer.headers, *to.mutable_headers());
    to.set_body(from.answer.body);
    to.set_load(from.load);
    to.set_service_time_us(to_microseconds(from.service_time));
    to.set_queue_time_us(to_microseconds(from.queue_time));
    return to;
}

dispatch_answer from_wire(wire::DispatchAnswer&& from)
{
    dispatch_answer to;
    to.result = at_position(from.result(), dispatch_outcome::lost);
    to.attempt = at_position(from.attempt(), attempt_result::connection_lost);
    to.answer.status = static_cast<int>(from.status());
    to.answer.headers = headers_from_wire(*from.mutable_headers());
    to.answer.body = std::move(*from.mutable_body());
    to.load = from.load();
    to.service_time = from_microseconds(from.service_time_us());
    to.queue_time = from_microseconds(from.queue_time_us());
    return to;
}

wire::ChargeQuestion to_wire(charge_question const& from)
{
    wire::ChargeQuestion to;
    to.set_organisation(from.organisation.text());
    to.set_fingerprint(from.print);
    to.set_after_crash(from.after_crash);
    return to;
}

charge_question from_wire(wire::ChargeQuestion const& from)
{
    return {organisation_id(from.organisation()), from.fingerprint(),
        from.after_crash()};
}

wire::ChargeReply to_wire(charge_reply const& from)
{
    wire::ChargeReply to;
    to.set_result(position(from.result));
    to.set_retry_after_us(to_microseconds(from.retry_after));
    return to;
}

charge_reply from_wire(wire::ChargeReply const& from)
{
    return {at_position(from.result(), charge_outcome::not_owner),
        from_microseconds(from.retry_after_us())};
}

wire::PoisonNotice to_wire(poison_notice const& from)
{
    wire::PoisonNotice to;
    to.set_organisation(from.organisation.text());
    to.set_fingerprint(from.print);
    to.set_report(position(from.report));
    return to;
}

poison_notice from_wire(wire::PoisonNotice const& from)
{
    return {organisation_id(from.organisation()), from.fingerprint(),
        at_position(from.report(), poison_report::crashed)};
}

wire::RecordQuestion to_wire(record_question const& from)
{
    wire::RecordQuestion to;
    to.set_step(position(from.step));
    to_wire(from.record, *to.mutable_record());
    return to;
}

record_question from_wire(wire::RecordQuestion const& from)
{
    return {
        at_position(from.step(), record_step::lose), from_wire(from.record())};
}

wire::RecordReply to_wire(record_reply const& from)
{
    wire::RecordReply to;
    for (auto const& it : from.records)
        to_wire(it, *to.add_records());
    to.set_result(position(from.result));
    to_wire(from.answer, *to.mutable_answer());
    return to;
}

record_reply from_wire(wire::RecordReply const& from)
{
    record_reply to;
    to.result = at_position(from.result(), record_outcome::unknown);
    to.answer = from_wire(from.answer());
    for (auto const& it : from.records())
        to.records.push_back(from_wire(it));
    return to;
}

wire::SyncQuestion to_wire(sync_question const& from)
{
    wire::SyncQuestion to;
    to_wire(from.from, *to.mutable_from());
    to.set_configuration_version(from.configuration_version);
    epochs_to_wire(from.epochs, *to.mutable_epochs());
    to.set_view_digest(from.view_digest);
    to.set_read_age_us(age_to_wire(from.read_age));
    to.set_stamp(from.stamp);
    return to;
}

sync_question from_wire(wire::SyncQuestion const& from)
{
    sync_question to;
    to.from = from_wire(from.from());
    to.configuration_version = from.configuration_version();
    to.epochs = epochs_from_wire(from.epochs());
    to.view_digest = from.view_digest();
    to.read_age = age_from_wire(from.read_age_us());
    to.stamp = from.stamp();
    return to;
}

wire::SyncReply to_wire(sync_reply const& from)
{
    wire::SyncReply to;
    to.set_stamp(from.stamp);
    to.set_ready(from.ready);
    to.set_configuration_version(from.configuration_version);
    for (auto const& it : from.entries)
        to.add_entries(encode_journal_entry(it));
    to.set_whole(from.whole);
    for (auto const& it : from.views)
        to_wire(it, *to.add_views());
    to.set_read_age_us(age_to_wire(from.read_age));
    for (auto const& it : from.summaries)
        to_wire(it, *to.add_summaries());
    return to;
}

sync_reply from_wire(wire::SyncReply const& from)
{
    sync_reply to;
    to.reached = true;
    to.stamp = from.stamp();
    to.ready = from.ready();
    to.configuration_version = from.configuration_version();
    take_entries(from, to);
    to.whole = from.whole();
    for (auto const& it : from.views())
        to.views.push_back(from_wire(it));
    to.read_age = age_from_wire(from.read_age_us());
    for (auto const& it : from.summaries())
        to.summaries.push_back(from_wire(it));
    return to;
}

wire::ReleaseNotice to_wire(release_notice const& from)
{
    wire::ReleaseNotice to;
    to.set_from(from.from.text());
    to.set_id(from.id);
    to.set_what(position(from.what));
    epochs_to_wire(from.epochs, *to.mutable_epochs());
    for (auto const& it : from.shares) {
        auto& share = *to.add_shares();
        share.set_organisation(it.organisation.text());
        share.set_tokens(it.tokens);
    }
    for (auto const& it : from.records)
        to_wire(it, *to.add_records());
    return to;
}

release_notice from_wire(wire::ReleaseNotice const& from)
{
    release_notice to;
    to.from = vm_id(from.from());
    to.id = from.id();
    to.what = at_position(from.what(), released_keys::all_but_targets);
    to.epochs = epochs_from_wire(from.epochs());
    for (auto const& it : from.shares())
        to.shares.push_back({organisation_id(it.organisation()), it.tokens()});
    for (auto const& it : from.records())
        to.records.push_back(from_wire(it));
    return to;
}

wire::FloorQuestion to_wire(floor_question const& from)
{
    wire::FloorQuestion to;
    to.set_service(from.service.text());
    for (auto const& it : from.reports) {
        auto& report = *to.add_reports();
        report.set_target(it.target.text());
        report.set_slots(it.slots);
        report.set_capacity(it.capacity);
        report.set_ejected(it.ejected);
    }
    for (auto const& it : from.eject)
        to.add_eject(it.text());
    for (auto const& it : from.returned)
        to.add_returned(it.text());
    return to;
}

floor_question from_wire(wire::FloorQuestion const& from)
{
    floor_question to;
    to.service = service_id(from.service());
    for (auto const& it : from.reports())
        to.reports.push_back(
            {target_id(it.target()), it.slots(), it.capacity(), it.ejected()});
    for (auto const& it : from.eject())
        to.eject.emplace_back(it);
    for (auto const& it : from.returned())
        to.returned.emplace_back(it);
    return to;
}

wire::FloorReply to_wire(floor_reply const& from)
{
    wire::FloorReply to;
    for (auto const& it : from.answers) {
        auto& answer = *to.add_answers();
        answer.set_target(it.target.text());
        answer.set_verdict(position(it.verdict));
    }
    return to;
}

floor_reply from_wire(wire::FloorReply const& from)
{
    floor_reply to;
    to.reached = true;
    for (auto const& it : from.answers())
        to.answers.push_back({target_id(it.target()),
            at_position(it.verdict(), floor_verdict::not_known)});
    return to;
}

wire::ReachQuestion to_wire(reach_question const& from)
{
    wire::ReachQuestion to;
    to.set_vm_address(from.vm_address);
    to.set_upstream_address(from.upstream_address);
    return to;
}

reach_question from_wire(wire::ReachQuestion const& from)
{
    return {from.vm_address(), from.upstream_address()};
}

wire::ReachReply to_wire(reach_verdict from)
{
    wire::ReachReply to;
    to.set_verdict(position(from));
    return to;
}

reach_verdict from_wire(wire::ReachReply const& from)
{
    return at_position(from.verdict(), reach_verdict::not_asked);
}

} // namespace pomelohinge
