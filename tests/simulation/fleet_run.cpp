#include "tests/simulation/fleet_run.hpp"

#include "core/invariant.hpp"

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> data_centres{"east", "north", "west"};
constexpr std::size_t vms_each = 4;
constexpr std::size_t targets_each = 4;
constexpr std::int64_t slots = 6;
constexpr double cold_rate = 10;
constexpr duration cold_time = 3s;
constexpr duration time_to_live = 1s;
constexpr double requests_per_second = 60;

struct run_organisation
{
    char const* name;
    rate_object rate;
    /// Part of all requests.
    double part;
};

/// The second one asks for far more than its rate.
constexpr std::array<run_organisation, 3> organisations{{
    {"bathers", {60, 60}, 0.5},
    {"flood", {8, 8}, 0.4},
    {"doors", {20, 20}, 0.1},
}};

chart_list load_rules()
{
    findings found("charts");
    return std::move(*load_charts("", found));
}

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

fleet_run::fleet_run(std::uint64_t seed)
    : rules_(load_rules()), world_(seed), store_(world_),
      judge_(rule_bounds{}), context_{
                                 world_, store_, judge_, rules_, {}, {}, {}}
{
    context_.bounds.retry_extra = judge_.bounds().retry_extra;
    for (auto const* it : data_centres) {
        for (std::size_t n = 0; n < targets_each; ++n)
            add_target("t" + std::to_string(++last_target_), it, false);
        callers_.push_back({it, {}, {}});
    }
    configure();
    for (auto const* it : data_centres)
        for (std::size_t n = 1; n <= vms_each; ++n)
            start_vm(std::string(it) + "-" + std::to_string(n));
    world_.run_until(world_.now() + 5s);
}

fleet_run::~fleet_run() = default;

void fleet_run::configure()
{
    for (auto const& it : organisations)
        judge_.set_rate(it.name, it.rate);
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
        if (!withdrawn_.contains(it.name))
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
        to_milliseconds(world_.now().time_since_epoch()));
    record.service = service_id("shop");
    record.data_centre = data_centre_id(data_centre);
    record.address = "a" + std::to_string(++last_address_);
    record.slots = slots;
    if (cold)
        record.cold_until = world_.now() + cold_time;
    upstreams_.push_back(
        std::make_unique<fake_upstream>(world_, judge_, record, cold_rate));
    by_name_[name] = upstreams_.back().get();
    context_.upstreams[record.address] = upstreams_.back().get();
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
    record.incarnation = world_.random()();
    record.cores = 0.2;
    auto& it = vms_[name] = std::make_unique<fake_vm>(context_, record);
    it->start();
}

void fleet_run::kill(std::string const& name)
{
    disturb(name, duration::zero());
    vms_.erase(name);
}

std::vector<std::string> fleet_run::vm_names() const
{
    std::vector<std::string> names;
    for (auto const* it : data_centres)
        for (std::size_t n = 1; n <= vms_each; ++n)
            names.push_back(std::string(it) + "-" + std::to_string(n));
    return names;
}

std::string fleet_run::draw_vm()
{
    auto const names = vm_names();
    return names[world_.draw(names.size())];
}

std::string fleet_run::draw_target()
{
    auto it = by_name_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(world_.draw(by_name_.size())));
    return it->first;
}

void fleet_run::disturb(std::string const& vm, duration span)
{
    judge_.disturbed(vm, world_.now() + span);
}

void fleet_run::disturb_all(duration span)
{
    for (auto const& it : vm_names())
        disturb(it, span);
}

void fleet_run::restart_later(std::string const& vm, duration down)
{
    disturb(vm, down);
    later(down, [this, vm] { start_vm(vm); });
}

void fleet_run::stop_as_planned(std::string const& vm)
{
    auto const it = vms_.find(vm);
    if (it == vms_.end())
        return;
    disturb(vm, 6s);
    it->second->plane().leave();
    later(3500ms, [this, vm] {
        kill(vm);
        restart_later(vm, 500ms);
    });
}

// Callers.

void fleet_run::renew_entries(caller& who)
{
    if (world_.now() < who.entries_until)
        return;
    std::vector<fake_vm*> near;
    std::vector<fake_vm*> all;
    for (auto const& [name, it] : vms_) {
        if (it->is_paused())
            continue;
        all.push_back(it.get());
        if (data_centre_of(name) == who.data_centre)
            near.push_back(it.get());
    }
    auto const& asked = near.empty() ? all : near;
    if (asked.empty())
        return;
    auto entries = asked[world_.draw(asked.size())]->entries();
    if (entries.empty())
        return;
    who.entries = std::move(entries);
    who.entries_until = world_.now() + time_to_live;
}

void fleet_run::send_requests()
{
    if (!sending_)
        return;
    auto const gap = from_seconds(std::exponential_distribution<double>(
        requests_per_second)(world_.random()));
    later(gap, [this] {
        send_request(callers_[world_.draw(callers_.size())]);
        send_requests();
    });
}

void fleet_run::send_request(caller& who)
{
    renew_entries(who);
    std::string organisation = organisations.front().name;
    auto draw = std::uniform_real_distribution<double>(0, 1)(world_.random());
    for (auto const& it : organisations) {
        if (draw < it.part) {
            organisation = it.name;
            break;
        }
        draw -= it.part;
    }
    bool const idempotent = world_.chance(0.4);
    incoming_request message;
    message.head.method = idempotent ? "GET" : "POST";
    message.head.host = "shop.example";
    message.head.target = idempotent ? "/look/x" : "/pay/x";
    message.head.key = key_of(organisation);
    message.head.request_id = "r" + std::to_string(++last_request_);
    message.body = message.head.request_id;
    ++tally_.requests;
    judge_.asked(message.head.request_id, organisation, "shop", idempotent,
        world_.now());
    if (who.entries.empty()) {
        ++tally_.not_reached;
        return;
    }
    auto const address = who.entries[world_.draw(who.entries.size())];
    deliver(std::move(message), address, "caller-" + who.data_centre);
}

void fleet_run::deliver(incoming_request message, std::string const& address,
    std::string const& from)
{
    auto const name = address.substr(2);
    auto const id = message.head.request_id;
    auto const it = vms_.find(name);
    if (it == vms_.end()) {
        ++tally_.not_reached;
        return;
    }
    world_.send(from, name, [this, name, id, message] {
        auto const vm = vms_.find(name);
        if (vm == vms_.end())
            return;
        vm->second->take(message,
            [this, id](entry_result const& result) { ended(id, result); });
    });
}

void fleet_run::ended(std::string const& id, entry_result const& result)
{
    if (auto const* const it = std::get_if<refusal>(&result)) {
        ++tally_.refusals[std::string(to_name(it->kind)) + " " + it->detail];
        if (it->result == outcome::not_run)
            judge_.promised_not_run(id, world_.now());
        return;
    }
    ++tally_.answered;
}

void fleet_run::drive(duration span)
{
    sending_ = true;
    send_requests();
    world_.run_until(world_.now() + span);
    sending_ = false;
    world_.run_until(world_.now() + 2s);
}

void fleet_run::run(duration span, std::size_t troubles)
{
    sending_ = true;
    send_requests();
    for (std::size_t it = 0; it < troubles; ++it)
        later(world_.draw_between(0s, span), [this] {
            begin(static_cast<trouble>(world_.draw(enum_count<trouble>)));
        });
    world_.run_until(world_.now() + span);
    // Every trouble ends by itself; what operators took out comes back.
    for (auto const* it : data_centres) {
        store_.set_closed(it, false);
        judge_.opened(it);
    }
    for (auto const& it : withdrawn_)
        judge_.key_given(it);
    withdrawn_.clear();
    apply_configuration();
    world_.run_until(world_.now() + 20s);
    sending_ = false;
    world_.run_until(world_.now() + 2s);
}

// Troubles.

void fleet_run::withdraw_key()
{
    std::string const name = "doors";
    withdrawn_.insert(name);
    apply_configuration();
    judge_.key_withdrawn(name, world_.now());
}

void fleet_run::replace(std::string const& name, bool reuse)
{
    auto& old = upstream(name);
    auto const place = old.record().data_centre.text();
    auto const address = old.record().address;
    by_name_.erase(name);
    store_.remove_target(target_id(name));
    old.end();
    auto const next = "t" + std::to_string(++last_target_);
    add_target(next, place, true);
    if (!reuse)
        return;
    // The new target takes the old one's address.
    auto& it = upstream(next);
    context_.upstreams.erase(it.record().address);
    it.record().address = address;
    context_.upstreams[address] = &it;
    store_.put_target(it.record());
}

void fleet_run::begin(trouble what)
{
    played_.push_back({what, world_.now()});
    auto const span = world_.draw_between(1s, 8s);
    auto const vm = draw_vm();
    auto const target = draw_target();
    auto const ill = [&](upstream_mode mode) {
        upstream(target).set_mode(mode);
        later(span, [this, target, mode] {
            auto const it = by_name_.find(target);
            if (it != by_name_.end() && it->second->mode() == mode)
                it->second->set_mode(upstream_mode::well);
        });
    };
    switch (what) {
    case trouble::kill_vm:
        kill(vm);
        return restart_later(vm, span);
    case trouble::kill_many_vms: {
        auto const share = world_.chance(0.3) ? 1.0 : 0.6;
        for (auto const& it : vm_names())
            if (world_.chance(share)) {
                kill(it);
                restart_later(it, world_.draw_between(500ms, 2s));
            }
        return;
    }
    case trouble::pause_vm: {
        auto const it = vms_.find(vm);
        if (it == vms_.end())
            return;
        disturb(vm, span);
        return it->second->pause_until(world_.now() + span);
    }
    case trouble::stop_vm:
        return stop_as_planned(vm);
    case trouble::cut_vm_from_store:
        disturb(vm, span);
        world_.cut(vm, "store");
        return later(span, [this, vm] { world_.mend(vm, "store"); });
    case trouble::cut_vms: {
        auto const other = draw_vm();
        disturb(vm, span);
        disturb(other, span);
        world_.cut(vm, other);
        return later(span, [this, vm, other] { world_.mend(vm, other); });
    }
    case trouble::lose_messages:
        disturb_all(span);
        world_.set_loss(0.02);
        return later(span, [this] { world_.set_loss(0); });
    case trouble::store_turns_some_away: {
        std::set<std::string> away;
        for (auto const& it : vm_names())
            if (world_.chance(0.35)) {
                away.insert(it);
                disturb(it, span);
            }
        store_.set_away_for(away);
        return later(span, [this] { store_.set_away_for({}); });
    }
    case trouble::store_silent:
        disturb_all(span);
        store_.set_silent(true);
        return later(span, [this] { store_.set_silent(false); });
    case trouble::store_slow:
        disturb_all(span);
        store_.set_slow(world_.draw_between(100ms, 900ms));
        return later(span, [this] { store_.set_slow(duration::zero()); });
    case trouble::store_deaf:
        disturb_all(1s);
        store_.set_deaf(true);
        return later(1s, [this] { store_.set_deaf(false); });
    case trouble::target_fails:
        return ill(upstream_mode::failing);
    case trouble::target_hangs:
        return ill(upstream_mode::hanging);
    case trouble::target_dark:
        return ill(upstream_mode::dark);
    case trouble::service_sheds:
        for (auto const& [name, it] : by_name_)
            if (it->mode() == upstream_mode::well)
                it->set_mode(upstream_mode::shedding);
        return later(span, [this] {
            for (auto const& [name, it] : by_name_)
                if (it->mode() == upstream_mode::shedding)
                    it->set_mode(upstream_mode::well);
        });
    case trouble::target_restarts: {
        // Under the same id, with nothing of before.
        auto& it = upstream(target);
        it.end();
        return later(span, [this, target] {
            auto const found = by_name_.find(target);
            if (found == by_name_.end())
                return;
            auto& record = found->second->record();
            record.incarnation = static_cast<std::uint64_t>(
                to_milliseconds(world_.now().time_since_epoch()));
            record.cold_until = world_.now() + cold_time;
            found->second->set_mode(upstream_mode::well);
            store_.put_target(record);
        });
    }
    case trouble::target_leaves: {
        auto& record = upstream(target).record();
        record.standing = target_standing::draining;
        store_.put_target(record);
        judge_.drained(record.id, world_.now());
        return later(4s, [this, target] {
            if (by_name_.contains(target))
                replace(target, false);
        });
    }
    case trouble::address_is_reused:
        return replace(target, true);
    case trouble::data_centre_out: {
        std::string const place =
            data_centres[world_.draw(data_centres.size())];
        store_.set_closed(place, true);
        judge_.closed(place, world_.now());
        return later(std::max<duration>(span, 6s), [this, place] {
            store_.set_closed(place, false);
            judge_.opened(place);
        });
    }
    case trouble::key_withdrawn:
        return withdraw_key();
    case trouble::configuration_changes:
        attempts_ = 2 + static_cast<std::int64_t>(world_.draw(2));
        return apply_configuration();
    }
}

std::string fleet_run::describe()
{
    std::string text = "troubles:";
    for (auto const& it : played_)
        text += " " + std::string(to_name(it.what)) + " at " +
            std::to_string(to_milliseconds(it.at - time_point(1h))) + " ms,";
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
    for (auto const& [kind, n] : tally_.refusals)
        text += std::to_string(n) + " " + kind + "\n";
    return text;
}

} // namespace pomelohinge::simulation
