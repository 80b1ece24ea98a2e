#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_UPSTREAM_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_UPSTREAM_HPP

#include "core/name_table.hpp"
#include "tests/simulation/referee.hpp"
#include "tests/simulation/virtual_world.hpp"

#include <functional>

namespace pomelohinge::simulation {

/// How a target behaves.
enum class upstream_mode {
    well,
    /// Most requests run and end in a server error.
    failing,
    /// Half of the requests are refused as not run.
    shedding,
    /// Requests run and are never answered.
    hanging,
    /// Connections are refused.
    down,
    /// Nothing is answered at all.
    dark,
};

} // namespace pomelohinge::simulation

namespace pomelohinge {

template <>
inline constexpr auto name_table<simulation::upstream_mode> =
    make_name_table<simulation::upstream_mode>({
        {simulation::upstream_mode::well, "well"},
        {simulation::upstream_mode::failing, "failing"},
        {simulation::upstream_mode::shedding, "shedding"},
        {simulation::upstream_mode::hanging, "hanging"},
        {simulation::upstream_mode::down, "down"},
        {simulation::upstream_mode::dark, "dark"},
    });
static_assert(is_ordered<simulation::upstream_mode>());

} // namespace pomelohinge

namespace pomelohinge::simulation {

/// One target in virtual time. Its requests run whatever becomes of those
/// who sent them.
class fake_upstream
{
public:
    using callback = std::function<void(attempt_end)>;

    fake_upstream(virtual_world& world, referee& judge, target_record record,
        double cold_rate)
        : world_(world), judge_(judge), record_(std::move(record)),
          cold_rate_(cold_rate)
    {
    }

    target_record const& record() const { return record_; }
    target_record& record() { return record_; }
    void set_mode(upstream_mode mode) { mode_ = mode; }
    upstream_mode mode() const { return mode_; }

    /// It ends: nothing is answered any more, and what was sent to it under
    /// this start runs no more.
    void end()
    {
        mode_ = upstream_mode::down;
        ++life_;
    }

    /// A request arrives. The callback may never come.
    void arrive(
        std::string const& vm, upstream_request const& order, callback done)
    {
        if (mode_ == upstream_mode::dark)
            return;
        if (mode_ == upstream_mode::down)
            return done(end_of(attempt_result::connect_failed));
        judge_.arrives(vm, record_, order, world_.now());
        bool const sheds =
            mode_ == upstream_mode::shedding && world_.chance(shed_share);
        if (sheds || running_ >= record_.slots + queue)
            return done(end_of(attempt_result::shed));
        run(order, std::move(done));
    }

private:
    static constexpr std::int64_t queue = 24;
    static constexpr double shed_share = 0.5;
    static constexpr double failing_share = 0.8;
    static constexpr duration shortest_run = std::chrono::milliseconds(50);
    static constexpr duration longest_run = std::chrono::milliseconds(300);

    static attempt_end end_of(attempt_result result)
    {
        attempt_end end;
        end.result = result;
        end.answer.status = result == attempt_result::answered ? 200 : 500;
        return end;
    }

    void run(upstream_request const& order, callback done)
    {
        bool const is_cold = world_.now() < record_.cold_until;
        judge_.runs(record_, is_cold, cold_rate_, order, world_.now());
        if (mode_ == upstream_mode::hanging)
            return;
        bool const fails =
            mode_ == upstream_mode::failing && world_.chance(failing_share);
        if (fails)
            return done(end_of(attempt_result::server_error));
        ++running_;
        auto const life = life_;
        world_.after(world_.draw_between(shortest_run, longest_run),
            [this, life, done = std::move(done)] {
                --running_;
                if (life == life_)
                    done(end_of(attempt_result::answered));
                else
                    done(end_of(attempt_result::connection_lost));
            });
    }

    virtual_world& world_;
    referee& judge_;
    target_record record_;
    double cold_rate_;
    upstream_mode mode_ = upstream_mode::well;
    std::int64_t running_ = 0;
    std::uint64_t life_ = 0;
};

} // namespace pomelohinge::simulation

#endif
