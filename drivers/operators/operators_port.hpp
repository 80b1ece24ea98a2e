#ifndef POMELOHINGE_DRIVERS_OPERATORS_OPERATORS_PORT_HPP
#define POMELOHINGE_DRIVERS_OPERATORS_OPERATORS_PORT_HPP

#include "core/name_table.hpp"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// The pages of the operators' port.
enum class operators_page { metrics, healthz, readyz, status, histograms };

template <>
inline constexpr auto
    name_table<operators_page> = make_name_table<operators_page>({
        {operators_page::metrics, "metrics"},
        {operators_page::healthz, "healthz"},
        {operators_page::readyz, "readyz"},
        {operators_page::status, "status"},
        {operators_page::histograms, "histograms"},
    });
static_assert(is_ordered<operators_page>());

struct operators_reply
{
    int status = 200;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
};

/// The HTTP server for operators, on the control thread.
class operators_port
{
public:
    /// Answers a page, at once or later on the same thread.
    using handler = std::function<void(
        operators_page, std::function<void(operators_reply)>)>;

    operators_port(asio::io_context& context, handler answer);
    ~operators_port();

    absl::Status listen(std::string const& address);
    void stop();

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
