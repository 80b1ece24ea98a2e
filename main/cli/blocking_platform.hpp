#ifndef POMELOHINGE_MAIN_CLI_BLOCKING_PLATFORM_HPP
#define POMELOHINGE_MAIN_CLI_BLOCKING_PLATFORM_HPP

#include "config/configuration_text.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/platform/http_object_store.hpp"
#include "drivers/platform/journal_client.hpp"

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>
#include <map>

namespace pomelohinge {

/// The configuration as it is in the platform, with its history.
struct stored_configuration
{
    configuration current;
    std::uint64_t version = 0;
    std::vector<journal_entry> journal;

    /// The configuration as it was at `at`.
    configuration at_version(std::uint64_t at) const;
};

/// The platform for the command line, which waits for each answer.
class blocking_platform
{
public:
    explicit blocking_platform(std::string address)
        : http_(context_), store_(http_, std::move(address)), platform_(store_)
    {
    }

    absl::StatusOr<stored_configuration> read();

    /// Appends an entry; `Aborted` if its version was taken.
    absl::Status append(journal_entry const& entry);

    /// Gets a page over HTTP.
    absl::StatusOr<std::string> get(std::string const& url);

private:
    void run();

    asio::io_context context_;
    curl_loop http_;
    http_object_store store_;
    journal_client<http_object_store> platform_;
};

} // namespace pomelohinge

#endif
