#include "drivers/peers/codec.hpp"

#include "drivers/peers/rollout_codec.hpp"
#include "drivers/peers/wire_values.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace pomelohinge {
namespace {

// The overloads below would hide those of rollout_codec.hpp.
using pomelohinge::fill;
using pomelohinge::from_wire;

void fill(wire::Vm& to, vm_record const& from)
{
    to.set_vm(from.vm.text());
    to.set_data_centre(from.data_centre.text());
    to.set_peers_address(from.peers_address);
    to.set_callers_address(from.callers_address);
    to.set_incarnation(from.incarnation);
    to.set_standing(enum_to_wire(from.standing));
    to.set_cores(from.cores);
    to.set_link_mbps(from.link_mbps);
}

vm_record from_wire(wire::Vm const& from)
{
    return {vm_id(from.vm()), data_centre_id(from.data_centre()),
        from.peers_address(), from.callers_address(), from.incarnation(),
        enum_from_wire(from.standing(), vm_standing::leaving),
        quantity_from_wire(from.cores()), quantity_from_wire(from.link_mbps())};
}

void fill(wire::Demand& to, grant_counts const& from)
{
    auto const add = [&](double count) {
        to.add_grants(
            static_cast<std::uint32_t>(std::lround(std::max(count, 0.0))));
    };
    for (auto const count : from.within_steps)
        add(count);
    add(from.within_window);
}

grant_counts grants_from_wire(wire::Demand const& from)
{
    grant_counts counts;
    auto const steps = static_cast<int>(counts.within_steps.size());
    if (from.grants_size() != steps + 1)
        return counts;
    for (int n = 0; n < steps; ++n)
        counts.within_steps[static_cast<std::size_t>(n)] = from.grants(n);
    counts.within_window = from.grants(steps);
    return counts;
}

std::uint32_t rounded(double value)
{
    constexpr double largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::lround(std::clamp(value, 0.0, largest)));
}

void fill(wire::Suspect& to, poison_suspect const& from)
{
    to.set_fingerprint(from.request_fingerprint);
    to.set_crashes(from.crashes);
    to.set_age_us(to_microseconds(from.age));
}

void fill(wire::ServiceLoad& to, load_key const& key, service_load const& from)
{
    to.set_service(key.service);
    to.set_data_centre(key.data_centre);
    for (auto const& [priority, rate] : from.arrivals) {
        to.add_priorities(priority);
        to.add_arrivals(static_cast<float>(rate));
    }
    to.set_completions(static_cast<float>(from.completions));
    to.set_busy(static_cast<float>(from.busy));
    to.set_queued(static_cast<float>(from.queued));
    to.set_refused(static_cast<float>(from.refused));
    to.set_slots(static_cast<float>(from.slots));
    to.set_occupied(static_cast<float>(from.occupied));
    to.set_reporters(from.reporters);
    to.set_age_us(to_microseconds(from.age));
}

template <class Rows>
void fill_loads(Rows& to, service_loads const& from)
{
    for (auto const& [key, it] : from)
        fill(*to.Add(), key, it);
}

service_load from_wire(wire::ServiceLoad const& from)
{
    service_load load;
    auto const n = std::min(from.priorities_size(), from.arrivals_size());
    for (int it = 0; it < n; ++it)
        load.arrivals[from.priorities(it)] =
            quantity_from_wire(from.arrivals(it));
    load.completions = quantity_from_wire(from.completions());
    load.busy = quantity_from_wire(from.busy());
    load.queued = quantity_from_wire(from.queued());
    load.refused = quantity_from_wire(from.refused());
    load.slots = quantity_from_wire(from.slots());
    load.occupied = quantity_from_wire(from.occupied());
    load.reporters = from.reporters();
    load.age = from_microseconds(from.age_us());
    return load;
}

template <class Rows>
service_loads loads_from_wire(Rows const& from)
{
    service_loads loads;
    for (auto const& it : from)
        loads[{it.service(), it.data_centre()}] = from_wire(it);
    return loads;
}

/// Numbers in a row of `ReportChanges`.
constexpr int target_row_size = 5;
constexpr int organisation_row_size = 4 +
    static_cast<int>(std::tuple_size_v<decltype(grant_counts::within_steps)>);
constexpr double demand_unit = 100;
constexpr double granted_unit = 10;

void fill(wire::ReportChanges& to, report_changes const& from)
{
    to.set_stream(from.position.stream);
    to.set_sequence(from.position.sequence);
    to.set_base(from.base);
    auto const add_names = [](auto& names, auto const& added) {
        for (auto const& it : added) {
            auto& name = *names.Add();
            name.set_index(it.index);
            name.set_text(it.text);
        }
    };
    add_names(*to.mutable_target_names(), from.target_names);
    add_names(*to.mutable_organisation_names(), from.organisation_names);
    for (auto const& it : from.targets)
        for (auto const number : {it.target, it.report.in_flight,
                 it.report.answers, it.report.faults, it.report.silences})
            to.add_targets(number);
    for (auto const& it : from.organisations) {
        to.add_organisations(it.organisation);
        to.add_organisations(rounded(it.report.demand * demand_unit));
        to.add_organisations(rounded(it.report.granted * granted_unit));
        for (auto const count : it.report.grants.within_steps)
            to.add_organisations(rounded(count));
        to.add_organisations(rounded(it.report.grants.within_window));
    }
    for (auto const& it : from.suspects)
        fill(*to.add_suspects(), it);
    for (auto const& [key, it] : from.rollouts)
        fill(*to.add_rollouts(), key, it);
    to.set_has_loads(from.loads.has_value());
    if (from.loads)
        fill_loads(*to.mutable_loads(), *from.loads);
    to.set_load(from.load);
    to.set_entries(from.entries);
    to.set_partial(from.partial);
}

organisation_change organisation_from_wire(
    wire::ReportChanges const& from, int row)
{
    auto const number = [&](int n) {
        return from.organisations(row * organisation_row_size + n);
    };
    organisation_change change;
    change.organisation = number(0);
    change.report.demand = number(1) / demand_unit;
    change.report.granted = number(2) / granted_unit;
    int next = 3;
    for (auto& count : change.report.grants.within_steps)
        count = number(next++);
    change.report.grants.within_window = number(next);
    return change;
}

/// Returns nothing if a row is cut.
std::optional<report_changes> from_wire(wire::ReportChanges const& from)
{
    if (from.targets_size() % target_row_size != 0 ||
        from.organisations_size() % organisation_row_size != 0)
        return std::nullopt;
    report_changes changes;
    changes.position = {from.stream(), from.sequence()};
    changes.base = from.base();
    for (auto const& it : from.target_names())
        changes.target_names.push_back({it.index(), it.text()});
    for (auto const& it : from.organisation_names())
        changes.organisation_names.push_back({it.index(), it.text()});
    for (int n = 0; n < from.targets_size(); n += target_row_size)
        changes.targets.push_back({from.targets(n),
            {from.targets(n + 1), from.targets(n + 2), from.targets(n + 3),
                from.targets(n + 4)}});
    for (int n = 0; n < from.organisations_size() / organisation_row_size; ++n)
        changes.organisations.push_back(organisation_from_wire(from, n));
    for (auto const& it : from.suspects())
        changes.suspects.push_back(
            {it.fingerprint(), it.crashes(), from_microseconds(it.age_us())});
    for (auto const& it : from.rollouts())
        changes.rollouts[{it.service(), it.route(), it.target()}].add(
            from_wire(it));
    if (from.has_loads())
        changes.loads = loads_from_wire(from.loads());
    changes.load = quantity_from_wire(from.load());
    changes.entries = from.entries();
    changes.partial = from.partial();
    return changes;
}

void fill(wire::Report& to, traffic_report const& from)
{
    for (auto const& [target, it] : from.targets) {
        auto& row = *to.add_targets();
        row.set_target(target);
        row.set_in_flight(it.in_flight);
        row.set_answers(it.answers);
        row.set_faults(it.faults);
        row.set_silences(it.silences);
    }
    for (auto const& [organisation, it] : from.organisations) {
        auto& row = *to.add_demands();
        row.set_organisation(organisation);
        row.set_requests_per_second(it.demand);
        row.set_granted(it.granted);
        fill(row, it.grants);
    }
    for (auto const& it : from.suspects)
        fill(*to.add_suspects(), it);
    fill_loads(*to.mutable_loads(), from.loads);
    for (auto const& [key, it] : from.rollouts)
        fill(*to.add_rollouts(), key, it);
    to.set_load(from.load);
    to.set_entries(from.entries);
    to.set_partial(from.partial);
}

traffic_report from_wire(wire::Report const& from)
{
    traffic_report report;
    for (auto const& it : from.targets())
        report.targets[it.target()] = target_report{
            it.in_flight(), it.answers(), it.faults(), it.silences()};
    for (auto const& it : from.demands())
        report.organisations[it.organisation()] =
            organisation_report{quantity_from_wire(it.requests_per_second()),
                quantity_from_wire(it.granted()), grants_from_wire(it)};
    for (auto const& it : from.suspects())
        report.suspects.push_back(
            {it.fingerprint(), it.crashes(), from_microseconds(it.age_us())});
    for (auto const& it : from.rollouts())
        report.rollouts[{it.service(), it.route(), it.target()}].add(
            from_wire(it));
    report.loads = loads_from_wire(from.loads());
    report.load = quantity_from_wire(from.load());
    report.entries = from.entries();
    report.partial = from.partial();
    return report;
}

void fill(wire::Era& to, store_era const& from)
{
    to.set_number(from.number);
    to.set_is_settling(!from.is_settled);
}

store_era from_wire(wire::Era const& from)
{
    return {from.number(), !from.is_settling()};
}

void fill(wire::Target& to, target_record const& from, time_point now)
{
    to.set_id(from.id.text());
    to.set_incarnation(from.incarnation);
    to.set_service(from.service.text());
    to.set_data_centre(from.data_centre.text());
    to.set_address(from.address);
    to.set_slots(from.slots);
    to.set_standing(enum_to_wire(from.standing));
    to.set_cold_left_us(
        from.cold_until > now ? to_microseconds(from.cold_until - now) : -1);
    to.set_revision(from.revision);
    to.set_version(from.version);
}

target_record from_wire(wire::Target const& from, time_point now)
{
    target_record record;
    record.id = target_id(from.id());
    record.incarnation = from.incarnation();
    record.service = service_id(from.service());
    record.data_centre = data_centre_id(from.data_centre());
    record.address = from.address();
    record.slots = std::max<std::int64_t>(1, from.slots());
    record.standing =
        enum_from_wire(from.standing(), target_standing::draining);
    if (from.cold_left_us() > 0)
        record.cold_until = now + from_microseconds(from.cold_left_us());
    record.revision = from.revision();
    record.version = from.version();
    return record;
}

target_changes from_wire(wire::TargetChanges const& from, time_point now)
{
    target_changes changes;
    changes.revision = from.revision();
    changes.whole = from.whole();
    changes.listed = from.listed();
    changes.era = from_wire(from.era());
    for (auto const& it : from.put())
        changes.put.push_back(from_wire(it, now));
    for (auto const& it : from.removed())
        changes.removed.emplace_back(it);
    return changes;
}

} // namespace

namespace {

/// Stands for changes that cannot be read: no receiver holds the state that
/// they change, so that their sender repeats them as a complete report.
report_changes unreadable_changes()
{
    report_changes changes;
    changes.base = std::numeric_limits<std::uint64_t>::max();
    return changes;
}

} // namespace

wire::SyncQuestion to_wire(sync_question const& question)
{
    wire::SyncQuestion to;
    fill(*to.mutable_from(), question.from);
    to.set_relation(enum_to_wire(question.relation));
    to.set_configuration_version(question.configuration_version);
    to.set_targets_revision(question.targets.revision);
    to.set_targets_listed(question.targets.listed);
    to.set_targets_digest(question.targets.digest);
    fill(*to.mutable_targets_era(), question.targets.era);
    to.set_closures_revision(question.closures.revision);
    fill(*to.mutable_closures_era(), question.closures.era);
    to.set_read_age_us(age_to_wire(question.read_age));
    fill(*to.mutable_rollouts(), question.rollouts);
    to.set_members_source(question.members_source);
    to.set_members_sequence(question.members_sequence);
    to.set_is_idle(question.is_idle);
    to.set_wait_us(to_microseconds(question.long_poll_timeout));
    to.set_patience_us(to_microseconds(question.liveness_timeout));
    fill(*to.mutable_report(), question.report);
    if (question.changes)
        fill(*to.mutable_changes(), *question.changes);
    return to;
}

sync_question from_wire(wire::SyncQuestion const& from)
{
    sync_question question;
    question.from = from_wire(from.from());
    question.relation = enum_from_wire(from.relation(), sync_relation::member);
    question.configuration_version = from.configuration_version();
    question.targets = {from.targets_revision(), from.targets_listed(),
        from.targets_digest(), from_wire(from.targets_era())};
    question.closures = {
        from.closures_revision(), {}, from_wire(from.closures_era())};
    question.read_age = age_from_wire(from.read_age_us());
    question.rollouts = from_wire(from.rollouts());
    question.members_source = from.members_source();
    question.members_sequence = from.members_sequence();
    question.is_idle = from.is_idle();
    question.long_poll_timeout = from_microseconds(from.wait_us());
    question.liveness_timeout = from_microseconds(from.patience_us());
    question.report = from_wire(from.report());
    if (from.has_changes())
        question.changes =
            from_wire(from.changes()).value_or(unreadable_changes());
    return question;
}

wire::SyncReply to_wire(sync_reply const& reply, time_point now)
{
    wire::SyncReply to;
    to.set_members_source(reply.members_source);
    to.set_members_sequence(reply.members_sequence);
    to.set_has_members(reply.members.has_value());
    if (reply.members)
        for (auto const& it : *reply.members) {
            auto& row = *to.add_members();
            fill(*row.mutable_record(), it.record);
            row.set_alive(it.alive);
            row.set_entry(it.entry);
            row.set_load(it.load);
        }
    to.set_configuration_version(reply.configuration.version);
    if (reply.configuration.text != nullptr)
        to.set_configuration(*reply.configuration.text);
    to.set_read_age_us(age_to_wire(reply.read_age));
    to.set_store_reached(reply.store_reached);
    if (reply.targets) {
        auto& changes = *to.mutable_targets();
        changes.set_revision(reply.targets->revision);
        changes.set_whole(reply.targets->whole);
        changes.set_listed(reply.targets->listed);
        fill(*changes.mutable_era(), reply.targets->era);
        for (auto const& it : reply.targets->put)
            fill(*changes.add_put(), it, now);
        for (auto const& it : reply.targets->removed)
            changes.add_removed(it.text());
    }
    if (reply.closures) {
        auto& closures = *to.mutable_closures();
        closures.set_revision(reply.closures->revision);
        fill(*closures.mutable_era(), reply.closures->era);
        for (auto const& it : reply.closures->closed)
            closures.add_closed(it.text());
    }
    if (reply.rollouts)
        fill(*to.mutable_rollouts(), *reply.rollouts, now);
    if (reply.confirmed) {
        to.mutable_confirmed()->set_stream(reply.confirmed->stream);
        to.mutable_confirmed()->set_sequence(reply.confirmed->sequence);
    }
    to.set_report_omitted(reply.report_omitted);
    to.set_members_are_changes(reply.members_are_changes);
    if (!reply.report_omitted)
        fill(*to.mutable_others(), reply.others);
    return to;
}

sync_reply from_wire(wire::SyncReply&& from, time_point now)
{
    sync_reply reply;
    reply.reached = true;
    reply.members_source = from.members_source();
    reply.members_sequence = from.members_sequence();
    if (from.has_members()) {
        reply.members.emplace();
        for (auto const& it : from.members())
            reply.members->push_back({from_wire(it.record()), it.alive(),
                it.entry(), quantity_from_wire(it.load())});
    }
    reply.configuration.version = from.configuration_version();
    if (!from.configuration().empty())
        reply.configuration.text = std::make_shared<std::string>(
            std::move(*from.mutable_configuration()));
    reply.read_age = age_from_wire(from.read_age_us());
    reply.store_reached = from.store_reached();
    if (from.has_targets())
        reply.targets = from_wire(from.targets(), now);
    if (from.has_closures()) {
        reply.closures.emplace();
        reply.closures->revision = from.closures().revision();
        reply.closures->era = from_wire(from.closures().era());
        for (auto const& it : from.closures().closed())
            reply.closures->closed.emplace_back(it);
    }
    if (from.has_rollouts())
        reply.rollouts = from_wire(from.rollouts(), now);
    reply.others = from_wire(from.others());
    reply.report_omitted = from.report_omitted();
    reply.members_are_changes = from.members_are_changes();
    if (from.has_confirmed())
        reply.confirmed = report_position{
            from.confirmed().stream(), from.confirmed().sequence()};
    return reply;
}

} // namespace pomelohinge
