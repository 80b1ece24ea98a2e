#include "main/traffic_thread.hpp"

#include <asio/post.hpp>
#include <random>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// How often waiting requests are looked through for passed deadlines.
constexpr duration sweep_period = std::chrono::milliseconds(50);

/// Fleeting state is cleaned up once in so many sweeps.
constexpr unsigned sweeps_per_cleaning = 100;

} // namespace

std::size_t thread_of(std::string_view name, std::size_t threads)
{
    return XXH64(name.data(), name.size(), 1) % threads;
}

traffic_thread::traffic_thread(settings const& configured,
    chart_list const& rules, traffic_threads const& all,
    attempt_callback on_attempt)
    : settings_(configured), rules_(rules), all_(all),
      on_attempt_(std::move(on_attempt)), context_(1),
      work_(context_.get_executor()), clock_(context_), http_(context_),
      upstreams_(http_, static_cast<std::size_t>(configured.answer_body_bytes)),
      peers_(context_),
      front_(context_,
          {[this](
               entry_message message, std::function<void(entry_result)> done) {
               return begin_request(std::move(message), std::move(done));
           },
              [this](std::optional<key_hash> const& key) {
                  return answer_entries(key);
              }},
          {static_cast<std::size_t>(configured.request_body_bytes)}),
      organisations_(*this), targets_(*this)
{
    entry_.random.seed(std::random_device{}());
}

traffic_thread::~traffic_thread()
{
    stop();
}

absl::Status traffic_thread::start()
{
    if (auto status = front_.listen(settings_.callers_address); !status.ok())
        return status;
    sweep_timer_ = timers_.every(now(), sweep_period, [this] { sweep(); });
    keep_time();
    thread_ = std::thread([this] { run(); });
    return absl::OkStatus();
}

void traffic_thread::run()
{
    context_.run();
}

void traffic_thread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void traffic_thread::post(std::function<void()> work)
{
    asio::post(context_, std::move(work));
}

void traffic_thread::keep_time()
{
    timers_.run_due(now());
    auto const due = timers_.next_due();
    if (!due)
        return;
    clock_.expires_at(*due);
    clock_.async_wait([this](asio::error_code ec) {
        if (!ec)
            keep_time();
    });
}

void traffic_thread::sweep()
{
    targets_.sweep();
    if (++sweeps_ % sweeps_per_cleaning != 0)
        return;
    organisations_.expire();
    peers_.drop_idle(now());
}

organisation_hand_over traffic_thread::set_policy(policy_pointer next)
{
    auto const before = std::exchange(policy_, std::move(next));
    return organisations_.release_lost(before);
}

traffic_thread& traffic_thread::owner_of(std::string_view name) const
{
    return *all_[thread_of(name, all_.size())];
}

std::function<void()> traffic_thread::begin_request(
    entry_message message, std::function<void(entry_result)> done)
{
    using request = entry_request<traffic_thread>;
    auto const started = now();
    auto const holder = std::make_shared<std::shared_ptr<request>>();
    *holder = std::make_shared<request>(rules_.request, *this,
        std::move(message),
        [this, holder, started, done = std::move(done)](entry_result result) {
            // Keeps the request alive until this call is over.
            auto const it = std::exchange(*holder, nullptr);
            metrics_.ended(it->seen().organisation, it->seen().service, result,
                now() - started, it->seen().upstream_time,
                it->seen().queue_time, it->seen().attempts);
            done(std::move(result));
        });
    std::weak_ptr<request> const weak = *holder;
    auto const it = *holder;
    it->start();
    return [weak, holder] {
        if (auto const it = weak.lock()) {
            it->caller_gone();
            *holder = nullptr;
        }
    };
}

std::variant<entry_answer, refusal> traffic_thread::answer_entries(
    std::optional<key_hash> const& key)
{
    if (policy_ == nullptr || !policy_->ready)
        return refusal{refusal_kind::not_ready, outcome::not_run,
            "no configuration is known yet", std::chrono::seconds(1)};
    if (!key)
        return refusal{refusal_kind::key_missing, outcome::not_run,
            "the entry question needs \"Authorization: Bearer KEY\"", {}};
    auto const* const organisation =
        policy_->index->routes.organisation_of(*key);
    if (organisation == nullptr)
        return refusal{refusal_kind::key_unknown, outcome::not_run,
            "the key is not in force", {}};
    auto const* const rate =
        policy_->index->source.find<rate_object>(organisation->text());
    return pomelohinge::answer_entries(policy_->owners, *organisation,
        rate == nullptr ? rate_object{} : *rate, entry_.random);
}

void traffic_thread::ask_charge(vm_record const& vm,
    charge_question const& question, std::function<void(charge_reply)> done)
{
    if (!is_self(vm))
        return peers_.charge(vm.peers_address, question, std::move(done));
    auto& owner = owner_of(question.organisation.text());
    owner.post([this, &owner, question, done = std::move(done)] {
        auto const reply = owner.organisations_.charge(question);
        if (&owner == this)
            return done(reply);
        post([done, reply] { done(reply); });
    });
}

void traffic_thread::ask_record(vm_record const& vm,
    record_question const& question, std::function<void(record_reply)> done)
{
    if (!is_self(vm))
        return peers_.record(vm.peers_address, question, std::move(done));
    auto& owner = owner_of(question.record.organisation);
    owner.post([this, &owner, question, done = std::move(done)] {
        owner.organisations_.record(question, [this, done](record_reply reply) {
            post([done, reply = std::move(reply)] { done(reply); });
        });
    });
}

void traffic_thread::tell_poison(
    vm_record const& vm, poison_notice const& notice)
{
    if (!is_self(vm))
        return peers_.poison(vm.peers_address, notice);
    auto& owner = owner_of(notice.organisation.text());
    owner.post([&owner, notice] { owner.organisations_.note(notice); });
}

std::uint64_t traffic_thread::send_order(vm_record const& vm,
    dispatch_order order, std::function<void(dispatch_answer)> done)
{
    auto const call = ++last_call_;
    if (is_self(vm)) {
        send_local(call, std::move(order), std::move(done));
        return call;
    }
    auto const remote = peers_.dispatch(vm.peers_address, order,
        [this, call, done = std::move(done)](dispatch_answer answer) {
            remote_orders_.erase(call);
            done(std::move(answer));
        });
    remote_orders_.emplace(call, remote);
    return call;
}

void traffic_thread::send_local(std::uint64_t call, dispatch_order order,
    std::function<void(dispatch_answer)> done)
{
    auto& owner = owner_of(order.target.text());
    auto const id = std::make_shared<ticket>(0);
    local_orders_.emplace(call, local_order{&owner, id});
    owner.post([this, &owner, id, call, order = std::move(order),
                   done = std::move(done)]() mutable {
        *id = owner.targets_.submit(std::move(order),
            [this, call, done = std::move(done)](dispatch_answer answer) {
                post([this, call, done, answer = std::move(answer)] {
                    local_orders_.erase(call);
                    done(answer);
                });
            });
    });
}

void traffic_thread::cancel_order(std::uint64_t call)
{
    if (auto const it = remote_orders_.find(call); it != remote_orders_.end())
        return peers_.cancel(it->second);
    auto const it = local_orders_.find(call);
    if (it == local_orders_.end())
        return;
    auto& owner = *it->second.owner;
    owner.post([&owner, id = it->second.id] { owner.targets_.cancel(*id); });
}

void traffic_thread::after(duration wait, std::function<void()> run)
{
    auto const timer = std::make_shared<asio::steady_timer>(context_, wait);
    timer->async_wait([timer, run = std::move(run)](asio::error_code ec) {
        if (!ec)
            run();
    });
}

std::uint64_t traffic_thread::send_upstream(target_object const& target,
    dispatch_order const& order, std::function<void(attempt_end)> done)
{
    return upstreams_.send(target, order, std::move(done));
}

void traffic_thread::report_attempt(
    target_id const& target, attempt_report const& report)
{
    on_attempt_(target, report);
}

} // namespace pomelohinge
