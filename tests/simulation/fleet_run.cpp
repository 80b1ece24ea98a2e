#include "tests/simulation/fleet_run.hpp"

#include "core/invariant.hpp"

namespace pomelohinge::simulation {
namespace {

constexpr std::array<char const*, 3> data_centres{"east", "west", "north"};
constexpr std::array<std::size_t, 3> vms_each{2, 2, 1};
constexpr std::size_t targets_each = 2;
constexpr std::size_t slots = 4;
constexpr std::chrono::milliseconds run_deadline{1500};

chart_list load_rules()
{
    findings found("charts");
    auto rules = load_charts("", found);
    return std::move(*rules);
}

data_centre_id data_centre_of(std::string const& vm)
{
    return data_centre_id(vm.substr(0, vm.find('-')));
}

} // namespace

fleet_run::fleet_run(std::uint64_t seed)
    : rules_(load_rules()), world_(seed),
      store_(world_), context_{world_, store_, rules_, judge_, {}, {}},
      violations_before_(invariant_violations())
{
    std::uint64_t number = 0;
    for (auto const* data_centre : data_centres)
        for (std::size_t n = 1; n <= targets_each; ++n) {
            auto const name =
                std::string("shop-") + data_centre + "-" + std::to_string(n);
            auto it =
                std::make_unique<fake_upstream>(world_, ++number, name, slots);
            context_.upstreams[name] = it.get();
            upstreams_[name] = std::move(it);
        }
    configure();
    for (std::size_t it = 0; it < data_centres.size(); ++it)
        for (std::size_t n = 1; n <= vms_each[it]; ++n)
            start_vm(std::string(data_centres[it]) + "-" + std::to_string(n));
}

fleet_run::~fleet_run() = default;

key_hash fleet_run::key_of(std::string const& organisation)
{
    key_hash hash{};
    std::copy_n(organisation.begin(),
        std::min(organisation.size(), hash.size()), hash.begin());
    return hash;
}

void fleet_run::configure()
{
    std::vector<configuration_change> changes;
    auto const put = [&](object_kind kind, std::string name, auto object) {
        changes.push_back({kind, std::move(name), any_object(object)});
    };
    put(object_kind::service, "shop", service_object{});
    put(object_kind::floor, "shop", floor_object{50});
    for (auto const* it : data_centres)
        put(object_kind::data_centre, it, data_centre_object{});
    for (auto const& [name, it] : upstreams_) {
        auto const parts = name.substr(name.find('-') + 1);
        put(object_kind::target, name,
            target_object{service_id("shop"),
                data_centre_id(parts.substr(0, parts.find('-'))), "10.0.0.1:1",
                static_cast<std::int64_t>(slots), target_wish::serving});
    }
    route_object route{service_id("shop"), "/",
        {http_method::get, http_method::post}, route_access::keyed,
        idempotency::by_method, run_deadline};
    put(object_kind::route, "shop", route);
    for (auto const& it : run_organisations) {
        rate_object const rate{it.requests_per_second, it.burst};
        put(object_kind::organisation, it.name, organisation_object{});
        put(object_kind::rate, it.name, rate);
        put(object_kind::key, it.name,
            key_object{organisation_id(it.name), key_of(it.name)});
        judge_.set_rate(it.name, rate);
    }
    store_.accept(std::move(changes));
}

void fleet_run::once_readable(std::function<void()> known)
{
    constexpr duration readable = std::chrono::seconds(1);
    world_.after(readable, [this, known] {
        if (store_.reached_for(readable))
            known();
        else
            once_readable(known);
    });
}

void fleet_run::accept_surely(
    std::vector<configuration_change> changes, std::function<void()> accepted)
{
    if (store_.accept(changes) != 0)
        return accepted();
    world_.after(std::chrono::seconds(1),
        [this, changes, accepted] { accept_surely(changes, accepted); });
}

std::string fleet_run::describe()
{
    std::string text;
    for (auto* it : living()) {
        auto const status = it->plane().status();
        text += it->name() + " " + std::string(to_name(status.phase)) +
            (status.lease_holds ? " holds" : " no") + " lease, version " +
            std::to_string(status.configuration_version);
        for (auto const& [data_centre, view] : status.view.data_centres()) {
            text += ", " + data_centre.text() + " " +
                std::to_string(view.epoch) + ":";
            for (auto const& vm : view.vms)
                text += " " + vm.vm.text() + " " +
                    std::string(to_name(vm.standing));
        }
        text += "\n";
    }
    return text;
}

fake_vm* fleet_run::vm(std::string const& name)
{
    auto const it = vms_.find(name);
    return it == vms_.end() ? nullptr : it->second.get();
}

std::vector<fake_vm*> fleet_run::living()
{
    std::vector<fake_vm*> all;
    for (auto const& [name, it] : vms_)
        all.push_back(it.get());
    return all;
}

void fleet_run::kill(std::string const& name)
{
    vms_.erase(name);
}

void fleet_run::start_vm(std::string const& name)
{
    vms_.erase(name);
    vm_record record{vm_id(name), data_centre_of(name), name + ":peers",
        name + ":callers", world_.random()(), vm_standing::serving};
    vms_[name] = std::make_unique<fake_vm>(context_, std::move(record));
}

void fleet_run::settle(duration length)
{
    world_.run_until(world_.now() + length);
}

void fleet_run::run(duration length, std::size_t faults)
{
    constexpr duration start_up = std::chrono::seconds(12);
    constexpr duration cool_down = std::chrono::seconds(25);
    settle(start_up);
    auto const begin = world_.now();
    for (auto const& it : run_organisations)
        arrive(it.name, it.requests_per_second * it.demand, begin + length);
    for (std::size_t it = 0; it < faults; ++it)
        world_.at(begin + world_.draw_between({}, length), [this] {
            inject(static_cast<fault>(world_.draw(enum_count<fault>)));
        });
    settle(length);
    // Whatever was broken is mended, so that every request can end.
    world_.heal();
    world_.set_loss(0);
    store_.set_away(false);
    store_.set_losing_answers(false);
    for (auto* it : living())
        if (it->is_paused())
            it->resume();
    settle(cool_down);
    check_end();
}

void fleet_run::drive(duration length)
{
    auto const end = world_.now() + length;
    for (auto const& it : run_organisations)
        arrive(it.name, it.requests_per_second * it.demand, end);
    settle(length);
}

void fleet_run::drive_within_rate(duration length)
{
    auto const& who = run_organisations.front();
    arrive(who.name, who.requests_per_second / 2, world_.now() + length);
    settle(length + run_deadline);
}

void fleet_run::arrive(
    std::string const& organisation, double rate, time_point end)
{
    std::exponential_distribution<double> gap(rate);
    auto const wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(world_.random())));
    if (world_.now() + wait >= end)
        return;
    world_.after(wait, [this, organisation, rate, end] {
        if (organisation == "payer")
            begin_payment(organisation);
        else
            begin_read(organisation);
        arrive(organisation, rate, end);
    });
}

std::string fleet_run::draw_vm_name()
{
    auto const n = world_.draw(vms_.size());
    return std::next(vms_.begin(), static_cast<std::ptrdiff_t>(n))->first;
}

fake_upstream& fleet_run::draw_upstream()
{
    auto const n = world_.draw(upstreams_.size());
    return *std::next(upstreams_.begin(), static_cast<std::ptrdiff_t>(n))
                ->second;
}

void fleet_run::send(fake_vm& entry, std::string const& organisation,
    std::string const& id, http_method method, std::string const& repeat_key,
    std::string const& path, std::function<void(entry_result)> done)
{
    entry_message message;
    message.head.method = method;
    message.head.target = "/shop" + path;
    message.head.key = key_of(organisation);
    message.head.request_id = id;
    message.head.repeat_key = repeat_key;
    // The body tells payments apart, as amounts and names do.
    message.body = repeat_key.empty() ? id : repeat_key;
    entry.deliver([&entry, message = std::move(message),
                      done = std::move(done)]() mutable {
        entry.begin_request(std::move(message), std::move(done));
    });
}

void fleet_run::count(entry_result const& result)
{
    auto const* const refused = std::get_if<refusal>(&result);
    if (refused == nullptr) {
        ++tally_.answered;
        return;
    }
    ++tally_.refusals[std::string(to_name(refused->kind)) + " " +
        refused->detail];
    if (refused->result == outcome::not_run)
        ++tally_.refused_not_run;
    else
        ++tally_.refused_unknown;
}

void fleet_run::begin_read(std::string const& organisation)
{
    auto* const entry = vm(draw_vm_name());
    auto const id = "r" + std::to_string(++last_id_);
    ++tally_.requests;
    send(*entry, organisation, id, http_method::get, "", "/list",
        [this, id](entry_result result) {
            count(result);
            auto const* const whole = std::get_if<upstream_answer>(&result);
            if (whole != nullptr && whole->status == 200 && whole->body != id)
                judge_.blame(id + " got another answer", world_.now());
        });
}

void fleet_run::begin_payment(std::string const& organisation)
{
    auto it = std::make_shared<payment>();
    it->id = "p" + std::to_string(++last_id_);
    it->organisation = organisation;
    if (world_.chance(0.6))
        it->repeat_key = "key-" + it->id;
    payments_[it->id] = it;
    send_payment(std::move(it));
}

void fleet_run::send_payment(std::shared_ptr<payment> it)
{
    constexpr int most_tries = 6;
    ++it->tries;
    ++tally_.requests;
    auto const try_number = it->tries;
    auto* const entry = vm(draw_vm_name());
    auto const answered = std::make_shared<bool>(false);
    auto const again = [this, it, most_tries] {
        if (!it->repeat_key.empty() && it->tries < most_tries && !it->done)
            send_payment(it);
    };
    send(*entry, it->organisation, it->id, http_method::post, it->repeat_key,
        "/pay", [this, it, answered, again](entry_result result) {
            *answered = true;
            count(result);
            auto const* const refused = std::get_if<refusal>(&result);
            it->done = it->done || refused == nullptr;
            bool const not_run =
                refused != nullptr && refused->result == outcome::not_run;
            // Said of one try; with one try in all it must hold for good.
            it->told_not_run = not_run && it->tries == 1;
            if (refused != nullptr)
                world_.after(std::chrono::milliseconds(400), again);
        });
    // The entry VM may have died: the caller tries another.
    constexpr duration patience = std::chrono::milliseconds(3000);
    world_.after(patience, [it, answered, again, try_number] {
        if (!*answered && it->tries == try_number)
            again();
    });
}

void fleet_run::inject(fault what)
{
    auto const span =
        world_.draw_between(std::chrono::seconds(1), std::chrono::seconds(9));
    auto const name = draw_vm_name();
    switch (what) {
    case fault::vm_dies:
        if (vms_.size() > 3) {
            kill(name);
            world_.after(span, [this, name] { start_vm(name); });
        }
        return;
    case fault::vm_pauses: {
        auto* const it = vm(name);
        it->pause();
        world_.after(span, [this, name] {
            if (auto* const paused = vm(name); paused && paused->is_paused())
                paused->resume();
        });
        return;
    }
    case fault::vm_stops_as_planned: {
        auto* const it = vm(name);
        if (it->is_paused() || vms_.size() <= 3)
            return;
        it->plane().leave([] {});
        world_.after(std::chrono::seconds(5), [this, name, it] {
            if (vm(name) == it)
                start_vm(name);
        });
        return;
    }
    case fault::one_way_cut:
        world_.cut(name,
            world_.chance(0.3) ? fake_store::place : draw_vm_name().c_str());
        world_.after(span, [this] { world_.heal(); });
        return;
    case fault::store_away:
        store_.set_away(true);
        world_.after(2 * span, [this] { store_.set_away(false); });
        return;
    case fault::store_loses_answers:
        store_.set_losing_answers(true);
        world_.after(span, [this] { store_.set_losing_answers(false); });
        return;
    case fault::upstream_crashes:
        return draw_upstream().crash();
    case fault::upstream_slow:
    case fault::upstream_hangs: {
        auto& it = draw_upstream();
        it.set_behaviour(what == fault::upstream_slow
                ? upstream_behaviour::slow
                : upstream_behaviour::hanging);
        world_.after(
            span, [&it] { it.set_behaviour(upstream_behaviour::healthy); });
        return;
    }
    case fault::data_centre_out: {
        auto const* const data_centre =
            data_centres[world_.draw(data_centres.size())];
        data_centre_object object{data_centre_state::out, ""};
        if (store_.accept({{object_kind::data_centre, data_centre, object}}))
            once_readable([this, data_centre, object] {
                if (store_.current().find_any(object_kind::data_centre,
                        data_centre) == any_object(object))
                    judge_.data_centre_out(data_centre, world_.now());
            });
        world_.after(2 * span, [this, data_centre] {
            accept_surely(
                {{object_kind::data_centre, data_centre, data_centre_object{}}},
                [this, data_centre] { judge_.data_centre_back(data_centre); });
        });
        return;
    }
    case fault::key_withdrawn: {
        std::string const organisation = "calm";
        key_object const key{
            organisation_id(organisation), key_of(organisation)};
        if (store_.accept({{object_kind::key, organisation, {}}}))
            once_readable([this, organisation, key] {
                if (!store_.current().find_any(object_kind::key, organisation))
                    judge_.key_withdrawn(key.hash, world_.now());
            });
        world_.after(2 * span, [this, organisation, key] {
            accept_surely({{object_kind::key, organisation, key}},
                [this, key] { judge_.key_given(key.hash); });
        });
        return;
    }
    case fault::messages_lost:
        world_.set_loss(0.05);
        world_.after(span, [this] { world_.set_loss(0); });
        return;
    }
}

void fleet_run::check_end()
{
    for (auto const& [name, it] : upstreams_) {
        if (it->overloads() > 0)
            judge_.blame(name + " ran more than its slots", world_.now());
        for (auto const& [id, runs] : it->ledger())
            if (id.starts_with('p') && runs > 1)
                judge_.blame(id + " ran twice at " + name, world_.now());
    }
    for (auto const& [id, it] : payments_) {
        int runs = 0;
        for (auto const& [name, upstream] : upstreams_) {
            auto const found = upstream->ledger().find(id);
            runs += found == upstream->ledger().end() ? 0 : found->second;
        }
        if (runs > 1)
            judge_.blame(id + " ran at two upstreams", world_.now());
        if (runs > 0 && it->told_not_run && it->tries == 1)
            judge_.blame(id + " ran and was said not to", world_.now());
    }
    if (invariant_violations() != violations_before_)
        judge_.blame(
            "an invariant was violated in the decisions", world_.now());
}

} // namespace pomelohinge::simulation
