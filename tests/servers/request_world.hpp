#ifndef POMELOHINGE_TESTS_SERVERS_REQUEST_WORLD_HPP
#define POMELOHINGE_TESTS_SERVERS_REQUEST_WORLD_HPP

#include "config/configuration.hpp"
#include "servers/requests/entry_request.hpp"
#include "tests/servers/test_charts.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// What a request of a test asks for.
enum class request_sort {
    /// May be repeated.
    lookup,
    /// Must run only once.
    order,
    /// An order with an idempotency key.
    keyed_order,
};

template <>
inline constexpr auto name_table<request_sort> = make_name_table<request_sort>({
    {request_sort::lookup, "lookup"},
    {request_sort::order, "order"},
    {request_sort::keyed_order, "keyed_order"},
});
static_assert(is_ordered<request_sort>());

/// One request on its entry VM in virtual time. The test ends its attempts,
/// answers its calls to the store and changes what surrounds it. The results of
/// cancelled attempts are kept and can be delivered late.
class request_world
{
public:
    using request_type = entry_request<request_world>;

    static constexpr duration time_limit = std::chrono::seconds(2);
    static constexpr duration latency = std::chrono::milliseconds(50);
    static constexpr std::int64_t slots = 2;

    explicit request_world(request_sort sort)
        : sort_(sort),
          state_(charts().target, vm_id("a"), data_centre_id("east"), 1,
              [](std::string const&) { return true; }, {})
    {
        static auto const with_key = index_with(true);
        index_ = with_key;
        set_targets(3);
        play_answers();
    }

    request_world(request_world const&) = delete;
    request_world& operator=(request_world const&) = delete;

    // The environment of the request.

    time_point now() const { return clock_.now(); }
    std::int64_t unix_now_ms() const { return 0; }
    policy_pointer const& current_policy() const { return policy_; }
    time_point read_at() const { return read_at_.value_or(now()); }
    entry_state& state() { return state_; }

    std::uint64_t send_upstream(target_record const& target, upstream_request,
        std::function<void(attempt_end)> done)
    {
        sent_.push_back(target);
        sent_after_end_ += has_ended() ? 1 : 0;
        ran_before_send_ += may_have_run_ ? 1 : 0;
        overlapping_ += has_attempt() ? 1 : 0;
        attempt_ = std::move(done);
        return sent_.size();
    }

    void cancel_upstream(std::uint64_t)
    {
        may_have_run_ = true;
        cancelled_.push_back(std::exchange(attempt_, nullptr));
    }

    void after(duration wait, std::function<void()> run)
    {
        timers_.emplace(now() + wait, std::move(run));
    }

    void create_record(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        record_ = record;
        record_reply_ = std::move(done);
    }
    void write_record(idempotency_record const& record)
    {
        written_ = record.state;
    }
    void remove_record(idempotency_record const&) { record_removed_ = true; }

    // Events.

    void start()
    {
        incoming_request message;
        message.head.method = sort_ == request_sort::lookup ? "GET" : "POST";
        message.head.target =
            sort_ == request_sort::lookup ? "/look/1" : "/pay/1";
        message.head.host = "shop.example";
        message.head.request_id = "r1";
        message.head.key = key_hash{};
        if (sort_ == request_sort::keyed_order)
            message.head.idempotency_key = "k1";
        request_ = std::make_shared<request_type>(charts().request, *this,
            std::move(message), [this](entry_result it) {
                ++results_;
                result_ = std::move(it);
            });
        request_->start();
    }

    bool has_attempt() const { return attempt_ != nullptr; }
    bool has_cancelled_attempt() const { return !cancelled_.empty(); }
    bool awaits_record() const { return record_reply_ != nullptr; }

    void end_attempt(attempt_result result)
    {
        may_have_run_ |= result != attempt_result::shed &&
            result != attempt_result::misdirected &&
            result != attempt_result::connect_failed;
        std::exchange(attempt_, nullptr)(make_end(result));
    }

    /// Delivers the results of cancelled attempts.
    void end_cancelled(attempt_result result)
    {
        for (auto const& it : std::exchange(cancelled_, {}))
            it(make_end(result));
    }

    void reply_record(record_outcome result)
    {
        earlier_may_have_run_ |= result == record_outcome::running ||
            result == record_outcome::unknown;
        auto found = record_;
        if (result == record_outcome::done)
            found.state = record_state::done;
        if (result == record_outcome::unknown)
            found.state = record_state::unknown;
        if (result == record_outcome::differs)
            ++found.request_fingerprint;
        std::exchange(record_reply_, nullptr)(result, std::move(found));
    }

    void advance(duration span)
    {
        auto const end = now() + span;
        while (!timers_.empty() && timers_.begin()->first <= end) {
            auto const due = timers_.extract(timers_.begin());
            clock_.advance(std::max(due.key() - now(), duration::zero()));
            due.mapped()();
        }
        clock_.advance(end - now());
        state_.tick(now());
    }

    void set_targets(std::size_t n)
    {
        std::vector<target_record> records;
        for (std::size_t it = 1; it <= n; ++it) {
            target_record record;
            record.id = target_id("t" + std::to_string(it));
            record.service = service_id("shop");
            record.data_centre = data_centre_id("east");
            record.address = "10.0.0.1:80";
            record.slots = slots;
            record.revision = 1;
            records.push_back(std::move(record));
        }
        targets_ = std::make_shared<target_catalogue>(records, 1);
        publish();
    }

    void withdraw_key()
    {
        static auto const without_key = index_with(false);
        index_ = without_key;
        publish();
    }

    /// Makes the configuration too old for keys to be accepted.
    void lose_store() { read_at_ = now() - std::chrono::hours(1); }

    /// Takes all slots of the targets.
    void take_slots()
    {
        while (auto it = state_.targets.reserve(make_placement(), now()))
            held_.push_back(std::move(it->target));
    }

    void free_slots()
    {
        while (!held_.empty())
            free_slot();
    }

    void free_slot()
    {
        if (held_.empty())
            return;
        auto const target = std::move(held_.back());
        held_.pop_back();
        state_.targets.attempt_ended(
            target, attempt_result::answered, latency, now());
    }

    void use_up_retries()
    {
        while (state_.retries.take("shop", now())) {
        }
    }

    void stop_within(duration left) { state_.stop = {now() + left, now()}; }

    void end_process() { request_->process_ends(); }
    void disconnect() { request_->caller_disconnected(); }

    // What has happened.

    bool has_ended() const { return request_ != nullptr && request_->ended(); }
    int results() const { return results_; }
    std::optional<entry_result> const& result() const { return result_; }
    std::size_t sent() const { return sent_.size(); }

    /// Attempts that began after the request had ended.
    int sent_after_end() const { return sent_after_end_; }
    /// Attempts that began although one before them may have run.
    int ran_before_send() const { return ran_before_send_; }

    /// Attempts that began while another one was open.
    int overlapping() const { return overlapping_; }

    /// Whether an attempt may have run or may still run.
    bool may_have_run() const
    {
        return may_have_run_ || has_attempt() || earlier_may_have_run_;
    }

    /// The state in which the request left its record, if it did.
    std::optional<record_state> written_record() const { return written_; }
    bool is_record_removed() const { return record_removed_; }

    /// Slots that are taken for the request.
    std::int64_t taken_slots() const
    {
        std::int64_t sum = -static_cast<std::int64_t>(held_.size());
        for (auto const* id : {"t1", "t2", "t3"})
            if (auto const* const it = state_.targets.find(target_id(id)))
                sum += it->in_flight();
        return sum;
    }

private:
    static chart_list const& charts()
    {
        static chart_list const loaded = load_all_charts();
        return loaded;
    }

    static std::shared_ptr<configuration_index const> index_with(bool key)
    {
        std::vector<configuration_change> changes;
        auto const put = [&](object_kind kind, std::string name, auto object) {
            changes.push_back({kind, std::move(name), any_object(object)});
        };
        service_object service;
        service.echoes_request_id = true;
        put(object_kind::service, "shop", service);
        put(object_kind::data_centre, "east", data_centre_object{});
        put(object_kind::organisation, "pub", organisation_object{});
        put(object_kind::rate, "pub", rate_object{1000, 1000});
        if (key)
            put(object_kind::key, "pub",
                key_object{organisation_id("pub"), key_hash{}});
        route_object route;
        route.service = service_id("shop");
        route.host = "shop.example";
        route.deadline =
            std::chrono::duration_cast<std::chrono::milliseconds>(time_limit);
        route.attempts = 3;
        route.path_prefix = "/look/";
        route.request_idempotency = idempotency_mode::idempotent;
        put(object_kind::route, "look", route);
        route.path_prefix = "/pay/";
        route.request_idempotency = idempotency_mode::non_idempotent;
        put(object_kind::route, "pay", route);
        return std::make_shared<configuration_index>(
            configuration().with(changes), 1);
    }

    static attempt_end make_end(attempt_result result)
    {
        constexpr int status_ok = 200;
        constexpr int status_error = 500;
        constexpr int status_unavailable = 503;
        attempt_end end;
        end.result = result;
        end.answer.status = result == attempt_result::answered ? status_ok
            : result == attempt_result::server_error           ? status_error
                                                     : status_unavailable;
        return end;
    }

    placement_request make_placement() const
    {
        return {service_id("shop"), 0, false, {}, now() + time_limit};
    }

    /// Lets the service have a median latency, on which the timers of attempts
    /// depend.
    void play_answers()
    {
        constexpr int answers = 30;
        for (int it = 0; it < answers; ++it)
            if (auto placed = state_.targets.reserve(make_placement(), now()))
                state_.targets.attempt_ended(
                    placed->target, attempt_result::answered, latency, now());
    }

    void publish()
    {
        auto next = std::make_shared<policy>();
        next->index = index_;
        next->members = std::make_shared<fleet_members>();
        next->targets = targets_;
        next->ready = true;
        policy_ = next;
        state_.adopt(policy_, now());
    }

    request_sort sort_;
    manual_clock clock_;
    entry_state state_;
    std::shared_ptr<configuration_index const> index_;
    std::shared_ptr<target_catalogue const> targets_;
    policy_pointer policy_;
    std::optional<time_point> read_at_;
    std::multimap<time_point, std::function<void()>> timers_;
    std::vector<target_record> sent_;
    std::vector<target_record> held_;
    std::function<void(attempt_end)> attempt_;
    std::vector<std::function<void(attempt_end)>> cancelled_;
    std::function<void(record_outcome, idempotency_record)> record_reply_;
    idempotency_record record_;
    std::optional<record_state> written_;
    bool record_removed_ = false;
    bool may_have_run_ = false;
    bool earlier_may_have_run_ = false;
    int sent_after_end_ = 0;
    int ran_before_send_ = 0;
    int overlapping_ = 0;
    int results_ = 0;
    std::optional<entry_result> result_;
    std::shared_ptr<request_type> request_;
};

} // namespace pomelohinge

#endif
