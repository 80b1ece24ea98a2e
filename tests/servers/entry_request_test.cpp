#include "charts/chart_list.hpp"
#include "config/configuration_text.hpp"
#include "servers/requests/entry_request.hpp"

#include <gtest/gtest.h>
#include <map>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Environment of requests: the test supplies the answers of the targets and
/// advances the clock.
class fake_environment
{
public:
    explicit fake_environment(chart_list const& charts)
        : state_(
              charts.target, vm_id("a"), data_centre_id("east"), 1,
              [](std::string const&) { return true; }, fleet_bounds())
    {
        findings found("text");
        auto const source = parse_configuration(R"({"format": 1,
            "services": {"shop": {}},
            "routes": {
                "look": {"service": "shop", "host": "shop.example",
                    "path_prefix": "/look/", "access": "open",
                    "methods": ["GET"], "attempts": 3, "deadline_ms": 2000},
                "pay": {"service": "shop", "host": "shop.example",
                    "path_prefix": "/pay/", "access": "open",
                    "methods": ["POST"], "attempts": 3, "deadline_ms": 2000,
                    "repeat": "non_idempotent"},
                "own": {"service": "shop", "host": "shop.example",
                    "path_prefix": "/own/", "methods": ["GET"],
                    "attempts": 3, "deadline_ms": 2000}},
            "organisations": {"pub": {}},
            "rates": {"pub": {"requests_per_second": 100, "burst": 100}},
            "keys": {"k": {"organisation": "pub", "sha256":
"0000000000000000000000000000000000000000000000000000000000000000"}}})",
            found);
        EXPECT_TRUE(source) << found.to_text();
        auto next = std::make_shared<policy>();
        next->index = std::make_shared<configuration_index>(
            source.value_or(configuration()), 1);
        next->members = std::make_shared<fleet_members>();
        next->ready = true;
        policy_ = next;
        base_ = next;
    }

    void set_targets(std::vector<std::string> const& names)
    {
        std::vector<target_record> records;
        for (auto const& name : names) {
            target_record it;
            it.id = target_id(name);
            it.service = service_id("shop");
            it.data_centre = data_centre_id("east");
            it.address = "10.0.0.1:80";
            it.slots = 4;
            it.revision = 1;
            records.push_back(std::move(it));
        }
        auto next = std::make_shared<policy>(*base_);
        next->targets = std::make_shared<target_catalogue>(records, 1);
        policy_ = next;
        state_.adopt(policy_, now());
    }

    time_point now() const { return clock_.now(); }
    std::int64_t unix_now_ms() const { return 0; }
    policy_pointer const& current_policy() const { return policy_; }
    time_point read_at() const { return now(); }
    entry_state& state() { return state_; }

    std::uint64_t send_upstream(target_record const& target, upstream_request,
        std::function<void(attempt_end)> done)
    {
        sent_.push_back(target.id.text());
        in_progress_ = std::move(done);
        return sent_.size();
    }
    void cancel_upstream(std::uint64_t) { in_progress_ = nullptr; }

    void after(duration wait, std::function<void()> run)
    {
        timers_.emplace(now() + wait, std::move(run));
    }

    void create_record(idempotency_record const&,
        std::function<void(record_outcome, idempotency_record)>)
    {
    }
    void write_record(idempotency_record const&) {}
    void remove_record(idempotency_record const&) {}

    bool has_attempt() const { return in_progress_ != nullptr; }

    /// Ends the current attempt.
    void end_attempt(attempt_result result, int status = 0)
    {
        attempt_end end;
        end.result = result;
        end.answer.status = status;
        std::exchange(in_progress_, nullptr)(std::move(end));
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
    }

    std::vector<std::string> const& sent() const { return sent_; }

private:
    manual_clock clock_;
    entry_state state_;
    std::shared_ptr<policy> base_;
    policy_pointer policy_;
    std::vector<std::string> sent_;
    std::function<void(attempt_end)> in_progress_;
    std::multimap<time_point, std::function<void()>> timers_;
};

class entry_request_test : public testing::Test
{
protected:
    static chart_list load_all_charts()
    {
        findings found("charts");
        auto charts = load_charts("", found);
        EXPECT_TRUE(found.empty()) << found.to_text();
        return std::move(*charts);
    }

    entry_request_test() : charts_(load_all_charts()), environment_(charts_) {}

    void begin(std::string method, std::string target, duration waited = {})
    {
        incoming_request message;
        message.waited = waited;
        message.head.method = std::move(method);
        message.head.target = std::move(target);
        message.head.host = "shop.example";
        message.head.request_id = "r1";
        message.head.key = key_hash{};
        result_.reset();
        requests_.push_back(std::make_shared<entry_request<fake_environment>>(
            charts_.request, environment_, std::move(message),
            [this](entry_result result) { result_ = std::move(result); }));
        requests_.back()->start();
    }

    /// Plays requests that are answered one after the other.
    void play_answered(std::string const& method, std::string const& target,
        duration latency, int count = 30)
    {
        for (int it = 0; it < count; ++it) {
            begin(method, target);
            environment_.advance(latency);
            environment_.end_attempt(attempt_result::answered, 200);
        }
    }

    /// Plans the end of the process; callers know of it `callers_leave` later.
    void stop_within(duration left, duration callers_leave = 1h)
    {
        environment_.state().stop = {
            environment_.now() + left, environment_.now() + callers_leave};
    }

    int answered_status() const
    {
        if (!result_)
            return 0;
        auto const* const it = std::get_if<upstream_answer>(&*result_);
        return it == nullptr ? 0 : it->status;
    }

    std::optional<outcome> refused_outcome() const
    {
        if (!result_)
            return std::nullopt;
        auto const* const it = std::get_if<refusal>(&*result_);
        return it == nullptr ? std::nullopt : std::optional(it->result);
    }

    chart_list charts_;
    fake_environment environment_;
    std::vector<std::shared_ptr<entry_request<fake_environment>>> requests_;
    /// The result of the request that ended last.
    std::optional<entry_result> result_;
};

TEST_F(
    entry_request_test, server_error_without_another_target_is_returned_at_once)
{
    environment_.set_targets({"t1"});
    begin("GET", "/look/1");
    environment_.end_attempt(attempt_result::server_error, 500);
    EXPECT_EQ(answered_status(), 500);
}

TEST_F(entry_request_test, server_error_too_late_for_a_retry_is_returned)
{
    environment_.set_targets({"t1", "t2"});
    begin("GET", "/look/1");
    environment_.advance(1990ms);
    environment_.end_attempt(attempt_result::server_error, 500);
    EXPECT_EQ(answered_status(), 500);
}

TEST_F(entry_request_test, server_error_is_retried_at_another_target)
{
    environment_.set_targets({"t1", "t2"});
    begin("GET", "/look/1");
    environment_.end_attempt(attempt_result::server_error, 500);
    ASSERT_EQ(environment_.sent().size(), 2u);
    EXPECT_NE(environment_.sent()[0], environment_.sent()[1]);
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(answered_status(), 200);
}

TEST_F(entry_request_test, payment_with_a_lost_connection_is_not_retried)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1");
    environment_.end_attempt(attempt_result::connection_lost);
    EXPECT_EQ(environment_.sent().size(), 1u);
    EXPECT_EQ(refused_outcome(), outcome::unknown);
}

TEST_F(entry_request_test, payment_shed_by_a_target_is_sent_to_another)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1");
    environment_.end_attempt(attempt_result::shed, 503);
    ASSERT_EQ(environment_.sent().size(), 2u);
    environment_.end_attempt(attempt_result::shed, 503);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
}

TEST_F(entry_request_test, request_without_any_target_is_refused_as_not_run)
{
    environment_.set_targets({});
    begin("GET", "/look/1");
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    EXPECT_TRUE(environment_.sent().empty());
}

TEST_F(entry_request_test, payment_without_an_answer_ends_at_its_time_limit)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1");
    environment_.advance(2s);
    EXPECT_EQ(refused_outcome(), outcome::unknown);
    EXPECT_EQ(environment_.sent().size(), 1u);
}

TEST_F(entry_request_test, time_spent_behind_others_counts_for_the_time_limit)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1", 1500ms);
    environment_.advance(499ms);
    EXPECT_FALSE(refused_outcome());
    environment_.advance(2ms);
    EXPECT_EQ(refused_outcome(), outcome::unknown);
}

TEST_F(entry_request_test, request_whose_time_passed_behind_others_is_not_sent)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1", 2s);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    EXPECT_TRUE(environment_.sent().empty());
}

/// Requests that came late in a planned stop were passed on and cut at its end.
TEST_F(entry_request_test, request_that_may_outlast_the_stop_is_not_sent)
{
    environment_.set_targets({"t1", "t2"});
    stop_within(1900ms);
    begin("POST", "/pay/1");
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    EXPECT_TRUE(environment_.sent().empty());
}

TEST_F(entry_request_test, request_that_ends_before_the_stop_is_sent)
{
    environment_.set_targets({"t1", "t2"});
    stop_within(2100ms);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), 1u);
}

TEST_F(entry_request_test, short_request_is_sent_shortly_before_the_stop)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("POST", "/pay/1", 50ms);
    auto const sent = environment_.sent().size();
    stop_within(150ms);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), sent + 1);
    stop_within(80ms);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), sent + 1);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
}

/// A slow kind of request was taken late in a planned stop, and cut, since its
/// service answers others quickly.
TEST_F(entry_request_test, slow_request_of_a_quick_service_is_not_sent_late)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("GET", "/look/1", 50ms);
    auto sent = environment_.sent().size();
    stop_within(1s);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), sent);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    stop_within(1h);
    play_answered("POST", "/pay/1", 700ms);
    sent = environment_.sent().size();
    stop_within(1s);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), sent);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    begin("GET", "/look/1");
    EXPECT_EQ(environment_.sent().size(), sent + 1);
}

TEST_F(entry_request_test, request_that_waited_for_a_target_is_not_sent_late)
{
    environment_.set_targets({"t1"});
    play_answered("POST", "/pay/1", 400ms);
    constexpr int slots = 4;
    for (int it = 0; it < slots; ++it)
        begin("POST", "/pay/1");
    begin("POST", "/pay/1");
    ASSERT_FALSE(result_) << "it waits for a target";
    auto const sent = environment_.sent().size();
    stop_within(1s);
    environment_.advance(300ms);
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(environment_.sent().size(), sent);
    EXPECT_TRUE(requests_.back()->ended());
}

TEST_F(entry_request_test, request_is_not_retried_shortly_before_the_stop)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("GET", "/look/1", 400ms);
    constexpr int other_slots = 7;
    for (int it = 0; it < other_slots; ++it)
        begin("POST", "/pay/1");
    begin("GET", "/look/1");
    stop_within(500ms);
    environment_.end_attempt(attempt_result::server_error, 500);
    EXPECT_EQ(answered_status(), 500) << "it does not wait for another target";
}

/// Late requests were cancelled for a reroute and then refused as `unknown`,
/// since no other target had room.
TEST_F(entry_request_test, late_request_keeps_its_attempt_while_others_are_full)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("GET", "/look/1", 100ms);
    constexpr int other_slots = 7;
    for (int it = 0; it < other_slots; ++it)
        begin("POST", "/pay/1");
    begin("GET", "/look/1");
    auto const sent = environment_.sent().size();
    environment_.advance(1s);
    EXPECT_EQ(environment_.sent().size(), sent);
    ASSERT_FALSE(result_);
    ASSERT_TRUE(environment_.has_attempt()) << "it was cancelled";
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(answered_status(), 200);
}

TEST_F(entry_request_test, late_request_is_rerouted_once_another_has_room)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("GET", "/look/1", 100ms);
    constexpr int other_slots = 7;
    for (int it = 0; it < other_slots; ++it)
        begin("POST", "/pay/1");
    begin("GET", "/look/1");
    environment_.advance(700ms);
    environment_.set_targets({"t1", "t2", "t3"});
    environment_.advance(150ms);
    EXPECT_EQ(environment_.sent().back(), "t3");
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(answered_status(), 200);
}

TEST_F(entry_request_test, late_request_is_not_rerouted_shortly_before_the_stop)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("GET", "/look/1", 100ms);
    auto const sent = environment_.sent().size();
    begin("GET", "/look/1");
    stop_within(600ms);
    environment_.advance(550ms);
    EXPECT_EQ(environment_.sent().size(), sent + 1);
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(answered_status(), 200);
}

/// Once callers know other VMs, no request is taken that could be cut.
TEST_F(entry_request_test, request_that_comes_late_in_a_stop_must_end_in_time)
{
    environment_.set_targets({"t1", "t2"});
    play_answered("POST", "/pay/1", 50ms);
    auto const sent = environment_.sent().size();
    stop_within(1900ms, 0ms);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), sent);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    stop_within(2100ms, 0ms);
    begin("POST", "/pay/1");
    EXPECT_EQ(environment_.sent().size(), sent + 1);
}

/// Requests that were open when the process ended had their connections closed
/// without an answer, also those that no target had got.
TEST_F(
    entry_request_test, request_in_the_queue_at_the_end_is_answered_as_not_run)
{
    environment_.set_targets({"t1"});
    play_answered("POST", "/pay/1", 400ms);
    constexpr int slots = 4;
    for (int it = 0; it < slots; ++it)
        begin("POST", "/pay/1");
    begin("POST", "/pay/1");
    auto const sent = environment_.sent().size();
    requests_.back()->process_ends();
    EXPECT_EQ(refused_outcome(), outcome::not_run);
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(environment_.sent().size(), sent);
}

TEST_F(
    entry_request_test, request_at_a_target_at_the_end_is_answered_as_unknown)
{
    environment_.set_targets({"t1"});
    begin("POST", "/pay/1");
    requests_.back()->process_ends();
    EXPECT_EQ(refused_outcome(), outcome::unknown);
    EXPECT_EQ(
        environment_.state().targets.find(target_id("t1"))->in_flight(), 0);
}

TEST_F(entry_request_test, payment_of_a_caller_that_left_runs_to_its_end)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1");
    requests_.back()->caller_disconnected();
    EXPECT_FALSE(requests_.back()->ended());
    environment_.end_attempt(attempt_result::answered, 200);
    EXPECT_EQ(answered_status(), 200);
}

TEST_F(entry_request_test, payment_of_a_caller_that_left_is_not_sent_again)
{
    environment_.set_targets({"t1", "t2"});
    begin("POST", "/pay/1");
    requests_.back()->caller_disconnected();
    environment_.end_attempt(attempt_result::connect_failed);
    EXPECT_EQ(environment_.sent().size(), 1u);
    EXPECT_EQ(refused_outcome(), outcome::not_run);
}

TEST_F(entry_request_test, waiting_payment_of_a_caller_that_left_is_cancelled)
{
    environment_.set_targets({"t1"});
    constexpr int slots = 4;
    for (int it = 0; it < slots; ++it)
        begin("POST", "/pay/1");
    begin("POST", "/pay/1");
    ASSERT_EQ(environment_.sent().size(), std::size_t(slots));
    requests_.back()->caller_disconnected();
    EXPECT_TRUE(requests_.back()->ended());
    EXPECT_FALSE(result_);
}

TEST_F(entry_request_test, look_up_of_a_caller_that_left_is_cancelled)
{
    environment_.set_targets({"t1"});
    begin("GET", "/look/1");
    requests_.back()->caller_disconnected();
    EXPECT_TRUE(requests_.back()->ended());
    EXPECT_FALSE(result_);
}

/// How an attempt ended, and whether a refusal behind it may say `not_run`.
struct attempt_end_row
{
    attempt_result end;
    bool proves_not_run;
};

constexpr attempt_end_row attempt_ends[] = {
    {attempt_result::shed, true},
    {attempt_result::misdirected, true},
    {attempt_result::connect_failed, true},
    {attempt_result::connection_lost, false},
    {attempt_result::kept_connection_lost, false},
    {attempt_result::timed_out, false},
    {attempt_result::wrong_answer, false},
    {attempt_result::too_large, false},
    {attempt_result::cancelled, false},
};
// `answered` and `server_error` are passed on instead of refused.
static_assert(std::size(attempt_ends) + 2 == enum_count<attempt_result>);

TEST_F(entry_request_test, grant_is_given_back_only_if_nothing_may_have_run)
{
    auto const granted = [this] {
        auto const report =
            environment_.state().limits.make_report(environment_.now());
        auto const it = report.find("pub");
        return it == report.end() ? 0 : it->second.granted;
    };
    for (auto const& row : attempt_ends) {
        environment_.set_targets({});
        environment_.set_targets({"t1"});
        environment_.state().limits = organisation_limits();
        begin("GET", "/own/1");
        environment_.end_attempt(row.end);
        EXPECT_TRUE(refused_outcome()) << to_name(row.end);
        EXPECT_EQ(granted() == 0, row.proves_not_run) << to_name(row.end);
    }
}

/// A refusal or a lost copy of one must not hold a sound request back.
TEST_F(entry_request_test, only_a_lost_connection_counts_as_a_crash)
{
    for (auto const& row : name_table<attempt_result>) {
        environment_.set_targets({});
        environment_.set_targets({"t1"});
        environment_.state().poison = poison_guard();
        begin("POST", "/pay/1");
        environment_.end_attempt(row.value, 500);
        EXPECT_EQ(environment_.state().poison.empty(),
            row.value != attempt_result::connection_lost)
            << row.name;
    }
}

TEST_F(entry_request_test, refusal_says_not_run_only_if_the_attempt_proves_it)
{
    environment_.set_targets({"t1"});
    for (auto const& row : attempt_ends)
        for (std::string const method : {"GET", "POST"}) {
            environment_.set_targets({});
            environment_.set_targets({"t1"});
            auto const sent_before = environment_.sent().size();
            begin(method, method == "GET" ? "/look/1" : "/pay/1");
            ASSERT_EQ(environment_.sent().size(), sent_before + 1);
            environment_.end_attempt(row.end);
            auto const where = std::string(to_name(row.end)) + " " + method;
            ASSERT_EQ(refused_outcome(),
                row.proves_not_run ? outcome::not_run : outcome::unknown)
                << where;
            EXPECT_EQ(environment_.sent().size(), sent_before + 1) << where;
            // The other kinds have a status that promises "not run".
            auto const kind = std::get<refusal>(*result_).kind;
            if (method == "POST" && !row.proves_not_run)
                EXPECT_TRUE(kind == refusal_kind::upstream_failed ||
                    kind == refusal_kind::deadline_passed)
                    << where << " " << to_name(kind);
        }
}

} // namespace
} // namespace pomelohinge
