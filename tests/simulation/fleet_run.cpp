#include "tests/simulation/fleet_run.hpp"
#include "tests/servers/test_charts.hpp"

#include "core/invariant.hpp"

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> data_centres{"east", "north", "west"};
constexpr std::size_t vms_per_data_centre = 4;
constexpr std::size_t targets_per_data_centre = 4;
constexpr std::int64_t slots = 6;
constexpr double cold_rate = 10;
constexpr duration cold_period = 3s;
constexpr duration entries_ttl = 1s;
/// Mean rate of all callers together.
constexpr double requests_per_second = 60;

struct organisation_load
{
    char const* name;
    rate_object rate;
    /// Share of all requests.
    double share;
};

/// The second one sends far more requests than its rate allows.
constexpr std::array<organisation_load, 3> organisations{{
    {"bathers", {60, 60}, 0.5},
    {"flood", {8, 8}, 0.4},
    {"doors", {20, 20}, 0.1},
}};

key_hash key_of(std::string const& organisation)
{
    key_hash hash{};
    std::copy_n(organisation.begin(),
        std::min(organisation.size(), hash.size()), hash.begin());
    return hash;
}

std::string data_centre_of(std::string const& vm)
{
    return vm.substr(0, vm.find('-'));
}

} // namespace

fleet_run::fleet_run(std::uint64_t seed, double remote_budget,
    std::optional<transfer_settings> const& transfers)
    : charts_(load_all_charts()), simulator_(seed), store_(simulator_),
      checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                        charts_, {}, {}, {}}
{
    context_.remote_budget = remote_budget;
    context_.transfers = transfers;
    context_.bounds.retry_extra = checker_.bounds().retry_extra;
    for (auto const* it : data_centres) {
        for (std::size_t n = 0; n < targets_per_data_centre; ++n)
            add_target("t" + std::to_string(++last_target_), it, false);
        callers_.push_back({it, {}, {}});
    }
    configure();
    for (auto const* it : data_centres)
        for (std::size_t n = 1; n <= vms_per_data_centre; ++n)
            start_vm(std::string(it) + "-" + std::to_string(n));
    simulator_.run_until(simulator_.now() + 5s);
}

fleet_run::~fleet_run() = default;

void fleet_run::configure()
{
    for (auto const& it : organisations)
        checker_.set_rate(it.name, it.rate);
    apply_configuration();
}

void fleet_run::apply_configuration()
{
    std::vector<configuration_change> changes;
    auto const put = [&](object_kind kind, std::string name, auto object) {
        changes.push_back({kind, std::move(name), any_object(object)});
    };
    service_object service;
    service.echoes_request_id = true;
    service.cold_requests_per_second = cold_rate;
    put(object_kind::service, "shop", service);
    for (auto const* it : data_centres)
        put(object_kind::data_centre, it, data_centre_object{});
    route_object route;
    route.service = service_id("shop");
    route.host = "shop.example";
    route.path_prefix = "/look/";
    route.request_idempotency = idempotency_mode::idempotent;
    route.deadline = 1500ms;
    route.goal = 800ms;
    route.attempts = attempts_;
    route.priority = 2;
    put(object_kind::route, "look", route);
    route.path_prefix = "/pay/";
    route.request_idempotency = idempotency_mode::non_idempotent;
    route.priority = 1;
    put(object_kind::route, "pay", route);
    for (auto const& it : organisations) {
        put(object_kind::organisation, it.name, organisation_object{});
        put(object_kind::rate, it.name, it.rate);
        if (!revoked_keys_.contains(it.name))
            put(object_kind::key, it.name,
                key_object{organisation_id(it.name), key_of(it.name)});
    }
    store_.set_configuration(configuration().with(changes));
}

void fleet_run::add_target(
    std::string const& name, std::string const& data_centre, bool cold)
{
    target_record record;
    record.id = target_id(name);
    record.incarnation = static_cast<std::uint64_t>(
        to_milliseconds(simulator_.now().time_since_epoch()));
    record.service = service_id("shop");
    record.data_centre = data_centre_id(data_centre);
    record.address = "a" + std::to_string(++last_address_);
    record.slots = slots;
    if (cold)
        record.cold_until = simulator_.now() + cold_period;
    all_targets_.push_back(
        std::make_unique<fake_target>(simulator_, checker_, record, cold_rate));
    active_targets_[name] = all_targets_.back().get();
    context_.targets[record.address] = all_targets_.back().get();
    store_.put_target(record);
}

// VMs.

void fleet_run::start_vm(std::string const& name)
{
    if (vms_.contains(name))
        return;
    vm_record record;
    record.vm = vm_id(name);
    record.data_centre = data_centre_id(data_centre_of(name));
    record.peers_address = "p/" + name;
    record.callers_address = "c/" + name;
    record.incarnation = simulator_.random()();
    record.cores = 0.2;
    auto& it = vms_[name] = std::make_unique<fake_vm>(context_, record);
    it->start();
}

void fleet_run::kill(std::string const& name)
{
    mark_affected(name, duration::zero());
    vms_.erase(name);
}

std::vector<std::string> fleet_run::vm_names() const
{
    std::vector<std::string> names;
    for (auto const* it : data_centres)
        for (std::size_t n = 1; n <= vms_per_data_centre; ++n)
            names.push_back(std::string(it) + "-" + std::to_string(n));
    return names;
}

std::string fleet_run::draw_vm()
{
    auto const names = vm_names();
    return names[simulator_.draw(names.size())];
}

std::string fleet_run::draw_target()
{
    auto it = active_targets_.begin();
    std::advance(it,
        static_cast<std::ptrdiff_t>(simulator_.draw(active_targets_.size())));
    return it->first;
}

void fleet_run::mark_affected(std::string const& vm, duration span)
{
    checker_.on_vm_affected(vm, simulator_.now() + span);
}

void fleet_run::mark_all_affected(duration span)
{
    for (auto const& it : vm_names())
        mark_affected(it, span);
}

void fleet_run::restart_after(std::string const& vm, duration downtime)
{
    mark_affected(vm, downtime);
    schedule(downtime, [this, vm] { start_vm(vm); });
}

void fleet_run::stop_gracefully(std::string const& vm)
{
    auto const it = vms_.find(vm);
    if (it == vms_.end())
        return;
    mark_affected(vm, 6s);
    it->second->plane().leave();
    schedule(3500ms, [this, vm] {
        kill(vm);
        restart_after(vm, 500ms);
    });
}

// Callers.

void fleet_run::renew_entries(caller& sender)
{
    if (simulator_.now() < sender.entries_until)
        return;
    std::vector<fake_vm*> local;
    std::vector<fake_vm*> all;
    for (auto const& [name, it] : vms_) {
        if (it->is_paused())
            continue;
        all.push_back(it.get());
        if (data_centre_of(name) == sender.data_centre)
            local.push_back(it.get());
    }
    auto const& candidates = local.empty() ? all : local;
    if (candidates.empty())
        return;
    auto entries = candidates[simulator_.draw(candidates.size())]->entries();
    if (entries.empty())
        return;
    sender.entries = std::move(entries);
    sender.entries_until = simulator_.now() + entries_ttl;
}

void fleet_run::send_requests()
{
    if (!sending_)
        return;
    auto const gap = from_seconds(std::exponential_distribution<double>(
        requests_per_second)(simulator_.random()));
    schedule(gap, [this] {
        send_request(callers_[simulator_.draw(callers_.size())]);
        send_requests();
    });
}

void fleet_run::send_request(caller& sender)
{
    renew_entries(sender);
    std::string organisation = organisations.front().name;
    auto drawn =
        std::uniform_real_distribution<double>(0, 1)(simulator_.random());
    for (auto const& it : organisations) {
        if (drawn < it.share) {
            organisation = it.name;
            break;
        }
        drawn -= it.share;
    }
    bool const idempotent = simulator_.chance(0.4);
    incoming_request message;
    message.head.method = idempotent ? "GET" : "POST";
    message.head.host = "shop.example";
    message.head.target = idempotent ? "/look/x" : "/pay/x";
    message.head.key = key_of(organisation);
    message.head.request_id = "r" + std::to_string(++last_request_);
    message.body = message.head.request_id;
    ++counts_.requests;
    checker_.on_request_sent(message.head.request_id, organisation, "shop",
        idempotent, simulator_.now());
    if (sender.entries.empty()) {
        ++counts_.not_reached;
        return;
    }
    auto const address = sender.entries[simulator_.draw(sender.entries.size())];
    deliver_request(
        std::move(message), address, "caller-" + sender.data_centre);
}

void fleet_run::repeat(incoming_request message, std::string const& address,
    std::string const& from)
{
    constexpr double probability = 0.5;
    if (!simulator_.chance(probability))
        return;
    schedule(simulator_.draw_between(1ms, 300ms),
        [this, message = std::move(message), address, from] {
            checker_.on_request_repeated(
                message.head.request_id, simulator_.now());
            deliver_request(message, address, from);
        });
}

void fleet_run::deliver_request(incoming_request message,
    std::string const& address, std::string const& from)
{
    auto const name = address.substr(2);
    auto const id = message.head.request_id;
    auto const it = vms_.find(name);
    if (it == vms_.end()) {
        ++counts_.not_reached;
        return;
    }
    simulator_.send(from, name, [this, name, id, message, address, from] {
        auto const vm = vms_.find(name);
        if (vm == vms_.end())
            return;
        vm->second->handle_request(message,
            [this, id, message, address, from](entry_result const& result) {
                on_request_ended(id, result);
                auto const* const it = std::get_if<refusal>(&result);
                if (it != nullptr && it->result == outcome::not_run)
                    repeat(message, address, from);
            });
    });
}

void fleet_run::on_request_ended(
    std::string const& id, entry_result const& result)
{
    if (auto const* const it = std::get_if<refusal>(&result)) {
        ++counts_.refusals[std::string(to_name(it->kind)) + " " + it->detail];
        if (it->result == outcome::not_run)
            checker_.on_reported_not_run(id, simulator_.now());
        return;
    }
    ++counts_.answered;
}

void fleet_run::drive(duration span)
{
    sending_ = true;
    send_requests();
    simulator_.run_until(simulator_.now() + span);
    sending_ = false;
    simulator_.run_until(simulator_.now() + 2s);
}

void fleet_run::run(duration span, std::size_t fault_count)
{
    sending_ = true;
    send_requests();
    for (std::size_t it = 0; it < fault_count; ++it)
        schedule(simulator_.draw_between(0s, span), [this] {
            inject(static_cast<fault>(simulator_.draw(enum_count<fault>)));
        });
    simulator_.run_until(simulator_.now() + span);
    // Faults end by themselves; closures and revocations are undone here.
    for (auto const* it : data_centres) {
        store_.set_closed(it, false);
        checker_.on_data_centre_reopened(it);
    }
    for (auto const& it : revoked_keys_)
        checker_.on_key_restored(it);
    revoked_keys_.clear();
    apply_configuration();
    simulator_.run_until(simulator_.now() + 20s);
    sending_ = false;
    simulator_.run_until(simulator_.now() + 2s);
}

// Faults.

void fleet_run::revoke_key()
{
    std::string const name = "doors";
    revoked_keys_.insert(name);
    apply_configuration();
    checker_.on_key_revoked(name, simulator_.now());
}

void fleet_run::replace_target(std::string const& name, bool reuses_address)
{
    auto& old = active_target(name);
    auto const data_centre = old.record().data_centre.text();
    auto const address = old.record().address;
    active_targets_.erase(name);
    store_.remove_target(target_id(name));
    old.shut_down();
    auto const next = "t" + std::to_string(++last_target_);
    add_target(next, data_centre, true);
    if (!reuses_address)
        return;
    // The new target takes the address of the old one.
    auto& it = active_target(next);
    context_.targets.erase(it.record().address);
    it.record().address = address;
    context_.targets[address] = &it;
    store_.put_target(it.record());
}

void fleet_run::inject(fault kind)
{
    injected_.push_back({kind, simulator_.now()});
    auto const span = simulator_.draw_between(1s, 8s);
    auto const vm = draw_vm();
    auto const target = draw_target();
    auto const set_mode_temporarily = [&](target_mode mode) {
        active_target(target).set_mode(mode);
        schedule(span, [this, target, mode] {
            auto const it = active_targets_.find(target);
            if (it != active_targets_.end() && it->second->mode() == mode)
                it->second->set_mode(target_mode::healthy);
        });
    };
    switch (kind) {
    case fault::kill_vm:
        kill(vm);
        return restart_after(vm, span);
    case fault::kill_many_vms: {
        auto const share = simulator_.chance(0.3) ? 1.0 : 0.6;
        for (auto const& it : vm_names())
            if (simulator_.chance(share)) {
                kill(it);
                restart_after(it, simulator_.draw_between(500ms, 2s));
            }
        return;
    }
    case fault::pause_vm: {
        auto const it = vms_.find(vm);
        if (it == vms_.end())
            return;
        mark_affected(vm, span);
        return it->second->pause_until(simulator_.now() + span);
    }
    case fault::stop_vm:
        return stop_gracefully(vm);
    case fault::cut_vm_from_store:
        mark_affected(vm, span);
        simulator_.block_link(vm, "store");
        return schedule(
            span, [this, vm] { simulator_.unblock_link(vm, "store"); });
    case fault::cut_vms: {
        auto const other = draw_vm();
        mark_affected(vm, span);
        mark_affected(other, span);
        simulator_.block_link(vm, other);
        return schedule(
            span, [this, vm, other] { simulator_.unblock_link(vm, other); });
    }
    case fault::lose_messages:
        mark_all_affected(span);
        simulator_.set_loss_probability(0.02);
        return schedule(span, [this] { simulator_.set_loss_probability(0); });
    case fault::store_turns_some_away: {
        std::set<std::string> affected;
        for (auto const& it : vm_names())
            if (simulator_.chance(0.35)) {
                affected.insert(it);
                mark_affected(it, span);
            }
        store_.set_unavailable_for(affected);
        return schedule(span, [this] { store_.set_unavailable_for({}); });
    }
    case fault::store_silent:
        mark_all_affected(span);
        store_.set_unresponsive(true);
        return schedule(span, [this] { store_.set_unresponsive(false); });
    case fault::store_slow:
        mark_all_affected(span);
        store_.set_answer_delay(simulator_.draw_between(100ms, 900ms));
        return schedule(
            span, [this] { store_.set_answer_delay(duration::zero()); });
    case fault::store_deaf:
        mark_all_affected(1s);
        store_.set_watch_stalled(true);
        return schedule(1s, [this] { store_.set_watch_stalled(false); });
    case fault::target_fails:
        return set_mode_temporarily(target_mode::failing);
    case fault::target_hangs:
        return set_mode_temporarily(target_mode::hanging);
    case fault::target_dark:
        return set_mode_temporarily(target_mode::unresponsive);
    case fault::service_sheds:
        for (auto const& [name, it] : active_targets_)
            if (it->mode() == target_mode::healthy)
                it->set_mode(target_mode::shedding);
        return schedule(span, [this] {
            for (auto const& [name, it] : active_targets_)
                if (it->mode() == target_mode::shedding)
                    it->set_mode(target_mode::healthy);
        });
    case fault::target_restarts: {
        // The target keeps its id but none of its state.
        auto& it = active_target(target);
        it.shut_down();
        return schedule(span, [this, target] {
            auto const found = active_targets_.find(target);
            if (found == active_targets_.end())
                return;
            auto& record = found->second->record();
            record.incarnation = static_cast<std::uint64_t>(
                to_milliseconds(simulator_.now().time_since_epoch()));
            record.cold_until = simulator_.now() + cold_period;
            found->second->set_mode(target_mode::healthy);
            store_.put_target(record);
        });
    }
    case fault::target_leaves: {
        auto& record = active_target(target).record();
        record.standing = target_standing::draining;
        store_.put_target(record);
        checker_.on_target_drained(record.id, simulator_.now());
        return schedule(4s, [this, target] {
            if (active_targets_.contains(target))
                replace_target(target, false);
        });
    }
    case fault::address_is_reused:
        return replace_target(target, true);
    case fault::data_centre_out: {
        std::string const data_centre =
            data_centres[simulator_.draw(data_centres.size())];
        store_.set_closed(data_centre, true);
        checker_.on_data_centre_closed(data_centre, simulator_.now());
        return schedule(std::max<duration>(span, 6s), [this, data_centre] {
            store_.set_closed(data_centre, false);
            checker_.on_data_centre_reopened(data_centre);
        });
    }
    case fault::key_withdrawn:
        return revoke_key();
    case fault::configuration_changes:
        attempts_ = 2 + static_cast<std::int64_t>(simulator_.draw(2));
        return apply_configuration();
    }
}

std::string fleet_run::describe()
{
    std::string text = "faults:";
    for (auto const& it : injected_)
        text += " " + std::string(to_name(it.kind)) + " at " +
            std::to_string(
                to_milliseconds(it.at - event_simulator::start_time)) +
            " ms,";
    text += "\n";
    for (auto const& [name, it] : vms_) {
        auto const status = it->plane().status();
        text += name + " " + std::string(to_name(status.standing)) +
            ", version " + std::to_string(status.configuration_version) +
            ", targets " + std::to_string(status.targets) + ", hub " +
            status.hub + ", entries";
        for (auto const& member : status.members)
            if (member.entry)
                text += " " + member.record.vm.text();
        text += "\n";
    }
    for (auto const& [kind, n] : counts_.refusals)
        text += std::to_string(n) + " " + kind + "\n";
    return text;
}

} // namespace pomelohinge::simulation
