#include "tests/simulation/gray_run.hpp"
#include "tests/servers/test_charts.hpp"

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> data_centres{"east", "north", "west"};
constexpr std::int64_t slots = 6;
constexpr duration entries_ttl = 1s;
constexpr int first_server_error = 500;

} // namespace

gray_run::gray_run(std::uint64_t seed, gray_shape shape)
    : shape_(shape), charts_(load_all_charts()), simulator_(seed),
      store_(simulator_),
      checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                        charts_, {}, {}, {}}
{
    constexpr double floor = 0.7;
    context_.bounds.retry_extra = checker_.bounds().retry_extra;
    context_.bounds.floor = floor;
    configure();
    for (std::size_t it = 0; it < shape_.targets; ++it)
        add_target(data_centres[it % data_centres.size()]);
    for (std::size_t it = 0; it < shape_.vms; ++it)
        add_vm(data_centres[it % data_centres.size()]);
    for (auto const* it : data_centres)
        callers_.push_back({it, {}, {}});
    simulator_.run_until(simulator_.now() + 5s);
}

gray_run::~gray_run() = default;

void gray_run::configure()
{
    std::vector<configuration_change> changes;
    auto const put = [&](object_kind kind, std::string name, auto object) {
        changes.push_back({kind, std::move(name), any_object(object)});
    };
    service_object service;
    service.echoes_request_id = true;
    put(object_kind::service, "shop", service);
    for (auto const* it : data_centres)
        put(object_kind::data_centre, it, data_centre_object{});
    route_object route;
    route.service = service_id("shop");
    route.host = "shop.example";
    route.access = route_access::open;
    route.deadline = 4000ms;
    route.goal = 1500ms;
    route.attempts = 3;
    route.path_prefix = "/look/";
    route.request_idempotency = idempotency_mode::idempotent;
    route.priority = 2;
    put(object_kind::route, "look", route);
    route.path_prefix = "/order/";
    route.request_idempotency = idempotency_mode::non_idempotent;
    route.priority = 1;
    put(object_kind::route, "order", route);
    store_.set_configuration(configuration().with(changes));
}

void gray_run::add_target(std::string const& data_centre)
{
    target_record record;
    auto const n = std::to_string(targets_.size());
    record.id = target_id("t" + n);
    record.incarnation = 1;
    record.service = service_id("shop");
    record.data_centre = data_centre_id(data_centre);
    record.address = "a" + n;
    record.slots = slots;
    auto& it = *targets_.emplace_back(
        std::make_unique<fake_target>(simulator_, checker_, record, 0));
    it.set_run_time(120ms, 640ms);
    it.set_error_probability(error_probability);
    context_.targets[record.address] = &it;
    store_.put_target(record);
    auto const phase = simulator_.draw_between(0s, shape_.spell);
    auto const position = healthy_since_.size();
    healthy_since_.push_back(simulator_.now());
    simulator_.schedule_after(
        phase, [this, position] { change_mode(position); });
}

void gray_run::change_mode(std::size_t position)
{
    auto& target = *targets_[position];
    bool const was_healthy = target.mode() == target_mode::healthy;
    target.set_mode(simulator_.chance(shape_.failing_share)
            ? target_mode::failing
            : target_mode::healthy);
    if (!was_healthy)
        healthy_since_[position] = simulator_.now();
    simulator_.schedule_after(
        shape_.spell, [this, position] { change_mode(position); });
}

void gray_run::sample_use()
{
    constexpr duration window = 2s;
    constexpr duration period = 500ms;
    if (!counting_)
        return;
    double sound = 0;
    double used = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
        bool const is_sound = targets_[it]->mode() == target_mode::healthy &&
            simulator_.now() - healthy_since_[it] >= window;
        if (!is_sound)
            continue;
        ++sound;
        used += simulator_.now() - targets_[it]->last_received_at() < window
            ? 1
            : 0;
    }
    if (sound > 0) {
        use_sum_ += used / sound;
        ++use_samples_;
    }
    simulator_.schedule_after(period, [this] { sample_use(); });
}

void gray_run::add_vm(std::string const& data_centre)
{
    auto const name = data_centre + "-" + std::to_string(vms_.size());
    vm_record record;
    record.vm = vm_id(name);
    record.data_centre = data_centre_id(data_centre);
    record.peers_address = "p/" + name;
    record.callers_address = "c/" + name;
    record.incarnation = simulator_.random()();
    record.cores = 0.2;
    auto& it = vms_[name] = std::make_unique<fake_vm>(context_, record);
    it->start();
}

void gray_run::renew_entries(caller& sender)
{
    if (simulator_.now() < sender.entries_until)
        return;
    std::vector<fake_vm*> local;
    for (auto const& [name, it] : vms_)
        if (it->record().data_centre.text() == sender.data_centre)
            local.push_back(it.get());
    if (local.empty())
        return;
    sender.entries = local[simulator_.draw(local.size())]->entries();
    sender.entries_until = simulator_.now() + entries_ttl;
}

void gray_run::send_requests()
{
    if (!sending_)
        return;
    auto const per_second = shape_.rate * static_cast<double>(shape_.targets);
    auto const gap = from_seconds(
        std::exponential_distribution<double>(per_second)(simulator_.random()));
    simulator_.schedule_after(gap, [this] {
        send_request(callers_[simulator_.draw(callers_.size())]);
        send_requests();
    });
}

void gray_run::send_request(caller& sender)
{
    renew_entries(sender);
    if (sender.entries.empty())
        return;
    bool const idempotent = simulator_.chance(shape_.idempotent_share);
    incoming_request message;
    message.head.method = idempotent ? "GET" : "POST";
    message.head.host = "shop.example";
    message.head.target = idempotent ? "/look/x" : "/order/x";
    message.head.request_id = "r" + std::to_string(++last_request_);
    message.body = message.head.request_id;
    checker_.on_request_sent(
        message.head.request_id, "", "shop", idempotent, simulator_.now());
    auto const address = sender.entries[simulator_.draw(sender.entries.size())];
    auto const vm = vms_.find(address.substr(2));
    bool const counts = counting_;
    vm->second->handle_request(
        message, [this, idempotent, counts](entry_result const& result) {
            if (counts)
                count(idempotent, result);
        });
}

void gray_run::count(bool idempotent, entry_result const& result)
{
    ++result_.requests;
    auto const* const answer = std::get_if<upstream_answer>(&result);
    auto const* const refused = std::get_if<refusal>(&result);
    bool const is_lost =
        answer == nullptr || answer->status >= first_server_error;
    auto& all = idempotent ? result_.lookups : result_.orders;
    auto& lost = idempotent ? result_.lost_lookups : result_.lost_orders;
    ++all;
    lost += is_lost ? 1 : 0;
    if (!idempotent && refused != nullptr &&
        refused->result == outcome::not_run)
        ++result_.refused_orders;
}

gray_result gray_run::run(duration warm_up, duration span)
{
    result_ = {};
    sending_ = true;
    send_requests();
    simulator_.run_until(simulator_.now() + warm_up);
    counting_ = true;
    sample_use();
    simulator_.run_until(simulator_.now() + span);
    counting_ = false;
    sending_ = false;
    simulator_.run_until(simulator_.now() + 5s);
    if (use_samples_ > 0)
        result_.mean_use = use_sum_ / static_cast<double>(use_samples_);
    return result_;
}

} // namespace pomelohinge::simulation
