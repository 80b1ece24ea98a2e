#ifndef POMELOHINGE_MAIN_ADDRESS_CLAIM_HPP
#define POMELOHINGE_MAIN_ADDRESS_CLAIM_HPP

#include "core/clock.hpp"
#include "core/log.hpp"
#include "core/name_table.hpp"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// The addresses that a daemon listens on.
enum class daemon_address { peers, readiness, callers, directory, operators };

template <>
inline constexpr auto
    name_table<daemon_address> = make_name_table<daemon_address>({
        {daemon_address::peers, "peers"},
        {daemon_address::readiness, "readiness"},
        {daemon_address::callers, "callers"},
        {daemon_address::directory, "directory"},
        {daemon_address::operators, "operators"},
    });
static_assert(is_ordered<daemon_address>());

/// Listens on one address. While another socket holds the address, the attempt
/// is repeated, since its holder may be an earlier process that still stops.
template <class Environment>
class address_claim
    : public std::enable_shared_from_this<address_claim<Environment>>
{
public:
    using status_callback = std::function<void(absl::Status)>;
    /// Tries to listen; calls back on the environment's thread.
    using attempt = std::function<void(status_callback)>;

    address_claim(Environment& environment, daemon_address which,
        std::string address, attempt listen)
        : environment_(environment), which_(which),
          address_(std::move(address)), listen_(std::move(listen))
    {
    }

    /// `done` is called once: with OK as soon as the address is listened on, or
    /// with the error of an address that can never be. It is not called if an
    /// attempt ends with `kCancelled`.
    void start(status_callback done)
    {
        listen_([self = this->shared_from_this(), done = std::move(done)](
                    absl::Status const& status) {
            self->attempt_ended(status, done);
        });
    }

private:
    static constexpr duration retry_period = std::chrono::milliseconds(100);

    void attempt_ended(absl::Status const& status, status_callback const& done)
    {
        if (absl::IsCancelled(status))
            return;
        if (absl::IsUnavailable(status)) {
            if (!std::exchange(waits_, true))
                log(log_event::address_awaited,
                    {{"address", address_}, {"use", to_name(which_)},
                        {"detail", std::string(status.message())}});
            return environment_.after(retry_period,
                [self = this->shared_from_this(), done] { self->start(done); });
        }
        if (status.ok() && waits_)
            log(log_event::address_free,
                {{"address", address_}, {"use", to_name(which_)}});
        if (!status.ok())
            log(log_event::address_refused,
                {{"address", address_}, {"use", to_name(which_)},
                    {"detail", std::string(status.message())}});
        done(status);
    }

    Environment& environment_;
    daemon_address const which_;
    std::string const address_;
    attempt const listen_;
    /// The wait for the address has been logged.
    bool waits_ = false;
};

} // namespace pomelohinge

#endif
