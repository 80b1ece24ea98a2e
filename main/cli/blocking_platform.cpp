#include "main/cli/blocking_platform.hpp"

#include <fmt/format.h>

namespace pomelohinge {

configuration stored_configuration::at_version(std::uint64_t at) const
{
    configuration built;
    for (auto const& it : journal)
        if (it.version <= at)
            built = built.with(it.changes);
    return built;
}

void blocking_platform::run()
{
    context_.restart();
    context_.run();
}

absl::StatusOr<stored_configuration> blocking_platform::read()
{
    journal_reading reading;
    platform_.entries_after(0, duration::zero(),
        [&](journal_reading reply) { reading = std::move(reply); });
    run();
    if (reading.status != store_status::done)
        return absl::UnavailableError("the platform does not answer");
    stored_configuration stored;
    for (auto& it : reading.entries) {
        if (it.version != stored.version + 1)
            return absl::DataLossError(
                fmt::format("the journal has no entry {}", stored.version + 1));
        stored.version = it.version;
        stored.current = stored.current.with(it.changes);
        stored.journal.push_back(std::move(it));
    }
    return stored;
}

absl::Status blocking_platform::append(journal_entry const& entry)
{
    auto status = store_status::unavailable;
    platform_.append(entry, [&](store_status reply) { status = reply; });
    run();
    switch (status) {
    case store_status::done:
        return absl::OkStatus();
    case store_status::conflict:
        return absl::AbortedError(
            "another operator has written this version first");
    case store_status::history_gone:
    case store_status::unavailable:
        break;
    }
    return absl::UnavailableError(
        "the platform does not answer; it is unknown whether the change was "
        "written");
}

absl::StatusOr<std::string> blocking_platform::get(std::string const& url)
{
    http_result result;
    http_call call;
    call.url = url;
    http_.start(
        std::move(call), [&](http_result reply) { result = std::move(reply); });
    run();
    if (result.end != http_end::answered)
        return absl::UnavailableError(url + " does not answer");
    return std::move(result.body);
}

} // namespace pomelohinge
