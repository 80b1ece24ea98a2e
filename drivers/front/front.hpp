#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_HPP

#include "servers/entries/entry_answer.hpp"
#include "servers/requests/entry_request.hpp"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace pomelohinge {

/// Who decides on what the front receives; called on its thread.
struct front_handlers
{
    /// Starts a request. The result is called once; what is returned is to
    /// be called if the caller hangs up before.
    std::function<std::function<void()>(
        entry_message, std::function<void(entry_result)>)>
        request;
    /// Answers the entry question.
    std::function<std::variant<entry_answer, refusal>(
        std::optional<key_hash> const&)>
        entries;
};

/// Bounds of what the front takes.
struct front_limits
{
    /// Larger bodies are refused before anything runs, in bytes.
    std::size_t body_bytes = 1 << 20;
};

/// The HTTP server for callers on one traffic thread.
class front
{
public:
    front(asio::io_context& context, front_handlers handlers,
        front_limits limits);
    ~front();

    /// Listens on `IP:PORT`; several threads may share it.
    absl::Status listen(std::string const& address);

    /// From now on each answer closes its connection.
    void close_connections_after_answers();

    /// Takes no further connections.
    void stop_listening();

    /// Requests that are not answered yet.
    std::size_t open_requests() const;

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
